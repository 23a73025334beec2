package core

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a lease that outlives its quorum, or that a leader loses while a quorum answers: a round counts from when it began,
// once a quorum has answered it, and in its own term only.
func TestRoundIsConfirmedFromItsBeginning(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	tick := func(at time.Duration) {
		a.core.SetTime(at)
		a.core.Tick()
		n.processReady(a)
	}
	requireConfirmed := func(want time.Duration) {
		t.Helper()
		term, at, ok := a.core.Confirmed()
		must.True(t, ok)
		must.EqOp(t, a.core.term, term)
		must.EqOp(t, want, at)
	}
	tick(100)
	n.deliverAll()
	requireConfirmed(100)
	tick(200)
	late := n.inFlight
	n.inFlight = nil
	tick(300)
	requireConfirmed(100)
	n.inFlight = late
	a.core.SetTime(400)
	n.deliverAll()
	requireConfirmed(200)
	a.core.becomeFollower(a.core.term+1, "")
	_, _, ok := a.core.Confirmed()
	must.False(t, ok)
	a.core.becomeLeader()
	_, _, ok = a.core.Confirmed()
	must.False(t, ok)
}
