package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

const startMS = 1_000_000

// fixture holds a ledger and a fleet to plan for.
type fixture struct {
	t      *testing.T
	ledger *ledger.Ledger
	fleet  *fleet.Table
	now    time.Duration
	due    map[string]bool
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, ledger: ledger.New(), fleet: fleet.NewTable(), now: time.Hour}
	f.ledger.Apply(&ledger.Command{NowMS: startMS, Config: &accepted.Config{
		Version: 1,
		Queues: []accepted.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1, ObjectiveMS: 600, SlackFactor: 1.6, MaxAttempts: 2, Open: true},
		},
		Pools: []accepted.Pool{{Name: "p"}, {Name: "other"}},
	}})
	return f
}

func (f *fixture) server(id, pool string, change func(*ledger.Server)) *fleet.Server {
	s := ledger.Server{
		ID: id, Pool: pool, Address: id, Capacity: ledger.Resources{CPU: 4000, MemMB: 4000}, Labels: []string{"kind", "rack-" + id},
		Born: 1, Seq: 1, ClockMS: 1,
	}
	if change != nil {
		change(&s)
	}
	f.fleet.Announce(s, f.now)
	return f.fleet.Get(id)
}

func (f *fixture) submit(id string, steps ...ledger.Step) {
	f.t.Helper()
	r := f.ledger.Apply(&ledger.Command{NowMS: startMS, Submit: &ledger.Submission{ID: id, Queue: "q", Spec: "s", Steps: steps}})
	must.EqOp(f.t, ledger.Accepted, r.Submit)
}

func (f *fixture) plan(wallMS int64) []ledger.Start {
	return Plan(&Input{Now: f.now, WallMS: wallMS, Ledger: f.ledger, Fleet: f.fleet, Due: f.due})
}

// startsByServer returns the number of a plan's starts on each server.
func startsByServer(starts []ledger.Start) map[string]int {
	count := make(map[string]int)
	for _, s := range starts {
		count[s.Worker]++
	}
	return count
}

func newStep(n int, cpu int64) ledger.Step {
	return ledger.Step{Count: n, Need: ledger.Resources{CPU: cpu}, EstimateMS: 1000}
}

