// Package pools plans which machines change their pool: into pools that have too few machines for their work, and out of
// pools that have more than they need, with regard to the labels that tasks need. It does no I/O and reads no clock.
package pools

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// usableShare is the share of a pool's processors that tasks of usual sizes can use. A task takes a twentieth to a third of
	// a machine, so part of each machine stays unused.
	usableShare = 0.9
	// growthFactor multiplies a pool's current work, to allow for the work that arrives while an ordered machine moves.
	growthFactor = 1.1
	// donorReserveMachines is the number of machines that a pool keeps beyond its current need when it gives machines to a pool
	// with a shortage.
	donorReserveMachines = 1
	// minReplaced and maxReplacedShare limit how many suspect machines of a pool are replaced by others at a time.
	minReplaced      = 2
	maxReplacedShare = 0.1
	// peakRetention is how long a pool keeps as many machines as it needed at a recent peak. It is about the run time of a
	// task, after which the work of the peak is done.
	peakRetention = 1500 * time.Millisecond
)

// Machine is the leader's view of a machine.
type Machine struct {
	Name, Pool string
	// Movable is set if the machine runs no task, has no pending order and is not about to be maintained.
	Movable bool
	// State tells whether the machine's server can carry work.
	State ServerState
	// Labels are those that its server has, or would have.
	Labels []string
}

// ServerState tells whether a server can carry work.
type ServerState int

// States of a server.
const (
	// Fit: it can, as far as is known.
	Fit ServerState = iota
	// Suspect: its last runs failed. The jobs may be at fault.
	Suspect
	// Absent: it leaves, is silent, or is withheld from work.
	Absent
)

// Pool is a pool with its demand and its size limits.
type Pool struct {
	Name string
	// Standby is set for a pool whose machines are switched off.
	Standby bool
	// NeedCPU is the CPU capacity, in thousandths of a core, that would run all waiting and running tasks. ExpectedCPU is the
	// capacity that the pool is likely to need in total when a machine that is ordered now is ready; 0 without a forecast.
	NeedCPU, ExpectedCPU int64
	// MinMachines is the number of machines that the pool always keeps. PreferredMachines is the number that it keeps unless
	// other pools lack machines.
	PreferredMachines, MinMachines int
	// Labels is what the tasks that need a label ask for, each label once. It is a part of NeedCPU.
	Labels []LabelNeed
}

// Move is the move of a machine to another pool.
type Move struct {
	Machine, From, To string
}

// Planner plans moves and remembers how many machines each pool needed recently. The zero value is ready to use.
type Planner struct {
	peaks map[string][]peak
	// startedAt is the time of the first plan, if started is set.
	startedAt time.Duration
	started   bool
}

// peak is a number of machines that a pool needed at a time.
type peak struct {
	at       time.Duration
	machines int
}

// Plan returns the moves to make now. machineCPU is the capacity of a machine in thousandths of a core.
func (p *Planner) Plan(now time.Duration, list []Pool, machines []Machine, machineCPU int64) []Move {
	if machineCPU <= 0 {
		return nil
	}
	if !p.started {
		p.startedAt, p.started = now, true
	}
	size := fitSizes(machines)
	d := allocation{
		pools: list, shortage: make(map[string]int), expectedShortage: make(map[string]int),
		spare: make(map[string]int), lendable: make(map[string]int), beyondNeed: make(map[string]int),
		labels: newLabels(list, machines, machineCPU),
	}
	for _, pool := range list {
		if pool.Standby {
			d.standby = pool.Name
			d.spare[pool.Name] = size[pool.Name]
			continue
		}
		need := max(MachinesFor(int64(growthFactor*float64(pool.NeedCPU)), machineCPU), pool.MinMachines)
		want := max(need, MachinesFor(pool.ExpectedCPU, machineCPU))
		kept := p.recentPeak(pool.Name, now, want)
		d.lendable[pool.Name] = max(0, size[pool.Name]-max(kept, pool.MinMachines))
		if now-p.startedAt < peakRetention {
			// After a change of leader, the recent need of the pools is not known yet. No machine is switched off until it is, but
			// pools with high demand may borrow machines at once.
			kept = max(kept, size[pool.Name])
		}
		d.shortage[pool.Name] = max(0, need-size[pool.Name])
		d.expectedShortage[pool.Name] = max(0, want-size[pool.Name])
		d.beyondNeed[pool.Name] = max(0, size[pool.Name]-need-donorReserveMachines)
		d.spare[pool.Name] = max(0, size[pool.Name]-max(kept, pool.PreferredMachines))
	}
	return d.assign(machines)
}

