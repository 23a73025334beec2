// Package lease bounds what a backend server's own clock shows, from its answers, and tells when a lease that
// was granted on that clock has certainly lapsed. It reads no clock.
package lease

import "time"

// slowest is the least rate of a backend server's clock against ours: it may be 2% slow (PROTOCOL, Running
// tasks), and a thousandth is added for ours.
const slowest = 0.979

// Clock bounds a backend server's steady clock. The zero value knows nothing.
type Clock struct {
	known bool
	// shown is what the server's clock showed at some moment between asked and heard, both on our clock.
	shown        int64
	asked, heard time.Duration
}

// Observe takes in a reading of the server's clock in milliseconds. The clock showed it at some time between
// asked and heard. A reading that tells less than the one held is left out.
func (c *Clock) Observe(shownMS int64, asked, heard time.Duration) {
	if c.known && c.atLeast(heard) > shownMS {
		return
	}
	*c = Clock{known: true, shown: shownMS, asked: asked, heard: heard}
}

// Known reports whether the clock was read.
func (c *Clock) Known() bool { return c.known }

// atLeast returns what the server's clock shows at least at now.
func (c *Clock) atLeast(now time.Duration) int64 {
	return c.shown + int64(float64((now-c.heard).Milliseconds())*slowest)
}

// Grant returns the deadline on the server's clock of a lease that lasts about d from now; ok is false
// while the clock is unknown.
func (c *Clock) Grant(now, d time.Duration) (deadlineMS int64, ok bool) {
	if !c.known {
		return 0, false
	}
	return c.atLeast(now) + d.Milliseconds(), true
}

// Lapsed reports whether a deadline on the server's clock has certainly passed.
func (c *Clock) Lapsed(deadlineMS int64, now time.Duration) bool {
	return c.known && c.atLeast(now) > deadlineMS
}

// LapseWithin returns how long after its grant a lease of d has certainly lapsed, for who knows no reading
// of the server's clock.
func LapseWithin(d time.Duration) time.Duration {
	return time.Duration(float64(d) / slowest)
}
