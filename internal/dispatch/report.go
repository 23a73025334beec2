package dispatch

import (
	"context"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// maxStraysPerReport bounds how many runs that the ledger does not hold as live are stopped after one report. The next reports
// list the others again. A server runs a few dozen tasks.
const maxStraysPerReport = 64

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
	s.resolveNamesakesLocked(h.serverID, report)
	server := s.fleet.Get(h.serverID)
	if server == nil || report.Born < server.Born && asked <= max(server.AliveAt, server.AppearedAt) {
		return nil, nil, 0 // an answer of an earlier incarnation that came late
	}
	if report.Born != server.Born {
		// A lower birth is that of a later incarnation, too, if it answers a call that was sent after the last sign of the known one: the
		// clock of its machine was set back.
		next := server.Server
		next.Born, next.Draining = report.Born, false
		s.fleet.Adopt(next, heard)
		s.fleet.Get(h.serverID).AnnouncementDue = heard + schedule.AnnouncementTimeout
		s.serverRestartedLocked(server)
		h.beginIncarnation(report.Born)
		server = s.fleet.Get(h.serverID)
	}
	if server.FailedCalls > 0 {
		s.log.Info("backend server answers again", "server", h.serverID, "silent_for", ago(heard, server.AnsweredAt), "failed_calls", server.FailedCalls,
			"granted_ago", ago(heard, server.LeaseGrantedAt))
	}
	h.last = callRecord{call: c, took: heard - asked, answeredAt: server.AnsweredAt, failed: server.FailedCalls}
	server.Answered(heard)
	if c.born == report.Born {
		s.answeredLocked(server, c.order.Fence, report, heard)
	}
	h.renewal.Answered(c.grants)
	server.ConfirmedDeadlineMS = max(server.ConfirmedDeadlineMS, c.order.DeadlineMS)
	server.AliveAt = max(server.AliveAt, asked)
	server.Clock.Observe(report.ClockMS, asked, heard)
	listed := make(map[runKey]bool, len(report.Running)+len(report.Finished))
	ends, newest := h.collectEndsLocked(report, server, listed, heard)
	h.processRunningLocked(report, listed, asked)
	if report.listsAllEnds() {
		h.handleUnlistedRunsLocked(listed, asked)
	} else {
		s.log.Info("report lists as many ends as it can hold; runs that it lacks may have ended too", "server", h.serverID,
			"running", len(report.Running), "open", len(s.engine.ledger.LiveOn(h.serverID)), "newest_end", newest)
	}
	s.updatePacesLocked(h.serverID, report, heard)
	return server, ends, newest
}

// serverRestartedLocked handles a new incarnation under the ID of a known server. The runs of the earlier incarnation are
// gone, but an order sent just before may have started a run on the new one. Only a report requested from now on tells which runs exist.
//
// before is what was known of the earlier incarnation.
func (s *session) serverRestartedLocked(before *fleet.Server) {
	serverID := before.ID
	now, runs := boottime.Now(), s.engine.ledger.LiveOn(serverID)
	s.logRestartLocked(before)
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
	s.foundLocked(s.fleet.Get(serverID))
	s.interruptHoldLocked(serverID)
}

// collectEndsLocked returns the reported ends of runs that the ledger holds as live, and the number of the newest end.
func (h *holdLoop) collectEndsLocked(r *HoldReport, server *fleet.Server, listed map[runKey]bool, now time.Duration) ([]ledger.End, int64) {
	s := h.session
	var ends []ledger.End
	newest := h.committedEnd
	h.logMissingEnds(r)
	for _, f := range r.Finished {
		newest, h.newestEnd = max(newest, f.Number), max(h.newestEnd, f.Number)
		key := runKey{f.Task, f.Run}
		listed[key] = true
		j, t := s.engine.ledger.Task(f.Task)
		if t == nil || t.Phase != ledger.Live || t.Run != f.Run || t.Worker != h.serverID {
			continue
		}
		s.carriedOutLocked(key, t, server.Born)
		s.runBeganLocked(key, h.serverID)
		e := ledger.End{Task: f.Task, Run: f.Run, Worker: h.serverID, How: f.How, Checkpoint: f.Checkpoint}
		if s.ends.news(e) {
			h.recordHealthLocked(server, j, f, now)
		}
		ends = append(ends, e)
	}
	return ends, newest
}

// resolveNamesakesLocked replaces the names of tasks in a report by their keys, which differ if jobs of several places have one ID.
func (s *session) resolveNamesakesLocked(serverID string, r *HoldReport) {
	if !s.engine.ledger.HasNamesakes() {
		return
	}
	for i := range r.Running {
		r.Running[i].Task = s.engine.ledger.KeyOnServer(serverID, r.Running[i].Task, r.Running[i].Run)
	}
	for i := range r.Finished {
		r.Finished[i].Task = s.engine.ledger.KeyOnServer(serverID, r.Finished[i].Task, r.Finished[i].Run)
	}
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
			o = &order{state: orderTaken, since: boottime.Now(), inherited: true}
			s.orders[key] = o
		}
		s.carriedOutLocked(key, t, r.Born)
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
	to, token := Target{ID: serverID, Address: server.Address}, s.tokenLocked(serverID)
	s.spawn(func() {
		if !s.mayOrder() {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.servers.Stop(ctx, to, StopOrder{Task: id, Run: run, Fence: token}); err != nil {
			s.log.Warn("stray run not stopped yet; the stop is sent again after the next report that lists it", "task", id, "run", run, "error", err)
		}
	})
}

// handleUnlistedRunsLocked handles live runs that are missing from a report that lists all ends. asked is when the report was
// requested.
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
