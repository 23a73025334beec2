package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/fleettest"
	"laburnumrouter/internal/version/observed"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	assigned    = laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
	draining    = laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING
	released    = laburnumv1.AssignmentState_ASSIGNMENT_STATE_RELEASED
	testTimeout = 2 * time.Minute
)

func pool(name string, instances, minAvailable uint32) *laburnumv1.Pool {
	return &laburnumv1.Pool{Name: name, Service: name, Instances: instances, MinAvailable: minAvailable}
}

func configuration(number uint64, pools ...*laburnumv1.Pool) *laburnumv1.Configuration {
	return &laburnumv1.Configuration{SheetNumber: number, Pools: pools}
}

// twoPools returns a fleet of four instances in four racks, all in pool a, with an empty pool b.
func twoPools(t *testing.T) *fleettest.World {
	t.Helper()
	w := fleettest.NewWorld(2)
	w.AddRacks("dc1", 4, 1, "a", "b")
	w.Planners = []fleettest.Planner{capacity.PlanMoves}
	w.ApplySheet(configuration(1, pool("a", 4, 1), pool("b", 0, 0)))
	must.True(t, w.Run(testTimeout, func() bool { return len(w.Assigned("a")) == 4 }))
	return w
}

// startMove drains an instance of pool a towards pool b.
func startMove(t *testing.T, w *fleettest.World, id string) {
	t.Helper()
	to := &laburnumv1.Assignment{Instance: id, Pool: "a", State: draining, NextPool: "b"}
	step := &laburnumv1.AssignmentStep{ExpectedEpoch: w.Machine.State.Assignments[id].Epoch, To: to}
	must.Eq(t, 1, w.ApplyPlan(&laburnumv1.AssignmentPlan{Steps: []*laburnumv1.AssignmentStep{step}}).Applied)
}

func stateOf(w *fleettest.World, id string) laburnumv1.AssignmentState {
	return w.Machine.State.Assignments[id].GetState()
}

const movingID = "dc1-r00-i00"

func TestNewInstancesSpreadOverRacks(t *testing.T) {
	w := fleettest.NewWorld(1)
	w.AddRacks("dc1", 4, 4, "a", "b")
	w.Planners = []fleettest.Planner{capacity.PlanMoves}
	spare := pool("spare", 4, 0)
	spare.Spare = true
	w.ApplySheet(configuration(1, pool("a", 8, 2), pool("b", 4, 2), spare))
	must.True(t, w.Run(testTimeout, func() bool { return w.Machine.Roster.Len() == 16 }))
	for domain, members := range w.Machine.Roster.Domains() {
		counts := make(map[string]int)
		for _, a := range members {
			counts[a.Pool]++
		}
		must.Eq(t, map[string]int{"a": 2, "b": 1, "spare": 1}, counts, must.Sprint(domain))
	}
}

func TestMoveWaitsForEntriesAndWork(t *testing.T) {
	w := twoPools(t)
	startMove(t, w, movingID)
	// A request has been dispatched, but the instance has not received it yet.
	w.Entries[1].Outstanding[movingID] = 1
	must.False(t, w.Run(30*time.Second, func() bool { return stateOf(w, movingID) != draining }))

	// The entry has no more requests, but the instance still runs one from an entry that has failed.
	w.Entries[1].Outstanding[movingID] = 0
	w.Instances[movingID].View.Running = []string{"r1"}
	must.False(t, w.Run(30*time.Second, func() bool { return stateOf(w, movingID) != draining }))

	// The list of running work is empty, but not marked as complete.
	w.Instances[movingID].View.Running = nil
	w.Instances[movingID].View.RunningComplete = false
	must.False(t, w.Run(30*time.Second, func() bool { return stateOf(w, movingID) != draining }))

	w.Instances[movingID].View.RunningComplete = true
	must.True(t, w.Run(testTimeout, func() bool { return w.Machine.State.Assignments[movingID].Pool == "b" }))
	must.Eq(t, assigned, stateOf(w, movingID))
}

func TestMoveWaitsUntilViewsOfSilentEntryLapse(t *testing.T) {
	w := twoPools(t)
	w.Entries[1].CutOff = true
	must.False(t, w.Run(10*time.Second, func() bool { return false }))
	startMove(t, w, movingID)
	begin := w.Now
	must.True(t, w.Run(testTimeout, func() bool { return stateOf(w, movingID) == released }))
	must.GreaterEq(t, observed.ViewExpiry, w.Now.Sub(begin))
}

