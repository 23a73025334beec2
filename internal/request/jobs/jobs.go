// Package jobs computes the next state of a job from the platform's reports on its task, or from their absence.
//
// The functions are pure: they return the state to commit, which the control log validates again. A job that is
// not idempotent runs at most once: it is started again only if its task provably never started, or from a
// checkpoint at which it was stopped on request.
package jobs

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/connection/platform"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	waiting    = laburnumv1.JobState_JOB_STATE_WAITING
	starting   = laburnumv1.JobState_JOB_STATE_STARTING
	running    = laburnumv1.JobState_JOB_STATE_RUNNING
	done       = laburnumv1.JobState_JOB_STATE_DONE
	failed     = laburnumv1.JobState_JOB_STATE_FAILED
	cancelled  = laburnumv1.JobState_JOB_STATE_CANCELLED
	parked     = laburnumv1.JobState_JOB_STATE_PARKED
	unknown    = laburnumv1.JobState_JOB_STATE_UNKNOWN
	cancelling = laburnumv1.JobState_JOB_STATE_CANCELLING
)

const (
	// LeaseTime is how long a task keeps running after its lease was last renewed.
	LeaseTime = 30 * time.Second
	// ReportTimeout is how long the platform may go without a report on a task before the job's state becomes unknown.
	ReportTimeout = LeaseTime
	// StartGrace is how long a start request may be in flight before the platform is asked about the task. A
	// query before the start arrives would void it: the platform never starts a task that it was asked about before.
	StartGrace = 10 * time.Second
	// maxFailedWorkers is the number of distinct workers on which a job fails before it is parked. Each time that a worker went
	// down soon after the job's start counts as well, also if it is the same one.
	maxFailedWorkers = 3
	// crashSuspicionTime is how long a task must have run for it to be no suspect when its worker goes down.
	crashSuspicionTime = time.Minute
	firstBackoff       = time.Second
	maxBackoff         = time.Minute
)

// TaskID returns the id of the platform task that runs the current attempt of a job.
func TaskID(job *laburnumv1.Job) string { return fmt.Sprintf("%s-%d", job.Id, job.Attempt) }

// TaskOf returns the platform task to start for the current attempt of a job.
func TaskOf(job *laburnumv1.Job) *platform.Task {
	return &platform.Task{
		ID:         TaskID(job),
		Worker:     job.Worker,
		Command:    job.Command,
		Size:       job.Learned,
		LeaseMS:    LeaseTime.Milliseconds(),
		Checkpoint: job.Checkpoint,
	}
}

// withState returns a copy of the job with a new state and a formatted reason.
func withState(job *laburnumv1.Job, state laburnumv1.JobState, format string, args ...any) *laburnumv1.Job {
	n := proto.Clone(job).(*laburnumv1.Job)
	n.State = state
	n.Reason = fmt.Sprintf(format, args...)
	return n
}

// ApplyStartResult returns the job after its start request, or nil if it is uncertain whether the request took effect:
// the platform is then queried about the task as if it were running.
func ApplyStartResult(job *laburnumv1.Job, err error, now time.Time) *laburnumv1.Job {
	switch {
	case err == nil:
		return withState(job, running, "started")
	case platform.ErrUnreachable.Has(err):
		return requeue(job, now, "the platform cannot be reached")
	case platform.ErrRefused.Has(err):
		return recordWorkerFailure(job, now, "refused: "+err.Error())
	}
	return nil
}

// MarkUnknownIfSilent returns the job as unknown if the platform has not reported on its task for ReportTimeout, or nil
// for no change. The last report came at since.
func MarkUnknownIfSilent(job *laburnumv1.Job, since, now time.Time) *laburnumv1.Job {
	reportsExpected := job.State == running || job.State == starting
	if !reportsExpected || now.Sub(since) < ReportTimeout {
		return nil
	}
	return withState(job, unknown, "no word from the platform for %s", ReportTimeout)
}

