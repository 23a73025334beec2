package forecast

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// Rates and capacities are in thousandths of a core.
	usualCPU    = 256_000 // 8 machines of 32 cores
	turnMS      = 4500
	hotRateCPU  = 350_000
	coldRateCPU = 17_000
)

var order = []string{"a", "b", "c", "d"}

// simulate returns a forecast after demand that moves from pool to pool, each turn lasting turnMS, from 0 to until.
func simulate(until int64) *Forecast {
	f := &Forecast{}
	for _, p := range order {
		f.SetUsualCPU(p, usualCPU)
	}
	const every = 100
	for at := int64(0); at < until; at += every {
		hot := order[at/turnMS%int64(len(order))]
		for _, p := range order {
			rate := int64(coldRateCPU)
			if p == hot {
				rate = hotRateCPU
			}
			f.RecordArrival(p, at, rate*every)
		}
	}
	return f
}

// While several pools may have the next turn, each of them is prepared for what the turns of other pools asked for.
func TestAllPossibleNextPoolsArePrepared(t *testing.T) {
	outlooks := simulate(8000).Update(8000)
	for _, p := range []string{"c", "d"} {
		must.Eq(t, Outlook{NoTurnYet: true, RateCPU: hotRateCPU}, outlooks[p])
	}
	must.Eq(t, Outlook{}, outlooks["a"])
}

func TestPoolsWithoutArrivalsHaveNoTurnYet(t *testing.T) {
	f := simulate(0)
	for _, o := range f.Update(0) {
		must.Eq(t, Outlook{NoTurnYet: true}, o)
	}
}

func TestForecastOfRotatingDemand(t *testing.T) {
	cases := []struct {
		name      string
		at        int64
		hot       string
		expected  string   // pool that is prepared for its next turn
		cold      []string // pools for which no demand is expected
		noTurnYet []string // pools without a turn so far
	}{
		{"first turn, early", 1000, "a", "", nil, []string{"b", "c", "d"}},
		{"first turn, late", 3000, "a", "", nil, []string{"b", "c", "d"}},
		{"second turn, early", 5800, "b", "", []string{"a"}, []string{"c", "d"}},
		{"third turn, only one pool has had no turn", 12000, "c", "d", []string{"a", "b"}, nil},
		{"fourth turn, early", 14500, "d", "", []string{"a", "b", "c"}, nil},
		{"fourth turn, the first pool's turn began longest ago", 16500, "d", "a", []string{"b", "c"}, nil},
		{"second round", 21000, "a", "b", []string{"c", "d"}, nil},
		{"second round, later", 25500, "b", "c", []string{"a", "d"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			outlooks := simulate(c.at).Update(c.at)
			must.True(t, outlooks[c.hot].InTurn)
			switch {
			case c.at%turnMS < earlyTurnMS:
				must.Between(t, hotRateCPU*9/10, outlooks[c.hot].RateCPU, hotRateCPU*14/10)
			default: // measured, and expected from the course of an earlier turn
				must.Between(t, hotRateCPU*9/10, outlooks[c.hot].RateCPU, hotRateCPU*11/10)
			}
			if c.expected != "" {
				must.GreaterEq(t, usualCPU, outlooks[c.expected].RateCPU)
			}
			for _, p := range c.cold {
				must.Eq(t, Outlook{}, outlooks[p], must.Sprint(p))
			}
			for _, p := range c.noTurnYet {
				must.Eq(t, Outlook{NoTurnYet: true}, outlooks[p], must.Sprint(p))
			}
		})
	}
}

// A pool isn't prepared any longer for an expected turn that is late by more than lateTurnMS.
func TestLateTurnIsNoLongerExpected(t *testing.T) {
	f := simulate(22400) // the first pool's second turn is nearly over
	must.Positive(t, f.Update(22400)["b"].RateCPU)
	must.Zero(t, f.Update(26000)["b"].RateCPU)
}

func TestSteadyLowDemandIsNoTurn(t *testing.T) {
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	for at := int64(0); at < 30_000; at += 100 {
		f.RecordArrival("a", at, coldRateCPU*100)
	}
	must.Eq(t, Outlook{NoTurnYet: true}, f.Update(30_000)["a"])
}

func TestSingleLargeJobIsNoTurn(t *testing.T) {
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	f.RecordArrival("a", 1000, 10*hotRateCPU*rateWindowMS)
	must.False(t, f.Update(1000)["a"].InTurn)
}

// The rate of a turn is measured once many jobs have arrived, so that a turn that exceeds its expected demand is noticed
// before the later steps of its jobs show in the waiting work. A few large jobs aren't enough for a measurement.
func TestRateOfATurnIsMeasuredFromManyJobs(t *testing.T) {
	const asked = 3 * usualCPU
	outlookFor := func(every int64) Outlook {
		f := &Forecast{}
		f.SetUsualCPU("a", usualCPU)
		for at := int64(0); at < 4000; at += every {
			f.RecordArrival("a", at, asked*every)
		}
		return f.Update(4000)["a"]
	}
	must.Between(t, asked*9/10, outlookFor(25).RateCPU, asked*11/10)
	must.True(t, outlookFor(300).InTurn)
	must.Zero(t, outlookFor(300).RateCPU)
}

