// Package forecast tells which pool is likely to be asked for much next, and how much. It follows demand that goes
// from pool to pool by turns: how long a turn takes, which pool follows which, and what each asked in its last turn.
// It is pure; all times are milliseconds on one clock.
package forecast

import (
	"slices"
)

const (
	// window is the time over which a rate is taken: four large or twenty small jobs at the users' busy rates.
	window = 1200
	// fewest is the least number of jobs in the window that make a turn: a single large one is none.
	fewest = 3
	// enough is the least number of jobs in the window that tell how much a turn asks for: sizes vary by half of their mean,
	// so the mean of sixteen is off by an eighth.
	enough = 16
	// hotShare is the part of its usual capacity at which a pool's demand counts as a turn. Between its turns a queue
	// asks a twentieth of its mean, in them three to five times as much.
	hotShare = 0.3
	// coldShare is the part of its usual capacity below which a pool's turn is over; it is lower than hotShare, so that
	// one turn isn't taken for two.
	coldShare = 0.2
	// young is how long after a turn's start the work that is there doesn't show yet what the turn asks for: jobs of several
	// steps take 2 to 4 s.
	young = 2500
	// lead is how long before its expected turn a pool is to have its machines: a move takes 1.5 s (migrate_s), and the
	// new server has to announce itself.
	lead = 2500
	// patience is how long after its expected start a turn is still waited for.
	patience = 1500
	// firstTurn is how much of its usual capacity a pool is taken to need when its first turn begins. The users' queues
	// then ask for more than their pools hold, 1.3 to 2.2 times as much.
	firstTurn = 1.7
	// keepTurns bounds the turns that are remembered.
	keepTurns = 32
)

// Outlook is what is expected of a pool.
type Outlook struct {
	// Rate is the demand in thousandths of a core that is to be ready for because it is about to come: a turn is expected
	// soon or has just begun, or goes on with so many jobs that its rate can be measured. Else the work that is there tells
	// more, and Rate is 0.
	Rate int64
	// Open is set if the pool's turn may come at any time: none was seen yet.
	Open bool
	// Hot is set while its turn is under way.
	Hot bool
}

// turn is a time in which a pool was asked for much.
type turn struct {
	pool       string
	start, end int64 // end is 0 while it goes on
	work       int64 // what was asked for, in thousandths of a core times milliseconds
}

// rate returns the mean demand of a turn in thousandths of a core.
func (t *turn) rate(now int64) int64 {
	end := t.end
	if end == 0 {
		end = now
	}
	return t.work / max(window, end-t.start)
}

type arrival struct {
	at, work int64
}

// Forecast follows the demand of all pools. The zero value is ready to use.
type Forecast struct {
	usual  map[string]int64 // capacity in thousandths of a core that a pool usually has
	recent map[string][]arrival
	turns  []turn
	// lastStart orders the pools by when their last turn began.
	lastStart map[string]int64
}

// SetUsual tells the capacity that a pool usually has, in thousandths of a core.
func (f *Forecast) SetUsual(pool string, cpu int64) {
	if f.usual == nil {
		f.usual = make(map[string]int64)
		f.recent = make(map[string][]arrival)
		f.lastStart = make(map[string]int64)
	}
	f.usual[pool] = cpu
}

// Arrive notes work that was accepted: thousandths of a core times milliseconds.
func (f *Forecast) Arrive(pool string, at, work int64) {
	if f.usual[pool] == 0 {
		return
	}
	f.recent[pool] = append(f.recent[pool], arrival{at, work})
	f.update(at)
	if t := f.current(pool); t != nil {
		t.work += work
	}
}

// current returns the turn of a pool that goes on, or nil.
func (f *Forecast) current(pool string) *turn {
	for i := range slices.Backward(f.turns) {
		if f.turns[i].pool == pool && f.turns[i].end == 0 {
			return &f.turns[i]
		}
	}
	return nil
}

// Hot reports whether a pool's turn is under way.
func (f *Forecast) Hot(pool string) bool { return f.current(pool) != nil }

// update begins and ends turns.
func (f *Forecast) update(now int64) {
	for pool, list := range f.recent {
		list = slices.DeleteFunc(list, func(a arrival) bool { return a.at <= now-window })
		f.recent[pool] = list
		var work int64
		for _, a := range list {
			work += a.work
		}
		rate := work / window
		t := f.current(pool)
		switch {
		case t == nil && len(list) >= fewest && rate >= int64(hotShare*float64(f.usual[pool])):
			f.begin(pool, list)
		case t != nil && rate < int64(coldShare*float64(f.usual[pool])):
			t.end = now
		}
	}
}

