// Package ledger holds the replicated state of jobs: what was submitted, which runs of which tasks were ordered on which
// backend servers, and how they ended. It is a deterministic state machine driven by Command; it does no I/O and reads
// no clock.
package ledger

import (
	"cmp"
	"slices"
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

// FitsIn reports whether the amount fits into what is available.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.MemMB <= available.MemMB && r.GPU <= available.GPU
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// EstimateMS is the submitter's estimate of a task's run time.
	EstimateMS int64 `json:",omitempty"`
	// After lists the steps that this step depends on, by index from 0: all their tasks must be done before it starts. Only
	// earlier steps are allowed.
	After []int `json:",omitempty"`
	// Gang is set if the tasks only work when all of them run at the same time.
	Gang bool `json:",omitempty"`
	// RackLocal is set if the tasks run slower when they are spread over more than one rack.
	RackLocal bool `json:",omitempty"`
	// Checkpoints is set if a task can resume from a checkpoint.
	Checkpoints bool `json:",omitempty"`
	// Speculative is set if several copies of a task may run.
	Speculative bool `json:",omitempty"`
	// Lasting is set if the tasks are long-running: they run until their job is cancelled and are restarted however they end.
	Lasting bool `json:",omitempty"`
	// Fills is set for filler tasks: they use the CPU time that other tasks leave idle, and their CPU doesn't count against
	// capacity.
	Fills bool `json:",omitempty"`
	// Label is a label that the backend server must have; empty means any server.
	Label string `json:",omitempty"`
	// Rack is the rack that holds the tasks' data; it is preferred.
	Rack string `json:",omitempty"`
	// Spread is the largest number of tasks of the step on one backend server; 0 means no limit.
	Spread int `json:",omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:",omitempty"`
	// TargetMS is the upper bound for the tail latency of a task that serves requests; 0 means no bound.
	TargetMS int64 `json:",omitempty"`
	// MayMiss is the largest number of tasks of a lasting step that may be unavailable when one of them is stopped for
	// maintenance, including the stopped one. 0 means no limit.
	MayMiss int `json:",omitempty"`
}

// CapacityUse returns the capacity that a task of the step takes on a backend server.
func (s *Step) CapacityUse() Resources {
	if s.Fills {
		return Resources{MemMB: s.Need.MemMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Submission is a job as its caller submitted it.
type Submission struct {
	ID string
	// Queue is the name that the queue had, for logs. What the job belongs to is the queue at Host, in lower case, and Prefix, whatever
	// its name is now. Members of earlier versions have no place.
	Queue        string
	Host, Prefix string `json:",omitempty"`
	// Workspace is the name, by the configuration in force, of the workspace that owns the job. It is empty for a job that was submitted
	// without a key.
	Workspace string `json:"Team,omitempty"`
	// Version is that of the configuration by which a submission was authorized. It isn't kept.
	Version int64 `json:",omitempty"`
	Spec    string
	Steps   []Step
	// Times is the number of occurrences of a scheduled job; 0 means a job that is due at once.
	Times int `json:",omitempty"`
	// FirstMS is when occurrence 0 is due, in milliseconds since 1970; EveryMS is the interval between occurrences.
	FirstMS int64 `json:",omitempty"`
	EveryMS int64 `json:",omitempty"`
}

const (
	// maxSteps, maxTasks, maxOccurrences and maxSpecBytes limit one job, so that a single submission can't exhaust the
	// memory of a control instance (280 MB on the smallest machines, see DEPLOY).
	maxSteps       = 256
	maxTasks       = 20_000
	maxOccurrences = 100_000
	maxSpecBytes   = 64 << 10
	// maxNeed limits a task's need of one resource, so that sums over all tasks of all jobs don't overflow.
	maxNeed = 1 << 40
)

// Check validates a submission and returns an error for the first fault found.
func (s *Submission) Check() error {
	if len(s.Spec) > maxSpecBytes {
		return Error.New("the spec is longer than %d bytes", maxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return Error.New("a job must have 1 to %d steps", maxSteps)
	}
	if s.Times < 0 || s.Times > maxOccurrences || (s.Times > 1 && s.EveryMS <= 0) {
		return Error.New("the schedule must have 0 to %d occurrences, and a positive interval if there is more than one", maxOccurrences)
	}
	for i := range s.Steps {
		need := s.Steps[i].Need
		if need.CPU < 0 || need.MemMB < 0 || need.GPU < 0 || max(need.CPU, need.MemMB, need.GPU) > maxNeed {
			return Error.New("step %d must need 0 to %d of each resource", i, int64(maxNeed))
		}
	}
	return s.checkSteps()
}

// checkSteps validates what the ledger relies on: numbers of tasks and dependencies.
func (s *Submission) checkSteps() error {
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.Count > maxTasks {
			return Error.New("step %d must have 1 to %d tasks", i, maxTasks)
		}
		tasks += step.Count
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return Error.New("step %d depends on step %d, which is not an earlier step", i, dependency)
			}
		}
	}
	if tasks > maxTasks {
		return Error.New("a job may have at most %d tasks", maxTasks)
	}
	return nil
}

// TaskID identifies a task of an occurrence of a job.
type TaskID struct {
	// Job is the key of the job.
	Job string
	// Occurrence is the number of the occurrence, from 0.
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return string(t.append(nil)) }

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return t.append(nil), nil }