func TestPlacement(t *testing.T) {
	with := func(s ledger.Step, change func(*ledger.Step)) ledger.Step {
		change(&s)
		return s
	}
	cases := []struct {
		name  string
		step  ledger.Step
		setup func(*fixture)
		want  map[string]int
	}{
		{"capacity", newStep(10, 1500), nil, map[string]int{"a": 2, "b": 2}},
		{"memory", ledger.Step{Count: 10, Need: ledger.Resources{MemMB: 4000}}, nil, map[string]int{"a": 1, "b": 1}},
		{"filler tasks take no CPU", with(newStep(3, 9000), func(s *ledger.Step) { s.Fills = true }), nil, map[string]int{"a": 3}},
		{"spread", with(newStep(5, 100), func(s *ledger.Step) { s.Spread = 1 }), nil, map[string]int{"a": 1, "b": 1}},
		{"label", with(newStep(2, 100), func(s *ledger.Step) { s.Label = "rack-b" }), nil, map[string]int{"b": 2}},
		{"rack of the data", with(newStep(2, 100), func(s *ledger.Step) { s.Rack = "rack-b" }), nil, map[string]int{"b": 2}},
		{"another pool's server", newStep(1, 5000), func(f *fixture) {
			f.server("c", "other", func(s *ledger.Server) { s.Capacity.CPU = 9000 })
		}, map[string]int{}},
		{"a draining server", newStep(2, 4000), func(f *fixture) {
			f.server("a", "p", func(s *ledger.Server) { s.Seq, s.Draining = 2, true })
		}, map[string]int{"b": 1}},
		{"a server without recent announcements", newStep(2, 4000), func(f *fixture) {
			f.fleet.Get("a").AnnouncedAt = f.now - AnnouncementTimeout - 1
		}, map[string]int{"b": 1}},
		{"a server that doesn't answer", newStep(2, 4000), func(f *fixture) {
			f.fleet.Get("a").Unanswered(f.now, false)
		}, map[string]int{"b": 1}},
		{"a server that rejected a start", newStep(2, 4000), func(f *fixture) {
			f.fleet.Get("a").AvoidUntil = f.now + 1
		}, map[string]int{"b": 1}},
		{"a suspect server gets nothing right after a failure", newStep(2, 2000), func(f *fixture) {
			for range 3 {
				f.fleet.Get("a").Health.Failed(f.now)
			}
		}, map[string]int{"b": 2}},
		{"a suspect server gets one trial run later", newStep(8, 1000), func(f *fixture) {
			for range 3 {
				f.fleet.Get("a").Health.Failed(f.now - time.Minute)
			}
		}, map[string]int{"a": 1, "b": 4}},
		{"a suspect server with a lasting run gets a trial run too", newStep(8, 1000), func(f *fixture) {
			f.submit("lasts", with(newStep(1, 1000), func(s *ledger.Step) { s.Lasting = true }))
			f.ledger.Apply(&ledger.Command{Starts: []ledger.Start{{Task: ledger.TaskID{Job: "lasts"}, Run: 1, Worker: "a"}}})
			for range 3 {
				f.fleet.Get("a").Health.Failed(f.now - time.Minute)
			}
		}, map[string]int{"a": 1, "b": 4}},
		{"a suspect server gets no second trial run at once", newStep(8, 1000), func(f *fixture) {
			for range 3 {
				f.fleet.Get("a").Health.Failed(f.now - time.Minute)
			}
			f.fleet.Get("a").Health.BeginTrial(f.now - 1)
		}, map[string]int{"b": 4}},
		{"lasting tasks avoid machines that are due for upkeep", with(newStep(3, 1000), func(s *ledger.Step) { s.Lasting = true }), func(f *fixture) {
			f.due = map[string]bool{"a": true}
		}, map[string]int{"b": 3}},
		{"lasting tasks take them if nothing else is free", with(newStep(5, 1000), func(s *ledger.Step) { s.Lasting = true }), func(f *fixture) {
			f.due = map[string]bool{"a": true}
		}, map[string]int{"a": 1, "b": 4}},
		{"a slow server is chosen last", newStep(2, 2000), func(f *fixture) {
			for range 10 {
				f.fleet.Get("a").Health.Done(5*time.Second, time.Second, f.now)
			}
		}, map[string]int{"b": 2}},
		{"gang that fits", with(newStep(4, 2000), func(s *ledger.Step) { s.Gang = true }), nil, map[string]int{"a": 2, "b": 2}},
		{"gang that doesn't fit", with(newStep(5, 2000), func(s *ledger.Step) { s.Gang = true }), nil, map[string]int{}},
		{"gang on one rack", with(newStep(2, 2000), func(s *ledger.Step) { s.Gang, s.RackLocal = true, true }), func(f *fixture) {
			f.submit("first", newStep(1, 1000))
			f.ledger.Apply(&ledger.Command{Starts: []ledger.Start{{Task: ledger.TaskID{Job: "first"}, Run: 1, Worker: "a"}}})
		}, map[string]int{"b": 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.server("a", "p", nil)
			f.server("b", "p", nil)
			if c.setup != nil {
				c.setup(f)
			}
			f.submit("j", c.step)
			must.Eq(t, c.want, startsByServer(f.plan(startMS)))
		})
	}
}

