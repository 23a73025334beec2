// Package forecast predicts which pool will have high demand next, and how much.
//
// It assumes that high demand moves from pool to pool. A period of high demand on one pool is called a turn. The forecast
// follows how long turns take, which pool follows which, and what each pool was asked for in its last turn. It does no I/O
// and reads no clock; all times are in milliseconds on one clock.
package forecast

import (
	"math"
	"slices"
)

const (
	// rateWindowMS is the time over which demand is measured. During a turn, four large or twenty small jobs of the users
	// arrive in it.
	rateWindowMS = 1200
	// loadWindowMS is the time over which the demand of a turn is measured that machines are prepared for. Jobs of several
	// steps use their CPU time over two to four seconds, and over a shorter time the few large jobs of a heavy queue make the
	// measure vary by a factor of two.
	loadWindowMS = 2400
	// minTurnJobs is the smallest number of jobs in the window that can start a turn: a single large job is no turn.
	minTurnJobs = 3
	// minSampleJobs is the smallest number of jobs in the window from which the demand of a turn is measured. Job sizes vary by
	// half of their mean, so the mean of 16 jobs is off by about an eighth.
	minSampleJobs = 16
	// turnStartShare is the share of a pool's usual capacity at which its demand starts a turn. Outside turns, the demand of
	// a queue is a twentieth of its mean demand; during a turn, it is three to five times the mean.
	turnStartShare = 0.3
	// turnEndShare is the share of a pool's usual capacity below which its turn ends. It is lower than turnStartShare, so that
	// one turn isn't counted as two.
	turnEndShare = 0.2
	// earlyTurnMS is the time from the start of a turn, or from a pause in it, during which the accepted work understates its
	// demand: jobs of several steps take 2 to 4 s.
	earlyTurnMS = 2500
	// leadTimeMS is how long before its expected turn a pool begins to get its machines: a move takes 1.5 s
	// (migrate_s), and the new server has to announce itself.
	leadTimeMS = 2500
	// lateTurnMS is how long after its expected start a turn is still expected.
	lateTurnMS = 1500
	// bucketMS is the resolution at which the course of a turn is remembered, maxBuckets the length of what is remembered.
	bucketMS   = 200
	maxBuckets = 300
	// maxPauseMS is the longest pause after which a turn goes on. While no leader is there, no jobs are accepted.
	maxPauseMS = 4000
	// firstTurnFactor is the assumed demand of a pool's first turn, as a multiple of its usual capacity. The users' queues then
	// ask for 1.3 to 2.2 times what their pools hold.
	firstTurnFactor = 1.7
	// maxTurns limits the number of turns that are remembered.
	maxTurns = 32
	// onsetWindowMS and minOnsetJobs are the time and the number of arrivals from which a rise of demand outside turns is
	// noticed. Outside turns, a queue has less than one arrival in this time.
	onsetWindowMS = 600
	minOnsetJobs  = 2
	// onsetShare is the share of a pool's usual capacity from which such a rise counts. A few small jobs stay below it.
	onsetShare = 0.08
	// onsetGrowth is the factor by which the demand of a rise grows in leadTimeMS. At the start of a turn it rises from nothing
	// to its peak in about four seconds.
	onsetGrowth = 2.5
	// maxMedians bounds the work with which one job counts, as a multiple of the median job of the window. Job sizes vary so
	// much that one of the largest jobs would otherwise double the measured demand of the 16 jobs in a window.
	maxMedians = 4
)

// Outlook is the forecast for a pool.
type Outlook struct {
	// RateCPU is the demand to prepare for, in thousandths of a core. It is set when a turn is expected soon, has just begun,
	// takes the course of an earlier one, or has enough jobs for its rate to be measured. Otherwise it is 0, because the accepted work is the better measure.
	RateCPU int64
	// NoTurnYet is set if the pool has had no turn yet, so that its first turn may come at any time.
	NoTurnYet bool
	// InTurn is set during a turn of the pool.
	InTurn bool
}

