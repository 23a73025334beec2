package backend

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// earlyResponseWait bounds the wait for a response after sending the request failed.
const earlyResponseWait = 100 * time.Millisecond

// sendCompletionWait bounds the wait for the request's sender after the complete response was read.
const sendCompletionWait = 100 * time.Millisecond

// firstFinalStatus is the lowest status code of a final response; 1xx responses are interim.
const firstFinalStatus = 200

var errBodyNotRequested = errors.New("the server responded without asking for the request body")

// exchange is one request and its response on a connection.
type exchange struct {
	conn *conn
	stop func() bool // detaches the connection from the request's context

	sendResult        chan error    // result of sending a request with a body; nil if there is no body
	bodyRequested     chan struct{} // closed when the server asks for the body (100 Continue); nil without an Expect header
	abandoned         chan struct{} // closed when the exchange is abandoned; nil without an Expect header
	bodyRequestedOnce sync.Once
	abandonOnce       sync.Once
}

// run sends the request and reads the response's header. A request with a body is sent on another goroutine, since servers
// may respond before they have read the body.
func (e *exchange) run(req *http.Request) (*http.Response, error) {
	c := e.conn
	c.headerBytesLeft = maxHeaderBytes
	if err := c.stream.SetReadDeadline(c.firstResponseDeadline()); err != nil {
		return nil, err
	}
	if req.Body == nil || req.Body == http.NoBody {
		if err := e.send(req); err != nil {
			return nil, err
		}
	} else {
		e.sendResult = make(chan error, 1)
		e.holdBody(req)
		go e.sendConcurrently(req)
	}
	resp, err := e.readResponse(req)
	if err != nil {
		return nil, err
	}
	c.headerBytesLeft = -1
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead {
		return nil, ErrNoMessageLength
	}
	resp.Body = &responseBody{exchange: e, body: resp.Body, reuse: !resp.Close && !req.Close}
	return resp, nil
}

// sendConcurrently sends a request while run waits for the response. If sending fails, a response that the server sent
// before it stopped reading may still arrive, so run waits for it for earlyResponseWait.
func (e *exchange) sendConcurrently(req *http.Request) {
	err := e.send(req)
	if err != nil {
		_ = e.conn.stream.SetReadDeadline(time.Now().Add(earlyResponseWait))
	}
	e.sendResult <- err
}

func (e *exchange) send(req *http.Request) error {
	if err := req.Write(e.conn.writer); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// readResponse reads responses until the first final one.
func (e *exchange) readResponse(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(e.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if err := e.conn.stream.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
		if resp.StatusCode >= firstFinalStatus {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, Error.New("the server switched protocols without a request to do so")
		}
		if resp.StatusCode == http.StatusContinue {
			e.releaseBody()
		}
	}
}

// holdBody delays the body until the server asks for it, if the request has an Expect header.
func (e *exchange) holdBody(req *http.Request) {
	if req.Header.Get("Expect") == "" {
		return
	}
	e.bodyRequested = make(chan struct{})
	e.abandoned = make(chan struct{})
	req.Body = &heldBody{ReadCloser: req.Body, exchange: e}
}

// releaseBody lets the sender read a body that holdBody delays.
func (e *exchange) releaseBody() {
	if e.bodyRequested != nil {
		e.bodyRequestedOnce.Do(func() { close(e.bodyRequested) })
	}
}

// finish ends the exchange after the complete response was read. The connection is kept only if the complete request was
// sent. Whether bytes follow the response is checked before the connection's next use, by usable.
func (e *exchange) finish(reuse bool) {
	detached := e.stop()
	if reuse && detached && e.requestSent() {
		e.conn.pool.release(e.conn)
		return
	}
	e.abandon()
}

// abandon closes the connection and releases a sender that waits for the server to ask for the body.
func (e *exchange) abandon() {
	e.stop()
	if e.abandoned != nil {
		e.abandonOnce.Do(func() { close(e.abandoned) })
	}
	e.conn.discard()
}

// requestSent reports whether the complete request was sent. It waits for the sender for up to sendCompletionWait.
func (e *exchange) requestSent() bool {
	if e.sendResult == nil {
		return true
	}
	// The response may arrive before the sender has returned.
	timer := time.NewTimer(sendCompletionWait)
	defer timer.Stop()
	select {
	case err := <-e.sendResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

// heldBody is a request body that is read only after the server has asked for it.
type heldBody struct {
	io.ReadCloser
	exchange *exchange
	released bool
}

// Read implements io.Reader. It runs on the goroutine that writes the request.
func (b *heldBody) Read(p []byte) (int, error) {
	if !b.released {
		if err := b.exchange.conn.writer.Flush(); err != nil {
			return 0, err
		}
		select {
		case <-b.exchange.bodyRequested:
		case <-b.exchange.abandoned:
			return 0, errBodyNotRequested
		}
		b.released = true
	}
	return b.ReadCloser.Read(p)
}

// responseBody is the body of a response. When it was read to its end, the connection is returned to the pool.
type responseBody struct {
	exchange *exchange
	body     io.ReadCloser
	reuse    bool
	done     bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.done = true
		b.exchange.finish(b.reuse)
	}
	return n, err
}

// Close implements io.Closer. If the body was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	if !b.done {
		b.done = true
		b.exchange.abandon()
	}
	return nil
}
