// Package incarnation keeps calls that were sent to earlier incarnations of a backend server from the present one: a call without an answer
// may be carried out seconds later, by whichever incarnation has the server's ID by then. The package reads no clock. Design:
// docs/design/incarnations.md.
package incarnation

import (
	"math"
	"time"
)

// LateCallBound is how long after it was sent a call without an answer may be carried out: "seconds later" (PROTOCOL, Running tasks).
// Only runs whose start got no answer, on a server that stays away, wait for it.
const LateCallBound = 13 * time.Second

// sequenceBits is the width of the sequence number in a token. Terms stay below 2^21, so that a token is exact as a JSON number.
const sequenceBits = 32

// token returns the fencing token of a sequence number within a term.
func token(term, sequence uint64) uint64 { return term<<sequenceBits | sequence }

// Term returns the term of a token. Before ledger.FormatIncarnations the term itself is the token.
func Term(token uint64) uint64 {
	if token < 1<<sequenceBits {
		return token
	}
	return token >> sequenceBits
}

// Guard is what the leader of a term has sent to the incarnations of one server ID. It outlives them, so that no two get the same token.
// The zero value is the guard of an ID to which nothing was sent. It isn't safe for concurrent use.
type Guard struct {
	// sequence is the number in the token of the next call, first that of the first call to the present incarnation.
	sequence, first uint64
	// acknowledged is set if an acknowledgement of ends was sent with that number.
	acknowledged bool
	// grantedMS is the latest deadline in a call to the present incarnation, on its clock. earlierMS is the latest in one to an earlier
	// incarnation, on the clock of that one.
	grantedMS, earlierMS int64
}

// Begin records that another incarnation than the known one was found. It gets a higher token than any call before.
func (g *Guard) Begin() {
	g.raise()
	g.first = g.sequence
	g.earlierMS, g.grantedMS = max(g.earlierMS, g.grantedMS), 0
}

// Inherit records that earlier leaders have called the present incarnation and, if it isn't the first one, earlier ones.
func (g *Guard) Inherit(first bool) {
	g.grantedMS = math.MaxInt64
	if !first {
		g.earlierMS = math.MaxInt64
	}
}

func (g *Guard) raise() {
	g.sequence++
	g.acknowledged = false
}

// Token returns the fencing token, within a term, of a call other than a start.
func (g *Guard) Token(term uint64) uint64 { return token(term, g.sequence) }

// StartToken returns the fencing token of a start. It is higher than that of any acknowledgement before, so that an incarnation that
// carries out both forgets no end of the run for an acknowledgement that was meant for an earlier one.
func (g *Guard) StartToken(term uint64) uint64 {
	if g.acknowledged {
		g.raise()
	}
	return token(term, g.sequence)
}

// Own reports whether a token was given to a call to the present incarnation, and to none before.
func (g *Guard) Own(term, t uint64) bool { return t >= token(term, g.first) }

// Acknowledged records that an acknowledgement of ends is sent with Token.
func (g *Guard) Acknowledged() { g.acknowledged = true }

// Granted records that a call with a deadline is sent.
func (g *Guard) Granted(deadlineMS int64) { g.grantedMS = max(g.grantedMS, deadlineMS) }

// MayRenewLate reports whether calls to earlier incarnations may renew the lease of the present one until it has answered one with a token
// of its own.
func (g *Guard) MayRenewLate() bool { return g.earlierMS > 0 }

// LatestLeaseMS returns the end of the longest lease, on the clock of the present incarnation, that calls to earlier ones may have given it
// before it answered a call with a token of its own; 0 if there is none. clockMS is what its clock showed then, longest the longest lease
// that a server accepts.
func (g *Guard) LatestLeaseMS(clockMS int64, longest time.Duration) int64 {
	return min(g.earlierMS, clockMS+longest.Milliseconds())
}