// turn is a period of high demand on a pool.
type turn struct {
	pool       string
	start, end int64 // end is 0 during the turn
	// resumed is when the turn went on after its last pause; 0 without a pause. latest is its newest arrival.
	resumed, latest int64
	// course is the work that arrived in each bucketMS since the start, in thousandths of a core times milliseconds.
	course []int64
}

// add records work that arrives during the turn.
func (t *turn) add(at, work int64) {
	bucket := max(0, int(at-t.start)/bucketMS)
	if bucket >= maxBuckets {
		return
	}
	for len(t.course) <= bucket {
		t.course = append(t.course, 0)
	}
	t.course[bucket] += work
}

// highestRate returns the highest demand of the part of the turn between two times after its start. The demand at a time is
// measured over loadWindowMS, most of which comes after it, so that a sudden rise shows at once.
func (t *turn) highestRate(from, to int64) (rate int64) {
	const window, past = loadWindowMS / bucketMS, 2
	for at := max(0, from/bucketMS); at <= to/bucketMS && at < int64(len(t.course)); at++ {
		var work int64
		for i := max(0, at-past); i < min(at-past+window, int64(len(t.course))); i++ {
			work += t.course[i]
		}
		rate = max(rate, work/loadWindowMS)
	}
	return rate
}

// arrival is the work of a job and the time at which it was accepted.
type arrival struct {
	at, work int64
}

// Forecast follows the demand of all pools. The zero value is ready to use.
type Forecast struct {
	usualCPU map[string]int64 // usual capacity of a pool, in thousandths of a core
	recent   map[string][]arrival
	turns    []turn
	// lastStart is the time at which the last turn of a pool began.
	lastStart map[string]int64
}

// SetUsualCPU sets the usual capacity of a pool, in thousandths of a core.
func (f *Forecast) SetUsualCPU(pool string, cpu int64) {
	if f.usualCPU == nil {
		f.usualCPU = make(map[string]int64)
		f.recent = make(map[string][]arrival)
		f.lastStart = make(map[string]int64)
	}
	f.usualCPU[pool] = cpu
}

// RecordArrival records work that was accepted for a pool, in thousandths of a core times milliseconds. Pools without a
// usual capacity are ignored.
func (f *Forecast) RecordArrival(pool string, at, work int64) {
	if f.usualCPU[pool] == 0 {
		return
	}
	f.updateTurns(at) // a turn ends by the time without arrivals, whatever this one asks for
	f.recent[pool] = append(f.recent[pool], arrival{at, work})
	f.updateTurns(at)
	if t := f.current(pool); t != nil {
		t.add(at, min(work, f.largestCounted(pool)))
		t.latest = at
	}
}

// current returns the turn of a pool that has not ended, or nil.
func (f *Forecast) current(pool string) *turn {
	for i := range slices.Backward(f.turns) {
		if f.turns[i].pool == pool && f.turns[i].end == 0 {
			return &f.turns[i]
		}
	}
	return nil
}

// InTurn reports whether a pool has a turn now.
func (f *Forecast) InTurn(pool string) bool { return f.current(pool) != nil }

// updateTurns begins and ends turns according to the rate of each pool.
func (f *Forecast) updateTurns(now int64) {
	for pool, all := range f.recent {
		all = slices.DeleteFunc(all, func(a arrival) bool { return a.at <= now-loadWindowMS })
		f.recent[pool] = all
		list := all[firstAfter(all, now-rateWindowMS):]
		var work int64
		for _, a := range list {
			work += a.work
		}
		rate := work / rateWindowMS
		t := f.current(pool)
		switch {
		case t == nil && len(list) >= minTurnJobs && rate >= int64(turnStartShare*float64(f.usualCPU[pool])):
			f.beginTurn(pool, list)
		case t != nil && rate < int64(turnEndShare*float64(f.usualCPU[pool])):
			t.end = now
		}
	}
}

// firstAfter returns the index of the first arrival after a time.
func firstAfter(list []arrival, at int64) int {
	i := 0
	for i < len(list) && list[i].at <= at {
		i++
	}
	return i
}

