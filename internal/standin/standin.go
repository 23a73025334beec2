// Package standin simulates backend servers and the platform that owns them, for tests and the quick start. It counts the
// requests that it runs.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/entry"
	"laburnumrouter/internal/process/metrics"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/request/forward"
	"laburnumrouter/internal/standin/platform"
)

// bodyCost and outgoingFiles are those of server.LimitsFor.
const bodyCost, outgoingFiles = 5, 4

// Error is the class of all errors of this package.
var Error = errs.Class("standin")

const (
	// requestTimeout bounds an announcement to an entry instance, and a server's wait for the header of a request.
	requestTimeout   = time.Second
	announceInterval = 500 * time.Millisecond
	maxRunTime       = time.Minute
)

// Standin simulates a set of backend servers and their platform.
type Standin struct {
	settings *Settings
	log      hclog.Logger
	metrics  *metrics.Registry
	ready    server.Readiness
	runs     *runRecorder
	servers  map[string]*backendServer
	client   *http.Client
	platform *platform.Platform
}

// backendServer is one simulated backend server.
type backendServer struct {
	standin     *Standin
	settings    ServerSettings
	listener    net.Listener
	incarnation atomic.Uint64
	sequence    atomic.Uint64
	epoch       atomic.Uint64 // highest assignment epoch in any reply to an announcement
	leaving     atomic.Bool
	nextEntry   int
	fault       faultSwitch
	silent      silentConns

	mu      sync.Mutex
	running map[string]bool // by request id
	// down is closed when the server goes down for a reboot; nil while it is down.
	down chan struct{}
}

// New returns a stand-in whose servers listen on loopback ports chosen by the kernel.
func New(s *Settings, log hclog.Logger) (*Standin, error) {
	st := &Standin{
		settings: s,
		log:      log,
		metrics:  metrics.New("laburnum_standin", s.Name),
		runs:     newRunRecorder(),
		servers:  make(map[string]*backendServer),
		client:   &http.Client{Timeout: requestTimeout},
		platform: platform.New(time.Now),
	}
	st.platform.Reboot = st.reboot
	for i, cfg := range s.Servers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		b := &backendServer{
			standin:   st,
			settings:  cfg,
			listener:  listener,
			nextEntry: i,
			running:   make(map[string]bool),
		}
		b.boot()
		st.servers[cfg.Name] = b
	}
	st.ready.SetCheck(func() (bool, string) { return true, "" })
	return st, nil
}

// Run serves until ctx ends.
func (st *Standin) Run(ctx context.Context) error {
	listeners, err := server.Listen(&st.settings.Node)
	if err != nil {
		return Error.Wrap(err)
	}
	server.LimitHeap(&st.settings.Node)
	listeners.LimitClients(server.NewIntake(server.LimitsFor(&st.settings.Node, bodyCost, outgoingFiles), st.log.Named("intake"), st.metrics.Scope()))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return server.Serve(ctx, listeners, st.publicHandler(), http.NotFoundHandler(), &st.ready, st.settings.StopTimeout.Std())
	})
	for _, b := range st.servers {
		group.Go(func() error { return b.serve(ctx, st.settings.StopTimeout.Std()) })
		group.Go(func() error { return b.announceLoop(ctx) })
	}
	return Error.Wrap(errs.Combine(group.Wait(), st.metrics.Close()))
}

func (st *Standin) publicHandler() http.Handler {
	mux := http.NewServeMux()
	server.HandleHealthAndMetrics(mux, &st.ready, st.metrics)
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(st.runs.snapshot())
	})
	mux.HandleFunc("GET /standin/events", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(st.runs.copyEvents())
	})
	mux.HandleFunc("POST /standin/leave/{server}", func(w http.ResponseWriter, r *http.Request) {
		b := st.servers[r.PathValue("server")]
		if b == nil {
			http.Error(w, "no such server", http.StatusNotFound)
			return
		}
		b.leaving.Store(true)
	})
	mux.HandleFunc("POST /standin/fault/{server}", st.handleFault)
	mux.HandleFunc("GET /standin/servers", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(st.addresses())
	})
	st.platform.Handle(mux)
	return mux
}

