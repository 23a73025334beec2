// Package fleet holds the leader's view of the backend servers: the newest announcement of each, whether it answers
// calls, and how its runs ended. It reads no clock.
package fleet

import (
	"slices"
	"time"

	"laburnumrouter/internal/request/lease"
	"laburnumrouter/internal/request/ledger"
)

// Server is the leader's view of one backend server: its newest announcement and what the leader observed itself.
type Server struct {
	ledger.Server
	Clock lease.Clock
	// LeaseDeadlineMS is the latest lease deadline, on the server's clock, that this leader may have granted to it.
	LeaseDeadlineMS int64
	// LeaseGrantedAt is when that deadline was sent, on our clock; 0 if this leader has granted none.
	LeaseGrantedAt time.Duration
	// ConfirmedDeadlineMS is the latest deadline, on the server's clock, that an answered hold call of this leader carried; 0 if
	// none did.
	ConfirmedDeadlineMS int64
	// EarlierLeaseUntil is the time, on our clock, until which a lease that was granted to an earlier incarnation of the
	// same ID may still be valid.
	EarlierLeaseUntil time.Duration
	// CommittedEnd is the number of the newest end of a run on the server that is committed to the log. The next hold call,
	// which renews leases and collects ends, acknowledges it.
	CommittedEnd int64
	// FencedAt is when the server first answered a hold call with a fencing token of its own incarnation and of this leader; 0 if it
	// hasn't yet. From then on it carries out no call of an earlier leader or to an earlier incarnation.
	FencedAt time.Duration
	// awaitsFence is set while new work waits for that answer.
	awaitsFence bool
	// AnnouncementDue is when an incarnation that was found by its answer has announced itself at the latest, if its announcements arrive.
	// It gets no new work before it has or that time has passed, as it may be of another kind. 0 means that its kind is known.
	AnnouncementDue time.Duration
	// AnnouncedAt is when the newest announcement arrived or, without one, when the server was adopted. AnsweredAt is when a
	// call was last answered. Both are on our clock.
	AnnouncedAt time.Duration
	AnsweredAt  time.Duration
	// AppearedAt is when this leader first heard of the incarnation. AliveAt is when a call that it answered was sent.
	AppearedAt, AliveAt time.Duration
	// DrainingSince is when the server first announced that it is draining.
	DrainingSince time.Duration
	// Left is set once the server is known to be stopping or to have stopped.
	Left bool
	// FailedCalls counts the calls without an answer since the last answered one; FailedAt is the time of the newest.
	FailedCalls int
	// FailedSince is the time of the oldest of these calls.
	FailedSince time.Duration
	FailedAt    time.Duration
	// ConnectionFailed is set if the first of these calls failed at once: its connection was refused or broke, so the server
	// has probably just ended. Otherwise the call took up its time, and the server may have been cut off first.
	ConnectionFailed bool
	// RefusedAt is when the server last refused a hold call because it is unhealthy; 0 if it never did.
	RefusedAt time.Duration
	// AvoidUntil is the time until which the server gets no new work because it rejected a start or left repeated ones unanswered.
	AvoidUntil time.Duration
	// unansweredStarts counts the failures to answer starts since the last accepted one; startUnansweredAt is the time of the
	// newest. Starts that go unanswered together are one failure.
	unansweredStarts  int
	startUnansweredAt time.Duration
	// coldStarts is how many starts a cold server could get at coldStartsAt; 0 is before the first.
	coldStarts   float64
	coldStartsAt time.Duration
	// Health tells whether runs on the server fail or are slow.
	Health Health
}

// Rack returns the label of the server's rack. It is the last label, after the label of the server's kind; a server with
// fewer than two labels has no rack, and the result is empty.
func (s *Server) Rack() string {
	if len(s.Labels) < 2 {
		return ""
	}
	return s.Labels[len(s.Labels)-1]
}

// Has reports whether the server has a label.
func (s *Server) Has(label string) bool { return slices.Contains(s.Labels, label) }

// Table holds the servers by ID. It is not safe for concurrent use.
type Table struct {
	servers map[string]*Server
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{servers: make(map[string]*Server)} }

// Change is the effect of an announcement on the table.
type Change int

// Changes.
const (
	// Stale: the announcement is older than the one held or comes from an earlier incarnation; it is ignored.
	Stale Change = iota
	// Renewed: a newer announcement of a known incarnation.
	Renewed
	// Appeared: the first announcement of an incarnation.
	Appeared
	// Leaving: the first announcement in which a known incarnation says that it is draining.
	Leaving
)

