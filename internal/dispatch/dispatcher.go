package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// Replica is what a Dispatcher needs of the replicated log.
type Replica interface {
	Log
	Status() replica.Status
}

// Options sets up a Dispatcher.
type Options struct {
	Name string
	// Address is where other processes reach this one; announcements are told to come here while it leads.
	Address  string
	Engine   *Engine
	Replica  Replica
	Servers  Servers
	Machines Machines // nil without a platform for machines
	Log      hclog.Logger
	Scope    tally.Scope
	// ElectionTime is the least time for which replicas that hear a leader elect no other.
	ElectionTime time.Duration
	// MachineLease is how long a machine belongs to the holder that last ordered it (lease_ms of the users' bounds).
	MachineLease time.Duration
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
	authority     *authority
	machineLease  time.Duration
	session       atomic.Pointer[session]
}

// New returns a dispatcher to Run.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		name: o.Name, address: o.Address, engine: o.Engine, replica: o.Replica, servers: o.Servers, machines: o.Machines,
		log: o.Log, stats: newStats(o.Scope), authority: newAuthority(o.ElectionTime), machineLease: o.MachineLease,
	}
}

// watchEvery is the time between looks at who leads; a change is noticed well within an election timeout.
const watchEvery = 50 * time.Millisecond

// Run follows the leadership of this instance until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	go d.authority.run(ctx, d.replica)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.end("the process stops")
			return nil
		case <-ticker.C:
			d.watch(ctx)
		}
	}
}

// watch begins or ends a session.
func (d *Dispatcher) watch(ctx context.Context) {
	status := d.replica.Status()
	current := d.session.Load()
	if current != nil && (!status.IsLeader || status.Term != current.holder.Fence) {
		d.end(fmt.Sprintf("term %d, leader %q", status.Term, status.Leader))
		current = nil
	}
	if current != nil || !status.IsLeader || !d.authority.Held() {
		return
	}
	// The authority was confirmed by a read index, so everything committed before is applied here.
	if d.replica.Status().Term != status.Term || d.authority.term.Load() != status.Term {
		return
	}
	d.session.Store(newSession(ctx, d, status.Term))
}

func (d *Dispatcher) end(reason string) {
	if s := d.session.Swap(nil); s != nil {
		s.close(reason)
	}
}

// Stop ends the session before leadership is handed over.
func (d *Dispatcher) Stop() {
	d.authority.revoke()
	d.end("the process stops")
}

// leading returns the session if this instance leads beyond doubt.
func (d *Dispatcher) leading() *session {
	s := d.session.Load()
	if s == nil || !d.authority.Held() {
		return nil
	}
	return s
}

// Leads reports whether this instance leads beyond doubt.
func (d *Dispatcher) Leads() bool { return d.leading() != nil }

// Limits returns the bounds of callers' requests in the configuration that is applied here; zero without one.
func (d *Dispatcher) Limits() accepted.Limits {
	d.engine.mu.Lock()
	defer d.engine.mu.Unlock()
	if index := d.engine.ledger.Index(); index != nil {
		return index.Config().Limits
	}
	return accepted.Limits{}
}

// ErrNotLeader is returned where this instance does not lead: nothing was done.
var ErrNotLeader = Error.New("this instance does not lead")

// Do carries out a call. It returns ErrNotLeader if another instance has to be asked.
func (d *Dispatcher) Do(ctx context.Context, c *Call) (*Reply, error) {
	s := d.leading()
	if s == nil {
		return nil, ErrNotLeader
	}
	began := boottime.Now()
	reply, err := s.do(ctx, c)
	if errors.Is(err, replica.ErrNotLeader) {
		return nil, ErrNotLeader
	}
	if err != nil {
		reply = &Reply{Outcome: Uncertain, Reason: err.Error()}
	}
	if isRead(c.Op) && !d.authority.Held() {
		// Another leader may have gone further while the state was read.
		return nil, ErrNotLeader
	}
	reply.Leader = d.address
	d.stats.scope.Tagged(map[string]string{"op": string(c.Op), "outcome": string(reply.Outcome)}).Counter("calls").Inc(1)
	d.stats.call.Record(boottime.Now() - began)
	s.logCall(c, reply)
	return reply, nil
}

