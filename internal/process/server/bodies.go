package server

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
)

// ErrBodiesFull is returned by reads of a request body while the bodies of concurrent requests take up all that they may.
var ErrBodiesFull = Error.New("too much is being received at the same time")

const (
	// bodiesRetrySeconds and bodiesRetrySpread give the Retry-After value, in seconds, of a request that was rejected for the size
	// of concurrent ones, which are answered within about a second.
	bodiesRetrySeconds = 1
	bodiesRetrySpread  = 2
)

// Bodies bounds the total size of the request bodies that a process holds at the same time. A body counts from its arrival to
// the end of its request. A single body larger than the bound is still read.
type Bodies struct {
	limit int64 // in bytes; 0 means none
	held  atomic.Int64
}

// NewBodies returns a bound of limit bytes; 0 means none.
func NewBodies(limit int64) *Bodies { return &Bodies{limit: limit} }

// Handler bounds the bodies of the requests to h. A request whose declared length exceeds what is left is passed to reject, or
// answered with status 503 if that is nil; others get ErrBodiesFull from their body.
func (b *Bodies) Handler(h http.Handler, reject http.HandlerFunc) http.Handler {
	if b.limit == 0 {
		return h
	}
	if reject == nil {
		reject = RejectBody
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		if held := b.held.Load(); held > 0 && held+r.ContentLength > b.limit {
			reject(w, r)
			return
		}
		body := &boundedBody{ReadCloser: r.Body, bodies: b}
		defer func() { b.held.Add(-body.held) }()
		r.Body = body
		h.ServeHTTP(w, r)
	})
}

// RejectBody answers a request with status 503 because of the size of concurrent ones.
func RejectBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", strconv.Itoa(bodiesRetrySeconds+rand.IntN(bodiesRetrySpread)))
	http.Error(w, ErrBodiesFull.Error(), http.StatusServiceUnavailable)
}

// boundedBody counts what is read of a body.
type boundedBody struct {
	io.ReadCloser
	bodies *Bodies
	held   int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.held += int64(n)
	if total := b.bodies.held.Add(int64(n)); total > b.bodies.limit && total > b.held {
		return n, ErrBodiesFull
	}
	return n, err
}
