package leader

import "time"

const (
	// maxGap is how long after the loss of a leader another one is still expected soon: an election takes 0.5 to 1 s.
	maxGap = 1500 * time.Millisecond
	// maxWaitingCalls and maxWaitingBytes bound the calls that wait for a leader and the size of their bodies.
	maxWaitingCalls = 1024
	maxWaitingBytes = 16 << 20
	// retryAfterMin and retryAfterSpread give the delay after which a rejected caller is to come back. The spread keeps
	// callers that were rejected together from returning together.
	retryAfterMin    = time.Second
	retryAfterSpread = time.Second
)

// gap decides which calls wait while no leader is known. It does no I/O and reads no clock; all times are on one clock.
// It isn't safe for concurrent use.
type gap struct {
	open    bool
	since   time.Duration
	waiting int
	bytes   int
}

// begin records that the leader is lost.
func (g *gap) begin(now time.Duration) {
	if !g.open {
		g.open, g.since = true, now
	}
}

// end records that a leader is found.
func (g *gap) end() { g.open = false }

// admit reports whether a call may wait for a leader, and until when; the caller must call release afterwards. A call
// waits only for an election, which is short: not after maxGap, not without a majority of the control instances, and at
// most for half of the time that its caller has left.
func (g *gap) admit(now, deadline time.Duration, bytes int, majority bool) (until time.Duration, ok bool) {
	until = min(g.since+maxGap, now+(deadline-now)/2)
	if !g.open || !majority || until <= now || g.waiting >= maxWaitingCalls || g.bytes+bytes > maxWaitingBytes {
		return 0, false
	}
	g.waiting++
	g.bytes += bytes
	return until, true
}

// release ends the wait of an admitted call.
func (g *gap) release(bytes int) {
	g.waiting--
	g.bytes -= bytes
}

// retryAfter returns when a rejected caller is to come back. fraction, in [0, 1), differs between callers.
func retryAfter(fraction float64) time.Duration {
	return retryAfterMin + time.Duration(fraction*float64(retryAfterSpread))
}
