package link

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	waitLimit = 20 * time.Second
	// quietTime is how long a test looks for bytes that must not come.
	quietTime = 100 * time.Millisecond
)

// echo returns a network with a relay between a and b, where b sends back what it gets, and a connection through it.
func echo(t *testing.T) (*Network, net.Conn) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	n := NewNetwork()
	relay, err := n.Listen("127.0.0.1:0", "b", target.Addr().String(), func(net.Conn) string { return "a" })
	must.NoError(t, err)
	conn, err := net.Dial("tcp", relay.Address())
	must.NoError(t, err)
	t.Cleanup(func() {
		conn.Close()
		relay.Close()
		n.Close()
	})
	return n, conn
}

func exchange(conn net.Conn, limit time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRelayPassesBytesAndEnds(t *testing.T) {
	_, conn := echo(t)
	must.NoError(t, exchange(conn, waitLimit))
	must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func TestCutHoldsBytesBackInOneDirection(t *testing.T) {
	for _, rule := range []Rule{{From: "a", To: "b", Cut: true}, {From: "b", To: "a", Cut: true}, {From: Any, To: "b", Cut: true}} {
		n, conn := echo(t)
		must.NoError(t, exchange(conn, waitLimit))
		remove := n.Add(rule)
		must.ErrorIs(t, exchange(conn, quietTime), os.ErrDeadlineExceeded)
		remove()
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		_, err := io.ReadFull(conn, make([]byte, 1))
		must.NoError(t, err)
	}
}

func TestRulesOfOtherLinksChangeNothing(t *testing.T) {
	n, conn := echo(t)
	n.Add(Rule{From: "a", To: "c", Cut: true})
	n.Add(Rule{From: "c", To: Any, Cut: true})
	must.NoError(t, exchange(conn, waitLimit))
}

func TestSilenceHoldsOpenConnectionsBackForGood(t *testing.T) {
	n, conn := echo(t)
	must.NoError(t, exchange(conn, waitLimit))
	n.Silence("b", "a")
	must.ErrorIs(t, exchange(conn, quietTime), os.ErrDeadlineExceeded)
	again, err := net.Dial("tcp", conn.RemoteAddr().String())
	must.NoError(t, err)
	defer again.Close()
	must.NoError(t, exchange(again, waitLimit))
}

func TestResetAndDelay(t *testing.T) {
	n, conn := echo(t)
	const delay = 50 * time.Millisecond
	n.Add(Rule{From: "a", To: "b", Delay: delay})
	began := time.Now()
	must.NoError(t, exchange(conn, waitLimit))
	must.GreaterEq(t, delay, time.Since(began))
	n.Reset("a", Any)
	err := exchange(conn, waitLimit)
	must.True(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), must.Sprint(err))
}

func TestOwnerFindsProcessOfConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	must.EqOp(t, 1, Owner(accepted, []int{os.Getppid(), os.Getpid()}))
	must.EqOp(t, -1, Owner(accepted, []int{os.Getppid()}))
}
