package dispatch

import (
	"context"
	"errors"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// refusedPause is how long a server that rejected a start gets no other: about as long as a short task runs, after
// which room that this leader doesn't know of may be free.
const refusedPause = 500 * time.Millisecond

// orderState is where the order of a run stands.
type orderState int

// States of an order.
const (
	// orderPlanned: the start is being committed, or its order is under way.
	orderPlanned orderState = iota
	// orderTaken: the server took it, or lists the run.
	orderTaken
	// orderUnanswered: it may be carried out, now or later.
	orderUnanswered
	// orderStopped: a stop was taken after it, so that it can't start any more.
	orderStopped
)

// order is what the session knows of a run that it ordered itself or has seen running.
type order struct {
	state orderState
	// at is when the state was reached.
	at time.Duration
	// stopping is set while the run is to be stopped.
	stopping bool
	// checkpoint is the newest that the server listed.
	checkpoint string
	// percent is how much of the task was at work at the last report.
	percent int
}

// launch sends the orders of starts that were committed.
func (s *session) launch(starts []ledger.Start) {
	for _, st := range starts {
		s.run(func() { s.sendStart(st) })
	}
}

// startOrder returns the order of a committed start; ok is false if it must not leave.
func (s *session) startOrder(st ledger.Start) (to Target, o StartOrder, ok bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	j, t := s.engine.ledger.Task(st.Task)
	server := s.fleet.Get(st.Worker)
	if t == nil || t.Run != st.Run || t.Phase != ledger.Live || j.State.Final() || server == nil || server.Born != st.Born {
		return Target{}, StartOrder{}, false
	}
	deadline, known := s.grantLocked(st.Worker)
	if !known {
		return Target{}, StartOrder{}, false
	}
	o = StartOrder{
		Task: st.Task, Run: st.Run, Spec: j.Spec, Checkpoint: t.Checkpoint, DeadlineMS: deadline, Fence: s.holder.Fence,
	}
	return Target{ID: st.Worker, Address: server.Address}, o, true
}

func (s *session) sendStart(st ledger.Start) {
	key := runKey{st.Task, st.Run}
	to, o, ok := s.startOrder(st)
	if !ok || !s.mayOrder() {
		s.neverSent(st)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	asked := boottime.Now()
	answer, clock, err := s.servers.Start(ctx, to, o)
	heard := boottime.Now()
	if err != nil {
		s.startUnanswered(st, err)
		return
	}
	s.stats.order.Record(heard - asked)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if server := s.fleet.Get(st.Worker); server != nil && server.Born == st.Born {
		server.Answered(heard)
		if clock > 0 {
			server.Clock.Observe(clock, asked, heard)
		}
	}
	switch answer {
	case StartTaken:
		s.setOrderLocked(key, orderTaken)
		s.holdLocked(st.Worker)
	case StartFenced:
		s.log.Warn("order refused: another leader has a higher fencing token", "task", st.Task, "run", st.Run, "server", st.Worker)
	case StartOld:
		// The run, or a later one, was stopped or has ended there: the next report tells.
		s.setOrderLocked(key, orderStopped)
		s.holdLocked(st.Worker)
	case StartElsewhere:
		s.incarnationGoneLocked(st.Worker, "another incarnation answers at its address")
		s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused})
	default:
		s.refusedLocked(st, answer, heard)
	}
}

// refusedLocked closes a start that the server rejected, and leaves the server alone for a while.
func (s *session) refusedLocked(st ledger.Start, answer StartAnswer, now time.Duration) {
	s.log.Info("order refused", "task", st.Task, "run", st.Run, "server", st.Worker, "answer", answer)
	s.stats.refused.Inc(1)
	if server := s.fleet.Get(st.Worker); server != nil {
		server.AvoidUntil = now + refusedPause
		if answer == StartUnhealthy {
			server.Health.Failed(now)
		}
	}
	s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused})
}

// neverSent closes a committed start whose order did not leave this process.
func (s *session) neverSent(st ledger.Start) {
	if s.closed.Load() {
		return
	}
	s.ends.add(ledger.End{Task: st.Task, Run: st.Run, Worker: st.Worker, How: ledger.EndRefused})
}

