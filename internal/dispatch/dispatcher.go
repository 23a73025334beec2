package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
	"laburnumrouter/internal/version/accepted"
)

// Replica is the part of the replicated log that a Dispatcher uses.
type Replica interface {
	Log
	Status() replica.Status
}

// Options configures a Dispatcher.
type Options struct {
	Name string
	// Address is where other processes reach this instance. While it leads, backend servers announce themselves there.
	Address  string
	Engine   *Engine
	Replica  Replica
	Servers  Servers
	Machines Machines // nil if no platform manages machines
	Log      hclog.Logger
	Scope    tally.Scope
	// ElectionTime is the minimum election timeout: replicas that hear from a leader elect no other for at least this
	// time.
	ElectionTime time.Duration
	// MachineLease is how long a machine is reserved for the leader that last sent an order for it (lease_ms of the
	// platform's limits).
	MachineLease time.Duration
	// DataCentres are the names of the data centres. If the list is empty, those of known servers are known.
	DataCentres []string
	// MemberFormat returns the newest format of commands (ledger.NewestFormat) that all members of the log are known to
	// understand; nil if that is unknown.
	MemberFormat func(context.Context) int
	// Cold bounds the starts on backend servers that are slow after their start.
	Cold schedule.ColdSettings
	// Limits bounds the state that calls may create.
	Limits Limits
}

// Dispatcher serves calls while its instance leads.
type Dispatcher struct {
	name, address string
	engine        *Engine
	replica       Replica
	servers       Servers
	machines      Machines
	log           hclog.Logger
	stats         *stats
	leaderLease   *leaderLease
	machineLease  time.Duration
	dataCentres   []string
	memberFormat  func(context.Context) int
	followerReads *followerReads
	cold          schedule.ColdSettings
	limits        Limits
	session       atomic.Pointer[session]
}

// New returns a Dispatcher. It does nothing until Run is called.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		name: o.Name, address: o.Address, engine: o.Engine, replica: o.Replica, servers: o.Servers, machines: o.Machines,
		log: o.Log, stats: newStats(o.Scope), leaderLease: newLeaderLease(o.ElectionTime), machineLease: o.MachineLease,
		dataCentres: o.DataCentres, cold: o.Cold, limits: o.Limits,
		memberFormat: o.MemberFormat, followerReads: newFollowerReads(o.Engine, o.Replica, o.Scope),
	}
}

// leadershipCheckInterval is the time between checks of who leads. It is well below the election timeout.
const leadershipCheckInterval = 50 * time.Millisecond

// Run starts and ends sessions as this instance gains and loses leadership, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	go d.leaderLease.run(ctx, d.replica)
	go d.followerReads.run(ctx)
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.endSession("the process stops")
			return nil
		case <-ticker.C:
			d.checkLeadership(ctx)
		}
	}
}

// checkLeadership starts or ends a session if leadership has changed.
func (d *Dispatcher) checkLeadership(ctx context.Context) {
	d.reportEvacuations()
	status := d.replica.Status()
	d.leaderLease.logLapse(status, d.log)
	current := d.session.Load()
	if current != nil && (!status.IsLeader || status.Term != current.holder.Fence) {
		d.endSession(fmt.Sprintf("term %d, leader %q", status.Term, status.Leader))
		current = nil
	}
	if current != nil || !status.IsLeader || !d.leaderLease.Held() {
		return
	}
	// The lease was confirmed with a read index, so all entries committed earlier have been applied on this instance.
	if d.replica.Status().Term != status.Term || d.leaderLease.term.Load() != status.Term {
		return
	}
	d.session.Store(newSession(ctx, d, status.Term))
}

func (d *Dispatcher) endSession(reason string) {
	if s := d.session.Swap(nil); s != nil {
		s.close(reason)
	}
}

// Stop ends the session for good. It is called before a stopping process transfers its leadership.
func (d *Dispatcher) Stop() {
	d.leaderLease.revoke(math.MaxUint64)
	d.endSession("the process stops")
}

// Yield makes this instance act as leader no more in the current term. It is called right before the replica hands over
// its leadership, and doesn't block.
func (d *Dispatcher) Yield() { d.leaderLease.revoke(d.replica.Status().Term) }

// activeSession returns the current session, or nil unless this instance holds the leader lease.
func (d *Dispatcher) activeSession() *session {
	s := d.session.Load()
	if s == nil || !s.leaderLease.Held() {
		return nil
	}
	return s
}

