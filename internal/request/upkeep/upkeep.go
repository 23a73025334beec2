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
	// (2 s) and the time between readings.
	cycleMS = 3200
	// drainMS is how long a busy machine takes to be empty: most tasks run a second or two.
	drainMS = 2500
	// reserveMS is the part of a wave's time that is kept for what goes wrong: a leader that changes in the middle
	// leaves machines alone for a while, and an unanswered order takes as long again.
	reserveMS = 8000
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
	// Busy is set if its pool is asked for much now.
	Busy bool
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
		if free > 0 && m.Up && m.Runs == 0 {
			d.Order = append(d.Order, m.Name)
			free--
			continue
		}
		if m.Reserved {
			reserved++
		}
	}
	wanted := 0
	if pressed(w, nowMS, len(due)-len(d.Order)) {
		wanted = w.Bound
	}
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

// pressed reports whether busy machines must be prepared now for the rest of a wave to end in time. Until then only
// machines go that hold nothing, as pools come to need less.
func pressed(w *ledger.Wave, nowMS int64, rest int) bool {
	rounds := int64((rest + w.Bound - 1) / max(1, w.Bound))
	return nowMS+rounds*(cycleMS+drainMS)+reserveMS >= w.StartedMS+w.DurationMS
}

// compare puts machines first that are prepared already, that hold nothing, and whose runs end soon.
func compare(a, b Machine) int {
	return cmp.Or(
		cmp.Compare(order(!a.Reserved), order(!b.Reserved)),
		cmp.Compare(order(a.Busy), order(b.Busy)),
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
