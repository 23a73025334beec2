package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLarge is returned for an answer whose head passes 64 KiB.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// ErrUnframed is returned for an answer that only the end of its connection would delimit: whether it
// is whole cannot be known.
var ErrUnframed = errors.New("the answer has neither Content-Length nor chunked coding")

// conn is one connection. It carries one request at a time.
type conn struct {
	pool    *Pool
	address string
	stream  net.Conn // TLS or raw
	raw     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer

	idleSince time.Time
	written   atomic.Int64 // bytes handed to the stream in all
	before    int64        // value of written when the present request began
	headLeft  int          // bytes that the head may still have; -1 while a body is read
	progress  time.Duration
	closeOnce sync.Once
}

func newConn(p *Pool, address string, stream, raw net.Conn) *conn {
	c := &conn{pool: p, address: address, stream: stream, raw: raw, progress: p.options.ProgressTimeout}
	c.reader = bufio.NewReaderSize(source{c}, bufferBytes)
	c.writer = bufio.NewWriterSize(sink{c}, bufferBytes)
	return c
}

// sink writes to the connection under the progress deadline and counts what it hands over.
type sink struct{ c *conn }

// Write implements io.Writer.
func (s sink) Write(p []byte) (int, error) {
	if err := s.c.stream.SetWriteDeadline(time.Now().Add(s.c.progress)); err != nil {
		return 0, err
	}
	s.c.written.Add(int64(len(p)))
	return s.c.stream.Write(p)
}

// source reads from the connection: a head within its size, a body under the progress deadline.
type source struct{ c *conn }

// Read implements io.Reader.
func (s source) Read(p []byte) (int, error) {
	c := s.c
	if c.headLeft == 0 {
		return 0, ErrHeadTooLarge
	}
	if c.headLeft > 0 {
		p = p[:min(len(p), c.headLeft)]
		n, err := c.stream.Read(p)
		c.headLeft -= n
		return n, err
	}
	if err := c.stream.SetReadDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	return c.stream.Read(p)
}

// firstWordBy returns when the first answer to a request that is sent now must have come; zero for no limit.
func (c *conn) firstWordBy() time.Time {
	if c.pool.options.FirstWordTimeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(c.pool.options.FirstWordTimeout)
}

// sent reports whether a byte of the present request was handed to the stream.
func (c *conn) sent() bool { return c.written.Load() > c.before }

// usable probes an idle connection. A closed one, or one with bytes that no request asked for, is not.
func (c *conn) usable(oldest time.Time) bool {
	return c.idleSince.After(oldest) && c.reader.Buffered() == 0 && quiet(c.raw)
}

// quiet reports whether a connection is open with nothing to read.
func quiet(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// discard closes the connection for good. Later calls do nothing.
func (c *conn) discard() {
	c.closeOnce.Do(func() {
		_ = c.stream.Close()
		c.pool.forget(c.address)
	})
}

// roundTrip sends the request and reads the head of the answer. After an error the connection is closed.
func (c *conn) roundTrip(ctx context.Context, req *http.Request) (*http.Response, error) {
	c.before = c.written.Load()
	e := &exchange{conn: c, stop: context.AfterFunc(ctx, c.discard)}
	resp, err := e.run(req)
	if err != nil {
		e.abandon()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return resp, nil
}
