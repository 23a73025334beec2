package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// watchedSendBuffer bounds what waits in the kernel for a slow link, in front of heartbeats and pings.
const watchedSendBuffer = 128 << 10

// watchedPingTimeout closes a connection on which nothing has arrived for long, whatever its owner thinks of it.
const watchedPingTimeout = 15 * time.Second

// Watched is a dialer for one peer whose owner decides when a silent connection is given up.
type Watched struct {
	*Dialer
	conn *atomic.Pointer[watchedConn]
}

// Watched returns a dialer with connections of its own. One from which nothing came for pingAfter is pinged.
func (d *Dialer) Watched(pingAfter time.Duration) *Watched {
	current := &atomic.Pointer[watchedConn]{}
	dialer := &net.Dialer{Timeout: connectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(watchedSendBuffer)
		}
		w := &watchedConn{Conn: conn}
		w.heard()
		current.Store(w)
		return w, nil
	}
	pings := &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: watchedPingTimeout}
	return &Watched{Dialer: newDialer(d.source, dial, pings), conn: current}
}

// Silence returns how long nothing has come on the newest connection, and how many bytes were written to it since. Both are 0 if there
// is none.
func (w *Watched) Silence() (silent time.Duration, written int64) {
	conn := w.conn.Load()
	if conn == nil {
		return 0, 0
	}
	written = conn.written.Load()
	return time.Duration(time.Since(processStart) - time.Duration(conn.heardAt.Load())), written
}

// processStart is the origin of watchedConn.heardAt.
var processStart = time.Now()

// watchedConn records when something came last, and what was written since.
type watchedConn struct {
	net.Conn
	heardAt atomic.Int64 // in nanoseconds after processStart
	written atomic.Int64
}

func (c *watchedConn) heard() {
	c.heardAt.Store(int64(time.Since(processStart)))
	c.written.Store(0)
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard()
	}
	return n, err
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}
