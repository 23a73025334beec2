package machine

import (
	"bytes"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	jobWaiting    = laburnumv1.JobState_JOB_STATE_WAITING
	jobStarting   = laburnumv1.JobState_JOB_STATE_STARTING
	jobRunning    = laburnumv1.JobState_JOB_STATE_RUNNING
	jobDone       = laburnumv1.JobState_JOB_STATE_DONE
	jobFailed     = laburnumv1.JobState_JOB_STATE_FAILED
	jobCancelled  = laburnumv1.JobState_JOB_STATE_CANCELLED
	jobParked     = laburnumv1.JobState_JOB_STATE_PARKED
	jobUnknown    = laburnumv1.JobState_JOB_STATE_UNKNOWN
	jobCancelling = laburnumv1.JobState_JOB_STATE_CANCELLING
)

// maxOpenJobsPerWorkspace limits the jobs of a workspace that have not ended.
const maxOpenJobsPerWorkspace = 20_000

// jobCounts keeps running totals of jobs, so that no command has to scan all jobs.
type jobCounts struct {
	open    map[string]int // jobs that have not ended, by workspace
	permits map[string]int // jobs that hold a permit of the workspace's limit, by workspace
	tasks   map[string]int // jobs that occupy a worker, by worker
}

func newJobCounts() *jobCounts {
	return &jobCounts{open: make(map[string]int), permits: make(map[string]int), tasks: make(map[string]int)}
}

// OccupiesWorker reports whether a job in state s holds its worker and a permit of its workspace's limit, because its task
// may be running.
func OccupiesWorker(s laburnumv1.JobState) bool {
	switch s {
	case jobStarting, jobRunning, jobUnknown, jobCancelling:
		return true
	}
	return false
}

// Ended reports whether s is a final state.
func Ended(s laburnumv1.JobState) bool {
	return s == jobDone || s == jobFailed || s == jobCancelled
}

func (c *jobCounts) add(job *laburnumv1.Job, n int) {
	if job == nil {
		return
	}
	if !Ended(job.State) {
		addCount(c.open, job.Team, n)
	}
	if OccupiesWorker(job.State) {
		addCount(c.permits, job.Team, n)
		addCount(c.tasks, job.Worker, n)
	}
}

func addCount(m map[string]int, key string, n int) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}

// JobPermits returns the number of permits that the jobs of a workspace hold.
func (m *Machine) JobPermits(workspace string) int { return m.counts.permits[workspace] }

// Tasks returns the number of tasks that may be running on a worker.
func (m *Machine) Tasks(worker string) int { return m.counts.tasks[worker] }

// putJob stores a job in place of its old version, updates the counts and calls OnJobChange.
func (m *Machine) putJob(job *laburnumv1.Job) {
	old := m.Jobs[job.Id]
	m.counts.add(old, -1)
	m.counts.add(job, 1)
	m.Jobs[job.Id] = job
	if m.OnJobChange != nil {
		m.OnJobChange(old, job)
	}
}

// setJobs applies the submissions, cancellations, updates and removals of a batch, in this order.
func (s *commandApplier) setJobs(b *laburnumv1.JobBatch) {
	for _, job := range b.GetSubmit() {
		s.submitJob(job)
	}
	for _, c := range b.GetCancel() {
		s.cancelJob(c)
	}
	for _, job := range b.GetJobs() {
		s.advanceJob(job)
	}
	for _, id := range b.GetForget() {
		s.forgetJob(id)
	}
}

// submitJob adds a job. A later submission of the same id changes nothing and returns the job in its current state;
// it is a conflict if its content differs.
func (s *commandApplier) submitJob(submitted *laburnumv1.Job) {
	if current := s.Jobs[submitted.Id]; current != nil {
		s.result.Jobs = append(s.result.Jobs, current)
		if !bytes.Equal(current.Digest, submitted.Digest) || current.Team != submitted.Team {
			s.refuse("job %s was submitted before with other content", submitted.Id)
		}
		return
	}
	switch {
	case s.State.Pools[submitted.Pool] == nil:
		s.refuse("there is no pool %s", submitted.Pool)
		return
	case s.State.Workspaces[submitted.Team] == nil:
		s.refuse("there is no team %s", submitted.Team)
		return
	case s.counts.open[submitted.Team] >= maxOpenJobsPerWorkspace:
		s.refuse("team %s has %d jobs that have not ended", submitted.Team, maxOpenJobsPerWorkspace)
		return
	}
	job := proto.Clone(submitted).(*laburnumv1.Job)
	job.State = jobWaiting
	job.SubmittedUnixMs = s.cmd.AtUnixMs
	s.commitJob(job, "submitted")
	s.result.Jobs = append(s.result.Jobs, job)
}