// addresses returns the listen address of each server, by name.
func (st *Standin) addresses() map[string]string {
	addresses := make(map[string]string, len(st.servers))
	for name, b := range st.servers {
		addresses[name] = b.listener.Addr().String()
	}
	return addresses
}

func (b *backendServer) serve(ctx context.Context, stopTimeout time.Duration) error {
	s := &http.Server{Handler: b, ReadHeaderTimeout: requestTimeout}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		done <- s.Shutdown(stopCtx)
	}()
	if err := s.Serve(b.listener); err != http.ErrServerClosed {
		return err
	}
	return <-done
}

// ServeHTTP runs a request. The query parameter ms sets the run time in milliseconds; the answer is the server's name and
// the request body.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	workspace := r.Header.Get(forward.HeaderWorkspace)
	id := r.Header.Get(forward.HeaderRequestID)
	down := b.downChannel()
	if down == nil {
		panic(http.ErrAbortHandler) // the server is down: close the connection without an answer
	}
	fault := b.fault.next()
	if b.injectBeforeRun(fault, w, r) {
		return
	}
	b.setRunning(id, true)
	defer b.setRunning(id, false)
	runs := b.standin.runs
	runs.start(b.settings.Name, workspace, r.Header.Get("Idempotency-Key"))
	aborted := false
	defer func() { runs.end(workspace, aborted) }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		aborted = true
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	run := min(time.Duration(ms)*time.Millisecond, maxRunTime)
	if fault == FaultSlow {
		run += slowDelay
	}
	select {
	case <-time.After(run):
	case <-r.Context().Done():
		aborted = true
		return
	case <-down:
		aborted = true
		panic(http.ErrAbortHandler)
	}
	answer := b.settings.Name + " " + string(body)
	if b.injectAfterRun(fault, w, answer) {
		return
	}
	w.Header().Set("Standin-Server", b.settings.Name)
	_, _ = io.WriteString(w, answer)
}

func (b *backendServer) setRunning(id string, running bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if running {
		b.running[id] = true
		return
	}
	delete(b.running, id)
}

func (b *backendServer) announceLoop(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if b.downChannel() != nil {
			b.announce(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// announce sends an announcement to one entry instance. If that fails, the next announcement goes to the next instance.
func (b *backendServer) announce(ctx context.Context) {
	entries := b.standin.settings.Entries
	target := entries[b.nextEntry%len(entries)]
	if err := b.announceTo(ctx, target); err != nil {
		b.standin.log.Debug("announcement failed", "server", b.settings.Name, "entry", target, "error", err)
		b.nextEntry++
	}
}

func (b *backendServer) announceTo(ctx context.Context, target string) error {
	body, err := json.Marshal(b.announcement())
	if err != nil {
		return err
	}
	url := "http://" + target + "/v1/instances/" + b.settings.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+b.standin.settings.BackendKey.Reveal())
	resp, err := b.standin.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return Error.New("entry answered %s", resp.Status)
	}
	var reply entry.AnnouncementReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	b.learnEpoch(reply.Epoch)
	return nil
}

// learnEpoch keeps the highest assignment epoch that any entry instance has replied with.
func (b *backendServer) learnEpoch(epoch uint64) {
	for {
		known := b.epoch.Load()
		if epoch <= known || b.epoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

func (b *backendServer) announcement() *entry.Announcement {
	a := &entry.Announcement{
		Address:     b.listener.Addr().String(),
		DataCentre:  b.standin.settings.DataCentre,
		Rack:        b.settings.Rack,
		Services:    b.settings.Services,
		Slots:       b.settings.Slots,
		Incarnation: b.incarnation.Load(),
		Sequence:    b.sequence.Add(1),
		State:       "serving",
		Epoch:       b.epoch.Load(),
	}
	if s := b.settings; s.MilliCPU > 0 {
		a.Resources = &entry.AnnouncedResources{MilliCPU: s.MilliCPU, MemoryBytes: s.MemoryBytes, Accelerators: s.Accelerators}
	}
	if b.leaving.Load() {
		a.State = "leaving"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.running {
		a.Running = append(a.Running, id)
	}
	return a
}