// fitSizes returns how many machines of each pool carry work. Of the suspect ones at most maxReplacedShare of a pool count
// as missing, so that jobs that fail everywhere don't draw in one machine after the other.
func fitSizes(machines []Machine) map[string]int {
	size, suspects := make(map[string]int), make(map[string]int)
	for _, m := range machines {
		switch m.State {
		case Fit:
			size[m.Pool]++
		case Suspect:
			suspects[m.Pool]++
		}
	}
	for pool, n := range suspects {
		replaced := max(minReplaced, int(maxReplacedShare*float64(size[pool]+n)))
		size[pool] += max(0, n-replaced)
	}
	return size
}

// MachinesFor returns how many machines are needed for an amount of CPU.
func MachinesFor(cpu, machineCPU int64) int {
	return int(math.Ceil(float64(cpu) / (float64(machineCPU) * usableShare)))
}

// recentPeak records how many machines a pool wants now and returns the largest such number within peakRetention.
func (p *Planner) recentPeak(pool string, now time.Duration, want int) int {
	if p.peaks == nil {
		p.peaks = make(map[string][]peak)
	}
	recent := slices.DeleteFunc(p.peaks[pool], func(k peak) bool { return now-k.at > peakRetention || k.machines <= want })
	recent = append(recent, peak{now, want})
	p.peaks[pool] = recent
	return recent[0].machines
}

// allocation is the state of one planning round. All counts are machines by pool.
type allocation struct {
	pools   []Pool
	standby string
	// shortage is what a pool lacks for its current work, expectedShortage what it is likely to lack soon.
	shortage, expectedShortage map[string]int
	// spare is what a pool has beyond PreferredMachines and its recent peak (a standby pool: all it has). lendable is what it
	// has beyond MinMachines and that peak, for pools that have or expect a shortage. beyondNeed is what it can give only to a
	// pool with a shortage for its current work.
	spare, lendable, beyondNeed map[string]int
	labels                      labels
	moves                       []Move
}

// assign moves machines that are switched off, spare or lendable to the pools with the largest shortages, takes those in
// beyondNeed only for shortages of current work, and switches off the machines that remain spare.
func (d *allocation) assign(machines []Machine) []Move {
	slices.SortFunc(machines, func(a, b Machine) int { return strings.Compare(a.Name, b.Name) })
	free := make(map[string][]string)
	for _, m := range machines {
		if m.Movable && m.State != Absent {
			free[m.Pool] = append(free[m.Pool], m.Name)
		}
	}
	d.fillLabels(free, d.spare, d.lendable, d.beyondNeed)
	d.fillShortages(d.shortage, free, d.spare, d.lendable, d.beyondNeed)
	d.fillShortages(d.expectedShortage, free, d.spare, d.lendable)
	if d.standby == "" {
		return d.moves
	}
	for _, pool := range d.pools {
		for !pool.Standby && d.spare[pool.Name] > 0 && d.takeable(free, pool.Name, "") >= 0 {
			d.move(free, pool.Name, d.standby, "")
		}
	}
	return d.moves
}

// fillShortages moves machines to the pools with the largest shortages first, using up each source before the next.
func (d *allocation) fillShortages(shortages map[string]int, free map[string][]string, sources ...map[string]int) {
	slices.SortStableFunc(d.pools, func(a, b Pool) int { return cmp.Compare(shortages[b.Name], shortages[a.Name]) })
	for _, source := range sources {
		for _, pool := range d.pools {
			for shortages[pool.Name] > 0 {
				donor := d.donor(source, free, pool.Name, "")
				if donor == "" {
					break
				}
				d.move(free, donor, pool.Name, "")
			}
		}
	}
}

// move moves the first machine of a pool that is free, has a label and may leave, and updates all counts. There is one.
func (d *allocation) move(free map[string][]string, from, to, label string) {
	i := d.takeable(free, from, label)
	before := free[from]
	machine := before[i]
	d.moves = append(d.moves, Move{Machine: machine, From: from, To: to})
	if free[from] = free[from][1:]; i > 0 {
		free[from] = slices.Delete(before, i, i+1)
	}
	d.labels.add(machine, from, -1)
	d.labels.add(machine, to, 1)
	for _, source := range []map[string]int{d.spare, d.lendable, d.beyondNeed} {
		source[from]--
	}
	d.shortage[to]--
	d.expectedShortage[to]--
}

// donor returns the pool with the most available machines that can give one with a label, or "" if there is none.
func (d *allocation) donor(available map[string]int, free map[string][]string, to, label string) string {
	best, most := "", 0
	for _, pool := range d.pools {
		n := available[pool.Name]
		if n > most && pool.Name != to && d.takeable(free, pool.Name, label) >= 0 {
			best, most = pool.Name, n
		}
	}
	return best
}
