package dispatch

import (
	"time"

	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
)

// callRecord describes an answered hold call for the log.
type callRecord struct {
	call holdCall
	took time.Duration
	// answeredAt is when the server had answered a call before; failed counts the unanswered calls between the two.
	answeredAt time.Duration
	failed     int
}

// ago returns, for the log, how long before now something happened at the time at; 0 means never.
func ago(now, at time.Duration) any {
	if at == 0 {
		return "never"
	}
	return now - at
}

// logLapse logs that a lease lapsed on a server that answers, with what tells a cut from a renewal that came late: the last call
// that reached the server, what the call that brought the report asked for, and the deadline that the server last confirmed.
func (h *holdLoop) logLapse(f FinishedTask, server *fleet.Server, lasting bool, now time.Duration) {
	last := h.last
	var sinceDeadline any = "none confirmed"
	if reading, ok := server.Clock.DeadlineAfter(now, 0); ok && server.ConfirmedDeadlineMS > 0 {
		sinceDeadline = time.Duration(reading-server.ConfirmedDeadlineMS) * time.Millisecond
	}
	h.session.log.Warn("lease lapsed on a server that answers", "task", f.Task, "run", f.Run, "server", h.serverID, "lasting", lasting,
		"silent_for", ago(now, last.answeredAt), "failed_calls", last.failed, "refused", ago(now, server.RefusedAt), "granted_ago", ago(now, server.LeaseGrantedAt),
		"since_confirmed_deadline", sinceDeadline, "call_took", last.took, "call_wait_ms", last.call.order.WaitMS, "call_renewed", last.call.grants)
}

// logLapsedLocked logs that the leader takes the lease of a run for lapsed, with the bounds that it rests on. server is nil if it isn't known
// any more.
func (s *session) logLapsedLocked(id ledger.TaskID, t *ledger.Task, server *fleet.Server, now time.Duration) {
	fields := []any{"task", id, "run", t.Run, "server", t.Worker, "inherited_until", ago(now, s.inheritedLeaseEnd())}
	if o := s.orders[runKey{id, t.Run}]; o != nil {
		fields = append(fields, "order", o.state, "since", now-o.since)
	}
	if server != nil {
		fields = append(fields, "born", server.Born, "ordered_from", t.Born, "granted_ago", ago(now, server.LeaseGrantedAt), "earlier_lease_over", ago(now, server.EarlierLeaseUntil),
			"answered_ago", ago(now, server.AnsweredAt), "first_answer_ago", ago(now, server.FencedAt), "failed_calls", server.FailedCalls)
	}
	s.log.Info("run lapsed", fields...)
}
