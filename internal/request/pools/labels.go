package pools

import (
	"cmp"
	"slices"
)

// LabelNeed is what those tasks of a pool ask for that need a label.
type LabelNeed struct {
	Label string
	// CPU is the capacity, in thousandths of a core, that would run all of them.
	CPU int64
	// Machines is the number of distinct machines that they need at least.
	Machines int
}

// labelCount compares the machines of a pool that have a label with those that its tasks need.
type labelCount struct{ need, have int }

// labels tracks which machines the tasks of pools need for their labels. It is empty while none do.
type labels struct {
	// counts holds, by pool and label, the labels that tasks need.
	counts map[string]map[string]*labelCount
	// of holds the labels of the machines.
	of map[string][]string
}

func newLabels(list []Pool, machines []Machine, machineCPU int64) labels {
	l := labels{}
	for _, pool := range list {
		for _, n := range pool.Labels {
			if l.counts == nil {
				l.counts, l.of = make(map[string]map[string]*labelCount), make(map[string][]string)
			}
			if l.counts[pool.Name] == nil {
				l.counts[pool.Name] = make(map[string]*labelCount)
			}
			l.counts[pool.Name][n.Label] = &labelCount{need: max(1, n.Machines, MachinesFor(int64(growthFactor*float64(n.CPU)), machineCPU))}
		}
	}
	if l.counts == nil {
		return l
	}
	for _, m := range machines {
		l.of[m.Name] = m.Labels
		if m.State != Absent {
			l.add(m.Name, m.Pool, 1)
		}
	}
	return l
}

// add counts a machine that comes into a pool, or leaves it.
func (l *labels) add(machine, pool string, n int) {
	for _, label := range l.of[machine] {
		if c := l.counts[pool][label]; c != nil {
			c.have += n
		}
	}
}

// mayLeave reports whether the tasks of a pool can do without a machine.
func (l *labels) mayLeave(machine, pool string) bool {
	if l.counts[pool] == nil {
		return true
	}
	return !slices.ContainsFunc(l.of[machine], func(label string) bool {
		c := l.counts[pool][label]
		return c != nil && c.have <= c.need
	})
}

// has reports whether a machine has a label; each has the empty one.
func (l *labels) has(machine, label string) bool {
	return label == "" || slices.Contains(l.of[machine], label)
}

// takeable returns the index of the first free machine of a pool that has a label and may leave, or -1.
func (d *allocation) takeable(free map[string][]string, pool, label string) int {
	if label == "" && d.labels.counts[pool] == nil {
		return min(len(free[pool]), 1) - 1
	}
	return slices.IndexFunc(free[pool], func(machine string) bool {
		return d.labels.has(machine, label) && d.labels.mayLeave(machine, pool)
	})
}

// fillLabels brings machines with the labels that tasks need into their pools: such as are off, spare or lendable, or else in exchange
// for one that is off.
func (d *allocation) fillLabels(free map[string][]string, sources ...map[string]int) {
	pools := slices.Clone(d.pools)
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	for _, pool := range pools {
		needs := slices.Clone(pool.Labels)
		slices.SortFunc(needs, func(a, b LabelNeed) int { return cmp.Compare(a.Label, b.Label) })
		for _, n := range needs {
			for c := d.labels.counts[pool.Name][n.Label]; c.have < c.need && d.bringLabel(free, pool.Name, n.Label, sources); {
			}
		}
	}
}

// bringLabel moves one machine with a label into a pool and reports whether there was one.
func (d *allocation) bringLabel(free map[string][]string, to, label string, sources []map[string]int) bool {
	for _, source := range sources {
		if donor := d.donor(source, free, to, label); donor != "" {
			d.move(free, donor, to, label)
			return true
		}
	}
	if d.standby == "" || d.spare[d.standby] <= 0 || d.takeable(free, d.standby, "") < 0 {
		return false
	}
	for _, pool := range d.pools {
		if pool.Name != to && !pool.Standby && d.takeable(free, pool.Name, label) >= 0 {
			d.move(free, pool.Name, to, label)
			d.move(free, d.standby, pool.Name, "")
			return true
		}
	}
	return false
}
