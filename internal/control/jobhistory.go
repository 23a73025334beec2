package control

import (
	"context"
	"time"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	// jobRetention is how long an ended job can still be queried.
	jobRetention = time.Hour
	// maxEndedJobs limits the number of ended jobs that are kept.
	maxEndedJobs = 50_000
)

// endedJobs lists ended jobs, the oldest first.
type endedJobs struct {
	jobs []*laburnumv1.Job
}

func (e *endedJobs) add(job *laburnumv1.Job) { e.jobs = append(e.jobs, job) }

// takeExpired removes the oldest jobs that exceed jobRetention or maxEndedJobs, at most limit of them, and returns their ids.
func (e *endedJobs) takeExpired(now time.Time, limit int) []string {
	var ids []string
	for len(e.jobs) > 0 && len(ids) < limit {
		expired := now.Sub(time.UnixMilli(e.jobs[0].EndedUnixMs)) > jobRetention
		if !expired && len(e.jobs) <= maxEndedJobs {
			break
		}
		ids = append(ids, e.jobs[0].Id)
		e.jobs = e.jobs[1:]
	}
	return ids
}

func (r *jobRunner) forgetExpiredJobs(ctx context.Context) {
	r.mu.Lock()
	ids := r.ended.takeExpired(r.control.now(), maxBatch)
	r.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	if err := r.commit(ctx, &laburnumv1.JobBatch{Forget: ids}); err != nil {
		r.control.log.Warn("expired jobs not removed", "jobs", len(ids), "error", err)
	}
}
