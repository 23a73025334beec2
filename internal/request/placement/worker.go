package placement

import (
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// failuresToExclude is the number of consecutive failures after which a worker is excluded; those of one job in a row count
	// once.
	failuresToExclude = 3
	initialExclusion  = 5 * time.Minute
	maxExclusion      = time.Hour
)

// Worker is an instance that runs tasks.
type Worker struct {
	ID         string
	Pool       string
	DataCentre string
	Capacity   Size
}

type worker struct {
	Worker
	reserved  Size            // sum of the reservations in tasks
	tasks     map[string]Size // reservation of each task, by job
	positions [indexKinds]indexPosition

	open          bool   // accepts new tasks
	failures      int    // consecutive failures; those of one job in a row count once
	lastFailed    string // ID of the job whose failure was counted last
	excludedUntil time.Time
	lastExclusion time.Duration // duration of the last exclusion
	probation     bool          // runs one task at a time until a task succeeds
}

func newWorker(id string) *worker {
	w := &worker{Worker: Worker{ID: id}, tasks: make(map[string]Size)}
	for kind := range w.positions {
		w.positions[kind].bucket = -1
	}
	return w
}

func (w *worker) free() Size { return w.Capacity.minus(w.reserved) }

// mayGetTask reports whether the worker may be given a task now. An excluded worker may not; a worker on probation may
// only while it runs no task.
func (w *worker) mayGetTask(now time.Time) bool {
	if now.Before(w.excludedUntil) {
		return false
	}
	return !w.probation || len(w.tasks) == 0
}

// recordFailure records that a job failed on the worker. Failures of one job in a row count once. It returns true if
// the worker is excluded as a result; each further exclusion lasts twice as long as the one before, up to maxExclusion.
func (w *worker) recordFailure(job string, now time.Time) bool {
	if w.lastFailed == job {
		return false
	}
	w.lastFailed = job
	w.failures++
	if w.failures < failuresToExclude && !w.probation {
		return false
	}
	w.lastExclusion = min(max(2*w.lastExclusion, initialExclusion), maxExclusion)
	w.excludedUntil = now.Add(w.lastExclusion)
	w.probation = true
	return true
}

// recordSuccess clears the failures and the probation of the worker.
func (w *worker) recordSuccess() {
	w.failures = 0
	w.lastFailed = ""
	w.lastExclusion = 0
	w.probation = false
}

// failedOn reports whether a job has already failed on a worker.
func failedOn(job *laburnumv1.Job, worker string) bool {
	for _, id := range job.FailedWorkers {
		if id == worker {
			return true
		}
	}
	return false
}
