// Package outcome writes and reads the answers that the system itself gives to a request instead of passing on that of
// a backend server. They are problem details as defined in RFC 9457, and each states whether the work ran.
package outcome

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Header is the name of the response header that carries an Outcome.
const Header = "Laburnum-Outcome"

// Outcome states whether the requested work ran.
type Outcome string

const (
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "not-run"
	// Unknown means that the work may or may not have run.
	Unknown Outcome = "unknown"
	// Completed means that the work ran once and that its instance answered.
	Completed Outcome = "completed"
)

// typePrefix precedes the reason in the type member of a problem document.
const typePrefix = "urn:laburnumrouter:problem:"

// Refusal is an answer that the system itself gives instead of passing on that of a backend server. The work may have
// run nevertheless, as Outcome tells. It implements error.
type Refusal struct {
	Status     int
	Outcome    Outcome
	Reason     string // short stable identifier such as queue-full
	Detail     string
	RetryAfter time.Duration // value of the Retry-After header; 0 for none
}

// Refuse returns a refusal of work that did not run.
func Refuse(status int, reason, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Outcome: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// RefuseWithUnknownOutcome returns a refusal that says that the work may or may not have run.
func RefuseWithUnknownOutcome(status int, reason, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Outcome: Unknown, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay after which the caller may retry and returns the refusal.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// problem is a problem details object as defined in RFC 9457.
type problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
}

// Write sends the refusal as the complete response.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(Header, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(problem{
		Type:    typePrefix + r.Reason,
		Title:   http.StatusText(r.Status),
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: r.Outcome,
	})
	if err != nil {
		body = nil // can't happen: strings and integers always encode
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// maxProblemBytes bounds how much of a problem document is read.
const maxProblemBytes = 16 << 10

// FromResponse returns the refusal in a peer's response, or nil if the outcome header says Completed, which marks the
// answer of an instance. A refusal without a valid outcome header has the outcome Unknown. The body is read only for a
// refusal.
func FromResponse(resp *http.Response) *Refusal {
	stated := Outcome(resp.Header.Get(Header))
	if stated == Completed {
		return nil
	}
	if stated != NotRun {
		stated = Unknown
	}
	var p problem
	reason := "peer"
	if json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p) == nil {
		reason = strings.TrimPrefix(p.Type, typePrefix)
	}
	refusal := &Refusal{Status: resp.StatusCode, Outcome: stated, Reason: reason, Detail: p.Detail}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}
