package machine

import (
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// fixture applies commands to a machine at ascending indexes.
type fixture struct {
	*Machine
	index uint64
}

func newFixture(pools ...string) *fixture {
	f := &fixture{Machine: New()}
	for _, p := range pools {
		f.applySheet(p)
	}
	return f
}

func (f *fixture) applySheet(pool string) {
	f.index++
	f.Apply(f.index, sheetCommand(f.index, pool))
}

// assign applies a plan with one step for the current epoch and returns whether the step was applied.
func (f *fixture) assign(to *laburnumv1.Assignment, unavailable ...string) bool {
	return f.assignAt(f.State.Assignments[to.Instance].GetEpoch(), to, unavailable...)
}

func (f *fixture) assignAt(epoch uint64, to *laburnumv1.Assignment, unavailable ...string) bool {
	f.index++
	plan := &laburnumv1.AssignmentPlan{
		Steps:       []*laburnumv1.AssignmentStep{{ExpectedEpoch: epoch, To: to}},
		Unavailable: unavailable,
	}
	r, _ := f.Apply(f.index, &laburnumv1.Command{Kind: &laburnumv1.Command_Assignments{Assignments: plan}})
	return r.Applied == 1
}

func assignment(pool string, state laburnumv1.AssignmentState) *laburnumv1.Assignment {
	return &laburnumv1.Assignment{Instance: "i1", Pool: pool, State: state}
}

func TestInstanceJoinsOnePoolAtATime(t *testing.T) {
	f := newFixture("a")
	must.True(t, f.assign(assignment("a", assigned)))
	must.False(t, f.assignAt(0, assignment("a", assigned))) // a concurrent plan for the old epoch
	f.applySheet("b")
	must.False(t, f.assign(assignment("b", assigned))) // not released yet
	must.False(t, f.assign(assignment("a", released))) // not drained yet
	must.False(t, f.assign(assignment("b", draining))) // not a member of b
	must.True(t, f.assign(assignment("a", draining)))
	must.False(t, f.assign(assignment("b", assigned)))
	must.False(t, f.assign(assignment("b", released)))
	must.True(t, f.assign(assignment("a", released)))
	must.False(t, f.assign(assignment("a", draining))) // in no pool
	must.True(t, f.assign(assignment("b", assigned)))
}

func TestDrainRespectsAvailabilityBudget(t *testing.T) {
	f := newFixture()
	cfg := &laburnumv1.Configuration{SheetNumber: 1, Pools: []*laburnumv1.Pool{
		{Name: "a", Service: "s", Instances: 6, MinAvailable: 3, MaxRackUnavailable: 1},
	}}
	f.index++
	f.Apply(f.index, &laburnumv1.Command{Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}})
	member := func(id, rack string, state laburnumv1.AssignmentState) *laburnumv1.Assignment {
		return &laburnumv1.Assignment{Instance: id, Pool: "a", Rack: rack, State: state}
	}
	for id, rack := range map[string]string{"i1": "r1", "i2": "r1", "i3": "r2", "i4": "r2", "i5": "r3", "i6": "r4"} {
		must.True(t, f.assign(member(id, rack, assigned)))
	}
	// Six instances serve, and the loss of another rack would cost two: with a minimum of three, one may drain,
	// and only while all others are up.
	must.False(t, f.assign(member("i5", "r3", draining), "i6"))
	must.True(t, f.assign(member("i5", "r3", draining)))
	must.False(t, f.assign(member("i6", "r4", draining)))
	// An instance that is unavailable anyway may drain; the budget still refuses the next one.
	must.True(t, f.assign(member("i1", "r1", draining), "i1"))
	must.False(t, f.assign(member("i3", "r2", draining)))
}

func TestDrainRespectsMaxRackUnavailable(t *testing.T) {
	f := newFixture()
	cfg := &laburnumv1.Configuration{SheetNumber: 1, Pools: []*laburnumv1.Pool{
		{Name: "a", Service: "s", Instances: 3, MaxRackUnavailable: 1},
	}}
	f.index++
	f.Apply(f.index, &laburnumv1.Command{Kind: &laburnumv1.Command_ApplySheet{ApplySheet: &laburnumv1.ApplySheet{Configuration: cfg}}})
	for id, rack := range map[string]string{"i1": "r1", "i2": "r1", "i3": "r2"} {
		must.True(t, f.assign(&laburnumv1.Assignment{Instance: id, Pool: "a", Rack: rack, State: assigned}))
	}
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "i1", Pool: "a", Rack: "r1", State: draining}))
	must.False(t, f.assign(&laburnumv1.Assignment{Instance: "i2", Pool: "a", Rack: "r1", State: draining}))
	must.True(t, f.assign(&laburnumv1.Assignment{Instance: "i3", Pool: "a", Rack: "r2", State: draining}))
}
