package schedule

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// crashed records at startMS that a server crashed under the first run of the first task of each job.
func (f *fixture) crashed(jobs ...string) {
	f.t.Helper()
	c := &ledger.Command{}
	for _, id := range jobs {
		t := ledger.TaskID{Job: id}
		c.Starts = append(c.Starts, ledger.Start{Task: t, Run: 1, Worker: "gone", Born: 1})
		c.Ends = append(c.Ends, ledger.End{Task: t, Run: 1, Worker: "gone", How: ledger.EndLost, Crash: ledger.CrashShared})
	}
	f.ledger.Apply(&ledger.Command{NowMS: startMS, Starts: c.Starts})
	must.SliceLen(f.t, len(jobs), f.ledger.Apply(&ledger.Command{NowMS: startMS, Ends: c.Ends}).Ended)
}

// commit commits a plan at a time of day.
func (f *fixture) commit(wallMS int64, starts []ledger.Start) {
	f.t.Helper()
	must.SliceLen(f.t, len(starts), f.ledger.Apply(&ledger.Command{NowMS: wallMS, Starts: starts}).Started)
}

// workerOf returns the server of a job's start in a plan, or "".
func workerOf(starts []ledger.Start, job string) string {
	for _, s := range starts {
		if s.Task.Job == job {
			return s.Worker
		}
	}
	return ""
}

// Guards against a crash that doesn't tell which task is at fault: a suspected task gets a server on which no other task has
// just begun, and none begins there until it has worked for a while.
func TestSuspectedTaskStartsAlone(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		f.server(id, "p", nil)
	}
	f.submit("suspect", newStep(1, 100))
	f.submit("other", newStep(8, 1000))
	f.crashed("suspect")
	starts := f.plan(startMS)
	own := workerOf(starts, "suspect")
	must.NotEq(t, "", own)
	must.EqOp(t, 1, startsByServer(starts)[own])
	must.SliceLen(t, 9, starts)
	f.commit(startMS, starts)

	f.submit("later", newStep(12, 1000))
	must.EqOp(t, 0, startsByServer(f.plan(startMS + ProbationMS - 1))[own])
	must.EqOp(t, 3, startsByServer(f.plan(startMS + ProbationMS))[own])
}

// Guards against suspected tasks that wait without end on a busy pool: one server gets no other work until its newest run has
// worked for a while, and stays the same from plan to plan.
func TestBusyPoolKeepsServerForSuspectedTask(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	f.server("b", "p", nil)
	f.submit("running", newStep(4, 1500))
	f.commit(startMS, f.plan(startMS))
	f.submit("suspect", newStep(1, 1000))
	f.crashed("suspect")
	f.submit("other", newStep(20, 1000))
	starts := f.plan(startMS + 100)
	must.EqOp(t, "", workerOf(starts, "suspect"))
	must.MapLen(t, 1, startsByServer(starts))
	f.commit(startMS+100, starts)
	starts = f.plan(startMS + ProbationMS)
	must.MapLen(t, 1, startsByServer(starts))
	must.NotEq(t, "", workerOf(starts, "suspect"))
}

// Guards against many suspected tasks that hold up the other work of a pool, or each other: half of the servers are kept for
// them at most, and those that get none start as any other task soon, unless one more crash would end them.
func TestManySuspectedTasksHoldUpNothing(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		f.server(id, "p", nil)
	}
	jobs := []string{"s1", "s2", "s3", "s4"}
	for _, id := range jobs {
		f.submit(id, newStep(1, 100))
	}
	f.crashed(jobs...)
	f.submit("other", newStep(8, 1000))
	starts := f.plan(startMS)
	must.SliceLen(t, 2+8, starts)
	f.commit(startMS, starts)
	f.submit("last", newStep(1, 100))
	f.crashed("last")
	for run := 2; run <= 3; run++ {
		again := ledger.Start{Task: ledger.TaskID{Job: "last"}, Run: run, Worker: "gone", Born: 1}
		f.commit(startMS, []ledger.Start{again})
		f.ledger.Apply(&ledger.Command{NowMS: startMS, Ends: []ledger.End{{Task: again.Task, Run: run, Worker: "gone", How: ledger.EndLost, Crash: ledger.CrashShared}}})
	}
	f.submit("more", newStep(8, 1000))
	starts = f.plan(startMS + isolationWaitMS)
	own := workerOf(starts, "last")
	must.NotEq(t, "", own)
	must.EqOp(t, 1, startsByServer(starts)[own])
	for _, id := range jobs {
		must.True(t, f.started(id) || workerOf(starts, id) != "")
	}
}

