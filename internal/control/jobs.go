package control

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"laburnumrouter/internal/connection/platform"
	"laburnumrouter/internal/request/jobs"
	"laburnumrouter/internal/request/placement"
	"laburnumrouter/internal/version/capacity"
	"laburnumrouter/internal/version/machine"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	placeInterval = 200 * time.Millisecond
	watchInterval = time.Second
	// maxBatch limits the jobs in one command.
	maxBatch = 500
	// maxPlatformCalls limits the concurrent requests to platforms.
	maxPlatformCalls = 64
)

// jobRunner places jobs on workers and monitors their tasks while this instance leads the log. On every control
// instance it tracks the jobs that the log commits, so that a new leader can continue immediately.
type jobRunner struct {
	control *Control
	scope   tally.Scope

	mu            sync.Mutex
	scheduler     *placement.Scheduler
	active        map[string]map[string]*activeJob // jobs that occupy a worker, by data centre and id
	ended         endedJobs
	permitTargets map[string]permitTarget // by workspace; set by the slice allocator
	mayStart      chan struct{}           // buffered for one signal: a waiting job may be able to start
}

// activeJob is a job whose task may be running on a worker.
type activeJob struct {
	job *laburnumv1.Job
	// lastReport is when the platform last reported on the task.
	lastReport time.Time
	// shouldMove is set when the task should be checkpointed and moved to another worker.
	shouldMove bool
	// startRequestDone is set once this process's request to the platform to start the task has returned.
	startRequestDone bool
}

func newJobRunner(c *Control) *jobRunner {
	r := &jobRunner{control: c, scope: c.metrics.Scope().SubScope("jobs"), mayStart: make(chan struct{}, 1)}
	r.reset()
	return r
}

func (r *jobRunner) reset() {
	r.scheduler = placement.New()
	r.active = make(map[string]map[string]*activeJob)
	r.ended = endedJobs{}
	r.permitTargets = make(map[string]permitTarget)
}

// jobChanged applies a committed change of a job; it is called in log order. The caller holds the state machine's lock.
func (r *jobRunner) jobChanged(old, job *laburnumv1.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateJob(old, job)
}

// rebuild replaces all jobs after a snapshot was restored. The caller holds the state machine's lock.
func (r *jobRunner) rebuild(all map[string]*laburnumv1.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	for _, job := range all {
		r.updateJob(nil, job)
	}
}

func (r *jobRunner) updateJob(old, job *laburnumv1.Job) {
	id := job.GetId()
	if job == nil {
		id = old.Id
	}
	r.scheduler.ApplyJob(id, job)
	var known *activeJob
	if old != nil && machine.OccupiesWorker(old.State) {
		known = r.active[old.DataCentre][id]
		delete(r.active[old.DataCentre], id)
	}
	if job == nil {
		return
	}
	if machine.OccupiesWorker(job.State) {
		r.trackActive(known, job)
	}
	if machine.Ended(job.State) {
		r.ended.add(job)
	}
	select {
	case r.mayStart <- struct{}{}:
	default:
	}
}

func (r *jobRunner) trackActive(known *activeJob, job *laburnumv1.Job) {
	next := &activeJob{job: job, lastReport: time.UnixMilli(job.StartedUnixMs)}
	if known != nil && known.job.Attempt == job.Attempt {
		next.lastReport, next.shouldMove, next.startRequestDone = known.lastReport, known.shouldMove, known.startRequestDone
	}
	if r.active[job.DataCentre] == nil {
		r.active[job.DataCentre] = make(map[string]*activeJob)
	}
	r.active[job.DataCentre][job.Id] = next
}

// placeLoop places waiting jobs on workers while this instance leads: at every tick and after each change of a job.
func (r *jobRunner) placeLoop(ctx context.Context) error {
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if r.leads() {
				r.refreshScheduler()
			}
		case <-r.mayStart:
		case <-ctx.Done():
			return nil
		}
		if r.leads() {
			r.place(ctx)
		}
	}
}

func (r *jobRunner) leads() bool { return r.control.replica.Status().IsLeader }

// refreshScheduler updates the scheduler with the current workers and the current permits of the workspaces.
func (r *jobRunner) refreshScheduler() {
	c := r.control
	now := c.now()
	var workers []placement.Worker
	var closed []string
	c.plan(now, func(in *capacity.Input) *laburnumv1.AssignmentPlan {
		workers, closed = workersOf(in)
		return nil
	})
	r.mu.Lock()
	for _, w := range workers {
		r.scheduler.SetWorker(w)
	}
	for _, id := range closed {
		r.scheduler.CloseWorker(id)
	}
	r.mu.Unlock()
	r.syncPermits()
}

