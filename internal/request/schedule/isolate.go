package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
)

// A task that may have crashed a backend server starts alone: on a server where no other run has begun for ProbationMS and none
// begins within ProbationMS. If that server crashes too, the task is at fault; if not, it was another one's.

const (
	// ProbationMS is how long a run must have worked until its task no longer counts as one that crashes its server by starting.
	ProbationMS = 500
	// isolationShare is the part of a pool's servers, 1/isolationShare, that are kept for suspected tasks at most; at least one.
	isolationShare = 2
	// isolationWaitMS is how long a suspected task waits for a server of its own, or a gang for servers where none has just begun.
	// Then it starts as any other: a crash that it shares with others doesn't tell which task is at fault, but is counted. A
	// task that the next crash would end waits as long as it takes, so that it isn't given up for another's fault.
	isolationWaitMS = 1500
	// unresolvedWaitMS is how long a task under which a server has crashed waits to learn whether its last server, whose lease
	// lapsed, crashed too.
	unresolvedWaitMS = 2500
)

// isolate reserves servers for suspected tasks: those on probation keep theirs, and each waiting one gets the server that is
// likely to be ready for it first.
func (p *planner) isolate() {
	suspects := p.Ledger.Suspects()
	if len(suspects) == 0 {
		return
	}
	states := make(map[string]*serverState)
	for _, list := range p.serversByPool {
		for _, r := range list {
			states[r.server.ID] = r
		}
	}
	isolated := make(map[string]int) // by pool
	var waiting []ledger.TaskID
	for id, t := range suspects {
		r := states[t.Worker]
		switch {
		case t.Phase == ledger.Waiting && p.isolates(t) && !p.awaitsResolution(t):
			waiting = append(waiting, id)
		case t.Phase == ledger.Live && r != nil && r.isolatedFor == "" && p.onProbation(t):
			r.isolatedFor = id.Job
			isolated[r.server.Pool]++
		}
	}
	// The order is that of the waits, so that the servers kept for tasks stay the same from plan to plan.
	slices.SortFunc(waiting, func(a, b ledger.TaskID) int {
		x, y := suspects[a], suspects[b]
		if x.LastChance() != y.LastChance() {
			if x.LastChance() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.EndedMS, y.EndedMS), strings.Compare(a.String(), b.String()))
	})
	served := make(map[string]bool)
	for _, id := range waiting {
		j := p.Ledger.Job(id.Job)
		q := p.Ledger.Index().Queue(j.Queue)
		step := &j.Steps[id.Step]
		if q == nil || step.Gang || served[id.Job] || isolated[q.Pool] >= max(1, len(p.serversByPool[q.Pool])/isolationShare) {
			continue
		}
		if !p.withinLimit(j.Workspace, step.Need) {
			continue
		}
		if r := p.serverToIsolate(candidate{job: j, occurrence: id.Occurrence, step: id.Step, pool: q.Pool}); r != nil {
			r.isolatedFor = id.Job
			isolated[q.Pool]++
			served[id.Job] = true
		}
	}
}

// awaitsResolution reports whether a task waits to learn whether its last server crashed.
func (p *planner) awaitsResolution(t *ledger.Task) bool {
	return t.Crashes+t.UnclearCrashes > 0 && len(t.Unresolved) > 0 && p.WallMS-t.EndedMS < unresolvedWaitMS
}

// isolates reports whether a waiting task is to be started alone, or not yet.
func (p *planner) isolates(t *ledger.Task) bool {
	return t.SuspectedOfCrashes() && (p.awaitsResolution(t) || t.LastChance() || p.WallMS-t.EndedMS < isolationWaitMS)
}

// onProbation reports whether a run was ordered less than ProbationMS ago.
func (p *planner) onProbation(t *ledger.Task) bool { return p.WallMS-t.OrderedMS < ProbationMS }