// append appends the text of the ID. A leader formats several for each run.
func (t TaskID) append(b []byte) []byte {
	const numbers = len(".0000.0000.0000")
	b = slices.Grow(b, len(t.Job)+numbers)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return b
}

// compare orders IDs by job, occurrence, step and index.
func (t TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(text []byte) error {
	id, err := ParseTaskID(string(text))
	*t = id
	return err
}

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, Error.New("%q is not a task ID of the form JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, Error.New("%q is not a task ID of the form JOB.OCCURRENCE.STEP.INDEX", s)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// JobState is the state of a job as callers see it.
type JobState string

// States of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (s JobState) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is the progress of a task.
type Phase int

// Phases of a task.
const (
	// Waiting: the task isn't done and has no run that may still be running.
	Waiting Phase = iota
	// Live: a run was ordered, and its end isn't known.
	Live
	// Done: a run of the task, or of another task of its gang, ended with EndDone.
	Done
	// GivenUp: the task has no run and isn't started again, while lasting tasks of its job go on.
	GivenUp
)

// Task is the record of one task.
type Task struct {
	Phase Phase `json:",omitempty"`
	// Run is the number of the newest run, counted from 1; 0 before the first.
	Run int `json:",omitempty"`
	// Worker and Born identify the incarnation of the backend server of the newest run.
	Worker string `json:",omitempty"`
	Born   int64  `json:",omitempty"`
	// Fails counts the runs that ended with EndFailed; for a gang, its first task counts the runs of the gang, each once. FailedRun is
	// the newest of these.
	Fails     int `json:",omitempty"`
	FailedRun int `json:",omitempty"`
	// Crashes counts the backend servers that crashed under a run of the task soon after its start, UnclearCrashes those on which
	// the run may not have begun, and Suspicions those of Crashes that the task is suspected of. Unresolved lists runs that may
	// get counted later.
	Crashes        int             `json:",omitempty"`
	UnclearCrashes int             `json:",omitempty"`
	Suspicions     int             `json:",omitempty"`
	Unresolved     []UnresolvedRun `json:",omitempty"`
	// GivenUp is set if the task isn't started again once its present run has ended.
	GivenUp bool `json:",omitempty"`
	// Checkpoint is the newest one that is known; from FormatGangCheckpoint on that of a gang's task is the one that its newest run carries.
	Checkpoint string `json:",omitempty"`
	// OrderedMS is when the newest run was ordered, EndedMS when it ended, by the leader's time of day.
	OrderedMS int64 `json:",omitempty"`
	// Unanswered is set if the start of the newest run got no answer, so that it may be carried out late.
	Unanswered bool  `json:",omitempty"`
	EndedMS    int64 `json:",omitempty"`
}

// StepRecord is the record of a step of one occurrence.
type StepRecord struct {
	Tasks []Task
	Done  int // tasks that are done
	// Checkpoint is that of the gang: the members of its next run carry it. Any member may have saved it, in run CheckpointRun.
	Checkpoint    string `json:",omitempty"`
	CheckpointRun int    `json:",omitempty"`
	// waiting is the number of tasks in phase Waiting; it is derived from Tasks.
	waiting int
}

// Waiting returns the number of tasks in phase Waiting.
func (s *StepRecord) Waiting() int { return s.waiting }

// setPhase moves a task of the step to a phase; GivenUp takes the place of Waiting for a task that isn't started again.
func (s *StepRecord) setPhase(t *Task, phase Phase) {
	if phase == Waiting && t.GivenUp {
		phase = GivenUp
	}
	if t.Phase == Waiting {
		s.waiting--
	}
	if phase == Waiting {
		s.waiting++
	}
	t.Phase = phase
}

// countWaiting derives the numbers of waiting tasks.
func (j *Job) countWaiting() {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			o.Steps[s].waiting = 0
			for i := range o.Steps[s].Tasks {
				if o.Steps[s].Tasks[i].Phase == Waiting {
					o.Steps[s].waiting++
				}
			}
		}
	}
}

// serves reports whether a lasting task of the job runs or may be started.
func (j *Job) serves() bool {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			if !j.Steps[s].Lasting {
				continue
			}
			for i := range o.Steps[s].Tasks {
				if phase := o.Steps[s].Tasks[i].Phase; phase == Live || phase == Waiting && j.ready(o, s) {
					return true
				}
			}
		}
	}
	return false
}

// hasWaiting reports whether a task of the job is waiting, or whether an occurrence that hasn't begun may be due.
func (j *Job) hasWaiting() bool {
	if j.Times > 0 || j.Occurrences[0] == nil {
		return true
	}
	for s := range j.Occurrences[0].Steps {
		if j.Occurrences[0].Steps[s].waiting > 0 {
			return true
		}
	}
	return false
}

