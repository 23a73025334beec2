package queue

import (
	"context"
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/admission"
	"laburnumrouter/internal/request/requestid"
	"laburnumrouter/internal/request/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeSlots is a slotSource that counts the slots of one pool and has no instances.
type fakeSlots struct{ total, used int }

func (s *fakeSlots) Pick(string, string, time.Time) *routing.Slot {
	if s.used >= s.total {
		return nil
	}
	s.used++
	return &routing.Slot{Instance: "i"}
}

func (s *fakeSlots) Capacity(string, time.Time) (int, int) { return s.total, s.used }

func (s *fakeSlots) Return(string, string, routing.Result, time.Duration, time.Time) { s.used-- }

// fakePermits is a permitSource with a limit for some workspaces; the others are unlimited.
type fakePermits struct{ limit, running map[string]int }

func (l *fakePermits) TryAcquireWithoutDemand(workspace string) bool { return l.TryAcquire(workspace) }

func (l *fakePermits) TryAcquire(workspace string) bool {
	if limit, ok := l.limit[workspace]; ok && l.running[workspace] >= limit {
		return false
	}
	l.running[workspace]++
	return true
}

func (l *fakePermits) Release(workspace string) { l.running[workspace]-- }

// simulation drives a pool's queue in virtual time.
type simulation struct {
	*pool
	slots            *fakeSlots
	workspacePermits *fakePermits
	now              time.Time
	running          []*runningRequest
	undecided        map[*waiter]bool
	slotSeconds      map[string]float64 // used by workspace
	refused          map[string]int     // by reason
	granted          []*Grant
	runTime          func(workspace string) time.Duration
}

type runningRequest struct {
	grant  *Grant
	endsAt time.Time
}

func newSimulation(slots int, weights, limit map[string]int) *simulation {
	sim := &simulation{
		slots: &fakeSlots{total: slots}, workspacePermits: &fakePermits{limit: limit, running: make(map[string]int)}, now: start,
		undecided: make(map[*waiter]bool), slotSeconds: make(map[string]float64), refused: make(map[string]int),
		runTime: func(string) time.Duration { return 20 * time.Millisecond },
	}
	sim.pool = &pool{
		name: "p", slots: sim.slots, permits: sim.workspacePermits, ids: requestid.NewGenerator("e", 1), fair: newFairQueue(),
		blocked: new(atomic.Bool), onPermitFreed: func(string, time.Time) {},
		weight: func(workspace, _ string) uint32 { return uint32(weights[workspace]) },
	}
	return sim
}

func (sim *simulation) ticket(workspace string, wait time.Duration) *admission.Ticket {
	return &admission.Ticket{Pool: "p", Workspace: workspace, ArrivedAt: sim.now, StartBy: sim.now.Add(wait), Deadline: sim.now.Add(wait + time.Minute), MaxWaiting: 1000}
}

func (sim *simulation) submit(t *admission.Ticket) *waiter {
	grant, waiter, refusal := sim.grantOrEnqueue(t, sim.now)
	switch {
	case refusal != nil:
		sim.refused[refusal.Reason]++
	case grant != nil:
		sim.startRun(grant)
	default:
		sim.undecided[waiter] = true
		sim.collectDecisions()
	}
	return waiter
}

func (sim *simulation) startRun(g *Grant) {
	sim.granted = append(sim.granted, g)
	sim.running = append(sim.running, &runningRequest{grant: g, endsAt: sim.now.Add(sim.runTime(g.Workspace))})
}

// collectDecisions receives the decisions on waiting requests made so far.
func (sim *simulation) collectDecisions() {
	for waiter := range sim.undecided {
		select {
		case v := <-waiter.decided:
			delete(sim.undecided, waiter)
			if v.refusal != nil {
				sim.refused[v.refusal.Reason]++
				continue
			}
			sim.startRun(v.grant)
		default:
		}
	}
}

// advance moves the clock, ends the runs and the waits whose time is over, and reevaluates the queue.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	var left []*runningRequest
	for _, active := range sim.running {
		sim.slotSeconds[active.grant.Workspace] += d.Seconds()
		if active.endsAt.After(sim.now) {
			left = append(left, active)
			continue
		}
		active.grant.Release(routing.Answered, 0, sim.now)
	}
	sim.running = left
	for waiter := range sim.undecided {
		if !waiter.ticket.StartBy.After(sim.now) && sim.cancelWait(waiter) {
			delete(sim.undecided, waiter)
			sim.refused[ReasonNoCapacity]++
		}
	}
	sim.reevaluate(sim.now)
	sim.collectDecisions()
}

