package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	running   = laburnumv1.JobState_JOB_STATE_RUNNING
	done      = laburnumv1.JobState_JOB_STATE_DONE
	cancelled = laburnumv1.JobState_JOB_STATE_CANCELLED
	gib       = 1 << 30
	unlimited = 1 << 20
)

var epoch = time.Unix(1_800_000_000, 0)

// harness stands in for the control log: it commits the scheduler's decisions and passes the committed jobs back to it.
type harness struct {
	*Scheduler
	t         *testing.T
	now       time.Time
	committed map[string]*laburnumv1.Job
	seq       int64
}

func newHarness(t *testing.T, workers int, capacity Size) *harness {
	h := &harness{Scheduler: New(), t: t, now: epoch, committed: make(map[string]*laburnumv1.Job)}
	for i := range workers {
		h.SetWorker(Worker{ID: fmt.Sprintf("w%d", i), Pool: "p", DataCentre: "dc1", Capacity: capacity})
	}
	for _, name := range []string{"soap", "perfume"} {
		h.SetWorkspace(Workspace{Name: name, Share: 1, Permits: unlimited})
	}
	return h
}

func (h *harness) commit(job *laburnumv1.Job) *laburnumv1.Job {
	h.committed[job.Id] = job
	h.ApplyJob(job.Id, job)
	return job
}

func (h *harness) submit(id, workspace string, size Size, change ...func(*laburnumv1.Job)) *laburnumv1.Job {
	h.seq++
	job := &laburnumv1.Job{Id: id, Team: workspace, Pool: "p", Declared: size.Resources(), State: waiting, SubmittedUnixMs: h.now.UnixMilli() + h.seq}
	for _, c := range change {
		c(job)
	}
	return h.commit(job)
}

func (h *harness) setState(id string, state laburnumv1.JobState) *laburnumv1.Job {
	job := proto.Clone(h.committed[id]).(*laburnumv1.Job)
	job.State = state
	return h.commit(job)
}

// plan commits all decisions of the scheduler and returns the started jobs in order.
func (h *harness) plan(limit int) []*laburnumv1.Job {
	d := h.Plan(h.now, limit)
	for _, list := range [][]*laburnumv1.Job{d.Start, d.Park, d.Wake} {
		for _, job := range list {
			h.commit(job)
		}
	}
	return d.Start
}

func jobIDs(jobs []*laburnumv1.Job) []string {
	var ids []string
	for _, j := range jobs {
		ids = append(ids, j.Id)
	}
	return ids
}

func urgent(j *laburnumv1.Job) { j.Urgent = true }

var oneCore = Size{MilliCPU: 1000, Memory: gib}

func TestUrgentJobsStartFirstWithinTheirWorkspace(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 3000, Memory: 64 * gib})
	h.submit("s1", "soap", oneCore)
	h.submit("s2", "soap", oneCore)
	h.submit("p1", "perfume", oneCore)
	h.submit("s3", "soap", oneCore, urgent)
	// The perfume workspace isn't delayed: an urgent job goes ahead of its own workspace's jobs only.
	must.Eq(t, []string{"p1", "s3", "s1"}, jobIDs(h.plan(unlimited)))
}

func TestWorkspacesStartTasksInProportionToShare(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 8000, Memory: 64 * gib})
	h.SetWorkspace(Workspace{Name: "soap", Share: 3, Permits: unlimited})
	for i := range 20 {
		h.submit(fmt.Sprintf("s%d", i), "soap", oneCore)
		h.submit(fmt.Sprintf("p%d", i), "perfume", oneCore)
	}
	h.plan(unlimited)
	soap, _ := h.RunningAndWaiting("soap")
	perfume, _ := h.RunningAndWaiting("perfume")
	must.Eq(t, 6, soap)
	must.Eq(t, 2, perfume)
}

func TestPermitsLimitRunningTasks(t *testing.T) {
	h := newHarness(t, 4, Size{MilliCPU: 8000, Memory: 64 * gib})
	h.SetWorkspace(Workspace{Name: "soap", Share: 1, Permits: 2})
	for i := range 5 {
		h.submit(fmt.Sprintf("s%d", i), "soap", oneCore)
	}
	must.Len(t, 2, h.plan(unlimited))
	h.SetWorkspace(Workspace{Name: "soap", Share: 1, Permits: 3})
	must.Len(t, 1, h.plan(unlimited))
	h.setState("s0", done)
	must.Len(t, 1, h.plan(unlimited))
}

