package dispatch

import (
	"context"
	"errors"
	"time"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
)

const (
	// claimRetryDelay is the delay before a server that hasn't answered is asked once more. The first call may have gone out on a
	// connection to the incarnation before.
	claimRetryDelay = 50 * time.Millisecond
	// maxClaimCalls bounds the calls of one check.
	maxClaimCalls = 3
	// departureCheckDelay is how long after its message a server that says that it leaves, and still answers, is asked again. It
	// gets no new work until then.
	departureCheckDelay = 300 * time.Millisecond
)

// incarnationAt is an incarnation of a backend server and where it was reached.
type incarnationAt struct {
	Target
	born int64
}

func incarnationOf(server *fleet.Server) incarnationAt {
	return incarnationAt{Target{ID: server.ID, Address: server.Address}, server.Born}
}

// presence is what an address says about an incarnation.
type presence int

// Presences.
const (
	// presenceUnknown: it gave no answer that tells.
	presenceUnknown presence = iota
	// present: the incarnation answers there.
	present
	// absent: another one does.
	absent
)

// String returns the name of the presence for logs.
func (p presence) String() string { return [...]string{"unknown", "present", "absent"}[p] }

// askPresence asks the address of an incarnation whether it is there. Only the address itself is taken at its word: whoever
// can reach a control instance can send announcements and departures in the name of any server.
func (s *session) askPresence(of incarnationAt) presence {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	for range maxClaimCalls {
		if !s.mayOrder() {
			break
		}
		report, err := s.servers.Hold(ctx, of.Target, HoldOrder{Fence: s.token(of.ID)})
		switch {
		case errors.Is(err, ErrMisdirected):
			return absent
		case err == nil && report.Born == of.born:
			return present
		case err == nil && report.Born != 0:
			return absent
		}
		select {
		case <-ctx.Done():
			return presenceUnknown
		case <-time.After(claimRetryDelay):
		}
	}
	return presenceUnknown
}

// checkAnnouncement returns the refusal of an announcement that must not be recorded, and nil if it may be. One that would end
// another server's work, or an earlier incarnation's, counts only once the announced address has confirmed it; confirmed tells
// whether it did.
func (s *session) checkAnnouncement(a *ledger.Server) (refusal *Reply, confirmed bool) {
	s.engine.mu.Lock()
	contradicted, reason := s.contradictedLocked(a)
	foreign := reason == "" && s.leavesPoolsLocked(a)
	s.engine.mu.Unlock()
	if foreign {
		s.log.Warn("announcement ignored: it names a pool that isn't configured", "server", a.ID, "pool", a.Pool, "born", a.Born, "seq", a.Seq)
		return &Reply{Outcome: Invalid, Reason: "the announcement names a pool that isn't configured"}, false
	}
	if reason == "" {
		return nil, false
	}
	found := s.askPresence(incarnationAt{Target{ID: a.ID, Address: a.Address}, a.Born})
	s.log.Info("announcement checked at its address", "server", a.ID, "address", a.Address, "pool", a.Pool, "born", a.Born, "reason", reason,
		"contradicts", contradicted, "presence", found)
	switch found {
	case present:
		return nil, true
	case absent:
		return &Reply{Outcome: Conflict, Reason: "another backend server answers at the address"}, false
	}
	return &Reply{Outcome: Unavailable, Reason: "the address doesn't confirm the announcement"}, false
}

// contradictedLocked returns the ID of a server that may be at work and would have ended, or moved to another address, if an
// announcement were true, and why; the reason is empty if there is none.
func (s *session) contradictedLocked(a *ledger.Server) (id, reason string) {
	if s.engine.ledger.HasLeft(a.ID, a.Born) {
		return "", "" // it has no effect
	}
	if known := s.fleet.Get(a.ID); known != nil {
		switch {
		case a.Born == known.Born && a.Address == known.Address, a.Born < known.Born && a.Address != known.Address:
			return "", "" // its own, or an old one
		case a.Born < known.Born:
			return a.ID, "it was born before the known incarnation, or its clock was set back"
		case !known.Left && a.Born == known.Born:
			return a.ID, "the incarnation has another address"
		case !known.Left:
			return a.ID, "an earlier incarnation may be at work"
		}
	}
	if a.Address == "" {
		return "", ""
	}
	for id, other := range s.fleet.All() {
		if id != a.ID && other.Address == a.Address && !other.Left {
			return id, "another server has the address"
		}
	}
	return "", ""
}

