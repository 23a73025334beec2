package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const testTimeout = 5 * time.Second

// script responds to a request on a connection; number counts the connection's requests from 1.
type script func(c net.Conn, number int, r *http.Request)

// server accepts connections and runs a script for each of their requests.
type server struct {
	address  string
	requests atomic.Int32
	conns    atomic.Int32
}

func serve(t *testing.T, play script) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &server{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.handle(c, play)
		}
	}()
	return s
}

func (s *server) handle(c net.Conn, play script) {
	defer c.Close()
	br := bufio.NewReader(c)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.requests.Add(1)
		play(c, number, r)
	}
}

func writeRaw(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func writeResponse(c net.Conn, body string) {
	writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

func newRequest(t *testing.T, s *server, method, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.address+"/x", nil)
	must.NoError(t, err)
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

// do sends a request and reads the complete response.
func do(p *Pool, r *http.Request) (body string, wrote bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, wrote, err := p.RoundTrip(ctx, r)
	if err != nil {
		return "", wrote, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), wrote, err
}

// A server that closes a reused connection after it has read the request may have executed the request, so it must not be
// sent again.
func TestRequestIsNeverResent(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPatch} {
		t.Run(method, func(t *testing.T) {
			s := serve(t, func(c net.Conn, number int, _ *http.Request) {
				if number > 1 {
					_ = c.Close()
					return
				}
				writeResponse(c, "ok")
			})
			p := NewPool(Options{})
			_, _, err := do(p, newRequest(t, s, method, ""))
			must.NoError(t, err)
			r := newRequest(t, s, method, "")
			r.Header.Set("Idempotency-Key", "refund-1")
			_, wrote, err := do(p, r)
			must.Error(t, err)
			must.True(t, wrote)
			must.Eq(t, 2, s.requests.Load())
			must.Eq(t, 0, p.OpenConns(s.address))
		})
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := serve(t, func(c net.Conn, _ int, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		writeResponse(c, string(body))
	})
	p := NewPool(Options{})
	for _, body := range []string{"one", "two", "three"} {
		got, _, err := do(p, newRequest(t, s, http.MethodPost, body))
		must.NoError(t, err)
		must.Eq(t, body, got)
	}
	must.Eq(t, 1, s.conns.Load())
}

func TestNothingWrittenWhenDialFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), nil)
	must.NoError(t, err)
	_, wrote, err := do(NewPool(Options{}), r)
	must.Error(t, err)
	must.False(t, wrote)
}

func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := serve(t, func(c net.Conn, number int, _ *http.Request) {
		writeResponse(c, "ok")
		_ = c.Close()
		closed <- struct{}{}
	})
	p := NewPool(Options{})
	for range 3 {
		_, _, err := do(p, newRequest(t, s, http.MethodPost, ""))
		must.NoError(t, err)
		<-closed
		waitUnusable(p, s.address)
	}
	must.Eq(t, 3, s.conns.Load())
}

// waitUnusable waits until the pool has no usable idle connection, because the close of the connection or extra bytes on it
// have arrived.
func waitUnusable(p *Pool, address string) {
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		s := p.servers[address]
		unusable := s == nil || len(s.idle) == 0 || !s.idle[0].usable(time.Time{})
		p.mu.Unlock()
		if unusable {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Unsolicited bytes after a response must not be taken for the response to the next request.
func TestUnsolicitedBytesAreDiscarded(t *testing.T) {
	for name, extra := range map[string]string{
		"overlong":             "too much",
		"unsolicited response": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _ int, r *http.Request) {
				writeRaw(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%s%s", r.Header.Get("Want"), extra))
			})
			p := NewPool(Options{})
			for _, want := range []string{"a1", "b2", "c3"} {
				r := newRequest(t, s, http.MethodGet, "")
				r.Header.Set("Want", want)
				got, _, err := do(p, r)
				must.NoError(t, err)
				must.Eq(t, want, got)
				waitUnusable(p, s.address)
			}
			must.Eq(t, 3, s.conns.Load())
		})
	}
}

