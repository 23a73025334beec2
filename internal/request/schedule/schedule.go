// Package schedule decides which waiting tasks of the jobs in package ledger start now and on which backend servers. It is
// a pure function of the ledger, the fleet and the time; it reads no clock and does no I/O. Package placement does the same
// for the jobs of the control log.
package schedule

import (
	"slices"
	"strings"
	"time"

	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
)

const (
	// AnnouncementTimeout is how long a server may go without an announcement or an answered call and still get work. It
	// allows for the loss of one announcement and a delay of the next by 0.5 s; they are sent every 1.5 s (heartbeat_ms).
	AnnouncementTimeout = 3500 * time.Millisecond
	// maxStartsPerPlan limits the starts of one plan, so that its log entry stays small and the first orders are sent
	// soon. At 16 jobs a second, each of 10 tasks, and a plan every 20 ms, a plan has 3 starts on average.
	maxStartsPerPlan = 256
	// creditWindowFactor limits how long a late job is still of value to the users, which they call credit: a job earns credit
	// until creditWindowFactor times its allowed time has passed since it was due (RULES, Jobs, Credit).
	creditWindowFactor = 3
)

// Input is the state that a plan is computed from.
type Input struct {
	// Now is on the monotonic clock, WallMS is the time of day in milliseconds since 1970.
	Now    time.Duration
	WallMS int64
	Ledger *ledger.Ledger
	Fleet  *fleet.Table
	// Reserved is the set of servers, by ID, that get no new work because their machines are about to be taken down for
	// upkeep or moved to another pool.
	Reserved map[string]bool
	// Due is the set of servers, by ID, whose machines have an upkeep before them. Lasting tasks avoid them.
	Due map[string]bool
	// Evacuated is the set of data centres in which no task may start.
	Evacuated map[string]bool
	// MaxStarts bounds the starts, but doesn't split a gang; 0 means the usual bound of a plan.
	MaxStarts int
	// Cold bounds the starts on servers that are slow after their start.
	Cold ColdSettings
}

// Plan returns the starts to order now, the most urgent first.
func Plan(in *Input) []ledger.Start { return plan(newPlanner(in)) }

func plan(p *planner) []ledger.Start {
	for _, c := range p.candidates() {
		if len(p.starts) >= maxStartsPerPlan || p.full() {
			break
		}
		p.place(c)
	}
	return p.starts
}

// full reports whether the plan has MaxStarts.
func (p *planner) full() bool { return p.MaxStarts > 0 && len(p.starts) >= p.MaxStarts }

// FreeCapacity reserves capacity on other servers for running tasks that are to be stopped. Each reservation reduces what
// later calls find free.
type FreeCapacity struct {
	planner *planner
	// reserved is the number of reservations by step, named by its task 0, and server. They count for the step's Spread.
	reserved map[ledger.TaskID]map[string]int
}

// NewFreeCapacity returns the free capacity of the servers in the input.
func NewFreeCapacity(in *Input) *FreeCapacity {
	return &FreeCapacity{planner: newPlanner(in), reserved: make(map[ledger.TaskID]map[string]int)}
}

// ReserveElsewhere reports whether another server has the capacity for a task and, if so, reserves it there.
func (f *FreeCapacity) ReserveElsewhere(id ledger.TaskID) bool {
	j, t := f.planner.Ledger.Task(id)
	if t == nil {
		return false
	}
	q := f.planner.Ledger.QueueOf(j)
	if q == nil {
		return false
	}
	c := candidate{job: j, occurrence: id.Occurrence, step: id.Step, pool: q.Pool}
	tasksOn := liveTasksByServer(c)
	step := id
	step.Index = 0
	for server, n := range f.reserved[step] {
		tasksOn[server] += n
	}
	// The task's own server must not be chosen. A spread limit excludes it here. Without one it may still be chosen; then the
	// check below reports that no other server has the capacity, without trying the next best one.
	tasksOn[t.Worker] = max(tasksOn[t.Worker], j.Steps[id.Step].Spread)
	target := f.planner.chooseServer(c, tasksOn)
	if target == nil || target.server.ID == t.Worker {
		return false
	}
	target.free = target.free.Minus(j.Steps[id.Step].CapacityUse())
	if target.cold {
		target.planned++
	}
	if f.reserved[step] == nil {
		f.reserved[step] = make(map[string]int)
	}
	f.reserved[step][target.server.ID]++
	return true
}

