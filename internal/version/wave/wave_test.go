package wave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/fleettest"
	"laburnumrouter/internal/version/roster"
	"laburnumrouter/internal/version/wave"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	monthly  = "monthly"
	runLimit = 12 * time.Hour
	running  = laburnumv1.WaveState_WAVE_STATE_RUNNING
	paused   = laburnumv1.WaveState_WAVE_STATE_PAUSED
	done     = laburnumv1.WaveState_WAVE_STATE_DONE
	assigned = laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
)

func config(number uint64, start time.Time) *laburnumv1.Configuration {
	pool := func(name string, instances, minAvailable uint32) *laburnumv1.Pool {
		return &laburnumv1.Pool{Name: name, Service: name, Instances: instances, MinAvailable: minAvailable, MaxRackUnavailable: 2}
	}
	return &laburnumv1.Configuration{
		SheetNumber: number,
		Pools:       []*laburnumv1.Pool{pool("a", 12, 8), pool("b", 12, 8)},
		Maintenance: []*laburnumv1.Maintenance{{
			Name: monthly, StartUnix: start.Unix(), EndUnix: start.Add(24 * time.Hour).Unix(), MaxStep: 6, DrainSeconds: 600,
		}},
	}
}

// newWorld returns a simulated fleet of 24 instances in two data centres, four to a rack, whose pools are full and
// whose maintenance window opens within a minute.
func newWorld(t *testing.T) *fleettest.World {
	t.Helper()
	w := fleettest.NewWorld(2)
	w.AddRacks("dc1", 3, 4, "a", "b")
	w.AddRacks("dc2", 3, 4, "a", "b")
	w.Planners = []fleettest.Planner{capacity.PlanMoves}
	w.UseWaves(wave.DefaultPolicy())
	w.ApplySheet(config(1, w.Now.Add(time.Minute)))
	must.True(t, w.Run(time.Minute, func() bool { return len(w.Assigned("a")) == 12 && len(w.Assigned("b")) == 12 }))
	return w
}

func waveState(w *fleettest.World) laburnumv1.WaveState {
	return w.Machine.State.Waves[monthly].GetState()
}

// outInstances returns the instances that the wave has out of service.
func outInstances(w *fleettest.World) []*laburnumv1.Assignment {
	var list []*laburnumv1.Assignment
	for _, a := range w.Machine.Roster.OutOfService() {
		if a.Wave != "" {
			list = append(list, a)
		}
	}
	return list
}

// violations returns the rule that planned maintenance violates, or the empty string. It uses the actual state of the
// simulated instances, not what the planner knows of them.
func violations(w *fleettest.World) string {
	dataCentres := make(map[string]bool)
	for _, a := range outInstances(w) {
		dataCentres[a.DataCentre] = true
	}
	if len(dataCentres) > 1 {
		return "two data centres have instances out"
	}
	for _, p := range w.Machine.State.Pools {
		serving := 0
		racks := make(map[roster.Domain]int)
		for id, a := range w.Machine.Roster.Members(p.Name) {
			if a.State == assigned && !w.Instances[id].Down {
				serving++
				racks[roster.DomainOf(a)]++
			}
		}
		largestRack := 0
		for _, n := range racks {
			largestRack = max(largestRack, n)
		}
		if serving-largestRack < int(p.MinAvailable) {
			return fmt.Sprintf("pool %s has %d serving instances, %d of them in one rack", p.Name, serving, largestRack)
		}
	}
	return ""
}

func TestWaveMaintainsEveryInstanceOnceWithinBudgets(t *testing.T) {
	w := newWorld(t)
	maxOut := 0
	must.True(t, w.Run(runLimit, func() bool {
		must.Eq(t, "", violations(w))
		must.LessEq(t, 6, len(outInstances(w)))
		maxOut = max(maxOut, len(outInstances(w)))
		return waveState(w) == done
	}))
	for id := range w.Instances {
		must.Eq(t, 1, w.Platform.Reboots[id], must.Sprint(id))
	}
	must.Greater(t, 1, maxOut) // more than one at a time
	must.Eq(t, 24, w.Machine.State.Waves[monthly].Done)
}

func TestWaveWaitsForItsWindow(t *testing.T) {
	w := newWorld(t)
	w.ApplySheet(config(2, w.Now.Add(time.Hour)))
	must.False(t, w.Run(59*time.Minute, func() bool { return len(outInstances(w)) > 0 }))
	must.True(t, w.Run(5*time.Minute, func() bool { return len(outInstances(w)) > 0 }))
}