// Guards against a path to an evacuated data centre: first runs and reruns, lasting tasks, gangs, trial runs of suspect
// servers, and reservations for running tasks that are to be stopped.
func TestNoPlacementInEvacuatedDataCentre(t *testing.T) {
	for name, c := range map[string]struct {
		step ledger.Step
		want int // starts on the server in the other data centre
	}{
		"finite": {newStep(9, 1000), 4}, "filler": {ledger.Step{Count: 3, Fills: true}, 3}, "lasting": {ledger.Step{Count: 5, Lasting: true, Spread: 2}, 2},
		"gang": {ledger.Step{Count: 4, Gang: true, Need: ledger.Resources{CPU: 1000}}, 4}, "large gang": {ledger.Step{Count: 5, Gang: true, Need: ledger.Resources{CPU: 1000}}, 0},
		"gang on the rack of the data": {ledger.Step{Count: 2, Gang: true, RackLocal: true, Rack: "rack-a"}, 2}, "label": {ledger.Step{Count: 1, Label: "rack-a"}, 0},
	} {
		for _, suspect := range []bool{false, true} {
			f := newFixture(t)
			in := &Input{Now: f.now, WallMS: startMS, Ledger: f.ledger, Fleet: f.fleet, Evacuated: map[string]bool{"dc1": true}}
			a := f.server("a", "p", func(s *ledger.Server) { s.DataCentre = "dc1" })
			f.server("b", "p", func(s *ledger.Server) { s.DataCentre = "dc2" })
			for range 3 {
				if suspect {
					a.Health.Failed(f.now - time.Minute)
				}
			}
			f.submit("j", c.step)
			starts := startsByServer(Plan(in))
			must.EqOp(t, 0, starts["a"], must.Sprint(name, suspect))
			must.EqOp(t, c.want, starts["b"], must.Sprint(name, suspect))
		}
	}
	f := newFixture(t)
	f.server("a", "p", func(s *ledger.Server) { s.DataCentre = "dc1" })
	f.server("b", "p", func(s *ledger.Server) { s.DataCentre = "dc2" })
	f.server("c", "p", func(s *ledger.Server) { s.DataCentre = "dc1" })
	f.submit("j", ledger.Step{Count: 2, Lasting: true, Need: ledger.Resources{CPU: 2500}})
	id := ledger.TaskID{Job: "j"}
	f.ledger.Apply(&ledger.Command{Starts: []ledger.Start{{Task: id, Run: 1, Worker: "a"}}})
	free := NewFreeCapacity(&Input{Now: f.now, Ledger: f.ledger, Fleet: f.fleet, Evacuated: map[string]bool{"dc1": true}})
	must.True(t, free.ReserveElsewhere(id)) // on b
	must.False(t, free.ReserveElsewhere(id))
	f.ledger.Apply(&ledger.Command{Ends: []ledger.End{{Task: id, Run: 1, Worker: "a", How: ledger.EndStopped}}})
	rerun := Plan(&Input{Now: f.now, WallMS: startMS, Ledger: f.ledger, Fleet: f.fleet, Evacuated: map[string]bool{"dc1": true}})
	must.Eq(t, map[string]int{"b": 1}, startsByServer(rerun))
}

// Guards against more tasks of a step that are stopped than can start again: reservations count for the step's spread.
func TestReservationsStayWithinSpread(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	f.server("b", "p", nil)
	f.submit("j", ledger.Step{Count: 3, Lasting: true, Spread: 2})
	for i, server := range []string{"a", "a", "b"} {
		f.ledger.Apply(&ledger.Command{Starts: []ledger.Start{{Task: ledger.TaskID{Job: "j", Index: i}, Run: 1, Worker: server}}})
	}
	free := NewFreeCapacity(&Input{Now: f.now, Ledger: f.ledger, Fleet: f.fleet})
	must.True(t, free.ReserveElsewhere(ledger.TaskID{Job: "j", Index: 0}))
	must.False(t, free.ReserveElsewhere(ledger.TaskID{Job: "j", Index: 1}))
}

