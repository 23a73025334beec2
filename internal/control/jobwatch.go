package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/connection/platform"
	"laburnumrouter/internal/request/jobs"
	"laburnumrouter/internal/request/placement"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// maxRemainingRun is the longest expected rest of a run for which a task stays on a draining worker; a task that needs
// longer is checkpointed and moved. A task that has overrun its prediction by more than this is moved too.
const maxRemainingRun = time.Minute

// watchLoop renews the leases of tasks, processes the platforms' reports and removes expired ended jobs.
func (r *jobRunner) watchLoop(ctx context.Context) error {
	return r.control.whileLeading(ctx, watchInterval, func(ctx context.Context) {
		var group errgroup.Group
		for dataCentre := range r.control.platforms {
			group.Go(func() error {
				r.renewLeases(ctx, dataCentre)
				return nil
			})
		}
		_ = group.Wait()
		r.forgetExpiredJobs(ctx)
		r.updateJobGauges()
	})
}

// renewLeases renews the leases of the renewable tasks of one data centre, in batches, and processes the reports on them.
func (r *jobRunner) renewLeases(ctx context.Context, dataCentre string) {
	list := r.renewableJobs(dataCentre)
	for len(list) > 0 {
		n := min(len(list), maxBatch)
		r.renewBatch(ctx, dataCentre, list[:n])
		list = list[n:]
	}
}

// renewableJobs returns the jobs whose lease may be renewed. Tasks whose start request is still under way are left out: if
// the renewal reached the platform first, the platform would never start the task.
func (r *jobRunner) renewableJobs(dataCentre string) []*laburnumv1.Job {
	now := r.control.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*laburnumv1.Job
	for _, w := range r.active[dataCentre] {
		fresh := now.Sub(time.UnixMilli(w.job.StartedUnixMs)) < jobs.StartGrace
		if w.job.State == laburnumv1.JobState_JOB_STATE_STARTING && fresh && !w.startRequestDone {
			continue
		}
		list = append(list, w.job)
	}
	return list
}

func (r *jobRunner) renewBatch(ctx context.Context, dataCentre string, list []*laburnumv1.Job) {
	client := r.control.platforms[dataCentre]
	ids := make([]string, len(list))
	byTask := make(map[string]*laburnumv1.Job, len(list))
	for i, job := range list {
		ids[i] = jobs.TaskID(job)
		byTask[ids[i]] = job
	}
	reports, err := client.Renew(ctx, ids, jobs.LeaseTime.Milliseconds())
	if err != nil {
		r.control.log.Warn("leases not renewed", "data_centre", dataCentre, "tasks", len(ids), "error", err)
		r.commitAll(ctx, r.silentJobs(list))
		return
	}
	effects := &reportEffects{}
	for i := range reports {
		if job := byTask[reports[i].ID]; job != nil {
			r.processReport(effects, job, &reports[i])
		}
	}
	r.commitAll(ctx, effects.next, effects.decisions...)
	r.runActions(ctx, client, effects.actions)
}

// silentJobs returns new states for those jobs on which the platform has not reported for too long.
func (r *jobRunner) silentJobs(list []*laburnumv1.Job) []*laburnumv1.Job {
	now := r.control.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var next []*laburnumv1.Job
	for _, job := range list {
		w := r.active[job.DataCentre][job.Id]
		if w == nil {
			continue
		}
		if changed := jobs.MarkUnknownIfSilent(w.job, w.lastReport, now); changed != nil {
			next = append(next, changed)
		}
	}
	return next
}

// reportEffects collects the job states, decisions and platform calls that follow from the reports of one response.
type reportEffects struct {
	next      []*laburnumv1.Job
	decisions []*laburnumv1.Decision
	actions   []func(context.Context, platform.Client) error
}

// processReport applies a report on a task to its job, its worker and the estimates of resource use.
func (r *jobRunner) processReport(effects *reportEffects, job *laburnumv1.Job, report *platform.TaskReport) {
	now := r.control.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.active[job.DataCentre][job.Id]
	if w == nil || w.job.Attempt != job.Attempt {
		return
	}
	w.lastReport = now
	if changed := jobs.ApplyReport(w.job, report, now); changed != nil {
		effects.next = append(effects.next, changed)
	}
	if report.State == platform.TaskEnded {
		r.recordTaskEnd(effects, w.job, report, now)
		return
	}
	if report.State == platform.TaskRunning {
		r.controlTask(effects, w, report, now)
	}
}

