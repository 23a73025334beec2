package machine

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// jobFixture returns a fixture with one worker in a pool and a workspace whose jobs have two permits.
func jobFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture()
	cfg := &laburnumv1.Configuration{
		SheetNumber: 1,
		Pools:       []*laburnumv1.Pool{{Name: "a", Service: "s", Instances: 2}},
		Teams:       []*laburnumv1.Team{{Name: "soap", Share: 1, Limit: 5}},
	}
	f.command(1, &laburnumv1.Command{Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}})
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "w1", Pool: "a", State: assigned}))
	slice := &laburnumv1.Slice{Team: "soap", DataCentre: state.JobsSlice, Permits: 2}
	must.False(t, f.setSlices(slice).Conflict)
	return f
}

func (f *fixture) setSlices(list ...*laburnumv1.Slice) *laburnumv1.CommandResult {
	return f.command(1, &laburnumv1.Command{Kind: &laburnumv1.Command_Slices{Slices: &laburnumv1.SlicePlan{Slices: list}}})
}

func (f *fixture) applyJobs(b *laburnumv1.JobBatch) *laburnumv1.CommandResult {
	return f.command(1, &laburnumv1.Command{Kind: &laburnumv1.Command_Jobs{Jobs: b}})
}

func (f *fixture) submit(id string, idempotent bool) *laburnumv1.CommandResult {
	return f.applyJobs(&laburnumv1.JobBatch{Submit: []*laburnumv1.Job{{Id: id, Team: "soap", Pool: "a", Idempotent: idempotent, Digest: []byte("d")}}})
}

// advance moves a job to a state and returns whether the change was applied.
func (f *fixture) advance(id string, to laburnumv1.JobState, change ...func(*laburnumv1.Job)) bool {
	next := proto.Clone(f.Jobs[id]).(*laburnumv1.Job)
	next.State = to
	if to == jobStarting {
		next.Attempt++
		next.Worker = "w1"
	}
	for _, c := range change {
		c(next)
	}
	return f.applyJobs(&laburnumv1.JobBatch{Jobs: []*laburnumv1.Job{next}}).Applied == 1
}

func TestFirstSubmissionWinsJobID(t *testing.T) {
	f := jobFixture(t)
	must.Len(t, 1, f.submit("j1", false).Jobs)
	must.True(t, f.advance("j1", jobStarting))
	again := f.submit("j1", false)
	must.False(t, again.Conflict)
	must.Eq(t, jobStarting, again.Jobs[0].State)
	other := &laburnumv1.Job{Id: "j1", Team: "soap", Pool: "a", Digest: []byte("other")}
	must.True(t, f.applyJobs(&laburnumv1.JobBatch{Submit: []*laburnumv1.Job{other}}).Conflict)
	must.Eq(t, 1, len(f.Jobs))
}

func TestNonIdempotentJobRunsOnce(t *testing.T) {
	f := jobFixture(t)
	f.submit("j1", false)
	must.True(t, f.advance("j1", jobStarting))
	must.True(t, f.advance("j1", jobWaiting)) // the platform refused the start: the task never ran
	must.True(t, f.advance("j1", jobStarting))
	must.True(t, f.advance("j1", jobRunning))
	must.False(t, f.advance("j1", jobWaiting))
	must.False(t, f.advance("j1", jobStarting))
	must.False(t, f.advance("j1", jobParked))
	must.True(t, f.advance("j1", jobUnknown))
	must.False(t, f.advance("j1", jobWaiting))
	must.False(t, f.advance("j1", jobWaiting, func(j *laburnumv1.Job) { j.Idempotent = true }))
	must.True(t, f.advance("j1", jobFailed))
	must.False(t, f.advance("j1", jobWaiting))
}

func TestJobResumesFromCheckpoint(t *testing.T) {
	f := jobFixture(t)
	f.submit("j1", false)
	must.True(t, f.advance("j1", jobStarting))
	must.True(t, f.advance("j1", jobRunning))
	must.True(t, f.advance("j1", jobWaiting, func(j *laburnumv1.Job) { j.Checkpoint = "c1" }))
	must.True(t, f.advance("j1", jobStarting))
	must.Eq(t, 2, f.Jobs["j1"].Attempt)
}

