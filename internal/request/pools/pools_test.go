package pools

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const machineCPU = 32_000

func fleet(sizes map[string]int, busy ...string) []Machine {
	var list []Machine
	for pool, n := range sizes {
		for i := range n {
			m := Machine{Name: fmt.Sprintf("%s%02d", pool, i), Pool: pool, Movable: true}
			for _, b := range busy {
				m.Movable = m.Movable && m.Name != b
			}
			list = append(list, m)
		}
	}
	return list
}

func count(moves []Move, from, to string) (n int) {
	for _, m := range moves {
		if m.From == from && m.To == to {
			n++
		}
	}
	return n
}

func TestStandbyMachinesAreUsedFirst(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "off", Standby: true}, {Name: "hot", NeedCPU: 10 * machineCPU}, {Name: "idle", PreferredMachines: 9, MinMachines: 5}}
	moves := p.Plan(0, list, fleet(map[string]int{"off": 8, "hot": 8, "idle": 9}), machineCPU)
	const wanted = 13 // work for 10 machines times growthFactor 1.1, divided by usableShare 0.9, rounded up
	must.EqOp(t, wanted-8, count(moves, "off", "hot"))
	must.EqOp(t, wanted-8, len(moves))
}

// A pool lends machines above MinMachines while another pool lacks them, and keeps PreferredMachines otherwise.
func TestPoolLendsOnlyWhileAnotherLacksMachines(t *testing.T) {
	p := Planner{started: true, startedAt: -peakRetention}
	list := []Pool{{Name: "hot", NeedCPU: 20 * machineCPU}, {Name: "idle", PreferredMachines: 9, MinMachines: 5}}
	moves := p.Plan(0, list, fleet(map[string]int{"hot": 8, "idle": 9}), machineCPU)
	must.EqOp(t, 4, count(moves, "idle", "hot"))
	list[0].NeedCPU = 0
	list[0].PreferredMachines = 8
	must.EqOp(t, 0, len(new(Planner).Plan(0, list, fleet(map[string]int{"hot": 8, "idle": 9}), machineCPU)))
}

// Idle machines that a pool holds for expected work go to a pool that lacks machines for current work.
func TestCurrentWorkGoesBeforeExpectedWork(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "ending", NeedCPU: 8 * machineCPU, ExpectedCPU: 30 * machineCPU}, {Name: "begins", NeedCPU: 12 * machineCPU}}
	moves := p.Plan(0, list, fleet(map[string]int{"ending": 24, "begins": 4}), machineCPU)
	must.EqOp(t, 11, count(moves, "ending", "begins"))
	must.EqOp(t, 11, len(moves))
}

func TestMachinesThatAreNotMovableStay(t *testing.T) {
	p := Planner{started: true, startedAt: -peakRetention}
	list := []Pool{{Name: "off", Standby: true}, {Name: "cold", PreferredMachines: 1}}
	moves := p.Plan(0, list, fleet(map[string]int{"cold": 3}, "cold00", "cold01"), machineCPU)
	must.Eq(t, []Move{{Machine: "cold02", From: "cold", To: "off"}}, moves)
}

// A new leader doesn't know the recent need of the pools, so it switches off no machines for peakRetention.
func TestNewPlannerSwitchesOffNothingAtFirst(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "off", Standby: true}, {Name: "a"}}
	machines := fleet(map[string]int{"a": 6})
	must.EqOp(t, 0, len(p.Plan(0, list, machines, machineCPU)))
	must.EqOp(t, 6, len(p.Plan(peakRetention, list, machines, machineCPU)))
}

// After a change of leader during high demand on one pool, the other pools lend machines to it at once.
func TestNewPlannerLendsAtOnce(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "off", Standby: true}, {Name: "hot", NeedCPU: 10 * machineCPU, ExpectedCPU: 15 * machineCPU}, {Name: "idle", PreferredMachines: 9, MinMachines: 5}}
	moves := p.Plan(0, list, fleet(map[string]int{"hot": 13, "idle": 9}), machineCPU)
	must.EqOp(t, 4, count(moves, "idle", "hot"))
	must.EqOp(t, 4, len(moves))
}

// For peakRetention, a pool keeps the machines that it needed.
func TestPoolKeepsItsRecentPeak(t *testing.T) {
	var p Planner
	need := []Pool{{Name: "off", Standby: true}, {Name: "a", NeedCPU: 5 * machineCPU, PreferredMachines: 1}}
	machines := fleet(map[string]int{"a": 6})
	must.EqOp(t, 0, len(p.Plan(0, need, machines, machineCPU)))
	none := []Pool{{Name: "off", Standby: true}, {Name: "a", PreferredMachines: 1}}
	must.EqOp(t, 0, len(p.Plan(peakRetention, none, machines, machineCPU)))
	must.EqOp(t, 5, len(p.Plan(peakRetention+time.Millisecond, none, machines, machineCPU)))
}

// Machines whose servers fail everything or are silent don't count for their pool: others take their place. Jobs that fail
// everywhere draw in only a few machines.
func TestUnfitMachinesAreReplaced(t *testing.T) {
	const size = 20
	tests := map[string]struct {
		state ServerState
		unfit int
		want  int // machines that join
	}{
		"all fit":                 {Fit, 0, 0},
		"one suspect":             {Suspect, 1, 1},
		"all suspect":             {Suspect, size, 2},
		"a data centre is silent": {Absent, 5, 5},
	}
	for name, tt := range tests {
		p := Planner{started: true, startedAt: -peakRetention}
		machines := fleet(map[string]int{"off": size})
		for i := range size {
			m := Machine{Name: fmt.Sprintf("p%02d", i), Pool: "p"}
			if i < tt.unfit {
				m.State = tt.state
			}
			machines = append(machines, m)
		}
		moves := p.Plan(0, []Pool{{Name: "off", Standby: true}, {Name: "p", MinMachines: size}}, machines, machineCPU)
		must.Eq(t, tt.want, count(moves, "off", "p"), must.Sprint(name))
	}
}

// A silent machine is no donor: its move may not be carried out while it can't be reached.
func TestSilentMachineIsNotMoved(t *testing.T) {
	p := Planner{started: true, startedAt: -peakRetention}
	machines := fleet(map[string]int{"idle": 4})
	for i := range machines {
		machines[i].State = Absent
	}
	must.SliceEmpty(t, p.Plan(0, []Pool{{Name: "hot", NeedCPU: 8 * machineCPU}, {Name: "idle"}}, machines, machineCPU))
}