func TestWaveWaitsForLongRunningWork(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return len(outInstances(w)) > 0 }))
	slow := outInstances(w)[0].Instance
	w.Entries[0].Outstanding[slow] = 1
	must.True(t, w.Run(time.Hour, func() bool { return len(w.Machine.State.Waves[monthly].Overdue) == 1 }))
	must.Eq(t, []string{slow}, w.Machine.State.Waves[monthly].Overdue)
	must.Eq(t, 0, w.Platform.Reboots[slow])
	w.Entries[0].Outstanding[slow] = 0
	must.True(t, w.Run(runLimit, func() bool { return waveState(w) == done }))
	must.Eq(t, 1, w.Platform.Reboots[slow])
}

func TestRackFailurePausesWave(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return len(outInstances(w)) > 0 }))
	rack := "dc2-r00"
	if outInstances(w)[0].DataCentre == "dc2" {
		rack = "dc1-r00"
	}
	w.FailRack(rack, 20*time.Minute)
	must.True(t, w.Run(time.Minute, func() bool { return waveState(w) == paused }))
	must.False(t, w.Machine.State.Waves[monthly].ByOperator)
	// Draining instances return to service and rebooting ones come back. No further instance is taken out while the
	// rack is down.
	must.True(t, w.Run(10*time.Minute, func() bool { return len(outInstances(w)) == 0 }))
	must.False(t, w.Run(5*time.Minute, func() bool { return len(outInstances(w)) > 0 }))
	must.True(t, w.Run(runLimit, func() bool { return waveState(w) == done }))
	for id := range w.Instances {
		must.Eq(t, 1, w.Platform.Reboots[id], must.Sprint(id))
	}
}

func TestSecondFailureAfterMaintenancePausesWave(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return w.Machine.State.Waves[monthly].GetDone() >= 2 }))
	var back []string
	for id := range w.Instances {
		a := w.Machine.State.Assignments[id]
		if a.MaintainedUnix > 0 && a.State == assigned {
			back = append(back, id)
		}
	}
	w.Fail(back[0], time.Minute)
	must.False(t, w.Run(90*time.Second, func() bool { return waveState(w) == paused }))
	w.Fail(back[1], 0)
	must.True(t, w.Run(time.Minute, func() bool { return waveState(w) == paused }))
}

func TestUnrequestedRebootsPauseWave(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return waveState(w) == running && len(outInstances(w)) > 0 }))
	n := 0
	for id, a := range w.Machine.State.Assignments {
		if a.State == assigned && a.MaintainedUnix == 0 && n < 2 {
			w.Fail(id, time.Second) // back under a new incarnation before it counts as lost
			n++
		}
	}
	must.True(t, w.Run(time.Minute, func() bool { return waveState(w) == paused }))
}

func TestOnlyOperatorEndsOperatorPause(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return len(outInstances(w)) > 0 }))
	busy := outInstances(w)[0].Instance
	w.Entries[0].Outstanding[busy] = 1
	w.SetWave(monthly, true)
	must.True(t, w.Run(10*time.Minute, func() bool { return len(outInstances(w)) == 0 }))
	must.Eq(t, 0, w.Platform.Reboots[busy]) // it returned to service while its work went on
	w.Entries[0].Outstanding[busy] = 0
	must.False(t, w.Run(time.Hour, func() bool { return len(outInstances(w)) > 0 || waveState(w) != paused }))
	w.SetWave(monthly, false)
	must.True(t, w.Run(runLimit, func() bool { return waveState(w) == done }))
}

func TestConflictingSheetsDuringWave(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return len(w.Platform.Reboots) > 0 }))
	// One operator's sheet removes the plan. Another's, with the same number, is refused; the plan returns under the
	// next number.
	without := config(2, w.Now)
	without.Maintenance = nil
	must.False(t, w.ApplySheet(without).Conflict)
	must.True(t, w.ApplySheet(config(2, w.Now)).Conflict)
	must.True(t, w.Run(time.Hour, func() bool { return waveState(w) == done && len(outInstances(w)) == 0 }))
	again := config(3, w.Now.Add(-2*time.Hour))
	must.False(t, w.ApplySheet(again).Conflict)
	must.True(t, w.Run(runLimit, func() bool {
		must.Eq(t, "", violations(w))
		return waveState(w) == done && len(w.Platform.Reboots) == len(w.Instances)
	}))
	for id := range w.Instances {
		must.Eq(t, 1, w.Platform.Reboots[id], must.Sprint(id))
	}
}