// Occurrence is the record of one occurrence of a job.
type Occurrence struct {
	Steps []StepRecord
	Done  int // steps that are done
}

// Job is the record of a job. Spec, Steps and Occurrences are dropped once it is in a final state and has no live runs.
type Job struct {
	Submission
	// Number is 0 unless a job of another place had the ID when this one was submitted (Key).
	Number int `json:",omitempty"`
	State  JobState
	// AcceptedMS and FinishedMS are times of day of the leader, in milliseconds since 1970.
	AcceptedMS int64
	FinishedMS int64 `json:",omitempty"`
	// Started is set once a run of any task is known to have begun on a backend server. An order alone doesn't set it: it may
	// be refused, lost or never sent.
	Started bool `json:",omitempty"`
	// Live counts the runs whose end isn't known.
	Live int `json:",omitempty"`
	// Occurrences holds the occurrences that have begun, by number.
	Occurrences map[int]*Occurrence `json:",omitempty"`
	// HasGivenUp is set if a task of the job has been given up.
	HasGivenUp bool `json:",omitempty"`
	// Ended is the number of occurrences whose steps are all done; State tells whether the job has ended.
	Ended int `json:",omitempty"`
	// Work is the total CPU time of the job's tasks by its submitter's estimates, in thousandths of a core times
	// milliseconds, without lasting and filler tasks; 0 for scheduled jobs. It is kept when the steps are dropped.
	Work int64 `json:",omitempty"`
	// FirstStartMS is when Started was set; Runs counts the runs that were ordered, of all tasks.
	FirstStartMS int64 `json:",omitempty"`
	Runs         int   `json:",omitempty"`
	// Notes lists the last maxUnsuccessfulEnds runs that ended without success, the oldest first. They are kept when the
	// occurrences are dropped.
	Notes []UnsuccessfulEnd `json:",omitempty"`
	// bytes is what the record counts in Ledger.Bytes.
	bytes int
}

// UnsuccessfulEnd records the end of a run that didn't succeed.
type UnsuccessfulEnd struct {
	Task   TaskID
	Run    int
	Worker string
	How    EndCause
	Crash  CrashEvidence `json:",omitempty"`
	// AtMS is the leader's time of day in milliseconds since 1970.
	AtMS int64
}

// maxUnsuccessfulEnds limits the recorded unsuccessful ends of a job: with 10,000 retained jobs they take 8 MB at most.
const maxUnsuccessfulEnds = 8

// addUnsuccessfulEnd appends an unsuccessful end and drops the oldest one if there are maxUnsuccessfulEnds already.
func (l *Ledger) addUnsuccessfulEnd(j *Job, n UnsuccessfulEnd) {
	l.grow(j, n.size())
	if len(j.Notes) == maxUnsuccessfulEnds {
		l.grow(j, -j.Notes[0].size())
		j.Notes = append(j.Notes[:0:0], j.Notes[1:]...)
	}
	j.Notes = append(j.Notes, n)
}

// estimatedWork returns the total CPU time of a submission's tasks by its estimates, or 0 for a scheduled job. Lasting
// tasks are not counted, because their work never ends, and filler tasks count as 0.
func (s *Submission) estimatedWork() int64 {
	if s.Times > 0 {
		return 0
	}
	var sum int64
	for i := range s.Steps {
		if step := &s.Steps[i]; !step.Lasting {
			sum += int64(step.Count) * step.CapacityUse().CPU * step.EstimateMS
		}
	}
	return sum
}

// occurrences returns the number of occurrences of the job.
func (j *Job) occurrences() int { return max(1, j.Times) }

// DueMS returns when an occurrence is due, in milliseconds since 1970; 0 for a job that is due at once.
func (j *Job) DueMS(occurrence int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.FirstMS + int64(occurrence)*j.EveryMS
}

// task returns the record of a task, or nil if its occurrence hasn't begun or it doesn't exist.
func (j *Job) task(id TaskID) *Task {
	o := j.Occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.Steps) || id.Index < 0 || id.Index >= len(o.Steps[id.Step].Tasks) {
		return nil
	}
	return &o.Steps[id.Step].Tasks[id.Index]
}

// hasTask reports whether the job has a task.
func (j *Job) hasTask(id TaskID) bool {
	return id.Occurrence >= 0 && id.Occurrence < j.occurrences() && id.Step >= 0 && id.Step < len(j.Steps) &&
		id.Index >= 0 && id.Index < j.Steps[id.Step].Count
}

// ready reports whether all steps that a step depends on are done.
func (j *Job) ready(o *Occurrence, step int) bool {
	for _, dependency := range j.Steps[step].After {
		if o.Steps[dependency].Done < j.Steps[dependency].Count {
			return false
		}
	}
	return true
}

// EachRunnableStep calls f for each step that is not done and whose dependencies are done, in each occurrence that is due
// at the time of day wallMS. occurrence is its number; o is nil if it hasn't begun.
func (j *Job) EachRunnableStep(wallMS int64, f func(occurrence int, o *Occurrence, step int)) {
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
