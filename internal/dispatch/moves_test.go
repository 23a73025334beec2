package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pools"
)

// unansweredMoves is a platform that answers no move. The test carries moves out.
type unansweredMoves struct{ *fakeMachines }

func (u *unansweredMoves) Move(_ context.Context, _ Holder, machine, pool string) (MachineAnswer, error) {
	u.order(machine, "move to "+pool)
	return 0, errNoAnswer
}

// change replaces the entry of a machine in the platform's list.
func (u *unansweredMoves) change(changed Machine) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.list {
		if u.list[i].Name == changed.Name {
			u.list[i] = changed
		}
	}
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		t.Cleanup(boottime.SetTestClock(func() time.Duration { return time.Since(startedAt) + time.Hour }))
		f(t)
	})
}

// moveUnanswered returns a rig with the machines m1 and m2 of the servers a and b, right after a move of m1 to the pool
// "off" got no answer.
func moveUnanswered(t *testing.T) (*rig, *unansweredMoves) {
	m := &unansweredMoves{&fakeMachines{list: []Machine{
		{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
	}}}
	r := newMachineRig(t, m)
	s := r.d.session.Load()
	r.until(func() bool { return s.cachedMachines.lastRequested() > 0 })
	s.engine.mu.Lock()
	s.reserved["a"], s.movesInFlight["m1"] = true, "a"
	s.engine.mu.Unlock()
	s.moveMachine(pools.Move{Machine: "m1", From: "p", To: "off"})
	return r, m
}

// Guards against a server that gets no work for the rest of a leader's term because a move of its machine got no answer,
// though the machine stayed where it was. It gets work as soon as the move can't be carried out any more.
func TestServerOfUnmovedMachineGetsWorkAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r, _ := moveUnanswered(t)
		failedAt := boottime.Now()
		r.submit("j", ledger.Step{Count: 2, Need: ledger.Resources{CPU: 8000}})
		r.until(func() bool { return len(r.servers.runs("a")) == 1 })
		must.Between(t, lateOrderBound, boottime.Now()-failedAt, lateOrderBound+time.Second)
	})
}

// Guards against work that is cut by a move which got no answer and was carried out late: the server gets no work from a
// list that was read while the move was still possible, nor after it.
func TestServerGetsNoWorkBeforeLateMove(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r, m := moveUnanswered(t)
		r.submit("j", ledger.Step{Count: 2, Need: ledger.Resources{CPU: 8000}})
		time.Sleep(lateOrderBound - 50*time.Millisecond)
		m.change(Machine{Name: "m1", Pool: "off", State: MachineUp})
		time.Sleep(time.Minute)
		must.SliceEmpty(t, r.servers.runs("a"))
		must.SliceLen(t, 1, r.servers.runs("b"))
	})
}

// Guards against work that is cut on a server which appeared on a machine after a move of it got no answer.
func TestNewServerOfMachineInDoubtGetsNoWork(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r, m := moveUnanswered(t)
		failedAt := boottime.Now()
		m.change(Machine{Name: "m2", Pool: "p", State: MachineDown})
		m.change(Machine{Name: "m1", Pool: "p", State: MachineUp, Server: "b"})
		time.Sleep(maxCacheAge)
		r.submit("j", small)
		r.until(func() bool { return len(r.servers.runs("b")) == 1 })
		must.Between(t, lateOrderBound, boottime.Now()-failedAt, lateOrderBound+time.Second)
	})
}

// Guards against work that is cut on a server whose machine an earlier leader has ordered to move: the order is carried out after the
// next leader has begun, and no list shows it yet.
func TestNextLeaderKnowsOrdersForMachines(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &unansweredMoves{&fakeMachines{list: []Machine{
			{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
		}}}
		r := newMachineRig(t, m)
		s := r.d.session.Load()
		r.until(func() bool { return s.cachedMachines.lastRequested() > 0 })
		s.engine.mu.Lock()
		s.reserved["a"], s.movesInFlight["m1"] = true, "a"
		s.engine.mu.Unlock()
		must.True(t, s.commitMoves([]pools.Move{{Machine: "m1", From: "p", To: "off"}}))
		r.log.lead(2)
		r.until(func() bool {
			s := r.d.session.Load()
			return s != nil && s.holder.Fence == 2
		})
		beganAt := boottime.Now()
		r.submit("j", ledger.Step{Count: 2, Lasting: true, Need: ledger.Resources{CPU: 8000}})
		r.until(func() bool { return len(r.servers.runs("a")) == 1 })
		must.Between(t, lateOrderBound-time.Second, boottime.Now()-beganAt, lateOrderBound+time.Second)
	})
}

// throttledMoves is a platform that throttles all moves.
type throttledMoves struct{ *fakeMachines }

func (p *throttledMoves) Move(_ context.Context, _ Holder, machine, pool string) (MachineAnswer, error) {
	p.order(machine, "move to "+pool)
	return MachineThrottled, nil
}

// Guards against a fleet of which much gets no work after a change of the leader: the next one waited for the results of moves that
// the platform had refused to the one before.
func TestNextLeaderKnowsRefusedMoves(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &throttledMoves{&fakeMachines{list: []Machine{
			{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
			{Name: "m3", Pool: "off", State: MachineUp},
		}}}
		r := newMachineRig(t, m)
		r.submit("j", ledger.Step{Count: 19, Need: ledger.Resources{CPU: 1000}}) // needs three machines
		r.until(func() bool { return len(m.ordered()) > 0 })
		time.Sleep(moveRefusalBackoff / 2)
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		must.MapEmpty(t, r.engine.ledger.Intents())
	})
}

// Guards against a list of machines that is replaced by an older one, whose read took longer.
func TestListOfMachinesIsNeverReplacedByOlderOne(t *testing.T) {
	var cache machineCache
	cache.replace([]Machine{{Name: "new"}}, nil, 2)
	cache.replace([]Machine{{Name: "old"}}, nil, 1)
	list, requestedAt := cache.machines()
	must.EqOp(t, 2, requestedAt)
	must.EqOp(t, "new", list[0].Name)
}

// Guards against work that waits because a machine whose move got no answer counts for its new pool, or for its old one,
// where it gets no work either: another machine is ordered as soon as one that moves would have arrived.
func TestMachineInDoubtIsNoCapacity(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &unansweredMoves{&fakeMachines{list: []Machine{
			{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
			{Name: "m3", Pool: "off", State: MachineUp}, {Name: "m4", Pool: "off", State: MachineUp},
		}}}
		r := newMachineRig(t, m)
		r.submit("j", ledger.Step{Count: 19, Need: ledger.Resources{CPU: 1000}}) // needs three machines
		r.until(func() bool { return len(m.ordered()) == 1 })
		orderedAt := boottime.Now()
		r.until(func() bool { return len(m.ordered()) == 2 })
		must.Between(t, moveTransitTime, boottime.Now()-orderedAt, moveTransitTime+time.Second)
		must.SliceContainsAll(t, []string{"move to p m3", "move to p m4"}, m.ordered())

		s := r.d.session.Load()
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		must.EqOp(t, pools.Fit, s.serverStateLocked(m.list[0], boottime.Now()))
		s.reserved["a"] = true
		must.EqOp(t, pools.Absent, s.serverStateLocked(m.list[0], boottime.Now()))
	})
}
