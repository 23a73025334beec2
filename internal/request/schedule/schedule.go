// Package schedule decides which waiting tasks start now and where. It is a pure function over the ledger, the
// fleet and the time; it reads no clock and does no I/O.
package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"laburnumrouter/internal/request/fleet"
	"laburnumrouter/internal/request/ledger"
)

const (
	// Silence is how long a server may go unheard before it gets no more work: two announcements of 1.5 s
	// (heartbeat_ms) may be lost.
	Silence = 3500 * time.Millisecond
	// maxStarts bounds the starts of one plan, so that one entry of the log stays small and the first orders
	// leave soon. At 16 jobs of 10 tasks a second a plan every 20 ms has 3 on average.
	maxStarts = 256
	// lateFactor: a job is worth something until three times its objective (RULES, Jobs, Credit).
	lateFactor = 3
)

// Input is what a plan is made from.
type Input struct {
	// Now is on the steady clock, WallMS is the time of day in milliseconds since 1970.
	Now    time.Duration
	WallMS int64
	Ledger *ledger.Ledger
	Fleet  *fleet.Table
	// Reserved are servers that get nothing new, by ID: their machines are about to leave.
	Reserved map[string]bool
}

// Plan returns the starts that hold now, the most urgent first.
func Plan(in *Input) []ledger.Start {
	p := newPlanner(in)
	for _, c := range p.candidates() {
		if len(p.starts) >= maxStarts {
			break
		}
		p.place(c)
	}
	return p.starts
}

// Rooms tells whether tasks that run now could run on another server as well.
type Rooms struct{ planner *planner }

// NewRooms looks at what is free.
func NewRooms(in *Input) *Rooms { return &Rooms{newPlanner(in)} }

// Take reports whether another server has room for a task, and takes that room for the task.
func (r *Rooms) Take(id ledger.TaskID) bool {
	j, t := r.planner.Ledger.Task(id)
	q := r.planner.Ledger.Index().Queue(j.Queue)
	if t == nil || q == nil {
		return false
	}
	c := candidate{job: j, k: id.K, step: id.Step, pool: q.Pool}
	on := spreadOf(c)
	// The task's own server is no other one.
	on[t.Worker] = max(on[t.Worker], j.Steps[id.Step].Spread)
	room := r.planner.choose(c, on)
	if room == nil || room.server.ID == t.Worker {
		return false
	}
	room.free = room.free.Minus(j.Steps[id.Step].Charge())
	return true
}

// planner carries one plan as it grows.
type planner struct {
	*Input
	rooms  map[string][]*room // by pool
	used   map[string]ledger.Resources
	starts []ledger.Start
}

// room is a server and what is still free on it.
type room struct {
	server  *fleet.Server
	free    ledger.Resources
	lasting bool // lasting tasks run there
	trial   bool // one run only, to see whether the server works again
	slow    bool
	runs    int
}

func newPlanner(in *Input) *planner {
	p := &planner{Input: in, rooms: make(map[string][]*room), used: make(map[string]ledger.Resources)}
	for id, s := range in.Fleet.All() {
		// Without a reading of its clock no lease can be granted.
		if s.Draining || in.Reserved[id] || !s.Clock.Known() || !s.Reachable(in.Now, Silence) {
			continue
		}
		r := &room{server: s, free: s.Capacity.Minus(in.Ledger.Load(id)), slow: s.Health.Slow(in.Now)}
		for task := range in.Ledger.LiveOn(id) {
			r.runs++
			r.lasting = r.lasting || in.Ledger.Job(task.Job).Steps[task.Step].Lasting
		}
		if s.Health.Suspect() {
			if r.runs > 0 || !s.Health.TrialDue(in.Now) {
				continue
			}
			r.trial = true
		}
		p.rooms[s.Pool] = append(p.rooms[s.Pool], r)
	}
	for _, list := range p.rooms {
		slices.SortFunc(list, func(a, b *room) int { return strings.Compare(a.server.ID, b.server.ID) })
	}
	return p
}

// candidate is a step of an occurrence with tasks that wait and may start.
type candidate struct {
	job  *ledger.Job
	k    int
	step int
	pool string
	rank rank
}

// rank orders candidates; lower comes first.
type rank struct {
	// band separates lasting tasks, jobs that can still meet their objective, and late ones.
	band int
	// by orders within a band: the time left before the job must have started, or for late jobs the work left.
	by int64
	id string
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.by, b.by), strings.Compare(a.id, b.id))
}

// Bands of rank.
const (
	bandLasting = iota
	bandOnTime
	bandLate
	bandHopeless
)

