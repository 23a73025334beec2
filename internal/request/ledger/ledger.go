package ledger

import (
	"encoding/json"
	"math/bits"

	"laburnumrouter/internal/version/accepted"
)

// contents is the part of the state that a snapshot stores; everything else in Ledger is derived from it.
type contents struct {
	Config *accepted.Config `json:",omitempty"`
	// PackedConfig replaces Config in a snapshot; it is nil otherwise (Command.PackedConfig).
	PackedConfig []byte `json:",omitempty"`
	chunkState
	// Jobs holds the jobs by key.
	Jobs    map[string]*Job
	Servers map[string]Server `json:",omitempty"`
	Waves   map[int64]*Wave   `json:",omitempty"`
	// Orders holds, by machine, the term of the leader that last ordered its upkeep or its move to another pool.
	Orders map[string]uint64 `json:",omitempty"`
	// Intents holds, by machine, what was last ordered for it. Members of earlier versions don't have it; no command depends on it.
	Intents map[string]MachineIntent `json:",omitempty"`
	// Sizes holds, by pool, the number of machines that it had before any move. Later moves don't change it.
	Sizes map[string]int `json:",omitempty"`
	// Evacuations holds the state of each data centre for which there was an order.
	Evacuations map[string]*Evacuation `json:",omitempty"`
	// FormerWorkspaces holds the former workspaces by name, from FormatPlaces on.
	FormerWorkspaces map[string]FormerWorkspace `json:",omitempty"`
	// Departures lists the incarnations of backend servers that left in the last departureRetentionMS, the oldest first.
	Departures []Departure `json:",omitempty"`
	// ClockMS is the highest NowMS of all applied commands.
	ClockMS int64
	// Format is the format of commands that all members understand.
	Format int `json:",omitempty"`
}

// packedConfig is a configuration as the log or a snapshot held it; bytes is nil if it wasn't packed there.
type packedConfig struct {
	config *accepted.Config
	bytes  []byte
}

// Ledger is the replicated state machine of jobs. It is not safe for concurrent use.
type Ledger struct {
	contents
	index  *accepted.Index
	packed packedConfig
	// chunkData holds the data of the chunks of all lists of chunkState.
	chunkData map[accepted.Digest][]byte
	// chunksBytes, stagedBytes and formerBytes are the approximate sizes of these lists in a snapshot.
	chunksBytes, stagedBytes, formerBytes int
	// assembled is a configuration whose manifest the leader is about to propose.
	assembled assembled
	// open holds the jobs that aren't in a final state, and those in a final state that still have live runs.
	open map[string]*Job
	// bytes is the approximate size of all jobs, servers, waves and departures.
	bytes int
	// waiting holds the jobs that aren't in a final state and have waiting tasks, by class.
	waiting map[WaitingClass]map[string]*Job
	// numbered holds the keys of the jobs that have a number, by ID.
	numbered map[string][]string
	// placeless is the number of jobs whose place wasn't known when the index was built.
	placeless int
	// unstarted is the number of jobs that are neither started nor in a final state, by place.
	unstarted map[accepted.Place]int
	// lasting is the number of live runs of lasting tasks, by backend server.
	lasting map[string]int
	// liveRuns holds the live runs by backend server.
	liveRuns map[string]map[TaskID]*Task
	// usage is the sum of the needs of the live runs, by workspace.
	usage map[string]Resources
	// load is the capacity that the live runs take up, by backend server.
	load map[string]Resources
	// suspects and unresolved hold, of unfinished jobs, the tasks that may crash backend servers and those with unresolved runs.
	suspects, unresolved map[TaskID]*Task
	// evacuated is the set of evacuated data centres.
	evacuated map[string]bool
	// finished lists the keys of finished jobs, the oldest first.
	finished []string
	// finishedBytes is the size of the records of finished jobs that counts for their expiry.
	finishedBytes int
	// completedWaves is the number of waves that have a digest.
	completedWaves int
	// departed holds, by server, the newest incarnation in Departures.
	departed map[string]int64
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{contents: contents{Jobs: make(map[string]*Job), Servers: make(map[string]Server), Waves: make(map[int64]*Wave), Sizes: make(map[string]int), Orders: make(map[string]uint64), Intents: make(map[string]MachineIntent), Evacuations: make(map[string]*Evacuation)}}
	l.reindex()
	return l
}

