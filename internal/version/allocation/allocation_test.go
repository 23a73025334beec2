package allocation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/version/state"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

const testWorkspace = "soap"

func at(seconds int) time.Time { return time.Unix(int64(10_000+seconds), 0) }

// fixture holds the state of a control log and the allocator of its leader.
type fixture struct {
	state *state.State
	a     *Allocator
}

func newFixture(limit uint32) *fixture {
	w := &fixture{state: state.New(), a: New()}
	w.state.Workspaces[testWorkspace] = &laburnumv1.Team{Name: testWorkspace, Limit: limit}
	for _, dc := range []string{"dc1", "dc2"} {
		w.state.RecordGroups[dc] = &laburnumv1.RecordGroup{DataCentre: dc, Members: []string{dc + "-e.1"}}
	}
	w.state.Index = 1
	return w
}

func (w *fixture) slice(dc string) *laburnumv1.Slice {
	return w.state.Slices[state.SliceID{Workspace: testWorkspace, DataCentre: dc}]
}

func (w *fixture) permits(dc string) int { return int(w.slice(dc).GetPermits()) }

func (w *fixture) sync(second int, dc string, held, need uint32) {
	line := &laburnumv1.SliceLine{Team: testWorkspace, Incarnation: w.slice(dc).GetIncarnation(), Held: held, Need: need}
	w.a.Sync(at(second), &laburnumv1.SyncSlicesRequest{DataCentre: dc, Holder: dc + "-e.1", Lines: []*laburnumv1.SliceLine{line}})
}

func (w *fixture) plan(second int) {
	plan := w.a.Plan(at(second), w.state)
	w.state.Index++
	for _, s := range plan.Slices {
		s.Incarnation = w.state.Index
		w.state.Slices[state.SliceID{Workspace: s.Team, DataCentre: s.DataCentre}] = s
	}
}

func TestAllocatorMovesOnlyReleasedPermits(t *testing.T) {
	w := newFixture(100)
	w.sync(0, "dc1", 0, 0)
	w.sync(0, "dc2", 0, 0)
	w.plan(0)
	must.Eq(t, 50, w.permits("dc1"))
	must.Eq(t, 50, w.permits("dc2"))

	w.sync(1, "dc1", 50, 200)
	w.plan(1)
	must.Eq(t, 50, w.permits("dc1")) // dc2 has released nothing yet
	targets := w.a.TakeTargets("dc2")
	must.Len(t, 1, targets)
	must.Eq(t, 2, int(targets[0].Permits))

	w.sync(2, "dc2", 20, 0)
	w.plan(2)
	must.Eq(t, 80, w.permits("dc1"))
	must.Eq(t, 20, w.permits("dc2"))
}

func TestAllocatorKeepsSlicesOfCutOffDataCentre(t *testing.T) {
	w := newFixture(100)
	w.sync(0, "dc1", 0, 0)
	w.sync(0, "dc2", 0, 0)
	w.plan(0)
	for s := 1; s < 1000; s += 100 { // dc2 stays silent
		w.sync(s, "dc1", 50, 200)
		w.plan(s)
	}
	must.Eq(t, 50, w.permits("dc1"))
	must.Eq(t, 50, w.permits("dc2"))

	w.sync(1000, "dc2", 50, 0)
	w.sync(1000, "dc1", 50, 200)
	w.plan(1000)
	w.sync(1001, "dc2", 2, 0)
	w.plan(1001)
	must.Eq(t, 98, w.permits("dc1"))
}

func TestAllocatorIgnoresReleaseOfEarlierSlice(t *testing.T) {
	w := newFixture(100)
	w.sync(0, "dc1", 0, 0)
	w.sync(0, "dc2", 0, 0)
	w.plan(0)
	stale := &laburnumv1.SliceLine{Team: testWorkspace, Incarnation: 1, Held: 0}
	w.a.Sync(at(1), &laburnumv1.SyncSlicesRequest{DataCentre: "dc2", Holder: "dc2-e.1", Lines: []*laburnumv1.SliceLine{stale}})
	w.sync(1, "dc1", 50, 200)
	w.plan(1)
	must.Eq(t, 50, w.permits("dc1"))
}

func TestAllocatorGrantsNothingAboveLoweredLimit(t *testing.T) {
	w := newFixture(100)
	w.sync(0, "dc1", 0, 0)
	w.sync(0, "dc2", 0, 0)
	w.plan(0)
	w.state.Workspaces[testWorkspace] = &laburnumv1.Team{Name: testWorkspace, Limit: 40}
	w.state.SheetNumber++
	w.plan(1)
	must.Eq(t, 20, int(w.a.TakeTargets("dc1")[0].Permits))
	must.Eq(t, 20, int(w.a.TakeTargets("dc2")[0].Permits))
	w.sync(2, "dc1", 20, 90)
	w.sync(2, "dc2", 45, 0) // 45 permits are still in use
	w.plan(2)
	must.Eq(t, 20, w.permits("dc1"))
	must.Eq(t, 45, w.permits("dc2"))
	delete(w.state.Workspaces, testWorkspace) // the workspace is removed from the sheet
	w.state.SheetNumber++
	w.plan(3)
	must.Eq(t, 0, int(w.a.TakeTargets("dc2")[0].Permits))
}

func TestSinglePermitMovesToDataCentreThatNeedsIt(t *testing.T) {
	w := newFixture(1)
	w.sync(0, "dc1", 0, 0)
	w.sync(0, "dc2", 0, 0)
	w.plan(0)
	must.Eq(t, 1, w.permits("dc1"))
	w.sync(1, "dc2", 0, 1)
	w.plan(1)
	must.Eq(t, 0, int(w.a.TakeTargets("dc1")[0].Permits))
	w.sync(2, "dc1", 0, 0)
	w.plan(2)
	must.Eq(t, 0, w.permits("dc1"))
	must.Eq(t, 1, w.permits("dc2"))
}
