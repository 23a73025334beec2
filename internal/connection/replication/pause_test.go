package replication_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/connection/replication"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// pausingListener accepts connections whose reader pauses once after each pauseEvery bytes.
type pausingListener struct{ slowListener }

const pauseEvery = 1 << 20

func (l pausingListener) Accept() (net.Conn, error) {
	conn, err := l.slowListener.Accept()
	return &pausingConn{Conn: conn}, err
}

type pausingConn struct {
	net.Conn
	read atomic.Int64
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if before := c.read.Add(int64(n)) - int64(n); before/pauseEvery != (before+int64(n))/pauseEvery {
		time.Sleep(350 * time.Millisecond)
	}
	return n, err
}

// Guards against a member that never gets a large message, such as a configuration: its machine pauses now and then, the answer to a ping
// waited for a whole buffer besides, and the connection was taken for dead in the middle of each attempt.
func TestLargeMessageArrivesAtMemberThatPauses(t *testing.T) {
	in := startInboxOn(t, pausingListener{slowListener{listenLoopback(), 2 << 20}})
	links := replication.NewLinks(peer.NewDialer, nil, 0)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Minute), wait.Gap(5*time.Second), wait.BoolFunc(func() bool {
		if len(in.numbers()) == 0 { // the log sends again what is not acknowledged
			links.Send(&laburnumv1.Member{Name: "b", Address: in.address}, []*laburnumv1.ReplicaMessage{{From: "a", To: "b", Data: make([]byte, 4<<20)}})
		}
		return len(in.numbers()) > 0
	})))
}