// recordTaskEnd updates the estimates and the worker's failure record when a task has ended.
func (r *jobRunner) recordTaskEnd(effects *reportEffects, job *laburnumv1.Job, report *platform.TaskReport, now time.Time) {
	if report.Usage != nil {
		r.scheduler.Estimator().Observe(job, placement.SizeOf(report.Usage))
	}
	switch {
	case report.Succeeded:
		r.scheduler.RecordSuccess(job, time.Duration(report.RanMS)*time.Millisecond)
	case report.Cause == platform.CauseTask && r.scheduler.RecordFailure(job, now):
		effects.decisions = append(effects.decisions, &laburnumv1.Decision{
			Subject: "instance/" + job.Worker, Action: "excluded", Reason: "failed several jobs in a row; the last: " + report.Reason,
		})
	}
}

// controlTask adds the platform calls that a running task needs: stop, throttle or checkpoint.
func (r *jobRunner) controlTask(effects *reportEffects, w *activeJob, report *platform.TaskReport, now time.Time) {
	id := jobs.TaskID(w.job)
	if w.job.State == laburnumv1.JobState_JOB_STATE_CANCELLING {
		effects.add(func(ctx context.Context, c platform.Client) error { return c.Stop(ctx, id) })
		return
	}
	if report.Usage != nil {
		r.relieveOverload(effects, w.job, report)
	}
	if !r.scheduler.AcceptsTasks(w.job.Worker) && r.worthMoving(w.job, report) {
		w.shouldMove = true
	}
	switch {
	case !w.shouldMove:
	case report.Checkpoint != "" && report.Checkpoint != w.job.Checkpoint:
		effects.add(func(ctx context.Context, c platform.Client) error { return c.Stop(ctx, id) })
	default:
		effects.add(func(ctx context.Context, c platform.Client) error { return c.Checkpoint(ctx, id) })
	}
}

func (effects *reportEffects) add(action func(context.Context, platform.Client) error) {
	effects.actions = append(effects.actions, action)
}

// worthMoving reports whether a task on a worker that accepts no new tasks should be moved: if the predicted rest of
// its run exceeds maxRemainingRun, if it has overrun the prediction by that much, or if its job declared no run time.
func (r *jobRunner) worthMoving(job *laburnumv1.Job, report *platform.TaskReport) bool {
	left := r.scheduler.Estimator().PredictRun(job) - time.Duration(report.RanMS)*time.Millisecond
	return job.DeclaredSeconds == 0 || left > maxRemainingRun || left < -maxRemainingRun
}

// relieveOverload throttles the tasks that overload a worker, or marks them to be moved.
func (r *jobRunner) relieveOverload(effects *reportEffects, job *laburnumv1.Job, report *platform.TaskReport) {
	for _, relief := range r.scheduler.RecordUsage(job.Id, placement.SizeOf(report.Usage)) {
		target := relief.Job
		if relief.Throttle == nil {
			if w := r.active[target.DataCentre][target.Id]; w != nil {
				w.shouldMove = true
			}
			r.control.log.Info("task moves off", "job", target.Id, "worker", target.Worker, "reason", "the worker's memory is overcommitted")
			continue
		}
		id, limit := jobs.TaskID(target), relief.Throttle
		r.control.log.Info("task throttled", "job", target.Id, "worker", target.Worker, "milli_cpu", limit.MilliCpu)
		effects.add(func(ctx context.Context, c platform.Client) error { return c.Throttle(ctx, id, limit) })
	}
}

// runActions performs the platform calls concurrently. Failed calls are only logged: the next round decides on them again.
func (r *jobRunner) runActions(ctx context.Context, client platform.Client, actions []func(context.Context, platform.Client) error) {
	var group errgroup.Group
	group.SetLimit(maxPlatformCalls)
	for _, action := range actions {
		group.Go(func() error {
			if err := action(ctx, client); err != nil {
				r.control.log.Warn("platform action not confirmed", "error", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// updateJobGauges publishes the numbers of running and waiting jobs.
func (r *jobRunner) updateJobGauges() {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, waiting := 0, 0
	for _, workspace := range r.scheduler.Workspaces() {
		n, m := r.scheduler.RunningAndWaiting(workspace)
		running += n
		waiting += m
	}
	r.scope.Gauge("running").Update(float64(running))
	r.scope.Gauge("waiting").Update(float64(waiting))
}