// maxTransitTime is longer than any announcement is in transit (12 s).
const maxTransitTime = 13 * time.Second

// Announce records an announcement that arrived at now and returns its effect. Sequence numbers tell late announcements from new
// ones. If none that is newer has come for maxTransitTime, one with a lower number isn't late, and the held number was wrong.
func (t *Table) Announce(a ledger.Server, now time.Duration) Change {
	s := t.servers[a.ID]
	if s != nil && (a.Born < s.Born || (a.Born == s.Born && a.Seq <= s.Seq && now-s.AnnouncedAt < maxTransitTime)) {
		return Stale
	}
	if s == nil || a.Born > s.Born {
		s = &Server{Server: a, AnnouncedAt: now, AppearedAt: now}
		s.Clock.ObserveAnnounced(a.ClockMS, now)
		t.servers[a.ID] = s
		if a.Draining {
			s.DrainingSince = now
		}
		return Appeared
	}
	wasDraining := s.Draining
	s.Server, s.AnnouncementDue = a, 0
	// Draining is permanent: an incarnation that began to leave doesn't take work again.
	s.Draining = a.Draining || wasDraining
	s.AnnouncedAt = now
	if !wasDraining && s.Draining {
		s.DrainingSince = now
		return Leaving
	}
	return Renewed
}

// Get returns a server, or nil.
func (t *Table) Get(id string) *Server { return t.servers[id] }

// All returns the servers by ID; the caller must not change the map.
func (t *Table) All() map[string]*Server { return t.servers }

// Adopt adds a server that has not announced itself to this leader: one from the log, or a new incarnation that
// answered a hold call. It replaces any entry of the same ID.
func (t *Table) Adopt(a ledger.Server, now time.Duration) {
	a.Seq = 0         // so that any announcement is newer
	a.ColdLeftMS = -1 // what was announced has changed since
	s := &Server{Server: a, AnnouncedAt: now, AppearedAt: now}
	if a.Draining {
		s.DrainingSince = now
	}
	t.servers[a.ID] = s
}

// Remove deletes a server from the table.
func (t *Table) Remove(id string) { delete(t.servers, id) }

// AwaitFence withholds new work from the server until Fenced is called.
func (s *Server) AwaitFence() { s.FencedAt, s.awaitsFence = 0, true }

// Fenced records that the server refuses calls of earlier leaders and to earlier incarnations from now on.
func (s *Server) Fenced(now time.Duration) { s.FencedAt, s.awaitsFence = now, false }

// Answered records that a call was answered at now.
func (s *Server) Answered(now time.Duration) {
	s.AnsweredAt = now
	s.FailedCalls, s.ConnectionFailed = 0, false
}

// Unanswered records that a call got no answer. atOnce is set if it failed before its time limit.
func (s *Server) Unanswered(now time.Duration, atOnce bool) {
	if s.FailedCalls == 0 {
		s.ConnectionFailed, s.FailedSince = atOnce, now
	}
	s.FailedCalls++
	s.FailedAt = now
}

// Responsive reports whether the server has neither refused a hold call nor left a call unanswered since it last answered one.
func (s *Server) Responsive() bool { return s.FailedCalls == 0 && s.RefusedAt <= s.AnsweredAt }

// StartUnanswered records at now that a start got no answer, and reports whether this is a repeated failure. One that comes
// within the time limit of a call after an earlier one belongs to the same failure.
func (s *Server) StartUnanswered(now, callLimit time.Duration) (repeated bool) {
	if s.unansweredStarts > 0 && now-s.startUnansweredAt < callLimit {
		return false
	}
	s.unansweredStarts++
	s.startUnansweredAt = now
	return s.unansweredStarts > 1
}

// StartAnswered records that a start was accepted.
func (s *Server) StartAnswered() { s.unansweredStarts = 0 }

// Usable reports whether work may be sent to the server: its last announcement or answer is at most maxSilence
// old, its last call didn't fail, it hasn't left, it is fenced, its kind is known, and it isn't being avoided after a start that it
// rejected or repeatedly left unanswered.
func (s *Server) Usable(now, maxSilence time.Duration) bool {
	if s.Left || s.awaitsFence || s.FailedCalls > 0 || now < max(s.AvoidUntil, s.AnnouncementDue) {
		return false
	}
	return now-max(s.AnnouncedAt, s.AnsweredAt) <= maxSilence
}