func isRead(op Op) bool {
	return op == OpState || op == OpPending || op == OpGetConfig || op == OpWaveState || op == OpExplain || op == OpStatus
}

// logCall writes a line for each decision on a caller's or an operator's request.
func (s *session) logCall(c *Call, r *Reply) {
	switch c.Op {
	case OpSubmit, OpCancel:
		s.log.Info("request decided", "op", c.Op, "request", c.RequestID, "path", c.Path, "outcome", r.Outcome, "reason", r.Reason)
	case OpPutConfig, OpStartWave, OpLeave:
		s.log.Info("order decided", "op", c.Op, "request", c.RequestID, "outcome", r.Outcome, "reason", r.Reason)
	case OpState:
		if r.Outcome != OK {
			s.log.Info("request decided", "op", c.Op, "request", c.RequestID, "path", c.Path, "outcome", r.Outcome, "reason", r.Reason)
		}
	}
}

func (s *session) do(ctx context.Context, c *Call) (*Reply, error) {
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
		return s.putConfig(c)
	case OpGetConfig:
		return s.getConfig()
	case OpAnnounce:
		return s.announce(c)
	case OpLeave:
		return s.leave(c)
	case OpStartWave:
		return s.startWave(c)
	case OpWaveState:
		return s.waveState(c)
	case OpExplain:
		return s.explain(c), nil
	case OpStatus:
		return s.status(), nil
	}
	return &Reply{Outcome: Invalid, Reason: "unknown operation"}, nil
}

// announce takes in what a backend server says of itself. What others rely on is committed before the answer.
func (s *session) announce(c *Call) (*Reply, error) {
	s.engine.mu.Lock()
	now := boottime.Now()
	before := s.fleet.Get(c.Server.ID)
	change := s.fleet.Announce(*c.Server, now)
	server := s.fleet.Get(c.Server.ID)
	if change == fleet.Appeared && before != nil {
		s.rebornLocked(c.Server.ID)
	}
	if change != fleet.Stale {
		server.Clock.Observe(c.Server.ClockMS, now, now)
		if server.FailedCalls > 0 {
			s.holdLocked(c.Server.ID) // it may answer again
		}
	}
	held, known := s.engine.ledger.KnownServers()[c.Server.ID]
	commit := change != fleet.Stale && (!known || held.Born != server.Born || held.Draining != server.Draining ||
		held.Pool != server.Pool || held.Address != server.Address)
	announced := server.Server
	if change == fleet.Appeared || change == fleet.Leaving {
		s.rereadLocked(0)
		s.log.Info("backend server announced", "server", announced.ID, "pool", announced.Pool, "address", announced.Address,
			"data_centre", announced.DataCentre, "born", announced.Born, "draining", announced.Draining)
	}
	s.engine.mu.Unlock()
	if commit {
		if _, err := s.propose(&ledger.Command{Servers: []ledger.Server{announced}}); err != nil {
			return nil, err
		}
		s.notify()
	}
	return &Reply{Outcome: OK}, nil
}

// leave takes in that a backend server ends. Its runs are closed once it no longer answers or its leases lapse.
func (s *session) leave(c *Call) (*Reply, error) {
	s.engine.mu.Lock()
	server := s.fleet.Get(c.Server.ID)
	if server == nil {
		s.engine.mu.Unlock()
		return &Reply{Outcome: OK}, nil
	}
	server.Draining = true
	gone := ledger.Incarnation{ID: server.ID, Born: server.Born}
	runs := len(s.engine.ledger.LiveOn(server.ID))
	if runs == 0 {
		server.Left = true
	}
	s.engine.mu.Unlock()
	if runs > 0 {
		return &Reply{Outcome: OK, Reason: "runs are open"}, nil
	}
	if _, err := s.propose(&ledger.Command{Gone: []ledger.Incarnation{gone}}); err != nil {
		return nil, err
	}
	s.engine.mu.Lock()
	if now := s.fleet.Get(gone.ID); now != nil && now.Born == gone.Born {
		s.fleet.Remove(gone.ID)
	}
	s.engine.mu.Unlock()
	return &Reply{Outcome: OK}, nil
}