// Snapshot encodes the state.
func (l *Ledger) Snapshot() ([]byte, error) {
	stored := l.contents
	if l.Manifest != nil {
		stored.Config = nil
	} else if l.packed.bytes != nil && l.packed.config == l.Config {
		stored.Config, stored.PackedConfig = nil, l.packed.bytes
	}
	data, err := json.Marshal(&stored)
	return data, Error.Wrap(err)
}

// Restore replaces the state by one that Snapshot encoded. If it can't be read, the state stays as it is.
func (l *Ledger) Restore(data []byte) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Error.New("the snapshot is inconsistent: %v", cause)
		}
	}()
	fresh := New()
	if err := json.Unmarshal(data, &fresh.contents); err != nil {
		return Error.Wrap(err)
	}
	if fresh.Jobs == nil || fresh.Servers == nil || fresh.Waves == nil || fresh.Sizes == nil || fresh.Orders == nil {
		return Error.New("the snapshot lacks a part of the state")
	}
	if fresh.PackedConfig != nil {
		config, err := accepted.Unpack(fresh.PackedConfig)
		if err != nil {
			return Error.Wrap(err)
		}
		fresh.Config, fresh.packed = config, packedConfig{config: config, bytes: fresh.PackedConfig}
		fresh.PackedConfig = nil
	}
	if err := fresh.restoreChunks(); err != nil {
		return err
	}
	if fresh.contents.Intents == nil {
		fresh.contents.Intents = make(map[string]MachineIntent)
	}
	fresh.reindex()
	if fresh.Format < FormatPlaces {
		fresh.placeByName()
	}
	*l = *fresh
	return nil
}

// Reindex rebuilds what is derived from the contents, after a command whose application was broken off.
func (l *Ledger) Reindex() { l.reindex() }

// reindex rebuilds the fields that are derived from the contents.
func (l *Ledger) reindex() {
	l.index = nil
	if l.Config != nil {
		l.index = accepted.NewIndex(l.Config)
	}
	l.boundChunks()
	l.open = make(map[string]*Job)
	l.waiting = make(map[WaitingClass]map[string]*Job)
	l.unstarted, l.lasting = make(map[accepted.Place]int), make(map[string]int)
	l.numbered, l.placeless = make(map[string][]string), 0
	l.liveRuns = make(map[string]map[TaskID]*Task)
	l.usage = make(map[string]Resources)
	l.load = make(map[string]Resources)
	l.suspects, l.unresolved = make(map[TaskID]*Task), make(map[TaskID]*Task)
	l.evacuated = make(map[string]bool)
	for name, e := range l.Evacuations {
		if e.Evacuated {
			l.evacuated[name] = true
		}
	}
	l.finished, l.finishedBytes = nil, 0
	l.indexDepartures()
	l.completedWaves = 0
	for _, w := range l.Waves {
		if w.Digest != nil {
			l.completedWaves++
		}
	}
	for _, j := range l.Jobs {
		l.addNumbered(j)
		if j.Prefix == "" && j.Queue != "" {
			l.placeless++
		}
		if j.State.Final() {
			l.addFinished(j)
		}
		if !j.State.Final() || j.Live > 0 {
			l.open[j.Key()] = j
			if j.Occurrences == nil {
				j.Occurrences = make(map[int]*Occurrence)
			}
			j.countWaiting()
		}
		if !j.State.Final() && !j.Started {
			l.unstarted[j.Place()]++
		}
		if !j.State.Final() && j.hasWaiting() {
			l.addWaiting(j)
		}
		l.eachLive(j, l.addLive)
		l.indexCrashes(j)
	}
	l.sortFinished()
	l.countBytes()
}

