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
	// newestEnd is the number of the newest end that was read. sawBeginning is set if it was read from the incarnation's first one on.
	newestEnd    int64
	sawBeginning bool
	// ackDueSince is when the oldest committed end that hasn't been acknowledged was noticed.
	ackDueSince time.Duration
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

// beginIncarnation prepares the loop for a new incarnation, which numbers its ends anew.
func (h *holdLoop) beginIncarnation(born int64) {
	h.born, h.committedEnd, h.ackedEnd, h.renewal = born, 0, 0, lease.Renewal{}
	h.newestEnd, h.sawBeginning = 0, true
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
		return h.wasInterrupted() || h.wasOvertaken(c, err) || h.handleFailure(c, err)
	}
	if c.order.AckedEnd > h.ackedEnd {
		h.ackedEnd, h.ackDueSince = c.order.AckedEnd, heard
	}
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
	born  int64 // of the incarnation that is called
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
		h.beginIncarnation(server.Born)
	}
	o := HoldOrder{Fence: s.tokenLocked(h.serverID)}
	now, unacknowledged := boottime.Now(), h.committedEnd > h.ackedEnd
	if !unacknowledged || !server.Responsive() {
		h.ackDueSince = now
	}
	if unacknowledged && s.mayAcknowledgeLocked(server, now-h.ackDueSince) {
		// Sent until a call is answered, and not again, nor to a server that doesn't answer: one that has restarted under its ID
		// counts its ends anew and would forget ends that it hasn't reported.
		o.AckedEnd = h.committedEnd
		s.guardLocked(h.serverID).Acknowledged()
	}
	if !h.reportWanted {
		o.WaitMS = h.holdWaitLocked().Milliseconds()
	}
	if unacknowledged && o.AckedEnd == 0 {
		o.WaitMS = min(o.WaitMS, unresolvedOrderWait.Milliseconds())
	}
	grants := h.renewal.MayGrant(boottime.Now())
	if grants {
		o.DeadlineMS, grants = s.grantLeaseLocked(h.serverID)
	} else {
		o.DeadlineMS = server.LeaseDeadlineMS // granted already, so the lease isn't known to lapse any later
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout+time.Duration(o.WaitMS)*time.Millisecond)
	h.cancel, h.interrupted, h.waiting = cancel, false, o.WaitMS > 0
	return holdCall{to: Target{ID: h.serverID, Address: server.Address}, born: server.Born, order: o, grants: grants, ctx: ctx, cancel: cancel}
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

// wasOvertaken reports whether a call was refused because this leader has made others with a higher token meanwhile.
func (h *holdLoop) wasOvertaken(c holdCall, err error) bool {
	if !errors.Is(err, ErrFenced) {
		return false
	}
	h.session.engine.mu.Lock()
	defer h.session.engine.mu.Unlock()
	overtaken := h.session.overtookLocked(h.serverID, c.order.Fence)
	if overtaken {
		h.renewal.Aborted()
	}
	return overtaken
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
	if server.RefusedAt > server.AnsweredAt {
		return server.FencedAt == 0 && server.AnnouncedAt > server.RefusedAt
	}
	return server.FencedAt == 0
}

// holdWaitLocked returns how long the server may delay its answer.
func (h *holdLoop) holdWaitLocked() time.Duration {
	s := h.session
	live := s.engine.ledger.LiveOn(h.serverID)
	if !h.renewal.MayWait() || len(live) == 0 {
		return 0
	}
	wait, server := holdWait, s.fleet.Get(h.serverID)
	for id, t := range live {
		o := s.orders[runKey{id, t.Run}]
		if o != nil && (o.state == orderUnanswered || o.state == orderStopped) {
			return unresolvedOrderWait
		}
		if o != nil && s.startingLocked(id, o) {
			wait = min(wait, startupWait)
		}
		if at, known := settledAt(server); known && o != nil && s.lastingLocked(id) && o.unsettled(server) {
			wait = min(wait, max(0, at-boottime.Now())) // others of its step can be stopped once the next report lists it
		}
	}
	return wait
}

// lastingLocked reports whether a task of the ledger is lasting.
func (s *session) lastingLocked(id ledger.TaskID) bool {
	return s.engine.ledger.Job(id.Job).Steps[id.Step].Lasting
}

// startingLocked reports whether a run of a lasting task has started but doesn't work in full yet.
func (s *session) startingLocked(id ledger.TaskID, o *order) bool {
	return s.lastingLocked(id) && o.state == orderTaken && o.percent < 100 && boottime.Now()-o.since < startupTime
}

// handleFailure records a failed hold call and waits. It reports whether to call again.
func (h *holdLoop) handleFailure(c holdCall, err error) bool {
	h.recordFailure(c, err, c.ctx.Err() == nil)
	return h.pause()
}

// recordFailure records a failed hold call. atOnce is set if it failed before its time limit.
func (h *holdLoop) recordFailure(c holdCall, err error, atOnce bool) {
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
		s.misdirectedLocked(incarnationAt{c.to, c.born})
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

// closeLapsedRunsLocked closes the runs of an unreachable server that have certainly ended.
func (h *holdLoop) closeLapsedRunsLocked(server *fleet.Server) {
	s := h.session
	now := boottime.Now()
	over := make(map[ledger.TaskID]*ledger.Task)
	for id, t := range s.engine.ledger.LiveOn(h.serverID) {
		if o := s.orders[runKey{id, t.Run}]; (o == nil || o.state != orderPlanned) && s.overLocked(server, id, t, now) {
			over[id] = t
		}
	}
	if len(over) == 0 {
		return
	}
	s.recordCrashLocked(server, true)
	for id, t := range over {
		s.logLapsedLocked(id, t, server, now)
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
