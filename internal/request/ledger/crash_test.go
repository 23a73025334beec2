package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// crash starts the next run of a task and ends it with evidence of a crash.
func crash(l *Ledger, id TaskID, how EndCause, evidence CrashEvidence) *Result {
	_, t := l.Task(id)
	run := 1
	if t != nil {
		run = t.Run + 1
	}
	worker := fmt.Sprint("w", run)
	l.Apply(&Command{Servers: []Server{{ID: worker, Address: worker, Born: 1}}, Starts: []Start{{Task: id, Run: run, Worker: worker, Born: 1}}})
	return l.Apply(&Command{Ends: []End{{Task: id, Run: run, Worker: worker, How: how, Crash: evidence}}})
}

// Guards against tasks that are started on one server after the other although each crashes, and against tasks that are given
// up for crashes of servers that they shared, or that they hardly reached. The state is reloaded after each crash, as by a
// leader that has just started.
func TestTaskIsGivenUpForItsCrashes(t *testing.T) {
	const rest = "4 shared"
	cases := []struct {
		evidence string // in order, with their number
		failed   bool
	}{
		{"1 suspected", false}, {"2 suspected", true},
		{"1 shared 1 suspected", true}, {"3 shared", false}, {rest, true},
		{"3 possible", false}, {"4 possible", true},
		{"4 unclear", false}, {"5 unclear", true}, {"1 possible 3 unclear", false}, {"2 possible 2 unclear", true},
		{"1 suspected 1 unrelated 1 suspected", false}, {"1 suspected 3 unclear", false},
	}
	for _, c := range cases {
		for _, step := range []Step{{Count: 1}, {Count: 1, Lasting: true}, {Count: 1, Gang: true}} {
			l := newLedger(t)
			submit(t, l, "j", step)
			words := strings.Fields(c.evidence)
			for i := 0; i < len(words); i += 2 {
				for range int(words[i][0] - '0') {
					must.EqOp(t, Queued, l.Job("j").State, must.Sprint(c.evidence))
					crash(l, task("j", 0, 0), EndLost, CrashEvidence(words[i+1]))
					l = reload(t, l)
				}
			}
			must.EqOp(t, c.failed, l.Job("j").State == Failed, must.Sprint(c.evidence))
			if c.failed {
				must.MapEmpty(t, l.Suspects())
			}
		}
	}
}

// Guards against a crash that isn't counted because the server stayed away longer than its lease, and against one that is
// counted although the server was cut off and came back.
func TestLapsedRunCountsOnceItsServerIsReplaced(t *testing.T) {
	id := task("j", 0, 0)
	cases := []struct {
		name    string
		next    Server
		crashes int
	}{
		{"restarted", Server{ID: "w1", Address: "w1", Born: 2}, 1},
		{"another server at the address", Server{ID: "other", Address: "w1", Born: 2}, 1},
		{"a delayed announcement", Server{ID: "other", Address: "w1", Born: 0}, 0},
		{"cut off", Server{ID: "w1", Address: "w1", Born: 1, Seq: 2}, 0},
		{"another address", Server{ID: "other", Address: "other", Born: 2}, 0},
	}
	for _, c := range cases {
		for _, replacedFirst := range []bool{false, true} {
			l := newLedger(t)
			submit(t, l, "j", Step{Count: 1})
			if replacedFirst {
				l.Apply(&Command{Servers: []Server{{ID: "w1", Address: "w1", Born: 1}}, Starts: []Start{{Task: id, Run: 1, Worker: "w1", Born: 1}}})
				l.Apply(&Command{Servers: []Server{c.next}})
				l.Apply(&Command{Ends: []End{{Task: id, Run: 1, Worker: "w1", How: EndLapsed, Crash: CrashSuspected}}})
			} else {
				crash(l, id, EndLapsed, CrashSuspected)
				l = reload(t, l)
				l.Apply(&Command{Servers: []Server{c.next}})
			}
			_, record := l.Task(id)
			must.EqOp(t, c.crashes, record.Crashes, must.Sprint(c.name, replacedFirst))
			must.EqOp(t, 0, record.Suspicions)
			must.EqOp(t, 1-c.crashes, len(record.Unresolved))
		}
	}
}

