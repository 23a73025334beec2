package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pools"
)

// hideableMachines returns machines m1 and m2 with servers a and b, which the list can lack.
func hideableMachines() *fakeMachines {
	return &fakeMachines{
		list:   []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"}},
		hidden: make(map[string]bool),
	}
}

func (f *fakeMachines) hide(name string, hidden bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hidden[name] = hidden
}

func (r *rig) startWave(machines []string, duration time.Duration, bound int) *ledger.WaveOrder {
	r.t.Helper()
	w := &ledger.WaveOrder{Number: 1, Machines: machines, DurationMS: duration.Milliseconds(), Bound: bound}
	must.EqOp(r.t, OK, r.do(&Call{Op: OpStartWave, Wave: w}).Outcome)
	return w
}

// runningOnBoth submits a job with one task on each of the servers a and b and waits until both run.
func (r *rig) runningOnBoth(step ledger.Step) {
	r.t.Helper()
	step.Count, step.Spread, step.Need = 2, 1, ledger.Resources{CPU: 100}
	r.submit("j", step)
	r.until(func() bool { return len(r.servers.runs("a")) == 1 && len(r.servers.runs("b")) == 1 })
}

func (s *session) isReserved(server string) bool {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.reserved[server]
}

// Guards against an upkeep that ends runs: the platform's list lacked the machine for a while, and it was taken for idle
// although its server had a run.
func TestMissingMachineWithRunsIsNotTakenDown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := hideableMachines()
		r := newMachineRig(t, m)
		r.runningOnBoth(ledger.Step{Lasting: true, MayMiss: 1})
		s := r.d.session.Load()
		r.until(func() bool { return s.cachedMachines.get("m1").Server == "a" })
		m.hide("m1", true)
		r.startWave([]string{"m1"}, time.Minute, 1)
		for end := boottime.Now() + 45*time.Second; boottime.Now() < end; time.Sleep(100 * time.Millisecond) {
			must.SliceEmpty(t, m.ordered())
		}
	})
}

// Guards against a server that gets no work after its machine's upkeep: the list lacked the machine for a while, and its
// reservation was forgotten.
func TestReservationEndsWithUpkeepOfMissingMachine(t *testing.T) {
	for _, answer := range []MachineAnswer{MachineAccepted, MachineNotInWave} {
		inVirtualTime(t, func(t *testing.T) {
			m := hideableMachines()
			m.answers = map[string]MachineAnswer{"m1": answer}
			r := newMachineRig(t, m)
			r.runningOnBoth(ledger.Step{EstimateMS: 100})
			wave := r.startWave([]string{"m1"}, 10*time.Second, 1)
			s := r.d.session.Load()
			r.until(func() bool { return s.isReserved("a") })
			m.hide("m1", true)
			r.until(func() bool { return s.cachedMachines.get("m1").Name == "" })
			r.servers.finish("a", r.servers.runs("a")[0], ledger.EndDone)
			r.until(func() bool { return len(m.ordered()) > 0 })
			m.hide("m1", false)
			r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted })
			r.until(func() bool { return !s.isReserved("a") })
		})
	}
}

// Guards against a wave that ends late because machines that left for good take the places of others below its bound.
func TestDepartedMachinesAreAskedLast(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &fakeMachines{hidden: map[string]bool{"m1": true, "m2": true}, busy: map[string]bool{"m1": true, "m2": true}}
		names := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
		for _, n := range names {
			m.list = append(m.list, Machine{Name: n, Pool: "off", State: MachineUp})
		}
		r := newMachineRig(t, m)
		wave := r.startWave(names, 20*time.Second, 1)
		r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted })
		orders := m.ordered()
		firstDeparted := slices.IndexFunc(orders, func(o string) bool { return o == "upkeep m1" || o == "upkeep m2" })
		must.EqOp(t, len(names)-2, firstDeparted)
	})
}

// pendingMoves answers moves as busy after a second.
type pendingMoves struct{ *fakeMachines }

func (p *pendingMoves) Move(context.Context, Holder, string, string) (MachineAnswer, error) {
	time.Sleep(time.Second)
	return MachineBusy, nil
}

// Guards against starts on a server whose machine is in upkeep: the upkeep was ordered beside a move of the machine, and
// the refusal of the move lifted the reservation.
func TestNoUpkeepIsOrderedBesideMove(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &pendingMoves{hideableMachines()}
		r := newMachineRig(t, m)
		s := r.d.session.Load()
		r.until(func() bool { return s.cachedMachines.lastRequested() > 0 })
		s.engine.mu.Lock()
		s.reserved["a"], s.movesInFlight["m1"] = true, "a"
		s.engine.mu.Unlock()
		moved := make(chan struct{})
		go func() {
			defer close(moved)
			s.moveMachine(pools.Move{Machine: "m1", From: "p", To: "off"})
		}()
		r.startWave([]string{"m1"}, 30*time.Second, 4)
		time.Sleep(500 * time.Millisecond)
		must.SliceEmpty(t, m.ordered())
		<-moved
		r.until(func() bool { return len(m.ordered()) > 0 })
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		_, inUpkeep := s.upkeepServer["m1"]
		must.True(t, !inUpkeep || s.reserved["a"])
	})
}

// get returns the newest list's entry of a machine.
func (v *machineCache) get(name string) Machine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byName[name]
}
