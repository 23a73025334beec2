package server

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// past is a deadline that makes blocked reads fail.
var past = time.Unix(1, 0)

// holder is a connection of a client, or one of the streams of an HTTP/2 connection.
type holder struct {
	intake  *Intake
	count   *listenerCount
	trusted bool
	base    int64 // bytes that it is counted with in any stage
	conn    *trackedConn
	stream  *http.ResponseController // nil for a connection

	stage    atomic.Int32
	since    atomic.Int64 // time.Duration since Intake.start
	bytes    atomic.Int64
	received atomic.Int64 // bytes of the body that is being received
	removed  atomic.Bool
	untimed  atomic.Bool  // see holding
	written  atomic.Int64 // bytes of the part of an answer that is being written; 0 if none is
	writeAt  atomic.Int64 // time.Duration since Intake.start
	// cancel ends the context of the request whose body is being received; nil if there is none.
	cancel atomic.Pointer[context.CancelFunc]

	// Guarded by Intake.mu.
	evictedFrom stage
	evictedAt   time.Duration // 0 if it isn't evicted
	leaving     int64         // bytes when it was evicted
	closed      bool          // it has no descriptor any more
}

func (h *holder) current() stage { return stage(h.stage.Load()) }

func (h *holder) holding() holding {
	return holding{
		stage: h.current(), since: time.Duration(h.since.Load()), bytes: h.bytes.Load(), trusted: h.trusted, untimed: h.untimed.Load(),
		writing: h.written.Load() > 0, writeAt: time.Duration(h.writeAt.Load()),
	}
}

// enter changes the stage. It returns false if the holder is evicted.
func (h *holder) enter(next stage) bool {
	for {
		seen := h.stage.Load()
		if stage(seen) == stageEvicted {
			return false
		}
		if h.stage.CompareAndSwap(seen, int32(next)) {
			return true
		}
	}
}

// interrupt ends an evicted holder: one whose body was being received gets an answer first, unless it is to be closed at once.
func (h *holder) interrupt(closeNow bool) {
	if cancel := h.cancel.Load(); cancel != nil {
		(*cancel)() // its handler may wait for something else than the body
	}
	switch {
	case h.stream != nil:
		_ = h.stream.SetReadDeadline(past)
	case closeNow || h.evictedFrom != stageBody:
		_ = h.conn.Close()
	default:
		_ = h.conn.TCPConn.SetWriteDeadline(time.Now().Add(answerTime))
		_ = h.conn.TCPConn.SetReadDeadline(past)
	}
}

// limitReceiveBuffer bounds the receive buffers of connections until a body is received; they take its size from the listener.
func limitReceiveBuffer(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return Error.Wrap(err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, acceptBuffer)
	})
	return Error.Wrap(errs.Combine(err, failed))
}

// trackedListener adds its connections to an intake.
type trackedListener struct {
	net.Listener
	intake  *Intake
	count   *listenerCount
	trusted bool
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		if !l.trusted {
			l.intake.awaitRoom()
		}
		c, err := l.Listener.Accept()
		tcp, ok := c.(*net.TCPConn)
		if err != nil || !ok {
			return c, err
		}
		tracked := &trackedConn{TCPConn: tcp}
		tracked.holder = holder{intake: l.intake, count: l.count, trusted: l.trusted, base: connCost, conn: tracked}
		if l.intake.admit(&tracked.holder) {
			return tracked, nil
		}
		_ = tracked.Close()
		l.intake.remove(&tracked.holder)
	}
}

// trackedConn is a connection in an intake.
type trackedConn struct {
	*net.TCPConn
	holder holder
	// multiplexed is set once the connection is used for HTTP/2; its streams are holders of their own then.
	multiplexed atomic.Bool
}

// trackedKey is the key of a request's trackedConn in its context.
type trackedKey struct{}

// trackedOf returns the tracked connection below c, or nil.
func trackedOf(c net.Conn) *trackedConn {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	tracked, _ := c.(*trackedConn)
	return tracked
}

// Read implements net.Conn. It notices the begin of a request and counts its header.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	h := &c.holder
	if n == 0 || h.trusted || c.multiplexed.Load() {
		return n, err
	}
	grown := int64(n) * headerCost
	switch h.current() {
	case stageEvicted:
		return 0, os.ErrDeadlineExceeded
	case stageIdle:
		grown += requestCost
		h.since.Store(int64(h.intake.now()))
		if !h.enter(stageHeader) {
			return 0, os.ErrDeadlineExceeded
		}
	case stageHeader:
	default:
		return n, err
	}
	if !h.intake.grow(h, grown) {
		_ = c.Close() // net/http would take what it has read of a line for a malformed one, and answer 400
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write implements net.Conn. It counts what the client hasn't taken of an answer.
func (c *trackedConn) Write(p []byte) (int, error) {
	h := &c.holder
	if h.trusted || c.multiplexed.Load() || len(p) == 0 {
		return c.TCPConn.Write(p)
	}
	size := int64(len(p))
	h.writeAt.Store(int64(h.intake.now()))
	h.written.Store(size)
	defer h.written.Store(0)
	if size > requestCost { // smaller ones are within it
		h.intake.charge(h, size) // an answer isn't refused, but others may give way
		defer h.intake.release(h, size)
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline implements net.Conn. An evicted connection isn't read again.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.holder.current() == stageEvicted {
		return c.TCPConn.SetReadDeadline(past)
	}
	return err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.TCPConn.Close()
	if c.holder.trusted {
		c.holder.intake.remove(&c.holder)
	} else { // its goroutine ends later
		c.holder.intake.closed(&c.holder)
	}
	return err
}

// idle records that a request has been answered.
func (c *trackedConn) idle() {
	h := &c.holder
	h.since.Store(int64(h.intake.now()))
	h.intake.shed(h)
	h.enter(stageIdle)
}
