package fleet

import "time"

const (
	// suspectAfter is the number of consecutive failed runs after which a server gets only single trial runs. A single
	// failure is normal: the sites' error_share is under 0.03 per run.
	suspectAfter = 3
	// trialDelay is the time after a failure in which a suspect server gets no trial run. Failure periods of the users'
	// servers last 4 to 8 s.
	trialDelay = 2 * time.Second
	// slowThreshold is the mean ratio of actual to expected run time from which on a server counts as slow. Healthy
	// servers stay under 1.5 (remote_factor), with an error of 0.2 in the estimates.
	slowThreshold = 2.2
	// slowdownWeight is the weight of the newest run in the exponential moving average of that ratio.
	slowdownWeight = 0.3
)

// Health tracks whether runs on a server fail or are slow. The zero value is a healthy server.
type Health struct {
	consecutiveFailures int
	failedAt            time.Duration
	slowdown            float64
	slowdownAt          time.Duration
}

// Done records a run that succeeded after took; expected is its estimated run time, 0 if there is none.
func (h *Health) Done(took, expected, now time.Duration) {
	h.consecutiveFailures = 0
	if expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if h.slowdown == 0 {
		h.slowdown = 1
	}
	h.slowdown += slowdownWeight * (ratio - h.slowdown)
	h.slowdownAt = now
}

// Failed records a failed run.
func (h *Health) Failed(now time.Duration) {
	h.consecutiveFailures++
	h.failedAt = now
}

// Suspect reports whether the last suspectAfter runs on the server failed.
func (h *Health) Suspect() bool { return h.consecutiveFailures >= suspectAfter }

// TrialDue reports whether a suspect server may get a trial run.
func (h *Health) TrialDue(now time.Duration) bool { return now-h.failedAt >= trialDelay }

// Slow reports whether runs on the server take much longer than expected. A server without a completed run for
// slowdownTTL no longer counts as slow.
func (h *Health) Slow(now time.Duration) bool {
	const slowdownTTL = 5 * time.Second
	return h.slowdown >= slowThreshold && now-h.slowdownAt < slowdownTTL
}