// Guards against tasks of a job that is over among the suspects: the planner would look for them in vain.
func TestSuspectsAreThoseOfUnfinishedJobs(t *testing.T) {
	l := newLedger(t)
	submit(t, l, "cancelled", Step{Count: 1})
	submit(t, l, "done", Step{Count: 2, Gang: true})
	crash(l, task("cancelled", 0, 0), EndLost, CrashSuspected)
	must.MapLen(t, 1, l.Suspects())
	l.Apply(&Command{Cancel: "cancelled"})
	must.MapEmpty(t, l.Suspects())

	both := []Start{{Task: task("done", 0, 0), Run: 1, Worker: "w"}, {Task: task("done", 0, 1), Run: 1, Worker: "w"}}
	l.Apply(&Command{Starts: both})
	l.Apply(&Command{Ends: []End{{Task: both[0].Task, Run: 1, Worker: "w", How: EndLost, Crash: CrashShared}}})
	must.MapLen(t, 1, l.Suspects())
	l.Apply(&Command{Ends: []End{{Task: both[1].Task, Run: 1, Worker: "w", How: EndDone}}})
	must.MapEmpty(t, l.Suspects())

	l.Apply(&Command{Cancel: "unknown"})
	submit(t, l, "late", Step{Count: 1})
	l.Apply(&Command{Starts: []Start{{Task: task("late", 0, 0), Run: 1, Worker: "w"}}})
	l.Apply(&Command{Cancel: "late"})
	l.Apply(&Command{Ends: []End{{Task: task("late", 0, 0), Run: 1, Worker: "w", How: EndLost, Crash: CrashSuspected}}})
	must.MapEmpty(t, l.Suspects())
}

// Guards against a lasting job that fails, so that all its tasks are stopped, because one of them is given up or a task of another
// step is out of attempts. Nobody has cancelled the job; it fails once none of its lasting tasks goes on.
func TestGivenUpTaskLeavesLastingTasksOfItsJob(t *testing.T) {
	l := newLedger(t)
	l.Apply(&Command{Format: FormatGivenUp})
	submit(t, l, "j", Step{Count: 2, Lasting: true}, Step{Count: 1})
	serving := Start{Task: task("j", 0, 1), Run: 1, Worker: "w"}
	l.Apply(&Command{Starts: []Start{serving}})
	for range 2 {
		crash(l, task("j", 0, 0), EndLost, CrashSuspected)
	}
	failing := Start{Task: task("j", 1, 0), Worker: "w"}
	for failing.Run = 1; failing.Run <= 9; failing.Run++ { // more than any queue of the tests allows
		l.Apply(&Command{Starts: []Start{failing}})
		l.Apply(&Command{Ends: []End{{Task: failing.Task, Run: failing.Run, Worker: "w", How: EndFailed}}})
	}
	l = reload(t, l)
	must.EqOp(t, Running, l.Job("j").State)
	must.EqOp(t, 1, l.Job("j").Live)
	must.MapEmpty(t, l.Suspects())
	for _, id := range []TaskID{task("j", 0, 0), failing.Task} {
		_, record := l.Task(id)
		must.EqOp(t, GivenUp, record.Phase)
		must.SliceEmpty(t, l.Apply(&Command{Starts: []Start{{Task: id, Run: record.Run + 1, Worker: "w"}}}).Started)
	}
	l.Apply(&Command{Ends: []End{{Task: serving.Task, Run: 1, Worker: "w", How: EndLost}}})
	must.EqOp(t, Running, l.Job("j").State) // it is started again
	for range 2 {
		crash(l, serving.Task, EndLost, CrashSuspected)
	}
	must.EqOp(t, Failed, l.Job("j").State)
}