// started reports whether a job's first task has a live run.
func (f *fixture) started(job string) bool {
	_, t := f.ledger.Task(ledger.TaskID{Job: job})
	return t.Phase == ledger.Live
}

// Guards against a suspected task that never starts because the server kept for it may hold no more tasks of its step, hasn't
// the label, or is full of lasting tasks.
func TestServerKeptForSuspectedTaskCanRunIt(t *testing.T) {
	for name, change := range map[string]func(f *fixture, s *ledger.Step){
		"spread": func(_ *fixture, s *ledger.Step) { s.Count, s.Spread = 2, 1 },
		"label":  func(_ *fixture, s *ledger.Step) { s.Label = "rack-b" },
		"lasting": func(f *fixture, _ *ledger.Step) {
			f.submit("lasting", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 4000}, Lasting: true})
			f.commit(startMS-5000, []ledger.Start{{Task: ledger.TaskID{Job: "lasting"}, Run: 1, Worker: "a", Born: 1}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.server("a", "p", nil)
			f.server("b", "p", nil)
			step := newStep(1, 100)
			change(f, &step)
			f.submit("suspect", step)
			if step.Count > 1 {
				f.commit(startMS-5000, []ledger.Start{{Task: ledger.TaskID{Job: "suspect", Index: 1}, Run: 1, Worker: "a", Born: 1}})
			}
			f.crashed("suspect")
			must.EqOp(t, "b", workerOf(f.plan(startMS), "suspect"))
		})
	}
}

// Guards against a pool that stands still because its only servers may get trial runs only and its only task wants a server of
// its own: neither would ever be cleared.
func TestSuspectedTaskIsTrialOfSuspectServer(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	f.submit("suspect", newStep(1, 100))
	f.crashed("suspect")
	for range 3 {
		f.fleet.Get("a").Health.Failed(f.now)
	}
	f.now += 3 * time.Second
	f.server("a", "p", func(s *ledger.Server) { s.Seq = 2 })
	must.EqOp(t, "a", workerOf(f.plan(startMS), "suspect"))
}

// Guards against a task that is started while it isn't known whether its last server crashed: it would be started again and
// again on servers that stay away longer than their lease.
func TestTaskWithUnresolvedRunWaits(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	f.submit("j", newStep(1, 100))
	f.crashed("j")
	id := ledger.TaskID{Job: "j"}
	f.commit(startMS, []ledger.Start{{Task: id, Run: 2, Worker: "cut", Born: 1}})
	f.ledger.Apply(&ledger.Command{NowMS: startMS, Ends: []ledger.End{{Task: id, Run: 2, Worker: "cut", How: ledger.EndLapsed, Crash: ledger.CrashShared}}})
	must.SliceEmpty(t, f.plan(startMS+unresolvedWaitMS-1))
	must.SliceLen(t, 1, f.plan(startMS+unresolvedWaitMS))
}

// Guards against a suspected gang that starts beside tasks that have just begun, or never.
func TestSuspectedGangPrefersSettledServers(t *testing.T) {
	f := newFixture(t)
	f.server("a", "p", nil)
	f.server("b", "p", nil)
	f.submit("running", newStep(1, 1000))
	f.commit(startMS, f.plan(startMS))
	gang := newStep(1, 100)
	gang.Gang = true
	f.submit("gang", gang)
	f.crashed("gang")
	must.EqOp(t, "b", workerOf(f.plan(startMS), "gang"))
	f.submit("more", newStep(1, 1000))
	f.commit(startMS, []ledger.Start{{Task: ledger.TaskID{Job: "more"}, Run: 1, Worker: "b", Born: 1}})
	must.SliceEmpty(t, f.plan(startMS))
	must.SliceLen(t, 1, f.plan(startMS+ProbationMS))
}