func (s *session) startUnanswered(st ledger.Start, err error) {
	now := boottime.Now()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.log.Warn("order unanswered; it may be carried out", "task", st.Task, "run", st.Run, "server", st.Worker, "error", err)
	if server := s.fleet.Get(st.Worker); server != nil {
		server.Unanswered(now)
	}
	s.setOrderLocked(runKey{st.Task, st.Run}, orderUnanswered)
	s.holdLocked(st.Worker)
	s.interruptLocked(st.Worker)
}

// setOrderLocked moves an order on; one whose run has been closed is left out.
func (s *session) setOrderLocked(key runKey, state orderState) {
	if o := s.orders[key]; o != nil {
		o.state, o.at = state, boottime.Now()
	}
}

// grantLocked returns a deadline on a server's clock for a lease from now on, and remembers the latest one.
func (s *session) grantLocked(id string) (deadlineMS int64, known bool) {
	server := s.fleet.Get(id)
	if server == nil {
		return 0, false
	}
	deadline, known := server.Clock.Grant(boottime.Now(), leaseTime)
	if known {
		server.GrantedMS = max(server.GrantedMS, deadline)
	}
	return deadline, known
}

const (
	// stopTries bounds how often a stop is sent before the lease is left to lapse.
	stopTries = 5
	// stopPause is the time between tries of a stop.
	stopPause = 200 * time.Millisecond
)

// stopLocked stops a live run. Its end is listed by the server.
func (s *session) stopLocked(id ledger.TaskID, t *ledger.Task, reason string) {
	key := runKey{id, t.Run}
	o := s.orders[key]
	if o == nil {
		o = &order{state: orderTaken, at: boottime.Now()}
		s.orders[key] = o
	}
	if o.stopping {
		return
	}
	o.stopping = true
	s.log.Info("run is stopped", "task", id, "run", t.Run, "server", t.Worker, "reason", reason)
	s.holdLocked(t.Worker)
	worker, run := t.Worker, t.Run
	s.run(func() { s.sendStop(worker, id, run) })
}

func (s *session) sendStop(worker string, id ledger.TaskID, run int) {
	for range stopTries {
		if s.stopOnce(worker, id, run) {
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(stopPause):
		}
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if o := s.orders[runKey{id, run}]; o != nil {
		o.stopping = false // the next report of the run asks for a stop again
	}
}

// stopOnce sends one stop and reports whether the matter is closed.
func (s *session) stopOnce(worker string, id ledger.TaskID, run int) bool {
	s.engine.mu.Lock()
	server := s.fleet.Get(worker)
	o := s.orders[runKey{id, run}]
	if server == nil || o == nil {
		s.engine.mu.Unlock()
		return true
	}
	to := Target{ID: worker, Address: server.Address}
	planned := o.state == orderPlanned
	s.engine.mu.Unlock()
	if planned {
		return false // the start is still under way
	}
	if !s.mayOrder() {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	err := s.servers.Stop(ctx, to, StopOrder{Task: id, Run: run, Fence: s.holder.Fence})
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	switch {
	case err == nil:
		server.Answered(boottime.Now())
		if o.state != orderTaken {
			s.setOrderLocked(runKey{id, run}, orderStopped)
			s.interruptLocked(worker)
		}
		return true
	case errors.Is(err, ErrElsewhere):
		s.incarnationGoneLocked(worker, "another incarnation answers at its address")
		return true
	}
	s.log.Warn("stop unanswered", "task", id, "run", run, "server", worker, "error", err)
	return false
}

// incarnationGoneLocked closes all runs of a server that no longer exists.
func (s *session) incarnationGoneLocked(worker, reason string) {
	runs := s.engine.ledger.LiveOn(worker)
	s.log.Info("backend server is gone", "server", worker, "runs", len(runs), "reason", reason)
	for id, t := range runs {
		s.endLocked(id, t, ledger.EndLost)
	}
	if server := s.fleet.Get(worker); server != nil {
		server.Left = true
	}
}

// endLocked closes a live run with the newest checkpoint that was listed.
func (s *session) endLocked(id ledger.TaskID, t *ledger.Task, how ledger.How) {
	e := ledger.End{Task: id, Run: t.Run, Worker: t.Worker, How: how}
	if o := s.orders[runKey{id, t.Run}]; o != nil {
		e.Checkpoint = o.checkpoint
	}
	s.ends.add(e)
}
