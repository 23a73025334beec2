package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/escrow"
	"laburnumrouter/internal/process/logging"
	"laburnumrouter/internal/process/settings"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/request/idempotency"
	"laburnumrouter/internal/request/outcome"
	"laburnumrouter/internal/request/queue"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	waitLimit      = 10 * time.Second // limits every wait of a test
	testSlots      = 4
	workspaceLimit = 1000
	testKey        = "test-key"
	backendKey     = "backend-key"
)

// testFleet is a set of entries with real listeners in the process of the test.
type testFleet struct {
	t       testing.TB
	entries []*testEntry
	servers []*testServer
}

type testEntry struct {
	*Entry
	publicAddress, peerAddress string
	stop                       func() // ends its listeners and loops
}

// newFleet starts an entry in each of the given data centres.
func newFleet(t testing.TB, dataCentres ...string) *testFleet {
	f := &testFleet{t: t}
	var peers []settings.Peer
	var listeners []net.Listener
	for i, dc := range dataCentres {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		listeners = append(listeners, l)
		peers = append(peers, settings.Peer{Name: fmt.Sprintf("e%d", i), DataCentre: dc, Address: l.Addr().String()})
	}
	for i, l := range listeners {
		f.entries = append(f.entries, f.start(peers, i, l))
	}
	return f
}

func (f *testFleet) start(peers []settings.Peer, i int, l net.Listener) *testEntry {
	s := DefaultSettings()
	s.Name, s.DataCentre = peers[i].Name, peers[i].DataCentre
	sum := sha256.Sum256([]byte(backendKey))
	s.BackendKeySHA256 = hex.EncodeToString(sum[:])
	for j, p := range peers {
		if j != i {
			s.Entries = append(s.Entries, p)
		}
	}
	e, err := New(s, logging.Discard())
	must.NoError(f.t, err)
	e.permits = escrow.NewStatic(func(string) int { return workspaceLimit })
	weight := func(workspace, pool string) uint32 { return e.store.View().Share(workspace, pool) }
	e.queue = queue.New(e.router, e.permits, e.ids, weight, e.now)
	e.records = &memoryRecords{states: make(map[string]laburnumv1.RecordState)}
	e.awaitingHeader.after = 10 * time.Millisecond
	must.NoError(f.t, e.store.Advance(configuration(), 1))
	public := httptest.NewServer(e.publicHandler())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	peerServer := &http.Server{Handler: e.peerHandler(), Protocols: protocols}
	go func() { _ = peerServer.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	loops := []func(context.Context) error{e.exchangeLoop, e.queueRefreshLoop, e.connectionCheckLoop, e.grantLoop}
	for _, p := range e.schedulers.peers {
		loops = append(loops, func(ctx context.Context) error { return e.schedulers.settleLoop(ctx, p) })
	}
	for _, loop := range loops {
		go func() { _ = loop(ctx) }()
	}
	var once sync.Once
	te := &testEntry{Entry: e, publicAddress: public.Listener.Addr().String(), peerAddress: l.Addr().String()}
	te.stop = func() {
		once.Do(func() {
			cancel()
			_ = peerServer.Close()
			public.CloseClientConnections()
			public.Close()
			_ = e.metrics.Close()
		})
	}
	f.t.Cleanup(te.stop)
	return te
}

func configuration() []*laburnumv1.Change {
	sum := sha256.Sum256([]byte(testKey))
	cfg := &laburnumv1.Configuration{
		SheetNumber: 1,
		Pools:       []*laburnumv1.Pool{{Name: "p", Service: "s"}},
		Queues:      []*laburnumv1.Queue{{Name: "q", Pool: "p", MaxWaitMs: 60_000, MaxRunMs: 5000, MaxWaiting: 1000}},
		Teams:       []*laburnumv1.Team{{Name: "t", Share: 1, Limit: workspaceLimit}},
		Keys:        []*laburnumv1.Key{{Sha256: sum[:], Team: "t"}},
	}
	return []*laburnumv1.Change{{Index: 1, Kind: &laburnumv1.Change_Configuration{
		Configuration: &laburnumv1.ConfigurationDelta{SheetNumber: 1, Upsert: cfg},
	}}}
}

// testServer is a backend server that runs handler for each request after reading its body.
type testServer struct {
	name    string
	address string
	handler func(w http.ResponseWriter, r *http.Request)
	runs    atomic.Int32
	running atomic.Int32
	peak    atomic.Int32
	seen    sync.Map // request ids
}

// ServeHTTP implements http.Handler.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	s.runs.Add(1)
	s.seen.Store(r.Header.Get(forward.HeaderRequestID), true)
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for {
		peak := s.peak.Load()
		if n <= peak || s.peak.CompareAndSwap(peak, n) {
			break
		}
	}
	s.handler(w, r)
}

