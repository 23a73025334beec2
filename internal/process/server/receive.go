package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime and drainBytes bound the wait for the rest of a body that the handler didn't read. A client that has sent it
	// keeps its connection.
	drainTime  = 50 * time.Millisecond
	drainBytes = 256 << 10
)

// ErrBodySlow is returned by reads of a request body that takes too long to arrive.
var ErrBodySlow = Error.New("the request was not received in time")

// BodyRefused reports whether a read of a request body failed because the process has no room or time for it. Such a request is
// to be answered by RejectBody, or in another way that says that it wasn't carried out.
func BodyRefused(err error) bool { return errors.Is(err, ErrBodiesFull) || errors.Is(err, ErrBodySlow) }

// handler bounds the requests to next.
func (t *Intake) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(trackedKey{}).(*trackedConn)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		h := &conn.holder
		if r.ProtoMajor > 1 {
			h = t.newStream(w, conn)
			defer t.remove(h)
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !h.enter(stageWorking) {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		h.cancel.Store(&cancel)
		defer h.cancel.Store(nil)
		if !h.enter(stageBody) {
			panic(http.ErrAbortHandler)
		}
		r = r.WithContext(ctx)
		if r.ContentLength < 0 || r.ContentLength > acceptBuffer {
			_ = conn.SetReadBuffer(receiveBuffer) // it stays smaller otherwise
		}
		body := &receivedBody{ReadCloser: r.Body, holder: h, asked: r.Header.Get("Expect") == ""}
		r.Body = body
		next.ServeHTTP(w, r)
		body.finish(w)
	})
}

// newStream returns a holder for a stream of an HTTP/2 connection.
func (t *Intake) newStream(w http.ResponseWriter, conn *trackedConn) *holder {
	conn.multiplexed.Store(true)
	if !conn.holder.enter(stageWorking) {
		panic(http.ErrAbortHandler)
	}
	h := &holder{intake: t, count: conn.holder.count, base: streamCost, stream: http.NewResponseController(w)}
	if !t.admit(h) {
		t.remove(h)
		panic(http.ErrAbortHandler)
	}
	return h
}

// PassBody declares that a request's body is passed on while it is received: it isn't counted but for what may be unread of it, and the
// handler bounds its time.
func PassBody(r *http.Request) {
	b, ok := r.Body.(*receivedBody)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passed = true
	if b.complete {
		return
	}
	b.holder.untimed.Store(true)
	b.refused = !b.holder.intake.grow(b.holder, receiveBuffer)
}

// receivedBody is a request body whose bytes are counted while it is received.
type receivedBody struct {
	io.ReadCloser
	holder *holder
	asked  bool // the client sends it unasked, or was asked for it by a first read

	mu       sync.Mutex
	passed   bool
	complete bool
	refused  bool
	finished bool
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = true
	if b.finished {
		b.complete = b.complete || errors.Is(err, io.EOF)
		return n, err
	}
	h := b.holder
	if n > 0 && !b.passed {
		h.received.Add(int64(n))
		if !h.intake.grow(h, int64(n)*h.intake.limits.BodyCost) {
			b.refused = true
		}
	}
	if errors.Is(err, io.EOF) && !b.refused {
		b.complete = h.enter(stageWorking)
	}
	switch {
	case b.refused || h.current() == stageEvicted:
		b.refused = true
		return n, b.refusal()
	case errors.Is(err, os.ErrDeadlineExceeded): // of the handler's own bound
		b.refused = true
		return n, ErrBodySlow
	}
	return n, err
}

// refusal returns the error of a read that was refused.
func (b *receivedBody) refusal() error {
	state := b.holder.holding()
	state.stage = stageBody
	if t := b.holder.intake; t.bound.exceeded(&state, b.holder.received.Load(), t.now()) {
		return ErrBodySlow
	}
	return ErrBodiesFull
}

// finish makes a request that has been answered before its body was received either receive what has arrived meanwhile, or close its
// connection after the answer: net/http waits for the rest of a body, which may never come, before it answers and closes.
func (b *receivedBody) finish(w http.ResponseWriter) {
	b.mu.Lock()
	b.finished = true
	complete, comes := b.complete, b.asked && !b.refused
	b.mu.Unlock()
	if complete {
		return
	}
	control := http.NewResponseController(w)
	if comes && b.drain(control) {
		return
	}
	b.holder.intake.shed(b.holder)
	_ = control.SetReadDeadline(past)
	// A body over its limit makes net/http close the connection once the client had time to read the answer.
	over := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("over")), 0)
	_, _ = over.Read(make([]byte, 1))
}

// drain reads the rest of a body for a short time, and reports whether it came to the end.
func (b *receivedBody) drain(control *http.ResponseController) bool {
	if err := control.SetReadDeadline(time.Now().Add(drainTime)); err != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, b.ReadCloser, drainBytes); !errors.Is(err, io.EOF) {
		return false
	}
	return control.SetReadDeadline(time.Time{}) == nil && b.holder.enter(stageWorking)
}
