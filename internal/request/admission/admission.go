// Package admission checks whether a request may be queued, and determines the workspace to charge for it.
package admission

import (
	"crypto/sha256"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/version/state"
	"laburnumrouter/internal/version/view"
)

// PathPrefix precedes the queue's name in the path of a request.
const PathPrefix = "/q/"

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerTimeout          = "Request-Timeout"
	headerUrgent           = "Laburnum-Urgent"
	bearerPrefix           = "Bearer "
	maxIdempotencyKeyBytes = 255
)

// ReasonKeyWithdrawn refuses an API key that was withdrawn.
const ReasonKeyWithdrawn = "key-withdrawn"

// Ticket describes an admitted request.
type Ticket struct {
	Queue           string // name of the configured queue in the request's path
	Pool            string // pool whose instances serve the queue
	Workspace       string
	Path            string // path at the backend server, with leading slash
	RawPath         string // its escaped form if that differs from the default, as in url.URL
	Idempotent      bool
	Urgent          bool
	IdempotencyKey  string
	Deadline        time.Time // end of the timeout, after which the caller needs no response
	StartBy         time.Time // latest dispatch
	ArrivedAt       time.Time
	InterruptWaitAt time.Time // if set, the wait is interrupted at this time to ask another data centre
	MaxWaiting      int       // most requests that may wait in the pool's queue
	AvoidInstance   string    // instance that failed an earlier attempt, if any
}

// RunsAtMostOnce reports whether the request runs at most once under its Idempotency-Key.
func (t *Ticket) RunsAtMostOnce() bool { return t.IdempotencyKey != "" && !t.Idempotent }

// MayNeedRecord reports whether a request has an Idempotency-Key and a method that is not idempotent. Such a request
// needs an idempotency record unless its queue is idempotent.
func MayNeedRecord(r *http.Request) bool {
	return r.Header.Get(headerIdempotencyKey) != "" && !isIdempotentMethod(r.Method)
}

// WaitUntil returns the time at which the wait for dispatch ends: StartBy, or InterruptWaitAt if that is set and
// earlier.
func (t *Ticket) WaitUntil() time.Time {
	if !t.InterruptWaitAt.IsZero() && t.InterruptWaitAt.Before(t.StartBy) {
		return t.InterruptWaitAt
	}
	return t.StartBy
}

// Admit checks a request against a view of the accepted state and returns its ticket. It does not read the clock.
func Admit(v *view.View, r *http.Request, now time.Time) (*Ticket, *outcome.Refusal) {
	name, path, refusal := splitPath(r.URL.EscapedPath())
	if refusal != nil {
		return nil, refusal
	}
	q := v.Queue(name)
	if q == nil {
		return nil, outcome.Refuse(http.StatusNotFound, "unknown-queue", "there is no queue %q", name)
	}
	idempotent := q.Idempotent || isIdempotentMethod(r.Method)
	workspace, refusal := authorize(v, q.Open, q.Team, r.Header.Get("Authorization"))
	if refusal != nil {
		if refusal.Reason == ReasonKeyWithdrawn && !idempotent && MayNeedRecord(r) {
			refusal.Outcome = outcome.Unknown // an earlier request with the Idempotency-Key may have run
		}
		return nil, refusal
	}
	t := &Ticket{
		Queue:          name,
		Pool:           q.Pool,
		Workspace:      workspace,
		Path:           path.Path,
		RawPath:        path.RawPath,
		Idempotent:     idempotent,
		Urgent:         r.Header.Get(headerUrgent) == "1",
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		MaxWaiting:     int(q.MaxWaiting),
	}
	if refusal = checkHeaders(r.Header); refusal != nil {
		return nil, refusal
	}
	timeout := time.Duration(q.MaxWaitMs+q.MaxRunMs) * time.Millisecond
	timeout, refusal = callerTimeout(r.Header.Get(headerTimeout), timeout)
	if refusal != nil {
		return nil, refusal
	}
	t.ArrivedAt = now
	t.Deadline = now.Add(timeout)
	t.StartBy = now.Add(min(timeout, time.Duration(q.MaxWaitMs)*time.Millisecond))
	return t, nil
}

// splitPath splits an escaped path into the queue's name and the path at the backend server. Escapes are
// kept as received. Dot segments are refused in any spelling, since servers interpret them differently.
func splitPath(escaped string) (queue string, path *url.URL, refusal *outcome.Refusal) {
	rest, ok := strings.CutPrefix(escaped, PathPrefix)
	queue, rest, _ = strings.Cut(rest, "/")
	if !ok || queue == "" {
		return "", nil, outcome.Refuse(http.StatusNotFound, "no-queue", "the path must be %s{queue}/{path}", PathPrefix)
	}
	path = &url.URL{}
	raw := "/" + rest
	decoded, err := url.PathUnescape(raw)
	if err != nil || hasDotSegments(decoded) {
		return "", nil, outcome.Refuse(http.StatusBadRequest, "bad-path", "the path has dot segments or bad escapes")
	}
	path.Path = decoded
	if path.EscapedPath() != raw {
		path.RawPath = raw
	}
	return queue, path, nil
}

func hasDotSegments(path string) bool {
	if !strings.Contains(path, ".") {
		return false
	}
	for _, segment := range strings.FieldsFunc(path, isSlashOrBackslash) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func isSlashOrBackslash(r rune) bool { return r == '/' || r == '\\' }

// authorize returns the workspace of the API key in the Authorization header. Without the header, a request to an
// open queue is charged to defaultWorkspace; a key that is not valid is refused on an open queue as well.
func authorize(v *view.View, open bool, defaultWorkspace, header string) (string, *outcome.Refusal) {
	if header == "" && open {
		return defaultWorkspace, nil
	}
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || secret == "" {
		return "", outcome.Refuse(http.StatusUnauthorized, "no-key", "the request needs an API key as a bearer token in the Authorization header")
	}
	digest := state.KeyDigest(sha256.Sum256([]byte(secret)))
	if v.Withdrawn(digest) {
		return "", outcome.Refuse(http.StatusUnauthorized, ReasonKeyWithdrawn, "the key was withdrawn")
	}
	workspace, ok := v.KeyWorkspace(digest)
	if !ok {
		return "", outcome.Refuse(http.StatusUnauthorized, "bad-key", "the API key is unknown")
	}
	return workspace, nil
}

// checkHeaders refuses repeated headers, which could be read in two ways, and an invalid Idempotency-Key.
func checkHeaders(h http.Header) *outcome.Refusal {
	for _, name := range []string{headerIdempotencyKey, headerTimeout, headerUrgent, "Authorization"} {
		if len(h[name]) > 1 {
			return outcome.Refuse(http.StatusBadRequest, "repeated-header", "the header %s is repeated", name)
		}
	}
	key, present := h[headerIdempotencyKey]
	if present && !validIdempotencyKey(key[0]) {
		return outcome.Refuse(http.StatusBadRequest, "bad-idempotency-key", "%s must have 1 to %d visible ASCII characters", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

func validIdempotencyKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxIdempotencyKeyBytes
}

// isIdempotentMethod reports whether RFC 9110 defines the method as idempotent.
func isIdempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// callerTimeout parses the caller's timeout, a header in seconds, and limits it to bound.
func callerTimeout(header string, bound time.Duration) (time.Duration, *outcome.Refusal) {
	if header == "" {
		return bound, nil
	}
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, outcome.Refuse(http.StatusBadRequest, "bad-timeout", "%s must be a positive number of seconds", headerTimeout)
	}
	if seconds >= bound.Seconds() {
		return bound, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
