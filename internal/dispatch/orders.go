package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// startBackoff is how long a server that rejected a start or left repeated ones unanswered gets no further start: about the
// run time of a short task. By then, runs that this leader doesn't know of may have ended and freed capacity, and usually
// the unanswered start has been stopped, so that its task goes to another server.
const startBackoff = 500 * time.Millisecond

// orderState is the state of the start order of a run.
type orderState int

// States of a start order.
const (
	// orderPlanned: the start is being committed or the order is being sent.
	orderPlanned orderState = iota
	// orderTaken: the server accepted it, or reported the run.
	orderTaken
	// orderUnanswered: it may be carried out, now or later.
	orderUnanswered
	// orderStopped: the server accepted a stop after it, so the run can no longer start.
	orderStopped
)

// String returns the name of the state for logs.
func (o orderState) String() string {
	return [...]string{"planned", "taken", "unanswered", "stopped"}[o]
}

// order is the session's record of a run that it ordered or found in a report.
type order struct {
	state orderState
	// since is when the state was entered.
	since time.Duration
	// stopping is set while the run is being stopped. An unanswered stop may be carried out until stopPossibleUntil, also
	// after the attempts were given up.
	stopping          bool
	stopPossibleUntil time.Duration
	// budgeted is set if the stop is within the number of tasks that the step may miss. underWayUntil is when its present attempt is
	// given up; 0 if none is under way.
	budgeted      bool
	underWayUntil time.Duration
	// inherited is set if an earlier leader ordered the run. It may have stopped it, too.
	inherited bool
	// sentAt is when this leader sent it; 0 if it hasn't. carriedOutBy is the birth of the incarnation that has certainly carried it out; 0
	// if it isn't known.
	sentAt       time.Duration
	carriedOutBy int64
	// checkpoint is the newest one that the server reported.
	checkpoint string
	// percent is how much of the task was in operation at the last report; 100 if it worked in full. reportedAt is when that
	// report was requested; 0 if none lists the run.
	percent    int
	reportedAt time.Duration
}

// errUnexpected is the cause that is logged for an order whose call panicked: it may have been sent.
var errUnexpected = Error.New("unexpected error while the order was sent")

// sendStarts sends the orders of committed starts.
func (s *session) sendStarts(starts []ledger.Start) {
	if len(starts) == 0 {
		return
	}
	s.spawn(func() {
		// One context and timer serve all orders of a plan, which are sent at once.
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		var group sync.WaitGroup
		for _, st := range starts {
			group.Go(func() {
				defer s.startsEnded(1)
				if s.contain("start", func() { s.sendStart(ctx, st) }) {
					s.handleUnansweredStart(st, errUnexpected, false)
				}
			})
		}
		group.Wait()
	})
}

// buildStartOrder returns the order of a committed start; ok is false if it must not be sent.
func (s *session) buildStartOrder(st ledger.Start) (to Target, o StartOrder, ok bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	j, t := s.engine.ledger.Task(st.Task)
	server := s.fleet.Get(st.Worker)
	if t == nil || t.Run != st.Run || t.Phase != ledger.Live || j.State.Final() || server == nil || server.Born != st.Born {
		return Target{}, StartOrder{}, false
	}
	if s.inEvacuatedLocked(st.Worker) {
		s.dropStartLocked(st)
		return Target{}, StartOrder{}, false
	}
	deadline, known := s.grantLeaseLocked(st.Worker)
	if !known {
		return Target{}, StartOrder{}, false
	}
	o = StartOrder{
		Task: st.Task, Run: st.Run, Spec: j.Spec, Checkpoint: t.Checkpoint, DeadlineMS: deadline, Fence: s.startTokenLocked(st.Worker),
	}
	if known := s.orders[runKey{st.Task, st.Run}]; known != nil {
		known.sentAt = boottime.Now()
	}
	return Target{ID: st.Worker, Address: server.Address}, o, true
}

