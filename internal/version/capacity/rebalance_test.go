package capacity_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/fleettest"
	"laburnumrouter/internal/version/observed"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// threePools returns a fleet with pools a and b of eight instances and a spare pool of four, and a planner with the
// policy of that name.
func threePools(t *testing.T, name capacity.PolicyName) *fleettest.World {
	t.Helper()
	world := fleettest.NewWorld(1)
	world.AddRacks("dc1", 5, 4, "a", "b")
	spare := pool("spare", 4, 0)
	spare.Spare = true
	a, b := pool("a", 8, 3), pool("b", 8, 3)
	a.MaxInstances = 14
	world.ApplySheet(configuration(1, a, b, spare))
	policy, ok := capacity.PolicyOf(name)
	must.True(t, ok)
	forecast := capacity.NewForecast(policy)
	world.Planners = []fleettest.Planner{capacity.PlanMoves, func(in *capacity.Input) *laburnumv1.AssignmentPlan {
		return capacity.Rebalance(in, forecast, policy)
	}}
	setSteadyDemand(world)
	must.True(t, world.Run(time.Minute, func() bool { return len(world.Assigned("a")) == 8 && len(world.Assigned("spare")) == 4 }))
	world.Run(time.Minute, func() bool { return false })
	return world
}

func setSteadyDemand(w *fleettest.World) {
	w.Demand = map[string]observed.Demand{"a": {Running: 20}, "b": {Running: 20}}
}

// setSpikeDemand sets the demand of pool a to five times its steady value and that of pool b to a twentieth.
func setSpikeDemand(w *fleettest.World) { setSpikeDemandTo(w, 100) }

func setSpikeDemandTo(w *fleettest.World, slots int) {
	running := 8 * len(w.Assigned("a"))
	w.Demand = map[string]observed.Demand{"a": {Running: min(slots, running), Waiting: max(0, slots-running)}, "b": {Running: 1}}
}

// countDrains returns the number of decisions to drain.
func countDrains(w *fleettest.World) int {
	n := 0
	for _, d := range w.Machine.Decisions {
		if d.Action == "draining" {
			n++
		}
	}
	return n
}

func TestSpikeTakesSparePoolFirst(t *testing.T) {
	w := threePools(t, capacity.Responsive)
	begin := w.Now
	must.True(t, w.Run(time.Minute, func() bool {
		setSpikeDemandTo(w, 76) // needs twelve instances at a utilisation of 0.8
		return len(w.Assigned("a")) == 12
	}))
	must.LessEq(t, 4*time.Second, w.Now.Sub(begin)) // time for the forecast to rise and for four plans: drain, release, join, serve
	must.Eq(t, 8, len(w.Machine.Roster.Members("b")))
	must.SliceEmpty(t, w.Assigned("spare"))
}

func TestIdlePoolLendsWithinItsBudget(t *testing.T) {
	w := threePools(t, capacity.Responsive)
	must.True(t, w.Run(time.Minute, func() bool {
		setSpikeDemand(w)
		return len(w.Assigned("a")) == 14
	}))
	w.Run(time.Minute, func() bool {
		setSpikeDemand(w)
		must.LessEq(t, 14, len(w.Assigned("a")))     // max_instances
		must.GreaterEq(t, 3+1, len(w.Assigned("b"))) // min_available is kept after the loss of a rack
		return false
	})
}

func TestInstancesReturnAfterDemandEnds(t *testing.T) {
	for _, policyName := range []capacity.PolicyName{capacity.Responsive, capacity.Economical} {
		w := threePools(t, policyName)
		must.True(t, w.Run(2*time.Minute, func() bool {
			setSpikeDemand(w)
			return len(w.Assigned("a")) >= 12
		}))
		setSteadyDemand(w)
		must.True(t, w.Run(10*time.Minute, func() bool {
			return len(w.Assigned("a")) == 8 && len(w.Assigned("b")) == 8 && len(w.Assigned("spare")) == 4
		}))
		settled := countDrains(w)
		w.Run(10*time.Minute, func() bool { return false })
		must.Eq(t, settled, countDrains(w))
	}
}

func TestShortSpikesMoveInstancesOnlyUnderResponsivePolicy(t *testing.T) {
	counts := make(map[capacity.PolicyName]int)
	for _, policyName := range []capacity.PolicyName{capacity.Responsive, capacity.Economical} {
		w := threePools(t, policyName)
		before := countDrains(w)
		for range 10 {
			w.Run(1500*time.Millisecond, func() bool { setSpikeDemand(w); return false })
			setSteadyDemand(w)
			w.Run(8*time.Second, func() bool { return false })
		}
		counts[policyName] = countDrains(w) - before
	}
	must.Eq(t, 0, counts[capacity.Economical])
	must.Positive(t, counts[capacity.Responsive])
	must.LessEq(t, 8, counts[capacity.Responsive]) // instances stay in pool a while the spikes recur
}

func TestFullSlotsWithLittleWaitingWorkMoveNothing(t *testing.T) {
	for _, policyName := range []capacity.PolicyName{capacity.Responsive, capacity.Economical} {
		w := threePools(t, policyName)
		before := countDrains(w)
		w.Demand["a"] = observed.Demand{Running: 62, Waiting: 1}
		w.Run(5*time.Minute, func() bool { return false })
		must.Eq(t, before, countDrains(w))
	}
}

func TestLenderKeepsBudgetAfterLossOfRack(t *testing.T) {
	w := threePools(t, capacity.Responsive)
	w.FailRack("dc1-r00", 0)
	must.False(t, w.Run(2*time.Minute, func() bool {
		setSpikeDemand(w)
		serving := make(map[string]int)
		for _, id := range w.Assigned("b") {
			if i := w.Instances[id]; !i.Down {
				serving[i.View.Rack]++
			}
		}
		total, inLargestRack := 0, 0
		for _, n := range serving {
			total += n
			inLargestRack = max(inLargestRack, n)
		}
		return total-inLargestRack < 3
	}))
}