// candidates returns what may start, the most urgent first.
func (p *planner) candidates() []candidate {
	var list []candidate
	index := p.Ledger.Index()
	if index == nil {
		return nil
	}
	for _, j := range p.Ledger.Open() {
		if j.State.Final() {
			continue
		}
		q := index.Queue(j.Queue)
		if q == nil || len(p.rooms[q.Pool]) == 0 {
			continue
		}
		for _, k := range p.dueOccurrences(j) {
			list = p.appendSteps(list, j, k, q.Pool, q.SlackFactor, q.ObjectiveMS)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return a.rank.compare(b.rank) })
	return list
}

// dueOccurrences returns the occurrences that are due and not done.
func (p *planner) dueOccurrences(j *ledger.Job) []int {
	if j.Times == 0 {
		return []int{0}
	}
	var due []int
	for k := range j.Times {
		if j.DueMS(k) > p.WallMS {
			break
		}
		if o := j.Occurrences[k]; o == nil || o.Done < len(j.Steps) {
			due = append(due, k)
		}
	}
	return due
}

func (p *planner) appendSteps(list []candidate, j *ledger.Job, k int, pool string, slack float64, objectiveMS int64) []candidate {
	rest := remaining(j, k)
	for s := range j.Steps {
		if !waits(j, k, s) {
			continue
		}
		list = append(list, candidate{job: j, k: k, step: s, pool: pool, rank: p.rankOf(j, k, s, rest, slack, objectiveMS)})
	}
	return list
}

// waits reports whether a step's turn has come and a task of it waits. A gang waits as a whole.
func waits(j *ledger.Job, k, step int) bool {
	o := j.Occurrences[k]
	if o == nil {
		return len(j.Steps[step].After) == 0
	}
	for _, before := range j.Steps[step].After {
		if o.Steps[before].Done < j.Steps[before].Count {
			return false
		}
	}
	waiting := 0
	for i := range o.Steps[step].Tasks {
		if o.Steps[step].Tasks[i].Phase == ledger.Waiting {
			waiting++
		}
	}
	if j.Steps[step].Gang {
		return waiting == j.Steps[step].Count
	}
	return waiting > 0
}

// chain is the work that is left of an occurrence.
type chain struct {
	// longestMS is the longest chain of estimates from each step on; totalMS from the job's start.
	fromMS  []int64
	totalMS int64
	// coreMS is what is left to do in thousandths of a core times milliseconds.
	coreMS int64
}

// remaining works out the chain of an occurrence.
func remaining(j *ledger.Job, k int) chain {
	c := chain{fromMS: make([]int64, len(j.Steps))}
	o := j.Occurrences[k]
	for s := len(j.Steps) - 1; s >= 0; s-- {
		c.fromMS[s] += j.Steps[s].EstimateMS
		for _, before := range j.Steps[s].After {
			c.fromMS[before] = max(c.fromMS[before], c.fromMS[s])
		}
		c.totalMS = max(c.totalMS, c.fromMS[s])
		left := j.Steps[s].Count
		if o != nil {
			left -= o.Steps[s].Done
		}
		c.coreMS += int64(left) * j.Steps[s].Need.CPU * j.Steps[s].EstimateMS
	}
	return c
}

func (p *planner) rankOf(j *ledger.Job, k, step int, rest chain, slack float64, objectiveMS int64) rank {
	id := ledger.TaskID{Job: j.ID, K: k, Step: step}.String()
	if j.Steps[step].Lasting {
		return rank{band: bandLasting, by: j.AcceptedMS, id: id}
	}
	begun := max(j.AcceptedMS, j.DueMS(k))
	objective := int64(slack*float64(rest.totalMS)) + objectiveMS
	left := begun + objective - p.WallMS - rest.fromMS[step]
	switch {
	case left >= 0:
		return rank{band: bandOnTime, by: left, id: id}
	case left+(lateFactor-1)*objective >= 0:
		return rank{band: bandLate, by: rest.coreMS, id: id}
	}
	return rank{band: bandHopeless, by: rest.coreMS, id: id}
}

// place puts as many waiting tasks of a candidate as fit.
func (p *planner) place(c candidate) {
	if c.job.Steps[c.step].Gang {
		p.placeGang(c)
		return
	}
	step := &c.job.Steps[c.step]
	on := spreadOf(c)
	for i := range step.Count {
		t := recorded(c, i)
		if t.Phase != ledger.Waiting {
			continue
		}
		if !p.withinLimit(c.job.Team, step.Need) {
			return
		}
		r := p.choose(c, on)
		if r == nil {
			return
		}
		p.start(c, i, t.Run+1, r)
		on[r.server.ID]++
	}
}

// recorded returns the record of a task; one of an occurrence that hasn't begun is new.
func recorded(c candidate, index int) ledger.Task {
	if o := c.job.Occurrences[c.k]; o != nil {
		return o.Steps[c.step].Tasks[index]
	}
	return ledger.Task{}
}

