package core

import "time"

// maxPendingRounds bounds the heartbeat rounds of which the start is kept. The oldest are forgotten first: a quorum that answers so
// late confirms nothing of use.
const maxPendingRounds = 1024

// startedRound is a heartbeat round that no quorum has answered yet.
type startedRound struct {
	round uint64
	at    time.Duration
}

// beginRound begins a heartbeat round. Answers to it show that their senders heard this leader after now.
func (c *Core) beginRound() {
	c.heartbeatRound++
	if len(c.startedRounds) == maxPendingRounds {
		c.startedRounds = c.startedRounds[1:]
	}
	c.startedRounds = append(c.startedRounds, startedRound{c.heartbeatRound, c.time})
}

// confirmRounds notes which rounds a quorum has answered.
func (c *Core) confirmRounds() {
	for len(c.startedRounds) > 0 && c.quorumConfirmed(c.startedRounds[0].round) {
		c.confirmedAt, c.confirmed = c.startedRounds[0].at, true
		c.startedRounds = c.startedRounds[1:]
	}
}

// Confirmed returns when the last heartbeat round began that a quorum has answered to this leader in its term, by SetTime. It
// returns false if there is none.
func (c *Core) Confirmed() (term uint64, at time.Duration, ok bool) {
	return c.term, c.confirmedAt, c.role == Leader && c.confirmed
}

// resetRounds forgets the rounds of an earlier term.
func (c *Core) resetRounds() { c.startedRounds, c.confirmedAt, c.confirmed = nil, 0, false }
