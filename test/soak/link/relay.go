package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 10 * time.Second
	chunkBytes  = 16 << 10
	acceptPause = 10 * time.Millisecond
)

// Relay is a listener whose connections are relayed to a process.
type Relay struct {
	network  *Network
	listener *net.TCPListener
	from     func(net.Conn) string
	to       string
	target   string
}

// Listen relays connections that arrive at address to the process named to, which listens at target. The function from
// names the process that has made a connection.
func (n *Network) Listen(address, to, target string, from func(net.Conn) string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{network: n, listener: l.(*net.TCPListener), from: from, to: to, target: target}
	go r.accept()
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay's listener.
func (r *Relay) Close() { _ = r.listener.Close() }

func (r *Relay) accept() {
	for {
		conn, err := r.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause) // out of descriptors
			continue
		}
		go r.relay(conn)
	}
}

// relay connects to the target once both directions are open. If the target refuses, the connection is reset.
func (r *Relay) relay(conn *net.TCPConn) {
	p := &pipe{network: r.network, from: r.from(conn), to: r.to, near: conn}
	defer p.close()
	if !r.network.add(p) {
		return
	}
	for _, direction := range [][2]string{{p.from, p.to}, {p.to, p.from}} {
		delay, _, ok := r.network.pass(p, direction[0], direction[1])
		if !ok {
			return
		}
		time.Sleep(delay)
	}
	far, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		r.network.refuse(p)
		return
	}
	if !p.setFar(far.(*net.TCPConn)) {
		return
	}
	r.network.reach(p)
	var both sync.WaitGroup
	both.Go(func() { p.copy(p.far, p.near, p.from, p.to) })
	both.Go(func() { p.copy(p.near, p.far, p.to, p.from) })
	both.Wait()
}

// pipe is a relayed connection.
type pipe struct {
	network  *Network
	from, to string
	near     *net.TCPConn
	silent   bool // guarded by network.mu

	mu     sync.Mutex
	far    *net.TCPConn
	closed bool
}

func (p *pipe) connects(a, b string) bool {
	is := func(pattern, name string) bool { return pattern == Any || pattern == name }
	return is(a, p.from) && is(b, p.to) || is(b, p.from) && is(a, p.to)
}

func (p *pipe) setFar(far *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = far.Close()
		return false
	}
	p.far = far
	return true
}

func (p *pipe) close() {
	p.network.remove(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	_ = p.near.Close()
	if p.far != nil {
		_ = p.far.Close()
	}
}

// reset closes both sides with a TCP reset.
func (p *pipe) reset() {
	p.mu.Lock()
	_ = p.near.SetLinger(0)
	if p.far != nil {
		_ = p.far.SetLinger(0)
	}
	p.mu.Unlock()
	p.close()
}

// copy relays one direction. The end of one direction half-closes the other side; an error closes the connection.
func (p *pipe) copy(dst, src *net.TCPConn, from, to string) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			delay, rate, ok := p.network.pass(p, from, to)
			if !ok {
				return
			}
			if rate > 0 {
				delay += time.Duration(n) * time.Second / time.Duration(rate)
			}
			time.Sleep(delay)
			if _, err := dst.Write(buf[:n]); err != nil {
				p.reset()
				return
			}
		}
		if err != nil {
			p.end(dst, err, from, to)
			return
		}
	}
}

// end passes on the end of a direction: a reset as a reset, an orderly end as a half-close.
func (p *pipe) end(dst *net.TCPConn, err error, from, to string) {
	if _, _, ok := p.network.pass(p, from, to); !ok {
		return
	}
	if errors.Is(err, io.EOF) {
		_ = dst.CloseWrite()
		return
	}
	p.reset()
}
