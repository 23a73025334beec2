package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/uber-go/tally/v4"
)

// intakeServer is a server whose clients are bounded.
type intakeServer struct {
	t       *testing.T
	intake  *Intake
	address string
}

// newIntakeServer serves h, or a handler that reads the whole body and answers with its length.
func newIntakeServer(t *testing.T, limits Limits, h http.HandlerFunc) *intakeServer {
	if h == nil {
		h = func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			switch {
			case BodyRefused(err):
				RejectBody(w, r)
			case err != nil:
				http.Error(w, err.Error(), http.StatusBadRequest)
			default:
				_, _ = fmt.Fprint(w, len(body))
			}
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	if limits.BodyCost == 0 {
		limits.BodyCost = 1
	}
	if limits.Conns == 0 {
		limits.Conns = 1000
	}
	if limits.Bytes == 0 {
		limits.Bytes = 1 << 30
	}
	if limits.ReceiveTimeout == 0 {
		limits.ReceiveTimeout = time.Hour
	}
	intake := NewIntake(limits, hclog.NewNullLogger(), tally.NoopScope)
	s := &http.Server{Handler: h}
	tracked := intake.Public("public", s, l)
	go func() { _ = s.Serve(tracked) }()
	t.Cleanup(func() { _ = s.Close() })
	return &intakeServer{t, intake, l.Addr().String()}
}

// client is a connection of a test client.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *intakeServer) dial() *client {
	c, err := net.Dial("tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	must.NoError(s.t, c.SetDeadline(time.Now().Add(30*time.Second)))
	return &client{c, s.t, bufio.NewReader(c)}
}

// post sends a request of which only the first sent bytes of the body arrive.
func (c *client) post(size, sent int) {
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", sent))
	must.NoError(c.t, err)
}

// answer reads a response.
func (c *client) answer() *http.Response {
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(c.t, err)
	return resp
}

// awaitEnd waits until the server has closed the connection.
func (c *client) awaitEnd() {
	_, err := io.Copy(io.Discard, c.reader)
	timeout, ok := err.(net.Error)
	must.False(c.t, ok && timeout.Timeout(), must.Sprint("the connection stays open"))
}

// await waits until a number of holders is in a stage.
func (s *intakeServer) await(want stage, n int) {
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		s.intake.mu.Lock()
		defer s.intake.mu.Unlock()
		count := 0
		for h := range s.intake.holders {
			if h.current() == want {
				count++
			}
		}
		return count == n
	}), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
}

// awaitHeld waits until clients hold at most a number of bytes.
func (s *intakeServer) awaitHeld(most int64) {
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.intake.held.Load() <= most }),
		wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against a refused client that gets no answer, and keeps its connection, because the rest of its body doesn't come.
func TestRefusalIsSentWithoutRestOfBody(t *testing.T) {
	s := newIntakeServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) { RejectBody(w, r) })
	for _, chunked := range []bool{false, true} {
		c := s.dial()
		if chunked {
			_, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
			must.NoError(t, err)
		} else {
			c.post(1000, 999)
		}
		resp := c.answer()
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
		must.True(t, resp.Close)
		c.awaitEnd()
	}
	expecting := s.dial()
	_, err := fmt.Fprint(expecting, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, expecting.answer().StatusCode, must.Sprint("the body isn't asked for"))
	expecting.awaitEnd()
	whole := s.dial()
	for range 2 { // a client that has sent its body keeps its connection
		whole.post(1000, 1000)
		must.Eq(t, http.StatusServiceUnavailable, whole.answer().StatusCode)
	}
}

// Guards against clients that fill the memory with bodies which stop short of their end, and keep others from being served.
func TestOldestIncompleteBodyGivesWayToOthers(t *testing.T) {
	const size = 100_000
	const crowd = 10
	s := newIntakeServer(t, Limits{Bytes: crowd*size/2 + 2*crowd*(connCost+requestCost)}, nil)
	oldest := s.dial()
	oldest.post(size, size-1)
	s.await(stageBody, 1)
	for range crowd {
		s.dial().post(size, size-1)
	}
	resp := oldest.answer()
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.NotEq(t, "", resp.Header.Get("Retry-After"))
	oldest.awaitEnd()
	ordinary := s.dial()
	ordinary.post(size, size)
	must.Eq(t, http.StatusOK, ordinary.answer().StatusCode)
	s.awaitHeld(s.intake.limits.Bytes)
}

// Guards against clients that hold all descriptors of the process.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 40
	begun, proceed := make(chan bool), make(chan bool)
	s := newIntakeServer(t, Limits{Conns: most}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			begun <- true
			<-proceed
		}
	})
	working := s.dial()
	_, err := fmt.Fprint(working, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	<-begun
	var crowd []*client
	for range 2 * most {
		c := s.dial()
		_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\n")
		must.NoError(t, err)
		crowd = append(crowd, c)
	}
	crowd[0].awaitEnd()
	ordinary := s.dial()
	ordinary.post(10, 10)
	must.Eq(t, http.StatusOK, ordinary.answer().StatusCode)
	s.intake.mu.Lock()
	must.LessEq(t, most, s.intake.conns)
	s.intake.mu.Unlock()
	close(proceed)
	must.Eq(t, http.StatusOK, working.answer().StatusCode, must.Sprint("a request in work is never cut off"))
}

