package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	connection "laburnumrouter/internal/connection/platform"
	"laburnumrouter/internal/standin/platform"
	"laburnumrouter/internal/version/machine"
	"laburnumrouter/internal/version/observed"
	"laburnumrouter/internal/version/sheet"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const (
	testWorkers       = 4
	awaitTimeout      = 20 * time.Second
	awaitPollInterval = 20 * time.Millisecond
)

// testControl is a control instance that is the only voter of its log, with a stand-in platform and simulated workers.
type testControl struct {
	*Control
	t          *testing.T
	platform   *platform.Platform
	jobService *jobServer
}

func startControl(t *testing.T) *testControl {
	t.Helper()
	p := platform.New(time.Now)
	mux := http.NewServeMux()
	p.Handle(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)

	s := DefaultSettings()
	s.Name, s.DataCentre, s.DataDir = "control-1", "dc1", t.TempDir()
	c, err := New(s, hclog.NewNullLogger())
	must.NoError(t, err)
	c.platforms["dc1"] = connection.NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), "key")
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for _, loop := range []func(context.Context) error{
		c.replica.Run, c.planLoop, c.waveLoop, c.slicer.run, c.jobs.placeLoop, c.jobs.watchLoop, c.announceWorkers,
	} {
		group.Go(func() error { return loop(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		must.NoError(t, group.Wait())
		must.NoError(t, c.metrics.Close())
	})
	tc := &testControl{Control: c, t: t, platform: p, jobService: &jobServer{control: c}}
	tc.applySheet()
	return tc
}

// announceWorkers simulates an entry that reports, and workers that announce themselves to it.
func (c *Control) announceWorkers(ctx context.Context) error {
	sequence := uint64(0)
	for ctx.Err() == nil {
		sequence++
		c.fleet.read(func(f *observed.Fleet) {
			f.Report(&laburnumv1.ReportRequest{Entry: "entry-1", DataCentre: "dc1"}, time.Now())
			for i := range testWorkers {
				f.Observe(&laburnumv1.InstanceView{
					Instance: fmt.Sprintf("w%d", i), DataCentre: "dc1", Rack: fmt.Sprintf("r%d", i), Slots: 8, Incarnation: 1,
					Sequence: sequence, Services: []string{"archive"}, RunningComplete: true,
					Resources: &laburnumv1.Resources{MilliCpu: 64_000, MemoryBytes: 64 << 30},
				}, time.Now())
			}
		})
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return nil
}

func (c *testControl) applySheet() {
	cfg := &laburnumv1.Configuration{
		SheetNumber: 1,
		Pools:       []*laburnumv1.Pool{{Name: "archive", Service: "archive", Instances: testWorkers}},
		Teams:       []*laburnumv1.Team{{Name: "soap", Share: 1, Limit: 100}},
	}
	cfg.Digest = sheet.Digest(cfg)
	c.await(func() bool {
		_, err := c.propose(c.t.Context(), &laburnumv1.Command{Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}})
		return err == nil
	})
}

func (c *testControl) await(ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !ok() {
		must.True(c.t, time.Now().Before(deadline), must.Sprint("the condition did not hold in time"))
		time.Sleep(awaitPollInterval)
	}
}

func (c *testControl) submit(id, command string, change ...func(*laburnumv1.Job)) {
	c.t.Helper()
	job := &laburnumv1.Job{
		Id: id, Team: "soap", Pool: "archive", Command: command, Digest: []byte(command),
		Declared: &laburnumv1.Resources{MilliCpu: 100, MemoryBytes: 1 << 20}, DeclaredSeconds: 1,
	}
	for _, f := range change {
		f(job)
	}
	resp, err := c.jobService.Submit(c.t.Context(), &laburnumv1.SubmitJobRequest{Job: job})
	must.NoError(c.t, err)
	must.Eq(c.t, "", resp.Refused)
}

func (c *testControl) job(id string) (job *laburnumv1.Job) {
	c.machine.read(func(m *machine.Machine) { job = m.Jobs[id] })
	return job
}

func (c *testControl) awaitState(id string, state laburnumv1.JobState) *laburnumv1.Job {
	c.t.Helper()
	c.await(func() bool { return c.job(id).GetState() == state })
	return c.job(id)
}

func idempotent(j *laburnumv1.Job) { j.Idempotent = true }

const (
	jobDone      = laburnumv1.JobState_JOB_STATE_DONE
	jobFailed    = laburnumv1.JobState_JOB_STATE_FAILED
	jobRunning   = laburnumv1.JobState_JOB_STATE_RUNNING
	jobParked    = laburnumv1.JobState_JOB_STATE_PARKED
	jobCancelled = laburnumv1.JobState_JOB_STATE_CANCELLED
	jobUnknown   = laburnumv1.JobState_JOB_STATE_UNKNOWN
)

func TestJobsRunOnceWhenPlatformAnswersAreLost(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	c.platform.SetFaults(platform.Faults{LoseAnswers: 3})
	const jobs = 30
	for i := range jobs {
		c.submit(fmt.Sprintf("j%d", i), fmt.Sprintf("seconds=0.1&n=%d", i))
	}
	for i := range jobs {
		c.awaitState(fmt.Sprintf("j%d", i), jobDone)
	}
	for command, n := range c.platform.Starts() {
		must.Eq(t, 1, n, must.Sprint(command))
	}
	must.MapLen(t, jobs, c.platform.Starts())
}

func TestAfterWorkerRebootOnlyIdempotentJobIsRerun(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	c.submit("once", "seconds=60&n=1")
	c.submit("again", "seconds=3&n=2", idempotent)
	worker := c.awaitState("once", jobRunning).Worker
	c.awaitState("again", jobRunning)
	for i := range testWorkers {
		must.NoError(t, c.platforms["dc1"].Reboot(t.Context(), fmt.Sprintf("w%d", i), fmt.Sprintf("crash-%d", i)))
	}
	must.StrContains(t, c.awaitState("once", jobFailed).Reason, "ended early on "+worker)
	c.awaitState("again", jobDone)
	must.Eq(t, 1, c.platform.Starts()["seconds=60&n=1"])
	must.Eq(t, 2, c.platform.Starts()["seconds=3&n=2"])
}

func TestFailingIdempotentJobIsParkedAfterThreeWorkers(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	c.submit("broken", "seconds=0&fail=no+such+archive", idempotent)
	c.submit("once", "seconds=0&fail=bad+input")
	job := c.awaitState("broken", jobParked)
	must.Len(t, 3, job.FailedWorkers)
	must.StrContains(t, job.Reason, "no such archive")
	must.Eq(t, 3, c.platform.Starts()["seconds=0&fail=no+such+archive"])
	must.StrContains(t, c.awaitState("once", jobFailed).Reason, "bad input")
	must.Eq(t, 1, c.platform.Starts()["seconds=0&fail=bad+input"])
}

func TestWorkerThatFailsEverythingIsExcluded(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	c.platform.SetFaults(platform.Faults{FailingWorkers: []string{"w0"}})
	const jobs = 24
	large := func(j *laburnumv1.Job) { j.Declared.MilliCpu = 20_000 } // three fit on one worker
	for i := range jobs {
		c.submit(fmt.Sprintf("j%d", i), fmt.Sprintf("seconds=0.1&n=%d", i), idempotent, large)
	}
	for i := range jobs {
		c.awaitState(fmt.Sprintf("j%d", i), jobDone)
	}
	excluded := 0
	c.machine.read(func(m *machine.Machine) {
		for _, d := range m.Decisions {
			if d.Subject == "instance/w0" && d.Action == "excluded" {
				excluded++
			}
		}
	})
	must.Eq(t, 1, excluded)
}

func TestCancellingManyJobsReleasesTheirPermits(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	const jobs = 1000
	submit := &laburnumv1.JobBatch{}
	cancel := &laburnumv1.JobBatch{}
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		submit.Submit = append(submit.Submit, &laburnumv1.Job{Id: id, Team: "soap", Pool: "archive", Command: "seconds=600"})
		cancel.Cancel = append(cancel.Cancel, &laburnumv1.JobCancellation{Id: id, Team: "soap"})
	}
	_, err := c.jobService.propose(t.Context(), "soap", submit)
	must.NoError(t, err)
	c.awaitState("j0", jobRunning)
	_, err = c.jobService.propose(t.Context(), "soap", cancel)
	must.NoError(t, err)
	c.await(func() bool {
		left := 0
		c.machine.read(func(m *machine.Machine) { left = m.JobPermits("soap") })
		return left == 0
	})
	c.machine.read(func(m *machine.Machine) {
		for id, job := range m.Jobs {
			must.Eq(t, jobCancelled, job.State, must.Sprint(id))
		}
	})
	started := c.platform.Starts()["seconds=600"]
	must.LessEq(t, 100, started) // the workspace's limit
	c.submit("next", "seconds=0")
	c.awaitState("next", jobDone)
}

