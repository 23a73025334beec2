package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// Guards against an upkeep that ends the work of a server which came by a move: the upkeep was ordered by a list from before the
// move, and again until the machine was up.
func TestUpkeepWaitsForResultOfMove(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &unansweredMoves{&fakeMachines{list: []Machine{
			{Name: "m1", Pool: "off", State: MachineUp}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
		}}}
		r := newMachineRig(t, m.fakeMachines)
		r.until(func() bool { return len(m.ordered()) == 1 })
		r.startWave([]string{"m1"}, 10*time.Second, 1)
		time.Sleep(5 * time.Second)
		must.Eq(t, []string{"move to p m1"}, m.ordered())
		m.change(Machine{Name: "m1", Pool: "p", State: MachineUp, Server: "a"})
		r.until(func() bool { return len(m.ordered()) == 2 })
		must.Eq(t, []string{"move to p m1", "upkeep m1"}, m.ordered())
	})
}

// newReservedRig returns a rig that knows from the list of machines that m1 carries the server a, which is reserved.
func newReservedRig(t *testing.T) (*rig, *fakeMachines, *session) {
	m := &fakeMachines{list: []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}}}
	r := newMachineRig(t, m)
	s := r.d.session.Load()
	r.until(func() bool { return s.cachedMachines.lastRequested() > 0 })
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.reserved["a"] = true
	return r, m, s
}

// Guards against an order for a machine that ends the work of a server which appeared after the list of machines was read. The
// order is sent if the listed server answers, because then the new one is on another machine.
func TestMachineOrderIsWithheldFromNewServerWithWork(t *testing.T) {
	for _, alive := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			r, m, s := newReservedRig(t)
			r.submit("j", ledger.Step{Count: 1, Lasting: true, Need: ledger.Resources{CPU: 100}})
			r.until(func() bool { return len(r.servers.runs("b")) == 1 })
			s.engine.mu.Lock()
			s.fleet.Get("b").AppearedAt = boottime.Now()
			s.engine.mu.Unlock()
			r.servers.mu.Lock()
			r.servers.silent["a"] = !alive
			r.servers.mu.Unlock()
			_, err := s.orderMachine(machineOrder{machine: "m1", server: "a"}, func(ctx context.Context) (MachineAnswer, error) {
				return m.Upkeep(ctx, s.holder, "m1", 1)
			})
			if alive {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, errWithheld)
			}
			must.EqOp(t, alive, len(m.ordered()) == 1)
		})
	}
}

// Guards against work that is placed, while an order for a machine is under way, on a server of which the list doesn't tell
// whether it is on that machine.
func TestUnlistedServerGetsNoWorkDuringMachineOrder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r, _, s := newReservedRig(t)
		s.engine.mu.Lock()
		s.fleet.Get("b").AppearedAt = boottime.Now() + time.Second // no list that is read meanwhile shows it
		s.engine.mu.Unlock()
		_, err := s.orderMachine(machineOrder{machine: "m1", server: "a"}, func(context.Context) (MachineAnswer, error) {
			r.submit("j", small)
			time.Sleep(500 * time.Millisecond)
			must.SliceEmpty(t, r.servers.runs("b"))
			return MachineAccepted, nil
		})
		must.NoError(t, err)
		r.until(func() bool { return len(r.servers.runs("b")) == 1 })
	})
}

// Guards against work that a new leader places on a server whose machine may still be taken down by the former leader's order.
func TestNewLeaderReservesMachinesWithOrderedUpkeep(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &fakeMachines{list: []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}}, busy: map[string]bool{"m1": true}}
		r := newMachineRig(t, m)
		r.d.machineLease = 3 * time.Second
		r.startWave([]string{"m1"}, 10*time.Second, 1)
		r.until(func() bool { return len(m.ordered()) > 0 })
		r.changeLeader(2)
		r.until(func() bool { return r.d.session.Load().cachedMachines.lastRequested() > 0 })
		time.Sleep(2 * waveCheckInterval)
		before := len(m.ordered())
		r.submit("j", ledger.Step{Count: 2, Spread: 1, Need: ledger.Resources{CPU: 100}})
		time.Sleep(time.Second)
		must.SliceEmpty(t, r.servers.runs("a"))
		must.SliceLen(t, before, m.ordered()) // the former leader's lease on the machine hasn't lapsed
	})
}
