package dispatch

import (
	"context"
	"errors"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/lease"
	"laburnumrouter/internal/request/ledger"
)

const (
	// holdRetry is the pause after a hold that failed.
	holdRetry = 100 * time.Millisecond
	// settleWait is how long a hold waits while the fate of an order is open.
	settleWait = 100 * time.Millisecond
	// holdGap is the least time between holds of one server: ends that come close together are listed by one.
	holdGap = 15 * time.Millisecond
	// maxLease is the longest lease that a server grants itself, whatever deadline it is sent (hold_max_ms).
	maxLease = 10 * time.Second
)

// holder keeps the leases of one server and takes note of the ends that it lists.
type holder struct {
	session *session
	worker  string
	born    int64
	// acked is the number of the newest end that is committed; told is the newest that the server was told.
	acked, told int64
	// cancel ends the call under way early; interrupted tells the call's maker that this was done. Both under engine.mu.
	cancel      context.CancelFunc
	interrupted bool
	// contacted is set once the server has answered with this leader's fencing token.
	contacted bool
}

// holdLocked sees to it that a server with live runs or unacknowledged ends is held.
func (s *session) holdLocked(worker string) {
	if s.holders[worker] != nil || s.closed.Load() {
		return
	}
	h := &holder{session: s, worker: worker}
	if server := s.fleet.Get(worker); server != nil {
		h.born, h.acked, h.told, h.contacted = server.Born, server.AckedEnd, server.AckedEnd, server.Contacted
	}
	s.holders[worker] = h
	s.run(h.run)
}

// run holds the server until there is nothing more to hold it for.
func (h *holder) run() {
	for h.next() {
		select {
		case <-h.session.ctx.Done():
			return
		case <-time.After(holdGap):
		}
	}
}

// next makes one call and reports whether another is needed.
func (h *holder) next() bool {
	s := h.session
	s.engine.mu.Lock()
	if !h.neededLocked() {
		delete(s.holders, h.worker)
		s.engine.mu.Unlock()
		return false
	}
	server := s.fleet.Get(h.worker)
	if server == nil || server.Left {
		h.concludeLocked(server)
		s.engine.mu.Unlock()
		return h.pause()
	}
	to := Target{ID: h.worker, Address: server.Address}
	if server.Born != h.born {
		h.born, h.acked, h.told, h.contacted = server.Born, 0, 0, false
	}
	o := HoldOrder{Fence: s.holder.Fence, AckedEnd: h.acked, WaitMS: h.waitLocked().Milliseconds()}
	if server.FailedCalls == 0 {
		// A server that doesn't answer is only asked: a renewal that may have reached it would put off the lapse.
		o.DeadlineMS, _ = s.grantLocked(h.worker)
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout+time.Duration(o.WaitMS)*time.Millisecond)
	defer cancel()
	h.cancel, h.interrupted = cancel, false
	s.engine.mu.Unlock()
	if !s.mayOrder() {
		return h.pause()
	}
	asked := boottime.Now()
	report, err := s.servers.Hold(ctx, to, o)
	heard := boottime.Now()
	if s.ctx.Err() != nil {
		return false
	}
	if err != nil {
		return h.wasInterrupted() || h.failed(err)
	}
	h.told = o.AckedEnd
	h.take(report, asked, heard)
	return true
}

// interruptLocked makes the holder of a server ask again at once, for an order whose fate is open.
func (s *session) interruptLocked(worker string) {
	if h := s.holders[worker]; h != nil && h.cancel != nil && !h.interrupted {
		h.interrupted = true
		h.cancel()
	}
}

// wasInterrupted reports whether the call that ended without an answer was ended by this process.
func (h *holder) wasInterrupted() bool {
	h.session.engine.mu.Lock()
	defer h.session.engine.mu.Unlock()
	return h.interrupted
}

func (h *holder) pause() bool {
	select {
	case <-h.session.ctx.Done():
		return false
	case <-time.After(holdRetry):
		return true
	}
}

// neededLocked reports whether the server has runs to hold or ends that it still lists.
func (h *holder) neededLocked() bool {
	s := h.session
	if len(s.engine.ledger.LiveOn(h.worker)) > 0 || h.told < h.acked {
		return true
	}
	server := s.fleet.Get(h.worker)
	if server == nil || server.Left {
		return false
	}
	if server.FailedCalls > 0 {
		return server.HeardAt > server.FailedAt // it announces itself, so it may answer again
	}
	return !server.Contacted && s.inheritedLocked(server)
}