func TestStaleJobUpdatesAreSkipped(t *testing.T) {
	f := jobFixture(t)
	f.submit("j1", true)
	must.True(t, f.advance("j1", jobStarting))
	must.False(t, f.advance("j1", jobRunning, func(j *laburnumv1.Job) { j.Version-- }))
	must.False(t, f.advance("j1", jobRunning, func(j *laburnumv1.Job) { j.Worker = "w2" }))
	must.True(t, f.advance("j1", jobWaiting))
	must.False(t, f.advance("j1", jobStarting, func(j *laburnumv1.Job) { j.Attempt = 1 }))
	must.False(t, f.advance("j1", jobStarting, func(j *laburnumv1.Job) { j.Worker = "w2" })) // not in the pool
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "w1", Pool: "a", State: draining}))
	must.False(t, f.advance("j1", jobStarting)) // the worker drains
}

func TestJobsHoldPermitsOfWorkspaceLimit(t *testing.T) {
	f := jobFixture(t)
	for _, id := range []string{"j1", "j2", "j3"} {
		f.submit(id, true)
	}
	must.True(t, f.advance("j1", jobStarting))
	must.True(t, f.advance("j2", jobStarting))
	must.False(t, f.advance("j3", jobStarting))
	must.True(t, f.advance("j1", jobUnknown)) // still holds its permit
	must.False(t, f.advance("j3", jobStarting))
	// The slice can't be lowered below the permits that jobs hold.
	current := f.State.Slices[state.SliceID{Workspace: "soap", DataCentre: state.JobsSlice}]
	shrunk := &laburnumv1.Slice{Team: "soap", DataCentre: state.JobsSlice, Permits: 1, Incarnation: current.Incarnation}
	must.True(t, f.setSlices(shrunk).Conflict)
	must.True(t, f.advance("j2", jobDone))
	must.False(t, f.setSlices(shrunk).Conflict)
	must.False(t, f.advance("j3", jobStarting))
	must.True(t, f.advance("j1", jobDone))
	must.True(t, f.advance("j3", jobStarting))
	must.Eq(t, 1, f.JobPermits("soap"))
}

func TestWorkerWithTasksIsNotReleased(t *testing.T) {
	f := jobFixture(t)
	f.submit("j1", true)
	must.True(t, f.advance("j1", jobStarting))
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "w1", Pool: "a", State: draining}))
	must.False(t, f.assign(&laburnumv1.Assignment{Instance: "w1", Pool: "a", State: released}))
	must.True(t, f.advance("j1", jobDone))
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "w1", Pool: "a", State: released}))
}

func TestBatchCancellationOfManyJobs(t *testing.T) {
	f := jobFixture(t)
	batch := &laburnumv1.JobBatch{}
	const jobs = 1000
	for i := range jobs {
		id := fmt.Sprintf("j%d", i)
		f.submit(id, false)
		batch.Cancel = append(batch.Cancel, &laburnumv1.JobCancellation{Id: id, Team: "soap"})
	}
	must.True(t, f.advance("j7", jobStarting))
	must.True(t, f.advance("j7", jobRunning))
	foreign := &laburnumv1.JobCancellation{Id: "j8", Team: "perfume"}
	must.SliceEmpty(t, f.applyJobs(&laburnumv1.JobBatch{Cancel: []*laburnumv1.JobCancellation{foreign}}).Jobs)
	must.Len(t, jobs, f.applyJobs(batch).Jobs)
	for id, job := range f.Jobs {
		want := jobCancelled
		if id == "j7" {
			want = jobCancelling
		}
		must.Eq(t, want, job.State)
		must.False(t, f.advance(id, jobStarting))
	}
	must.True(t, f.advance("j7", jobCancelled))
	must.Eq(t, 0, f.JobPermits("soap"))
}

func TestJobsSurviveSnapshot(t *testing.T) {
	f := jobFixture(t)
	f.submit("j1", true)
	must.True(t, f.advance("j1", jobStarting))
	data, err := f.Snapshot()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(data))
	must.Eq(t, 1, restored.JobPermits("soap"))
	must.Eq(t, 1, restored.Tasks("w1"))
	must.Eq(t, jobStarting, restored.Jobs["j1"].State)
}
