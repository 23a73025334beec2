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
	// holdRetryDelay is the delay after a failed hold call.
	holdRetryDelay = 100 * time.Millisecond
	// unresolvedOrderWait is how long a hold call may wait while it is unknown whether an order was carried out.
	unresolvedOrderWait = 100 * time.Millisecond
	// startupWait is how long a hold call may wait while a lasting task has started less than startupTime ago and doesn't work
	// in full yet. Others of its step can be stopped for an upkeep only after it does.
	startupWait = 150 * time.Millisecond
	startupTime = 3 * time.Second
	// minHoldInterval is the minimum time between hold calls to one server, so that runs that end close together arrive
	// in one report.
	minHoldInterval = 15 * time.Millisecond
	// maxStraysPerReport bounds how many runs that the ledger does not hold as live are stopped after one report. The next
	// reports list the others again. A server runs a few dozen tasks.
	maxStraysPerReport = 64
	// maxServerLease is the longest lease that a server accepts (hold_max_ms). It shortens later deadlines to this.
	maxServerLease = 10 * time.Second
)

// holdLoop repeats hold calls to one server: they renew its lease and report which of its runs have ended.
type holdLoop struct {
	session  *session
	serverID string
	born     int64
	// committedEnd is the number of the newest committed end. ackedEnd is the newest number that was acknowledged to the
	// server.
	committedEnd, ackedEnd int64
	// cancel aborts the call in progress. interrupted is set once interruptHoldLocked has done so, so that holdOnce doesn't
	// take the abort for a failure. Both are guarded by engine.mu.
	cancel      context.CancelFunc
	interrupted bool
	// renewal decides what the next call asks for. It is guarded by engine.mu.
	renewal lease.Renewal
	// waiting is set while a call is under way that the server may keep open. It is guarded by engine.mu.
	waiting bool
	// reportWanted is set while a report is wanted at once. It is guarded by engine.mu.
	reportWanted bool
	// last describes the call whose report is being processed.
	last callRecord
}

// ensureHoldLoopLocked starts a hold loop for a server unless one is running.
func (s *session) ensureHoldLoopLocked(serverID string) {
	if s.holdLoops[serverID] != nil || s.closed.Load() {
		return
	}
	h := &holdLoop{session: s, serverID: serverID}
	if server := s.fleet.Get(serverID); server != nil {
		h.born, h.committedEnd, h.ackedEnd = server.Born, server.CommittedEnd, server.CommittedEnd
		if server.FailedCalls > 0 {
			h.renewal.Unanswered()
		}
	}
	s.holdLoops[serverID] = h
	s.spawnLoop("hold", h.run)
}

// run repeats hold calls until none is needed.
func (h *holdLoop) run() {
	for h.holdOnce() {
		select {
		case <-h.session.ctx.Done():
			return
		case <-time.After(h.session.holdPause()):
		}
	}
}

// holdOnce makes one hold call and reports whether another is needed.
func (h *holdLoop) holdOnce() bool {
	s := h.session
	c := h.prepare()
	defer c.cancel()
	if c.next == holdEnds {
		return false
	}
	if c.next == holdPauses || !s.mayOrder() {
		return h.pause()
	}
	asked := boottime.Now()
	report, err := s.servers.Hold(c.ctx, c.to, c.order)
	heard := boottime.Now()
	if s.ctx.Err() != nil {
		return false
	}
	if err != nil {
		return h.wasInterrupted() || h.handleFailure(err, c.ctx.Err() == nil)
	}
	h.ackedEnd = max(h.ackedEnd, c.order.AckedEnd)
	h.processReport(c, report, asked, heard)
	return true
}

// holdStep is what a hold loop does next.
type holdStep int

// Next steps of a hold loop.
const (
	holdCalls holdStep = iota
	holdPauses
	holdEnds
)

// holdCall is a prepared hold call.
type holdCall struct {
	next  holdStep
	to    Target
	order HoldOrder
	// grants is set if the order carries a new deadline, not one that an earlier call carried.
	grants bool
	ctx    context.Context
	cancel context.CancelFunc
}