// inheritedLocked reports whether a server was known to an earlier leader and hasn't announced itself to this one.
func (s *session) inheritedLocked(server *fleet.Server) bool { return server.Seq == 0 }

// waitLocked returns how long the server may keep the answer back.
func (h *holder) waitLocked() time.Duration {
	s := h.session
	live := s.engine.ledger.LiveOn(h.worker)
	if !h.contacted || len(live) == 0 {
		return 0
	}
	for id, t := range live {
		o := s.orders[runKey{id, t.Run}]
		if o != nil && (o.state == orderUnanswered || o.state == orderStopped) {
			return settleWait
		}
	}
	return holdWait
}

// failed notes a hold without an answer and pauses. It reports whether another is to be made.
func (h *holder) failed(err error) bool {
	h.noteFailure(err)
	return h.pause()
}

func (h *holder) noteFailure(err error) {
	s := h.session
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	server := s.fleet.Get(h.worker)
	if server == nil {
		return
	}
	switch {
	case errors.Is(err, ErrElsewhere):
		s.incarnationGoneLocked(h.worker, "another incarnation answers at its address")
		return
	case errors.Is(err, ErrFenced):
		s.log.Warn("hold refused: another leader has a higher fencing token", "server", h.worker)
		return
	}
	if server.FailedCalls == 0 {
		s.log.Warn("backend server doesn't answer", "server", h.worker, "runs", len(s.engine.ledger.LiveOn(h.worker)), "error", err)
	}
	server.Unanswered(boottime.Now())
	h.concludeLocked(server)
}

// concludeLocked closes the runs of a server that can't be asked once their leases have lapsed for certain.
func (h *holder) concludeLocked(server *fleet.Server) {
	s := h.session
	now := boottime.Now()
	if !s.lapsedLocked(server, now) {
		return
	}
	for id, t := range s.engine.ledger.LiveOn(h.worker) {
		if o := s.orders[runKey{id, t.Run}]; o != nil && o.state == orderPlanned {
			continue
		}
		s.log.Info("run lapsed", "task", id, "run", t.Run, "server", h.worker)
		s.endLocked(id, t, ledger.EndLapsed)
	}
}

// lapsedLocked reports whether every lease that any leader granted to a server has lapsed.
func (s *session) lapsedLocked(server *fleet.Server, now time.Duration) bool {
	if now < s.inheritedLapse() {
		return false
	}
	if server == nil {
		return true
	}
	return now >= server.HeldUntil && (server.GrantedMS == 0 || server.Clock.Lapsed(server.GrantedMS, now))
}

// take compares a report with the ledger.
func (h *holder) take(report *HoldReport, asked, heard time.Duration) {
	s := h.session
	s.engine.mu.Lock()
	server := s.fleet.Get(h.worker)
	if server == nil || report.Born < server.Born {
		s.engine.mu.Unlock()
		return
	}
	if report.Born > server.Born {
		next := server.Server
		next.Born, next.Draining = report.Born, false
		s.fleet.Adopt(next, heard)
		s.rebornLocked(h.worker)
		h.born, h.acked, h.told, h.contacted = report.Born, 0, 0, false
		server = s.fleet.Get(h.worker)
	}
	if server.FailedCalls > 1 {
		s.log.Info("backend server answers again", "server", h.worker)
	}
	server.Answered(heard)
	server.Clock.Observe(report.ClockMS, asked, heard)
	listed := make(map[runKey]bool, len(report.Running)+len(report.Finished))
	ends, newest := h.finishedLocked(report, server, listed, heard)
	h.runningLocked(report, listed)
	h.missingLocked(listed, asked)
	s.paceLocked(h.worker, report, heard)
	h.contacted, server.Contacted = true, true
	s.engine.mu.Unlock()
	if newest <= h.acked {
		return
	}
	select {
	case <-s.ends.add(ends...):
	case <-s.ctx.Done():
		return
	}
	h.acked = newest
	s.engine.mu.Lock()
	server.AckedEnd = newest
	s.engine.mu.Unlock()
}

// rebornLocked takes in that a new incarnation has the id of a server. What ran on the earlier one is gone, but an order of
// the last moments may have reached the new one: only a report asked for from now on tells.
func (s *session) rebornLocked(worker string) {
	now, runs := boottime.Now(), s.engine.ledger.LiveOn(worker)
	s.log.Info("backend server has started anew", "server", worker, "runs", len(runs))
	for id, t := range runs {
		o := s.orders[runKey{id, t.Run}]
		if o == nil {
			continue
		}
		if o.state == orderStopped {
			o.state = orderUnanswered // the earlier incarnation was told to stop it, not this one
		}
		o.at, o.stopping = now, false
	}
	if len(runs) == 0 {
		return
	}
	s.fleet.Get(worker).HeldUntil = now + lease.LapseWithin(maxLease)
	s.holdLocked(worker)
	s.interruptLocked(worker)
}

