package placement

import (
	"sort"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Relief is a measure that reduces the load of an overcommitted worker.
type Relief struct {
	Job *laburnumv1.Job
	// Throttle is the new limit of the task's processors; nil if the task should be checkpointed and moved instead.
	Throttle *laburnumv1.Resources
}

// RecordUsage records the reported usage of a running task; reports lag behind the actual usage. If this raises the
// worker's reservations above its capacity, it returns measures that reduce them: tasks are throttled if processors are
// short and moved if memory is short, non-urgent ones first and, among these, the most recently started first.
func (s *Scheduler) RecordUsage(id string, used Size) []Relief {
	t := s.jobs[id]
	if t == nil || t.worker == nil {
		return nil
	}
	s.estimator.Observe(t.job, used)
	w := t.worker
	size := Size{
		MilliCPU:     int64(float64(used.MilliCPU) * headroomFactor),
		Memory:       int64(float64(used.Memory) * headroomFactor),
		Accelerators: declaredOf(t.job).Accelerators,
	}
	grew := !size.fitsIn(w.tasks[id])
	s.reserve(w, id, size)
	if !grew || w.reserved.fitsIn(w.Capacity) {
		s.dirty[w.Pool] = true
		return nil
	}
	return s.relieve(w)
}

// relieve selects tasks to throttle or move until the worker's reservations are within its capacity.
func (s *Scheduler) relieve(w *worker) []Relief {
	var list []Relief
	excess := w.reserved.minus(w.Capacity)
	for _, t := range s.reliefOrder(w) {
		size := w.tasks[t.job.Id]
		switch {
		case excess.Memory > 0:
			excess = excess.minus(size)
			list = append(list, Relief{Job: t.job})
		case excess.MilliCPU > 0:
			keep := max(declaredOf(t.job).MilliCPU, size.MilliCPU-excess.MilliCPU)
			if keep >= size.MilliCPU {
				continue
			}
			excess.MilliCPU -= size.MilliCPU - keep
			limit := Size{MilliCPU: keep, Memory: size.Memory, Accelerators: size.Accelerators}
			list = append(list, Relief{Job: t.job, Throttle: limit.Resources()})
		}
	}
	return list
}

// reliefOrder returns the tasks of a worker in the order in which they are throttled or moved: non-urgent ones before
// urgent ones, each most recently started first.
func (s *Scheduler) reliefOrder(w *worker) []*trackedJob {
	list := make([]*trackedJob, 0, len(w.tasks))
	for id := range w.tasks {
		list = append(list, s.jobs[id])
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].job, list[j].job
		if a.Urgent != b.Urgent {
			return b.Urgent
		}
		if a.StartedUnixMs != b.StartedUnixMs {
			return a.StartedUnixMs > b.StartedUnixMs
		}
		return a.Id < b.Id
	})
	return list
}

// RecordSuccess records that a task succeeded and how long it ran.
func (s *Scheduler) RecordSuccess(job *laburnumv1.Job, ran time.Duration) {
	s.estimator.ObserveRun(job, ran)
	if w := s.workers[job.Worker]; w != nil {
		w.recordSuccess()
	}
}

// RecordFailure records that a task failed by itself: it wasn't stopped and didn't lose its lease or worker. It
// returns true if the worker is excluded for a time as a result.
func (s *Scheduler) RecordFailure(job *laburnumv1.Job, now time.Time) bool {
	w := s.workers[job.Worker]
	if w == nil || !w.recordFailure(job.Id, now) {
		return false
	}
	s.excluded[w.ID] = w
	return true
}
