package dispatch

import (
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/incarnation"
	"laburnumrouter/internal/request/lease"
	"laburnumrouter/internal/request/ledger"
)

// What an incarnation of a backend server may be told, and when a run is over although its server doesn't say so (docs/design/incarnations.md).
// All calls take their tokens from here.

// guardLocked returns the guard of a server ID. It is kept for the term, as a server may come back after it was forgotten.
func (s *session) guardLocked(serverID string) *incarnation.Guard {
	if s.guards == nil {
		s.guards = make(map[string]*incarnation.Guard)
	}
	g := s.guards[serverID]
	if g == nil {
		g = &incarnation.Guard{}
		s.guards[serverID] = g
	}
	return g
}

// guardsIncarnationsLocked reports whether calls carry a token for each incarnation. Members of earlier versions, if they lead, use the term
// alone, which would then be refused.
func (s *session) guardsIncarnationsLocked() bool {
	return s.engine.ledger.Format >= ledger.FormatIncarnations
}

// tokenLocked returns the fencing token of a call to a server other than a start.
func (s *session) tokenLocked(serverID string) uint64 {
	if !s.guardsIncarnationsLocked() {
		return s.holder.Fence
	}
	if g := s.guards[serverID]; g != nil {
		return g.Token(s.holder.Fence)
	}
	return new(incarnation.Guard).Token(s.holder.Fence)
}

// startTokenLocked returns the fencing token of a start.
func (s *session) startTokenLocked(serverID string) uint64 {
	if !s.guardsIncarnationsLocked() {
		return s.holder.Fence
	}
	return s.guardLocked(serverID).StartToken(s.holder.Fence)
}

// token is tokenLocked for callers that don't hold engine.mu.
func (s *session) token(serverID string) uint64 {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.tokenLocked(serverID)
}

// overtookLocked reports whether a call with a token was refused because this leader itself has made others with a higher one meanwhile. It
// had no effect and may be made again.
func (s *session) overtookLocked(serverID string, token uint64) bool {
	return s.tokenLocked(serverID) > token
}

// foundLocked handles an incarnation that this leader has just learned of: it gets no new work until it has answered a call with a token
// of its own. If calls were sent to the ID before, they may renew its lease until then.
func (s *session) foundLocked(server *fleet.Server) {
	if s.guards[server.ID] != nil {
		s.guardLocked(server.ID).Begin()
	}
	server.AwaitFence()
	if s.guardLocked(server.ID).MayRenewLate() {
		server.EarlierLeaseUntil = boottime.Now() + incarnation.LateCallBound + lease.MaxLapseTime(maxServerLease)
	}
	s.ensureHoldLoopLocked(server.ID)
}

// inheritServerLocked handles a server that this leader knows from the log. What earlier leaders sent to earlier incarnations may renew its
// lease until it answers; since they started nothing on it before it refused that, their runs have ended by the longest lease from now on.
func (s *session) inheritServerLocked(server *fleet.Server) {
	server.AwaitFence()
	if s.guardLocked(server.ID).MayRenewLate() || !s.guardsIncarnationsLocked() {
		server.EarlierLeaseUntil = boottime.Now() + inheritedLeaseMargin + lease.MaxLapseTime(maxServerLease)
	}
	s.ensureHoldLoopLocked(server.ID)
}

// answeredLocked handles an answer of the known incarnation to a hold with a token. The first one to a call with a token of its own fences
// it: it carries out no earlier call from now on. What it did before is in its report, but for the lease, of which the longest possible one
// counts.
func (s *session) answeredLocked(server *fleet.Server, token uint64, report *HoldReport, heard time.Duration) {
	if server.FencedAt != 0 {
		return
	}
	if !s.guardsIncarnationsLocked() {
		server.Fenced(heard)
		return
	}
	if !s.guardLocked(server.ID).Own(s.holder.Fence, token) {
		return
	}
	server.Fenced(heard)
	server.EarlierLeaseUntil = 0
	if until := s.guardLocked(server.ID).LatestLeaseMS(report.ClockMS, maxServerLease); until > 0 {
		server.LeaseDeadlineMS = max(server.LeaseDeadlineMS, until)
		s.log.Info("backend server is fenced off from calls to earlier incarnations", "server", server.ID, "born", server.Born,
			"took", heard-server.AppearedAt, "lease_until_ms", until, "clock_ms", report.ClockMS)
	}
}

// mayAcknowledgeLocked reports whether ends may be acknowledged to a server. An acknowledgement may be carried out late by the next
// incarnation. One that is sent while a start has no answer could make that forget the end of the run that the start begins there. Starts
// without an answer are resolved within a second, as a rule, and hold up acknowledgements for maxAcknowledgementDelay at most.
func (s *session) mayAcknowledgeLocked(server *fleet.Server, waiting time.Duration) bool {
	if !server.Responsive() {
		return false
	}
	if waiting > maxAcknowledgementDelay {
		return true
	}
	for id, t := range s.engine.ledger.LiveOn(server.ID) {
		if o := s.orders[runKey{id, t.Run}]; o != nil && o.sentAt != 0 && o.carriedOutBy == 0 {
			return false
		}
	}
	return true
}

// maxAcknowledgementDelay is how long starts without an answer hold up an acknowledgement of ends.
const maxAcknowledgementDelay = 2 * time.Second

// carriedOutLocked records which incarnation has carried an order out.
func (s *session) carriedOutLocked(key runKey, t *ledger.Task, born int64) {
	s.logCarriedOutLaterLocked(key, t, born)
	if o := s.orders[key]; o != nil {
		o.carriedOutBy = born
	}
}