// sendStart sends one order; ctx bounds the call.
func (s *session) sendStart(ctx context.Context, st ledger.Start) {
	key := runKey{st.Task, st.Run}
	to, o, ok := s.buildStartOrder(st)
	if !ok || !s.mayOrder() {
		s.closeUnsentStart(st)
		return
	}
	asked := boottime.Now()
	answer, clock, err := s.servers.Start(ctx, to, o)
	heard := boottime.Now()
	if err != nil {
		s.handleUnansweredStart(st, err, ctx.Err() == nil)
		return
	}
	s.stats.order.Record(heard - asked)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	by := int64(0)
	if server := s.fleet.Get(st.Worker); server != nil && server.Born == st.Born {
		by = s.observeAnswerLocked(server, clock, asked, heard)
	}
	switch answer {
	case StartAccepted:
		s.startAcceptedLocked(st)
		s.setOrderStateLocked(key, orderTaken)
		if o := s.orders[key]; o != nil && by != 0 {
			o.carriedOutBy = by
		}
		s.runBeganLocked(key, st.Worker)
		s.ensureHoldLoopLocked(st.Worker)
	case StartFenced:
		if s.overtookLocked(st.Worker, o.Fence) {
			s.log.Info("order refused: later calls have overtaken it", "task", st.Task, "run", st.Run, "server", st.Worker)
			s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused})
			return
		}
		s.log.Warn("order refused: another leader has a higher fencing token", "task", st.Task, "run", st.Run, "server", st.Worker)
	case StartSuperseded:
		// The run, or a later one, was stopped or has ended on the server. The next report tells which.
		s.setOrderStateLocked(key, orderStopped)
		s.ensureHoldLoopLocked(st.Worker)
	case StartMisdirected:
		s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused}) // before those of the other runs
		s.misdirectedLocked(incarnationAt{to, st.Born})
	default:
		s.handleRefusalLocked(st, answer, heard)
	}
}

// startAcceptedLocked records that a server answers starts.
func (s *session) startAcceptedLocked(st ledger.Start) {
	if server := s.fleet.Get(st.Worker); server != nil && server.Born == st.Born {
		server.StartAnswered()
		server.Health.StartAccepted()
	}
}

// handleRefusalLocked closes a start that the server rejected, and backs off from the server.
func (s *session) handleRefusalLocked(st ledger.Start, answer StartAnswer, now time.Duration) {
	s.log.Info("order refused", "task", st.Task, "run", st.Run, "server", st.Worker, "answer", answer)
	s.stats.refused.Inc(1)
	if server := s.fleet.Get(st.Worker); server != nil {
		server.StartAnswered()
		server.AvoidUntil = now + startBackoff
		if answer == StartUnhealthy {
			server.Health.StartFailed(now)
		}
	}
	s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused})
}

// closeUnsentStart closes a committed start whose order was not sent.
func (s *session) closeUnsentStart(st ledger.Start) {
	if s.closed.Load() {
		return
	}
	s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused})
}

// handleUnansweredStart records that a start got no answer. atOnce is set if its call failed before its time limit.
func (s *session) handleUnansweredStart(st ledger.Start, err error, atOnce bool) {
	now := boottime.Now()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.log.Warn("order unanswered; it may be carried out", "task", st.Task, "run", st.Run, "server", st.Worker, "error", err)
	if server := s.fleet.Get(st.Worker); server != nil && server.Born == st.Born {
		server.Unanswered(now, atOnce)
		if server.StartUnanswered(now, callTimeout) {
			server.AvoidUntil = now + startBackoff
			server.Health.StartFailed(now)
		}
	}
	s.setOrderStateLocked(runKey{st.Task, st.Run}, orderUnanswered)
	s.recordUnansweredLocked(st)
	s.ensureHoldLoopLocked(st.Worker)
	s.interruptHoldLocked(st.Worker)
}

// setOrderStateLocked changes the state of an order. It does nothing if the run has been closed.
func (s *session) setOrderStateLocked(key runKey, state orderState) {
	if o := s.orders[key]; o != nil {
		o.state, o.since = state, boottime.Now()
	}
}

// grantLeaseLocked returns a deadline on the server's clock for a lease that begins now, and records the latest deadline
// granted.
func (s *session) grantLeaseLocked(id string) (deadlineMS int64, known bool) {
	server := s.fleet.Get(id)
	if server == nil {
		return 0, false
	}
	now := boottime.Now()
	deadline, known := server.Clock.DeadlineAfter(now, s.leaseTimeLocked())
	if known {
		server.LeaseDeadlineMS, server.LeaseGrantedAt = max(server.LeaseDeadlineMS, deadline), now
		s.guardLocked(id).Granted(server.LeaseDeadlineMS)
	}
	return deadline, known
}

const (
	// maxStopAttempts bounds how often a stop is sent in a row. Afterwards the run of a server that doesn't answer ends
	// when its lease lapses. Any other may be stopped anew: if its job is over, the next report that lists it triggers that.
	maxStopAttempts = 5
	// stopRetryDelay is the delay between attempts.
	stopRetryDelay = 200 * time.Millisecond
)

// stopLocked stops a live run. The server reports its end.
func (s *session) stopLocked(id ledger.TaskID, t *ledger.Task, reason string) {
	s.stopWhileLocked(id, t, reason, func() bool { return true })
}

