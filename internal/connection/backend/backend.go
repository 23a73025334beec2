// Package backend keeps the connections to backend servers, and to entries of other data centres.
//
// A Pool sends each request exactly once on one connection and never by itself a second time, whatever
// the method: net/http's Transport resends requests that it takes for replayable when a reused
// connection fails. Messages are written and read by net/http.
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

// ErrConnsInUse is returned if a server has as many connections as it may have.
var ErrConnsInUse = errors.New("all connections to the server are in use")

// Options bounds the connections of a pool. Zero values stand for the defaults.
type Options struct {
	MaxConnsPerServer int           // default 64
	ConnectTimeout    time.Duration // default 2s
	ProgressTimeout   time.Duration // longest silence within a body, default 10s
	// FirstWordTimeout is the longest wait for the first answer, interim or not; 0 for no limit. It is for servers that
	// send an interim answer as soon as they have a request.
	FirstWordTimeout time.Duration
	IdleTimeout      time.Duration // longest time unused, default 30s
	// TLS returns the settings towards a host; nil for plain TCP.
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
	// unackedTimeout is how long sent bytes may stay without acknowledgement.
	unackedTimeout = 5 * time.Second
)

// Pool holds connections by server address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu      sync.Mutex
	servers map[string]*serverConns
}

type serverConns struct {
	idle []*conn // the one used last is at the end
	open int
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	o = o.withDefaults()
	return &Pool{
		options: o,
		dialer: net.Dialer{
			Timeout:         o.ConnectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
			Control:         limitUnacked,
		},
		servers: make(map[string]*serverConns),
	}
}

// limitUnacked ends connections whose peer no longer acknowledges what was sent.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errs.Combine(controlErr, err)
}

// RoundTrip sends a request to the server at req.URL.Host and returns the head of its answer. The caller
// must read the body to its end or close it. wrote tells whether any byte of the request left, also if
// there was an error. The end of ctx closes the connection.
func (p *Pool) RoundTrip(ctx context.Context, req *http.Request) (resp *http.Response, wrote bool, err error) {
	c, err := p.take(ctx, req.URL.Host)
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	resp, err = c.roundTrip(ctx, req)
	return resp, c.sent(), Error.Wrap(err)
}

// take returns an idle connection that is proven open, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c, err := p.reserve(address)
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

// reserve pops an idle connection, or returns nil after making room for a new one.
func (p *Pool) reserve(address string) (*conn, error) {
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
		p.forget(address)
		return nil, err
	}
	if p.options.TLS == nil {
		return newConn(p, address, raw, raw), nil
	}
	host, _, _ := net.SplitHostPort(address)
	secure := tls.Client(raw, p.options.TLS(host))
	if err := secure.HandshakeContext(ctx); err != nil {
		p.forget(address)
		return nil, errs.Combine(err, raw.Close())
	}
	return newConn(p, address, secure, raw), nil
}

// forget counts a connection as closed.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	s.open--
	if s.open == 0 {
		delete(p.servers, address)
	}
}

// put makes a connection available again.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	s := p.servers[c.address]
	s.idle = append(s.idle, c)
}

// CloseIdle closes the connections that were idle since before the given time.
func (p *Pool) CloseIdle(before time.Time) {
	for _, c := range p.expired(before) {
		c.discard()
	}
}

func (p *Pool) expired(before time.Time) []*conn {
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

// Open returns the number of open connections to a server.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[address]; s != nil {
		return s.open
	}
	return 0
}
