// Package faults draws a schedule of faults from a seed and injects them into the processes and links of a soak.
package faults

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumrouter/test/soak/cluster"
	"laburnumrouter/test/soak/link"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Faults of processes act on Target, those of links on the link between Target and Peer.
const (
	Term    Kind = "term"    // SIGTERM, and a restart
	Kill    Kind = "kill"    // SIGKILL, and a restart
	Freeze  Kind = "freeze"  // SIGSTOP, then SIGCONT
	Reload  Kind = "reload"  // SIGHUP
	Wipe    Kind = "wipe"    // SIGKILL, the data folder is emptied, and a restart
	Flip    Kind = "flip"    // SIGKILL, a byte of the log is inverted, and a restart; then as Wipe
	Tear    Kind = "tear"    // SIGKILL, half a record is appended to the log, and a restart
	Rolling Kind = "rolling" // Term of all processes of the class Target in series
	AllOff  Kind = "all-off" // SIGKILL of all control instances at once, and a restart
	Delay   Kind = "delay"   // bytes are delayed, both ways
	Slow    Kind = "slow"    // bytes pass at a low rate, both ways
	Cut     Kind = "cut"     // nothing passes, both ways
	CutTo   Kind = "cut-to"  // nothing passes from Target to Peer
	CutFrom Kind = "cut-from"
	Reset   Kind = "reset"  // open connections are reset
	Silence Kind = "silent" // open connections pass nothing any more
)

// Fault is one fault of a schedule.
type Fault struct {
	At, For      time.Duration
	Kind         Kind
	Target, Peer string
}

// String describes a fault on a line.
func (f Fault) String() string {
	line := fmt.Sprintf("%8.3fs for %.3fs  %-8s %s", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target)
	if f.Peer != "" {
		line += " - " + f.Peer
	}
	return line
}

// weights is how often each kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Term, 4}, {Kill, 5}, {Freeze, 5}, {Reload, 1}, {Wipe, 2}, {Flip, 2}, {Tear, 2}, {Rolling, 1}, {AllOff, 1},
	{Delay, 3}, {Slow, 1}, {Cut, 3}, {CutTo, 3}, {CutFrom, 3}, {Reset, 3}, {Silence, 2},
}

const (
	// quietStart is how long no fault begins.
	quietStart = 500 * time.Millisecond
	minTime    = 200 * time.Millisecond
	maxTime    = 4 * time.Second
)

// Names of the processes that faults act on.
type Names struct {
	Controls, Entries, Workers []string
}

// Schedule draws the faults of a run. It depends on its arguments only.
func Schedule(seed uint64, duration time.Duration, names Names) []Fault {
	d := &drawing{rng: rand.New(rand.NewPCG(seed, 1)), names: names, losses: (len(names.Controls) - 1) / 2, allOff: 1}
	processes := len(names.Controls) + len(names.Entries) + len(names.Workers)
	// Some schedules are dense, so that faults overlap; others leave the system time to recover in between.
	perSecond := (1 + float64(processes)/25) * (0.2 + d.rng.Float64())
	var list []Fault
	for at := quietStart; at < duration-minTime; at += time.Duration(d.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		f := d.fault()
		f.At = at
		f.For = min(minTime+time.Duration(d.rng.Int64N(int64(maxTime-minTime))), duration-at)
		list = append(list, f)
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return list
}

type drawing struct {
	rng    *rand.Rand
	names  Names
	losses int // disks that may still be lost
	allOff int // times at which all control instances may still be killed
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func (d *drawing) kind() Kind {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	n := d.rng.IntN(sum)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return Kill
}

func (d *drawing) fault() Fault {
	f := Fault{Kind: d.kind()}
	switch f.Kind {
	case Wipe, Flip:
		f.Target = pick(d.rng, d.names.Controls)
		if d.losses == 0 {
			f.Kind = Kill
			break
		}
		d.losses--
	case Tear:
		f.Target = pick(d.rng, d.names.Controls)
	case AllOff:
		f.Target = cluster.Control
		if d.allOff == 0 {
			f.Kind, f.Target = Kill, pick(d.rng, d.names.Controls)
			break
		}
		d.allOff--
	case Rolling:
		f.Target = pick(d.rng, []string{cluster.Control, cluster.Entry})
	case Reload:
		f.Target = pick(d.rng, d.names.Entries)
	case Term, Kill, Freeze:
		f.Target = d.process()
	default:
		f.Target, f.Peer = d.pair()
	}
	return f
}

func (d *drawing) process() string {
	n := d.rng.IntN(10)
	switch {
	case n < 4:
		return pick(d.rng, d.names.Controls)
	case n < 7:
		return pick(d.rng, d.names.Entries)
	}
	return pick(d.rng, d.names.Workers)
}

// pair draws a link, or all links of a process.
func (d *drawing) pair() (from, to string) {
	n := d.rng.IntN(12)
	switch {
	case n < 3:
		return d.process(), link.Any
	case n < 6:
		i := d.rng.IntN(len(d.names.Controls))
		k := (i + 1 + d.rng.IntN(len(d.names.Controls)-1)) % len(d.names.Controls)
		return d.names.Controls[i], d.names.Controls[k]
	case n < 8:
		return pick(d.rng, d.names.Entries), pick(d.rng, d.names.Controls)
	case n < 10:
		return pick(d.rng, d.names.Workers), pick(d.rng, d.names.Controls)
	case n < 11:
		return cluster.Operator, pick(d.rng, d.names.Controls)
	}
	return cluster.Callers, pick(d.rng, d.names.Entries)
}
