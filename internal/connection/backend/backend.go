// Package backend maintains pools of HTTP/1.1 connections to backend servers and to entries of other data centres.
//
// A Pool sends each request on one connection and never resends it, whatever the method. This is why it does not use
// net/http's Transport, which resends requests that it considers replayable when a reused connection fails. Requests are
// written and responses are read with net/http.
package backend

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of all errors of this package.
var Error = errs.Class("backend connection")

// ErrConnsInUse is returned if a server already has MaxConnsPerServer open connections and none is idle.
var ErrConnsInUse = errors.New("all connections to the server are in use")

// Options configures a pool. A zero value selects the default.
type Options struct {
	MaxConnsPerServer int           // default 64
	ConnectTimeout    time.Duration // default 2s
	ProgressTimeout   time.Duration // longest time without progress while a body is sent or received, default 10s
	// FirstResponseTimeout is the longest wait for the first response, interim (1xx) or final; 0 means no limit. It is
	// meant for servers that send an interim response as soon as they have received a request.
	FirstResponseTimeout time.Duration
	IdleTimeout          time.Duration // longest time that a connection stays idle, default 30s
	// TLS returns the TLS configuration for a host; nil means plain TCP.
	TLS func(host string) *tls.Config
}

func (o Options) withDefaults() Options {
	if o.MaxConnsPerServer == 0 {
		o.MaxConnsPerServer = 64
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = 2 * time.Second
	}
	if o.ProgressTimeout == 0 {
		o.ProgressTimeout = 10 * time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 30 * time.Second
	}
	return o
}

const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	tcpUserTimeout = 5 * time.Second
)

// Pool holds the open connections of each server address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu      sync.Mutex
	servers map[string]*serverConns
}

type serverConns struct {
	idle []*conn // ordered by idleSince, the most recent last
	open int
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	o = o.withDefaults()
	return &Pool{
		options: o,
		dialer: net.Dialer{
			Timeout:         o.ConnectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
			Control:         setTCPUserTimeout,
		},
		servers: make(map[string]*serverConns),
	}
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose peer stops acknowledging data.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errs.Combine(controlErr, err)
}

// RoundTrip sends a request to the server at req.URL.Host and returns its response with the body still unread. The caller
// must read the body to its end or close it. wrote reports whether any byte of the request was written to the connection,
// also after an error. The connection is closed if ctx ends before the body was read.
func (p *Pool) RoundTrip(ctx context.Context, req *http.Request) (resp *http.Response, wrote bool, err error) {
	c, err := p.acquire(ctx, req.URL.Host)
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	resp, err = c.roundTrip(ctx, req)
	return resp, c.requestStarted(), Error.Wrap(err)
}

// acquire returns an idle connection that was checked to be open, or dials a new one.
func (p *Pool) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		c, err := p.popIdleOrReserve(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.usable(time.Now().Add(-p.options.IdleTimeout)) {
			return c, nil
		}
		c.discard()
	}
}

// popIdleOrReserve removes and returns an idle connection. If there is none, it counts a new connection as open and returns
// nil.
func (p *Pool) popIdleOrReserve(address string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	if s == nil {
		s = &serverConns{}
		p.servers[address] = s
	}
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle[n-1] = nil
		s.idle = s.idle[:n-1]
		return c, nil
	}
	if s.open >= p.options.MaxConnsPerServer {
		return nil, ErrConnsInUse
	}
	s.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.countClosed(address)
		return nil, err
	}
	if p.options.TLS == nil {
		return newConn(p, address, raw, raw), nil
	}
	host, _, _ := net.SplitHostPort(address)
	secure := tls.Client(raw, p.options.TLS(host))
	if err := secure.HandshakeContext(ctx); err != nil {
		p.countClosed(address)
		return nil, errs.Combine(err, raw.Close())
	}
	return newConn(p, address, secure, raw), nil
}

// countClosed reduces the count of a server's open connections by one.
func (p *Pool) countClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	s.open--
	if s.open == 0 {
		delete(p.servers, address)
	}
}

// release returns a connection to the idle list.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	s := p.servers[c.address]
	s.idle = append(s.idle, c)
}

// CloseIdle closes the connections that have been idle since before the given time.
func (p *Pool) CloseIdle(before time.Time) {
	for _, c := range p.removeExpired(before) {
		c.discard()
	}
}

// removeExpired removes and returns the connections that have been idle since before the given time.
func (p *Pool) removeExpired(before time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*conn
	for _, s := range p.servers {
		n := 0
		for n < len(s.idle) && s.idle[n].idleSince.Before(before) {
			n++
		}
		old = append(old, s.idle[:n]...)
		s.idle = append([]*conn(nil), s.idle[n:]...)
	}
	return old
}

// OpenConns returns the number of open connections to a server.
func (p *Pool) OpenConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		return s.open
	}
	return 0
}
