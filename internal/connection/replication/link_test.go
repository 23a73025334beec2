package replication_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/connection/peer"
	"laburnumrouter/internal/connection/replication"
	"laburnumrouter/internal/process/settings"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// inbox is a member that records the numbers of the messages that it receives.
type inbox struct {
	replicaServer
	address string
	server  *http.Server
	streams atomic.Int64
	old     atomic.Bool // doesn't know streams
	absent  atomic.Bool // answers streams with 503
	conns   atomic.Int64
	block   chan struct{}

	mu  sync.Mutex
	got []int
}

func startInbox(t *testing.T) *inbox { return startInboxOn(t, listenLoopback()) }

func startInboxOn(t *testing.T, listener net.Listener) *inbox {
	in := &inbox{block: make(chan struct{})}
	close(in.block)
	in.Receiver = replication.NewReceiver(func(_ context.Context, batch []*laburnumv1.ReplicaMessage) error {
		<-in.block
		in.mu.Lock()
		defer in.mu.Unlock()
		for _, m := range batch {
			n, _ := strconv.Atoi(string(m.Data))
			in.got = append(in.got, n)
		}
		return nil
	})
	_, handler := in.Handler(in)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	buffers := &http.HTTP2Config{MaxReceiveBufferPerConnection: replication.ReceiveBufferBytes, MaxReceiveBufferPerStream: replication.ReceiveBufferBytes}
	in.server = &http.Server{Protocols: protocols, HTTP2: buffers, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Stream") {
			if in.old.Load() {
				http.NotFound(w, r)
				return
			}
			if in.absent.Load() {
				http.Error(w, "absent", http.StatusServiceUnavailable)
				return
			}
			in.streams.Add(1)
		}
		handler.ServeHTTP(w, r)
	})}
	l := countingListener{listener, &in.conns}
	in.address = l.Addr().String()
	go func() { _ = in.server.Serve(l) }()
	t.Cleanup(func() { _ = in.server.Close() })
	return in
}

// countingListener counts the connections that are open on the server's side.
type countingListener struct {
	net.Listener
	open *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: conn, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func (in *inbox) numbers() []int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]int(nil), in.got...)
}

func awaitTrue(t *testing.T, ok func() bool, what string) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

func message(n int) []*laburnumv1.ReplicaMessage {
	return []*laburnumv1.ReplicaMessage{{From: "a", To: "b", Data: []byte(strconv.Itoa(n))}}
}

func linkTo(address string) func(n int) {
	links := replication.NewLinks(peer.NewDialer, nil, 0)
	return func(n int) { links.Send(&laburnumv1.Member{Name: "b", Address: address}, message(n)) }
}

// Guards against a call for each batch, and against lost messages with a peer of an earlier version, which is sent Step
// calls.
func TestBatchesShareStreamUnlessPeerIsOld(t *testing.T) {
	for _, old := range []bool{false, true} {
		in := startInbox(t)
		in.old.Store(old)
		send := linkTo(in.address)
		for i := range 50 {
			send(i)
			awaitTrue(t, func() bool { return len(in.numbers()) == i+1 }, "arrival")
			must.Eq(t, i, in.numbers()[i])
		}
		must.Eq(t, !old, in.streams.Load() == 2, must.Sprint("one to ask whether streams are known, one for the batches"))
	}
}

// silentProxy forwards connections to a target. Once silent is set to a number, the data of that many of the first
// connections is discarded.
type silentProxy struct {
	listener         net.Listener
	accepted, silent atomic.Int64
}

func startSilentProxy(t *testing.T, target string) *silentProxy {
	p := &silentProxy{listener: listenLoopback()}
	t.Cleanup(func() { _ = p.listener.Close() })
	go func() {
		for {
			in, err := p.listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				panic(err)
			}
			number := p.accepted.Add(1)
			go func() { _, _ = io.Copy(silencedWriter{out, number, p}, in) }()
			go func() { _, _ = io.Copy(silencedWriter{in, number, p}, out) }()
		}
	}()
	return p
}

type silencedWriter struct {
	io.Writer
	number int64
	proxy  *silentProxy
}

