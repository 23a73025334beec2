package dispatch

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/forecast"
	"laburnumrouter/internal/request/incarnation"
	"laburnumrouter/internal/request/lease"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pacing"
	"laburnumrouter/internal/request/pools"
	"laburnumrouter/internal/request/schedule"
	"laburnumrouter/internal/version/accepted"
)

// Log is the part of the replicated log that a session uses.
type Log interface {
	ProposeLocal(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	ReadIndex(ctx context.Context) error
}

const (
	// leaseTime is how long runs continue without contact to a leader. It outlasts a cut of 5.3 s that begins right before a
	// renewal, with the time from contact to the next one (docs/design/platform.md). A task of a server that is gone for good
	// works again elsewhere within 9 s, as the users demand of lasting tasks. hold_max_ms is 10 s.
	leaseTime = 7 * time.Second
	// shortLeaseTime is the same until the log has FormatLongLeases: members of earlier versions, if they lead, take leases of
	// unreachable servers for lapsed after that.
	shortLeaseTime = 5 * time.Second
	// inheritedLeaseMargin is added to leaseTime for leases granted by an earlier leader, which may have granted more
	// until it noticed that it no longer led.
	inheritedLeaseMargin = 1500 * time.Millisecond
	// holdWait is how long a server may keep a hold call open when no run ends. It is also the renewal interval of
	// leases.
	holdWait = time.Second
	// callTimeout bounds a call to a server, in addition to the wait it is asked for. Servers answer within a few ms; a
	// lost packet is retransmitted after 200 ms.
	callTimeout = 400 * time.Millisecond
	// proposeTimeout bounds the wait for a commit, which takes two syncs of 9 ms and a network round trip.
	proposeTimeout = 3 * time.Second
	// minPlanInterval is the minimum time between plans, so that runs that end together are planned for together.
	minPlanInterval = 4 * time.Millisecond
	// planPauseFactor is how many times the duration of a plan passes before the next one. maxPlanPause bounds that: with
	// plans at least 100 ms apart the score of a heavy day did not fall (docs/hard-load.md, section 1).
	planPauseFactor = 4
	maxPlanPause    = 50 * time.Millisecond
	// maxPlanInterval is the maximum time between plans: due times, lapsed leases and trial runs on suspect servers that
	// become due trigger no event.
	maxPlanInterval = 100 * time.Millisecond
)

// leaseHolder reports whether this instance holds the leader lease.
type leaseHolder interface {
	// Held reports whether no other instance can lead now.
	Held() bool
}

// session is one term of leadership, from when all earlier entries are applied until leadership is lost.
type session struct {
	engine      *Engine
	log         hclog.Logger
	replica     Log
	servers     Servers
	machines    Machines
	leaderLease leaseHolder
	holder      Holder
	stats       *stats
	startedAt   time.Duration
	// inheritedClockMS is the time of day of the newest command of earlier leaders.
	inheritedClockMS int64
	// machineLease is how long a machine is reserved for the leader that last sent an order for it.
	machineLease time.Duration
	limits       Limits
	// dataCentres are the names of the data centres in the settings.
	dataCentres []string
	cold        schedule.ColdSettings

	// Guarded by engine.mu.
	fleet     *fleet.Table
	orders    map[runKey]*order
	holdLoops map[string]*holdLoop
	// guards holds, by server ID, what this leader has sent to the incarnations of the server.
	guards map[string]*incarnation.Guard
	// crashes holds what the end of a server's incarnation says about the tasks of the runs that it had.
	crashes map[runKey]ledger.CrashEvidence
	// begun holds the unfinished jobs of which this leader knows that a run has begun and the ledger doesn't.
	begun begunJobs
	// pendingLoggedAt is when an answer about the pending jobs of a queue was last logged.
	pendingLoggedAt map[accepted.Place]time.Duration
	// reserved are servers that get no new work because their machines are to be moved or taken down.
	reserved map[string]bool
	// sentPaces are the paces last sent to tasks that use spare capacity. pacers compute them, by server.
	sentPaces map[runKey]sentPace
	pacers    map[string]*pacing.Pacer
	// upkeepServer is the server of each machine reserved for upkeep. upkeepAcceptedAt is when the platform accepted the
	// order for an upkeep.
	upkeepServer     map[string]string
	upkeepAcceptedAt map[upkeepKey]time.Duration
	// upkeepUnanswered are the machines of which the last order for an upkeep got no answer.
	upkeepUnanswered map[string]bool
	// missingSince is when the first of the platform's lists that lacked a machine of a wave was requested, or the one that
	// last led to a check by an upkeep order.
	missingSince map[string]time.Duration
	// missingChecks counts how often in a row such a machine was found missing for missingTimeout.
	missingChecks map[string]int
	// dueServers are the servers, by ID, whose machines still have an upkeep before them.
	dueServers map[string]bool
	// proposedBytes is the size of the records that are being committed (reserve), and proposedChunkBytes that of the chunks.
	proposedBytes, proposedChunkBytes int64
	configProposals                   configProposals
	configCalls                       configCalls
	// planned counts the planned starts per server that are not yet committed.
	planned map[string]int
	// movedAt, movedTo and moveUnanswered record when a machine was last moved, to which pool, and whether the call went
	// unanswered.
	movedAt        map[string]time.Duration
	movedTo        map[string]string
	moveUnanswered map[string]bool
	// movesInFlight are the machines whose move is planned or ordered and not answered yet, with the servers that they carried.
	movesInFlight map[string]string
	// machineOrders counts the orders for machines that are under way. One without an answer may be carried out until
	// machineOrderPossibleUntil.
	machineOrders             int
	machineOrderPossibleUntil time.Duration
	// moveNotBefore is when a machine that the platform refused to move may be ordered to move again.
	moveNotBefore map[string]time.Duration
	// machineCPU and machineMemMB are the capacity of the largest server, in millicores and MiB.
	machineCPU, machineMemMB int64
	forecast                 forecast.Forecast
	// unservedLabels is the set of labels that tasks need and no machine has.
	unservedLabels map[string]bool
	// poolsLoggedAt is when the sizes of the pools were last logged.
	poolsLoggedAt time.Duration
	// forecastReady is set once the forecast knows the sizes of the pools.
	forecastReady bool
	// machineDataCentre is the data centre of the server that a machine was last listed with.
	machineDataCentre map[string]string
	// inForce is the configuration that the session has last reported on and that the forecast rests on; nil before.
	inForce *accepted.Index
	// hasOrphaned is set while it leaves jobs without a queue or a workspace. orphanedAt is when they were last counted.
	hasOrphaned bool
	orphanedAt  time.Duration
	// loggedOutlooks is the last logged outlook of each pool.
	loggedOutlooks map[string]forecast.Outlook

	cachedMachines *machineCache
	// nextRefreshAt is when the machine list is to be read again; 0 if it reflects all known changes. Guarded by engine.mu.
	nextRefreshAt time.Duration
	pools         pools.Planner // guarded by engine.mu
	ends          *endQueue
	batcher       *batcher
	holdRate      holdRate // guarded by engine.mu
	load          load
	// planReadyAt is when the next plan may begin; used by the planner's goroutine only.
	planReadyAt time.Duration
	// memberFormat returns the newest format of commands that all members of the log are known to understand.
	memberFormat func(context.Context) int
	wake         chan struct{}
	startWindow  startWindow
	planTook     time.Duration // duration of the last plan; used by the planner's goroutine only
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	// strayStops counts the stops of runs that the ledger does not hold as live.
	strayStops atomic.Int64
	closed     atomic.Bool
}

// runKey identifies a run.
type runKey struct {
	task ledger.TaskID
	run  int
}

// newSession starts a session. The caller ensures that all committed entries have been applied.
func newSession(parent context.Context, d *Dispatcher, term uint64) *session {
	ctx, cancel := context.WithCancel(parent)
	s := &session{
		engine: d.engine, log: d.log.With("term", term), replica: d.replica, servers: d.servers, machines: d.machines,
		leaderLease: termLease{d.leaderLease, term}, holder: Holder{Name: d.name, Fence: term}, stats: d.stats,
		startedAt: boottime.Now(), machineLease: d.machineLease, dataCentres: d.dataCentres, cold: d.cold, limits: d.limits,
		fleet: fleet.NewTable(), orders: make(map[runKey]*order), holdLoops: make(map[string]*holdLoop), crashes: make(map[runKey]ledger.CrashEvidence), begun: make(begunJobs), pendingLoggedAt: make(map[accepted.Place]time.Duration),
		reserved: make(map[string]bool), sentPaces: make(map[runKey]sentPace), pacers: make(map[string]*pacing.Pacer),
		upkeepServer: make(map[string]string), upkeepAcceptedAt: make(map[upkeepKey]time.Duration), upkeepUnanswered: make(map[string]bool),
		missingSince: make(map[string]time.Duration), missingChecks: make(map[string]int),
		planned: make(map[string]int), movedAt: make(map[string]time.Duration), movedTo: make(map[string]string),
		moveUnanswered: make(map[string]bool), moveNotBefore: make(map[string]time.Duration), cachedMachines: &machineCache{}, movesInFlight: make(map[string]string),
		loggedOutlooks: make(map[string]forecast.Outlook), machineDataCentre: make(map[string]string),
		wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	s.configCalls.assembling = make(chan struct{}, 1)
	s.configCalls.staging, s.configCalls.lines.Lines, s.configCalls.lines.Every = make(map[accepted.Digest]chan struct{}), 50, time.Second
	s.ends, s.batcher = newEndQueue(s), &batcher{session: s}
	s.engine.mu.Lock()
	now := boottime.Now()
	s.inheritedClockMS = s.engine.ledger.ClockMS
	for _, known := range s.engine.ledger.KnownServers() {
		s.fleet.Adopt(known, now)
		s.guardLocked(known.ID).Inherit(!known.Restarted)
		s.inheritServerLocked(s.fleet.Get(known.ID))
	}
	for _, id := range s.engine.ledger.ServersWithRuns() {
		s.inheritPacesLocked(id)
		s.ensureHoldLoopLocked(id)
	}
	s.inheritMachineOrdersLocked(now)
	if s.engine.ledger.Index() != nil {
		s.configurationReplacedLocked()
	}
	s.engine.mu.Unlock()
	s.engine.setAfterApply(s.commandApplied)
	s.spawnLoop("ends", s.ends.run)
	s.spawnLoop("plan", s.planLoop)
	s.spawnLoop("upkeep", s.upkeepLoop)
	s.spawnLoop("pools", s.poolLoop)
	if d.memberFormat != nil {
		s.memberFormat = d.memberFormat
		s.spawnLoop("format", s.raiseFormat)
	}
	s.log.Info("leadership begins")
	return s
}

// spawn runs f in a goroutine of the session. A panic ends f only.
func (s *session) spawn(f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.contain("call", f)
	}()
}

// loopRestartDelay is the delay before a loop of the session that panicked goes on. It bounds the rate of log lines.
const loopRestartDelay = time.Second

// spawnLoop runs f in a goroutine of the session until it returns. After a panic it runs f again.
func (s *session) spawnLoop(name string, f func()) {
	s.spawn(func() {
		for s.contain(name, f) {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(loopRestartDelay):
			}
		}
	})
}

