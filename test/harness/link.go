package harness

import (
	"io"
	"net"
	"sync"
)

// linkMode says whether a link forwards traffic.
type linkMode int

const (
	linkOpen linkMode = iota
	// linkBlocked accepts connections but holds back all bytes, also on open connections, until the link is open again.
	linkBlocked
)

// link is a TCP relay between a data centre and a process in another one, which a test can cut.
type link struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cond *sync.Cond
	mode linkMode
	done bool
	// epoch is incremented by blackhole: connections of an earlier epoch forward nothing.
	epoch int
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	l.cond = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) set(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	l.cond.Broadcast()
}

// blackhole stops all traffic on the open connections for good; new connections work.
func (l *link) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch++
}

func (l *link) close() {
	l.mu.Lock()
	l.done = true
	l.cond.Broadcast()
	l.mu.Unlock()
	l.listener.Close()
}

// awaitOpen waits while the link is blocked, and until it is closed for a connection of an earlier epoch. It returns
// false once the link is closed.
func (l *link) awaitOpen(epoch int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for (l.mode == linkBlocked || epoch != l.epoch) && !l.done {
		l.cond.Wait()
	}
	return !l.done
}

func (l *link) currentEpoch() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

func (l *link) relay(from net.Conn) {
	defer from.Close()
	epoch := l.currentEpoch()
	if !l.awaitOpen(epoch) {
		return
	}
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		l.copy(to, from, epoch)
		to.Close()
	}()
	l.copy(from, to, epoch)
}

func (l *link) copy(dst io.Writer, src io.Reader, epoch int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !l.awaitOpen(epoch) {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