// observeAnswerLocked records that a server answered a start, with a reading of its clock, and returns the incarnation that did; 0 if
// that may have been one that isn't known yet. The answer names none, so the clock tells: a new one starts at another value, and one that
// starts at zero can't have reached the reading since the known incarnation last answered.
func (s *session) observeAnswerLocked(server *fleet.Server, clockMS int64, asked, heard time.Duration) int64 {
	server.Answered(heard)
	if clockMS == 0 {
		return 0 // it gave no reading
	}
	if !server.Clock.Matches(clockMS, asked, heard) {
		s.requestReportLocked(server.ID)
		return 0
	}
	server.Clock.Observe(clockMS, asked, heard)
	if float64(clockMS) <= 2*float64((heard-server.AliveAt).Milliseconds()) {
		return 0
	}
	return server.Born
}

// overLocked reports whether a run has certainly ended on a server that has left or doesn't answer. server is nil if it isn't known any more.
func (s *session) overLocked(server *fleet.Server, id ledger.TaskID, t *ledger.Task, now time.Duration) bool {
	o := s.orders[runKey{id, t.Run}]
	if server != nil && o != nil && o.carriedOutBy != 0 && o.carriedOutBy != server.Born {
		return true // with the incarnation that carried it out
	}
	if !s.leasesLapsedLocked(server, now) {
		return false
	}
	return now >= s.lateStartUntilLocked(o, id, t) || !s.mayBeUpLocked(server, t.Worker)
}

// mayBeUpLocked reports whether a server that has left or doesn't answer may be at work, or another incarnation of it. It isn't if the
// platform's list, requested since its last answer, doesn't show it. server is nil if it isn't known any more.
func (s *session) mayBeUpLocked(server *fleet.Server, serverID string) bool {
	if s.machines == nil {
		return true
	}
	if server != nil && s.cachedMachines.lastRequested() <= max(server.AnsweredAt, server.FailedSince) {
		s.scheduleRefreshLocked(0)
		return true
	}
	return s.cachedMachines.lists(serverID)
}

// recentStart is how long before the end of the term of its leader a start may have been ordered without a record of whether it was
// answered: the time limit of the call, and a commit.
const recentStart = time.Second

// lateStartUntilLocked returns until when a run may be live on an incarnation that nobody has heard of yet, because its start may be carried
// out late; 0 if it can't be. Lasting tasks don't wait for that: users demand that they work again 9 s after their server is gone. o is the
// order of the run, or nil.
func (s *session) lateStartUntilLocked(o *order, id ledger.TaskID, t *ledger.Task) time.Duration {
	sent := time.Duration(0)
	switch earlier := s.inheritedClockMS - t.OrderedMS; {
	case o != nil && o.carriedOutBy != 0 || s.lastingLocked(id):
	case o != nil && o.sentAt != 0:
		sent = o.sentAt
	case (o == nil || o.inherited) && (t.Unanswered || earlier >= 0 && earlier < recentStart.Milliseconds()):
		sent = s.startedAt
	}
	if sent == 0 {
		return 0
	}
	return sent + incarnation.LateCallBound + lease.MaxLapseTime(maxServerLease)
}

// recordUnansweredLocked commits that a start got no answer, for the next leader.
func (s *session) recordUnansweredLocked(st ledger.Start) {
	if !s.guardsIncarnationsLocked() {
		return
	}
	s.spawn(func() {
		if _, err := s.batcher.commit(&ledger.Command{Unanswered: []ledger.Start{st}}); err != nil {
			s.log.Warn("start without an answer not recorded", "task", st.Task, "run", st.Run, "server", st.Worker, "error", err)
		}
	})
}

// logRestartLocked logs that a new incarnation has begun under the ID of a known one, with what calls to that one may still do.
func (s *session) logRestartLocked(before *fleet.Server) {
	now, live := boottime.Now(), s.engine.ledger.LiveOn(before.ID)
	unanswered := 0
	for id, t := range live {
		if o := s.orders[runKey{id, t.Run}]; o != nil && o.state != orderTaken {
			unanswered++
		}
	}
	server := s.fleet.Get(before.ID)
	s.log.Info("backend server has started anew", "server", before.ID, "born", server.Born, "before", before.Born, "runs", len(live),
		"unanswered_starts", unanswered, "granted_ago", ago(now, before.LeaseGrantedAt), "deadline_ms", before.LeaseDeadlineMS,
		"answered_ago", ago(now, before.AnsweredAt), "committed_end", before.CommittedEnd, "newest", s.newestRunsLocked(before.ID))
}

// logCarriedOutLaterLocked logs the first sign of a run that was ordered from an incarnation and carried out by a later one.
func (s *session) logCarriedOutLaterLocked(key runKey, t *ledger.Task, born int64) {
	o := s.orders[key]
	if t.Born == born || o != nil && o.carriedOutBy == born {
		return
	}
	s.stats.carriedOutLater.Inc(1)
	state := "inherited"
	if o != nil {
		state = o.state.String()
	}
	s.log.Warn("order to an earlier incarnation was carried out by the present one", "task", key.task, "run", key.run, "server", t.Worker,
		"ordered_from", t.Born, "born", born, "order", state)
}

// logMissingEnds logs that an incarnation which this leader has known from its beginning lacks ends that the leader hasn't read.
func (h *holdLoop) logMissingEnds(r *HoldReport) {
	if !h.sawBeginning || len(r.Finished) == 0 {
		return
	}
	first := r.Finished[0].Number
	for _, f := range r.Finished {
		first = min(first, f.Number)
	}
	if missing := first - h.newestEnd - 1; missing > 0 {
		h.session.stats.missingEnds.Inc(missing)
		h.session.log.Warn("ends of runs were forgotten before they were read", "server", h.serverID, "missing", missing, "newest_read", h.newestEnd, "first_listed", first)
	}
}