// contain runs f and reports whether it panicked. Sections under engine.mu that depend on messages or on the plan unlock in a
// deferred call, so that the lock is free afterwards.
func (s *session) contain(name string, f func()) (panicked bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panicked = true
			s.log.Error("unexpected error in the session", "part", name, "cause", cause, "stack", string(debug.Stack()))
		}
	}()
	f()
	return false
}

// close ends the session. No order is sent afterwards.
func (s *session) close(reason string) {
	if s.closed.Swap(true) {
		return
	}
	s.engine.setAfterApply(nil)
	s.cancel()
	s.goroutines.Wait()
	s.log.Info("leadership ends", "reason", reason, "lasted", boottime.Now()-s.startedAt)
}

// mayOrder reports whether orders may be sent.
func (s *session) mayOrder() bool { return !s.closed.Load() && s.leaderLease.Held() }

// permissionKey is the context key of the function that Permitted calls.
type permissionKey struct{}

// WithPermission returns a context for an order that may be sent only while mayOrder allows it. It is used for stops of tasks and for
// orders for machines: they carry no deadline, and the process may have been paused since the session last asked.
func WithPermission(ctx context.Context, mayOrder func() bool) context.Context {
	return context.WithValue(ctx, permissionKey{}, mayOrder)
}

// Permitted reports whether an order may still be sent. Clients of outside systems call it with the context of the call right
// before they write the order.
func Permitted(ctx context.Context) bool {
	mayOrder, ok := ctx.Value(permissionKey{}).(func() bool)
	return !ok || mayOrder()
}