// eachLive calls f for each task of a job that has a live run.
func (l *Ledger) eachLive(j *Job, f func(j *Job, id TaskID, t *Task)) {
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				if t := &o.Steps[s].Tasks[i]; t.Phase == Live {
					f(j, TaskID{Job: j.Key(), Occurrence: k, Step: s, Index: i}, t)
				}
			}
		}
	}
}

func (l *Ledger) addLive(j *Job, id TaskID, t *Task) {
	runs := l.liveRuns[t.Worker]
	if runs == nil {
		runs = make(map[TaskID]*Task)
		l.liveRuns[t.Worker] = runs
	}
	runs[id] = t
	l.usage[j.Workspace] = l.usage[j.Workspace].Plus(j.Steps[id.Step].Need)
	l.load[t.Worker] = l.load[t.Worker].Plus(j.Steps[id.Step].CapacityUse())
	if j.Steps[id.Step].Lasting {
		l.lasting[t.Worker]++
	}
}

func (l *Ledger) dropLive(j *Job, id TaskID, t *Task) {
	delete(l.liveRuns[t.Worker], id)
	l.load[t.Worker] = l.load[t.Worker].Minus(j.Steps[id.Step].CapacityUse())
	if j.Steps[id.Step].Lasting {
		if l.lasting[t.Worker]--; l.lasting[t.Worker] == 0 {
			delete(l.lasting, t.Worker)
		}
	}
	if len(l.liveRuns[t.Worker]) == 0 {
		delete(l.liveRuns, t.Worker)
		delete(l.load, t.Worker)
	}
	l.usage[j.Workspace] = l.usage[j.Workspace].Minus(j.Steps[id.Step].Need)
}

// Index returns the lookup tables of the configuration in force, or nil if there is no configuration yet.
func (l *Ledger) Index() *accepted.Index { return l.index }

// Job returns the record of the job with a key, or nil. Find returns the one that a caller names.
func (l *Ledger) Job(key string) *Job { return l.Jobs[key] }

// Task returns the records of a task's job and of the task. Each is nil if it is unknown.
func (l *Ledger) Task(id TaskID) (*Job, *Task) {
	j := l.Jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	return j, j.task(id)
}

// Open returns the jobs that aren't in a final state, and those in a final state that still have live runs. The caller
// must not change the map.
func (l *Ledger) Open() map[string]*Job { return l.open }

// WaitingClass is a set of jobs of one queue whose tasks need similar amounts.
type WaitingClass struct {
	// Place is that of the queue, and Queue the name that it had when the jobs were submitted.
	Place accepted.Place
	Queue string
	// AtLeast is what each task of each job of the class needs at least: the smallest needs of a job's steps, rounded down to
	// classBits significant bits.
	AtLeast Resources
}

// classBits bounds the number of classes to 32 for each doubling of a need, and the rounding to 3%.
const classBits = 6

func (j *Job) waitingClass() WaitingClass {
	if len(j.Steps) == 0 {
		return WaitingClass{Place: j.Place(), Queue: j.Queue} // Submission.Check refuses such a job, but the log might hold one
	}
	least := j.Steps[0].CapacityUse()
	for i := range j.Steps {
		need := j.Steps[i].CapacityUse()
		least = Resources{min(least.CPU, need.CPU), min(least.MemMB, need.MemMB), min(least.GPU, need.GPU)}
	}
	return WaitingClass{Place: j.Place(), Queue: j.Queue, AtLeast: Resources{roundDown(least.CPU), roundDown(least.MemMB), roundDown(least.GPU)}}
}

func roundDown(n int64) int64 {
	shift := max(0, bits.Len64(uint64(n))-classBits)
	return n >> shift << shift
}