// prepare decides on the next step and prepares the call.
func (h *holdLoop) prepare() holdCall {
	s := h.session
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if !h.neededLocked() {
		delete(s.holdLoops, h.serverID)
		return holdCall{next: holdEnds, cancel: func() {}}
	}
	server := s.fleet.Get(h.serverID)
	if server == nil || server.Left {
		h.closeLapsedRunsLocked(server)
		return holdCall{next: holdPauses, cancel: func() {}}
	}
	s.holdRate.add(boottime.Now())
	if server.Born != h.born {
		h.born, h.committedEnd, h.ackedEnd, h.renewal = server.Born, 0, 0, lease.Renewal{}
	}
	o := HoldOrder{Fence: s.holder.Fence}
	if h.committedEnd > h.ackedEnd && server.Responsive() {
		// Sent until a call is answered, and not again, nor to a server that doesn't answer: one that has restarted under its ID
		// counts its ends anew and would forget ends that it hasn't reported.
		o.AckedEnd = h.committedEnd
	}
	if !h.reportWanted {
		o.WaitMS = h.holdWaitLocked().Milliseconds()
	}
	grants := h.renewal.MayGrant(boottime.Now())
	if grants {
		o.DeadlineMS, grants = s.grantLeaseLocked(h.serverID)
	} else {
		o.DeadlineMS = server.LeaseDeadlineMS // granted already, so the lease isn't known to lapse any later
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout+time.Duration(o.WaitMS)*time.Millisecond)
	h.cancel, h.interrupted, h.waiting = cancel, false, o.WaitMS > 0
	return holdCall{to: Target{ID: h.serverID, Address: server.Address}, order: o, grants: grants, ctx: ctx, cancel: cancel}
}

// interruptHoldLocked aborts the current hold call to a server if it waits for ends, so that the next one asks at once what became
// of an unanswered order. Others are answered soon, and may be needed to renew the lease.
func (s *session) interruptHoldLocked(serverID string) {
	if h := s.holdLoops[serverID]; h != nil && h.waiting && !h.interrupted {
		h.interrupted = true
		h.renewal.Aborted()
		h.cancel()
	}
}

// requestReportLocked makes a server report at once what runs on it, unless it is being asked for that already.
func (s *session) requestReportLocked(serverID string) {
	s.ensureHoldLoopLocked(serverID)
	if h := s.holdLoops[serverID]; h != nil && !h.reportWanted {
		h.reportWanted = true
		s.interruptHoldLocked(serverID)
	}
}

// wasInterrupted reports whether this process itself aborted the call that ended without an answer.
func (h *holdLoop) wasInterrupted() bool {
	h.session.engine.mu.Lock()
	defer h.session.engine.mu.Unlock()
	return h.interrupted
}

func (h *holdLoop) pause() bool {
	select {
	case <-h.session.ctx.Done():
		return false
	case <-time.After(holdRetryDelay):
		return true
	}
}

// neededLocked reports whether the server has live runs, or ends that have not been acknowledged to it.
func (h *holdLoop) neededLocked() bool {
	s := h.session
	if len(s.engine.ledger.LiveOn(h.serverID)) > 0 || h.ackedEnd < h.committedEnd {
		return true
	}
	server := s.fleet.Get(h.serverID)
	if server == nil || server.Left {
		return false
	}
	if server.FailedCalls > 0 {
		return server.AnnouncedAt > server.FailedAt // it announced itself since, so it may be reachable again
	}
	return !server.HoldAnswered && s.inheritedLocked(server)
}

// inheritedLocked reports whether a server is known from an earlier leader and has not announced itself to this one.
func (s *session) inheritedLocked(server *fleet.Server) bool { return server.Seq == 0 }

// holdWaitLocked returns how long the server may delay its answer.
func (h *holdLoop) holdWaitLocked() time.Duration {
	s := h.session
	live := s.engine.ledger.LiveOn(h.serverID)
	if !h.renewal.MayWait() || len(live) == 0 {
		return 0
	}
	wait := holdWait
	for id, t := range live {
		o := s.orders[runKey{id, t.Run}]
		if o != nil && (o.state == orderUnanswered || o.state == orderStopped) {
			return unresolvedOrderWait
		}
		if o != nil && s.startingLocked(id, o) {
			wait = startupWait
		}
	}
	return wait
}

// startingLocked reports whether a run of a lasting task has started but doesn't work in full yet.
func (s *session) startingLocked(id ledger.TaskID, o *order) bool {
	lasting := s.engine.ledger.Job(id.Job).Steps[id.Step].Lasting
	return lasting && o.state == orderTaken && o.percent < 100 && boottime.Now()-o.since < startupTime
}

// handleFailure records a failed hold call and waits. atOnce is set if the call failed before its time limit. It reports whether
// to call again.
func (h *holdLoop) handleFailure(err error, atOnce bool) bool {
	h.recordFailure(err, atOnce)
	return h.pause()
}

