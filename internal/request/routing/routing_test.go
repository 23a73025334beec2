package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/directory"
	"laburnumrouter/internal/version/state"
	"laburnumrouter/internal/version/view"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const slots = 8

// fixture is a router over one pool, with a settable clock and view.
type fixture struct {
	*Router
	directory *directory.Directory
	state     *state.State
	view      *view.View
	now       time.Time
	sequence  uint64
	events    []Event
}

func newFixture(instances int) *fixture {
	f := &fixture{directory: directory.New(), state: state.New(), now: start}
	f.Router = NewRouter(f.directory, func() *view.View { return f.view }, func(e Event) { f.events = append(f.events, e) })
	for i := range instances {
		f.assign(id(i), laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED)
		f.announce(id(i), 1)
	}
	f.compile()
	f.Capacity("p", f.now)
	return f
}

func id(i int) string { return fmt.Sprintf("i%03d", i) }

func (f *fixture) assign(instance string, s laburnumv1.AssignmentState) {
	f.state.Assignments[instance] = &laburnumv1.Assignment{Instance: instance, Pool: "p", Epoch: 1, State: s}
}

func (f *fixture) compile() { f.view = view.Compile(f.state) }

func (f *fixture) announce(instance string, incarnation uint64) {
	f.sequence++
	f.directory.Observe(&laburnumv1.InstanceView{
		Instance: instance, Address: instance, Slots: slots, Incarnation: incarnation, Sequence: f.sequence,
	}, f.now)
}

// pick takes a slot without an instance to avoid.
func (f *fixture) pick() *Slot { return f.Pick("p", "", f.now) }

// runRequest takes a slot, returns it with a result and returns the name of the instance.
func (f *fixture) runRequest(result Result, took time.Duration) string {
	slot := f.pick()
	f.Return("p", slot.Instance, result, took, f.now)
	return slot.Instance
}

// advance moves the clock in steps of 100 ms, in each of which the instances announce themselves.
func (f *fixture) advance(instances int, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		for i := range instances {
			f.announce(id(i), 1)
		}
		f.Refresh(f.now)
	}
}

func TestPicksLeastLoadedInstance(t *testing.T) {
	for _, instances := range []int{1, 2, 7, 300} {
		f := newFixture(instances)
		counts := make(map[string]int)
		for range instances * slots {
			slot := f.pick()
			counts[slot.Instance]++
			must.LessEq(t, slots, slot.Used)
			must.Eq(t, counts[slot.Instance], slot.Used)
			must.NotEq(t, slot.Instance, slot.RunnerUp)
		}
		must.MapLen(t, instances, counts)
		must.Nil(t, f.pick())
		f.Return("p", id(0), Answered, time.Millisecond, f.now)
		must.Eq(t, id(0), f.pick().Instance)
	}
}

func TestInstanceWithExpiredViewGetsNoRequests(t *testing.T) {
	f := newFixture(2)
	f.now = f.now.Add(directory.ViewLifetime - time.Millisecond)
	must.NotNil(t, f.pick())
	f.announce(id(1), 1)
	f.now = f.now.Add(time.Millisecond)
	for range slots {
		if slot := f.pick(); slot != nil {
			must.Eq(t, id(1), slot.Instance)
		}
	}
	f.now = f.now.Add(directory.ViewLifetime)
	must.Nil(t, f.pick())
	f.Refresh(f.now)
	must.False(t, f.HasLiveInstance("p", f.now))
}

func TestLeavingAndDrainingInstancesGetNoRequests(t *testing.T) {
	f := newFixture(2)
	f.directory.Observe(&laburnumv1.InstanceView{Instance: id(0), Slots: slots, Incarnation: 1, Sequence: 99, Leaving: true}, f.now)
	for range slots {
		must.Eq(t, id(1), f.pick().Instance)
	}
	must.Nil(t, f.pick())
	f.Return("p", id(1), Answered, 0, f.now)
	f.assign(id(1), laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING)
	f.compile()
	must.Nil(t, f.pick())
}

// An entry sends nothing to an instance that is not assigned to the pool in its own view, even with a grant.
func TestBeginRequestRefusesInstanceNotAssignedInOwnView(t *testing.T) {
	f := newFixture(1)
	must.True(t, f.BeginRequest("p", id(0), f.now))
	must.Eq(t, 1, f.InFlight(id(0)))
	must.False(t, f.BeginRequest("other", id(0), f.now))
	f.assign(id(0), laburnumv1.AssignmentState_ASSIGNMENT_STATE_DRAINING)
	f.compile()
	must.False(t, f.BeginRequest("p", id(0), f.now))
	must.Eq(t, 1, f.InFlight(id(0)))
	f.EndRequest(id(0))
	must.Eq(t, 0, f.InFlight(id(0)))
}