// spreadOf counts the live tasks of the step by server.
func spreadOf(c candidate) map[string]int {
	on := make(map[string]int)
	if o := c.job.Occurrences[c.k]; o != nil {
		for _, t := range o.Steps[c.step].Tasks {
			if t.Phase == ledger.Live {
				on[t.Worker]++
			}
		}
	}
	return on
}

func (p *planner) withinLimit(team string, need ledger.Resources) bool {
	return p.Ledger.WithinLimit(team, p.used[team].Plus(need))
}

func (p *planner) start(c candidate, index, run int, r *room) {
	step := &c.job.Steps[c.step]
	p.starts = append(p.starts, ledger.Start{
		Task: ledger.TaskID{Job: c.job.ID, K: c.k, Step: c.step, Index: index}, Run: run,
		Worker: r.server.ID, Born: r.server.Born,
	})
	r.free = r.free.Minus(step.Charge())
	r.lasting = r.lasting || step.Lasting
	r.runs++
	p.used[c.job.Team] = p.used[c.job.Team].Plus(step.Need)
}

// choose returns the server for one more task of a step, or nil. on counts the step's tasks by server.
func (p *planner) choose(c candidate, on map[string]int) *room {
	step := &c.job.Steps[c.step]
	var best *room
	for _, r := range p.rooms[c.pool] {
		if !step.Charge().Within(r.free) || (step.Label != "" && !r.server.Has(step.Label)) {
			continue
		}
		if step.Spread > 0 && on[r.server.ID] >= step.Spread {
			continue
		}
		if r.trial && r.runs > 0 {
			continue
		}
		if best == nil || better(step, r, best) {
			best = r
		}
	}
	return best
}

// better reports whether a is to be preferred to b: a sound server, the rack of the data, for lasting tasks a
// server that already has some, and then the fullest, so that others stay empty for large tasks and for upkeep.
func better(step *ledger.Step, a, b *room) bool {
	if a.trial != b.trial {
		return b.trial
	}
	if a.slow != b.slow {
		return b.slow
	}
	if step.Rack != "" && (a.server.Rack() == step.Rack) != (b.server.Rack() == step.Rack) {
		return a.server.Rack() == step.Rack
	}
	if step.Lasting && a.lasting != b.lasting {
		return a.lasting
	}
	return a.free.CPU < b.free.CPU
}

// placeGang puts all tasks of a gang or none. On one rack if the gang asks for it and a rack has room.
func (p *planner) placeGang(c candidate) {
	step := &c.job.Steps[c.step]
	if !p.withinLimit(c.job.Team, step.Need.Times(step.Count)) {
		return
	}
	run := 1
	for i := range step.Count {
		run = max(run, recorded(c, i).Run+1)
	}
	chosen := p.gangRooms(c, func(*room) bool { return true })
	if step.RackLocal {
		if local := p.gangOnRack(c); local != nil {
			chosen = local
		}
	}
	for i, r := range chosen {
		p.start(c, i, run, r)
	}
}

// gangOnRack returns rooms for a whole gang on one rack, or nil.
func (p *planner) gangOnRack(c candidate) []*room {
	var racks []string
	for _, r := range p.rooms[c.pool] {
		if rack := r.server.Rack(); rack != "" && !slices.Contains(racks, rack) {
			racks = append(racks, rack)
		}
	}
	if near := c.job.Steps[c.step].Rack; near != "" {
		slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(rackOrder(a, near), rackOrder(b, near)) })
	}
	for _, rack := range racks {
		if chosen := p.gangRooms(c, func(r *room) bool { return r.server.Rack() == rack }); chosen != nil {
			return chosen
		}
	}
	return nil
}

func rackOrder(rack, near string) int {
	if rack == near {
		return 0
	}
	return 1
}

// gangRooms returns a room for each task of a gang among those that allow accepts, or nil.
func (p *planner) gangRooms(c candidate, allow func(*room) bool) []*room {
	step := &c.job.Steps[c.step]
	on := make(map[string]int)
	taken := make(map[*room]ledger.Resources)
	var chosen []*room
	for range step.Count {
		var best *room
		for _, r := range p.rooms[c.pool] {
			fits := step.Charge().Within(r.free.Minus(taken[r])) && (step.Label == "" || r.server.Has(step.Label))
			apart := step.Spread == 0 || on[r.server.ID] < step.Spread
			if !fits || !apart || r.trial || !allow(r) {
				continue
			}
			if best == nil || better(step, r, best) {
				best = r
			}
		}
		if best == nil {
			return nil
		}
		chosen = append(chosen, best)
		taken[best] = taken[best].Plus(step.Charge())
		on[best.server.ID]++
	}
	return chosen
}