func (h *holdLoop) recordFailure(err error, atOnce bool) {
	s := h.session
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	h.reportWanted = false
	server := s.fleet.Get(h.serverID)
	if server == nil {
		return
	}
	switch {
	case errors.Is(err, ErrMisdirected):
		s.incarnationGoneLocked(h.serverID, "another incarnation answers at its address")
		return
	case errors.Is(err, ErrFenced):
		s.log.Warn("hold refused: another leader has a higher fencing token", "server", h.serverID)
		return
	}
	if errors.Is(err, ErrUnhealthy) {
		h.recordRefusalLocked(server)
		return
	}
	h.renewal.Unanswered()
	if server.FailedCalls == 0 {
		s.log.Warn("backend server doesn't answer", "server", h.serverID, "runs", len(s.engine.ledger.LiveOn(h.serverID)),
			"newest", s.newestRunsLocked(h.serverID), "error", err)
	}
	server.Unanswered(boottime.Now(), atOnce)
	h.closeLapsedRunsLocked(server)
}

// recordRefusalLocked records that the server refused a hold call. It is reachable, but gets no new work for a while, and whether its
// tasks work isn't known.
func (h *holdLoop) recordRefusalLocked(server *fleet.Server) {
	s, now := h.session, boottime.Now()
	if now-server.RefusedAt > holdWait {
		s.log.Warn("hold refused: the backend server is unhealthy", "server", h.serverID, "runs", len(s.engine.ledger.LiveOn(h.serverID)),
			"answered", ago(now, server.AnsweredAt))
	}
	server.RefusedAt, server.AvoidUntil = now, max(server.AvoidUntil, now+startBackoff)
	h.renewal.Refused(now)
	h.closeLapsedRunsLocked(server)
}

// closeLapsedRunsLocked closes the runs of an unreachable server once every lease granted to it has certainly lapsed.
func (h *holdLoop) closeLapsedRunsLocked(server *fleet.Server) {
	s := h.session
	now := boottime.Now()
	if !s.leasesLapsedLocked(server, now) {
		return
	}
	s.recordCrashLocked(server, true)
	for id, t := range s.engine.ledger.LiveOn(h.serverID) {
		if o := s.orders[runKey{id, t.Run}]; o != nil && o.state == orderPlanned {
			continue
		}
		s.log.Info("run lapsed", "task", id, "run", t.Run, "server", h.serverID)
		s.closeRunLocked(id, t, ledger.EndLapsed)
	}
}

// leasesLapsedLocked reports whether every lease that any leader granted to a server has certainly lapsed.
func (s *session) leasesLapsedLocked(server *fleet.Server, now time.Duration) bool {
	if now < s.inheritedLeaseEnd() {
		return false
	}
	if server == nil {
		return true
	}
	return now >= server.EarlierLeaseUntil && (server.LeaseDeadlineMS == 0 || server.Clock.Lapsed(server.LeaseDeadlineMS, now))
}

// processReport reconciles the ledger with a server's report.
func (h *holdLoop) processReport(c holdCall, report *HoldReport, asked, heard time.Duration) {
	s := h.session
	server, ends, newest := h.reconcile(c, report, asked, heard)
	if server == nil || newest <= h.committedEnd && len(ends) == 0 {
		return
	}
	if !c.grants {
		s.ends.add(ends...)
		return // the lease is to be renewed first; the next report lists the ends again
	}
	select {
	case <-s.ends.add(ends...):
	case <-time.After(holdWait):
		return // leases are to be renewed; the next report lists the ends again
	case <-s.ctx.Done():
		return
	}
	h.committedEnd = max(h.committedEnd, newest)
	s.engine.mu.Lock()
	server.CommittedEnd = h.committedEnd
	s.engine.mu.Unlock()
}

