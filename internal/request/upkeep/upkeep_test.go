package upkeep

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

func wave(bound int, down ...string) *ledger.Wave {
	w := &ledger.Wave{
		WaveOrder: ledger.WaveOrder{Number: 1, DurationMS: 30_000, Bound: bound}, Phases: make(map[string]ledger.UpkeepPhase),
	}
	for _, name := range down {
		w.Phases[name] = ledger.UpkeepOrdered
	}
	return w
}

func TestNextOrdersUpkeepOfIdleMachinesAndReservesBusyOnesInTime(t *testing.T) {
	idle := Machine{Name: "idle", Orderable: true}
	busy := Machine{Name: "busy", Orderable: true, Runs: 3, LongestTaskMS: 900}
	lasting := Machine{Name: "lasting", Orderable: true, Runs: 1, Lasting: 1}
	busyPool := Machine{Name: "hot", Orderable: true, Runs: 1, PoolInDemand: true}
	step := LastingStep{Job: "j", MayMiss: 1}
	serial := func(n int, reserved ...int) (list []Machine) {
		for i := range n {
			list = append(list, Machine{Name: string(rune('a' + i)), Orderable: true, Runs: 1, Lasting: 1, Steps: []LastingStep{step},
				Reserved: slices.Contains(reserved, i)})
		}
		return list
	}
	drained := Machine{Name: "drained", Orderable: true, Reserved: true}
	evacuated := Machine{Name: "z", Orderable: true, Evacuated: true}
	cases := []struct {
		name    string
		wave    *ledger.Wave
		nowMS   int64
		due     []Machine
		order   []string
		reserve []string
	}{
		{"upkeep of idle machines is ordered at once", wave(2), 0, []Machine{busy, idle}, []string{"idle"}, nil},
		{"no order beyond the wave's bound", wave(1, "other"), 0, []Machine{idle}, nil, nil},
		{"upkeep of a reserved machine is ordered first", wave(1), 0, []Machine{idle, drained}, []string{"drained"}, nil},
		{"upkeep of an empty machine of an evacuated data centre is ordered first of all", wave(1), 0, []Machine{idle, drained, evacuated}, []string{"z"}, nil},
		{"a busy machine there has its turn like others", wave(9), 17_000, []Machine{busy, {Name: "evacuated", Orderable: true, Evacuated: true, Runs: 1, LongestTaskMS: 950}},
			nil, []string{"busy", "evacuated"}},
		{"busy machines are not reserved while there is time", wave(2), 5_000, []Machine{busy, lasting}, nil, nil},
		{"busy machines are reserved once time runs short", wave(2), 17_000, []Machine{busyPool, lasting, busy}, nil, []string{"busy", "lasting"}},
		{"lasting tasks that leave one after the other begin early", wave(9), 5_000, serial(8), nil, []string{"a", "b"}},
		{"not before their time demands it", wave(9), 1_000, serial(8), nil, nil},
		{"the next is drained as one is done", wave(9), 5_000, serial(8, 1), nil, []string{"a"}},
		{"no more than needed", wave(9), 5_000, serial(8, 0, 1), nil, nil},
		{"no upkeep is ordered for a machine that is not up", wave(2), 0, []Machine{{Name: "moving"}}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Next(c.wave, c.nowMS, c.due)
			must.Eq(t, c.order, d.Order)
			must.Eq(t, c.reserve, d.Reserve)
		})
	}
}