func TestMoveOfInstanceThatNeverLearnsItsEpochWaitsForSilentEntry(t *testing.T) {
	w := twoPools(t)
	w.Entries[1].CutOff = true
	w.Run(10*time.Second, func() bool { return false })
	startMove(t, w, movingID)
	keepEpochStale := func() bool {
		w.Instances[movingID].View.Epoch = 1
		return stateOf(w, movingID) != draining
	}
	must.False(t, w.Run(time.Minute, keepEpochStale))
}

func TestLostInstanceIsNotReleasedButForgotten(t *testing.T) {
	w := twoPools(t)
	startMove(t, w, movingID)
	w.Entries[0].Outstanding[movingID] = 1
	w.Step()
	w.Fail(movingID, 0)
	w.Entries[0].Outstanding[movingID] = 0
	must.False(t, w.Run(time.Minute, func() bool { return stateOf(w, movingID) != draining }))
	must.True(t, w.Run(2*capacity.ForgetAfter, func() bool { return w.Machine.State.Assignments[movingID] == nil }))
	d := w.Machine.Decisions[len(w.Machine.Decisions)-1]
	must.Eq(t, "instance/"+movingID, d.Subject)
	must.Eq(t, "forgotten", d.Action)
}

func TestReturningInstanceWithOldWorkWaits(t *testing.T) {
	w := twoPools(t)
	w.Fail(movingID, 0)
	must.True(t, w.Run(2*capacity.ForgetAfter, func() bool { return w.Machine.State.Assignments[movingID] == nil }))
	w.Instances[movingID].Down = false
	w.Instances[movingID].View.Running = []string{"old"}
	must.False(t, w.Run(time.Minute, func() bool { return w.Machine.State.Assignments[movingID] != nil }))
	w.Instances[movingID].View.Running = nil
	must.True(t, w.Run(testTimeout, func() bool { return stateOf(w, movingID) == assigned }))
}

func TestContestedInstanceIsNotReleased(t *testing.T) {
	w := twoPools(t)
	startMove(t, w, movingID)
	w.Instances[movingID].View.Contested = true
	must.False(t, w.Run(time.Minute, func() bool { return stateOf(w, movingID) != draining }))
	w.Instances[movingID].View.Contested = false
	must.True(t, w.Run(testTimeout, func() bool { return w.Machine.State.Assignments[movingID].Pool == "b" }))
}

func TestRemovedPoolDrainsBeforeItsInstancesMove(t *testing.T) {
	w := twoPools(t)
	w.Instances[movingID].View.Running = []string{"r1"}
	w.Entries[0].Outstanding[movingID] = 1
	w.Step()
	w.ApplySheet(configuration(2, pool("b", 4, 1)))
	must.True(t, w.Run(testTimeout, func() bool { return len(w.Assigned("b")) == 3 }))
	must.Eq(t, draining, stateOf(w, movingID))
	w.Entries[0].Outstanding[movingID] = 0
	w.Instances[movingID].View.Running = nil
	must.True(t, w.Run(testTimeout, func() bool { return len(w.Assigned("b")) == 4 }))
}

func TestSheetWithoutTargetPoolCancelsMove(t *testing.T) {
	w := twoPools(t)
	startMove(t, w, movingID)
	w.Entries[0].Outstanding[movingID] = 1
	w.ApplySheet(configuration(2, pool("a", 4, 1)))
	must.True(t, w.Run(testTimeout, func() bool { return stateOf(w, movingID) == assigned }))
	must.Eq(t, "a", w.Machine.State.Assignments[movingID].Pool)
}

// TestMoveSurvivesLeaderChangeAtEveryStep changes the leader after 0 to 5 ticks of a move and drops the first plan of
// the new leader, which has observed nothing yet.
func TestMoveSurvivesLeaderChangeAtEveryStep(t *testing.T) {
	for stop := range 6 {
		t.Run(fmt.Sprint(stop), func(t *testing.T) {
			w := twoPools(t)
			startMove(t, w, movingID)
			for range stop {
				w.Step()
			}
			must.NoError(t, w.Failover())
			first := true
			w.DropPlan = func(int) bool { lost := first; first = false; return lost }
			owners := make(map[uint64]string)
			must.True(t, w.Run(testTimeout, func() bool {
				a := w.Machine.State.Assignments[movingID]
				owners[a.Epoch] = a.Pool
				return a.Pool == "b" && a.State == assigned
			}))
		})
	}
}
