// Package crowd checks that a process bounds its memory and its open descriptors while many clients send a part of a request
// and stay open.
package crowd

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialers     = 32
	dialTimeout = 5 * time.Second
	// quietTime is how long nothing is sent by any client until the crowd counts as settled, and settleLimit bounds the wait.
	quietTime   = 500 * time.Millisecond
	settleLimit = 10 * time.Second
)

// Request is what a client sends before it stops.
type Request struct {
	Header string // with the empty line at its end, unless it stops short
	Body   []byte
	// Piece is sent again and again after Body, with a pause of pieceInterval, while the client is open.
	// An empty one isn't sent.
	Piece []byte
}

// pieceInterval is the pause between two pieces of a body.
const pieceInterval = 100 * time.Millisecond

// Crowd is a set of clients that stay open until Close.
type Crowd struct {
	clients []*client
	sent    atomic.Int64 // bytes
	wg      sync.WaitGroup
	done    chan struct{}
}

// Counts says what became of the clients of a crowd.
type Counts struct {
	Clients, Refused int // refused: no connection
	Answered         map[int]int
	Closed           int // without an answer
}

// Ended returns how many clients don't hold a connection with a request that is neither answered nor closed.
func (c Counts) Ended() int {
	n := c.Refused + c.Closed
	for _, k := range c.Answered {
		n += k
	}
	return n
}

type client struct {
	conn net.Conn // nil if it was refused

	mu     sync.Mutex
	status int
	closed bool
}

// Open opens n clients at an address, parallel of them at a time. Client i sends request(i).
func Open(address string, n, parallel int, request func(i int) Request) *Crowd {
	c := &Crowd{clients: make([]*client, n), done: make(chan struct{})}
	var next atomic.Int64
	var dialing sync.WaitGroup
	for range parallel {
		dialing.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				c.clients[i] = c.open(address, request(i))
			}
		})
	}
	dialing.Wait()
	return c
}

func (c *Crowd) open(address string, r Request) *client {
	one := &client{}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return one
	}
	one.conn = conn
	sent := make(chan struct{})
	c.wg.Go(func() {
		c.send(conn, r, sent)
	})
	c.wg.Go(one.read)
	select { // a body that isn't read blocks its client, not the next one
	case <-sent:
	case <-time.After(quietTime / 10):
	}
	return one
}

func (c *Crowd) send(conn net.Conn, r Request, sent chan struct{}) {
	ok := c.write(conn, []byte(r.Header)) && c.write(conn, r.Body)
	close(sent)
	for ok && len(r.Piece) > 0 {
		select {
		case <-c.done:
			return
		case <-time.After(pieceInterval):
			_, err := conn.Write(r.Piece)
			ok = err == nil
		}
	}
}

func (c *Crowd) write(conn net.Conn, data []byte) bool {
	const chunk = 16 << 10
	for len(data) > 0 {
		n, err := conn.Write(data[:min(chunk, len(data))])
		c.sent.Add(int64(n))
		if err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// read waits for the answer or the end of the connection.
func (c *client) read() {
	resp, err := http.ReadResponse(bufio.NewReaderSize(c.conn, 512), nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.closed = true
		return
	}
	c.status = resp.StatusCode
	_ = resp.Body.Close()
}

// Settle waits until the clients have sent all that the process takes.
func (c *Crowd) Settle() {
	deadline := time.Now().Add(settleLimit)
	for before := int64(-1); before != c.sent.Load() && time.Now().Before(deadline); {
		before = c.sent.Load()
		time.Sleep(quietTime)
	}
}

// Counts returns what has become of the clients so far.
func (c *Crowd) Counts() Counts {
	counts := Counts{Clients: len(c.clients), Answered: make(map[int]int)}
	for _, one := range c.clients {
		if one.conn == nil {
			counts.Refused++
			continue
		}
		one.mu.Lock()
		if one.status != 0 {
			counts.Answered[one.status]++
		} else if one.closed {
			counts.Closed++
		}
		one.mu.Unlock()
	}
	return counts
}

// Close closes all connections.
func (c *Crowd) Close() {
	close(c.done)
	for _, one := range c.clients {
		if one.conn != nil {
			_ = one.conn.Close()
		}
	}
	c.wg.Wait()
}