// reconcile updates the session by a report and returns the server, the ends to commit and the number of the newest end. The
// server is nil if the report is of no use.
func (h *holdLoop) reconcile(c holdCall, report *HoldReport, asked, heard time.Duration) (*fleet.Server, []ledger.End, int64) {
	s := h.session
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	h.reportWanted = false
	server := s.fleet.Get(h.serverID)
	if server == nil || report.Born < server.Born {
		return nil, nil, 0
	}
	if report.Born > server.Born {
		next := server.Server
		next.Born, next.Draining = report.Born, false
		s.fleet.Adopt(next, heard)
		s.serverRestartedLocked(server)
		h.born, h.committedEnd, h.ackedEnd, h.renewal = report.Born, 0, 0, lease.Renewal{}
		server = s.fleet.Get(h.serverID)
	}
	if server.FailedCalls > 0 {
		s.log.Info("backend server answers again", "server", h.serverID, "silent_for", ago(heard, server.AnsweredAt), "failed_calls", server.FailedCalls,
			"granted_ago", ago(heard, server.LeaseGrantedAt))
	}
	h.last = callRecord{call: c, took: heard - asked, answeredAt: server.AnsweredAt, failed: server.FailedCalls}
	server.Answered(heard)
	h.renewal.Answered(c.grants)
	server.ConfirmedDeadlineMS = max(server.ConfirmedDeadlineMS, c.order.DeadlineMS)
	server.AliveAt = max(server.AliveAt, asked)
	server.Clock.Observe(report.ClockMS, asked, heard)
	listed := make(map[runKey]bool, len(report.Running)+len(report.Finished))
	ends, newest := h.collectEndsLocked(report, server, listed, heard)
	h.processRunningLocked(report, listed, asked)
	h.handleUnlistedRunsLocked(listed, asked)
	s.updatePacesLocked(h.serverID, report, heard)
	server.HoldAnswered = true
	return server, ends, newest
}

// serverRestartedLocked handles a new incarnation under the ID of a known server. The runs of the earlier incarnation are
// gone, but an order sent just before may have started a run on the new one, and any deadline on the clock of the earlier one gives it
// a lease of up to maxServerLease. Only a report requested from now on tells which runs exist.
//
// before is what was known of the earlier incarnation.
func (s *session) serverRestartedLocked(before *fleet.Server) {
	serverID := before.ID
	now, runs := boottime.Now(), s.engine.ledger.LiveOn(serverID)
	s.log.Info("backend server has started anew", "server", serverID, "runs", len(runs), "newest", s.newestRunsLocked(serverID))
	s.recordCrashLocked(before, false)
	for id, t := range runs {
		o := s.orders[runKey{id, t.Run}]
		if o == nil {
			continue
		}
		if o.state == orderStopped {
			o.state = orderUnanswered // the stop was sent to the earlier incarnation, not to this one
		}
		o.since, o.stopping, o.percent = now, false, 0
	}
	if before.LeaseDeadlineMS > 0 || len(runs) > 0 {
		s.fleet.Get(serverID).EarlierLeaseUntil = now + callTimeout + lease.MaxLapseTime(maxServerLease)
	}
	if len(runs) == 0 {
		return
	}
	s.ensureHoldLoopLocked(serverID)
	s.interruptHoldLocked(serverID)
}

// collectEndsLocked returns the reported ends of runs that the ledger holds as live, and the number of the newest end.
func (h *holdLoop) collectEndsLocked(r *HoldReport, server *fleet.Server, listed map[runKey]bool, now time.Duration) ([]ledger.End, int64) {
	s := h.session
	var ends []ledger.End
	newest := h.committedEnd
	for _, f := range r.Finished {
		newest = max(newest, f.Number)
		key := runKey{f.Task, f.Run}
		listed[key] = true
		j, t := s.engine.ledger.Task(f.Task)
		if t == nil || t.Phase != ledger.Live || t.Run != f.Run || t.Worker != h.serverID {
			continue
		}
		s.runBeganLocked(key, h.serverID)
		if !s.ends.has(key) {
			h.recordHealthLocked(server, j, f, now)
		}
		ends = append(ends, ledger.End{Task: f.Task, Run: f.Run, Worker: h.serverID, How: f.How, Checkpoint: f.Checkpoint})
	}
	return ends, newest
}

// recordHealthLocked updates the server's health with the result of a run.
func (h *holdLoop) recordHealthLocked(server *fleet.Server, j *ledger.Job, f FinishedTask, now time.Duration) {
	step := &j.Steps[f.Task.Step]
	switch f.How {
	case ledger.EndDone:
		o := h.session.orders[runKey{f.Task, f.Run}]
		if o != nil && o.state == orderTaken && !step.Checkpoints {
			server.Health.Done(now-o.since, time.Duration(step.EstimateMS)*time.Millisecond, now)
		} else {
			server.Health.Done(0, 0, now)
		}
	case ledger.EndLapsed:
		h.logLapse(f, server, step.Lasting, now)
	case ledger.EndFailed:
		server.Health.Failed(now)
		h.session.log.Info("run failed", "task", f.Task, "run", f.Run, "server", h.serverID, "suspect", server.Health.Suspect())
	}
}

