package jobcontrol

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/connection/replication"
	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/leader"
	"laburnumrouter/internal/process/journal"
	"laburnumrouter/internal/process/metrics"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/process/server"
)

const (
	// tickInterval and electionTicks give an election timeout of 0.5 to 1 s. That is longer than the retransmission
	// timeout of a lost packet or a CPU stall of 0.1 s, and short compared with the users' limit for recovery (recovery_s,
	// 12 s).
	tickInterval  = 50 * time.Millisecond
	electionTicks = 10
	// handoverTicks is the time after which a leader whose disk lags behind the others' hands over: 1 s. Until then the
	// others' disks carry its commits.
	handoverTicks = 20
	// snapshotEntries is the number of log entries between snapshots, unless their size is reached first (replica.Budget). At 60
	// entries a second on a busy day, a snapshot is taken every 70 s.
	snapshotEntries = 4096
	// bodiesFraction is the part of MemoryMB that the bodies of concurrent calls from entries may take up.
	bodiesFraction = 32
	// bodyCost is the memory for each byte of a body from an operator or a backend server. A decoded configuration takes several times
	// the size of its body.
	bodyCost = 10
	// outgoingFiles is the part of the descriptors, as a divisor, that is kept for connections to backend servers and other instances.
	outgoingFiles = 4
	// drainPeriod is how long a stopping instance goes on forwarding calls, so that callers can switch to other instances.
	drainPeriod = 800 * time.Millisecond
	// shutdownTimeout bounds the wait for calls in progress, which take a few milliseconds.
	shutdownTimeout = 1500 * time.Millisecond
	headerTimeout   = 3 * time.Second
	// journalCheckInterval is the time between checks for a failure of the journal.
	journalCheckInterval = 100 * time.Millisecond
	// sizesInterval is the time between updates of the gauges of the log's size.
	sizesInterval  = time.Second
	maxHeaderBytes = 16 << 10
	// peerWriteTimeout is the time without progress after which a connection that has something to be written is closed. It
	// ends streams to a process that is suspended or cut off.
	peerWriteTimeout = 2 * time.Second
	idleTimeout      = 60 * time.Second
)

// Dependencies holds what the program passes in: clients of the backend servers and machines, the file system, and the
// public HTTP handler.
type Dependencies struct {
	Servers  dispatch.Servers
	Machines dispatch.Machines
	// FS is the file system of the data folder; nil means the operating system's.
	FS journal.FS
	// ReloadSeeds reads the seeds from the settings file again; nil if they never change.
	ReloadSeeds func() ([]string, error)
	// Public builds the handler for operators and backend servers; do executes a call on the leader.
	Public func(do func(context.Context, *dispatch.Call) *dispatch.Reply) http.Handler
}

// Run runs a control instance until ctx ends. After a storage failure it opens the data folder again.
func Run(ctx context.Context, s *Settings, deps Dependencies, log hclog.Logger) error {
	server.LimitHeap(&s.Node)
	c, err := newControl(s, deps, log)
	if err != nil {
		return err
	}
	return errors.Join(c.run(ctx), c.metrics.Close())
}

// control is what lives as long as the process: listeners, metrics and the client of the leader. It serves also while the data
// folder can't be written.
type control struct {
	settings *Settings
	log      hclog.Logger
	deps     Dependencies
	budget   replica.Budget
	client   *leader.Client
	metrics  *metrics.Registry
	bodies   *server.Bodies // of calls from entries
	intake   *server.Intake
	folder   folderUse
	outage   folderOutage
	peers    peerSwitch
}

func newControl(s *Settings, deps Dependencies, log hclog.Logger) (*control, error) {
	disk, err := s.diskBytes(os.Getenv(DiskVariable))
	if err != nil {
		return nil, err
	}
	budget := replica.BudgetFor(s.MemoryMB<<20, disk)
	log.Info("limits", "memory_mb", s.MemoryMB, "disk_mb", disk>>20, "log_kept_bytes", budget.KeepBytes, "snapshot_bytes", budget.SnapshotBytes, "state_bytes", budget.StateBytes)
	if least := replica.LeastDisk(s.MemoryMB << 20); disk > 0 && disk < least {
		log.Warn("the disk has no room for all that its limits allow", "disk_mb", disk>>20, "least_mb", least>>20)
	}
	registry := metrics.New("laburnum_jobs", s.Name)
	c := &control{
		settings: s, log: log, deps: deps, budget: budget, metrics: registry, bodies: server.NewBodies((s.MemoryMB << 20) / bodiesFraction),
		folder: folderUse{limit: disk}, outage: folderOutage{scope: registry.Scope()},
		client: leader.NewClient(PeerAddresses(s.Seeds, s.PeerListen), nil, log.Named("leader")),
	}
	c.intake = server.NewIntake(server.LimitsFor(&s.Node, bodyCost, outgoingFiles), log.Named("intake"), registry.Scope())
	c.peers.use(absentHandler(nil))
	if deps.FS == nil {
		c.deps.FS = journal.OS{}
	}
	if deps.ReloadSeeds != nil {
		c.client.ReadSeedsWith(func() ([]string, error) {
			seeds, err := deps.ReloadSeeds()
			return PeerAddresses(seeds, s.PeerListen), err
		})
	}
	return c, nil
}

