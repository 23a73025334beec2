package schedule

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// coldFixture returns a fixture with a server "cold" that reports how long it is cold, if leftMS isn't negative, and whose
// pool has the given settings.
func coldFixture(t *testing.T, leftMS, coldStartMS int64, perS float64) *fixture {
	f := newFixture(t)
	config := *f.ledger.Config
	config.Version, config.Pools = 2, append(config.Pools[:0:0], config.Pools...)
	config.Pools[0].ColdStartMS, config.Pools[0].ColdPerS = coldStartMS, perS
	f.ledger.Apply(&ledger.Command{Config: &config})
	f.server("cold", "p", func(s *ledger.Server) { s.ColdLeftMS, s.Born, s.Capacity.CPU = leftMS, startMS, 40_000 })
	return f
}

// planCold plans after a time and carries out the starts.
func (f *fixture) planCold(after time.Duration) int {
	f.now += after
	f.fleet.Get("cold").AnsweredAt = f.now
	wallMS := startMS + (f.now - time.Hour).Milliseconds()
	in := &Input{Now: f.now, WallMS: wallMS, Ledger: f.ledger, Fleet: f.fleet, Cold: ColdSettings{Overshoot: 1.5, Slack: 5}}
	starts := Plan(in)
	for _, s := range starts {
		if limit, limited := in.ColdLimit(f.fleet.Get(s.Worker)); limited {
			f.fleet.Get(s.Worker).TakeColdStart(f.now, limit)
		}
	}
	f.ledger.Apply(&ledger.Command{NowMS: wallMS, Starts: starts})
	return len(starts)
}

// Guards against a server that gets all its capacity's work right after its start: the starts in each second of its cold
// time, by what is known about it.
func TestColdServerGetsFewStarts(t *testing.T) {
	for name, c := range map[string]struct {
		leftMS, coldStartMS int64
		perS                float64
		gang                bool
		want                []int
	}{
		"nothing is known":                      {-1, 0, 0, false, []int{40}},
		"a rate alone says nothing":             {-1, 0, 4, false, []int{40}},
		"it reports that it is warm":            {0, 8000, 4, false, []int{40}},
		"at the rate of its pool, with a burst": {4000, 0, 2, false, []int{5, 3, 3, 3, 26}},
		"a gang is more than it carries":        {4000, 0, 2, true, []int{0, 0, 0, 0, 40}},
		"it doesn't report, its pool tells":     {-1, 4000, 2, false, []int{5, 3, 3, 3, 26}},
		"by what has proved to work":            {1_000_000, 1_000_000, 0, false, []int{1, 1, 2, 4, 8}},
		"grown by the elapsed time":             {4000, 4000, 0, false, []int{1, 9, 10, 20}},
		"the same since its start":              {4000, 0, 0, false, []int{1, 9, 10, 20}},
	} {
		f := coldFixture(t, c.leftMS, c.coldStartMS, c.perS)
		f.submit("j", ledger.Step{Count: 40, Need: ledger.Resources{CPU: 1000}, Gang: c.gang, EstimateMS: 1000})
		for second, want := range c.want {
			must.EqOp(t, want, f.planCold(time.Duration(min(second, 1))*time.Second), must.Sprint(name, ": ", second))
		}
	}
}

// Among equals, warm servers are preferred; a cold one is used when they are full.
func TestWarmServersArePreferred(t *testing.T) {
	f := coldFixture(t, 4000, 0, 0)
	f.server("warm", "p", nil) // more free capacity on "cold", which would else be chosen last
	f.fleet.Get("cold").Capacity.CPU = 2000
	f.submit("j", newStep(9, 1000))
	f.ledger.Apply(&ledger.Command{NowMS: startMS})
	must.Eq(t, map[string]int{"warm": 4, "cold": 1}, startsByServer(f.plan(startMS)))
	g := coldFixture(t, 4000, 0, 0)
	g.server("warm", "p", nil)
	g.fleet.Get("cold").Capacity.CPU = 2000
	g.submit("j", newStep(1, 1000))
	must.Eq(t, map[string]int{"warm": 1}, startsByServer(g.plan(startMS)))
}

// Guards against servers that count as cold for seconds after each change of leader: what they announced then has changed.
func TestAdoptedServerIsColdByItsStartOnly(t *testing.T) {
	f := coldFixture(t, 4000, 0, 2)
	f.fleet.Adopt(f.fleet.Get("cold").Server, f.now)
	must.EqOp(t, 0, f.fleet.Get("cold").ColdLeft(f.now, startMS, 0))
	must.EqOp(t, 3*time.Second, f.fleet.Get("cold").ColdLeft(f.now, startMS+1000, 4000))
	must.EqOp(t, 4*time.Second, f.fleet.Get("cold").ColdLeft(f.now, startMS-6000, 4000)) // its time of day is ahead of ours
	must.EqOp(t, 0, f.fleet.Get("cold").ColdLeft(f.now, startMS+4001, 4000))
}
