package jobentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/process/metrics"
	"laburnumrouter/internal/process/server"
	"laburnumrouter/internal/process/settings"
)

// Error is the class of all errors of this package.
var Error = errs.Class("job entry")

const (
	// maxContactAge is how long an entry stays ready after the last response from the leader. It covers an election and
	// the first responses after it.
	maxContactAge = 3 * time.Second
	// drainPeriod is how long a stopping entry goes on serving while it reports itself as not ready. The load balancer
	// notices after two checks, one second apart.
	drainPeriod = 2500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in progress; together with drainPeriod it stays under the
	// time that a process gets for a stop (the users' limit grace_s, 6 s).
	shutdownTimeout = 2500 * time.Millisecond
	// bodyCost is the memory for each byte of a body: it is read into a growing buffer, decoded and sent on.
	bodyCost = 5
	// outgoingFiles is the part of the descriptors, as a divisor, that is kept for connections to control instances.
	outgoingFiles = 8
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// maxHeaderBytes bounds the header of a request before the configured limit is applied (16,384 bytes in the users'
	// configurations).
	maxHeaderBytes = 64 << 10
)

// Dependencies holds the handlers and functions that the program passes in.
type Dependencies struct {
	// Callers builds the handler for callers' requests; do forwards a call to the leader.
	Callers func(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler
	// Ready builds the handler for the load balancer's readiness checks.
	Ready func(ready func() bool) http.Handler
	// ReloadSeeds reads the seeds from the settings file again.
	ReloadSeeds func() ([]string, error)
	// Reload receives a value each time the settings file may have changed.
	Reload <-chan struct{}
}

type entry struct {
	settings *Settings
	deps     Dependencies
	log      hclog.Logger
	client   *leader.Client
	metrics  *metrics.Registry
	stopping atomic.Bool
}

// Run runs an entry until ctx ends. peerAddresses returns the peer addresses of the control instances from their public
// addresses (the seeds) and this instance's PeerListen.
func Run(ctx context.Context, s *Settings, deps Dependencies, peerAddresses func([]string, string) []string, log hclog.Logger) error {
	server.LimitHeap(&s.Node)
	e := &entry{settings: s, deps: deps, log: log, metrics: metrics.New("laburnum_jobentry", s.Name)}
	e.client = leader.NewClient(peerAddresses(s.Seeds, s.PeerListen), nil, log.Named("leader"))
	e.client.ReadSeedsWith(func() ([]string, error) {
		seeds, err := deps.ReloadSeeds()
		return peerAddresses(seeds, s.PeerListen), err
	})
	log.Info("starting", "listen", s.Listen, "seeds", s.Seeds)
	return e.run(ctx, peerAddresses)
}

// ready reports whether the load balancer should route callers to this entry.
func (e *entry) ready() bool {
	return !e.stopping.Load() && !e.client.CutOff() && time.Since(e.client.LastContact()) < maxContactAge
}

// do forwards a call to the leader, records its outcome and latency in the metrics, and logs a call whose outcome is
// unavailable or unknown.
func (e *entry) do(ctx context.Context, c *dispatch.Call) *dispatch.Reply {
	began := time.Now()
	reply := e.client.Do(ctx, c)
	scope := e.metrics.Scope().Tagged(map[string]string{"op": string(c.Op), "outcome": string(reply.Outcome)})
	scope.Counter("calls").Inc(1)
	scope.Timer("call_latency").Record(time.Since(began))
	if reply.Outcome == dispatch.Unavailable || reply.Outcome == dispatch.OutcomeUnknown {
		e.log.Warn("request not served", "op", c.Op, "request", c.RequestID, "path", c.Path, "outcome", reply.Outcome,
			"reason", reply.Reason, "took", time.Since(began), "leader_heard", time.Since(e.client.LastContact()))
	}
	return reply
}

func (e *entry) run(ctx context.Context, peerAddresses func([]string, string) []string) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	intake := server.NewIntake(server.LimitsFor(&e.settings.Node, bodyCost, outgoingFiles), e.log.Named("intake"), e.metrics.Scope())
	callerServer := newServer(e.closeConnections(e.limitRequests(e.deps.Callers(e.do))))
	readyServer := newServer(e.deps.Ready(e.ready))
	group, serverFailed := errgroup.WithContext(context.Background())
	err := listen(group, intake, "callers", callerServer, e.settings.Listen)
	if err == nil {
		err = listen(group, intake, "readiness", readyServer, e.settings.ReadyListen)
	}
	if err != nil {
		return Error.Wrap(errors.Join(err, callerServer.Close(), readyServer.Close()))
	}
	go intake.Run(work)
	go e.serveMetrics(work, intake)
	go e.client.MonitorLeader(work)
	go e.client.MonitorNear(work, e.settings.DataCentre)
	go e.watchSettings(work, peerAddresses)
	select {
	case <-ctx.Done():
		e.stop(callerServer)
	case <-serverFailed.Done(): // a server ends by itself only if its listener fails
		err = callerServer.Close()
	}
	stopWork()
	err = errors.Join(err, readyServer.Close(), group.Wait())
	e.log.Info("stopped", "error", err)
	return Error.Wrap(err)
}

// serveMetrics serves metrics until ctx ends. If that fails, the entry goes on without metrics.
func (e *entry) serveMetrics(ctx context.Context, intake *server.Intake) {
	if e.settings.MetricsListen == "" {
		return
	}
	s := newServer(e.metrics)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	l, err := net.Listen("tcp", e.settings.MetricsListen)
	if err == nil {
		err = s.Serve(intake.Public("metrics", s, l))
	}
	if !errors.Is(err, http.ErrServerClosed) {
		e.log.Warn("metrics are not served", "address", e.settings.MetricsListen, "error", err)
	}
}

// limitRequests rejects requests that exceed the header or body limit of the configuration in force.
func (e *entry) limitRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limits := e.client.Limits()
		if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
			e.log.Info("request refused", "path", r.URL.Path, "reason", "its header is too large", "bytes", headerBytes(r), "limit", limits.HeaderBytes)
			http.Error(w, "the header is larger than allowed", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if limits.BodyBytes > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
		}
		h.ServeHTTP(w, r)
	})
}

// headerBytes returns the approximate size of a request's header.
func headerBytes(r *http.Request) int64 {
	const lineOverhead = 4 // colon, space and the end of the line
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineOverhead
		}
	}
	return int64(n)
}

// stop shuts the entry down gracefully: it reports itself as not ready for drainPeriod, then accepts no new connections,
// and waits for the requests in progress.
func (e *entry) stop(callerServer *http.Server) {
	e.log.Info("stopping")
	e.stopping.Store(true)
	time.Sleep(drainPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		e.log.Warn("requests in progress are aborted", "error", err)
	}
}

// closeConnections sets "Connection: close" on responses while the entry is stopping or cut off from the control
// instances, so that callers reconnect to another entry.
func (e *entry) closeConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() || e.client.CutOff() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// watchSettings applies the seeds of the settings file each time the file may have changed.
func (e *entry) watchSettings(ctx context.Context, peerAddresses func([]string, string) []string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.deps.Reload:
		}
		seeds, err := e.deps.ReloadSeeds()
		e.log.Info("reload of the seeds from the settings file", "seeds", seeds, "error", err)
		if err == nil {
			e.client.SetSeeds(peerAddresses(seeds, e.settings.PeerListen))
		}
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func listen(group *errgroup.Group, intake *server.Intake, name string, s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l = intake.Public(name, s, l)
	group.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

var _ settings.Checker = (*Settings)(nil)