// workersOf returns the instances that accept tasks and the ids of those that do not.
func workersOf(in *capacity.Input) (open []placement.Worker, closed []string) {
	for id, a := range in.Roster.All() {
		i := in.Fleet.Instances[id]
		serves := a.State == laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED
		if !serves || i == nil || !i.Up(in.Now) || i.View.Resources == nil {
			closed = append(closed, id)
			continue
		}
		open = append(open, placement.Worker{
			ID: id, Pool: a.Pool, DataCentre: a.DataCentre, Capacity: placement.SizeOf(i.View.Resources),
		})
	}
	return open, closed
}

// place commits the job changes that the scheduler plans and then starts the tasks whose start was committed.
func (r *jobRunner) place(ctx context.Context) {
	now := r.control.now()
	r.mu.Lock()
	d := r.scheduler.Plan(now, maxBatch)
	r.mu.Unlock()
	batch := append(append(d.Start, d.Park...), d.Wake...)
	if len(batch) == 0 {
		return
	}
	err := r.commit(ctx, &laburnumv1.JobBatch{Jobs: batch})
	if err != nil {
		r.control.log.Warn("placement not committed", "jobs", len(batch), "error", err)
	}
	r.mu.Lock()
	r.scheduler.RevertStarts(d.Start) // has no effect on starts that were committed
	started := r.committed(d.Start)
	r.mu.Unlock()
	r.startTasks(ctx, started)
	if len(d.Start) == maxBatch {
		r.signalMayStart()
	}
}

func (r *jobRunner) signalMayStart() {
	select {
	case r.mayStart <- struct{}{}:
	default:
	}
}

// committed returns the current state of those starts that were committed to the log.
func (r *jobRunner) committed(starts []*laburnumv1.Job) []*laburnumv1.Job {
	var list []*laburnumv1.Job
	for _, job := range starts {
		w := r.active[job.DataCentre][job.Id]
		if w != nil && w.job.Attempt == job.Attempt && w.job.State == laburnumv1.JobState_JOB_STATE_STARTING {
			list = append(list, w.job)
		}
	}
	return list
}

// startTasks asks the platforms to start tasks and commits the job states that follow from their answers.
func (r *jobRunner) startTasks(ctx context.Context, list []*laburnumv1.Job) {
	var mu sync.Mutex
	var next []*laburnumv1.Job
	var group errgroup.Group
	group.SetLimit(maxPlatformCalls)
	for _, job := range list {
		group.Go(func() error {
			err := r.startTask(ctx, job)
			r.markStartRequestDone(job)
			r.control.log.Info("task started", "job", job.Id, "team", job.Team, "worker", job.Worker,
				"attempt", job.Attempt, "reason", job.Reason, "error", err)
			r.scope.Timer("start_wait").Record(r.control.now().Sub(time.UnixMilli(job.SubmittedUnixMs)))
			if changed := jobs.ApplyStartResult(job, err, r.control.now()); changed != nil {
				mu.Lock()
				next = append(next, changed)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	r.commitAll(ctx, next)
}

// markStartRequestDone records that the start request of a task has returned, so that its lease may be renewed.
func (r *jobRunner) markStartRequestDone(job *laburnumv1.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.active[job.DataCentre][job.Id]; w != nil && w.job.Attempt == job.Attempt {
		w.startRequestDone = true
	}
}

func (r *jobRunner) startTask(ctx context.Context, job *laburnumv1.Job) error {
	client := r.control.platforms[job.DataCentre]
	if client == nil {
		return platform.ErrUnreachable.New("no platform is set for data centre %q", job.DataCentre)
	}
	return client.Start(ctx, jobs.TaskOf(job))
}

// commit proposes a batch of jobs.
func (r *jobRunner) commit(ctx context.Context, batch *laburnumv1.JobBatch, decisions ...*laburnumv1.Decision) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	cmd := &laburnumv1.Command{By: r.control.settings.Name, Kind: &laburnumv1.Command_Jobs{Jobs: batch}, Decisions: decisions}
	_, err := r.control.propose(ctx, cmd)
	return err
}

// commitAll proposes new states of jobs in batches. It stops at the first error; changes that were not committed are
// decided again in a later round.
func (r *jobRunner) commitAll(ctx context.Context, next []*laburnumv1.Job, decisions ...*laburnumv1.Decision) {
	for len(next)+len(decisions) > 0 {
		n := min(len(next), maxBatch)
		if err := r.commit(ctx, &laburnumv1.JobBatch{Jobs: next[:n]}, decisions...); err != nil {
			r.control.log.Warn("jobs not committed", "jobs", n, "error", err)
			return
		}
		next, decisions = next[n:], nil
	}
}