func TestIncompleteResponsesAreErrors(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   error
	}{
		"short":            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", io.ErrUnexpectedEOF},
		"truncated chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf", io.ErrUnexpectedEOF},
		"no last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", io.ErrUnexpectedEOF},
		"no framing":       {"HTTP/1.1 200 OK\r\n\r\nhalf", ErrNoMessageLength},
		"no header":        {"", io.ErrUnexpectedEOF},
		"truncated header": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", io.ErrUnexpectedEOF},
		"endless header":   {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes), ErrHeaderTooLarge},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _ int, _ *http.Request) {
				writeRaw(c, tc.answer)
				_ = c.Close()
			})
			p := NewPool(Options{})
			_, wrote, err := do(p, newRequest(t, s, http.MethodGet, ""))
			must.True(t, errors.Is(err, tc.want), must.Sprint(err))
			must.True(t, wrote)
			must.Eq(t, 0, p.OpenConns(s.address))
		})
	}
}

func TestStalledResponseBodyTimesOut(t *testing.T) {
	s := serve(t, func(c net.Conn, number int, _ *http.Request) {
		writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	p := NewPool(Options{ProgressTimeout: 20 * time.Millisecond})
	_, _, err := do(p, newRequest(t, s, http.MethodGet, ""))
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout(), must.Sprint(err))
	must.Eq(t, 0, p.OpenConns(s.address))
}

// If the server does not read the body, the request fails after ProgressTimeout and its connection is closed.
func TestStalledRequestBodyTimesOut(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(c net.Conn, _ int, _ *http.Request) { <-release })
	defer close(release)
	p := NewPool(Options{ProgressTimeout: 20 * time.Millisecond})
	r := newRequest(t, s, http.MethodPost, "x")
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 64<<20))), 64<<20
	_, wrote, err := do(p, r)
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout(), must.Sprint(err))
	must.False(t, errors.Is(err, context.DeadlineExceeded), must.Sprint("it failed only at the request's deadline"))
	must.True(t, wrote)
	must.Eq(t, 0, p.OpenConns(s.address))
}

func TestContextCancellationClosesConnection(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	silent := errors.New("silent")
	s := serve(t, func(net.Conn, int, *http.Request) { cancel(silent) })
	p := NewPool(Options{})
	_, wrote, err := p.RoundTrip(ctx, newRequest(t, s, http.MethodPost, "body"))
	must.True(t, errors.Is(err, silent), must.Sprint(err))
	must.True(t, wrote)
	must.Eq(t, 0, p.OpenConns(s.address))
}

func TestBodyWaitsFor100Continue(t *testing.T) {
	for name, tc := range map[string]struct {
		asks bool
		want int // bytes of the body that were sent
	}{
		"asked":   {true, 4},
		"refused": {false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, _ int, r *http.Request) {
				if !tc.asks {
					writeRaw(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
					return
				}
				writeRaw(c, "HTTP/1.1 100 Continue\r\n\r\n")
				body, _ := io.ReadAll(r.Body)
				writeResponse(c, string(body))
			})
			r := newRequest(t, s, http.MethodPost, "body")
			counted := &countingBody{ReadCloser: r.Body}
			r.Body = counted
			r.Header.Set("Expect", "100-continue")
			p := NewPool(Options{})
			_, _, err := do(p, r)
			must.NoError(t, err)
			must.Eq(t, tc.want, int(counted.bytes.Load()))
		})
	}
}

type countingBody struct {
	io.ReadCloser
	bytes atomic.Int64
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

func TestConnectionsPerServerAreLimited(t *testing.T) {
	s := serve(t, func(c net.Conn, _ int, _ *http.Request) {
		writeRaw(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	p := NewPool(Options{MaxConnsPerServer: 2})
	for range 2 {
		resp, _, err := p.RoundTrip(context.Background(), newRequest(t, s, http.MethodGet, ""))
		must.NoError(t, err)
		defer resp.Body.Close()
	}
	_, wrote, err := do(p, newRequest(t, s, http.MethodGet, ""))
	must.True(t, errors.Is(err, ErrConnsInUse))
	must.False(t, wrote)
}
