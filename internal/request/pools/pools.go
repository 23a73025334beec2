// Package pools decides which machines change their pool: into pools whose work needs more than they hold, and out
// of pools that hold more than they need. It is pure.
package pools

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// fillable is the part of a pool's processors that tasks of usual sizes can fill: a task takes a twentieth to a third of a
	// machine, so some of each machine stays empty.
	fillable = 0.9
	// growth is how much more work than now a pool is prepared for: what comes while a machine that is ordered now moves.
	growth = 1.1
	// margin is the number of machines that a pool keeps beyond what its work needs when it gives to others.
	margin = 1
	// holdFor is how long a pool keeps the size that it last needed: about a task's run time, after which the work that
	// came with the last peak is done.
	holdFor = 1500 * time.Millisecond
)

// Machine is a machine as the leader sees it.
type Machine struct {
	Name, Pool string
	// Movable is set if nothing runs on it, nothing is ordered for it and no upkeep is near.
	Movable bool
}

// Pool is a pool and what it is asked for.
type Pool struct {
	Name string
	// Standby pools hold machines that are off.
	Standby bool
	// Need is the number of thousandths of a core that would run everything that waits or runs, Expected the same for
	// what is likely to come before a machine that is ordered now can work.
	Need, Expected int64
	// Least is the number of machines that the pool must have, Floor what it keeps while others need none.
	Floor, Least int
}

// Move takes a machine to another pool.
type Move struct {
	Machine, From, To string
}

// Planner remembers what pools needed of late. The zero value is ready to use.
type Planner struct {
	peaks map[string][]peak
	// since is when the first plan was made, if begun is set.
	since time.Duration
	begun bool
}

type peak struct {
	at       time.Duration
	machines int
}

// Plan returns the moves that hold now. machineCPU is the size of a machine in thousandths of a core.
func (p *Planner) Plan(now time.Duration, list []Pool, machines []Machine, machineCPU int64) []Move {
	if machineCPU <= 0 {
		return nil
	}
	if !p.begun {
		p.since, p.begun = now, true
	}
	size := make(map[string]int)
	for _, m := range machines {
		size[m.Pool]++
	}
	d := deal{
		pools: list, lacking: make(map[string]int), missing: make(map[string]int),
		spare: make(map[string]int), loan: make(map[string]int), excess: make(map[string]int),
	}
	for _, pool := range list {
		if pool.Standby {
			d.standby = pool.Name
			d.spare[pool.Name] = size[pool.Name]
			continue
		}
		need := max(machinesFor(int64(growth*float64(pool.Need)), machineCPU), pool.Least)
		want := max(need, machinesFor(pool.Expected, machineCPU))
		kept := p.hold(pool.Name, now, want)
		d.loan[pool.Name] = max(0, size[pool.Name]-max(kept, pool.Least))
		if now-p.since < holdFor {
			// Nothing is known yet of what the pool needed just before, under an earlier leader: nothing is switched off,
			// but pools whose turn is under way are lent to at once.
			kept = max(kept, size[pool.Name])
		}
		d.lacking[pool.Name] = max(0, need-size[pool.Name])
		d.missing[pool.Name] = max(0, want-size[pool.Name])
		d.excess[pool.Name] = max(0, size[pool.Name]-need-margin)
		d.spare[pool.Name] = max(0, size[pool.Name]-max(kept, pool.Floor))
	}
	return d.assign(machines)
}

// machinesFor returns how many machines hold an amount of work.
func machinesFor(cpu, machineCPU int64) int {
	return int(math.Ceil(float64(cpu) / (float64(machineCPU) * fillable)))
}

// hold returns the largest number of machines that a pool needed within holdFor.
func (p *Planner) hold(pool string, now time.Duration, want int) int {
	if p.peaks == nil {
		p.peaks = make(map[string][]peak)
	}
	recent := slices.DeleteFunc(p.peaks[pool], func(k peak) bool { return now-k.at > holdFor || k.machines <= want })
	recent = append(recent, peak{now, want})
	p.peaks[pool] = recent
	return recent[0].machines
}

// deal is one distribution of machines.
type deal struct {
	pools   []Pool
	standby string
	// lacking counts the machines that a pool lacks for the work that it has, missing those that it is likely to lack.
	lacking, missing map[string]int
	// spare counts the machines that a pool doesn't need, loan those that it can do without while another is likely to
	// lack some, excess those that it can do without while another lacks some.
	spare, loan, excess map[string]int
	moves               []Move
}

// assign gives machines that are off or spare to the pools that lack most, lends others, and switches off the rest.
func (d *deal) assign(machines []Machine) []Move {
	slices.SortFunc(machines, func(a, b Machine) int { return strings.Compare(a.Name, b.Name) })
	free := make(map[string][]string)
	for _, m := range machines {
		if m.Movable {
			free[m.Pool] = append(free[m.Pool], m.Name)
		}
	}
	d.supply(d.lacking, free, d.spare, d.loan, d.excess)
	d.supply(d.missing, free, d.spare, d.loan)
	if d.standby == "" {
		return d.moves
	}
	for _, pool := range d.pools {
		for !pool.Standby && d.spare[pool.Name] > 0 && len(free[pool.Name]) > 0 {
			d.take(free, pool.Name, d.standby)
		}
	}
	return d.moves
}

// supply gives machines to the pools that need most, from each of the stocks in turn.
func (d *deal) supply(needs map[string]int, free map[string][]string, stocks ...map[string]int) {
	slices.SortStableFunc(d.pools, func(a, b Pool) int { return cmp.Compare(needs[b.Name], needs[a.Name]) })
	for _, stock := range stocks {
		for _, pool := range d.pools {
			for needs[pool.Name] > 0 {
				donor := d.donor(stock, free, pool.Name)
				if donor == "" {
					break
				}
				d.take(free, donor, pool.Name)
			}
		}
	}
}

// take moves the first free machine of a pool.
func (d *deal) take(free map[string][]string, from, to string) {
	d.moves = append(d.moves, Move{Machine: free[from][0], From: from, To: to})
	free[from] = free[from][1:]
	for _, stock := range []map[string]int{d.spare, d.loan, d.excess} {
		stock[from]--
	}
	d.lacking[to]--
	d.missing[to]--
}

// donor returns the pool that can give most, or "".
func (d *deal) donor(can map[string]int, free map[string][]string, to string) string {
	best := ""
	for _, pool := range d.pools {
		if pool.Name == to || can[pool.Name] <= 0 || len(free[pool.Name]) == 0 {
			continue
		}
		if best == "" || can[pool.Name] > can[best] {
			best = pool.Name
		}
	}
	return best
}
