package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A server that failed several runs is asked again from time to time, and is cleared by a run that ends well or, as lasting
// runs never end, by one that works for a while.
func TestSuspectServerIsClearedByWorkingRun(t *testing.T) {
	const failed = 10 * time.Second
	var h Health
	for range suspectAfter {
		h.Failed(failed)
	}
	must.True(t, h.Suspect())
	must.False(t, h.TrialDue(failed+trialDelay-1))
	must.True(t, h.TrialDue(failed+trialDelay))
	h.BeginTrial(failed + trialDelay)
	must.False(t, h.TrialDue(failed+2*trialDelay-1))
	must.True(t, h.TrialDue(failed+2*trialDelay))

	h.Working(failed-time.Second, failed+time.Minute)
	must.True(t, h.Suspect(), must.Sprint("a run from before the failures shows nothing"))
	began := failed + trialDelay
	h.Working(began, began+recoveryTime-1)
	must.True(t, h.Suspect())
	h.Working(began, began+recoveryTime)
	must.False(t, h.Suspect())
}

// Starts that go unanswered together are one failure, and an accepted start ends a row of failures.
func TestOnlyRepeatedUnansweredStartsCount(t *testing.T) {
	const limit = 400 * time.Millisecond
	var s Server
	at := func(ms int) bool { return s.StartUnanswered(time.Duration(ms)*time.Millisecond, limit) }
	must.False(t, at(1000))
	must.False(t, at(1001))
	must.True(t, at(1600))
	must.False(t, at(1601))
	must.True(t, at(2200))
	s.StartAnswered()
	must.False(t, at(2800))
}

// Guards against a backlog that waits for the end of single trial runs: a server that turned starts away, or left them
// unanswered, takes work again once it has accepted one. Until a run succeeds, one more failure makes it suspect again.
func TestAcceptedStartClearsFailedStarts(t *testing.T) {
	var h Health
	for range suspectAfter {
		h.StartFailed(time.Second)
	}
	must.True(t, h.Suspect())
	must.False(t, h.TrialDue(time.Second+trialDelay-1))
	h.Working(2*time.Second, time.Minute)
	must.True(t, h.Suspect(), must.Sprint("a run shows nothing about the answers to starts"))
	h.StartAccepted()
	must.False(t, h.Suspect())
	h.StartFailed(4 * time.Second)
	must.True(t, h.Suspect())
	h.Done(0, 0, 5*time.Second)
	h.StartFailed(6 * time.Second)
	must.False(t, h.Suspect())
}

// An accepted start shows nothing about a server on which runs fail.
func TestAcceptedStartKeepsFailedRuns(t *testing.T) {
	var h Health
	for range suspectAfter {
		h.Failed(time.Second)
	}
	h.StartAccepted()
	must.True(t, h.Suspect())
}
