package schedule

import (
	"fmt"

	"laburnumrouter/internal/request/ledger"
)

// Why tells, for people, why tasks of a step wait.
func Why(in *Input, j *ledger.Job, k, step int) string {
	index := in.Ledger.Index()
	if index == nil || index.Queue(j.Queue) == nil {
		return "its queue is not in the configuration in force"
	}
	if due := j.DueMS(k); due > in.WallMS {
		return fmt.Sprintf("it is due in %d ms", due-in.WallMS)
	}
	if !waits(j, k, step) {
		return "earlier steps are not done"
	}
	p := newPlanner(in)
	c := candidate{job: j, k: k, step: step, pool: index.Queue(j.Queue).Pool}
	s := &j.Steps[step]
	need := s.Need
	if s.Gang {
		need = need.Times(s.Count)
	}
	switch {
	case !p.withinLimit(j.Team, need):
		return fmt.Sprintf("team %s is at its upper limit: cpu %d, mem_mb %d, gpu %d in use, %d, %d, %d more wanted", j.Team,
			in.Ledger.Usage(j.Team).CPU, in.Ledger.Usage(j.Team).MemMB, in.Ledger.Usage(j.Team).GPU, need.CPU, need.MemMB, need.GPU)
	case len(p.rooms[c.pool]) == 0:
		return fmt.Sprintf("no backend server of pool %s can be used", c.pool)
	case s.Gang && p.gangRooms(c, func(*room) bool { return true }) == nil, !s.Gang && p.choose(c, spreadOf(c)) == nil:
		return p.noRoom(c)
	}
	return "the next plan places it"
}

// noRoom tells what comes nearest to room for a task.
func (p *planner) noRoom(c candidate) string {
	s := &c.job.Steps[c.step]
	labelled := 0
	var most ledger.Resources
	for _, r := range p.rooms[c.pool] {
		if s.Label == "" || r.server.Has(s.Label) {
			labelled++
			if r.free.CPU > most.CPU {
				most = r.free
			}
		}
	}
	if labelled == 0 {
		return fmt.Sprintf("no usable backend server of pool %s has the label %q", c.pool, s.Label)
	}
	return fmt.Sprintf("no room in pool %s: %d usable backend servers, most free cpu %d, mem_mb %d; a task needs %d, %d",
		c.pool, labelled, most.CPU, most.MemMB, s.Charge().CPU, s.Charge().MemMB)
}
