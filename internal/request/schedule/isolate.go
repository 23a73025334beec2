package schedule

import (
	"cmp"
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
	if len(p.Ledger.Suspects()) == 0 {
		return
	}
	isolated := p.keepProbation() // number of reserved servers by pool
	served := make(map[string]bool)
	for _, id := range p.waitingSuspects() {
		j := p.Ledger.Job(id.Job)
		q := p.Ledger.QueueOf(j)
		step := &j.Steps[id.Step]
		if q == nil || step.Gang || served[id.Job] || !p.withinLimit(j.Workspace, step.Need) {
			continue
		}
		if isolated[q.Pool] >= max(1, len(p.serversByPool[q.Pool])/isolationShare) {
			continue
		}
		if r := p.serverToIsolate(candidate{job: j, occurrence: id.Occurrence, step: id.Step, pool: q.Pool}); r != nil {
			r.isolatedFor = id.Job
			isolated[q.Pool]++
			served[id.Job] = true
		}
	}
}

// keepProbation reserves the servers of suspected tasks that have just begun, and returns their number by pool.
func (p *planner) keepProbation() map[string]int {
	states := make(map[string]*serverState)
	for _, list := range p.serversByPool {
		for _, r := range list {
			states[r.server.ID] = r
		}
	}
	reserved := make(map[string]int)
	for id, t := range p.Ledger.Suspects() {
		if r := states[t.Worker]; t.Phase == ledger.Live && r != nil && r.isolatedFor == "" && p.onProbation(t) {
			r.isolatedFor = id.Job
			reserved[r.server.Pool]++
		}
	}
	return reserved
}

// waitingSuspects returns the tasks that wait to be started alone. Those that a further crash may end come first, then those that
// have waited longest, so that the servers kept for them stay the same from plan to plan.
func (p *planner) waitingSuspects() []ledger.TaskID {
	suspects := p.Ledger.Suspects()
	var waiting []ledger.TaskID
	for id, t := range suspects {
		if t.Phase == ledger.Waiting && p.isolates(t) && !p.awaitsResolution(t) {
			waiting = append(waiting, id)
		}
	}
	slices.SortFunc(waiting, func(a, b ledger.TaskID) int {
		x, y := suspects[a], suspects[b]
		switch {
		case x.LastChance() && !y.LastChance():
			return -1
		case y.LastChance() && !x.LastChance():
			return 1
		}
		return cmp.Or(cmp.Compare(x.EndedMS, y.EndedMS), strings.Compare(a.String(), b.String()))
	})
	return waiting
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
		if r.isolatedFor != "" || r.trialLater || step.Label != "" && !r.server.Has(step.Label) {
			continue
		}
		if step.Spread > 0 && tasksOn[r.server.ID] >= step.Spread || !step.CapacityUse().FitsIn(p.load(r).freeLater) {
			continue
		}
		if best == nil || p.readier(step, r, best) {
			best = r
		}
	}
	return best
}

// serverLoad is what the live runs of a server tell about when it is ready for a suspected task.
type serverLoad struct {
	// freeLater is the capacity that is free once the tasks that don't last have ended.
	freeLater ledger.Resources
	// newestRunMS is when the newest run was ordered; 0 if there is none.
	newestRunMS int64
}

// load returns the load of a server, which is computed once a plan.
func (p *planner) load(r *serverState) *serverLoad {
	if r.load == nil {
		r.load = &serverLoad{freeLater: r.server.Capacity}
		for id, t := range p.Ledger.LiveOn(r.server.ID) {
			r.load.newestRunMS = max(r.load.newestRunMS, t.OrderedMS)
			if step := &p.Ledger.Job(id.Job).Steps[id.Step]; step.Lasting {
				r.load.freeLater = r.load.freeLater.Minus(step.CapacityUse())
			}
		}
	}
	return r.load
}

// readier reports whether a is likely to be ready for a suspected task of a step before b. A server without lasting tasks is
// preferred: a crash would end them. One that may get a trial run only comes last.
func (p *planner) readier(step *ledger.Step, a, b *serverState) bool {
	if a.trialOnly != b.trialOnly {
		return b.trialOnly
	}
	now := func(r *serverState) bool { return step.CapacityUse().FitsIn(r.free) && r.carries(step, 0, r.free) }
	if x, y := now(a), now(b); x != y {
		return x
	}
	if a.hasLasting != b.hasLasting {
		return b.hasLasting
	}
	return p.load(a).newestRunMS < p.load(b).newestRunMS
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
		if r := p.chooseServerAmong(c, tasksOn, func(r *serverState) bool { return r.isolatedFor == c.job.Key() && p.settled(r, c.job.Key()) }); r != nil {
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
	return !suspected || p.settled(r, c.job.Key())
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
