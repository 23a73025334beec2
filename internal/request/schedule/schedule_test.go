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

// world is a ledger and a fleet to plan for.
type world struct {
	t      *testing.T
	ledger *ledger.Ledger
	fleet  *fleet.Table
	now    time.Duration
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, ledger: ledger.New(), fleet: fleet.NewTable(), now: time.Hour}
	w.ledger.Apply(&ledger.Command{NowMS: startMS, Config: &accepted.Config{
		Version: 1,
		Queues: []accepted.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1, ObjectiveMS: 600, SlackFactor: 1.6, MaxAttempts: 2, Open: true},
		},
		Pools: []accepted.Pool{{Name: "p"}, {Name: "other"}},
	}})
	return w
}

func (w *world) server(id, pool string, change func(*ledger.Server)) *fleet.Server {
	s := ledger.Server{
		ID: id, Pool: pool, Address: id, Capacity: ledger.Resources{CPU: 4000, MemMB: 4000}, Labels: []string{"kind", "rack-" + id},
		Born: 1, Seq: 1, ClockMS: 1,
	}
	if change != nil {
		change(&s)
	}
	w.fleet.Announce(s, w.now)
	return w.fleet.Get(id)
}

func (w *world) submit(id string, steps ...ledger.Step) {
	w.t.Helper()
	r := w.ledger.Apply(&ledger.Command{NowMS: startMS, Submit: &ledger.Submission{ID: id, Queue: "q", Spec: "s", Steps: steps}})
	must.EqOp(w.t, ledger.Taken, r.Submit)
}

func (w *world) plan(wallMS int64) []ledger.Start {
	return Plan(&Input{Now: w.now, WallMS: wallMS, Ledger: w.ledger, Fleet: w.fleet})
}

// on counts a plan's starts by server.
func on(starts []ledger.Start) map[string]int {
	count := make(map[string]int)
	for _, s := range starts {
		count[s.Worker]++
	}
	return count
}

func tasks(n int, cpu int64) ledger.Step {
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
		setup func(*world)
		want  map[string]int
	}{
		{"capacity", tasks(10, 1500), nil, map[string]int{"a": 2, "b": 2}},
		{"memory", ledger.Step{Count: 10, Need: ledger.Resources{MemMB: 4000}}, nil, map[string]int{"a": 1, "b": 1}},
		{"fills take no processor", with(tasks(3, 9000), func(s *ledger.Step) { s.Fills = true }), nil, map[string]int{"a": 3}},
		{"spread", with(tasks(5, 100), func(s *ledger.Step) { s.Spread = 1 }), nil, map[string]int{"a": 1, "b": 1}},
		{"label", with(tasks(2, 100), func(s *ledger.Step) { s.Label = "rack-b" }), nil, map[string]int{"b": 2}},
		{"rack of the data", with(tasks(2, 100), func(s *ledger.Step) { s.Rack = "rack-b" }), nil, map[string]int{"b": 2}},
		{"another pool's server", tasks(1, 5000), func(w *world) {
			w.server("c", "other", func(s *ledger.Server) { s.Capacity.CPU = 9000 })
		}, map[string]int{}},
		{"a server that leaves", tasks(2, 4000), func(w *world) {
			w.server("a", "p", func(s *ledger.Server) { s.Seq, s.Draining = 2, true })
		}, map[string]int{"b": 1}},
		{"a server that isn't heard", tasks(2, 4000), func(w *world) {
			w.fleet.Get("a").HeardAt = w.now - Silence - 1
		}, map[string]int{"b": 1}},
		{"a server that doesn't answer", tasks(2, 4000), func(w *world) {
			w.fleet.Get("a").Unanswered(w.now)
		}, map[string]int{"b": 1}},
		{"a server that rejected a start", tasks(2, 4000), func(w *world) {
			w.fleet.Get("a").AvoidUntil = w.now + 1
		}, map[string]int{"b": 1}},
		{"a suspect gets nothing at first", tasks(2, 2000), func(w *world) {
			for range 3 {
				w.fleet.Get("a").Health.Failed(w.now)
			}
		}, map[string]int{"b": 2}},
		{"a suspect gets one trial later", tasks(8, 1000), func(w *world) {
			for range 3 {
				w.fleet.Get("a").Health.Failed(w.now - time.Minute)
			}
		}, map[string]int{"a": 1, "b": 4}},
		{"a slow server comes last", tasks(2, 2000), func(w *world) {
			for range 10 {
				w.fleet.Get("a").Health.Done(5*time.Second, time.Second, w.now)
			}
		}, map[string]int{"b": 2}},
		{"gang that fits", with(tasks(4, 2000), func(s *ledger.Step) { s.Gang = true }), nil, map[string]int{"a": 2, "b": 2}},
		{"gang that doesn't", with(tasks(5, 2000), func(s *ledger.Step) { s.Gang = true }), nil, map[string]int{}},
		{"gang on one rack", with(tasks(2, 2000), func(s *ledger.Step) { s.Gang, s.RackLocal = true, true }), func(w *world) {
			w.submit("first", tasks(1, 1000))
			w.ledger.Apply(&ledger.Command{Starts: []ledger.Start{{Task: ledger.TaskID{Job: "first"}, Run: 1, Worker: "a"}}})
		}, map[string]int{"b": 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.server("a", "p", nil)
			w.server("b", "p", nil)
			if c.setup != nil {
				c.setup(w)
			}
			w.submit("j", c.step)
			must.Eq(t, c.want, on(w.plan(startMS)))
		})
	}
}

