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
	// maxHeaderBytes bounds the header of a response, together with the interim responses before it.
	maxHeaderBytes = 64 << 10
)

// ErrHeaderTooLarge is returned for a response whose header exceeds maxHeaderBytes (64 KiB).
var ErrHeaderTooLarge = errors.New("the header of the response is too large")

// ErrNoMessageLength is returned for a response whose body is delimited only by the end of the connection, because a
// truncated body can't be told from a complete one.
var ErrNoMessageLength = errors.New("the response has neither Content-Length nor chunked coding")

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	pool    *Pool
	address string
	stream  net.Conn // TLS or raw
	raw     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer

	idleSince       time.Time
	written         atomic.Int64 // total number of bytes passed to stream.Write
	writtenBefore   int64        // value of written when the current request began
	headerBytesLeft int          // bytes that the header may still take; -1 while a body is read
	progressTimeout time.Duration
	closeOnce       sync.Once
}

func newConn(p *Pool, address string, stream, raw net.Conn) *conn {
	c := &conn{pool: p, address: address, stream: stream, raw: raw, progressTimeout: p.options.ProgressTimeout}
	c.reader = bufio.NewReaderSize(connReader{c}, bufferBytes)
	c.writer = bufio.NewWriterSize(connWriter{c}, bufferBytes)
	return c
}

// connWriter writes to the connection, with progressTimeout for each write, and counts the bytes.
type connWriter struct{ c *conn }

// Write implements io.Writer.
func (w connWriter) Write(p []byte) (int, error) {
	if err := w.c.stream.SetWriteDeadline(time.Now().Add(w.c.progressTimeout)); err != nil {
		return 0, err
	}
	w.c.written.Add(int64(len(p)))
	return w.c.stream.Write(p)
}

// connReader reads from the connection. It limits the size of a header, and applies progressTimeout to each read of a body.
type connReader struct{ c *conn }

// Read implements io.Reader.
func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headerBytesLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.headerBytesLeft > 0 {
		p = p[:min(len(p), c.headerBytesLeft)]
		n, err := c.stream.Read(p)
		c.headerBytesLeft -= n
		return n, err
	}
	if err := c.stream.SetReadDeadline(time.Now().Add(c.progressTimeout)); err != nil {
		return 0, err
	}
	return c.stream.Read(p)
}

// firstResponseDeadline returns the time by which the first response to a request that is sent now must arrive; zero means
// no limit.
func (c *conn) firstResponseDeadline() time.Time {
	if c.pool.options.FirstResponseTimeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(c.pool.options.FirstResponseTimeout)
}

// requestStarted reports whether any byte of the current request was passed to stream.Write.
func (c *conn) requestStarted() bool { return c.written.Load() > c.writtenBefore }

// usable reports whether an idle connection can carry another request. It can't if it has been idle since before oldest, was
// closed, or holds unsolicited bytes.
func (c *conn) usable(oldest time.Time) bool {
	return c.idleSince.After(oldest) && c.reader.Buffered() == 0 && openAndEmpty(c.raw)
}

// openAndEmpty reports whether a connection is open and has no bytes to read.
func openAndEmpty(raw net.Conn) bool {
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

// discard closes the connection. Further calls have no effect.
func (c *conn) discard() {
	c.closeOnce.Do(func() {
		_ = c.stream.Close()
		c.pool.countClosed(c.address)
	})
}

// roundTrip sends the request and reads the response's header. After an error the connection is closed.
func (c *conn) roundTrip(ctx context.Context, req *http.Request) (*http.Response, error) {
	c.writtenBefore = c.written.Load()
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
