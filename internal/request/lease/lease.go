// Package lease estimates a backend server's clock from the readings in its responses, and tells when a lease whose
// deadline is given on that clock has certainly lapsed. The package itself reads no clock: callers pass the time in.
package lease

import "time"

// minClockRate is the lowest rate of a backend server's clock relative to ours. The server's clock may be 2% slow
// (PROTOCOL, Running tasks); another 0.1% allows for the error of our own clock.
const minClockRate = 0.979

// clockSlackMS widens the bounds of a clock for the rounding of readings.
const clockSlackMS = 20

// Clock holds a reading of a backend server's monotonic clock, from which it derives a lower bound for what that clock
// shows later. The zero value has no reading.
type Clock struct {
	known bool
	// lastReadingMS is what the server's clock showed at some moment between sentAt, when the call was sent, and
	// receivedAt, when its response arrived. Both are on our clock.
	lastReadingMS      int64
	sentAt, receivedAt time.Duration
	// answered is set if the reading came with the answer to a call. An announcement may have been in transit for long.
	answered bool
}

// Observe records a reading that came with the answer to a call, in milliseconds, taken at some moment between sentAt and receivedAt.
// A reading that gives a lower bound below the present one, because it was delayed on its way, is ignored. One that the clock can't
// have shown after the call was sent, if the present reading is right, replaces it.
func (c *Clock) Observe(readingMS int64, sentAt, receivedAt time.Duration) {
	if c.known && c.lowerBoundMS(receivedAt) > readingMS && c.leastAtMS(sentAt) <= readingMS {
		return
	}
	*c = Clock{known: true, lastReadingMS: readingMS, sentAt: sentAt, receivedAt: receivedAt, answered: true}
}

// ObserveAnnounced records the reading of an announcement that arrived at now. It is ignored if it was delayed, and if the clock can't
// show it yet by the reading of an answer: others may send announcements in the name of a server.
func (c *Clock) ObserveAnnounced(readingMS int64, now time.Duration) {
	if c.known && (c.lowerBoundMS(now) > readingMS || c.answered && c.upperBoundMS(now) < readingMS) {
		return
	}
	*c = Clock{known: true, lastReadingMS: readingMS, sentAt: now, receivedAt: now}
}

// leastAtMS returns the least value that the server's clock can have shown at a moment that may precede the reading.
func (c *Clock) leastAtMS(at time.Duration) int64 {
	if at >= c.receivedAt {
		return c.lowerBoundMS(at)
	}
	return c.lastReadingMS - int64(float64((c.receivedAt-at).Milliseconds())/minClockRate) - clockSlackMS
}

// upperBoundMS returns the greatest value that the server's clock can show at now by the reading of an answer.
func (c *Clock) upperBoundMS(now time.Duration) int64 {
	return c.lastReadingMS + int64(float64((now-c.sentAt).Milliseconds())/minClockRate) + clockSlackMS
}

// Matches reports whether a reading, taken at some moment between sentAt and receivedAt, can be of this clock by the reading of an
// answer. A clock that starts anew may begin at any value.
func (c *Clock) Matches(readingMS int64, sentAt, receivedAt time.Duration) bool {
	return c.answered && c.leastAtMS(sentAt) <= readingMS && readingMS <= c.upperBoundMS(receivedAt)
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