// Guards against bytes that stay counted after a request, which would refuse all clients in the end.
func TestCountsEndWithRequestsAndConnections(t *testing.T) {
	s := newIntakeServer(t, Limits{Bytes: 1 << 20}, nil)
	c := s.dial()
	for range 50 {
		c.post(60_000, 60_000)
		must.Eq(t, http.StatusOK, c.answer().StatusCode)
	}
	s.await(stageIdle, 1)
	must.Eq(t, connCost, s.intake.held.Load())
	c.post(4<<20, 4<<20)
	must.Eq(t, http.StatusOK, c.answer().StatusCode, must.Sprint("a body beyond the bound is read alone"))
	must.NoError(t, c.Close())
	s.awaitHeld(0)
	s.intake.mu.Lock()
	defer s.intake.mu.Unlock()
	must.Zero(t, s.intake.conns)
	must.Zero(t, s.intake.leaving)
}

// Guards against a client that holds an incomplete request without end while nothing is short.
func TestSlowRequestsAreCutOff(t *testing.T) {
	s := newIntakeServer(t, Limits{ReceiveTimeout: time.Nanosecond}, nil)
	c := s.dial()
	c.post(1000, 0)
	s.await(stageBody, 1)
	s.intake.sweep()
	must.Eq(t, http.StatusServiceUnavailable, c.answer().StatusCode)
	c.awaitEnd()
}

// Guards against a body that arrives too late by the handler's own bound and is taken for a malformed one, with the socket's error in the
// answer.
func TestBodyBeyondHandlersTimeIsSlow(t *testing.T) {
	got := make(chan error, 1)
	s := newIntakeServer(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		must.NoError(t, http.NewResponseController(w).SetReadDeadline(past))
		_, err := io.ReadAll(r.Body)
		got <- err
		RejectBody(w, r)
	})
	c := s.dial()
	c.post(1000, 999)
	must.EqOp(t, http.StatusServiceUnavailable, c.answer().StatusCode)
	must.EqOp(t, ErrBodySlow, <-got)
	c.awaitEnd()
}

// Guards against bodies that are passed on and count as held, so that a large one is refused, and against connections that count
// without end.
func TestPassedBodiesAreNotCounted(t *testing.T) {
	const size = 1 << 20
	s := newIntakeServer(t, Limits{Bytes: size / 4, ReceiveTimeout: time.Nanosecond}, func(w http.ResponseWriter, r *http.Request) {
		PassBody(r)
		n, err := io.Copy(io.Discard, r.Body)
		must.NoError(t, err)
		_, _ = fmt.Fprint(w, n)
	})
	c := s.dial()
	c.post(size, size/2)
	s.await(stageBody, 1)
	s.intake.sweep() // the handler bounds its time
	_, err := c.Write(make([]byte, size/2))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, c.answer().StatusCode)
	s.await(stageIdle, 1)
	s.awaitHeld(connCost)
}

// Guards against clients that send whole requests, take no answer and so hold large answers and descriptors without end.
func TestAnswersThatAreNotTakenGiveWay(t *testing.T) {
	const size = 16 << 20 // more than the socket buffers of both sides
	s := newIntakeServer(t, Limits{ReceiveTimeout: time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})
	ready := s.dial()
	_, err := fmt.Fprint(ready, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, ready.answer().StatusCode)
	s.await(stageIdle, 1)
	_, err = fmt.Fprint(ready, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return s.intake.held.Load() > size }), wait.Timeout(20*time.Second)))
	s.intake.start = s.intake.start.Add(-time.Hour) // the write has lasted for an hour
	s.intake.sweep()
	s.awaitHeld(0)
}

// Guards against a header for which there is no room and which is answered as if the caller had made a mistake.
func TestHeaderWithoutRoomIsClosedUnanswered(t *testing.T) {
	begun, proceed := make(chan bool), make(chan bool)
	s := newIntakeServer(t, Limits{Bytes: 2*(connCost+requestCost) + 8<<10}, func(http.ResponseWriter, *http.Request) {
		begun <- true
		<-proceed
	})
	defer close(proceed)
	working := s.dial()
	_, err := fmt.Fprint(working, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	<-begun
	c := s.dial()
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Fill")
	must.NoError(t, err)
	s.await(stageHeader, 1)
	s.intake.mu.Lock()
	s.intake.futileUntil = time.Hour // nothing gives way
	s.intake.mu.Unlock()
	_, _ = fmt.Fprint(c, strings.Repeat("x", 32<<10))
	answer, _ := io.ReadAll(c.reader)
	must.Eq(t, "", string(answer))
}