// ApplyReport returns the job after a report on its current task, or nil for no change.
func ApplyReport(job *laburnumv1.Job, r *platform.TaskReport, now time.Time) *laburnumv1.Job {
	switch r.State {
	case platform.TaskRunning:
		if job.State == starting || job.State == unknown {
			return withState(job, running, "the platform runs it")
		}
		return nil
	case platform.TaskEnded:
		return applyTaskEnd(job, r, now)
	}
	return applyTaskNotFound(job, now)
}

// applyTaskNotFound returns the job after the platform reported that it does not know the task. The platform will not
// start that task any more.
func applyTaskNotFound(job *laburnumv1.Job, now time.Time) *laburnumv1.Job {
	switch {
	case job.State == cancelling:
		return withState(job, cancelled, "cancelled; the platform knows of no task")
	case job.State == starting:
		return requeue(job, now, "the platform never started it")
	case job.Idempotent:
		return requeue(job, now, "the platform lost the task")
	}
	return withState(job, failed, "the platform lost the task, which may have run in part; not idempotent, so not run again")
}

// applyTaskEnd returns the job after its task ended.
func applyTaskEnd(job *laburnumv1.Job, r *platform.TaskReport, now time.Time) *laburnumv1.Job {
	switch {
	case r.Succeeded:
		return withState(job, done, "succeeded after %s", (time.Duration(r.RanMS) * time.Millisecond).Round(time.Millisecond))
	case job.State == cancelling:
		return withState(job, cancelled, "cancelled: %s", r.Reason)
	case r.Cause == platform.CauseStopped && r.Checkpoint != "" && r.Checkpoint != job.Checkpoint:
		n := withState(job, waiting, "checkpointed and moved from %s", job.Worker)
		n.Checkpoint = r.Checkpoint
		return n
	case !job.Idempotent:
		return withState(job, failed, "ended early on %s: %s; not idempotent, so not run again", job.Worker, r.Reason)
	case r.Cause == platform.CauseTask:
		return recordWorkerFailure(job, now, r.Reason)
	case r.Cause == platform.CauseWorker && time.Duration(r.RanMS)*time.Millisecond < crashSuspicionTime:
		return retryOrPark(job, now, append(slices.Clone(job.FailedWorkers), job.Worker), "went down: "+r.Reason)
	}
	return requeue(job, now, "ended early: "+r.Reason)
}

// requeue returns the job as waiting for another attempt. The attempt that ended does not count as a failure.
func requeue(job *laburnumv1.Job, now time.Time, reason string) *laburnumv1.Job {
	n := withState(job, waiting, "%s", reason)
	n.NotBeforeUnixMs = now.Add(firstBackoff).UnixMilli()
	return n
}

// recordWorkerFailure adds the job's worker to those on which it failed.
func recordWorkerFailure(job *laburnumv1.Job, now time.Time, reason string) *laburnumv1.Job {
	workers := job.FailedWorkers
	if !slices.Contains(workers, job.Worker) {
		workers = append(slices.Clone(workers), job.Worker)
	}
	return retryOrPark(job, now, workers, reason)
}

// retryOrPark returns the job with the workers on which it failed. It is parked once there are maxFailedWorkers; otherwise it
// waits for another attempt after an exponential backoff.
func retryOrPark(job *laburnumv1.Job, now time.Time, workers []string, reason string) *laburnumv1.Job {
	if len(workers) >= maxFailedWorkers {
		n := withState(job, parked, "failed on %s; the last: %s", strings.Join(workers, ", "), reason)
		n.FailedWorkers = workers
		return n
	}
	n := withState(job, waiting, "failed on %s: %s", job.Worker, reason)
	n.FailedWorkers = workers
	backoff := min(firstBackoff<<min(job.Attempt, 10), maxBackoff)
	n.NotBeforeUnixMs = now.Add(backoff).UnixMilli()
	return n
}
