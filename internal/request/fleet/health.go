package fleet

import "time"

const (
	// suspectAfter is the number of consecutive failed runs, or of consecutive failed starts, after which a server gets only
	// single trial runs. A single failure is normal: on the users' sites, less than 3% of the runs fail (error_share).
	suspectAfter = 3
	// trialDelay is how long after a failure or the start of a trial run a suspect server gets no trial run. The users'
	// servers fail for 4 to 8 s at a time, so trials this far apart notice a recovery soon.
	trialDelay = 2 * time.Second
	// gangCooldown is how long after its last failure a suspect server may host members of a gang, if the gang can't do without it. It
	// outlasts the time for which the users' servers fail.
	gangCooldown = 8 * time.Second
	// recoveryTime is how long a run must have worked on a suspect server to clear it. The users' sick servers fail a run within
	// 50 ms.
	recoveryTime = time.Second
	// slowThreshold is the mean ratio of actual to expected run time at which a server counts as slow. Healthy servers stay
	// under 1.5 (remote_factor), with an error of 0.2 in the estimates.
	slowThreshold = 2.2
	// slowdownWeight is the weight of the newest run in the exponential moving average of that ratio.
	slowdownWeight = 0.3
)

// Health tracks whether runs on a server fail or are slow. The zero value is a healthy server.
type Health struct {
	consecutiveFailures int // failed runs in a row
	failedAt            time.Duration
	startFailures       int // starts in a row that the server turned away, or repeatedly left unanswered
	startFailedAt       time.Duration
	trialAt             time.Duration // start of the last trial run
	slowdown            float64       // moving average of actual to expected run time; 0 before the first run with an estimate
	slowdownAt          time.Duration
}

// Done records a successful run. took is its run time, expected the estimate of it, or 0 if there is none.
func (h *Health) Done(took, expected, now time.Duration) {
	h.consecutiveFailures, h.startFailures = 0, 0
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

// StartFailed records that the server turned a start away because it takes no work now, or repeatedly left starts unanswered.
func (h *Health) StartFailed(now time.Duration) {
	h.startFailures++
	h.startFailedAt = now
}

// StartAccepted records that the server accepted a start, so it takes work again. Until a run succeeds there, one more failed
// start makes it suspect again.
func (h *Health) StartAccepted() { h.startFailures = min(h.startFailures, suspectAfter-1) }

// Suspect reports whether the last suspectAfter runs or starts on the server failed.
func (h *Health) Suspect() bool {
	return h.consecutiveFailures >= suspectAfter || h.startFailures >= suspectAfter
}

// Working records that a run which began at since works in full at now. If the run began after the last failed run, the
// server's failed runs no longer count.
func (h *Health) Working(since, now time.Duration) {
	if h.consecutiveFailures > 0 && since > h.failedAt && now-since >= recoveryTime {
		h.consecutiveFailures = 0
	}
}

// BeginTrial records that a suspect server gets a trial run.
func (h *Health) BeginTrial(now time.Duration) { h.trialAt = now }

// TrialDue reports whether a suspect server may get a trial run.
func (h *Health) TrialDue(now time.Duration) bool {
	return now-max(h.failedAt, h.startFailedAt, h.trialAt) >= trialDelay
}

// CooledDown reports whether a suspect server may host members of a gang. They start together on several servers or not at all, so that
// a single trial run can't clear the servers of a pool on which nothing but gangs waits. Trials don't delay it.
func (h *Health) CooledDown(now time.Duration) bool {
	return now-max(h.failedAt, h.startFailedAt) >= gangCooldown
}

// Slow reports whether runs on the server take much longer than expected. A server without a completed run for
// slowdownTTL no longer counts as slow.
func (h *Health) Slow(now time.Duration) bool {
	const slowdownTTL = 5 * time.Second
	return h.slowdown >= slowThreshold && now-h.slowdownAt < slowdownTTL
}