// leavesPoolsLocked reports whether an announcement moves a known incarnation out of the configured pools. A server stays in the
// pool that it was started for.
func (s *session) leavesPoolsLocked(a *ledger.Server) bool {
	known, index := s.fleet.Get(a.ID), s.engine.ledger.Index()
	if known == nil || index == nil || known.Born != a.Born || known.Pool == a.Pool {
		return false
	}
	return index.Pool(a.Pool) == nil && index.Pool(known.Pool) != nil
}

// misdirectedLocked handles the answer that another incarnation is at the address of a call. The server may have been found at
// another address, or as another incarnation, since the call was sent.
func (s *session) misdirectedLocked(asked incarnationAt) {
	if server := s.fleet.Get(asked.ID); server != nil && incarnationOf(server) == asked {
		s.incarnationGoneLocked(asked.ID, "another incarnation answers at its address")
	}
}

// leave records that a backend server shuts down. Its live runs stay until they end, or until its lease has lapsed or
// another incarnation answers; the log's state then shows it as draining. The message names no incarnation and may be late, or
// come from another writer, so a server that hasn't announced that it drains is asked.
func (s *session) leave(c *Call) (*Reply, error) {
	s.engine.mu.Lock()
	server := s.fleet.Get(c.Server.ID)
	if server == nil {
		s.engine.mu.Unlock()
		return &Reply{Outcome: OK}, nil
	}
	gone, announced := incarnationOf(server), server.Draining || server.Left
	s.engine.mu.Unlock()
	if announced {
		return s.recordDeparture(gone)
	}
	found := s.askPresence(gone)
	s.log.Info("departure checked at the server's address", "server", gone.ID, "address", gone.Address, "born", gone.born, "presence", found)
	switch found {
	case present:
		s.recheckDeparture(gone)
		return &Reply{Outcome: OK, Reason: "the server answers and hasn't announced that it drains"}, nil
	case presenceUnknown:
		return &Reply{Outcome: Unavailable, Reason: "the server hasn't announced that it drains, and doesn't answer"}, nil
	}
	s.engine.mu.Lock()
	s.misdirectedLocked(gone)
	s.engine.mu.Unlock()
	return s.recordDeparture(gone)
}

// recheckDeparture keeps new work from a server that may be about to end, and asks it once more.
func (s *session) recheckDeparture(of incarnationAt) {
	until := boottime.Now() + departureCheckDelay + callTimeout
	s.engine.mu.Lock()
	if server := s.fleet.Get(of.ID); server != nil && incarnationOf(server) == of {
		server.AvoidUntil = max(server.AvoidUntil, until)
	}
	s.engine.mu.Unlock()
	s.spawn(func() {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(departureCheckDelay):
		}
		found := s.askPresence(of)
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		switch server := s.fleet.Get(of.ID); {
		case server == nil || incarnationOf(server) != of || s.ctx.Err() != nil:
		case found == absent:
			s.misdirectedLocked(of)
		case found == presenceUnknown:
			server.Unanswered(boottime.Now(), false)
		}
	})
}

// recordDeparture commits that an incarnation leaves, or that it drains if it has live runs.
func (s *session) recordDeparture(leaving incarnationAt) (*Reply, error) {
	s.engine.mu.Lock()
	server := s.fleet.Get(leaving.ID)
	if server == nil || incarnationOf(server) != leaving {
		s.engine.mu.Unlock()
		return &Reply{Outcome: OK}, nil
	}
	server.Draining = true
	draining, mustCommit := s.uncommittedLocked(server)
	runs := len(s.engine.ledger.LiveOn(server.ID))
	if runs == 0 {
		server.Left = true
	}
	s.engine.mu.Unlock()
	if runs > 0 {
		return s.commitDraining(draining, mustCommit)
	}
	left := []ledger.Incarnation{{ID: leaving.ID, Born: leaving.born}}
	if _, err := s.propose(&ledger.Command{Gone: left, Left: left}); err != nil {
		return nil, err
	}
	s.engine.mu.Lock()
	if now := s.fleet.Get(leaving.ID); now != nil && now.Born == leaving.born {
		s.fleet.Remove(leaving.ID)
	}
	s.engine.mu.Unlock()
	return &Reply{Outcome: OK}, nil
}

// commitDraining answers a server that shuts down while it has live runs.
func (s *session) commitDraining(draining ledger.Server, mustCommit bool) (*Reply, error) {
	if mustCommit {
		if _, err := s.propose(&ledger.Command{Servers: []ledger.Server{draining}}); err != nil {
			return nil, err
		}
	}
	return &Reply{Outcome: OK, Reason: "runs are open"}, nil
}