func TestNewInstanceGetsItsSlotsGradually(t *testing.T) {
	f := newFixture(2)
	f.advance(2, time.Second)
	f.assign(id(2), laburnumv1.AssignmentState_ASSIGNMENT_STATE_ASSIGNED)
	f.announce(id(2), 1)
	f.compile()
	slotsGranted := func() int {
		n := 0
		var granted []*Slot
		for slot := f.pick(); slot != nil; slot = f.pick() {
			granted = append(granted, slot)
			if slot.Instance == id(2) {
				n++
			}
		}
		for _, slot := range granted {
			f.Return("p", slot.Instance, Neutral, 0, f.now)
		}
		return n
	}
	must.Eq(t, 1, slotsGranted())
	f.advance(3, slowStart/2)
	must.Between(t, 4, slotsGranted(), 6)
	f.advance(3, slowStart)
	must.Eq(t, slots, slotsGranted())
}

func TestInstanceThatFailsEveryRequestIsEjectedAndReadmittedOnProbation(t *testing.T) {
	f := newFixture(4)
	counts := make(map[string]int)
	for range 200 {
		slot := f.pick()
		counts[slot.Instance]++
		result := Answered
		if slot.Instance == id(0) {
			result = Failed
		}
		f.Return("p", slot.Instance, result, time.Millisecond, f.now)
	}
	must.Eq(t, failuresToEject, counts[id(0)])
	must.Eq(t, "ejected", f.events[0].Action)
	f.advance(4, firstEjection+time.Second)
	must.Eq(t, "readmitted", f.events[1].Action)
	tries := 0
	for range 40 {
		result := Answered
		slot := f.pick()
		if slot.Instance == id(0) {
			result = Failed
			tries++
		}
		f.Return("p", slot.Instance, result, time.Millisecond, f.now)
	}
	must.Eq(t, 1, tries, must.Sprint("one failure on probation must eject again"))
	f.advance(4, firstEjection+time.Second)
	must.SliceLen(t, 3, f.events, must.Sprint("the second ejection must be longer"))
	f.advance(4, firstEjection)
	must.Eq(t, "readmitted", f.events[3].Action)
}

func TestSlowOutlierIsEjected(t *testing.T) {
	f := newFixture(4)
	for range 400 {
		slot := f.pick()
		took := 10 * time.Millisecond
		if slot.Instance == id(2) {
			took = 400 * time.Millisecond
		}
		f.Return("p", slot.Instance, Answered, took, f.now)
	}
	must.SliceLen(t, 1, f.events)
	must.Eq(t, Event{Pool: "p", Instance: id(2), Action: "ejected", Reason: "answers far slower than the pool"}, f.events[0])
}

// Even if every request fails, only a bounded part of the pool is ejected.
func TestEjectionsNeverExceedTheBound(t *testing.T) {
	for instances, most := range map[int]int{1: 0, 2: 1, 3: 1, 8: 2, 12: 4} {
		f := newFixture(instances)
		for range 100 * instances {
			f.runRequest(Failed, 0)
		}
		ejected := 0
		for _, e := range f.events {
			if e.Action == "ejected" {
				ejected++
			}
		}
		must.Eq(t, most, ejected, must.Sprint(instances))
		must.NotNil(t, f.pick())
	}
}

func TestRestartedInstanceStartsWithEmptyStatistics(t *testing.T) {
	f := newFixture(3)
	for range 100 {
		slot := f.pick()
		result := Answered
		if slot.Instance == id(0) {
			result = Failed
		}
		f.Return("p", slot.Instance, result, 0, f.now)
	}
	must.SliceLen(t, 1, f.events)
	f.announce(id(0), 2)
	f.Refresh(f.now)
	seen := false
	for range 10 {
		seen = seen || f.runRequest(Answered, 0) == id(0)
	}
	must.True(t, seen)
}

func TestSlotsOfAnEarlierSchedulerCountAsUsed(t *testing.T) {
	f := newFixture(1)
	for range slots - 1 {
		f.CountGrantedSlot("p", id(0))
	}
	must.NotNil(t, f.pick())
	must.Nil(t, f.pick())
	f.Return("p", id(0), Neutral, 0, f.now)
	must.NotNil(t, f.pick())
}

func TestAvoidsFailedInstanceUnlessItIsTheOnlyOne(t *testing.T) {
	f := newFixture(2)
	must.Eq(t, id(1), f.Pick("p", id(0), f.now).Instance)
	f = newFixture(1)
	must.Eq(t, id(0), f.Pick("p", id(0), f.now).Instance)
}

func BenchmarkPick(bench *testing.B) {
	for _, instances := range []int{10, 100, 1000} {
		bench.Run(fmt.Sprint(instances), func(bm *testing.B) {
			f := newFixture(instances)
			bm.ReportAllocs()
			for range bm.N {
				f.runRequest(Answered, time.Millisecond)
			}
		})
	}
}

// An instance that leaves the pool, or is ejected, still answers requests that it has. None of those in service has answered
// yet, as after all others were replaced, so there is no mean to compare it with.
func TestLastAnswersOfLeavingInstanceAmongFreshOnes(t *testing.T) {
	table := &table{heap: loadHeap{{}, {}, {}}}
	leaving := &member{index: -1, health: health{samples: 2*meanDivisor - 1, mean: time.Second}}
	must.SliceEmpty(t, table.recordResult(leaving, Answered, time.Second, start))
	must.Eq(t, 2*meanDivisor, leaving.health.samples)
}
