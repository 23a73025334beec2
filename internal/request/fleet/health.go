package fleet

import "time"

const (
	// suspectAfter is the number of failed runs in a row, none done between, after which a server gets only
	// single trial runs. One failure is usual (error_share of the sites is under 0.03 a run).
	suspectAfter = 3
	// trialPause is how long a suspect gets nothing after a failure before a trial. The users' sick spells last 4 to 8 s.
	trialPause = 2 * time.Second
	// stretchSuspect is the mean of run time against expectation from which on a server counts as slow. Healthy
	// servers stay under 1.5 (remote_factor) with the estimates' error of 0.2.
	stretchSuspect = 2.2
	// stretchWeight is the weight of the newest run in that mean.
	stretchWeight = 0.3
)

// Health judges a server by its runs. The zero value trusts it.
type Health struct {
	failuresInRow int
	failedAt      time.Duration
	stretch       float64
	stretchAt     time.Duration
}

// Done notes a run that ended done after took, where expected was likely.
func (h *Health) Done(took, expected, now time.Duration) {
	h.failuresInRow = 0
	if expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if h.stretch == 0 {
		h.stretch = 1
	}
	h.stretch += stretchWeight * (ratio - h.stretch)
	h.stretchAt = now
}

// Failed notes a run that ended failed.
func (h *Health) Failed(now time.Duration) {
	h.failuresInRow++
	h.failedAt = now
}

// Suspect reports whether runs fail on the server.
func (h *Health) Suspect() bool { return h.failuresInRow >= suspectAfter }

// TrialDue reports whether a suspect may get a trial run.
func (h *Health) TrialDue(now time.Duration) bool { return now-h.failedAt >= trialPause }

// Slow reports whether runs take much longer than expected on the server. The judgement is forgotten after
// a while without runs.
func (h *Health) Slow(now time.Duration) bool {
	const forget = 5 * time.Second
	return h.stretch >= stretchSuspect && now-h.stretchAt < forget
}
