// Package upkeep decides which machines of a maintenance wave to drain and which to take down next. It is a pure
// function: it does no I/O and reads no clock.
package upkeep

import (
	"cmp"
	"slices"
	"strings"

	"laburnumrouter/internal/request/ledger"
)

const (
	// downtimeMS is the approximate time from the order to take a machine down until the platform's list shows it as up
	// again: maintenance_s (2 s) plus the interval at which the list is read.
	downtimeMS = 3200
	// drainMS is the time that a busy machine needs to become idle; most tasks run for one or two seconds.
	drainMS = 2500
	// replaceMS is the time from the stop of a lasting task until it works elsewhere. A step may miss only some of its tasks at
	// a time, so those on machines of the wave leave one after the other.
	replaceMS = 2200
	// lastingMarginMS is the part of a wave's duration that is kept for lasting tasks that take longer to leave.
	lastingMarginMS = 5000
	// safetyMarginMS is the part of a wave's duration that is kept for faults: a new leader waits for the former leader's
	// lease on a machine to lapse before it repeats an order, and an unanswered order delays its machine as long again.
	safetyMarginMS = 8000
)

// Machine is a machine of the wave as the leader sees it.
type Machine struct {
	Name string
	// Orderable is set if the platform lists the machine as up and this leader may order its upkeep now.
	Orderable bool
	// Runs is the number of live runs on the machine, Lasting the number of those of lasting tasks, and Unstoppable the
	// number of those of lasting tasks that may not be stopped now.
	Runs, Lasting, Unstoppable int
	// LongestTaskMS is the longest estimated run time of the non-lasting tasks on the machine.
	LongestTaskMS int64
	// PoolInDemand is set if demand for the machine's pool is high now.
	PoolInDemand bool
	// Steps lists the steps whose lasting tasks run on the machine, once for each task.
	Steps []LastingStep
	// Missing is set if the platform's list lacks the machine. It may have left for good.
	Missing bool
	// Evacuated is set if the machine is in an evacuated data centre, where no task starts.
	Evacuated bool
	// Reserved is set if the machine gets no new work because it is being drained for the wave.
	Reserved bool
}

// LastingStep is a step of lasting tasks of which at most MayMiss may be away at a time; 0 means any number.
type LastingStep struct {
	Job        string
	Occurrence int
	Step       int
	MayMiss    int
}

// Decision lists the next actions for a wave.
type Decision struct {
	// Order lists machines to take down now.
	Order []string
	// Reserve lists machines that get no new work from now on, so that they drain.
	Reserve []string
}

// Next returns the next actions for a wave at the time of day nowMS. The caller passes only machines that are still due.
// The upkeep of idle machines is ordered at once, up to the wave's bound; busy machines are reserved only if the wave
// would otherwise not end in time.
func Next(w *ledger.Wave, nowMS int64, due []Machine) Decision {
	slices.SortFunc(due, compareMachines)
	freeSlots := w.Bound - w.Down()
	var d Decision
	reserved := 0
	for _, m := range due {
		if freeSlots > 0 && m.Orderable && m.Runs == 0 {
			d.Order = append(d.Order, m.Name)
			freeSlots--
			continue
		}
		if m.Reserved {
			reserved++
		}
	}
	targetReserved := 0
	if mustDrainBusy(w, nowMS, len(due)-len(d.Order)) {
		targetReserved = w.Bound
	}
	pressing := pressingSteps(w, nowMS, due)
	for _, m := range due {
		if !m.Orderable || m.Reserved || m.Missing && m.Runs == 0 || slices.Contains(d.Order, m.Name) {
			continue
		}
		if reserved < targetReserved || pressing.take(m) {
			d.Reserve = append(d.Reserve, m.Name)
			reserved++
		}
	}
	return d
}

// pressing counts, by step, how many more machines with tasks of the step must be drained now.
type pressing map[LastingStep]int

// pressingSteps returns the steps whose tasks must begin to leave the machines that are due, one after the other, for the
// wave to end in time. Of each, twice as many machines are drained at a time as it may miss tasks, so that the next is empty
// but for them when its turn comes.
func pressingSteps(w *ledger.Wave, nowMS int64, due []Machine) pressing {
	tasks, drained := make(map[LastingStep]int), make(map[LastingStep]int)
	for _, m := range due {
		for i, s := range m.Steps {
			tasks[s]++
			if m.Reserved && !slices.Contains(m.Steps[:i], s) {
				drained[s]++
			}
		}
	}
	p := make(pressing)
	for s, n := range tasks {
		if s.MayMiss == 0 {
			continue
		}
		serialMS := int64((n+s.MayMiss-1)/s.MayMiss) * replaceMS
		if nowMS+serialMS+downtimeMS+lastingMarginMS >= w.StartedMS+w.DurationMS {
			p[s] = 2*s.MayMiss - drained[s]
		}
	}
	return p
}

// take reports whether a machine has a task of a pressing step, and counts the machine if so.
func (p pressing) take(m Machine) bool {
	needed := false
	for _, s := range m.Steps {
		needed = needed || p[s] > 0
	}
	if !needed {
		return false
	}
	for i, s := range m.Steps {
		if !slices.Contains(m.Steps[:i], s) {
			p[s]--
		}
	}
	return true
}

// mustDrainBusy reports whether busy machines must be drained now for the upkeep of a wave's remaining machines to be over
// in time. Before that, only the upkeep of idle machines is ordered, because machines become idle by themselves as demand
// on pools falls.
func mustDrainBusy(w *ledger.Wave, nowMS int64, remaining int) bool {
	rounds := int64((remaining + w.Bound - 1) / max(1, w.Bound))
	return nowMS+rounds*(downtimeMS+drainMS)+safetyMarginMS >= w.StartedMS+w.DurationMS
}

// compareMachines sorts missing machines last and, among the others, empty machines of evacuated data centres first, because
// their pools don't use them, then reserved machines, then those of pools with low demand, then those with the fewest lasting
// runs that may not be stopped, the fewest lasting runs and the lowest LongestTaskMS.
func compareMachines(a, b Machine) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.Missing), boolRank(b.Missing)),
		cmp.Compare(boolRank(!a.emptyEvacuated()), boolRank(!b.emptyEvacuated())),
		cmp.Compare(boolRank(!a.Reserved), boolRank(!b.Reserved)),
		cmp.Compare(boolRank(a.PoolInDemand), boolRank(b.PoolInDemand)),
		cmp.Compare(a.Unstoppable, b.Unstoppable),
		cmp.Compare(a.Lasting, b.Lasting),
		cmp.Compare(a.LongestTaskMS, b.LongestTaskMS),
		strings.Compare(a.Name, b.Name),
	)
}

// emptyEvacuated reports whether the machine is idle and remains so while its data centre is evacuated.
func (m *Machine) emptyEvacuated() bool { return m.Evacuated && m.Runs == 0 }

// boolRank returns the sort key of a condition that moves a machine towards the end.
func boolRank(last bool) int {
	if last {
		return 1
	}
	return 0
}