// topUpWaiting submits requests until each workspace has the given number waiting.
func (sim *simulation) topUpWaiting(level map[string]int) {
	have := make(map[string]int)
	for waiter := range sim.undecided {
		have[waiter.ticket.Workspace]++
	}
	for workspace, want := range level {
		for i := have[workspace]; i < want; i++ {
			sim.submit(sim.ticket(workspace, time.Minute))
		}
	}
}

func TestFullPoolIsSharedByWeight(t *testing.T) {
	tests := map[string]struct {
		slots   int
		weights map[string]int
		limit   map[string]int
		demand  map[string]int
		remote  map[string]int
		run     map[string]time.Duration
		want    map[string]float64 // share of the slot time
	}{
		"equal":        {8, map[string]int{"a": 1, "b": 1}, nil, map[string]int{"a": 20, "b": 20}, nil, nil, map[string]float64{"a": 0.5, "b": 0.5}},
		"weighted":     {8, map[string]int{"a": 4, "b": 2, "c": 1}, nil, map[string]int{"a": 20, "b": 20, "c": 20}, nil, nil, map[string]float64{"a": 4.0 / 7, "b": 2.0 / 7, "c": 1.0 / 7}},
		"few slots":    {2, map[string]int{"a": 4, "b": 2, "c": 1}, nil, map[string]int{"a": 20, "b": 20, "c": 20}, nil, nil, map[string]float64{"a": 4.0 / 7, "b": 2.0 / 7, "c": 1.0 / 7}},
		"longer runs":  {8, map[string]int{"a": 1, "b": 1}, nil, map[string]int{"a": 20, "b": 20}, nil, map[string]time.Duration{"a": 200 * time.Millisecond}, map[string]float64{"a": 0.5, "b": 0.5}},
		"more callers": {8, map[string]int{"a": 1, "b": 1}, nil, map[string]int{"a": 200, "b": 10}, nil, nil, map[string]float64{"a": 0.5, "b": 0.5}},
		"borrowing":    {8, map[string]int{"a": 1, "b": 3}, nil, map[string]int{"a": 20}, nil, nil, map[string]float64{"a": 1}},
		"unused share of a limited workspace is split by weight": {8, map[string]int{"a": 2, "b": 1, "c": 1}, map[string]int{"a": 2}, map[string]int{"a": 20, "b": 20, "c": 20}, nil, nil, map[string]float64{"a": 0.25, "b": 0.375, "c": 0.375}},
		"runs elsewhere": {8, map[string]int{"a": 1, "b": 1}, nil, map[string]int{"a": 20, "b": 20}, map[string]int{"a": 4}, nil, map[string]float64{"a": 0.25, "b": 0.75}},
		"most elsewhere": {8, map[string]int{"a": 1, "b": 1}, nil, map[string]int{"a": 20, "b": 20}, map[string]int{"a": 12}, nil, map[string]float64{"a": 0, "b": 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(tc.slots, tc.weights, tc.limit)
			sim.runTime = func(workspace string) time.Duration {
				if d := tc.run[workspace]; d != 0 {
					return d
				}
				return 20 * time.Millisecond
			}
			sim.setRemoteRunning(tc.remote, sim.now)
			for range 2500 {
				sim.topUpWaiting(tc.demand)
				sim.advance(4 * time.Millisecond)
			}
			total := float64(tc.slots) * 10
			for workspace, want := range tc.want {
				must.InDelta(t, want, sim.slotSeconds[workspace]/total, 0.05*want+0.01, must.Sprint(workspace, sim.slotSeconds))
			}
		})
	}
}

// A workspace that was idle has no claim to the slots that it did not use meanwhile.
func TestNoCreditForIdleTime(t *testing.T) {
	sim := newSimulation(4, map[string]int{"a": 1, "b": 1}, nil)
	for range 1000 {
		sim.topUpWaiting(map[string]int{"a": 10})
		sim.advance(5 * time.Millisecond)
	}
	clear(sim.slotSeconds)
	for range 200 {
		sim.topUpWaiting(map[string]int{"a": 10, "b": 10})
		sim.advance(5 * time.Millisecond)
	}
	must.InDelta(t, 0.5, sim.slotSeconds["b"]/4, 0.05)
}

// A workspace that ran only one long request has no claim to the rest of its share, which it did not use.
func TestNoCreditForPartlyUsedTime(t *testing.T) {
	sim := newSimulation(4, map[string]int{"a": 1, "b": 1}, nil)
	sim.runTime = func(string) time.Duration { return 6 * time.Second }
	sim.submit(sim.ticket("b", time.Minute))
	sim.runTime = func(string) time.Duration { return 20 * time.Millisecond }
	for range 1000 {
		sim.topUpWaiting(map[string]int{"a": 10})
		sim.advance(5 * time.Millisecond)
	}
	clear(sim.slotSeconds)
	for range 200 {
		sim.topUpWaiting(map[string]int{"a": 10, "b": 10})
		sim.advance(5 * time.Millisecond)
	}
	must.InDelta(t, 0.5, sim.slotSeconds["b"]/4, 0.05)
}