func TestPlacementPacksAndAvoidsFailedWorkers(t *testing.T) {
	h := newHarness(t, 3, Size{MilliCPU: 4000, Memory: 64 * gib})
	first := h.submit("s1", "soap", oneCore)
	h.plan(unlimited)
	worker := h.committed[first.Id].Worker
	h.submit("s2", "soap", oneCore)
	must.Eq(t, worker, h.plan(unlimited)[0].Worker) // the fullest worker with room
	h.submit("s3", "soap", oneCore, func(j *laburnumv1.Job) { j.FailedWorkers = []string{worker} })
	must.NotEq(t, worker, h.plan(unlimited)[0].Worker)
}

func TestAcceleratorsAreFoundAmongManyWorkers(t *testing.T) {
	h := newHarness(t, 2000, Size{MilliCPU: 32_000, Memory: 64 * gib})
	h.SetWorker(Worker{ID: "gpu", Pool: "p", Capacity: Size{MilliCPU: 32_000, Memory: 64 * gib, Accelerators: 4}})
	h.submit("s1", "soap", Size{MilliCPU: 500, Memory: gib, Accelerators: 2})
	h.submit("s2", "soap", Size{MilliCPU: 500, Memory: gib, Accelerators: 3})
	started := h.plan(unlimited)
	must.Len(t, 1, started)
	must.Eq(t, "gpu", started[0].Worker)
}

func TestOversizeJobIsParkedUntilALargeEnoughWorkerJoins(t *testing.T) {
	h := newHarness(t, 2, Size{MilliCPU: 4000, Memory: 64 * gib})
	h.submit("big", "soap", Size{MilliCPU: 80_000, Memory: gib})
	h.submit("s1", "soap", oneCore)
	must.Eq(t, []string{"s1"}, jobIDs(h.plan(unlimited)))
	must.Eq(t, waiting, h.committed["big"].State)
	h.now = h.now.Add(oversizeTimeout)
	h.plan(unlimited)
	must.Eq(t, parked, h.committed["big"].State)
	must.StrContains(t, h.committed["big"].Reason, "asks 80000 mCPU")
	h.SetWorker(Worker{ID: "large", Pool: "p", Capacity: Size{MilliCPU: 96_000, Memory: 256 * gib}})
	h.plan(unlimited)
	h.plan(unlimited)
	must.Eq(t, starting, h.committed["big"].State)
	must.Eq(t, "large", h.committed["big"].Worker)
}

func TestJobsWaitWhileNoWorkerIsKnown(t *testing.T) {
	h := newHarness(t, 0, Size{})
	h.submit("s1", "soap", oneCore)
	for range 3 {
		h.now = h.now.Add(oversizeTimeout)
		must.SliceEmpty(t, h.plan(unlimited))
	}
	must.Eq(t, waiting, h.committed["s1"].State)
	h.SetWorker(Worker{ID: "w1", Pool: "p", Capacity: Size{MilliCPU: 4000, Memory: 64 * gib}})
	must.Len(t, 1, h.plan(unlimited))
}

func TestWorkerIsExcludedAfterConsecutiveFailuresAndReadmitted(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 8000, Memory: 64 * gib})
	failOne := func(i int) bool {
		id := fmt.Sprintf("s%d", i)
		h.submit(id, "soap", oneCore)
		if len(h.plan(unlimited)) == 0 {
			return false
		}
		h.RecordFailure(h.committed[id], h.now)
		h.setState(id, done)
		return true
	}
	for i := range failuresToExclude {
		must.True(t, failOne(i))
	}
	h.submit("wait1", "soap", oneCore)
	h.submit("wait2", "soap", oneCore)
	must.SliceEmpty(t, h.plan(unlimited))
	h.now = h.now.Add(initialExclusion)
	must.Len(t, 1, h.plan(unlimited)) // on probation: one task at a time until one succeeds
	h.RecordSuccess(h.committed["wait1"], time.Second)
	h.setState("wait1", done)
	must.Len(t, 1, h.plan(unlimited))
	must.True(t, failOne(9))
	must.True(t, failOne(10)) // one failure after a success doesn't exclude the worker
}

func TestRepeatedFailuresOfOneJobDoNotExcludeItsWorker(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 8000, Memory: 64 * gib})
	job := h.submit("s1", "soap", oneCore)
	h.plan(unlimited)
	for range 2 * failuresToExclude {
		must.False(t, h.RecordFailure(h.committed[job.Id], h.now))
	}
}

func TestDeclarationsTenTimesTooLargeAreCorrected(t *testing.T) {
	h := newHarness(t, 4, Size{MilliCPU: 10_000, Memory: 100 * gib})
	declared, used := Size{MilliCPU: 10_000, Memory: 10 * gib}, Size{MilliCPU: 1000, Memory: gib}
	for i := range 40 {
		h.submit(fmt.Sprintf("s%d", i), "soap", declared)
	}
	must.Len(t, 4, h.plan(unlimited))
	for i := range 4 {
		must.SliceEmpty(t, h.RecordUsage(fmt.Sprintf("s%d", i), used))
	}
	must.GreaterEq(t, 28, len(h.plan(unlimited)))
}

