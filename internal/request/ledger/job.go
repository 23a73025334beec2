// Package ledger is the replicated state of jobs: what was submitted, which runs of which tasks were ordered
// where, and how they ended. It is a deterministic state machine over Command; it does no I/O and reads no clock.
package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

// Resources is an amount of a backend server's capacity.
type Resources struct {
	// CPU is in thousandths of a core, MemMB in MiB, GPU in whole accelerators.
	CPU   int64 `json:",omitempty"`
	MemMB int64 `json:",omitempty"`
	GPU   int64 `json:",omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Times returns n times the amount.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemMB * int64(n), r.GPU * int64(n)}
}

// Within reports whether the amount fits into a room.
func (r Resources) Within(room Resources) bool {
	return r.CPU <= room.CPU && r.MemMB <= room.MemMB && r.GPU <= room.GPU
}

// Step is a set of like tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// EstimateMS is the submitter's estimate of a task's run time.
	EstimateMS int64 `json:",omitempty"`
	// After lists earlier steps, counted from 0, all of whose tasks must be done first.
	After []int `json:",omitempty"`
	// Gang tasks work only all together.
	Gang bool `json:",omitempty"`
	// RackLocal tasks run slower when they run on more than one rack.
	RackLocal bool `json:",omitempty"`
	// Checkpoints tells that a task can go on from a checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `json:",omitempty"`
	// Lasting tasks run until their job is cancelled and are started again however they end.
	Lasting bool `json:",omitempty"`
	// Fills marks tasks that take what others leave; their CPU doesn't count against capacity.
	Fills bool `json:",omitempty"`
	// Label is one that the backend server must have.
	Label string `json:",omitempty"`
	// Rack is where the data is.
	Rack string `json:",omitempty"`
	// Spread is the largest number of tasks of the step on one backend server; 0 means no limit.
	Spread int `json:",omitempty"`
	// Image names what the tasks run.
	Image string `json:",omitempty"`
	// TargetMS bounds the tail of the response times of a task that serves.
	TargetMS int64 `json:",omitempty"`
	// MayMiss is the number of tasks of a lasting step that maintenance may take away at once.
	MayMiss int `json:",omitempty"`
}

// Charge is what a task of the step takes of a backend server's capacity.
func (s *Step) Charge() Resources {
	if s.Fills {
		return Resources{MemMB: s.Need.MemMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Submission is a job as a caller hands it in.
type Submission struct {
	ID    string
	Queue string
	// Team is empty for work without a key.
	Team  string `json:",omitempty"`
	Spec  string
	Steps []Step
	// Times is the number of occurrences of a scheduled job; 0 means one that is due at once.
	Times int `json:",omitempty"`
	// FirstMS is when occurrence 0 is due, EveryMS the time between occurrences; milliseconds since 1970.
	FirstMS int64 `json:",omitempty"`
	EveryMS int64 `json:",omitempty"`
}

const (
	// maxSteps, maxTasks, maxOccurrences and maxSpecBytes bound one job, so that a single submission can't fill the memory
	// of a control instance (280 MB on the smallest machines of DEPLOY).
	maxSteps       = 256
	maxTasks       = 20_000
	maxOccurrences = 100_000
	maxSpecBytes   = 64 << 10
)

// Check returns the first fault of a submission.
func (s *Submission) Check() error {
	if len(s.Spec) > maxSpecBytes {
		return Error.New("the spec is longer than %d bytes", maxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return Error.New("a job has 1 to %d steps", maxSteps)
	}
	if s.Times < 0 || s.Times > maxOccurrences || (s.Times > 1 && s.EveryMS <= 0) {
		return Error.New("the schedule has a negative count, more than %d occurrences or no interval", maxOccurrences)
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.Need.CPU < 0 || step.Need.MemMB < 0 || step.Need.GPU < 0 {
			return Error.New("step %d has no tasks or a negative size", i)
		}
		tasks += step.Count
		for _, before := range step.After {
			if before < 0 || before >= i {
				return Error.New("step %d comes after step %d, which is no earlier one", i, before)
			}
		}
	}
	if tasks > maxTasks {
		return Error.New("a job has at most %d tasks", maxTasks)
	}
	return nil
}

// TaskID names a task.
type TaskID struct {
	Job string
	// K is the occurrence, counted from 0.
	K     int
	Step  int
	Index int
}

// String returns JOB.K.STEP.INDEX.
func (t TaskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.K, t.Step, t.Index) }

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(text []byte) error {
	id, err := ParseTaskID(string(text))
	*t = id
	return err
}

// ParseTaskID reads what String wrote.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, Error.New("%q names no task", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, Error.New("%q names no task", s)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], K: n[0], Step: n[1], Index: n[2]}, nil
}

// JobState is what a caller is told of a job.
type JobState string

// States of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final reports whether the state no longer changes.
func (s JobState) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is where a task stands.
type Phase int

// Phases of a task.
const (
	// Waiting: no run is known that may be alive.
	Waiting Phase = iota
	// Live: a run was ordered and its end isn't known.
	Live
	// Done: a run has ended done.
	Done
)

// Task is the record of one task.
type Task struct {
	Phase Phase `json:",omitempty"`
	// Run numbers the newest run from 1; 0 before the first.
	Run int `json:",omitempty"`
	// Worker and Born name the incarnation of the backend server of the newest run.
	Worker string `json:",omitempty"`
	Born   int64  `json:",omitempty"`
	// Fails counts runs that ended failed.
	Fails      int    `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
	// OrderedMS is when the newest run was ordered, EndedMS when it ended, by the leader's time of day.
	OrderedMS int64 `json:",omitempty"`
	EndedMS   int64 `json:",omitempty"`
}