// finishedLocked returns the ends of runs that the ledger holds as live, and the number of the newest end.
func (h *holder) finishedLocked(r *HoldReport, server *fleet.Server, listed map[runKey]bool, now time.Duration) ([]ledger.End, int64) {
	s := h.session
	var ends []ledger.End
	newest := h.acked
	for _, f := range r.Finished {
		newest = max(newest, f.Number)
		key := runKey{f.Task, f.Run}
		listed[key] = true
		j, t := s.engine.ledger.Task(f.Task)
		if t == nil || t.Phase != ledger.Live || t.Run != f.Run || t.Worker != h.worker {
			continue
		}
		h.judge(server, j, f, now)
		ends = append(ends, ledger.End{Task: f.Task, Run: f.Run, Worker: h.worker, How: f.How, Checkpoint: f.Checkpoint})
	}
	return ends, newest
}

// judge notes in the server's health how a run went.
func (h *holder) judge(server *fleet.Server, j *ledger.Job, f FinishedTask, now time.Duration) {
	step := &j.Steps[f.Task.Step]
	switch f.How {
	case ledger.EndDone:
		o := h.session.orders[runKey{f.Task, f.Run}]
		if o != nil && o.state == orderTaken && !step.Checkpoints {
			server.Health.Done(now-o.at, time.Duration(step.EstimateMS)*time.Millisecond, now)
		} else {
			server.Health.Done(0, 0, now)
		}
	case ledger.EndFailed:
		server.Health.Failed(now)
		h.session.log.Info("run failed", "task", f.Task, "run", f.Run, "server", h.worker, "suspect", server.Health.Suspect())
	}
}

// runningLocked takes in what runs, and stops what should not.
func (h *holder) runningLocked(r *HoldReport, listed map[runKey]bool) {
	s := h.session
	for _, row := range r.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		j, t := s.engine.ledger.Task(row.Task)
		if t == nil || t.Phase != ledger.Live || t.Run != row.Run || t.Worker != h.worker {
			s.stopStray(h.worker, row.Task, row.Run)
			continue
		}
		o := s.orders[key]
		if o == nil {
			o = &order{state: orderTaken, at: boottime.Now()}
			s.orders[key] = o
		}
		if o.state == orderUnanswered {
			o.state, o.at = orderTaken, boottime.Now()
		}
		o.percent = row.Percent
		if row.Checkpoint != "" {
			o.checkpoint = row.Checkpoint
		}
		if j.State.Final() {
			s.stopLocked(row.Task, t, "job "+string(j.State))
		}
	}
}

// stopStray stops a run that the ledger does not hold as live: a start that was carried out late.
func (s *session) stopStray(worker string, id ledger.TaskID, run int) {
	server := s.fleet.Get(worker)
	if server == nil {
		return
	}
	s.log.Warn("stray run is stopped", "task", id, "run", run, "server", worker)
	to := Target{ID: worker, Address: server.Address}
	s.run(func() {
		if !s.mayOrder() {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.servers.Stop(ctx, to, StopOrder{Task: id, Run: run, Fence: s.holder.Fence}); err != nil {
			s.log.Warn("stray run not stopped yet; the next report asks again", "task", id, "run", run, "error", err)
		}
	})
}

// missingLocked decides on live runs that a report asked for at a moment does not list.
func (h *holder) missingLocked(listed map[runKey]bool, asked time.Duration) {
	s := h.session
	for id, t := range s.engine.ledger.LiveOn(h.worker) {
		key := runKey{id, t.Run}
		if listed[key] {
			continue
		}
		o := s.orders[key]
		switch {
		case o == nil:
			// Nothing of this leader is under way, and the report shows that earlier leaders are fenced off.
			s.log.Info("inherited run is lost", "task", id, "run", t.Run, "server", h.worker)
			s.endLocked(id, t, ledger.EndLost)
		case o.at >= asked:
			// The report may be older than the order's state.
		case o.state == orderTaken || o.state == orderStopped:
			s.log.Info("run is lost", "task", id, "run", t.Run, "server", h.worker, "stopped", o.state == orderStopped)
			s.endLocked(id, t, ledger.EndLost)
		case o.state == orderUnanswered:
			// The order may still be carried out, unless a stop comes first.
			s.stopLocked(id, t, "its order was not answered")
		}
	}
}
