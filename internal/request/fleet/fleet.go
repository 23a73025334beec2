// Package fleet is what the leader believes of the backend servers: what each last said of itself, how it
// answered, and how its runs went. It reads no clock.
package fleet

import (
	"slices"
	"time"

	"laburnumrouter/internal/request/lease"
	"laburnumrouter/internal/request/ledger"
)

// Server is one backend server.
type Server struct {
	ledger.Server
	Clock lease.Clock
	// GrantedMS is the latest deadline, on its clock, that may have reached it from this leader.
	GrantedMS int64
	// HeldUntil is until when, on our clock, a lease may run that was meant for an earlier incarnation of the same id.
	HeldUntil time.Duration
	// AckedEnd is the number of the newest end that is committed. Contacted is set once it has answered a hold
	// with this leader's fencing token.
	AckedEnd  int64
	Contacted bool
	// HeardAt is when the newest announcement came, ContactAt when a call was last answered; on our clock.
	HeardAt   time.Duration
	ContactAt time.Duration
	// DrainingSince is when it was first heard to leave.
	DrainingSince time.Duration
	// Left is set when it said that it ends now.
	Left bool
	// FailedCalls counts calls without an answer since the last answered one; FailedAt is when the last failed.
	FailedCalls int
	FailedAt    time.Duration
	// AvoidUntil is until when it gets no new work, after it has rejected some.
	AvoidUntil time.Duration
	// Health judges how its runs went.
	Health Health
}

// Rack returns the label of the server's rack: the last of its labels, behind that of its kind; empty if there is none.
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

// Change tells what an announcement meant.
type Change int

// Changes.
const (
	// Stale: an older announcement, or one of an earlier incarnation.
	Stale Change = iota
	// Renewed: nothing new but that it is alive.
	Renewed
	// Appeared: an incarnation that wasn't known.
	Appeared
	// Leaving: it says for the first time that it leaves.
	Leaving
)

// Announce takes in an announcement that was asked for or arrived at now.
func (t *Table) Announce(a ledger.Server, now time.Duration) Change {
	s := t.servers[a.ID]
	if s != nil && (a.Born < s.Born || (a.Born == s.Born && a.Seq <= s.Seq)) {
		return Stale
	}
	if s == nil || a.Born > s.Born {
		s = &Server{Server: a, HeardAt: now}
		s.Clock.Observe(a.ClockMS, now, now)
		t.servers[a.ID] = s
		if a.Draining {
			s.DrainingSince = now
		}
		return Appeared
	}
	wasDraining := s.Draining
	s.Server = a
	// An incarnation that began to leave doesn't come back.
	s.Draining = a.Draining || wasDraining
	s.HeardAt = now
	if !wasDraining && s.Draining {
		s.DrainingSince = now
		return Leaving
	}
	return Renewed
}

// Get returns a server, or nil.
func (t *Table) Get(id string) *Server { return t.servers[id] }

// All returns the servers by ID; the caller doesn't change the map.
func (t *Table) All() map[string]*Server { return t.servers }

// Adopt takes over what the log knows of a server; it was last heard by another leader.
func (t *Table) Adopt(a ledger.Server, now time.Duration) {
	a.Seq = 0 // any announcement that arrives is newer
	s := &Server{Server: a, HeardAt: now}
	if a.Draining {
		s.DrainingSince = now
	}
	t.servers[a.ID] = s
}

// Remove forgets a server.
func (t *Table) Remove(id string) { delete(t.servers, id) }

// Answered notes that a call was answered at now.
func (s *Server) Answered(now time.Duration) {
	s.ContactAt = now
	s.FailedCalls = 0
}

// Unanswered notes that a call got no answer.
func (s *Server) Unanswered(now time.Duration) {
	s.FailedCalls++
	s.FailedAt = now
}

// Reachable reports whether work may be sent: the server was heard within silence, and it answers calls.
func (s *Server) Reachable(now, silence time.Duration) bool {
	if s.Left || s.FailedCalls > 0 || now < s.AvoidUntil {
		return false
	}
	return now-max(s.HeardAt, s.ContactAt) <= silence
}
