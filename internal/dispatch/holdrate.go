package dispatch

import "time"

const (
	// fullHoldRate is the number of hold calls a second up to which a server is called again after minHoldInterval. Beyond it
	// the interval grows with the rate, up to maxHoldInterval, so that a report carries several ends. On a heavy day with the
	// interval always at 60 ms the score rose (docs/hard-load.md, section 1).
	fullHoldRate    = 1000
	maxHoldInterval = 60 * time.Millisecond
	holdRateWindow  = time.Second
)

// holdRate measures the number of hold calls a second.
type holdRate struct {
	since     time.Duration
	calls     int
	perSecond float64
}

// add counts a call.
func (r *holdRate) add(now time.Duration) {
	r.calls++
	if passed := now - r.since; passed >= holdRateWindow {
		r.perSecond = float64(r.calls) / passed.Seconds()
		r.since, r.calls = now, 0
	}
}

// interval returns the minimum time between hold calls to one server.
func (r *holdRate) interval() time.Duration {
	grown := time.Duration(float64(minHoldInterval) * r.perSecond / fullHoldRate)
	return min(max(minHoldInterval, grown), maxHoldInterval)
}

// holdPause returns the time until the next hold call to a server that has just answered one.
func (s *session) holdPause() time.Duration {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.holdRate.interval()
}
