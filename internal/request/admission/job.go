package admission

import (
	"net/http"

	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/version/view"
)

// AdmitJob checks a request to the job API against a view and returns its workspace and its idempotency key, if any.
func AdmitJob(v *view.View, r *http.Request) (workspace, key string, refusal *outcome.Refusal) {
	if refusal = checkHeaders(r.Header); refusal != nil {
		return "", "", refusal
	}
	workspace, refusal = authorize(v, false, "", r.Header.Get("Authorization"))
	return workspace, r.Header.Get(headerIdempotencyKey), refusal
}