func TestUrgentGoesFirstWithinItsWorkspaceOnly(t *testing.T) {
	sim := newSimulation(1, map[string]int{"a": 1, "b": 1}, nil)
	sim.submit(sim.ticket("a", time.Minute))
	for range 3 {
		sim.submit(sim.ticket("a", time.Minute))
		sim.submit(sim.ticket("b", time.Minute))
	}
	urgent := sim.ticket("a", time.Minute)
	urgent.Urgent = true
	sim.submit(urgent)
	for range 100 {
		sim.advance(5 * time.Millisecond)
	}
	var order []string
	for _, g := range sim.granted {
		order = append(order, g.Workspace)
	}
	must.Eq(t, []string{"a", "b", "a", "b", "a", "b", "a", "a"}, order)
	must.MapEmpty(t, sim.undecided)
	must.Eq(t, 0, sim.waitingOf("a"))
}

func (sim *simulation) waitingOf(workspace string) int {
	if tq := sim.fair.queues[workspace]; tq != nil {
		return tq.waiting()
	}
	return 0
}

func TestUrgentRequestIsGrantedBeforeNormalOne(t *testing.T) {
	sim := newSimulation(1, map[string]int{"a": 1}, nil)
	sim.submit(sim.ticket("a", time.Minute))
	normal := sim.submit(sim.ticket("a", time.Minute))
	ticket := sim.ticket("a", time.Minute)
	ticket.Urgent = true
	urgent := sim.submit(ticket)
	sim.advance(20 * time.Millisecond)
	must.False(t, sim.cancelWait(urgent))
	must.True(t, sim.cancelWait(normal))
}

// A request that can't start in time is refused on arrival, with a Retry-After.
func TestRefusesWhatCannotStartInTime(t *testing.T) {
	sim := newSimulation(2, map[string]int{"a": 1}, nil)
	sim.runTime = func(string) time.Duration { return 100 * time.Millisecond }
	for range 200 {
		sim.topUpWaiting(map[string]int{"a": 4})
		sim.advance(10 * time.Millisecond)
	}
	clear(sim.refused)
	for range 100 {
		sim.submit(sim.ticket("a", time.Second))
	}
	// Two slots with runs of 100 ms start 20 requests in a second, after the four that already wait.
	must.Between(t, 80, sim.refused[ReasonTooLate], 90)
	_, _, refusal := sim.grantOrEnqueue(sim.ticket("a", time.Second), sim.now)
	must.NotNil(t, refusal)
	must.GreaterEq(t, minRetryAfter, refusal.RetryAfter)
	for range 200 {
		sim.advance(10 * time.Millisecond)
	}
	must.Eq(t, 0, sim.refused[ReasonNoCapacity], must.Sprint("an admitted request did not start in time"))
}

// When slots are lost, waiting requests that can no longer start in time are refused at once, not when their wait ends.
func TestRefusesAtOnceWhenSlotsAreLost(t *testing.T) {
	sim := newSimulation(10, map[string]int{"a": 1}, nil)
	sim.runTime = func(string) time.Duration { return 100 * time.Millisecond }
	for range 100 {
		sim.topUpWaiting(map[string]int{"a": 10})
		sim.advance(10 * time.Millisecond)
	}
	for range 60 {
		sim.submit(sim.ticket("a", time.Second))
	}
	must.Eq(t, 0, sim.refused[ReasonTooLate])
	sim.slots.total = 1
	sim.advance(time.Millisecond)
	must.Greater(t, 40, sim.refused[ReasonTooLate])
}

func TestQueueIsBoundedAndOneWorkspaceCannotFillIt(t *testing.T) {
	sim := newSimulation(1, map[string]int{"a": 1, "b": 1}, nil)
	bounded := func(workspace string) *admission.Ticket {
		ticket := sim.ticket(workspace, time.Hour)
		ticket.MaxWaiting = 10
		return ticket
	}
	for range 30 {
		sim.submit(bounded("a"))
	}
	must.Eq(t, 10, sim.pool.waiting)
	must.Eq(t, 19, sim.refused[ReasonQueueFull])
	for range 5 {
		sim.submit(bounded("b"))
	}
	sim.collectDecisions()
	must.Eq(t, 10, sim.pool.waiting)
	must.Eq(t, 5, sim.waitingOf("b"))
	must.Eq(t, 24, sim.refused[ReasonQueueFull])
}

