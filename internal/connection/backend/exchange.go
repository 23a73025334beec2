package backend

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// earlyAnswerWait is the wait for an answer after the request could not be sent whole.
const earlyAnswerWait = 100 * time.Millisecond

// sendingWait is the wait for the end of sending after the whole answer was read.
const sendingWait = 100 * time.Millisecond

// firstFinalStatus is the lowest status that is not interim.
const firstFinalStatus = 200

var errNotAsked = errors.New("the server answered without asking for the body")

// exchange is one request and its answer on a connection.
type exchange struct {
	conn *conn
	stop func() bool // detaches the connection from the request's context

	sending  chan error    // result of sending a body; nil if there is none
	proceed  chan struct{} // closed when the server asks for the body; nil if it need not
	over     chan struct{} // closed when the server has answered without asking
	proceeds sync.Once
	ends     sync.Once
}

// run sends the request and reads the head of its answer. A request without a body is sent in place; a
// body is sent beside, since servers may answer before they have read it.
func (e *exchange) run(req *http.Request) (*http.Response, error) {
	c := e.conn
	c.headLeft = maxHeadBytes
	if err := c.stream.SetReadDeadline(c.firstWordBy()); err != nil {
		return nil, err
	}
	if req.Body == nil || req.Body == http.NoBody {
		if err := e.send(req); err != nil {
			return nil, err
		}
	} else {
		e.sending = make(chan error, 1)
		e.await(req)
		go e.sendBeside(req)
	}
	resp, err := e.readHead(req)
	if err != nil {
		return nil, err
	}
	c.headLeft = -1
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead {
		return nil, ErrUnframed
	}
	resp.Body = &answerBody{exchange: e, body: resp.Body, reuse: !resp.Close && !req.Close}
	return resp, nil
}

// sendBeside sends a request while its answer is awaited. If that fails, an answer that the server gave
// before it stopped reading may still come in, but not for long.
func (e *exchange) sendBeside(req *http.Request) {
	err := e.send(req)
	if err != nil {
		_ = e.conn.stream.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	}
	e.sending <- err
}

func (e *exchange) send(req *http.Request) error {
	if err := req.Write(e.conn.writer); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

// readHead reads answers up to the first that is not interim.
func (e *exchange) readHead(req *http.Request) (*http.Response, error) {
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
			return nil, Error.New("the server switched protocols unasked")
		}
		if resp.StatusCode == http.StatusContinue {
			e.goOn()
		}
	}
}

// await holds a body back until the server asks for it, if the request says so.
func (e *exchange) await(req *http.Request) {
	if req.Header.Get("Expect") == "" {
		return
	}
	e.proceed = make(chan struct{})
	e.over = make(chan struct{})
	req.Body = &heldBody{ReadCloser: req.Body, exchange: e}
}

func (e *exchange) goOn() {
	if e.proceed != nil {
		e.proceeds.Do(func() { close(e.proceed) })
	}
}

// finish ends the exchange after the whole answer was read. The connection is kept only if the request
// was sent whole; whether more came than the answer is probed before its next use.
func (e *exchange) finish(reuse bool) {
	detached := e.stop()
	if reuse && detached && e.sentWhole() {
		e.conn.pool.put(e.conn)
		return
	}
	e.abandon()
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.stop()
	if e.over != nil {
		e.ends.Do(func() { close(e.over) })
	}
	e.conn.discard()
}

func (e *exchange) sentWhole() bool {
	if e.sending == nil {
		return true
	}
	// The sender may be a step behind the answer to what it sent.
	timer := time.NewTimer(sendingWait)
	defer timer.Stop()
	select {
	case err := <-e.sending:
		return err == nil
	case <-timer.C:
		return false
	}
}

// heldBody is a body that is read only once the server has asked for it.
type heldBody struct {
	io.ReadCloser
	exchange *exchange
	asked    bool
}

// Read implements io.Reader. It runs on the goroutine that writes the request.
func (b *heldBody) Read(p []byte) (int, error) {
	if !b.asked {
		if err := b.exchange.conn.writer.Flush(); err != nil {
			return 0, err
		}
		select {
		case <-b.exchange.proceed:
		case <-b.exchange.over:
			return 0, errNotAsked
		}
		b.asked = true
	}
	return b.ReadCloser.Read(p)
}

// answerBody is the body of an answer. At its end the connection goes back to its pool.
type answerBody struct {
	exchange *exchange
	body     io.ReadCloser
	reuse    bool
	done     bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
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

// Close implements io.Closer. Closed before its end, the body takes the connection with it.
func (b *answerBody) Close() error {
	if !b.done {
		b.done = true
		b.exchange.abandon()
	}
	return nil
}