// planner holds the state of one plan while it is computed.
type planner struct {
	*Input
	serversByPool map[string][]*serverState
	plannedUsage  map[string]ledger.Resources // needs of the planned starts, by workspace
	starts        []ledger.Start
	// largest holds, by pool, the largest free amount of each resource on any one server when the plan began. A task that
	// needs more fits nowhere.
	largest map[string]ledger.Resources
	// unplaced holds, by pool, needs for which no server was found. Free capacity only shrinks while a plan is made, so a
	// task that needs as much or more fits nowhere either.
	unplaced map[string][]unplacedNeed
	// exhaustive turns the two shortcuts off. Tests compare the plans.
	exhaustive bool
}

// unplacedNeed is a need for which no server with a label was found.
type unplacedNeed struct {
	need  ledger.Resources
	label string
}

// maxUnplaced bounds the recorded needs of a pool: each candidate is compared with all of them.
const maxUnplaced = 16

// serverState is a usable server with its free capacity.
type serverState struct {
	server     *fleet.Server
	free       ledger.Resources
	hasLasting bool // it runs lasting tasks
	trialOnly  bool // it may get a single run, to find out whether it works again
	trialLater bool // a trial run has just begun or failed, so that it may not get one now
	cooledDown bool // it may host members of a gang although it is trialOnly
	slow       bool
	due        bool   // its machine has an upkeep before it
	planned    int    // starts in this plan
	plannedFor string // the job of the newest of them
	// isolatedFor is the job whose suspected task has the server to itself; empty if any task may start there.
	isolatedFor string
	load        *serverLoad // nil until it is asked for
	cold        bool        // it is slow after its start
	// coldStarts is how many starts a cold server may get in this plan. If coldGrows is set, it may also use its capacity but for
	// coldWithheld.
	coldStarts   int
	coldGrows    bool
	coldWithheld ledger.Resources
}

func newPlanner(in *Input) *planner {
	p := &planner{
		Input: in, serversByPool: make(map[string][]*serverState), plannedUsage: make(map[string]ledger.Resources),
		largest: make(map[string]ledger.Resources), unplaced: make(map[string][]unplacedNeed),
	}
	states := make([]serverState, 0, len(in.Fleet.All()))
	for id, s := range in.Fleet.All() {
		// Without a reading of the server's clock no lease can be granted to it.
		if s.Draining || in.Reserved[id] || in.Evacuated[s.DataCentre] || !s.Clock.Known() || !s.Usable(in.Now, AnnouncementTimeout) {
			continue
		}
		suspect := s.Health.Suspect()
		trialDue, cooledDown := s.Health.TrialDue(in.Now), s.Health.CooledDown(in.Now)
		if suspect && !trialDue && !cooledDown {
			continue
		}
		states = append(states, serverState{
			server: s, free: s.Capacity.Minus(in.Ledger.Load(id)), hasLasting: in.Ledger.LastingOn(id) > 0,
			trialOnly: suspect, trialLater: suspect && !trialDue, cooledDown: cooledDown, slow: s.Health.Slow(in.Now), due: in.Due[id],
		})
		r := &states[len(states)-1]
		in.limitCold(r)
		p.serversByPool[s.Pool] = append(p.serversByPool[s.Pool], r)
		most := p.largest[s.Pool]
		p.largest[s.Pool] = ledger.Resources{CPU: max(most.CPU, r.free.CPU), MemMB: max(most.MemMB, r.free.MemMB), GPU: max(most.GPU, r.free.GPU)}
	}
	for _, list := range p.serversByPool {
		slices.SortFunc(list, func(a, b *serverState) int { return strings.Compare(a.server.ID, b.server.ID) })
	}
	p.isolate()
	return p
}

// place plans starts for as many waiting tasks of a candidate as fit.
func (p *planner) place(c candidate) {
	if c.job.Steps[c.step].Gang {
		p.placeGang(c)
		return
	}
	step := &c.job.Steps[c.step]
	tasksOn := liveTasksByServer(c)
	if len(p.Ledger.Suspects()) > 0 && !p.placeSuspects(c, tasksOn) {
		return
	}
	if p.knownUnplaced(c) {
		return
	}
	for i := range step.Count {
		t := taskRecord(c, i)
		if t.Phase != ledger.Waiting || p.isolates(&t) {
			continue
		}
		if p.full() || !p.withinLimit(c.job.Workspace, step.Need) {
			return
		}
		r := p.chooseServer(c, tasksOn)
		if r == nil {
			p.recordUnplaced(c)
			return
		}
		p.start(c, i, t.Run+1, r)
		tasksOn[r.server.ID]++
	}
}