func TestRebootedInstanceReturnsOnceItStaysUp(t *testing.T) {
	w := newWorld(t)
	must.True(t, w.Run(runLimit, func() bool { return len(w.Platform.Reboots) > 0 }))
	id := outInstances(w)[0].Instance
	up := func() bool { return w.Platform.Reboots[id] == 1 && !w.Instances[id].Down }
	must.True(t, w.Run(runLimit, up))
	must.False(t, w.Run(wave.DefaultPolicy().HealthyFor/2, func() bool { return w.Machine.State.Assignments[id].State == assigned }))
	w.Fail(id, 20*time.Second)
	must.True(t, w.Run(runLimit, up))
	begin := w.Now
	must.True(t, w.Run(runLimit, func() bool { return w.Machine.State.Assignments[id].State == assigned }))
	must.GreaterEq(t, wave.DefaultPolicy().HealthyFor, w.Now.Sub(begin))
}

func TestWaveCompletesDespiteLostPlatformRequests(t *testing.T) {
	w := newWorld(t)
	w.Platform.DropRequest = func(request int) bool { return request%3 != 0 }
	must.True(t, w.Run(runLimit, func() bool { return waveState(w) == done }))
	for id := range w.Instances {
		must.Eq(t, 1, w.Platform.Reboots[id], must.Sprint(id))
	}
}

// TestWaveSurvivesLeaderChange changes the leader after 0, 23, 46 and so on simulated ticks and drops the next plan.
// The wave must still reboot every instance exactly once and violate no budget.
func TestWaveSurvivesLeaderChange(t *testing.T) {
	for stop := 0; stop < 400; stop += 23 {
		w := newWorld(t)
		for range stop {
			w.Step()
		}
		must.NoError(t, w.Failover())
		first := true
		w.DropPlan = func(int) bool { lost := first; first = false; return lost }
		must.True(t, w.Run(runLimit, func() bool {
			must.Eq(t, "", violations(w))
			return waveState(w) == done
		}), must.Sprint(stop))
		for id := range w.Instances {
			must.Eq(t, 1, w.Platform.Reboots[id], must.Sprintf("stop %d, %s", stop, id))
		}
	}
}

func TestFeasible(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	w := fleettest.NewWorld(1)
	w.AddRacks("dc1", 3, 4, "a", "b")
	w.AddRacks("dc2", 3, 4, "a", "b")
	var views []*laburnumv1.InstanceView
	for _, i := range w.Instances {
		views = append(views, i.View)
	}
	cases := []struct {
		name      string
		change    func(*laburnumv1.Configuration)
		instances []*laburnumv1.InstanceView
		cause     wave.Cause
		certain   bool
	}{
		{"fits", func(*laburnumv1.Configuration) {}, views, "", false},
		{"fits without instances", func(*laburnumv1.Configuration) {}, nil, "", false},
		{"budget", func(c *laburnumv1.Configuration) { c.Pools[0].MinAvailable = 11 }, nil, wave.CauseBudget, true},
		{"budget with racks", func(c *laburnumv1.Configuration) { c.Pools[0].MinAvailable = 10 }, views, wave.CauseBudget, true},
		{"window", func(c *laburnumv1.Configuration) { c.Maintenance[0].EndUnix = start.Unix() + 300 }, views, wave.CauseWindow, true},
		{"window at risk", func(c *laburnumv1.Configuration) { c.Maintenance[0].EndUnix = start.Unix() + 3600 }, views, wave.CauseWindow, false},
		{"size", func(c *laburnumv1.Configuration) { c.Pools[0].Instances, c.Pools[0].MinAvailable = 40, 30 }, views, wave.CauseSize, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := config(1, start)
			c.change(cfg)
			problems := wave.FindProblems(cfg, c.instances)
			if c.cause == "" {
				must.SliceEmpty(t, problems)
				return
			}
			must.SliceNotEmpty(t, problems)
			must.Eq(t, c.cause, problems[0].Cause)
			must.Eq(t, c.certain, problems[0].Certain)
		})
	}
}