func (l *Ledger) addWaiting(j *Job) {
	class := j.waitingClass()
	if l.waiting[class] == nil {
		l.waiting[class] = make(map[string]*Job)
	}
	l.waiting[class][j.Key()] = j
}

// dropWaiting drops a job whose steps are still there.
func (l *Ledger) dropWaiting(j *Job) {
	class := j.waitingClass()
	delete(l.waiting[class], j.Key())
	if len(l.waiting[class]) == 0 {
		delete(l.waiting, class)
	}
}

// Waiting returns the jobs that aren't in a final state and have waiting tasks, and all scheduled jobs that aren't in one, by
// class. The caller must not change the maps.
func (l *Ledger) Waiting() map[WaitingClass]map[string]*Job { return l.waiting }

// QueueOfClass returns the queue of the jobs of a class by the configuration in force, as QueueOf does for one.
func (l *Ledger) QueueOfClass(c WaitingClass) *accepted.Queue { return l.queueAt(c.Place, c.Queue) }

// Unstarted returns the number of jobs of a place that are neither started nor in a final state.
func (l *Ledger) Unstarted(p accepted.Place) int { return l.unstarted[p] }

// LastingOn returns the number of live runs of lasting tasks on a backend server.
func (l *Ledger) LastingOn(server string) int { return l.lasting[server] }

// LiveOn returns the live runs of a backend server; the caller must not change the map.
func (l *Ledger) LiveOn(server string) map[TaskID]*Task { return l.liveRuns[server] }

// ServersWithRuns returns the IDs of the backend servers that have live runs.
func (l *Ledger) ServersWithRuns() []string {
	list := make([]string, 0, len(l.liveRuns))
	for w := range l.liveRuns {
		list = append(list, w)
	}
	return list
}

// Usage returns the resources of a workspace's live runs.
func (l *Ledger) Usage(workspace string) Resources { return l.usage[workspace] }

// Load returns the capacity that the live runs of a backend server take.
func (l *Ledger) Load(server string) Resources { return l.load[server] }

// KnownServers returns the known backend servers by ID; the caller must not change the map.
func (l *Ledger) KnownServers() map[string]Server { return l.Servers }

// InitialSize returns the number of machines that a pool had before any was moved, or 0 if it isn't known.
func (l *Ledger) InitialSize(pool string) int { return l.Sizes[pool] }

// OrderTerm returns the term of the leader that last ordered a machine's upkeep or move, or 0 if none did.
func (l *Ledger) OrderTerm(machine string) uint64 { return l.Orders[machine] }

// Intents returns what was last ordered for each machine; the caller must not change the map.
func (l *Ledger) Intents() map[string]MachineIntent { return l.contents.Intents }

// Wave returns the record of a wave, or nil if the number is unknown.
func (l *Ledger) Wave(number int64) *Wave { return l.Waves[number] }

// limitOf returns a workspace's upper limit; the second result is false if the workspace has none.
func (l *Ledger) limitOf(workspace string) (Resources, bool) {
	if l.index == nil || workspace == "" {
		return Resources{}, false
	}
	t := l.index.Workspace(workspace)
	if t == nil {
		limit := l.FormerWorkspaces[workspace].Limit
		return limit, limit != Resources{}
	}
	limit := Resources{CPU: t.CPU, MemMB: t.MemMB, GPU: t.GPU}
	return limit, limit != Resources{}
}

// WithinLimit reports whether the needs of a workspace's live runs plus extra stay within its upper limit. A limit of 0 for a
// resource means no limit.
func (l *Ledger) WithinLimit(workspace string, extra Resources) bool {
	limit, limited := l.limitOf(workspace)
	if !limited {
		return true
	}
	total := l.usage[workspace].Plus(extra)
	return (limit.CPU == 0 || total.CPU <= limit.CPU) &&
		(limit.MemMB == 0 || total.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || total.GPU <= limit.GPU)
}