// serverToIsolate returns the server of a pool that is likely to be ready for a suspected task first, or nil if the task fits on
// none: one that has room now, and then the one whose newest run is the oldest.
func (p *planner) serverToIsolate(c candidate) *serverState {
	step, tasksOn := &c.job.Steps[c.step], liveTasksByServer(c)
	var best *serverState
	for _, r := range p.serversByPool[c.pool] {
		if step.Spread > 0 && tasksOn[r.server.ID] >= step.Spread {
			continue
		}
		if r.isolatedFor != "" || r.trialOnly || step.Label != "" && !r.server.Has(step.Label) || !step.CapacityUse().FitsIn(p.freeLater(r)) {
			continue
		}
		if best == nil || p.readier(step, r, best) {
			best = r
		}
	}
	return best
}

// freeLater returns the capacity of a server that is free once its tasks that don't last have ended.
func (p *planner) freeLater(r *serverState) ledger.Resources {
	free := r.server.Capacity
	for id := range p.Ledger.LiveOn(r.server.ID) {
		if step := &p.Ledger.Job(id.Job).Steps[id.Step]; step.Lasting {
			free = free.Minus(step.CapacityUse())
		}
	}
	return free
}

func (p *planner) readier(step *ledger.Step, a, b *serverState) bool {
	now := func(r *serverState) bool { return step.CapacityUse().FitsIn(r.free) && r.carries(step, 0, r.free) }
	if x, y := now(a), now(b); x != y {
		return x
	}
	// A server without lasting tasks is preferred: a crash would end them.
	if a.hasLasting != b.hasLasting {
		return b.hasLasting
	}
	return p.newestRunMS(a) < p.newestRunMS(b)
}

// newestRunMS returns when the newest live run of a server was ordered, or 0 if it has none.
func (p *planner) newestRunMS(r *serverState) (newest int64) {
	for t := range maps.Values(p.Ledger.LiveOn(r.server.ID)) {
		newest = max(newest, t.OrderedMS)
	}
	return newest
}

// settled reports whether no run of another job has been planned or ordered for a server within ProbationMS.
func (p *planner) settled(r *serverState, job string) bool {
	if r.planned > 0 && r.plannedFor != job {
		return false
	}
	for id, t := range p.Ledger.LiveOn(r.server.ID) {
		if id.Job != job && p.onProbation(t) {
			return false
		}
	}
	return true
}

// placeSuspects plans starts for the tasks of a candidate that are to start alone, and reports whether others wait as well. The
// candidate isn't a gang.
func (p *planner) placeSuspects(c candidate, tasksOn map[string]int) (othersWait bool) {
	step := &c.job.Steps[c.step]
	for i := range step.Count {
		t := taskRecord(c, i)
		if t.Phase != ledger.Waiting {
			continue
		}
		if !p.isolates(&t) {
			othersWait = true
			continue
		}
		if p.awaitsResolution(&t) || !p.withinLimit(c.job.Workspace, step.Need) {
			continue
		}
		if r := p.chooseServerAmong(c, tasksOn, func(r *serverState) bool { return r.isolatedFor == c.job.ID && p.settled(r, c.job.ID) }); r != nil {
			p.start(c, i, t.Run+1, r)
			tasksOn[r.server.ID]++
		}
	}
	return othersWait
}

// gangAwaitsResolution reports whether a task of a gang waits to learn whether its last server crashed.
func (p *planner) gangAwaitsResolution(c candidate) bool {
	for i := range c.job.Steps[c.step].Count {
		if t := taskRecord(c, i); p.awaitsResolution(&t) {
			return true
		}
	}
	return false
}

// mayHost reports whether a gang, which may be suspected, may use a server.
func (p *planner) mayHost(r *serverState, c candidate, suspected bool) bool {
	if r.isolatedFor != "" {
		return false
	}
	return !suspected || p.settled(r, c.job.ID)
}

// gangIsolates reports whether a task of a gang is suspected and the gang still waits for servers where none has just begun.
func (p *planner) gangIsolates(c candidate) bool {
	suspected, endedMS := false, int64(0)
	for i := range c.job.Steps[c.step].Count {
		t := taskRecord(c, i)
		suspected = suspected || t.SuspectedOfCrashes()
		endedMS = max(endedMS, t.EndedMS)
	}
	return suspected && p.WallMS-endedMS < isolationWaitMS
}
