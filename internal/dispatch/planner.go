package dispatch

import (
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// planLoop plans whenever something has changed.
func (s *session) planLoop() {
	timer := time.NewTimer(planEvery)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(planEvery)
		if s.mayOrder() {
			s.planOnce()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(planPause):
		}
	}
}

// planOnce makes a plan, commits its starts and sends the orders of those that held at commit.
func (s *session) planOnce() {
	starts := s.makePlan()
	if len(starts) == 0 {
		return
	}
	result, err := s.propose(&ledger.Command{Starts: starts})
	defer s.unplan(starts)
	if err != nil {
		s.log.Warn("starts not committed", "starts", len(starts), "error", err)
		s.forget(starts)
		return
	}
	s.logStarts(result.Started)
	s.launch(result.Started)
	if len(result.Started) < len(starts) {
		s.forgetExcept(starts, result.Started)
	}
}

// logStarts writes a line for each step of which tasks were placed: where, how long the job has waited, and how many runs
// of the step's tasks there were before.
func (s *session) logStarts(starts []ledger.Start) {
	now := time.Now().UnixMilli()
	for len(starts) > 0 {
		first := starts[0].Task
		n, again := 0, 0
		var servers []string
		for n < len(starts) && sameStep(starts[n].Task, first) {
			servers = append(servers, starts[n].Worker)
			if starts[n].Run > 1 {
				again++
			}
			n++
		}
		s.engine.mu.Lock()
		j := s.engine.ledger.Job(first.Job)
		waited := now - max(j.AcceptedMS, j.DueMS(first.K))
		queue := j.Queue
		s.engine.mu.Unlock()
		s.log.Info("tasks placed", "job", first.Job, "queue", queue, "occurrence", first.K, "step", first.Step, "tasks", n,
			"again", again, "servers", servers, "since_due_ms", waited)
		starts = starts[n:]
	}
}

func sameStep(a, b ledger.TaskID) bool { return a.Job == b.Job && a.K == b.K && a.Step == b.Step }

// makePlan returns starts, whose orders are noted before they are committed: a run that is live without a
// note is taken for an inherited one.
func (s *session) makePlan() []ledger.Start {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	now := boottime.Now()
	s.evacuateLocked(now)
	began := time.Now()
	starts := schedule.Plan(s.planInputLocked())
	s.stats.plan.Record(time.Since(began))
	for _, st := range starts {
		s.orders[runKey{st.Task, st.Run}] = &order{state: orderPlanned, at: now}
		s.planned[st.Worker]++
	}
	return starts
}

// planInputLocked is what plans are made from now.
func (s *session) planInputLocked() *schedule.Input {
	return &schedule.Input{
		Now: boottime.Now(), WallMS: time.Now().UnixMilli(), Ledger: s.engine.ledger, Fleet: s.fleet, Reserved: s.reserved,
	}
}

// unplan notes that starts are in the ledger, or never will be as far as this leader knows.
func (s *session) unplan(starts []ledger.Start) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, st := range starts {
		if s.planned[st.Worker]--; s.planned[st.Worker] <= 0 {
			delete(s.planned, st.Worker)
		}
	}
}

func (s *session) forget(starts []ledger.Start) { s.forgetExcept(starts, nil) }

func (s *session) forgetExcept(starts, taken []ledger.Start) {
	keep := make(map[runKey]bool, len(taken))
	for _, st := range taken {
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

// evacuateLocked stops lasting tasks on servers that leave, so that they go on elsewhere before the server ends.
func (s *session) evacuateLocked(_ time.Duration) {
	for id, server := range s.fleet.All() {
		if !server.Draining || server.Left {
			continue
		}
		for task, t := range s.engine.ledger.LiveOn(id) {
			if s.engine.ledger.Job(task.Job).Steps[task.Step].Lasting && s.settledLocked(task, t) {
				s.stopLocked(task, t, "its backend server leaves")
			}
		}
	}
}

// settledLocked reports whether the order of a run is no longer under way.
func (s *session) settledLocked(id ledger.TaskID, t *ledger.Task) bool {
	o := s.orders[runKey{id, t.Run}]
	return o != nil && o.state != orderPlanned
}