// StepRecord is the record of a step of one occurrence.
type StepRecord struct {
	Tasks []Task
	Done  int
}

// Occurrence is the record of one occurrence of a job.
type Occurrence struct {
	Steps []StepRecord
	Done  int // steps that are done
}

// Job is the record of a job. Spec, Steps and the occurrences are dropped once nothing of it runs or may run.
type Job struct {
	Submission
	State JobState
	// AcceptedMS and FinishedMS are by the leader's time of day.
	AcceptedMS int64
	FinishedMS int64 `json:",omitempty"`
	// Started is set once a task was ordered.
	Started bool `json:",omitempty"`
	// Live counts runs whose end isn't known.
	Live int `json:",omitempty"`
	// Occurrences holds those that have begun, by number; a finished one leaves only its number in Ended.
	Occurrences map[int]*Occurrence `json:",omitempty"`
	// Ended counts occurrences that are done.
	Ended int `json:",omitempty"`
	// Work is what the job asks for at once by its submitter's estimates, in thousandths of a core times milliseconds; 0 for
	// scheduled jobs. It is kept when the steps are dropped.
	Work int64 `json:",omitempty"`
	// FirstStartMS is when the first task was ordered, Runs counts the runs of all tasks.
	FirstStartMS int64 `json:",omitempty"`
	Runs         int   `json:",omitempty"`
	// Notes are the newest ends of runs that weren't done, the oldest first. They outlive the occurrences.
	Notes []Note `json:",omitempty"`
}

// Note is the end of a run that wasn't done.
type Note struct {
	Task   TaskID
	Run    int
	Worker string
	How    How
	// AtMS is by the leader's time of day, in milliseconds since 1970.
	AtMS int64
}

// maxNotes bounds the notes of a job: with 10,000 jobs in the retention they take 8 MB at most.
const maxNotes = 8

func (j *Job) note(n Note) {
	if len(j.Notes) == maxNotes {
		j.Notes = append(j.Notes[:0:0], j.Notes[1:]...)
	}
	j.Notes = append(j.Notes, n)
}

// work adds up what a submission asks for; lasting tasks are no work that ends.
func (s *Submission) work() int64 {
	if s.Times > 0 {
		return 0
	}
	var sum int64
	for i := range s.Steps {
		if step := &s.Steps[i]; !step.Lasting {
			sum += int64(step.Count) * step.Charge().CPU * step.EstimateMS
		}
	}
	return sum
}

// occurrences returns the number of occurrences of the job.
func (j *Job) occurrences() int { return max(1, j.Times) }

// DueMS returns when an occurrence is due, in milliseconds since 1970; 0 for a job that is due at once.
func (j *Job) DueMS(k int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.FirstMS + int64(k)*j.EveryMS
}

// task returns a task's record, or nil.
func (j *Job) task(id TaskID) *Task {
	o := j.Occurrences[id.K]
	if o == nil || id.Step >= len(o.Steps) || id.Index >= len(o.Steps[id.Step].Tasks) {
		return nil
	}
	return &o.Steps[id.Step].Tasks[id.Index]
}

// ready reports whether all steps before a step are done.
func (j *Job) ready(o *Occurrence, step int) bool {
	for _, before := range j.Steps[step].After {
		if o.Steps[before].Done < j.Steps[before].Count {
			return false
		}
	}
	return true
}

// EachDue calls f for each step of each due occurrence whose turn has come and that is not done. The occurrence is
// nil if nothing of it has begun.
func (j *Job) EachDue(wallMS int64, f func(k int, o *Occurrence, step int)) {
	for k := range j.occurrences() {
		if j.DueMS(k) > wallMS {
			return
		}
		o := j.Occurrences[k]
		for s := range j.Steps {
			switch {
			case o == nil && len(j.Steps[s].After) > 0, o != nil && !j.ready(o, s), o != nil && o.Steps[s].Done == j.Steps[s].Count:
			default:
				f(k, o, s)
			}
		}
	}
}