// Applied returns the index of the newest log entry that this instance has applied.
func (d *Dispatcher) Applied() uint64 { return d.engine.progress.current() }

// Leads reports whether this instance leads and holds the leader lease.
func (d *Dispatcher) Leads() bool { return d.activeSession() != nil }

// Limits returns the request limits of the configuration applied on this instance; zero if there is none. It doesn't block.
func (d *Dispatcher) Limits() accepted.Limits {
	if limits := d.engine.limits.Load(); limits != nil {
		return *limits
	}
	return accepted.Limits{}
}

// ErrNotLeader is returned if this instance does not lead. The call had no effect.
var ErrNotLeader = Error.New("this instance does not lead")

// Do carries out a call. It returns ErrNotLeader if the call must be sent to another instance.
func (d *Dispatcher) Do(ctx context.Context, c *Call) (*Reply, error) {
	s := d.activeSession()
	if s == nil {
		return nil, ErrNotLeader
	}
	began := boottime.Now()
	reply, err := s.handle(ctx, c)
	if errors.Is(err, replica.ErrNotLeader) {
		return nil, ErrNotLeader
	}
	switch {
	case errors.Is(err, replica.ErrOverloaded):
		reply = overloadedReply(c.Op, err)
	case err != nil:
		reply = &Reply{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
	if isRead(c.Op) && !s.leaderLease.Held() {
		// A new leader may have committed changes while the state was read.
		return nil, ErrNotLeader
	}
	reply.Leader, reply.Chunked, reply.Index = d.address, c.InChunks(), d.engine.progress.current()
	d.stats.scope.Tagged(map[string]string{"op": string(c.Op), "outcome": string(reply.Outcome)}).Counter("calls").Inc(1)
	took := boottime.Now() - began
	d.stats.call.Record(took)
	s.logCall(c, reply, took)
	return reply, nil
}

func isRead(op Op) bool {
	return op == OpState || op == OpPending || op == OpGetConfig || op == OpWaveState || op == OpExplain || op == OpStatus || op == OpCheckConfig
}

// logCall logs the outcome of submissions, cancellations, operators' changes, reads of the configuration, leaving servers, and failed state
// queries.
func (s *session) logCall(c *Call, r *Reply, took time.Duration) {
	switch c.Op {
	case OpGetConfig:
		s.log.Info("configuration read", "request", c.RequestID, "outcome", r.Outcome, "bytes", len(r.Config), "took", took)
	case OpSubmit, OpCancel:
		s.log.Info("request decided", "op", c.Op, "request", c.RequestID, "path", c.Path, "outcome", r.Outcome, "reason", r.Reason)
	case OpPutConfig, OpStartWave, OpLeave:
		if len(r.Missing) > 0 || r.Whole {
			return // nothing is decided yet
		}
		s.log.Info("order decided", "op", c.Op, "request", c.RequestID, "outcome", r.Outcome, "reason", r.Reason, "took", took)
	case OpState:
		if r.Outcome != OK {
			s.log.Info("request decided", "op", c.Op, "request", c.RequestID, "path", c.Path, "outcome", r.Outcome, "reason", r.Reason)
		}
	}
}

func (s *session) handle(ctx context.Context, c *Call) (*Reply, error) {
	if !c.hasParts() {
		return &Reply{Outcome: Invalid, Reason: "the call lacks a part that its operation needs"}, nil
	}
	switch c.Op {
	case OpSubmit:
		return s.submit(c)
	case OpState:
		return s.jobState(c)
	case OpCancel:
		return s.cancelJob(c)
	case OpPending:
		return s.pending(c)
	case OpPutConfig:
		return s.putConfig(ctx, c)
	case OpStageConfig:
		return s.stageConfig(ctx, c)
	case OpGetConfig:
		return s.getConfig(), nil
	case OpAnnounce:
		return s.announce(c)
	case OpLeave:
		return s.leave(c)
	case OpStartWave:
		return s.startWave(c)
	case OpWaveState:
		return s.waveState(c)
	case OpEvacuate:
		return s.orderEvacuation(c)
	case OpExplain:
		return s.explain(c), nil
	case OpStatus:
		return s.status(), nil
	case OpCheckConfig:
		return s.checkConfig(c), nil
	}
	return &Reply{Outcome: Invalid, Reason: "unknown operation"}, nil
}

// announce records what a backend server reports about itself. Changes that other replicas rely on are committed before
// the reply.
func (s *session) announce(c *Call) (*Reply, error) {
	if err := c.Server.Check(); err != nil {
		return &Reply{Outcome: Invalid, Reason: err.Error()}, nil
	}
	var announced ledger.Server
	var mustCommit, left bool
	for contested := true; contested; {
		refusal, confirmed := s.checkAnnouncement(c.Server)
		if refusal != nil {
			return refusal, nil
		}
		announced, mustCommit, left, contested = s.recordAnnouncement(c, confirmed)
	}
	if left {
		return &Reply{Outcome: OK, Reason: "this incarnation has left"}, nil
	}
	if mustCommit {
		if _, err := s.propose(&ledger.Command{Servers: []ledger.Server{announced}}); err != nil {
			return nil, err
		}
		s.notify()
	}
	return &Reply{Outcome: OK}, nil
}

// recordAnnouncement updates the session by an announcement. It returns what the server announced last, whether that must be
// committed, and whether the incarnation has left, so that the announcement has no effect. One that contradicts what is known
// isn't recorded unless its address has confirmed it; contested is set then.
func (s *session) recordAnnouncement(c *Call, confirmed bool) (announced ledger.Server, mustCommit, left, contested bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.engine.ledger.HasLeft(c.Server.ID, c.Server.Born) {
		return ledger.Server{}, false, true, false
	}
	if _, reason := s.contradictedLocked(c.Server); reason != "" && !confirmed {
		return ledger.Server{}, false, false, true // another announcement has come in between
	}
	now := boottime.Now()
	before := s.fleet.Get(c.Server.ID)
	var capacity ledger.Resources
	if before != nil {
		capacity = before.Capacity
	}
	if before != nil && c.Server.Born < before.Born && confirmed && c.Server.Address == before.Address {
		s.fleet.Remove(c.Server.ID) // its address has confirmed that the incarnation with the higher birth is gone
	}
	change := s.fleet.Announce(*c.Server, now)
	server := s.fleet.Get(c.Server.ID)
	switch {
	case change == fleet.Appeared && before != nil:
		s.serverRestartedLocked(before)
	case change == fleet.Appeared:
		s.foundLocked(server)
	}
	if change == fleet.Appeared {
		s.replacedByLocked(*c.Server)
	}
	if change != fleet.Stale {
		server.Clock.ObserveAnnounced(c.Server.ClockMS, now)
		if server.FailedCalls > 0 || server.FencedAt == 0 {
			s.ensureHoldLoopLocked(c.Server.ID) // the server may be reachable again, or healthy
		}
	}
	if change == fleet.Renewed && server.Capacity != capacity {
		s.log.Info("capacity of a backend server changed", "server", c.Server.ID, "from", capacity, "to", server.Capacity)
	}
	// An announcement that isn't newer may repeat one whose commit failed.
	announced, mustCommit = s.uncommittedLocked(server)
	if change == fleet.Appeared || change == fleet.Leaving {
		s.scheduleRefreshLocked(0)
		s.log.Info("backend server announced", "server", announced.ID, "pool", announced.Pool, "address", announced.Address,
			"data_centre", announced.DataCentre, "born", announced.Born, "draining", announced.Draining)
	}
	return announced, mustCommit, false, false
}

// replacedByLocked handles the first announcement of an incarnation: whichever server was at its address before is gone. The address
// has confirmed it (checkAnnouncement).
func (s *session) replacedByLocked(a ledger.Server) {
	if a.Address == "" {
		return
	}
	for id, server := range s.fleet.All() {
		if id != a.ID && server.Address == a.Address && server.Born < a.Born && !server.Left {
			s.incarnationGoneLocked(id, "another backend server has announced itself at its address")
		}
	}
}

// uncommittedLocked returns what a server announced last, and whether the log's state lacks a part that other replicas
// rely on. The sequence number is no lower than the recorded one, below which the log's state doesn't change.
func (s *session) uncommittedLocked(server *fleet.Server) (announced ledger.Server, lacks bool) {
	announced = server.Server
	recorded, known := s.engine.ledger.KnownServers()[server.ID]
	if known && recorded.Born == server.Born {
		announced.Seq = max(announced.Seq, recorded.Seq)
	}
	if known && recorded.Born > server.Born {
		if s.engine.ledger.Format < ledger.FormatPlaces {
			return announced, false // members of earlier versions ignore it
		}
		announced.Replaces = recorded.Born
	}
	lacks = !known || recorded.Born != server.Born || recorded.Draining != server.Draining || recorded.Pool != server.Pool ||
		recorded.Address != server.Address || recorded.DataCentre != server.DataCentre || recorded.Capacity != server.Capacity
	return announced, lacks
}
