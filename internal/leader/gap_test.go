package leader

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

func TestGapAdmitsOnlyWhileElectionIsLikely(t *testing.T) {
	const deadline = 3 * time.Second
	tests := []struct {
		name     string
		gap      gap
		now      time.Duration
		deadline time.Duration
		bytes    int
		majority bool
		until    time.Duration // 0 if the call is rejected
	}{
		{"just lost", gap{open: true}, 0, deadline, 10, true, maxGap},
		{"half of the caller's time", gap{open: true}, 0, 800 * ms, 10, true, 400 * ms},
		{"later in the gap", gap{open: true}, 1000 * ms, deadline + 1000*ms, 10, true, maxGap},
		{"the gap is long", gap{open: true}, maxGap, 10 * time.Second, 10, true, 0},
		{"no majority", gap{open: true}, 0, deadline, 10, false, 0},
		{"no leader so far", gap{}, 0, deadline, 10, true, 0},
		{"too many calls", gap{open: true, waiting: maxWaitingCalls}, 0, deadline, 10, true, 0},
		{"too many bytes", gap{open: true, bytes: maxWaitingBytes}, 0, deadline, 10, true, 0},
		{"the deadline has passed", gap{open: true}, 900 * ms, 800 * ms, 10, true, 0},
	}
	for _, tt := range tests {
		before := tt.gap
		until, ok := tt.gap.admit(tt.now, tt.deadline, tt.bytes, tt.majority)
		must.Eq(t, tt.until, until, must.Sprint(tt.name))
		must.Eq(t, tt.until > 0, ok, must.Sprint(tt.name))
		if ok {
			tt.gap.release(tt.bytes)
		}
		must.Eq(t, before, tt.gap, must.Sprint(tt.name))
	}
}

func TestLeaderLostAgainKeepsGapOpen(t *testing.T) {
	var g gap
	g.begin(100 * ms)
	g.begin(500 * ms) // another call fails on the same leader
	must.Eq(t, 100*ms, g.since)
	g.end()
	g.begin(900 * ms)
	must.Eq(t, 900*ms, g.since)
}

// caller submits a job in at most maxTries tries within its time.
type caller struct {
	at, deadline time.Duration
	tries        int
	accepted     bool
	waited       time.Duration
}

const (
	maxTries   = 4
	callerTime = 3 * time.Second
)

// gapLoad is a turn of 500 jobs a second in which the leader is lost for a while.
type gapLoad struct {
	lost, found time.Duration
	majority    bool
	wait        bool // calls wait; otherwise each is rejected at once
}

// play plays the load in virtual time against one entry instance and returns the callers.
func (l gapLoad) play() []*caller {
	random := rand.New(rand.NewPCG(1, 2))
	var g gap
	var pending, all []*caller
	for i := range 1000 {
		at := time.Duration(i) * 2 * ms
		pending = append(pending, &caller{at: at, deadline: at + callerTime})
	}
	all = slices.Clone(pending)
	for len(pending) > 0 {
		slices.SortFunc(pending, func(a, b *caller) int { return int(a.at - b.at) })
		c := pending[0]
		pending = pending[1:]
		if c.tries == maxTries || c.at >= c.deadline {
			continue
		}
		c.tries++
		if c.at < l.lost || c.at >= l.found {
			c.accepted = true
			continue
		}
		g.begin(l.lost)
		until, ok := g.admit(c.at, c.deadline, 500, l.majority)
		if l.wait && ok {
			g.release(500) // the calls of this load are far from the bounds
			c.waited += min(until, l.found) - c.at
			if l.found <= until {
				c.accepted = true
				continue
			}
			c.at = until
		}
		c.at += retryAfter(random.Float64())
		pending = append(pending, c)
	}
	return all
}

// A turn's load meets gaps of several lengths. With an election's length every job is accepted at its first try, soon
// after the new leader is there; in a long gap or without a majority no call is held beyond the bound.
func TestTurnThroughGap(t *testing.T) {
	figures := func(l gapLoad) (accepted, tries int, longest time.Duration) {
		for _, c := range l.play() {
			tries += c.tries
			longest = max(longest, c.waited)
			if c.accepted {
				accepted++
			}
		}
		return accepted, tries, longest
	}
	for _, length := range []time.Duration{600 * ms, 1100 * ms, 1400 * ms, 2500 * ms, 4500 * ms} {
		l := gapLoad{lost: 500 * ms, found: 500*ms + length, majority: true, wait: true}
		accepted, tries, longest := figures(l)
		l.wait = false
		acceptedBefore, triesBefore, _ := figures(l)
		t.Logf("gap %s: accepted %d (%d rejecting at once), tries %d (%d), longest wait %s", length, accepted, acceptedBefore, tries, triesBefore, longest)
		must.GreaterEq(t, acceptedBefore, accepted)
		must.LessEq(t, min(length, maxGap), longest)
		if length <= maxGap {
			must.Eq(t, 1000, accepted)
			must.Eq(t, 1000, tries)
		}
	}
	_, _, longest := figures(gapLoad{lost: 500 * ms, found: math.MaxInt64, wait: true})
	must.Eq(t, 0, longest, must.Sprint("without a majority nothing is held"))
}
