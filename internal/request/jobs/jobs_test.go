package jobs

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/connection/platform"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

var now = time.Unix(1_800_000_000, 0)

func job(state laburnumv1.JobState, idempotent bool, failedWorkers ...string) *laburnumv1.Job {
	return &laburnumv1.Job{Id: "j1", State: state, Idempotent: idempotent, Worker: "w9", Attempt: 1, FailedWorkers: failedWorkers}
}

func TestJobStateAfterTaskReport(t *testing.T) {
	runningReport := &platform.TaskReport{State: platform.TaskRunning}
	succeeded := &platform.TaskReport{State: platform.TaskEnded, Succeeded: true, Cause: platform.CauseTask}
	failedTask := &platform.TaskReport{State: platform.TaskEnded, Cause: platform.CauseTask, Reason: "exit 1"}
	lostWorker := &platform.TaskReport{State: platform.TaskEnded, Cause: platform.CauseWorker, Reason: "worker rebooted"}
	lapsed := &platform.TaskReport{State: platform.TaskEnded, Cause: platform.CauseLease, Reason: "lease lapsed"}
	moved := &platform.TaskReport{State: platform.TaskEnded, Cause: platform.CauseStopped, Reason: "stopped", Checkpoint: "c1"}
	stopped := &platform.TaskReport{State: platform.TaskEnded, Cause: platform.CauseStopped, Reason: "stopped"}
	notFound := &platform.TaskReport{State: platform.TaskUnknown}
	const unchanged = laburnumv1.JobState_JOB_STATE_UNSPECIFIED
	cases := []struct {
		name   string
		job    *laburnumv1.Job
		report *platform.TaskReport
		state  laburnumv1.JobState
	}{
		{"start uncertain, task runs", job(starting, false), runningReport, running},
		{"unknown job, task runs", job(unknown, false), runningReport, running},
		{"running job, task still runs", job(running, false), runningReport, unchanged},
		{"succeeded", job(running, false), succeeded, done},
		{"succeeded before the cancellation took effect", job(cancelling, false), succeeded, done},
		{"cancelled", job(cancelling, true), stopped, cancelled},
		{"idempotent fails once", job(running, true), failedTask, waiting},
		{"idempotent fails on a third worker", job(running, true, "w1", "w2"), failedTask, parked},
		{"idempotent fails on the same worker again", job(running, true, "w1", "w9"), failedTask, waiting},
		{"not idempotent fails", job(running, false), failedTask, failed},
		{"idempotent loses its worker", job(unknown, true), lostWorker, waiting},
		{"not idempotent loses its worker", job(unknown, false), lostWorker, failed},
		{"not idempotent loses its lease", job(running, false), lapsed, failed},
		{"moved", job(running, false), moved, waiting},
		{"stopped without a checkpoint", job(running, false), stopped, failed},
		{"never started", job(starting, false), notFound, waiting},
		{"not idempotent, platform lost the task", job(running, false), notFound, failed},
		{"idempotent, platform lost the task", job(unknown, true), notFound, waiting},
		{"being cancelled, platform lost the task", job(cancelling, false), notFound, cancelled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.state, ApplyReport(c.job, c.report, now).GetState())
		})
	}
}

// Guards against a job that takes down one worker after the other, or the same one each time it is back. One whose worker goes
// down after it has run for long isn't blamed.
func TestJobThatTakesWorkersDownIsParked(t *testing.T) {
	down := func(ran time.Duration) *platform.TaskReport {
		return &platform.TaskReport{State: platform.TaskEnded, Cause: platform.CauseWorker, Reason: "worker down", RanMS: ran.Milliseconds()}
	}
	for _, second := range []string{"w9", "w2"} {
		j := job(running, true)
		for _, worker := range []string{"w9", second} {
			j.State, j.Worker = running, worker
			j = ApplyReport(j, down(time.Second), now)
			must.Eq(t, waiting, j.State)
		}
		j.State = running
		j = ApplyReport(j, down(time.Hour), now)
		must.Eq(t, waiting, j.State)
		j.State = running
		must.Eq(t, parked, ApplyReport(j, down(time.Second), now).State)
	}
}

func TestJobStateAfterStartRequest(t *testing.T) {
	cause := errors.New("cause")
	must.Eq(t, running, ApplyStartResult(job(starting, false), nil, now).State)
	must.Nil(t, ApplyStartResult(job(starting, false), platform.ErrUncertain.Wrap(cause), now))
	refused := ApplyStartResult(job(starting, false), platform.ErrRefused.Wrap(cause), now)
	must.Eq(t, waiting, refused.State)
	must.Eq(t, []string{"w9"}, refused.FailedWorkers)
	must.Eq(t, parked, ApplyStartResult(job(starting, false, "w1", "w2"), platform.ErrRefused.Wrap(cause), now).State)
	unreachable := ApplyStartResult(job(starting, false, "w1", "w2"), platform.ErrUnreachable.Wrap(cause), now)
	must.Eq(t, waiting, unreachable.State)
	must.Len(t, 2, unreachable.FailedWorkers)
}

func TestJobUnknownAfterReportTimeout(t *testing.T) {
	must.Nil(t, MarkUnknownIfSilent(job(running, false), now.Add(-ReportTimeout/2), now))
	must.Eq(t, unknown, MarkUnknownIfSilent(job(running, false), now.Add(-ReportTimeout), now).State)
	must.Nil(t, MarkUnknownIfSilent(job(cancelling, false), now.Add(-time.Hour), now))
}
