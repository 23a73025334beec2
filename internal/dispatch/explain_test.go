package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

func (r *rig) explain(id string) *JobView {
	r.t.Helper()
	reply := r.do(&Call{Op: OpExplain, Path: id})
	must.EqOp(r.t, OK, reply.Outcome)
	return reply.Job
}

// Explain shows where runs are, why tasks wait and, also for a job in a final state, which runs ended without
// success.
func TestExplain(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	wide := ledger.Step{Count: 3, Need: ledger.Resources{CPU: 3000, MemMB: 100}, EstimateMS: 100}
	r.submit("j", wide, ledger.Step{Count: 1, Need: ledger.Resources{CPU: 100}, After: []int{0}})
	r.until(func() bool { return len(f.runs("a")) == 2 && r.explain("j").State == ledger.Running })
	v := r.explain("j")
	must.EqOp(t, 2, v.Runs)
	must.SliceLen(t, 1, v.Steps) // the second step is not due yet
	must.Eq(t, []string{"a", "a"}, v.Steps[0].Running)
	must.StrContains(t, v.Steps[0].Waits, "no room in pool p: 1 usable backend servers, most free cpu 2000")
	for run := range rigAttempts {
		k := key("j", 0, run+1)
		r.until(func() bool {
			for _, running := range f.runs("a") {
				if running == k {
					return true
				}
			}
			return false
		})
		f.finish("a", k, ledger.EndFailed)
	}
	r.until(func() bool { return r.state("j") == ledger.Failed && len(f.runs("a")) == 0 })
	r.until(func() bool { return len(r.explain("j").Ends) > rigAttempts })
	v = r.explain("j")
	must.SliceEmpty(t, v.Steps)
	for run := range rigAttempts {
		must.EqOp(t, ledger.EndFailed, v.Ends[run].How)
		must.EqOp(t, key("j", 0, run+1).task, v.Ends[run].Task)
		must.EqOp(t, "a", v.Ends[run].Worker)
	}
	must.EqOp(t, NotFound, r.do(&Call{Op: OpExplain, Path: "other"}).Outcome)
}

func TestStatus(t *testing.T) {
	f := newFakeServers("a", "b")
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a"))+len(f.runs("b")) == 1 })
	s := r.do(&Call{Op: OpStatus}).Status
	must.EqOp(t, 1, s.Term)
	must.EqOp(t, 1, s.Version)
	must.EqOp(t, 1, s.Open)
	must.Eq(t, []PoolView{{Name: "p", Servers: 2, Runs: 1, UsedCPU: 1000, CPU: 16000}}, s.Pools)
}