func (w silencedWriter) Write(data []byte) (int, error) {
	if w.number <= w.proxy.silent.Load() {
		return len(data), nil
	}
	return w.Writer.Write(data)
}

// Guards against a dead connection that is found only by a TCP timeout, and against a receiver of the replaced one that
// keeps waiting.
func TestSilentStreamIsReplaced(t *testing.T) {
	in := startInbox(t)
	proxy := startSilentProxy(t, in.address)
	send := linkTo(proxy.listener.Addr().String())
	send(0)
	awaitTrue(t, func() bool { return len(in.numbers()) == 1 }, "arrival")
	proxy.silent.Store(proxy.accepted.Load())
	begin := time.Now()
	for i := 1; len(in.numbers()) == 1; i++ {
		send(i)
		must.Less(t, 10*time.Second, time.Since(begin))
		time.Sleep(10 * time.Millisecond)
	}
	// 0.6 s is the bound on an idle machine; a busy one delays pings and dialling.
	must.Less(t, 2*time.Second, time.Since(begin))
	t.Log("replaced after", time.Since(begin))
}

// Guards against messages that overtake each other where a stream was replaced: those of the replaced one, which is only
// slow, are dropped.
func TestReplacedStreamDeliversNothingMore(t *testing.T) {
	in := startInbox(t)
	client := peer.NewDialer().Peer(settings.Peer{Address: in.address}).Replica
	open := func(connection uint64) *connect.ClientStreamForClientSimple[laburnumv1.StepRequest, laburnumv1.StepResponse] {
		s, err := client.Stream(t.Context())
		must.NoError(t, err)
		must.NoError(t, s.Send(&laburnumv1.StepRequest{Messages: message(int(connection)), Link: 5, Connection: connection}))
		return s
	}
	first := open(1)
	awaitTrue(t, func() bool { return len(in.numbers()) == 1 }, "arrival on the first stream")
	open(2)
	awaitTrue(t, func() bool { return len(in.numbers()) == 2 }, "arrival on the second stream")
	_ = first.Send(&laburnumv1.StepRequest{Messages: message(9)})
	_, err := first.CloseAndReceive()
	must.Error(t, err)
	_, err = client.Step(t.Context(), &laburnumv1.StepRequest{Messages: message(9), Link: 5, Connection: 1})
	must.Error(t, err)
	must.Eq(t, []int{1, 2}, in.numbers())
}

// Guards against a peer that takes nothing: it must neither block the sender nor let its queue grow. Afterwards messages
// arrive again, and all in order.
func TestPeerThatTakesNothingBlocksNobody(t *testing.T) {
	in := startInbox(t)
	in.block = make(chan struct{})
	send := linkTo(in.address)
	begin := time.Now()
	const sent = 20_000
	for i := range sent {
		send(i)
	}
	must.Less(t, 5*time.Second, time.Since(begin))
	close(in.block)
	awaitTrue(t, func() bool { send(sent); got := in.numbers(); return len(got) > 0 && got[len(got)-1] == sent }, "recovery")
	got := in.numbers()
	for i := range got[1:] {
		must.LessEq(t, got[i+1], got[i])
	}
}

// Guards against a server that waits for open streams when it shuts down.
func TestClosedReceiverLetsServerShutDown(t *testing.T) {
	in := startInbox(t)
	send := linkTo(in.address)
	send(0)
	awaitTrue(t, func() bool { return len(in.numbers()) == 1 }, "arrival")
	in.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	must.NoError(t, in.server.Shutdown(ctx))
}

// Guards against connections that pile up while a peer answers but takes no messages, as one does whose disk is full: each failure
// leads to new connections.
func TestConnectionsToAbsentPeerAreClosed(t *testing.T) {
	in := startInbox(t)
	send := linkTo(in.address)
	send(0)
	awaitTrue(t, func() bool { return len(in.numbers()) == 1 }, "the first message arrives")
	in.absent.Store(true)
	in.Receiver.Close()
	for i := range 200 {
		send(1 + i)
		time.Sleep(5 * time.Millisecond)
	}
	awaitTrue(t, func() bool { return in.conns.Load() <= 4 }, "old connections are closed")
}
