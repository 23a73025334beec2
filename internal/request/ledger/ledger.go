package ledger

import (
	"encoding/json"

	"laburnumrouter/internal/version/accepted"
)

// retentionMS is how long the state of a finished job can be asked for: five times status_s (120 s) of the
// users' bounds.
const retentionMS = 600_000

// Wave is the record of a maintenance wave.
type Wave struct {
	WaveOrder
	StartedMS int64
	// Machines holds the phase of each machine; those that aren't listed are due.
	Phases map[string]UpkeepPhase
}

// Completed reports whether every machine had its upkeep.
func (w *Wave) Completed() bool {
	for _, m := range w.Machines {
		if w.Phases[m] != UpkeepOver {
			return false
		}
	}
	return true
}

// Down counts machines whose upkeep was ordered and isn't over.
func (w *Wave) Down() int {
	n := 0
	for _, p := range w.Phases {
		if p == UpkeepOrdered {
			n++
		}
	}
	return n
}

// contents is what a snapshot holds.
type contents struct {
	Config  *accepted.Config `json:",omitempty"`
	Jobs    map[string]*Job
	Servers map[string]Server `json:",omitempty"`
	Waves   map[int64]*Wave   `json:",omitempty"`
	// Orders holds, by machine, the term of the leader that last ordered it.
	Orders map[string]uint64 `json:",omitempty"`
	// Sizes are the numbers of machines that the pools had first.
	Sizes map[string]int `json:",omitempty"`
	// ClockMS is the highest time of day that a command carried.
	ClockMS int64
}

// Ledger is the state machine. It is not safe for concurrent use.
type Ledger struct {
	contents
	index *accepted.Index
	// open holds jobs that aren't final or have live runs.
	open map[string]*Job
	// byWorker holds the live runs of each backend server.
	byWorker map[string]map[TaskID]*Task
	usage    map[string]Resources
	// load is what the live runs of a backend server take of its capacity.
	load map[string]Resources
	// waiting counts the jobs of a queue of which nothing has started.
	waiting map[string]int
	// final lists finished jobs from the oldest on.
	final []string
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{contents: contents{Jobs: make(map[string]*Job), Servers: make(map[string]Server), Waves: make(map[int64]*Wave), Sizes: make(map[string]int), Orders: make(map[string]uint64)}}
	l.reindex()
	return l
}

// Snapshot encodes the whole state.
func (l *Ledger) Snapshot() ([]byte, error) {
	data, err := json.Marshal(&l.contents)
	return data, Error.Wrap(err)
}

// Restore replaces the state by an encoded one.
func (l *Ledger) Restore(data []byte) error {
	fresh := New()
	if err := json.Unmarshal(data, &fresh.contents); err != nil {
		return Error.Wrap(err)
	}
	fresh.reindex()
	*l = *fresh
	return nil
}

// reindex builds everything that is derived from the contents.
func (l *Ledger) reindex() {
	l.index = nil
	if l.Config != nil {
		l.index = accepted.NewIndex(l.Config)
	}
	l.open = make(map[string]*Job)
	l.byWorker = make(map[string]map[TaskID]*Task)
	l.usage = make(map[string]Resources)
	l.load = make(map[string]Resources)
	l.waiting = make(map[string]int)
	l.final = nil
	for id, j := range l.Jobs {
		if j.State.Final() {
			l.final = append(l.final, id)
		} else if !j.Started {
			l.waiting[j.Queue]++
		}
		if !j.State.Final() || j.Live > 0 {
			l.open[id] = j
			if j.Occurrences == nil {
				j.Occurrences = make(map[int]*Occurrence)
			}
		}
		l.eachLive(j, l.addLive)
	}
	l.sortFinal()
}

// eachLive calls f for each task of a job that has a live run.
func (l *Ledger) eachLive(j *Job, f func(j *Job, id TaskID, t *Task)) {
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				if t := &o.Steps[s].Tasks[i]; t.Phase == Live {
					f(j, TaskID{Job: j.ID, K: k, Step: s, Index: i}, t)
				}
			}
		}
	}
}

