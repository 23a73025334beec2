// Package lease estimates a backend server's clock from the readings in its responses, and tells when a lease whose
// deadline is given on that clock has certainly lapsed. The package itself reads no clock: callers pass the time in.
package lease

import "time"

// minClockRate is the lowest rate of a backend server's clock relative to ours. The server's clock may be 2% slow
// (PROTOCOL, Running tasks); another 0.1% allows for the error of our own clock.
const minClockRate = 0.979

// Clock holds a reading of a backend server's monotonic clock, from which it derives a lower bound for what that clock
// shows later. The zero value has no reading.
type Clock struct {
	known bool
	// lastReadingMS is what the server's clock showed at some moment between sentAt, when the call was sent, and
	// receivedAt, when its response arrived. Both are on our clock.
	lastReadingMS      int64
	sentAt, receivedAt time.Duration
}

// Observe records a reading of the server's clock in milliseconds, taken at some moment between sentAt and receivedAt.
// A reading that gives a lower bound below the present one, because it was delayed on its way, is ignored.
func (c *Clock) Observe(readingMS int64, sentAt, receivedAt time.Duration) {
	if c.known && c.lowerBoundMS(receivedAt) > readingMS {
		return
	}
	*c = Clock{known: true, lastReadingMS: readingMS, sentAt: sentAt, receivedAt: receivedAt}
}

// Known reports whether there is a reading of the clock.
func (c *Clock) Known() bool { return c.known }

// lowerBoundMS returns the least value that the server's clock can show at now.
func (c *Clock) lowerBoundMS(now time.Duration) int64 {
	return c.lastReadingMS + int64(float64((now-c.receivedAt).Milliseconds())*minClockRate)
}

// DeadlineAfter returns the deadline, on the server's clock, of a lease of duration d from now. It is computed from a lower
// bound of that clock, so the lease may lapse earlier. ok is false if there is no reading of the clock.
func (c *Clock) DeadlineAfter(now, d time.Duration) (deadlineMS int64, ok bool) {
	if !c.known {
		return 0, false
	}
	return c.lowerBoundMS(now) + d.Milliseconds(), true
}

// Lapsed reports whether a deadline on the server's clock has certainly passed.
func (c *Clock) Lapsed(deadlineMS int64, now time.Duration) bool {
	return c.known && c.lowerBoundMS(now) > deadlineMS
}

// MaxLapseTime returns how long after its grant a lease of duration d may still be valid, on our clock. It
// serves callers that have no reading of the server's clock.
func MaxLapseTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}
