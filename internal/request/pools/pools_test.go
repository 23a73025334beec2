package pools

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const core32 = 32_000

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

func TestPoolInNeedGetsStandbyMachinesFirst(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "off", Standby: true}, {Name: "hot", Need: 10 * core32}, {Name: "idle", Floor: 9, Least: 5}}
	moves := p.Plan(0, list, fleet(map[string]int{"off": 8, "hot": 8, "idle": 9}), core32)
	const wanted = 13 // ten machines' work, a tenth more to come, nine tenths of a machine fillable
	must.EqOp(t, wanted-8, count(moves, "off", "hot"))
	must.EqOp(t, wanted-8, len(moves))
}

// A pool whose own turn may come lends some machines, but only while another lacks them.
func TestLoans(t *testing.T) {
	p := Planner{begun: true, since: -holdFor}
	list := []Pool{{Name: "hot", Need: 20 * core32}, {Name: "idle", Floor: 9, Least: 5}}
	moves := p.Plan(0, list, fleet(map[string]int{"hot": 8, "idle": 9}), core32)
	must.EqOp(t, 4, count(moves, "idle", "hot"))
	list[0].Need = 0
	list[0].Floor = 8
	must.EqOp(t, 0, len(new(Planner).Plan(0, list, fleet(map[string]int{"hot": 8, "idle": 9}), core32)))
}

// Machines that a turn was expected to need go to the pool that has the work, when they stand idle.
func TestWorkGoesBeforeExpectation(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "ending", Need: 8 * core32, Expected: 30 * core32}, {Name: "begins", Need: 12 * core32}}
	moves := p.Plan(0, list, fleet(map[string]int{"ending": 24, "begins": 4}), core32)
	must.EqOp(t, 11, count(moves, "ending", "begins"))
	must.EqOp(t, 11, len(moves))
}

func TestBusyMachinesStay(t *testing.T) {
	p := Planner{begun: true, since: -holdFor}
	list := []Pool{{Name: "off", Standby: true}, {Name: "cold", Floor: 1}}
	moves := p.Plan(0, list, fleet(map[string]int{"cold": 3}, "cold00", "cold01"), core32)
	must.Eq(t, []Move{{Machine: "cold02", From: "cold", To: "off"}}, moves)
}

// A new leader doesn't know what pools needed a moment ago and lets them keep what they have for a while.
func TestNewPlannerShrinksNothing(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "off", Standby: true}, {Name: "a"}}
	machines := fleet(map[string]int{"a": 6})
	must.EqOp(t, 0, len(p.Plan(0, list, machines, core32)))
	must.EqOp(t, 6, len(p.Plan(holdFor, list, machines, core32)))
}

// A leader that changes in the middle of a turn lets the others lend at once.
func TestNewPlannerLends(t *testing.T) {
	var p Planner
	list := []Pool{{Name: "off", Standby: true}, {Name: "hot", Need: 10 * core32, Expected: 15 * core32}, {Name: "idle", Floor: 9, Least: 5}}
	moves := p.Plan(0, list, fleet(map[string]int{"hot": 13, "idle": 9}), core32)
	must.EqOp(t, 4, count(moves, "idle", "hot"))
	must.EqOp(t, 4, len(moves))
}

// What a pool needed a moment ago it keeps for a while.
func TestShrinksLate(t *testing.T) {
	var p Planner
	need := []Pool{{Name: "off", Standby: true}, {Name: "a", Need: 5 * core32, Floor: 1}}
	machines := fleet(map[string]int{"a": 6})
	must.EqOp(t, 0, len(p.Plan(0, need, machines, core32)))
	none := []Pool{{Name: "off", Standby: true}, {Name: "a", Floor: 1}}
	must.EqOp(t, 0, len(p.Plan(holdFor, none, machines, core32)))
	must.EqOp(t, 5, len(p.Plan(holdFor+time.Millisecond, none, machines, core32)))
}
