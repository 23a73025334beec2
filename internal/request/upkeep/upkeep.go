// Package upkeep decides which machines of a maintenance wave are prepared and taken down next. It is pure.
package upkeep

import (
	"cmp"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
)

// prepareFactor is how many machines are kept free of new work for each that may be down, so that the next is
// empty when one comes back. Twice the bound lets one machine drain while another has its upkeep.
const prepareFactor = 2

// Machine is a machine of the wave as the leader sees it.
type Machine struct {
	Name string
	// Up is set if the platform says that it is up.
	Up bool
	// Runs counts live runs there, Lasting those of lasting tasks, Stuck those of lasting tasks that may not be
	// stopped now.
	Runs, Lasting, Stuck int
	// BusyMS is how long its short runs are likely to take.
	BusyMS int64
	// Reserved is set if the machine is being prepared.
	Reserved bool
}

// Decision is what is to be done for a wave.
type Decision struct {
	// Order lists machines that are to be taken down now.
	Order []string
	// Reserve lists machines that get no new work from now on.
	Reserve []string
}

// Next decides for one wave. Machines that aren't due are left out by the caller.
func Next(w *ledger.Wave, due []Machine) Decision {
	slices.SortFunc(due, func(a, b Machine) int { return compare(a, b) })
	free := w.Bound - w.Down()
	var d Decision
	reserved := 0
	for _, m := range due {
		if free > 0 && m.Up && m.Runs == 0 {
			d.Order = append(d.Order, m.Name)
			free--
			continue
		}
		if m.Reserved {
			reserved++
		}
	}
	for _, m := range due {
		if reserved >= prepareFactor*w.Bound {
			break
		}
		if m.Up && !m.Reserved && !slices.Contains(d.Order, m.Name) {
			d.Reserve = append(d.Reserve, m.Name)
			reserved++
		}
	}
	return d
}

// compare puts machines first that are prepared already, that hold nothing, and whose runs end soon.
func compare(a, b Machine) int {
	return cmp.Or(
		cmp.Compare(order(!a.Reserved), order(!b.Reserved)),
		cmp.Compare(a.Stuck, b.Stuck),
		cmp.Compare(a.Lasting, b.Lasting),
		cmp.Compare(a.BusyMS, b.BusyMS),
		strings.Compare(a.Name, b.Name),
	)
}

func order(later bool) int {
	if later {
		return 1
	}
	return 0
}
