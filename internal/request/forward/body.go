package forward

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	bodyUnread     int32 = iota
	bodyRead             // a part may have been sent
	bodyReassigned       // passed on to a later attempt
)

var errBodyReassigned = errors.New("the request body was passed on to a later attempt")

// attemptBody gives a caller's body to one attempt. Closing it leaves the caller's body open for a later attempt;
// the HTTP server closes the caller's body when the request ends.
type attemptBody struct {
	caller io.Reader
	state  atomic.Int32
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyReassigned {
		return 0, errBodyReassigned
	}
	return b.caller.Read(p)
}

// Close implements io.Closer; it does nothing.
func (b *attemptBody) Close() error { return nil }

// timedBody is a caller's body of which each part must arrive within callerProgressTimeout.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(callerProgressTimeout))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// WithReadTimeout returns a copy of the request whose body returns an error if the caller sends nothing for
// callerProgressTimeout.
func WithReadTimeout(w http.ResponseWriter, r *http.Request) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	out := new(http.Request)
	*out = *r
	out.Body = &timedBody{ReadCloser: r.Body, control: http.NewResponseController(w)}
	return out
}

// WithRetryableBody returns a copy of the request that PrepareRetry can make ready for further attempts, as long as its
// body is unread. The original keeps its body: the HTTP server inspects it when it writes the response.
func WithRetryableBody(r *http.Request) *http.Request {
	out := new(http.Request)
	*out = *r
	if r.Body != nil && r.Body != http.NoBody {
		out.Body = &attemptBody{caller: r.Body}
	}
	return out
}

// PrepareRetry makes a request from WithRetryableBody ready for another attempt. It returns false if the last attempt
// may have read a part of the body.
func PrepareRetry(r *http.Request) bool {
	b, ok := r.Body.(*attemptBody)
	if !ok {
		return true
	}
	if !b.state.CompareAndSwap(bodyUnread, bodyReassigned) {
		return false
	}
	r.Body = &attemptBody{caller: b.caller}
	return true
}
