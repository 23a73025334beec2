package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/forecast"
	"laburnumrouter/internal/request/lease"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pacing"
	"laburnumrouter/internal/request/pools"
)

// Log is what a session needs of the replicated log.
type Log interface {
	ProposeHere(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	ReadIndex(ctx context.Context) error
}

const (
	// leaseTime is how long runs go on without word from a leader. It outlasts a change of the leader (two
	// election timeouts of 0.5 to 1 s and the first holds) and ends well inside hold_max_ms (10 s), so that
	// tasks of servers that are cut off start elsewhere soon.
	leaseTime = 5 * time.Second
	// inheritSlack is added to leaseTime for leases that an earlier leader granted: it may have led on for as
	// long as it took to notice that it no longer did.
	inheritSlack = 1500 * time.Millisecond
	// holdWait is how long a server may keep a hold open when nothing ends. Leases are renewed as often.
	holdWait = time.Second
	// callTimeout bounds a call to a server besides what it is asked to wait. Servers answer within some ms; a lost packet is
	// sent again after 200 ms.
	callTimeout = 400 * time.Millisecond
	// proposeTimeout bounds the wait for a commit; a commit takes two syncs of 9 ms and a round trip.
	proposeTimeout = 3 * time.Second
	// planPause is the least time between plans, so that what ends together is planned together.
	planPause = 4 * time.Millisecond
	// planEvery is the longest time between plans: due times, lapses and trials come without an event.
	planEvery = 100 * time.Millisecond
)

// Authority tells whether this instance leads beyond doubt.
type Authority interface {
	// Held reports whether no other instance can lead now.
	Held() bool
}

// session is one leadership: from the moment at which all earlier entries are applied until another leads.
type session struct {
	engine    *Engine
	log       hclog.Logger
	replica   Log
	servers   Servers
	machines  Machines
	authority Authority
	holder    Holder
	stats     *stats
	startedAt time.Duration
	// machineLease is how long a machine belongs to the holder that last ordered it.
	machineLease time.Duration

	// Under engine.mu.
	fleet   *fleet.Table
	orders  map[runKey]*order
	holders map[string]*holder
	// reserved are servers whose machines are about to leave.
	reserved map[string]bool
	// paces are the percentages that tasks which fill were last told; pacers decide them, by server.
	paces  map[runKey]int
	pacers map[string]*pacing.Server
	// reservedFor names the server for which a machine was reserved, upkeepTaken is when its upkeep was taken.
	reservedFor map[string]string
	upkeepTaken map[string]time.Duration
	// missing is since when the platform's list has lacked a machine of a wave.
	missing map[string]time.Duration
	// planned counts the starts on a server that are planned and not yet committed.
	planned map[string]int
	// movedAt, movedTo and moveOpen tell when a machine was last moved, where to, and whether that call got no answer.
	movedAt  map[string]time.Duration
	movedTo  map[string]string
	moveOpen map[string]bool
	// avoidMove is until when a machine is left alone that the platform called busy.
	avoidMove map[string]time.Duration
	// machineCPU is the largest server's size in thousandths of a core.
	machineCPU int64
	forecast   forecast.Forecast
	// forecastOn is set once the forecast knows the pools.
	forecastOn bool
	// outlook is what was last logged of each pool's outlook.
	outlook map[string]forecast.Outlook

	view *fleetView
	// rereadAt is when the view is to be read again; 0 if it shows all that is known to have changed.
	rereadAt time.Duration
	pools    pools.Planner
	ends     *endQueue
	wake     chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	closed   atomic.Bool
}

// runKey names a run.
type runKey struct {
	task ledger.TaskID
	run  int
}

// newSession takes over. The caller has seen to it that everything committed is applied.
func newSession(parent context.Context, d *Dispatcher, term uint64) *session {
	ctx, cancel := context.WithCancel(parent)
	s := &session{
		engine: d.engine, log: d.log.With("term", term), replica: d.replica, servers: d.servers, machines: d.machines,
		authority: d.authority, holder: Holder{Name: d.name, Fence: term}, stats: d.stats,
		startedAt: boottime.Now(), machineLease: d.machineLease,
		fleet: fleet.NewTable(), orders: make(map[runKey]*order), holders: make(map[string]*holder),
		reserved: make(map[string]bool), paces: make(map[runKey]int), pacers: make(map[string]*pacing.Server),
		reservedFor: make(map[string]string), upkeepTaken: make(map[string]time.Duration), missing: make(map[string]time.Duration),
		planned: make(map[string]int), movedAt: make(map[string]time.Duration), movedTo: make(map[string]string),
		moveOpen: make(map[string]bool), avoidMove: make(map[string]time.Duration), view: &fleetView{},
		outlook: make(map[string]forecast.Outlook),
		wake:    make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	s.ends = newEndQueue(s)
	s.engine.mu.Lock()
	now := boottime.Now()
	for _, known := range s.engine.ledger.KnownServers() {
		s.fleet.Adopt(known, now)
		s.holdLocked(known.ID) // reads its clock and raises its fence
	}
	for _, id := range s.engine.ledger.Workers() {
		s.holdLocked(id)
	}
	s.engine.mu.Unlock()
	s.engine.onChange(s.commandApplied)
	s.run(s.ends.run)
	s.run(s.planLoop)
	s.run(s.upkeepLoop)
	s.run(s.poolLoop)
	s.log.Info("leadership begins")
	return s
}

func (s *session) run(f func()) {
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		f()
	}()
}

// close ends the session; no order leaves afterwards.
func (s *session) close(reason string) {
	if s.closed.Swap(true) {
		return
	}
	s.engine.onChange(nil)
	s.cancel()
	s.group.Wait()
	s.log.Info("leadership ends", "reason", reason, "lasted", boottime.Now()-s.startedAt)
}

// mayOrder reports whether orders may leave.
func (s *session) mayOrder() bool { return !s.closed.Load() && s.authority.Held() }

// propose commits a command and returns its result.
func (s *session) propose(c *ledger.Command) (*ledger.Result, error) {
	c.NowMS = time.Now().UnixMilli()
	data, err := json.Marshal(c)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	encoded, _, err := s.replica.ProposeHere(ctx, data)
	if err != nil {
		return nil, err
	}
	s.stats.commit.Record(time.Since(began))
	result := &ledger.Result{}
	if err := json.Unmarshal(encoded, result); err != nil {
		return nil, replica.ErrUnknown
	}
	return result, nil
}

// notify wakes the planner.
func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// commandApplied is called under engine.mu after each command.
func (s *session) commandApplied(c *ledger.Command, r *ledger.Result) {
	for _, e := range r.Ended {
		delete(s.orders, runKey{e.Task, e.Run})
		delete(s.paces, runKey{e.Task, e.Run})
	}
	if c.Submit != nil && r.Submit == ledger.Taken {
		s.arrivedLocked(s.engine.ledger.Job(c.Submit.ID), c.NowMS)
	}
	for _, st := range r.Started {
		if s.orders[runKey{st.Task, st.Run}] == nil {
			// Its commit took longer than was waited for; no order left.
			s.holdLocked(st.Worker)
		}
	}
	if c.Cancel != "" || len(r.Ended) > 0 {
		s.finishedLocked(c, r)
	}
	s.notify()
}

// finishedLocked logs jobs that have just become final, and stops what still runs of them.
func (s *session) finishedLocked(c *ledger.Command, r *ledger.Result) {
	ids := make(map[string]bool)
	if c.Cancel != "" {
		ids[c.Cancel] = true
	}
	for _, e := range r.Ended {
		ids[e.Task.Job] = true
	}
	for id := range ids {
		j := s.engine.ledger.Job(id)
		if j == nil || !j.State.Final() {
			continue
		}
		if j.FinishedMS == s.engine.ledger.ClockMS {
			s.stats.finished(j.Queue, string(j.State), time.Duration(j.FinishedMS-j.AcceptedMS)*time.Millisecond)
			s.log.Info("job finished", "job", id, "queue", j.Queue, "team", j.Team, "state", j.State, "took_ms", j.FinishedMS-j.AcceptedMS)
		}
		if j.Live > 0 {
			s.stopJobLocked(j)
		}
	}
}

func (s *session) stopJobLocked(j *ledger.Job) {
	for k, o := range j.Occurrences {
		for st := range o.Steps {
			for i := range o.Steps[st].Tasks {
				t := &o.Steps[st].Tasks[i]
				if t.Phase == ledger.Live {
					s.stopLocked(ledger.TaskID{Job: j.ID, K: k, Step: st, Index: i}, t, "job "+string(j.State))
				}
			}
		}
	}
}

// inheritedLapse is when leases of earlier leaders have lapsed for certain.
func (s *session) inheritedLapse() time.Duration {
	return s.startedAt + lease.LapseWithin(leaseTime) + inheritSlack
}