// A turn that pauses, as one does while no leader accepts jobs, goes on afterwards: the next one is expected at its time. After
// a longer pause it is another turn.
func TestTurnGoesOnAfterAPause(t *testing.T) {
	play := func(pauseMS int64) *Forecast {
		f := &Forecast{}
		for _, p := range order {
			f.SetUsualCPU(p, usualCPU)
		}
		for at := int64(0); at < 40_000; at += 100 {
			if at >= 33_000 && at < 33_000+pauseMS {
				continue
			}
			f.RecordArrival(order[at/10_000], at, hotRateCPU*100)
		}
		return f
	}
	for _, pauseMS := range []int64{0, 1300, 3000} {
		f := play(pauseMS)
		must.Len(t, len(order), f.turns, must.Sprint(pauseMS))
		must.Between(t, 29_500, f.turns[3].start, 30_500)
		must.Between(t, hotRateCPU*9/10, f.Update(39_500)["a"].RateCPU, hotRateCPU*11/10)
	}
	must.Len(t, len(order)+1, play(6500).turns)
}

// After a pause, the accepted work understates the demand as it does at the start of a turn. What came before the pause is
// no completed turn to expect as much from.
func TestDemandAfterAPauseIsThatOfAnEarlyTurn(t *testing.T) {
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	for at := int64(0); at < 5000; at += 200 {
		if at < 2500 || at >= 4400 {
			f.RecordArrival("a", at, hotRateCPU*200)
		}
	}
	must.Eq(t, Outlook{InTurn: true, RateCPU: int64(float64(usualCPU) * firstTurnFactor)}, f.Update(5000)["a"])
}

// A turn that comes back is expected to take the course of the last one: at each moment, as much is prepared as was asked for
// at most until leadTimeMS later.
func TestReturningTurnIsExpectedToTakeItsCourse(t *testing.T) {
	const turn = 10_000
	course := func(offset int64) int64 {
		return max(coldRateCPU, int64(2*hotRateCPU*math.Sin(math.Pi*float64(offset)/turn)))
	}
	f := &Forecast{}
	for _, p := range order {
		f.SetUsualCPU(p, usualCPU)
	}
	highest := func(from int64) (rate int64) {
		for at := max(0, from); at <= min(from+leadTimeMS, turn); at += 100 {
			rate = max(rate, course(at))
		}
		return rate
	}
	for at := int64(0); at < 44_000; at += 50 {
		f.RecordArrival(order[at/turn%4], at, course(at%turn)*50)
		if at >= 39_000 && at%500 == 0 {
			got := f.Update(at)["a"].RateCPU
			must.Between(t, highest(at-40_600)*85/100, got, highest(at-39_400)*115/100, must.Sprint(at))
		}
	}
}

// Demand that stays high for good is one turn; no more than maxBuckets of its course are remembered.
func TestCourseOfALongTurnIsBounded(t *testing.T) {
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	for at := int64(0); at < 4*maxBuckets*bucketMS; at += 100 {
		f.RecordArrival("a", at, hotRateCPU*100)
	}
	must.Len(t, 1, f.turns)
	must.LessEq(t, maxBuckets, len(f.turns[0].course))
}

// A pool that has had no turn is expected to take the course of another pool's turn, scaled by the usual capacities, not to ask
// for its peak at once: machines that wait for the peak would be held for seconds without work.
func TestFirstTurnTakesTheCourseOfOtherPools(t *testing.T) {
	const turn = 10_000
	rate := func(offset int64) int64 { return int64(hotRateCPU * math.Sin(math.Pi*float64(offset)/turn)) }
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	f.SetUsualCPU("b", usualCPU/2)
	for at := int64(0); at < turn; at += 50 {
		f.RecordArrival("a", at, rate(at)*50)
	}
	for at := int64(turn + 500); at < turn+1500; at += 50 {
		f.RecordArrival("b", at, rate(at-turn)*25)
	}
	o := f.Update(turn + 1500)["b"]
	must.True(t, o.InTurn)
	must.Between(t, rate(1500+leadTimeMS)/2*8/10, o.RateCPU, rate(1500+leadTimeMS)/2*12/10)
}

// A rise of demand is prepared for before it is high enough to be a turn. Single arrivals outside turns are none.
func TestOnsetOfDemandIsNoticed(t *testing.T) {
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	const work = usualCPU * onsetWindowMS / 20 // a twentieth of the usual capacity for the length of the window
	f.RecordArrival("a", 1000, work)
	must.Zero(t, f.Update(1000)["a"].RateCPU)
	f.RecordArrival("a", 1300, work)
	must.Eq(t, Outlook{NoTurnYet: true, RateCPU: usualCPU / 10 * onsetGrowth}, f.Update(1300)["a"])
	must.Zero(t, f.Update(2000)["a"].RateCPU)
}

// One job of the largest size doesn't double the demand that is measured from the jobs of a window.
func TestLargestJobCountsInMeasure(t *testing.T) {
	f := &Forecast{}
	f.SetUsualCPU("a", usualCPU)
	for at := int64(0); at < 4000; at += 50 {
		work := int64(usualCPU * 50)
		if at == 3900 {
			work *= 20
		}
		f.RecordArrival("a", at, work)
	}
	must.Between(t, usualCPU*9/10, f.Update(4000)["a"].RateCPU, usualCPU*12/10)
}