// knownUnplaced reports whether no server was found for a task that needs no more than one of the candidate.
func (p *planner) knownUnplaced(c candidate) bool {
	step := &c.job.Steps[c.step]
	need := step.CapacityUse()
	return !p.exhaustive && slices.ContainsFunc(p.unplaced[c.pool], func(u unplacedNeed) bool {
		return (u.label == "" || u.label == step.Label) && u.need.FitsIn(need)
	})
}

// recordUnplaced records that no server was found for a task of the candidate. A spread limit says nothing about others.
func (p *planner) recordUnplaced(c candidate) {
	if step := &c.job.Steps[c.step]; step.Spread == 0 && len(p.unplaced[c.pool]) < maxUnplaced {
		p.unplaced[c.pool] = append(p.unplaced[c.pool], unplacedNeed{step.CapacityUse(), step.Label})
	}
}

// taskRecord returns the record of a task, or an empty one if its occurrence hasn't begun.
func taskRecord(c candidate, index int) ledger.Task {
	if o := c.job.Occurrences[c.occurrence]; o != nil {
		return o.Steps[c.step].Tasks[index]
	}
	return ledger.Task{}
}

// liveTasksByServer returns the number of live tasks of the candidate's step on each server.
func liveTasksByServer(c candidate) map[string]int {
	tasksOn := make(map[string]int)
	if o := c.job.Occurrences[c.occurrence]; o != nil {
		for _, t := range o.Steps[c.step].Tasks {
			if t.Phase == ledger.Live {
				tasksOn[t.Worker]++
			}
		}
	}
	return tasksOn
}

func (p *planner) withinLimit(workspace string, need ledger.Resources) bool {
	return p.Ledger.WithinLimit(workspace, p.plannedUsage[workspace].Plus(need))
}

func (p *planner) start(c candidate, index, run int, r *serverState) {
	step := &c.job.Steps[c.step]
	p.starts = append(p.starts, ledger.Start{
		Task: ledger.TaskID{Job: c.job.Key(), Occurrence: c.occurrence, Step: c.step, Index: index}, Run: run,
		Worker: r.server.ID, Born: r.server.Born,
	})
	r.free = r.free.Minus(step.CapacityUse())
	r.hasLasting = r.hasLasting || step.Lasting
	r.planned++
	r.plannedFor = c.job.Key()
	p.plannedUsage[c.job.Workspace] = p.plannedUsage[c.job.Workspace].Plus(step.Need)
}

// chooseServer returns the best server for one more task of a step, or nil if none fits. tasksOn is the number of the
// step's tasks on each server.
func (p *planner) chooseServer(c candidate, tasksOn map[string]int) *serverState {
	return p.chooseServerAmong(c, tasksOn, func(r *serverState) bool { return r.isolatedFor == "" })
}

// chooseServerAmong returns the best server for one more task of a step among those that allow accepts, or nil if none fits.
func (p *planner) chooseServerAmong(c candidate, tasksOn map[string]int, allow func(*serverState) bool) *serverState {
	step := &c.job.Steps[c.step]
	need, crowding := step.CapacityUse(), p.crowdingOf(c, tasksOn)
	var best *serverState
	for _, r := range p.serversByPool[c.pool] {
		if !allow(r) || !need.FitsIn(r.free) || (step.Label != "" && !r.server.Has(step.Label)) {
			continue
		}
		if step.Spread > 0 && tasksOn[r.server.ID] >= step.Spread {
			continue
		}
		if r.trialOnly && (r.planned > 0 || r.trialLater) || !r.carries(step, 0, r.free) {
			continue
		}
		if best == nil || preferable(step, crowding, r, best) {
			best = r
		}
	}
	return best
}

// preferable reports whether a is preferred to b. The criteria in order are: a server that isn't suspect, one that isn't
// slow, the rack of the data, for lasting tasks those of compareForLasting, one that isn't cold, and the least free CPU, so that
// other servers stay empty for large tasks and for upkeep.
func preferable(step *ledger.Step, crowding *crowding, a, b *serverState) bool {
	if a.trialOnly != b.trialOnly {
		return b.trialOnly
	}
	if a.slow != b.slow {
		return b.slow
	}
	if step.Rack != "" && (a.server.Rack() == step.Rack) != (b.server.Rack() == step.Rack) {
		return a.server.Rack() == step.Rack
	}
	if step.Lasting {
		if c := crowding.compareForLasting(a, b); c != 0 {
			return c < 0
		}
	}
	if a.cold != b.cold {
		return b.cold
	}
	return a.free.CPU < b.free.CPU
}
