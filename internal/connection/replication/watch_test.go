package replication_test

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/connection/replication"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// gate stops all connections of a listener while it is locked, as a process does that doesn't run. The kernel goes on acknowledging.
type gate struct{ sync.RWMutex }

func (g *gate) pass() {
	g.RLock()
	defer g.RUnlock()
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.gate.pass()
	return gatedConn{conn, l.gate}, err
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.pass()
	return n, err
}

func (c gatedConn) Write(p []byte) (int, error) {
	c.gate.pass()
	return c.Conn.Write(p)
}

// Guards against the loss of the connections to a member that only runs late: all streams of a leader broke at once where it, or
// its machine, had little processor time, and messages on the way had to be sent again.
func TestMemberThatRunsLateKeepsItsStream(t *testing.T) {
	var paused gate
	in := startInboxOn(t, gatedListener{listenLoopback(), &paused})
	send := linkTo(in.address)
	send(0)
	awaitTrue(t, func() bool { return len(in.numbers()) == 1 }, "arrival")
	const sent = 100
	for i := 1; i < sent; i++ {
		if i%40 == 10 {
			paused.Lock()
			time.AfterFunc(1500*time.Millisecond, paused.Unlock)
		}
		send(i)
		time.Sleep(50 * time.Millisecond)
	}
	awaitTrue(t, func() bool { got := in.numbers(); return got[len(got)-1] == sent-1 }, "the last arrives")
	for i, n := range in.numbers() {
		must.EqOp(t, i, n, must.Sprint("a message was lost with its stream"))
	}
}

// Guards against a suspended member that gets nothing any more after it has resumed, on a link with small messages or on one whose
// buffers were filled meanwhile.
func TestSuspendedMemberResumes(t *testing.T) {
	var paused gate
	in := startInboxOn(t, gatedListener{listenLoopback(), &paused})
	send := linkTo(in.address)
	send(0)
	awaitTrue(t, func() bool { return len(in.numbers()) == 1 }, "arrival")
	paused.Lock()
	links := replication.NewLinks(peer.NewDialer, nil, 1<<20)
	for range 100 {
		links.Send(&laburnumv1.Member{Name: "b", Address: in.address}, []*laburnumv1.ReplicaMessage{{From: "c", To: "b", Data: make([]byte, 64<<10)}})
		send(1)
		time.Sleep(20 * time.Millisecond)
	}
	paused.Unlock()
	const last = 7
	awaitTrue(t, func() bool {
		send(last)
		links.Send(&laburnumv1.Member{Name: "b", Address: in.address}, []*laburnumv1.ReplicaMessage{{From: "c", To: "b", Data: []byte("8")}})
		got := in.numbers()
		return slices.Contains(got, last) && slices.Contains(got, last+1)
	}, "both links work again")
}
