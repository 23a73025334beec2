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