func TestPlanStaysWithinWorkspaceLimit(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	limited := *f.ledger.Config
	limited.Version, limited.Workspaces = 2, []accepted.Workspace{{Name: "lab", CPU: 2500}}
	f.ledger.Apply(&ledger.Command{Config: &limited})
	f.ledger.Apply(&ledger.Command{Submit: &ledger.Submission{ID: "j", Queue: "q", Workspace: "lab", Steps: []ledger.Step{newStep(4, 1000)}}})
	must.EqOp(t, 2, len(f.plan(startMS)))
}

func TestScheduledJobsStartWhenDue(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	f.ledger.Apply(&ledger.Command{NowMS: startMS, Submit: &ledger.Submission{
		ID: "j", Queue: "q", Steps: []ledger.Step{newStep(1, 100)}, Times: 3, FirstMS: startMS + 100, EveryMS: 1000,
	}})
	for wait, want := range map[int64]int{0: 0, 99: 0, 100: 1, 1099: 1, 1100: 2, 9000: 3} {
		must.EqOp(t, want, len(f.plan(startMS+wait)), must.Sprint(wait))
	}
}

// onlyPlannedJob returns the job of the only start in the plan.
func (f *fixture) onlyPlannedJob(wallMS int64) string {
	f.t.Helper()
	starts := f.plan(wallMS)
	must.EqOp(f.t, 1, len(starts))
	return starts[0].Task.Job
}

// With capacity for one task, the job with the least slack starts first, unless it can no longer be on time.
func TestLeastSlackFirstAndLateJobsLast(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", func(s *ledger.Server) { s.Capacity.CPU = 1000 })
	long := newStep(1, 1000)
	long.EstimateMS = 5000
	f.submit("long", long)
	f.submit("short", newStep(1, 1000))
	must.EqOp(t, "short", f.onlyPlannedJob(startMS))
	must.EqOp(t, "short", f.onlyPlannedJob(startMS+1200))
	must.EqOp(t, "long", f.onlyPlannedJob(startMS+1201)) // the short job can no longer be on time
}

// Lasting tasks come before all others, because each second that they don't run is lost.
func TestLastingTasksComeFirst(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", func(s *ledger.Server) { s.Capacity.CPU = 1000 })
	f.submit("j", newStep(1, 1000))
	lasting := newStep(1, 1000)
	lasting.Lasting = true
	f.submit("lasting", lasting)
	must.EqOp(t, "lasting", f.onlyPlannedJob(startMS))
}

// A burst of 400 tasks is planned in one call, up to the capacity of the servers and not beyond.
func TestBurstIsPlannedInOneCallWithinCapacity(t *testing.T) {
	f := newFixture(t)
	for i := range 20 {
		f.server(fmt.Sprintf("s%02d", i), "p", nil)
	}
	for i := range 100 {
		f.submit(fmt.Sprintf("j%02d", i), newStep(4, 1000))
	}
	starts := f.plan(startMS)
	must.EqOp(t, 80, len(starts))
	for _, n := range startsByServer(starts) {
		must.EqOp(t, 4, n)
	}
}

// Guards against stopping a task that can't run elsewhere: with a spread of 1 it can only move to a server that has no
// task of its step and isn't reserved.
func TestReserveElsewhereRespectsSpreadAndReservedServers(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b"} {
		f.server(id, "p", nil)
	}
	step := newStep(2, 100)
	step.Spread, step.Lasting = 1, true
	f.submit("j", step)
	f.ledger.Apply(&ledger.Command{Starts: f.plan(startMS)})
	in := &Input{Now: f.now, WallMS: startMS, Ledger: f.ledger, Fleet: f.fleet}
	id := ledger.TaskID{Job: "j"}
	must.False(t, NewFreeCapacity(in).ReserveElsewhere(id))
	f.server("c", "p", nil)
	free := NewFreeCapacity(in)
	must.True(t, free.ReserveElsewhere(id))
	in.Reserved = map[string]bool{"c": true}
	must.False(t, NewFreeCapacity(in).ReserveElsewhere(id))
}