// run serves until ctx ends. It returns an error if a server fails, or the data folder in a way that doesn't pass.
func (c *control) run(ctx context.Context) error {
	public, err := net.Listen("tcp", c.settings.Listen)
	if err != nil {
		return Error.Wrap(err)
	}
	peers, err := net.Listen("tcp", cmp.Or(c.settings.PeerBind, c.settings.PeerListen))
	if err != nil {
		return Error.Wrap(errors.Join(err, public.Close()))
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servers := []*http.Server{newServer(c.deps.Public(c.client.Do)), newServer(&c.peers)}
	servers[1].Protocols.SetUnencryptedHTTP2(true)
	servers[1].HTTP2 = &http.HTTP2Config{
		WriteByteTimeout: peerWriteTimeout, MaxReceiveBufferPerConnection: replication.ReceiveBufferBytes, MaxReceiveBufferPerStream: replication.ReceiveBufferBytes,
	}
	shutdowns := []func(context.Context) error{servers[0].Shutdown, server.TrackSilentConns(servers[1]).Shutdown}
	var group errgroup.Group
	go c.intake.Run(work)
	for i, l := range []net.Listener{c.intake.Public("public", servers[0], public), c.intake.Trusted("peers", peers)} {
		group.Go(func() error { return serve(servers[i], l) })
	}
	c.serveMetrics(work, &group)
	group.Go(func() error {
		defer stopWork()
		err := c.takePart(ctx, func() { c.shutDown(shutdowns) })
		return errors.Join(err, servers[0].Close(), servers[1].Close())
	})
	err = group.Wait()
	c.log.Info("stopped", "error", err)
	return Error.Wrap(err)
}

// takePart takes part in the log until ctx ends, and calls shutDown then. A data folder that fails is opened again after a pause.
func (c *control) takePart(ctx context.Context, shutDown func()) error {
	for ctx.Err() == nil {
		began := time.Now()
		err := c.takePartOnce(ctx, shutDown)
		if !isStorageError(err) {
			return err
		}
		c.awaitReopening(ctx, began, err)
	}
	shutDown()
	return nil
}

// awaitReopening waits until a data folder that was opened at began, and failed, is to be opened again, or ctx ends.
func (c *control) awaitReopening(ctx context.Context, began time.Time, err error) {
	if ctx.Err() != nil {
		c.log.Warn("the data folder failed while the instance stopped", "error", err)
		return
	}
	attempt, lasted := c.outage.failed(began, time.Now())
	pause := reopenPause(attempt)
	c.log.Error("the data folder failed; it is opened anew after a pause", "attempt", attempt, "failing_for", lasted, "error", err, "pause", pause)
	c.awaitRoom(ctx, pause)
}

// awaitRoom waits until the disk has room again that was missing, the pause is over or ctx ends.
func (c *control) awaitRoom(ctx context.Context, pause time.Duration) {
	over := time.NewTimer(pause)
	defer over.Stop()
	ticker := time.NewTicker(roomCheckInterval)
	defer ticker.Stop()
	missing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-over.C:
			return
		case <-ticker.C:
		}
		err := c.checkRoom()
		if err == nil && missing {
			c.log.Info("the disk of the data folder has room again")
			return
		}
		missing = err != nil
	}
}

// takePartOnce takes part until ctx ends or the data folder fails.
func (c *control) takePartOnce(ctx context.Context, shutDown func()) error {
	p, err := c.open()
	if err != nil {
		return err
	}
	c.outage.opened()
	c.peers.use(p.peerHandler())
	c.client.SetLocal(p.dispatcher)
	err = p.run(ctx, shutDown)
	c.client.SetLocal(nil)
	c.peers.use(absentHandler(p.memberAddresses()))
	return err
}

// checkRoom reports whether the data folder can be written.
func (c *control) checkRoom() error { return checkRoom(c.deps.FS, c.settings.DataDir) }

// shutDown lets the calls in progress end.
func (c *control) shutDown(shutdowns []func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, shutdown := range shutdowns {
		if err := shutdown(ctx); err != nil {
			c.log.Warn("calls in progress are aborted", "error", err)
		}
	}
}

func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveMetrics serves metrics if the settings have an address for them. If the address can't be used, the instance runs
// without metrics.
func (c *control) serveMetrics(ctx context.Context, group *errgroup.Group) {
	if c.settings.MetricsListen == "" {
		return
	}
	l, err := net.Listen("tcp", c.settings.MetricsListen)
	if err != nil {
		c.log.Warn("metrics are not served", "address", c.settings.MetricsListen, "error", err)
		return
	}
	s := newServer(c.metrics)
	tracked := c.intake.Public("metrics", s, l)
	group.Go(func() error { return serve(s, tracked) })
	group.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
}