// Slots and permits are released exactly once in any order of arrivals, ends and cancellations.
func TestSlotsAndPermitsAreReleasedOnceUnderMassCancellation(t *testing.T) {
	sim := newSimulation(5, map[string]int{"a": 3, "b": 1, "c": 1}, map[string]int{"c": 2})
	random := rand.New(rand.NewSource(7))
	workspaces := []string{"a", "b", "c"}
	for range 400 {
		for range random.Intn(30) {
			sim.submit(sim.ticket(workspaces[random.Intn(3)], time.Duration(1+random.Intn(300))*time.Millisecond))
		}
		if random.Intn(20) == 0 {
			sim.cancelAll()
		}
		must.LessEq(t, 5, sim.slots.used)
		must.LessEq(t, 2, sim.workspacePermits.running["c"])
		sim.advance(time.Duration(random.Intn(20)) * time.Millisecond)
	}
	sim.cancelAll()
	sim.advance(time.Second)
	must.Eq(t, 0, sim.slots.used)
	must.Eq(t, map[string]int{"a": 0, "b": 0, "c": 0}, sim.workspacePermits.running)
	must.Eq(t, 0, sim.pool.waiting)
	must.MapEmpty(t, sim.fair.queues)
}

func (sim *simulation) cancelAll() {
	for waiter := range sim.undecided {
		must.True(panicOnFailure{}, sim.cancelWait(waiter))
		must.False(panicOnFailure{}, sim.cancelWait(waiter))
		delete(sim.undecided, waiter)
	}
}

// panicOnFailure reports a failed assertion in a helper that has no *testing.T.
type panicOnFailure struct{}

func (panicOnFailure) Helper() {}

func (panicOnFailure) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// A request that comes back from another data centre keeps its place by its first arrival time.
func TestReturningRequestKeepsItsPlaceInQueue(t *testing.T) {
	sim := newSimulation(1, map[string]int{"a": 1}, nil)
	sim.submit(sim.ticket("a", time.Minute))
	first := sim.ticket("a", time.Minute)
	sim.advance(time.Millisecond)
	second := sim.submit(sim.ticket("a", time.Minute))
	back := sim.submit(first)
	sim.advance(20 * time.Millisecond)
	must.False(t, sim.cancelWait(back))
	must.True(t, sim.cancelWait(second))
}

func TestRepeatedReleaseHasNoEffect(t *testing.T) {
	sim := newSimulation(1, map[string]int{"a": 1}, nil)
	sim.submit(sim.ticket("a", time.Minute))
	sim.granted[0].Release(routing.Answered, 0, sim.now)
	sim.granted[0].Release(routing.Answered, 0, sim.now)
	must.Eq(t, 0, sim.slots.used)
	must.Eq(t, 0, sim.workspacePermits.running["a"])
}

// A permit that is released in one pool goes to a request of the same workspace that waits in another.
func TestFreePermitServesTheOtherPools(t *testing.T) {
	one, other := newSimulation(4, map[string]int{"a": 1}, map[string]int{"a": 1}), newSimulation(4, map[string]int{"a": 1}, nil)
	q := &Queue{pools: map[string]*pool{"one": one.pool, "other": other.pool}}
	other.permits = one.workspacePermits
	for _, sim := range []*simulation{one, other} {
		sim.blocked = &q.blocked
		sim.onPermitFreed = func(workspace string, now time.Time) { q.serveBlocked(sim.pool, workspace, now) }
	}
	one.submit(one.ticket("a", time.Minute))
	other.submit(other.ticket("a", time.Minute))
	must.MapLen(t, 1, other.undecided)
	one.granted[0].Release(routing.Answered, 0, one.now)
	other.collectDecisions()
	must.MapLen(t, 0, other.undecided)
	must.SliceLen(t, 1, other.granted)
}

// Acquire returns at once with a refusal when the context ends, and removes the request from the queue.
func TestAcquireRefusesWhenContextEnds(t *testing.T) {
	sim := newSimulation(0, map[string]int{"a": 1}, nil)
	q := &Queue{now: time.Now, pools: map[string]*pool{"p": sim.pool}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ticket := sim.ticket("a", 0)
	ticket.StartBy = time.Now().Add(time.Hour)
	grant, refusal := q.Acquire(ctx, ticket)
	must.Nil(t, grant)
	must.Eq(t, ReasonNoCapacity, refusal.Reason)
	must.Eq(t, 0, sim.pool.waiting)
}