// processRunningLocked updates orders from the running tasks of a report that was requested at asked, and stops those that
// should not run.
func (h *holdLoop) processRunningLocked(r *HoldReport, listed map[runKey]bool, asked time.Duration) {
	s := h.session
	strays := 0
	for _, row := range r.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		j, t := s.engine.ledger.Task(row.Task)
		if t == nil || t.Phase != ledger.Live || t.Run != row.Run || t.Worker != h.serverID {
			if strays++; strays <= maxStraysPerReport {
				s.stopStrayLocked(h.serverID, row.Task, row.Run)
			}
			continue
		}
		o := s.orders[key]
		if o == nil {
			o = &order{state: orderTaken, since: boottime.Now()}
			s.orders[key] = o
		}
		if o.state == orderUnanswered {
			o.state, o.since = orderTaken, boottime.Now()
		}
		s.runBeganLocked(key, h.serverID)
		delete(s.crashes, key) // it runs on the present incarnation
		if j.Steps[row.Task.Step].Lasting && row.Percent == 100 && o.percent < 100 {
			s.log.Info("lasting task works", "task", row.Task, "run", row.Run, "server", h.serverID, "first_report", o.reportedAt == 0)
		}
		o.percent, o.reportedAt = row.Percent, asked
		if provesWorking(&j.Steps[row.Task.Step], row) {
			s.fleet.Get(h.serverID).Health.Working(o.since, boottime.Now())
		}
		if row.Checkpoint != "" {
			o.checkpoint = row.Checkpoint
		}
		if j.State.Final() {
			s.stopLocked(row.Task, t, "job "+string(j.State))
		}
	}
}

// provesWorking reports whether a running task shows that its server works. A lasting task does once it works in full. A
// member of a gang may wait for the others, and shows nothing.
func provesWorking(step *ledger.Step, row RunningTask) bool {
	if step.Lasting {
		return row.Percent == 100
	}
	return !step.Gang
}

// stopStrayLocked stops a run that the ledger does not hold as live, such as one whose start was carried out late.
func (s *session) stopStrayLocked(serverID string, id ledger.TaskID, run int) {
	server := s.fleet.Get(serverID)
	if server == nil {
		return
	}
	s.strayStops.Add(1)
	s.log.Warn("stray run is stopped", "task", id, "run", run, "server", serverID)
	to := Target{ID: serverID, Address: server.Address}
	s.spawn(func() {
		if !s.mayOrder() {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.servers.Stop(ctx, to, StopOrder{Task: id, Run: run, Fence: s.holder.Fence}); err != nil {
			s.log.Warn("stray run not stopped yet; the stop is sent again after the next report that lists it", "task", id, "run", run, "error", err)
		}
	})
}

// handleUnlistedRunsLocked handles live runs that are missing from a report. asked is when the report was requested.
func (h *holdLoop) handleUnlistedRunsLocked(listed map[runKey]bool, asked time.Duration) {
	s := h.session
	for id, t := range s.engine.ledger.LiveOn(h.serverID) {
		key := runKey{id, t.Run}
		if listed[key] {
			continue
		}
		o := s.orders[key]
		switch {
		case o == nil:
			// This leader has no order for the run, and the report proves that earlier leaders are fenced off.
			s.log.Info("inherited run is lost", "task", id, "run", t.Run, "server", h.serverID)
			if server := s.fleet.Get(h.serverID); t.Born < server.Born {
				s.recordCrashLocked(&fleet.Server{Server: ledger.Server{ID: h.serverID, Born: t.Born}}, false)
			}
			s.closeRunLocked(id, t, ledger.EndLost)
		case o.since >= asked:
			// The report may be older than the state of the order.
		case o.state == orderTaken || o.state == orderStopped:
			s.log.Info("run is lost", "task", id, "run", t.Run, "server", h.serverID, "stopped", o.state == orderStopped)
			s.closeRunLocked(id, t, ledger.EndLost)
		case o.state == orderUnanswered:
			// The order may still be carried out unless the run is stopped first. If it is, the run goes on.
			s.stopWhileLocked(id, t, "its order was not answered", func() bool {
				latest := s.orders[key]
				return latest != nil && latest.state == orderUnanswered
			})
		}
	}
}
