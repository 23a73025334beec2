// Package load plays the callers and operators of a soak. They keep their connections open until the process at the other
// end is gone, and record each request and its answer.
package load

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const dialTimeout = time.Second

// Errors of calls, as the history records them.
const (
	errDial    = "dial"    // no connection, so that nothing was sent
	errCut     = "cut"     // the connection ended without a complete answer
	errTimeout = "timeout" // no complete answer in time
)

// client is an HTTP/1.1 client with one connection at a time. Unlike net/http it never sends a request twice and never gives
// up a connection that the other side keeps open.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool // an answer has come on the connection
	// refused reports whether the relay could not pass on a connection from an address.
	refused func(address string) bool
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request. If there is no complete answer, it returns the reason and closes the connection.
func (c *client) do(req *http.Request, limit time.Duration) (status int, body []byte, reason string) {
	if c.conn != nil && ended(c.conn) {
		c.close()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err != nil {
			return 0, nil, errDial
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if err := req.Write(c.conn); err != nil {
		return 0, nil, c.fail(err)
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		return 0, nil, c.fail(err)
	}
	c.used = true
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, body, ""
}

// fail closes the connection and returns why there is no answer.
func (c *client) fail(err error) string {
	defer c.close()
	switch {
	case !c.used && c.refused(c.conn.LocalAddr().String()):
		return errDial
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errTimeout
	}
	return errCut
}

// ended reports whether the other side has closed a connection on which no answer is due.
func ended(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return closed || err != nil
}

func newRequest(method, address, path string, body []byte) *http.Request {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // method and URL are constants and addresses of this package
	}
	return req
}
