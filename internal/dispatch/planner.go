package dispatch

import (
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// planLoop makes a plan after each change, and at least every maxPlanInterval.
func (s *session) planLoop() {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	s.planReadyAt = boottime.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(maxPlanInterval)
		if s.mayOrder() {
			s.planOnce()
		}
		pause := s.planPause()
		s.planReadyAt = boottime.Now() + pause
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// planPause returns the time until the next plan may begin: a fifth of the time is the most that planning takes, up to the
// delay that starts can bear.
func (s *session) planPause() time.Duration {
	return min(max(minPlanInterval, planPauseFactor*s.planTook), maxPlanPause)
}

// planOnce makes a plan, commits its starts and sends the orders of those that were valid when they were committed.
func (s *session) planOnce() {
	starts := s.makePlan()
	s.startWindow.begin(len(starts))
	unsent := len(starts)
	defer func() { s.startsEnded(unsent) }()
	if len(starts) == 0 && !s.recordOverdue() {
		return
	}
	result, err := s.batcher.commit(&ledger.Command{Begun: s.unrecorded(), Starts: starts})
	defer s.releasePlanned(starts)
	if err != nil {
		s.log.Warn("starts not committed", "starts", len(starts), "error", err)
		s.discardOrders(starts)
		return
	}
	s.logStarts(result.Started)
	unsent -= len(result.Started)
	s.sendStarts(result.Started)
	if len(result.Started) < len(starts) {
		s.countDroppedStarts(starts, result.Started)
		s.discardOrdersExcept(starts, result.Started)
	}
}

// logStarts logs one line for each step that got new runs: their servers, the time since the step's occurrence was due,
// and the number of reruns.
func (s *session) logStarts(starts []ledger.Start) {
	now := time.Now().UnixMilli()
	for len(starts) > 0 {
		first := starts[0].Task
		n, reruns := 0, 0
		var servers []string
		for n < len(starts) && sameStep(starts[n].Task, first) {
			servers = append(servers, starts[n].Worker)
			if starts[n].Run > 1 {
				reruns++
			}
			n++
		}
		s.engine.mu.Lock()
		j := s.engine.ledger.Job(first.Job)
		waited := now - max(j.AcceptedMS, j.DueMS(first.Occurrence))
		queue := j.Queue
		s.engine.mu.Unlock()
		s.log.Info("tasks placed", "job", first.Job, "queue", queue, "occurrence", first.Occurrence, "step", first.Step, "tasks", n,
			"again", reruns, "servers", servers, "since_due_ms", waited)
		starts = starts[n:]
	}
}

func sameStep(a, b ledger.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// makePlan returns the starts to commit. Their orders are recorded first: a live run without an order is taken for one
// inherited from an earlier leader.
func (s *session) makePlan() []ledger.Start {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	now := boottime.Now()
	s.evacuateLocked(now)
	room := s.startWindow.room()
	if room == 0 {
		return nil // the plan stays due
	}
	s.stats.planDelay.Record(s.load.planBegins(now, s.planReadyAt))
	began := time.Now()
	in := s.planInputLocked()
	in.MaxStarts = room
	starts := schedule.Plan(in)
	s.planTook = time.Since(began)
	s.stats.plan.Record(s.planTook)
	for _, st := range starts {
		s.orders[runKey{st.Task, st.Run}] = &order{state: orderPlanned, since: now}
		s.planned[st.Worker]++
		server := s.fleet.Get(st.Worker)
		if limit, limited := in.ColdLimit(server); limited {
			server.TakeColdStart(now, limit)
		}
		if server.Health.Suspect() {
			server.Health.BeginTrial(now)
			s.log.Info("trial run on a suspect server", "server", st.Worker, "task", st.Task, "run", st.Run)
		}
	}
	return starts
}

// planInputLocked returns the current input for the scheduler.
func (s *session) planInputLocked() *schedule.Input {
	return &schedule.Input{
		Now: boottime.Now(), WallMS: time.Now().UnixMilli(), Ledger: s.engine.ledger, Fleet: s.fleet, Reserved: s.withheldLocked(), Due: s.dueServers,
		Evacuated: s.engine.ledger.Evacuated(), Cold: s.cold,
	}
}

// releasePlanned decrements the counts of planned starts after the attempt to commit them: they are in the ledger now, or
// the commit failed. commandApplied handles starts that are committed later.
func (s *session) releasePlanned(starts []ledger.Start) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, st := range starts {
		if s.planned[st.Worker]--; s.planned[st.Worker] <= 0 {
			delete(s.planned, st.Worker)
		}
	}
}

// discardOrders forgets orders that won't be sent. A start may have been committed all the same; then a report of its server
// closes the run.
func (s *session) discardOrders(starts []ledger.Start) {
	s.discardOrdersExcept(starts, nil)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, st := range starts {
		if _, t := s.engine.ledger.Task(st.Task); t != nil && t.Phase == ledger.Live && t.Run == st.Run {
			s.ensureHoldLoopLocked(st.Worker)
		}
	}
}

func (s *session) discardOrdersExcept(starts, committed []ledger.Start) {
	keep := make(map[runKey]bool, len(committed))
	for _, st := range committed {
		keep[runKey{st.Task, st.Run}] = true
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, st := range starts {
		key := runKey{st.Task, st.Run}
		if !keep[key] && s.orders[key] != nil && s.orders[key].state == orderPlanned {
			delete(s.orders, key)
		}
	}
}

// evacuateLocked stops lasting tasks on draining servers, so that they restart elsewhere before the server ends. A stop within the
// budget of their step that is on its way goes first: otherwise it could end a second task.
func (s *session) evacuateLocked(_ time.Duration) {
	for id, server := range s.fleet.All() {
		if !server.Draining || server.Left || server.DrainingSince == 0 {
			continue // one that has said that it ends now gains nothing by it, if it wasn't the incarnation before
		}
		for task, t := range s.engine.ledger.LiveOn(id) {
			if s.engine.ledger.Job(task.Job).Steps[task.Step].Lasting && s.orderSentLocked(task, t) && !s.budgetedStopUnderWayLocked(task) {
				s.stopLocked(task, t, "its backend server leaves")
			}
		}
	}
}

// orderSentLocked reports whether this leader has an order for a run and is no longer committing or sending it.
func (s *session) orderSentLocked(id ledger.TaskID, t *ledger.Task) bool {
	o := s.orders[runKey{id, t.Run}]
	return o != nil && o.state != orderPlanned
}