func TestLongJobOnDrainingWorkerIsMoved(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	c.submit("long", "seconds=4&n=1", func(j *laburnumv1.Job) { j.DeclaredSeconds = 600 })
	worker := c.awaitState("long", jobRunning).Worker
	var to *laburnumv1.Assignment
	c.machine.read(func(m *machine.Machine) { to = m.State.Assignments[worker] })
	drain := &laburnumv1.Assignment{Instance: worker, Pool: to.Pool, DataCentre: "dc1", NextPool: "archive",
		State: laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING}
	result, err := c.propose(t.Context(), &laburnumv1.Command{Kind: &laburnumv1.Command_Assignments{Assignments: &laburnumv1.AssignmentPlan{
		Steps: []*laburnumv1.AssignmentStep{{ExpectedEpoch: to.Epoch, To: drain}},
	}}})
	must.NoError(t, err)
	must.Eq(t, 1, result.Applied)
	job := c.awaitState("long", jobDone)
	must.Eq(t, 2, job.Attempt)
	must.NotEq(t, worker, job.Worker)
	must.NotEq(t, "", job.Checkpoint)
}

func TestJobOfSilentPlatformIsUnknownAndNotRerun(t *testing.T) {
	t.Parallel()
	c := startControl(t)
	c.submit("once", "seconds=2&n=1")
	c.awaitState("once", jobRunning)
	c.platform.SetFaults(platform.Faults{Refuse: true})
	// Sets the time of the last report so far in the past that the state of the job becomes unknown.
	list := c.Control.jobs.renewableJobs("dc1")
	must.Len(t, 1, list)
	c.Control.jobs.mu.Lock()
	for _, w := range c.Control.jobs.active["dc1"] {
		w.lastReport = time.Now().Add(-time.Hour)
	}
	c.Control.jobs.mu.Unlock()
	c.awaitState("once", jobUnknown)
	c.platform.SetFaults(platform.Faults{})
	c.awaitState("once", jobDone)
	must.Eq(t, 1, c.platform.Starts()["seconds=2&n=1"])
}
