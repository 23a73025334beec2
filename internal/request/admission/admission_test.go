package admission

import (
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/version/state"
	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testView() *view.View {
	s := state.New()
	s.Queues["refunds"] = &laburnumv1.Queue{Name: "refunds", Pool: "refund", MaxWaitMs: 2000, MaxRunMs: 8000, MaxWaiting: 7}
	s.Queues["checks"] = &laburnumv1.Queue{Name: "checks", Pool: "check", MaxWaitMs: 2000, MaxRunMs: 8000, Idempotent: true}
	s.Queues["points"] = &laburnumv1.Queue{Name: "points", Pool: "check", Open: true, Team: "public", MaxWaitMs: 1000, MaxRunMs: 1000}
	for key, workspace := range map[string]string{"good": "peten", "gone": "peten"} {
		sum := sha256.Sum256([]byte(key))
		s.Keys[sum] = &laburnumv1.Key{Sha256: sum[:], Team: workspace}
	}
	gone := sha256.Sum256([]byte("gone"))
	s.Withdrawn[gone] = &laburnumv1.KeyWithdrawal{Sha256: gone[:]}
	return view.Compile(s)
}

func admit(method, target string, headers ...string) (*Ticket, *outcome.Refusal) {
	r := httptest.NewRequest(method, target, nil)
	r.Header.Set("Authorization", "Bearer good")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Del(headers[i])
		if headers[i+1] != "" {
			r.Header.Set(headers[i], headers[i+1])
		}
	}
	return Admit(testView(), r, now)
}

func TestRefusals(t *testing.T) {
	long := strings.Repeat("k", maxIdempotencyKeyBytes+1)
	tests := map[string]struct {
		target  string
		headers []string
		status  int
		reason  string
	}{
		"no queue":                        {"/q/", nil, 404, "no-queue"},
		"other path":                      {"/x/refunds", nil, 404, "no-queue"},
		"unknown queue":                   {"/q/nothing/x", nil, 404, "unknown-queue"},
		"escaped slash":                   {"/q/refunds%2Fx", nil, 404, "unknown-queue"},
		"dot segments":                    {"/q/refunds/../x", nil, 400, "bad-path"},
		"escaped dots":                    {"/q/refunds/a/%2e%2E/b", nil, 400, "bad-path"},
		"backslash dots":                  {"/q/refunds/a%5C..%5Cb", nil, 400, "bad-path"},
		"dots between escaped slashes":    {"/q/refunds/a%2F..%2Fb", nil, 400, "bad-path"},
		"no key":                          {"/q/refunds/x", []string{"Authorization", ""}, 401, "no-key"},
		"other scheme":                    {"/q/refunds/x", []string{"Authorization", "Basic good"}, 401, "no-key"},
		"unknown key":                     {"/q/refunds/x", []string{"Authorization", "Bearer bad"}, 401, "bad-key"},
		"withdrawn key":                   {"/q/refunds/x", []string{"Authorization", "Bearer gone"}, 401, "key-withdrawn"},
		"withdrawn, open":                 {"/q/points/x", []string{"Authorization", "Bearer gone"}, 401, "key-withdrawn"},
		"long idempotency key":            {"/q/refunds/x", []string{"Idempotency-Key", long}, 400, "bad-idempotency-key"},
		"space in idempotency key":        {"/q/refunds/x", []string{"Idempotency-Key", "a b"}, 400, "bad-idempotency-key"},
		"control byte in idempotency key": {"/q/refunds/x", []string{"Idempotency-Key", "a\x01"}, 400, "bad-idempotency-key"},
		"timeout text":                    {"/q/refunds/x", []string{"Request-Timeout", "soon"}, 400, "bad-timeout"},
		"timeout zero":                    {"/q/refunds/x", []string{"Request-Timeout", "0"}, 400, "bad-timeout"},
		"timeout negative":                {"/q/refunds/x", []string{"Request-Timeout", "-1"}, 400, "bad-timeout"},
		"timeout NaN":                     {"/q/refunds/x", []string{"Request-Timeout", "NaN"}, 400, "bad-timeout"},
		"timeout infinite":                {"/q/refunds/x", []string{"Request-Timeout", "Inf"}, 400, "bad-timeout"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ticket, refusal := admit(http.MethodPost, tc.target, tc.headers...)
			must.Nil(t, ticket)
			must.Eq(t, tc.status, refusal.Status)
			must.Eq(t, tc.reason, refusal.Reason)
			must.Eq(t, outcome.NotRun, refusal.Outcome)
		})
	}
}

// TestRepeatUnderWithdrawnKeyIsUncertain repeats a request with an Idempotency-Key after its API key was withdrawn.
// The first one may have run, so the refusal must not claim that it did not.
func TestRepeatUnderWithdrawnKeyIsUncertain(t *testing.T) {
	_, refusal := admit(http.MethodPost, "/q/refunds/x", "Authorization", "Bearer gone", "Idempotency-Key", "dc1/1")
	must.Eq(t, ReasonKeyWithdrawn, refusal.Reason)
	must.Eq(t, outcome.Unknown, refusal.Outcome)
}

func TestRepeatedHeaderIsRefused(t *testing.T) {
	for _, name := range []string{"Idempotency-Key", "Request-Timeout", "Laburnum-Urgent", "Authorization"} {
		r := httptest.NewRequest(http.MethodPost, "/q/refunds/x", nil)
		r.Header.Set("Authorization", "Bearer good")
		r.Header.Add(name, "1")
		r.Header.Add(name, "2")
		_, refusal := Admit(testView(), r, now)
		must.Eq(t, "repeated-header", refusal.Reason, must.Sprint(name))
	}
}

func TestTicketHoldsRequestAndDeadlines(t *testing.T) {
	ticket, refusal := admit(http.MethodPost, "/q/refunds/a%2Fb//c?x=1", "Request-Timeout", "3", "Idempotency-Key", "dc1/7", "Laburnum-Urgent", "1")
	must.Nil(t, refusal)
	must.Eq(t, &Ticket{
		Queue: "refunds", Pool: "refund", Workspace: "peten", Path: "/a/b//c", RawPath: "/a%2Fb//c", Urgent: true, IdempotencyKey: "dc1/7",
		Deadline: now.Add(3 * time.Second), StartBy: now.Add(2 * time.Second), ArrivedAt: now, MaxWaiting: 7,
	}, ticket)
}

func TestRequestIsIdempotentByMethodOrQueue(t *testing.T) {
	for _, tc := range []struct {
		method, queue string
		want          bool
	}{
		{http.MethodGet, "refunds", true},
		{http.MethodHead, "refunds", true},
		{http.MethodPut, "refunds", true},
		{http.MethodDelete, "refunds", true},
		{http.MethodOptions, "refunds", true},
		{http.MethodPost, "refunds", false},
		{http.MethodPatch, "refunds", false},
		{"REFUND", "refunds", false},
		{http.MethodPost, "checks", true},
	} {
		ticket, refusal := admit(tc.method, "/q/"+tc.queue+"/x")
		must.Nil(t, refusal)
		must.Eq(t, tc.want, ticket.Idempotent, must.Sprint(tc))
	}
}

func TestOpenQueueChargesItsOwnWorkspaceOrTheWorkspaceOfTheKey(t *testing.T) {
	ticket, refusal := admit(http.MethodGet, "/q/points/x", "Authorization", "")
	must.Nil(t, refusal)
	must.Eq(t, "public", ticket.Workspace)
	ticket, refusal = admit(http.MethodGet, "/q/points/x")
	must.Nil(t, refusal)
	must.Eq(t, "peten", ticket.Workspace)
}