// cancelJob ends a job that has no running task; a job whose task may be running is marked as cancelling.
func (s *commandApplier) cancelJob(c *laburnumv1.JobCancellation) {
	current := s.Jobs[c.GetId()]
	if current == nil || (c.Team != "" && current.Team != c.Team) {
		return
	}
	if Ended(current.State) || current.State == jobCancelling {
		s.result.Jobs = append(s.result.Jobs, current)
		return
	}
	job := proto.Clone(current).(*laburnumv1.Job)
	job.State, job.Reason = jobCancelled, "cancelled before it ran"
	if OccupiesWorker(current.State) {
		job.State, job.Reason = jobCancelling, "asked to cancel"
	}
	if job.State == jobCancelled {
		job.EndedUnixMs = s.cmd.AtUnixMs
	}
	s.commitJob(job, job.Reason)
	s.result.Jobs = append(s.result.Jobs, job)
}

// advanceJob applies a state change that a planner or watcher decided, unless the job has changed since they read it.
func (s *commandApplier) advanceJob(next *laburnumv1.Job) {
	current := s.Jobs[next.Id]
	if err := s.verifyJob(current, next); err != nil {
		s.result.Reason = err.Error()
		return
	}
	job := proto.Clone(next).(*laburnumv1.Job)
	if job.State == jobStarting {
		job.StartedUnixMs = s.cmd.AtUnixMs
	}
	if Ended(job.State) {
		job.EndedUnixMs = s.cmd.AtUnixMs
	}
	s.commitJob(job, job.Reason)
	s.result.Applied++
}

func (s *commandApplier) commitJob(job *laburnumv1.Job, reason string) {
	job.Version = s.index
	old := s.Jobs[job.Id]
	s.putJob(job)
	if old.GetState() == job.State && old.GetReason() == job.Reason {
		return
	}
	if job.Worker != "" && OccupiesWorker(job.State) {
		reason += fmt.Sprintf(" (worker %s, attempt %d)", job.Worker, job.Attempt)
	}
	s.recordDecision("job/"+job.Id, strings.ToLower(strings.TrimPrefix(job.State.String(), "JOB_STATE_")), reason)
}

func (s *commandApplier) verifyJob(current, next *laburnumv1.Job) error {
	if current == nil {
		return Error.New("there is no job %s", next.Id)
	}
	if current.Version != next.Version {
		return Error.New("job %s is at version %d, not %d", next.Id, current.Version, next.Version)
	}
	if current.Team != next.Team || current.Pool != next.Pool || current.Idempotent != next.Idempotent {
		return Error.New("job %s is not what was submitted", next.Id)
	}
	if !transitionAllowed(current, next) {
		return Error.New("job %s cannot go from %v to %v", next.Id, current.State, next.State)
	}
	if next.State == jobStarting && current.State == jobWaiting {
		return s.verifyStart(current, next)
	}
	if current.Attempt != next.Attempt || (OccupiesWorker(next.State) && current.Worker != next.Worker) {
		return Error.New("attempt %d of job %s changes only with a start", current.Attempt, next.Id)
	}
	return nil
}

// transitionAllowed reports whether a job may go from the state of current to that of next. A job that is not
// idempotent returns from running or unknown to waiting only if it resumes from a new checkpoint. From starting it may
// always return: callers do so only if the task certainly did not start.
func transitionAllowed(current, next *laburnumv1.Job) bool {
	mayRerun := next.Idempotent || next.Checkpoint != current.Checkpoint
	switch current.State {
	case jobWaiting:
		return next.State == jobStarting || next.State == jobParked || next.State == jobWaiting
	case jobParked:
		return next.State == jobWaiting
	case jobStarting:
		return next.State != jobStarting && next.State != jobCancelled
	case jobRunning, jobUnknown:
		return next.State != jobStarting && next.State != jobCancelled && (next.State != jobWaiting || mayRerun) &&
			(next.State != jobParked || next.Idempotent)
	case jobCancelling:
		return Ended(next.State) || next.State == jobCancelling
	}
	return false
}

// verifyStart checks that the worker is assigned to the job's pool and that the workspace has a free permit for jobs.
func (s *commandApplier) verifyStart(current, next *laburnumv1.Job) error {
	if next.Attempt != current.Attempt+1 {
		return Error.New("job %s is at attempt %d", next.Id, current.Attempt)
	}
	a := s.State.Assignments[next.Worker]
	if a.GetPool() != next.Pool || a.GetState() != assigned {
		return Error.New("worker %s does not serve pool %s", next.Worker, next.Pool)
	}
	slice := s.State.Slices[state.SliceID{Workspace: next.Team, DataCentre: state.JobsSlice}]
	if held := s.counts.permits[next.Team]; held >= int(slice.GetPermits()) {
		return Error.New("jobs of team %s hold %d of %d permits", next.Team, held, slice.GetPermits())
	}
	return nil
}

// forgetJob deletes a job if it has ended.
func (s *commandApplier) forgetJob(id string) {
	if job := s.Jobs[id]; job != nil && Ended(job.State) {
		delete(s.Jobs, id)
		if s.OnJobChange != nil {
			s.OnJobChange(job, nil)
		}
	}
}
