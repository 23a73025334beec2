package admission

import (
	"net/http"

	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/version/view"
)

// AdmitJob checks a request to the job API against a view and returns its team and its idempotency key, if any.
func AdmitJob(v *view.View, r *http.Request) (team, key string, refusal *outcome.Refusal) {
	if refusal = checkHeaders(r.Header); refusal != nil {
		return "", "", refusal
	}
	team, refusal = authorize(v, false, "", r.Header.Get("Authorization"))
	return team, r.Header.Get(headerIdempotencyKey), refusal
}