func TestLimitOfATeam(t *testing.T) {
	w := newWorld(t)
	w.server("a", "p", nil)
	limited := *w.ledger.Config
	limited.Version, limited.Teams = 2, []accepted.Team{{Name: "lab", CPU: 2500}}
	w.ledger.Apply(&ledger.Command{Config: &limited})
	w.ledger.Apply(&ledger.Command{Submit: &ledger.Submission{ID: "j", Queue: "q", Team: "lab", Steps: []ledger.Step{tasks(4, 1000)}}})
	must.EqOp(t, 2, len(w.plan(startMS)))
}

func TestScheduledJobsStartWhenDue(t *testing.T) {
	w := newWorld(t)
	w.server("a", "p", nil)
	w.ledger.Apply(&ledger.Command{NowMS: startMS, Submit: &ledger.Submission{
		ID: "j", Queue: "q", Steps: []ledger.Step{tasks(1, 100)}, Times: 3, FirstMS: startMS + 100, EveryMS: 1000,
	}})
	for wait, want := range map[int64]int{0: 0, 99: 0, 100: 1, 1099: 1, 1100: 2, 9000: 3} {
		must.EqOp(t, want, len(w.plan(startMS+wait)), must.Sprint(wait))
	}
}

// first returns the job that gets the only room.
func (w *world) first(wallMS int64) string {
	w.t.Helper()
	starts := w.plan(wallMS)
	must.EqOp(w.t, 1, len(starts))
	return starts[0].Task.Job
}

// While there is room for one, it goes to the job that has the least time left, but not to one that is late already.
func TestOrderUnderLoad(t *testing.T) {
	w := newWorld(t)
	w.server("a", "p", func(s *ledger.Server) { s.Capacity.CPU = 1000 })
	long := tasks(1, 1000)
	long.EstimateMS = 5000
	w.submit("long", long)
	w.submit("short", tasks(1, 1000))
	must.EqOp(t, "short", w.first(startMS))
	must.EqOp(t, "short", w.first(startMS+1200))
	must.EqOp(t, "long", w.first(startMS+1201)) // the short one can no longer be on time
}

// Lasting tasks come before all others: each second that they don't run is lost.
func TestLastingTasksComeFirst(t *testing.T) {
	w := newWorld(t)
	w.server("a", "p", func(s *ledger.Server) { s.Capacity.CPU = 1000 })
	w.submit("j", tasks(1, 1000))
	lasting := tasks(1, 1000)
	lasting.Lasting = true
	w.submit("lasting", lasting)
	must.EqOp(t, "lasting", w.first(startMS))
}

// A burst of many jobs is planned within one call, and no more than the room.
func TestBurst(t *testing.T) {
	w := newWorld(t)
	for i := range 20 {
		w.server(fmt.Sprintf("s%02d", i), "p", nil)
	}
	for i := range 100 {
		w.submit(fmt.Sprintf("j%02d", i), tasks(4, 1000))
	}
	starts := w.plan(startMS)
	must.EqOp(t, 80, len(starts))
	for _, n := range on(starts) {
		must.EqOp(t, 4, n)
	}
}

// A task that must stay apart from its like can only move to a server that has none of them.
func TestRoomsForTasksApart(t *testing.T) {
	w := newWorld(t)
	for _, id := range []string{"a", "b"} {
		w.server(id, "p", nil)
	}
	step := tasks(2, 100)
	step.Spread, step.Lasting = 1, true
	w.submit("j", step)
	w.ledger.Apply(&ledger.Command{Starts: w.plan(startMS)})
	in := &Input{Now: w.now, WallMS: startMS, Ledger: w.ledger, Fleet: w.fleet}
	id := ledger.TaskID{Job: "j"}
	must.False(t, NewRooms(in).Take(id))
	w.server("c", "p", nil)
	rooms := NewRooms(in)
	must.True(t, rooms.Take(id))
	in.Reserved = map[string]bool{"c": true}
	must.False(t, NewRooms(in).Take(id))
}
