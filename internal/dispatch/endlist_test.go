package dispatch

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// manyTasks is a step of n small tasks, all of which fit on one server of a manyRig.
func manyTasks(n int) ledger.Step {
	return ledger.Step{Count: n, Need: ledger.Resources{CPU: 1, MemMB: 1}, EstimateMS: 100}
}

// newManyRig returns a rig with a server on which all n tasks of the job j run.
func newManyRig(t *testing.T, n int) (*rig, *fakeServers) {
	t.Helper()
	f := newFakeServers("a")
	r := newRig(t, f)
	r.submit("j", manyTasks(n))
	r.until(func() bool { return len(f.runs("a")) == n })
	return r, f
}

// endAll ends the runs of the tasks from up to but not including to, while the server can't be reached.
func (f *fakeServers) endAll(from, to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := from; i < to; i++ {
		f.servers["a"].end(key("j", i, 1), ledger.EndDone)
	}
}

func (f *fakeServers) setSilent(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id] = silent
}

// Guards against tasks that run twice because a report lists no more than MaxReportedEnds ends: the others were taken for lost,
// by the leader that had started them and by the next one.
func TestRunsBeyondFullListOfEndsAreNotLost(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		for _, n := range []int{MaxReportedEnds, MaxReportedEnds + 1, 2*MaxReportedEnds + 200} {
			t.Run(fmt.Sprint(n, " ends, new leader ", newLeader), func(t *testing.T) {
				t.Parallel()
				r, f := newManyRig(t, n)
				f.setSilent("a", true)
				f.endAll(0, n)
				if newLeader {
					r.changeLeader(2)
				}
				f.setSilent("a", false)
				r.until(func() bool { return r.state("j") == ledger.Completed })
				f.mu.Lock()
				defer f.mu.Unlock()
				must.EqOp(t, n, len(f.starts))
			})
		}
	}
}

// Guards against a run that stays open for good because its server once listed as many ends as a report holds: a later report that
// is complete shows that the run is lost.
func TestLostRunIsFoundAfterFullListOfEnds(t *testing.T) {
	const n = MaxReportedEnds + 100
	r, f := newManyRig(t, n)
	f.setSilent("a", true)
	f.endAll(0, n-1)
	f.mu.Lock()
	delete(f.servers["a"].running, key("j", n-1, 1))
	f.mu.Unlock()
	f.setSilent("a", false)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	must.Eq(t, key("j", n-1, 2), f.runs("a")[0])
	f.finish("a", key("j", n-1, 2), ledger.EndDone)
	r.until(func() bool { return r.state("j") == ledger.Completed })
	f.mu.Lock()
	defer f.mu.Unlock()
	must.EqOp(t, n+1, len(f.starts))
}