// beginTurn adds a turn of a pool, or resumes the last one, and estimates its start from the arrivals in the window. The
// turn doesn't include the last arrival, which RecordArrival adds.
func (f *Forecast) beginTurn(pool string, list []arrival) {
	// If work arrives evenly within a turn, half of it had arrived midway between the start of the turn and now. So the start
	// is as far before that midpoint as the midpoint is before now.
	now, half := list[len(list)-1].at, halfWorkTime(list)
	start := half - (now - half)
	if !f.resumeTurn(pool, start) {
		f.turns = append(f.turns, turn{pool: pool, start: start})
		f.lastStart[pool] = start
		if len(f.turns) > maxTurns {
			f.turns = f.turns[len(f.turns)-maxTurns:]
		}
	}
	t := f.current(pool)
	largest := f.largestCounted(pool)
	for _, a := range list[:len(list)-1] {
		t.add(a.at, min(a.work, largest))
	}
}

// resumeTurn makes the last turn go on if it is one of the pool that paused shortly before, and reports whether it did.
// Demand moves on to another pool after a turn, so the demand had only not been seen in between.
func (f *Forecast) resumeTurn(pool string, at int64) bool {
	if len(f.turns) == 0 {
		return false
	}
	last := &f.turns[len(f.turns)-1]
	if last.pool != pool || at-last.latest > maxPauseMS {
		return false
	}
	last.resumed, last.end = at, 0
	return true
}

