package electorate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a lost leader that keeps its vote for the time of the election once more: its successor began to count at zero, so that
// long elections put off the replacement until two more losses left no quorum.
func TestSilenceOfLostLeaderCountsFromItsLoss(t *testing.T) {
	const leaderless = 2 * time.Second
	members := []string{"a", "b", "c"}
	var c Contacts
	at := func(now time.Duration, active ...string) {
		c.Update(100*time.Second+now, 7, leaderless, members, active)
	}
	silent := func(name string) time.Duration {
		s, _ := c.Silent(name)
		return s
	}
	at(0)
	must.Zero(t, silent("c"))
	at(extraSilentAfter-1, "b")
	must.Eq(t, extraSilentAfter-1, silent("c"), must.Sprint("it may answer yet"))
	at(extraSilentAfter, "b")
	must.Eq(t, extraSilentAfter+leaderless, silent("c"))
	must.Zero(t, silent("b"))

	members = append(members, "d") // joins; it wasn't there before the election
	at(2 * time.Second)
	at(4 * time.Second)
	must.Eq(t, 2*time.Second, silent("d"))
	at(4*time.Second, "c")
	at(5 * time.Second)
	must.Eq(t, time.Second, silent("c"), must.Sprint("it has answered since"))
	_, heard := c.Silent("c")
	must.True(t, heard)

	c.Update(200*time.Second, 8, 0, members, nil)
	must.Zero(t, silent("c"))
}