// echo answers with the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// waitForRelease blocks a request until the test releases it or the request ends.
func waitForRelease(r *http.Request, release <-chan struct{}) {
	select {
	case <-release:
	case <-r.Context().Done():
	}
}

// raw returns a handler that writes text to the connection as it is and closes it.
func raw(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = rw.WriteString(text)
		_ = rw.Flush()
		_ = conn.Close()
	}
}

// addServer starts a backend server that announces itself to all entries of a data centre.
func (f *testFleet) addServer(dataCentre string, handler func(http.ResponseWriter, *http.Request)) *testServer {
	s := &testServer{name: fmt.Sprintf("i%d", len(f.servers)), handler: handler}
	server := httptest.NewServer(s)
	f.t.Cleanup(server.Close)
	f.t.Cleanup(server.CloseClientConnections) // runs first: Close waits for running requests
	s.address = server.Listener.Addr().String()
	f.servers = append(f.servers, s)
	index := uint64(len(f.servers) + 1)
	for _, e := range f.entries {
		a := &laburnumv1.Assignment{Instance: s.name, Pool: "p", Epoch: 1, State: laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED}
		must.NoError(f.t, e.store.Advance([]*laburnumv1.Change{{Index: index, Kind: &laburnumv1.Change_Assignment{Assignment: a}}}, index))
		if e.settings.DataCentre == dataCentre {
			f.announce(e, s, 1, e.now())
		}
	}
	return s
}

// announce passes an entry an announcement of a server that lists no running requests. The heard time may lie in the
// future, to stand for a later announcement.
func (f *testFleet) announce(e *testEntry, s *testServer, sequence uint64, heard time.Time) {
	e.directory.Observe(&laburnumv1.InstanceView{
		Instance: s.name, Address: s.address, Slots: testSlots, Incarnation: 1, Sequence: sequence, RunningComplete: true,
	}, heard)
	e.router.Refresh(e.now())
	e.queue.Reevaluate()
}

// announceServers announces the servers to the entries of a data centre until the test ends.
func (f *testFleet) announceServers(dataCentre string) {
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() {
		for sequence := uint64(2); pause(ctx, 500*time.Millisecond); sequence++ {
			for _, e := range f.entries {
				for _, s := range f.servers {
					if e.settings.DataCentre == dataCentre {
						f.announce(e, s, sequence, e.now())
					}
				}
			}
		}
	}()
}

// reply is what a caller received.
type reply struct {
	status  int
	outcome outcome.Outcome
	body    string
	err     error // the response is incomplete
	header  http.Header
}

// call sends a request to an entry.
func (f *testFleet) call(e *testEntry, method, body string, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	return f.callWith(ctx, e, method, body, headers...)
}

func (f *testFleet) callWith(ctx context.Context, e *testEntry, method, body string, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.publicAddress+"/q/q/x", strings.NewReader(body))
	must.NoError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, outcome: outcome.Outcome(resp.Header.Get(outcome.Header)), body: string(b), err: err, header: resp.Header}
}

// eventually waits until ok returns true and fails the test after waitLimit.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", waitLimit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// idle reports whether an entry holds no slot and no permit, and has no grant issued.
func (e *testEntry) idle(servers ...*testServer) bool {
	for _, s := range servers {
		if e.router.InFlight(s.name) != 0 {
			return false
		}
	}
	_, used := e.router.Capacity("p", e.now())
	return used == 0 && e.permits.Running("t") == 0 && e.grants.size() == 0
}

// reason returns the reason in the type of a problem document.
func (r reply) reason() string {
	var p struct {
		Type string `json:"type"`
	}
	_ = json.Unmarshal([]byte(r.body), &p)
	return p.Type[strings.LastIndex(p.Type, ":")+1:]
}

func anyUse(*laburnumv1.NodeUse) bool { return true }

// memoryRecords keeps the idempotency records of one entry in memory.
type memoryRecords struct {
	mu     sync.Mutex
	states map[string]laburnumv1.RecordState
}

// Begin implements idempotency.Recorder.
func (m *memoryRecords) Begin(_ context.Context, key, _ string, _ []byte) (idempotency.Verdict, *laburnumv1.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, known := m.states[key]
	if known && state != laburnumv1.RecordState_RECORD_STATE_NOT_RUN {
		return idempotency.OutcomeUnknown, nil, nil
	}
	m.states[key] = laburnumv1.RecordState_RECORD_STATE_STARTED
	return idempotency.Run, &laburnumv1.Record{Key: key}, nil
}

// Finish implements idempotency.Recorder.
func (m *memoryRecords) Finish(_ context.Context, r *laburnumv1.Record, state laburnumv1.RecordState, _ *laburnumv1.StoredResponse) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[r.Key] = state
	return nil
}