func (f *Forecast) begin(pool string, list []arrival) {
	// Work comes evenly within a turn, so it began as long before half of the work had come as that is ago.
	now, half := list[len(list)-1].at, halfAt(list)
	t := turn{pool: pool, start: half - (now - half)}
	for _, a := range list[:len(list)-1] {
		t.work += a.work
	}
	f.turns = append(f.turns, t)
	f.lastStart[pool] = t.start
	if len(f.turns) > keepTurns {
		f.turns = f.turns[len(f.turns)-keepTurns:]
	}
}

// halfAt returns when half of the work of a list had come.
func halfAt(list []arrival) int64 {
	var total, sum int64
	for _, a := range list {
		total += a.work
	}
	for _, a := range list {
		if sum += a.work; 2*sum >= total {
			return a.at
		}
	}
	return list[len(list)-1].at
}

// step returns the usual time between the starts of turns of different pools; 0 if it isn't known.
func (f *Forecast) step() int64 {
	var steps []int64
	for i := 1; i < len(f.turns); i++ {
		if f.turns[i].pool != f.turns[i-1].pool {
			steps = append(steps, f.turns[i].start-f.turns[i-1].start)
		}
	}
	if len(steps) == 0 {
		return 0
	}
	slices.Sort(steps)
	return steps[len(steps)/2]
}

// next returns the pool that is likely to follow the last turn's, and whether that was seen before or is the only
// choice. Pools follow as they did before; a pool that was never followed is followed by the one whose turn
// is longest ago.
func (f *Forecast) next() (pool string, known bool) {
	last := f.turns[len(f.turns)-1].pool
	for i := len(f.turns) - 2; i >= 0; i-- {
		if f.turns[i].pool == last && f.turns[i+1].pool != last {
			return f.turns[i+1].pool, true
		}
	}
	var unseen []string
	for p := range f.usual {
		if _, seen := f.lastStart[p]; !seen {
			unseen = append(unseen, p)
		}
	}
	switch len(unseen) {
	case 0:
		return f.longestAgo(last), true
	case 1:
		return unseen[0], true
	}
	return "", false
}

func (f *Forecast) longestAgo(last string) string {
	best := ""
	for p, at := range f.lastStart {
		if p != last && (best == "" || at < f.lastStart[best] || at == f.lastStart[best] && p < best) {
			best = p
		}
	}
	return best
}

// Look returns the outlook of every pool at now.
func (f *Forecast) Look(now int64) map[string]Outlook {
	f.update(now)
	look := make(map[string]Outlook, len(f.usual))
	for pool, usual := range f.usual {
		_, seen := f.lastStart[pool]
		o := Outlook{Open: !seen}
		if t := f.current(pool); t != nil {
			o.Hot, o.Rate = true, f.turnRate(t, usual, now)
		}
		look[pool] = o
	}
	if len(f.turns) > 0 {
		f.expect(look, now)
	}
	return look
}

// turnRate returns what a turn that goes on is likely to ask for.
func (f *Forecast) turnRate(t *turn, usual, now int64) int64 {
	if now-t.start >= young {
		return f.measured(t.pool)
	}
	if rate := f.lastRate(t.pool, now); rate > 0 {
		return rate
	}
	return int64(firstTurn * float64(usual))
}

// measured returns what a pool was asked for lately, in thousandths of a core; 0 if by too few jobs to tell.
func (f *Forecast) measured(pool string) int64 {
	if len(f.recent[pool]) < enough {
		return 0
	}
	var work int64
	for _, a := range f.recent[pool] {
		work += a.work
	}
	return work / window
}

// expect fills in the pool whose turn comes next, once that is near. While several may be next, each is to have
// its usual size.
func (f *Forecast) expect(look map[string]Outlook, now int64) {
	pool, known := f.next()
	step := f.step()
	start := f.turns[len(f.turns)-1].start + step
	if step == 0 || now < start-lead || now > start+patience {
		return
	}
	for p, o := range look {
		switch {
		case o.Hot:
		case p == pool:
			if o.Rate = f.lastRate(p, now); o.Rate == 0 {
				o.Rate = int64(firstTurn * float64(f.usual[p]))
			}
		case !known && o.Open:
			o.Rate = f.usual[p]
		}
		look[p] = o
	}
}

// lastRate returns what a pool asked in its last complete turn; 0 if it had none.
func (f *Forecast) lastRate(pool string, now int64) int64 {
	for i := range slices.Backward(f.turns) {
		if f.turns[i].pool == pool && f.turns[i].end != 0 {
			return f.turns[i].rate(now)
		}
	}
	return 0
}
