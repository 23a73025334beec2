package schedule

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
)

// ExplainWaiting returns a message for operators that explains why the tasks of a step are waiting.
func ExplainWaiting(in *Input, j *ledger.Job, occurrence, step int) string {
	q := in.Ledger.QueueOf(j)
	if q == nil {
		return fmt.Sprintf("the configuration in force has no queue at host %q, prefix %q, where the job was submitted", j.Host, j.Prefix)
	}
	if due := j.DueMS(occurrence); due > in.WallMS {
		return fmt.Sprintf("the occurrence is due in %d ms", due-in.WallMS)
	}
	if !isRunnable(j, occurrence, step) {
		return "no task of this step is waiting, a step that it depends on is not done, or a task of its gang is not waiting"
	}
	p := newPlanner(in)
	c := candidate{job: j, occurrence: occurrence, step: step, pool: q.Pool}
	s := &j.Steps[step]
	need := s.Need
	if s.Gang {
		need = need.Times(s.Count)
	}
	switch {
	case p.Ledger.AwaitsNamesake(j, c.pool):
		return fmt.Sprintf("a job of another queue has this ID, and its tasks have their names in pool %s, until its record expires", c.pool)
	case !p.withinLimit(j.Workspace, need):
		return fmt.Sprintf("workspace %s would exceed its upper limit: in use cpu %d, mem_mb %d, gpu %d; needed in addition cpu %d, mem_mb %d, gpu %d", j.Workspace,
			in.Ledger.Usage(j.Workspace).CPU, in.Ledger.Usage(j.Workspace).MemMB, in.Ledger.Usage(j.Workspace).GPU, need.CPU, need.MemMB, need.GPU)
	case len(p.serversByPool[c.pool]) == 0:
		return fmt.Sprintf("no backend server of pool %s is usable", c.pool) + explainEvacuated(in)
	case p.hasWaitingSuspect(c):
		return "a task may have crashed backend servers and waits for one on which no other has just begun"
	case s.Gang && p.chooseGangServers(c, func(r *serverState) bool { return p.mayHost(r, c, false) }) == nil, !s.Gang && p.chooseServer(c, liveTasksByServer(c)) == nil:
		return p.explainNoCapacity(c)
	}
	return "the task can be placed by the next plan"
}

// hasWaitingSuspect reports whether a task of the candidate waits to be started alone.
func (p *planner) hasWaitingSuspect(c candidate) bool {
	for i := range c.job.Steps[c.step].Count {
		if t := taskRecord(c, i); t.Phase == ledger.Waiting && p.isolates(&t) {
			return true
		}
	}
	return false
}

// explainEvacuated returns a part of a message that names the evacuated data centres, or nothing if there are none.
func explainEvacuated(in *Input) string {
	if len(in.Evacuated) == 0 {
		return ""
	}
	return "; evacuated data centres: " + strings.Join(slices.Sorted(maps.Keys(in.Evacuated)), ", ")
}

// explainNoCapacity returns a message that compares the need of a task with what is free on the usable server with the
// most free CPU.
func (p *planner) explainNoCapacity(c candidate) string {
	s := &c.job.Steps[c.step]
	eligible, cold, suspect := 0, 0, 0
	var mostFree ledger.Resources
	for _, r := range p.serversByPool[c.pool] {
		if s.Label == "" || r.server.Has(s.Label) {
			eligible++
			if r.cold {
				cold++
			}
			if r.trialOnly && !(s.Gang && r.cooledDown) {
				suspect++
			}
			if r.free.CPU > mostFree.CPU {
				mostFree = r.free
			}
		}
	}
	if eligible == 0 {
		return fmt.Sprintf("no usable backend server of pool %s has the label %q", c.pool, s.Label)
	}
	reason := fmt.Sprintf("no room in pool %s: %d usable backend servers, most free cpu %d, mem_mb %d; a task needs %d, %d",
		c.pool, eligible, mostFree.CPU, mostFree.MemMB, s.CapacityUse().CPU, s.CapacityUse().MemMB)
	if cold > 0 {
		reason += fmt.Sprintf("; %d of them get few starts because they have just started", cold)
	}
	if suspect > 0 {
		reason += fmt.Sprintf("; %d of them are suspect because their last runs or starts failed", suspect)
	}
	return reason + explainEvacuated(p.Input)
}