func (l *Ledger) addLive(j *Job, id TaskID, t *Task) {
	runs := l.byWorker[t.Worker]
	if runs == nil {
		runs = make(map[TaskID]*Task)
		l.byWorker[t.Worker] = runs
	}
	runs[id] = t
	l.usage[j.Team] = l.usage[j.Team].Plus(j.Steps[id.Step].Need)
	l.load[t.Worker] = l.load[t.Worker].Plus(j.Steps[id.Step].Charge())
}

func (l *Ledger) dropLive(j *Job, id TaskID, t *Task) {
	delete(l.byWorker[t.Worker], id)
	l.load[t.Worker] = l.load[t.Worker].Minus(j.Steps[id.Step].Charge())
	if len(l.byWorker[t.Worker]) == 0 {
		delete(l.byWorker, t.Worker)
		delete(l.load, t.Worker)
	}
	l.usage[j.Team] = l.usage[j.Team].Minus(j.Steps[id.Step].Need)
}

// Index returns the look-up tables of the configuration in force; nil before the first one.
func (l *Ledger) Index() *accepted.Index { return l.index }

// Job returns the record of a job, or nil.
func (l *Ledger) Job(id string) *Job { return l.Jobs[id] }

// Task returns the record of a task and its job, or nil.
func (l *Ledger) Task(id TaskID) (*Job, *Task) {
	j := l.Jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.task(id)
}

// Open returns the jobs that aren't final or have live runs.
func (l *Ledger) Open() map[string]*Job { return l.open }

// LiveOn returns the live runs of a backend server; the caller doesn't change the map.
func (l *Ledger) LiveOn(worker string) map[TaskID]*Task { return l.byWorker[worker] }

// Workers returns the backend servers that have live runs.
func (l *Ledger) Workers() []string {
	list := make([]string, 0, len(l.byWorker))
	for w := range l.byWorker {
		list = append(list, w)
	}
	return list
}

// Usage returns what a team has running or ordered.
func (l *Ledger) Usage(team string) Resources { return l.usage[team] }

// Pending counts the jobs of a queue of which nothing has started.
func (l *Ledger) Pending(queue string) int { return l.waiting[queue] }

// Load is what the live runs of a backend server take of its capacity.
func (l *Ledger) Load(worker string) Resources { return l.load[worker] }

// KnownServers returns the backend servers that are known, by ID; the caller doesn't change the map.
func (l *Ledger) KnownServers() map[string]Server { return l.Servers }

// Size returns the number of machines that a pool had first; 0 if it isn't known.
func (l *Ledger) Size(pool string) int { return l.Sizes[pool] }

// OrderedBy returns the term of the leader that last ordered a machine; 0 if none did.
func (l *Ledger) OrderedBy(machine string) uint64 { return l.Orders[machine] }

// Wave returns a wave, or nil.
func (l *Ledger) Wave(number int64) *Wave { return l.Waves[number] }

// limitOf returns a team's upper limit; ok is false if it has none.
func (l *Ledger) limitOf(team string) (Resources, bool) {
	if l.index == nil || team == "" {
		return Resources{}, false
	}
	t := l.index.Team(team)
	if t == nil {
		return Resources{}, false
	}
	limit := Resources{CPU: t.CPU, MemMB: t.MemMB, GPU: t.GPU}
	return limit, limit != Resources{}
}

// WithinLimit reports whether a team may run more on top of what it has.
func (l *Ledger) WithinLimit(team string, more Resources) bool {
	limit, limited := l.limitOf(team)
	if !limited {
		return true
	}
	total := l.usage[team].Plus(more)
	return (limit.CPU == 0 || total.CPU <= limit.CPU) &&
		(limit.MemMB == 0 || total.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || total.GPU <= limit.GPU)
}
