// Package placement decides which worker runs which job. It shares workers fairly between workspaces, starts urgent jobs of
// a workspace first, and prefers the fullest worker that has room for the expected size of the job. A task is the current
// attempt of a job on a worker, which package ledger calls a run. Package schedule places the jobs of that package.
//
// A Scheduler is a deterministic state machine over the job records of the control log; it reads no clock and does no
// I/O. The cost of an event is proportional to what it changes: jobs wait in queues by pool and workspace, workers are
// indexed in buckets by free processors and by free accelerators, and only pools in which something changed are planned.
package placement

import (
	"container/heap"
	"container/list"
	"fmt"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	waiting  = laburnumv1.JobState_JOB_STATE_WAITING
	starting = laburnumv1.JobState_JOB_STATE_STARTING
	parked   = laburnumv1.JobState_JOB_STATE_PARKED

	// backfillDepth is the number of jobs at the head of a queue that are tried in order until one fits.
	backfillDepth = 8
	// oversizeTimeout is how long a job waits for a large enough worker before it is parked.
	oversizeTimeout = 30 * time.Second
)

// Scheduler holds the jobs that wait or run and the workers. It is not safe for concurrent use.
type Scheduler struct {
	pools      map[string]*pool
	workers    map[string]*worker
	workspaces map[string]*workspace
	jobs       map[string]*trackedJob
	delayed    delayHeap
	dirty      map[string]bool // pools in which something may start
	excluded   map[string]*worker
	estimator  *Estimator
}

// pool holds the workers of a pool that accept new tasks, and its waiting jobs.
type pool struct {
	name    string
	indexes [indexKinds]*index
	members map[string]*worker
	queues  map[string]*workspaceQueue
	largest Size // component-wise maximum over the members
	// oversize holds jobs that declare more of some resource than any member offers.
	oversize map[string]*trackedJob
}

// trackedJob is a job with its scheduling state.
type trackedJob struct {
	job           *laburnumv1.Job
	element       *list.Element // in a workspaceQueue, if the job waits there
	delayed       bool          // waits in Scheduler.delayed for its earliest start time
	pending       bool          // a start was decided but is not committed
	oversizeSince time.Time     // when a plan first found no large enough worker
	worker        *worker
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		pools:      make(map[string]*pool),
		workers:    make(map[string]*worker),
		workspaces: make(map[string]*workspace),
		jobs:       make(map[string]*trackedJob),
		dirty:      make(map[string]bool),
		excluded:   make(map[string]*worker),
		estimator:  NewEstimator(),
	}
}

// Estimator returns the scheduler's estimator of sizes and run times.
func (s *Scheduler) Estimator() *Estimator { return s.estimator }

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, members: make(map[string]*worker), queues: make(map[string]*workspaceQueue), oversize: make(map[string]*trackedJob)}
		for kind := range indexKinds {
			p.indexes[kind] = &index{kind: kind}
		}
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) workspace(name string) *workspace {
	t := s.workspaces[name]
	if t == nil {
		t = &workspace{Workspace: Workspace{Name: name, Share: 1}}
		s.workspaces[name] = t
	}
	return t
}

// SetWorkspace sets the share and the permits of a workspace.
func (s *Scheduler) SetWorkspace(t Workspace) {
	known := s.workspace(t.Name)
	if known.Workspace == t {
		return
	}
	raised := t.Permits > known.Permits
	known.Workspace = t
	if !raised || known.waiting == 0 {
		return
	}
	for name, p := range s.pools {
		if q := p.queues[t.Name]; q != nil && q.len() > 0 {
			s.dirty[name] = true
		}
	}
}

// RunningAndWaiting returns how many tasks a workspace runs and how many jobs wait.
func (s *Scheduler) RunningAndWaiting(name string) (running, waiting int) {
	t := s.workspace(name)
	return t.running, t.waiting
}

