package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
	"laburnumrouter/proto/laburnum/v1/laburnumv1connect"
)

// stepCounter counts Step calls and fails every proposal with a fixed error.
type stepCounter struct {
	laburnumv1connect.UnimplementedReplicaServiceHandler
	steps        atomic.Int64
	proposeError error
}

func (s *stepCounter) Step(context.Context, *laburnumv1.StepRequest) (*laburnumv1.StepResponse, error) {
	s.steps.Add(1)
	return &laburnumv1.StepResponse{}, nil
}

func (s *stepCounter) Propose(context.Context, *laburnumv1.ProposeRequest) (*laburnumv1.ProposeResponse, error) {
	return nil, s.proposeError
}

// serveReplica serves the replica service on a free port and returns its address.
func serveReplica(t *testing.T, s *stepCounter) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(laburnumv1connect.NewReplicaServiceHandler(s))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// silentProxy forwards TCP connections to target. Connections with a number up to silencedUpTo stay open, but their data
// is discarded.
type silentProxy struct {
	listener     net.Listener
	target       string
	silencedUpTo atomic.Int64 // data of connections up to this number is discarded
	accepted     atomic.Int64
}

func startProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &silentProxy{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

func (p *silentProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		number := p.accepted.Add(1)
		go p.copy(out, in, number)
		go p.copy(in, out, number)
	}
}

func (p *silentProxy) copy(to, from net.Conn, number int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if number <= p.silencedUpTo.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil && !errors.Is(err, io.EOF) {
			_ = from.Close()
			return
		}
	}
}

func TestSilentLinkIsRedialled(t *testing.T) {
	service := &stepCounter{}
	proxy := startProxy(t, serveReplica(t, service))
	transport := newReplicaTransport(peer.NewDialer, []settings.Peer{{Name: "b", Address: proxy.listener.Addr().String()}})
	send := func() bool {
		before := service.steps.Load()
		transport.Send(&laburnumv1.Member{Name: "b"}, []*laburnumv1.ReplicaMessage{{From: "a", To: "b"}})
		time.Sleep(20 * time.Millisecond)
		return service.steps.Load() > before
	}
	arrives := wait.InitialSuccess(wait.BoolFunc(send), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond))
	must.Wait(t, arrives)
	silent := transport.Peer(&laburnumv1.Member{Name: "b"})
	proxy.silencedUpTo.Store(proxy.accepted.Load())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(send), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	// Send must replace the silent connection itself: the HTTP/2 ping would do so only after the control log had elected
	// a new leader.
	must.True(t, transport.Peer(&laburnumv1.Member{Name: "b"}) != silent)
}

func TestForwardedProposalErrorTellsNotInLogFromUnknown(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	notLeader := serveReplica(t, &stepCounter{proposeError: connect.NewError(connect.CodeFailedPrecondition, replica.ErrNotLeader)})
	broken := serveReplica(t, &stepCounter{proposeError: connect.NewError(connect.CodeUnavailable, errors.New("lost"))})
	cases := []struct {
		name, address string
		want          error
	}{
		{"no address", "", replica.ErrNotLeader},
		{"not listening", closed.Addr().String(), replica.ErrNotLeader},
		{"not the leader", notLeader, replica.ErrNotLeader},
		{"answer lost", broken, replica.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		transport := newReplicaTransport(peer.NewDialer, nil)
		_, _, err := transport.Propose(context.Background(), &laburnumv1.Member{Name: "b", Address: c.address}, nil)
		must.True(t, errors.Is(err, c.want), must.Sprint(c.name, err))
	}
}
