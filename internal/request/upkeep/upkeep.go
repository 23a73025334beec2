// Package upkeep decides which machines of a maintenance wave are prepared and taken down next. It is pure.
package upkeep

import (
	"cmp"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
)

const (
	// cycleMS is about how long a machine takes from its order until the platform's list shows it back: maintenance_s
	// (2 s), the time between readings and that of a busy moment.
	cycleMS = 4500
	// reserveMS is the part of a wave's time that is kept for what goes wrong: a leader that changes in the middle
	// leaves machines alone for 4 s, and an unanswered order takes as long again.
	reserveMS = 9000
	// drainMS is how long before its turn a busy machine gets no new work: the longest usual task runs 4 s.
	drainMS = 4000
)

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
	// Needed is set if its pool needs it now although nothing runs on it.
	Needed bool
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

// Next decides for one wave at a time of day. Machines that aren't due are left out by the caller. Machines that hold
// nothing go first; busy ones are prepared only as far as the wave needs them to end in time.
func Next(w *ledger.Wave, nowMS int64, due []Machine) Decision {
	slices.SortFunc(due, compare)
	free := w.Bound - w.Down()
	var d Decision
	reserved := 0
	for _, m := range due {
		if free > 0 && m.Up && m.Runs == 0 && !m.Needed {
			d.Order = append(d.Order, m.Name)
			free--
			continue
		}
		if m.Reserved {
			reserved++
		}
	}
	wanted := needed(w, nowMS, len(due)-len(d.Order))
	for _, m := range due {
		if reserved >= wanted {
			break
		}
		if m.Up && !m.Reserved && !slices.Contains(d.Order, m.Name) {
			d.Reserve = append(d.Reserve, m.Name)
			reserved++
		}
	}
	return d
}

// needed returns how many machines must be prepared or down at once for the rest of a wave to end in time.
func needed(w *ledger.Wave, nowMS int64, rest int) int {
	left := w.StartedMS + w.DurationMS - nowMS - reserveMS
	if left <= cycleMS+drainMS {
		return w.Bound
	}
	perSlot := left / (cycleMS + drainMS)
	slots := (int64(rest) + perSlot - 1) / perSlot
	return int(min(int64(w.Bound), max(0, slots)))
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