// Workspaces returns the names of the workspaces that have jobs, sorted.
func (s *Scheduler) Workspaces() []string {
	var names []string
	for name, t := range s.workspaces {
		if t.running+t.waiting > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// SetWorker adds or changes a worker that accepts new tasks.
func (s *Scheduler) SetWorker(w Worker) {
	known := s.workers[w.ID]
	if known != nil && known.open && known.Worker == w {
		return
	}
	if known == nil {
		known = newWorker(w.ID)
		s.workers[w.ID] = known
	}
	s.removeFromPool(known)
	known.Worker = w
	known.open = true
	p := s.pool(w.Pool)
	p.members[w.ID] = known
	for _, x := range p.indexes {
		x.add(known)
	}
	p.largest = p.largest.componentMax(w.Capacity)
	s.dirty[w.Pool] = true
}

// CloseWorker ends the placement of tasks on a worker that is draining or doesn't report. Its running tasks keep their
// reservations.
func (s *Scheduler) CloseWorker(id string) {
	if w := s.workers[id]; w != nil && w.open {
		s.removeFromPool(w)
	}
}

// AcceptsTasks reports whether a worker accepts new tasks.
func (s *Scheduler) AcceptsTasks(id string) bool { w := s.workers[id]; return w != nil && w.open }

func (s *Scheduler) removeFromPool(w *worker) {
	if !w.open {
		return
	}
	w.open = false
	p := s.pool(w.Pool)
	for _, x := range p.indexes {
		x.remove(w)
	}
	delete(p.members, w.ID)
	p.largest = Size{}
	for _, m := range p.members {
		p.largest = p.largest.componentMax(m.Capacity)
	}
	if len(w.tasks) == 0 && w.failures == 0 {
		delete(s.workers, w.ID)
	}
}

// assign reserves resources for a job on a worker, and unassign releases them.
func (s *Scheduler) assign(t *trackedJob, id string, size Size) {
	w := s.workers[id]
	if w == nil {
		w = newWorker(id)
		w.Pool = t.job.Pool
		s.workers[id] = w
	}
	t.worker = w
	s.workspace(t.job.Team).running++
	s.reserve(w, t.job.Id, size)
}

func (s *Scheduler) reserve(w *worker, job string, size Size) {
	w.reserved = w.reserved.minus(w.tasks[job]).plus(size)
	w.tasks[job] = size
	s.reindex(w)
}

func (s *Scheduler) unassign(t *trackedJob) {
	w := t.worker
	t.worker = nil
	s.workspace(t.job.Team).running--
	w.reserved = w.reserved.minus(w.tasks[t.job.Id])
	delete(w.tasks, t.job.Id)
	s.reindex(w)
	s.dirty[w.Pool] = true
}

// reindex updates the indexes of a worker's pool after the worker's reservations changed.
func (s *Scheduler) reindex(w *worker) {
	if !w.open {
		return
	}
	for _, x := range s.pool(w.Pool).indexes {
		x.update(w)
	}
}

// ApplyJob applies the current record of a job in the control log; nil removes a job that the log no longer has. It
// must be called in the order of the log.
func (s *Scheduler) ApplyJob(id string, job *laburnumv1.Job) {
	known := s.jobs[id]
	if known != nil && known.pending && job != nil && job.State == starting && job.Worker == known.worker.ID {
		known.pending = false
		known.job = job
		return
	}
	if known != nil {
		s.untrack(known)
	}
	if job == nil {
		return
	}
	t := &trackedJob{job: job}
	switch {
	case job.State == waiting:
		s.jobs[id] = t
		s.enqueue(t)
	case occupiesWorker(job.State):
		s.jobs[id] = t
		s.assign(t, job.Worker, reservedOf(job))
	case job.State == parked && len(job.FailedWorkers) == 0: // parked as oversize, not because it failed on several workers
		s.jobs[id] = t
		s.pool(job.Pool).oversize[id] = t
	}
}

func occupiesWorker(state laburnumv1.JobState) bool {
	switch state {
	case starting, laburnumv1.JobState_JOB_STATE_RUNNING, laburnumv1.JobState_JOB_STATE_UNKNOWN, laburnumv1.JobState_JOB_STATE_CANCELLING:
		return true
	}
	return false
}

func (s *Scheduler) enqueue(t *trackedJob) {
	s.workspace(t.job.Team).waiting++
	p := s.pool(t.job.Pool)
	if t.job.NotBeforeUnixMs > t.job.SubmittedUnixMs {
		t.delayed = true
		heap.Push(&s.delayed, t)
		return
	}
	s.enqueueReady(p, t)
}

// enqueueReady puts a job into its workspace's queue, or into the pool's oversize jobs if it declares more of some resource
// than any worker offers.
func (s *Scheduler) enqueueReady(p *pool, t *trackedJob) {
	if !fits(declaredOf(t.job), p.largest) {
		p.oversize[t.job.Id] = t
		s.dirty[p.name] = true
		return
	}
	q := p.queues[t.job.Team]
	if q == nil {
		q = newWorkspaceQueue(s.workspace(t.job.Team))
		p.queues[t.job.Team] = q
	}
	q.push(t)
	s.dirty[p.name] = true
}

// untrack removes a job from all queues and releases its reservation.
func (s *Scheduler) untrack(t *trackedJob) {
	p := s.pool(t.job.Pool)
	delete(s.jobs, t.job.Id)
	delete(p.oversize, t.job.Id)
	if t.element != nil {
		p.queues[t.job.Team].remove(t)
	}
	t.delayed = false
	if t.job.State == waiting && !t.pending {
		s.workspace(t.job.Team).waiting--
	}
	if t.worker != nil {
		s.unassign(t)
	}
}

// Decision holds job records to commit.
type Decision struct {
	Start []*laburnumv1.Job
	Park  []*laburnumv1.Job
	// Wake holds parked jobs for which a large enough worker now exists.
	Wake []*laburnumv1.Job
}

// Plan starts up to limit jobs and parks or wakes oversize jobs. A start reserves its resources at once: ApplyJob
// confirms it, RevertStarts reverts it and releases them.
func (s *Scheduler) Plan(now time.Time, limit int) *Decision {
	d := &Decision{}
	for _, t := range s.delayed.popDue(now) {
		t.delayed = false
		s.enqueueReady(s.pool(t.job.Pool), t)
	}
	s.readmit(now)
	names := make([]string, 0, len(s.dirty))
	for name := range s.dirty {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		p := s.pools[name]
		s.reviewOversize(p, d, now)
		if s.startJobs(p, d, now, limit) {
			delete(s.dirty, name)
		}
		if len(p.oversize) > 0 {
			s.dirty[name] = true
		}
	}
	return d
}

// startJobs starts jobs of a pool, each time from the workspace with the fewest running tasks per share. It returns false if
// it stopped at the limit.
func (s *Scheduler) startJobs(p *pool, d *Decision, now time.Time, limit int) bool {
	var eligible queueHeap
	for _, q := range p.queues {
		if q.len() > 0 && q.workspace.hasFreePermit() {
			eligible = append(eligible, q)
		}
	}
	heap.Init(&eligible)
	for eligible.Len() > 0 {
		if len(d.Start) >= limit {
			return false
		}
		q := eligible[0]
		job := s.startFromQueue(p, q, now)
		if job != nil {
			d.Start = append(d.Start, job)
		}
		if job == nil || q.len() == 0 || !q.workspace.hasFreePermit() {
			heap.Pop(&eligible)
			continue
		}
		heap.Fix(&eligible, 0)
	}
	return true
}

// startFromQueue starts the first job that fits, among the first backfillDepth jobs of a queue.
func (s *Scheduler) startFromQueue(p *pool, q *workspaceQueue, now time.Time) *laburnumv1.Job {
	tried := 0
	for _, jobs := range []*list.List{q.urgent, q.normal} {
		for e := jobs.Front(); e != nil && tried < backfillDepth; e = e.Next() {
			t := e.Value.(*trackedJob)
			if job := s.startJob(p, t, now); job != nil {
				return job
			}
			tried++
		}
	}
	return nil
}

func (s *Scheduler) startJob(p *pool, t *trackedJob, now time.Time) *laburnumv1.Job {
	size := s.estimator.Predict(t.job).capped(p.largest)
	kind := byCPU
	if size.Accelerators > 0 {
		kind = byAccelerators
	}
	w := p.indexes[kind].bestFit(size, func(w *worker) bool { return !w.mayGetTask(now) || failedOn(t.job, w.ID) })
	if w == nil {
		return nil
	}
	p.queues[t.job.Team].remove(t)
	s.workspace(t.job.Team).waiting--
	t.pending = true
	s.assign(t, w.ID, size)
	next := proto.Clone(t.job).(*laburnumv1.Job)
	next.State = starting
	next.Worker = w.ID
	next.DataCentre = w.DataCentre
	next.Attempt++
	next.Learned = size.Resources()
	next.Reason = fmt.Sprintf("placed: expected %d mCPU, %d MiB; %d of %d mCPU free", size.MilliCPU, size.Memory>>20, w.free().MilliCPU, w.Capacity.MilliCPU)
	return next
}

// RevertStarts reverts starts that were not committed.
func (s *Scheduler) RevertStarts(starts []*laburnumv1.Job) {
	for _, job := range starts {
		t := s.jobs[job.Id]
		if t == nil || !t.pending {
			continue
		}
		t.pending = false
		s.unassign(t)
		s.enqueue(t)
	}
}

// readmit ends the exclusion of workers whose exclusion time has passed.
func (s *Scheduler) readmit(now time.Time) {
	for id, w := range s.excluded {
		if !now.Before(w.excludedUntil) {
			delete(s.excluded, id)
			s.dirty[w.Pool] = true
		}
	}
}

// fits reports whether a declared size is at most largest, the component-wise maximum over the workers of a pool.
func fits(declared, largest Size) bool { return declared.fitsIn(largest) }

// reviewOversize parks waiting jobs that for oversizeTimeout have declared more of some resource than any worker offers. Once
// their declarations fit, waiting jobs return to their queue and parked ones are woken.
func (s *Scheduler) reviewOversize(p *pool, d *Decision, now time.Time) {
	if len(p.members) == 0 {
		return // without known workers, no job can be called too large
	}
	ids := make([]string, 0, len(p.oversize))
	for id := range p.oversize {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		t := p.oversize[id]
		declared := declaredOf(t.job)
		if t.oversizeSince.IsZero() {
			t.oversizeSince = now
		}
		switch {
		case fits(declared, p.largest) && t.job.State == waiting:
			delete(p.oversize, id)
			s.enqueueReady(p, t)
		case fits(declared, p.largest):
			d.Wake = append(d.Wake, withState(t.job, waiting, "a worker that is large enough came"))
		case t.job.State == waiting && now.Sub(t.oversizeSince) >= oversizeTimeout:
			d.Park = append(d.Park, withState(t.job, parked, fmt.Sprintf(
				"asks %d mCPU, %d MiB, %d accelerators; the largest worker of pool %s has %d mCPU, %d MiB, %d accelerators",
				declared.MilliCPU, declared.Memory>>20, declared.Accelerators, p.name,
				p.largest.MilliCPU, p.largest.Memory>>20, p.largest.Accelerators)))
		}
	}
}

// withState returns a copy of a job with another state and reason.
func withState(job *laburnumv1.Job, state laburnumv1.JobState, reason string) *laburnumv1.Job {
	next := proto.Clone(job).(*laburnumv1.Job)
	next.State = state
	next.Reason = reason
	return next
}