// stopWhileLocked stops a live run as long as permitted allows it. permitted is called with engine.mu held before each attempt,
// because what the decision rests on may have changed since the last one.
func (s *session) stopWhileLocked(id ledger.TaskID, t *ledger.Task, reason string, permitted func() bool) {
	key := runKey{id, t.Run}
	o := s.orders[key]
	if o == nil {
		o = &order{state: orderTaken, since: boottime.Now(), inherited: true}
		s.orders[key] = o
	}
	if o.stopping {
		return
	}
	o.stopping = true
	s.log.Info("run is stopped", "task", id, "run", t.Run, "server", t.Worker, "reason", reason, "others", s.describeOthersLocked(id))
	s.ensureHoldLoopLocked(t.Worker)
	serverID, run := t.Worker, t.Run
	s.spawn(func() {
		if s.contain("stop", func() { s.sendStop(serverID, id, run, permitted) }) {
			s.allowStop(id, run)
		}
	})
}

// stopWithinBudgetLocked stops a lasting task as long as recent reports show that no more than limit tasks of its step are away then;
// 0 means no limit.
func (s *session) stopWithinBudgetLocked(id ledger.TaskID, t *ledger.Task, reason string, limit int) {
	s.stopWhileLocked(id, t, reason, func() bool { return s.reportsFreshLocked(id, limit) })
	s.orders[runKey{id, t.Run}].budgeted = true
}

// budgetedStopUnderWayLocked reports whether a stop of another task of a task's step was decided while that one worked, and is on its
// way, or may be, if an earlier leader sent it.
func (s *session) budgetedStopUnderWayLocked(id ledger.TaskID) bool {
	now := boottime.Now()
	for _, other := range s.othersAwayLocked(id, maxReportAge) {
		_, t := s.engine.ledger.Task(other)
		if o := s.orders[runKey{other, t.Run}]; o != nil && o.budgeted && now < o.underWayUntil || s.earlierStopUnderWayLocked(t, o, now) {
			return true
		}
	}
	return false
}

func (s *session) sendStop(serverID string, id ledger.TaskID, run int, permitted func() bool) {
	for range maxStopAttempts {
		if s.stopOnce(serverID, id, run, permitted) {
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(stopRetryDelay):
		}
	}
	s.allowStop(id, run)
}

// allowStop lets a run be stopped anew after its stops were given up, for example after the next report that lists the run.
func (s *session) allowStop(id ledger.TaskID, run int) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if o := s.orders[runKey{id, run}]; o != nil {
		o.stopping = false
	}
}

// stopOnce sends one stop, if permitted allows it, and reports whether no further attempt is needed.
func (s *session) stopOnce(serverID string, id ledger.TaskID, run int, permitted func() bool) bool {
	s.engine.mu.Lock()
	server := s.fleet.Get(serverID)
	o := s.orders[runKey{id, run}]
	if server == nil || o == nil {
		s.engine.mu.Unlock()
		return true
	}
	to, token := incarnationOf(server), s.tokenLocked(serverID)
	send := o.state != orderPlanned && permitted() // else the start order is still being sent
	if send {
		o.underWayUntil = boottime.Now() + callTimeout
		o.stopPossibleUntil = o.underWayUntil + lateOrderBound
	}
	s.engine.mu.Unlock()
	if !send {
		return false
	}
	if !s.mayOrder() {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.servers.Stop(WithPermission(ctx, func() bool {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		return s.mayOrder() && permitted()
	}), to.Target, StopOrder{Task: id, Run: run, Fence: token})
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	o.underWayUntil = 0
	switch {
	case err == nil: // possibly by a later incarnation with the same ID, so it is no sign of life
		if o.state != orderTaken {
			s.setOrderStateLocked(runKey{id, run}, orderStopped)
			s.interruptHoldLocked(serverID)
		}
		return true
	case errors.Is(err, ErrMisdirected):
		s.misdirectedLocked(to)
		return true
	}
	s.log.Warn("stop failed", "task", id, "run", run, "server", serverID, "error", err)
	return false
}

// incarnationGoneLocked closes all runs of a server incarnation that no longer exists.
func (s *session) incarnationGoneLocked(serverID, reason string) {
	runs := s.engine.ledger.LiveOn(serverID)
	s.log.Info("backend server is gone", "server", serverID, "runs", len(runs), "newest", s.newestRunsLocked(serverID), "reason", reason)
	server := s.fleet.Get(serverID)
	s.recordCrashLocked(server, false)
	for id, t := range runs {
		s.closeRunLocked(id, t, ledger.EndLost)
	}
	if server != nil {
		server.Left = true
	}
}

// closeRunLocked queues the end of a live run with the newest checkpoint that was reported.
func (s *session) closeRunLocked(id ledger.TaskID, t *ledger.Task, how ledger.EndCause) {
	e := ledger.End{Task: id, Run: t.Run, Worker: t.Worker, How: how, Crash: s.crashOfLocked(id, t.Run)}
	if o := s.orders[runKey{id, t.Run}]; o != nil {
		e.Checkpoint = o.checkpoint
	}
	s.ends.add(e)
}