func TestDeclarationsTenTimesTooSmallCauseRelief(t *testing.T) {
	h := newHarness(t, 2, Size{MilliCPU: 10_000, Memory: 10 * gib})
	declared, used := Size{MilliCPU: 100, Memory: gib / 10}, Size{MilliCPU: 1000, Memory: gib}
	for i := range 200 {
		h.submit(fmt.Sprintf("s%d", i), "soap", declared)
	}
	started := h.plan(unlimited)
	must.Len(t, 200, started)
	moved := 0
	for _, job := range started {
		for _, r := range h.RecordUsage(job.Id, used) {
			must.Nil(t, r.Throttle) // memory cannot be throttled
			if h.committed[r.Job.Id].State == starting {
				moved++
				h.setState(r.Job.Id, done) // the task was checkpointed and has left the worker
			}
		}
	}
	must.GreaterEq(t, 180, moved)
	// Later jobs are placed by the learned size instead of the declared one.
	for i := range 40 {
		h.submit(fmt.Sprintf("later%d", i), "soap", declared)
	}
	must.LessEq(t, 4, len(h.plan(unlimited)))
}

func TestNewestNonUrgentTaskIsThrottledFirst(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 4000, Memory: 100 * gib})
	h.submit("old", "soap", Size{MilliCPU: 2000, Memory: gib})
	h.submit("hot", "soap", Size{MilliCPU: 1000, Memory: gib}, urgent)
	h.submit("new", "soap", Size{MilliCPU: 1000, Memory: gib})
	h.plan(unlimited)
	for i, id := range []string{"old", "hot", "new"} {
		job := proto.Clone(h.committed[id]).(*laburnumv1.Job)
		job.State = running
		job.StartedUnixMs = int64(i)
		h.commit(job)
	}
	relief := h.RecordUsage("new", Size{MilliCPU: 3000, Memory: gib})
	must.Len(t, 1, relief)
	must.Eq(t, "new", relief[0].Job.Id)
	must.Eq(t, 1000, relief[0].Throttle.MilliCpu)
}

func TestRevertStartsQueuesUncommittedStartAgain(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 1000, Memory: gib})
	h.submit("s1", "soap", oneCore)
	h.submit("s2", "soap", oneCore)
	d := h.Plan(h.now, unlimited)
	must.Eq(t, []string{"s1"}, jobIDs(d.Start))
	must.SliceEmpty(t, h.Plan(h.now, unlimited).Start)
	h.RevertStarts(d.Start)
	must.Eq(t, []string{"s1"}, jobIDs(h.plan(unlimited)))
	run, wait := h.RunningAndWaiting("soap")
	must.Eq(t, 1, run)
	must.Eq(t, 1, wait)
}

func TestCancellingAllJobsFreesTheirResources(t *testing.T) {
	h := newHarness(t, 10, Size{MilliCPU: 10_000, Memory: 100 * gib})
	const jobs = 1000
	for i := range jobs {
		h.submit(fmt.Sprintf("s%d", i), "soap", oneCore)
	}
	must.Len(t, 100, h.plan(unlimited))
	for i := range jobs {
		h.setState(fmt.Sprintf("s%d", i), cancelled)
	}
	run, wait := h.RunningAndWaiting("soap")
	must.Eq(t, 0, run+wait)
	must.SliceEmpty(t, h.plan(unlimited))
	h.submit("next", "soap", Size{MilliCPU: 10_000, Memory: gib})
	must.Len(t, 1, h.plan(unlimited))
}

func TestDelayedJobWaits(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 4000, Memory: 64 * gib})
	h.submit("s1", "soap", oneCore, func(j *laburnumv1.Job) { j.NotBeforeUnixMs = epoch.Add(5 * time.Second).UnixMilli() })
	must.SliceEmpty(t, h.plan(unlimited))
	h.now = epoch.Add(5 * time.Second)
	must.Len(t, 1, h.plan(unlimited))
}

func TestClosedWorkerGetsNoNewTasksAndKeepsItsOwn(t *testing.T) {
	h := newHarness(t, 1, Size{MilliCPU: 4000, Memory: 64 * gib})
	h.submit("s1", "soap", oneCore)
	h.plan(unlimited)
	h.CloseWorker("w0")
	h.submit("s2", "soap", oneCore)
	must.SliceEmpty(t, h.plan(unlimited))
	h.SetWorker(Worker{ID: "w0", Pool: "p", DataCentre: "dc1", Capacity: Size{MilliCPU: 1000, Memory: 64 * gib}})
	must.SliceEmpty(t, h.plan(unlimited)) // s1 still uses all of its capacity
	h.setState("s1", done)
	must.Len(t, 1, h.plan(unlimited))
}