// propose commits a command and returns its result.
func (s *session) propose(c *ledger.Command) (*ledger.Result, error) {
	c.NowMS = time.Now().UnixMilli()
	data, err := c.Encode()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	local := s.engine.register(data, c)
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	encoded, _, err := s.replica.ProposeLocal(ctx, data)
	var kept *ledger.Result
	if local != nil {
		kept = s.engine.unregister(data, local)
	}
	if err != nil {
		return nil, err
	}
	s.stats.commit.Record(time.Since(began))
	s.stats.entries.Inc(1)
	if kept != nil {
		return kept, nil
	}
	result := &ledger.Result{}
	if err := json.Unmarshal(encoded, result); err != nil {
		return nil, replica.ErrOutcomeUnknown
	}
	return result, nil
}

// notify wakes the planner.
func (s *session) notify() {
	s.load.planDue(boottime.Now())
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// commandApplied is called with engine.mu held after each command.
func (s *session) commandApplied(c *ledger.Command, r *ledger.Result) {
	for _, e := range r.Ended {
		delete(s.orders, runKey{e.Task, e.Run})
		delete(s.sentPaces, runKey{e.Task, e.Run})
		delete(s.crashes, runKey{e.Task, e.Run})
	}
	s.logCrashesLocked(r)
	s.forgetRecordedLocked(c, r)
	c.EachSubmit(r, func(submitted *ledger.Submission, verdict ledger.Verdict) {
		if verdict == ledger.Accepted {
			s.recordArrivalLocked(s.engine.ledger.Find(submitted.Place(), submitted.ID), c.NowMS)
		}
	})
	for _, st := range r.Started {
		if s.orders[runKey{st.Task, st.Run}] == nil {
			// The commit took longer than proposeTimeout; no order was sent.
			s.ensureHoldLoopLocked(st.Worker)
		}
	}
	if r.Config == ledger.Accepted {
		s.configurationReplacedLocked()
	}
	if c.Cancel != "" || len(c.Cancels) > 0 || len(c.CancelsAt) > 0 || len(r.Ended) > 0 || len(r.GivenUp) > 0 || len(r.Exhausted) > 0 {
		s.jobsFinishedLocked(c, r)
	}
	s.notify()
}

// jobsFinishedLocked logs jobs that have just reached a final state, and stops their remaining runs.
func (s *session) jobsFinishedLocked(c *ledger.Command, r *ledger.Result) {
	keys := make(map[string]bool)
	for _, key := range s.cancelledLocked(c) {
		keys[key] = true
	}
	for _, e := range r.Ended {
		keys[e.Task.Job] = true
	}
	for _, g := range r.GivenUp {
		keys[g.Task.Job] = true
	}
	for _, id := range r.Exhausted {
		s.log.Info("task is given up: the configuration leaves it no attempt", "task", id)
		keys[id.Job] = true
	}
	s.updateOrphanedLocked()
	for key := range keys {
		j := s.engine.ledger.Job(key)
		if j == nil || !j.State.Final() {
			continue
		}
		if j.FinishedMS == s.engine.ledger.ClockMS {
			s.stats.finished(j.Queue, string(j.State), time.Duration(j.FinishedMS-j.AcceptedMS)*time.Millisecond)
			s.log.Info("job finished", "job", key, "queue", j.Queue, "team", j.Workspace, "state", j.State, "took_ms", j.FinishedMS-j.AcceptedMS)
		}
		if j.Live > 0 {
			s.stopJobLocked(j)
		}
	}
}

// cancelledLocked returns the keys of the jobs that a command has cancelled.
func (s *session) cancelledLocked(c *ledger.Command) []string {
	keys := slices.Clone(c.Cancels)
	if c.Cancel != "" {
		keys = append(keys, c.Cancel)
	}
	for _, ref := range c.CancelsAt {
		if j := s.engine.ledger.Find(ref.Place(), ref.ID); j != nil {
			keys = append(keys, j.Key())
		}
	}
	return keys
}

func (s *session) stopJobLocked(j *ledger.Job) {
	for k, o := range j.Occurrences {
		for st := range o.Steps {
			for i := range o.Steps[st].Tasks {
				t := &o.Steps[st].Tasks[i]
				if t.Phase == ledger.Live {
					s.stopLocked(ledger.TaskID{Job: j.Key(), Occurrence: k, Step: st, Index: i}, t, "job "+string(j.State))
				}
			}
		}
	}
}

// leaseTimeLocked returns the length of the leases that this leader grants.
func (s *session) leaseTimeLocked() time.Duration {
	if s.engine.ledger.Format < ledger.FormatLongLeases {
		return shortLeaseTime
	}
	return leaseTime
}

// inheritedLeaseEnd returns when the leases granted by earlier leaders have certainly lapsed.
func (s *session) inheritedLeaseEnd() time.Duration {
	return s.startedAt + lease.MaxLapseTime(leaseTime) + inheritedLeaseMargin
}