// halfWorkTime returns the time by which half of the work of a list had arrived.
func halfWorkTime(list []arrival) int64 {
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

// turnInterval returns the median time between the starts of consecutive turns on different pools; 0 if none is known.
func (f *Forecast) turnInterval() int64 {
	var intervals []int64
	for i := 1; i < len(f.turns); i++ {
		if f.turns[i].pool != f.turns[i-1].pool {
			intervals = append(intervals, f.turns[i].start-f.turns[i-1].start)
		}
	}
	if len(intervals) == 0 {
		return 0
	}
	slices.Sort(intervals)
	return intervals[len(intervals)/2]
}

// nextPool returns the pool that is expected to follow the pool of the last turn. known is false if several pools are
// possible. A pool is expected to be followed by the same pool as before. If it has not been followed yet, the next pool is
// the only one without a turn so far or, if every pool has had one, the one whose last turn began longest ago.
func (f *Forecast) nextPool() (pool string, known bool) {
	last := f.turns[len(f.turns)-1].pool
	for i := len(f.turns) - 2; i >= 0; i-- {
		if f.turns[i].pool == last && f.turns[i+1].pool != last {
			return f.turns[i+1].pool, true
		}
	}
	var unseen []string
	for p := range f.usualCPU {
		if _, seen := f.lastStart[p]; !seen {
			unseen = append(unseen, p)
		}
	}
	switch len(unseen) {
	case 0:
		return f.leastRecentPool(last), true
	case 1:
		return unseen[0], true
	}
	return "", false
}

// leastRecentPool returns the pool, other than last, whose last turn began longest ago.
func (f *Forecast) leastRecentPool(last string) string {
	best := ""
	for p, at := range f.lastStart {
		if p != last && (best == "" || at < f.lastStart[best] || at == f.lastStart[best] && p < best) {
			best = p
		}
	}
	return best
}

// Update begins and ends turns by the demand up to now, and returns the forecast for every pool.
func (f *Forecast) Update(now int64) map[string]Outlook {
	f.updateTurns(now)
	outlooks := make(map[string]Outlook, len(f.usualCPU))
	for pool, usual := range f.usualCPU {
		_, seen := f.lastStart[pool]
		o := Outlook{NoTurnYet: !seen}
		if t := f.current(pool); t != nil {
			o.InTurn, o.RateCPU = true, f.turnRate(t, usual, now)
		} else {
			o.RateCPU = f.onsetRate(pool, now)
		}
		outlooks[pool] = o
	}
	if len(f.turns) > 0 {
		f.addExpected(outlooks, now)
	}
	return outlooks
}

// turnRate returns the demand to prepare for during a turn; 0 if the accepted work is the better measure.
func (f *Forecast) turnRate(t *turn, usual, now int64) int64 {
	if rate := f.courseRate(t.pool, now-t.start); rate > 0 {
		return max(f.recentRate(t.pool), rate)
	}
	if now-max(t.start, t.resumed) >= earlyTurnMS {
		return f.recentRate(t.pool)
	}
	return int64(firstTurnFactor * float64(usual))
}

// recentRate returns the recent demand on a pool, in thousandths of a core; 0 if fewer than minSampleJobs jobs arrived.
func (f *Forecast) recentRate(pool string) int64 {
	if len(f.recent[pool]) < minSampleJobs {
		return 0
	}
	largest := f.largestCounted(pool)
	var work int64
	for _, a := range f.recent[pool] {
		work += min(a.work, largest)
	}
	return work / loadWindowMS
}

// largestCounted returns the work with which a recent job of a pool counts at most.
func (f *Forecast) largestCounted(pool string) int64 {
	if len(f.recent[pool]) < minSampleJobs {
		return math.MaxInt64
	}
	works := make([]int64, 0, len(f.recent[pool]))
	for _, a := range f.recent[pool] {
		works = append(works, a.work)
	}
	slices.Sort(works)
	return maxMedians * works[len(works)/2]
}

// onsetRate returns the demand to prepare for on a pool outside its turn: 0, or what a rise of demand that has just begun
// will have grown to when a machine that is ordered now is ready.
func (f *Forecast) onsetRate(pool string, now int64) int64 {
	n, work := 0, int64(0)
	for _, a := range f.recent[pool] {
		if a.at > now-onsetWindowMS {
			n++
			work += a.work
		}
	}
	rate := float64(work) / onsetWindowMS
	if n < minOnsetJobs || rate < onsetShare*float64(f.usualCPU[pool]) {
		return 0
	}
	return int64(onsetGrowth * rate)
}

// courseRate returns the demand on a pool that is expected within leadTimeMS at a time after the start of its turn, from the
// course of its last turn or else from the mean of those of the other pools, scaled by the usual capacities; 0 if no turn has
// ended.
func (f *Forecast) courseRate(pool string, sinceStart int64) int64 {
	if before := f.lastTurn(pool); before != nil {
		return before.highestRate(sinceStart, sinceStart+leadTimeMS)
	}
	n, sum := 0, 0.
	for i := range f.turns {
		t := &f.turns[i]
		if t.end == 0 || f.usualCPU[t.pool] == 0 {
			continue
		}
		scale := float64(f.usualCPU[pool]) / float64(f.usualCPU[t.pool])
		sum += scale * float64(t.highestRate(sinceStart, sinceStart+leadTimeMS))
		n++
	}
	if n == 0 {
		return 0
	}
	return int64(sum / float64(n))
}

// addExpected sets the rate of the pool whose turn is expected next, once that turn is near. If several pools are possible,
// each of them is prepared for its usual capacity.
func (f *Forecast) addExpected(outlooks map[string]Outlook, now int64) {
	pool, known := f.nextPool()
	interval := f.turnInterval()
	start := f.turns[len(f.turns)-1].start + interval
	if interval == 0 || now < start-leadTimeMS || now > start+lateTurnMS {
		return
	}
	for p, o := range outlooks {
		switch {
		case o.InTurn:
		case p == pool:
			if rate := f.courseRate(p, now-start); rate > 0 {
				o.RateCPU = max(o.RateCPU, rate)
			} else {
				o.RateCPU = int64(firstTurnFactor * float64(f.usualCPU[p]))
			}
		case !known && o.NoTurnYet:
			if rate := f.courseRate(p, now-start); rate > 0 {
				o.RateCPU = max(o.RateCPU, rate)
			} else {
				o.RateCPU = f.usualCPU[p]
			}
		}
		outlooks[p] = o
	}
}

// lastTurn returns the last completed turn of a pool, or nil.
func (f *Forecast) lastTurn(pool string) *turn {
	for i := range slices.Backward(f.turns) {
		if f.turns[i].pool == pool && f.turns[i].end != 0 {
			return &f.turns[i]
		}
	}
	return nil
}
