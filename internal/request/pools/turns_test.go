package pools_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/forecast"
	"laburnumrouter/internal/request/pools"
)

// This file simulates pools whose demand rises by turns, in virtual time: jobs arrive, run on the machines of their pool, and
// the leader moves machines by the forecast.

const (
	simTick      = 50 // milliseconds, as all times below
	simTurn      = 10_000
	simRound     = 4 * simTurn
	simTask      = 800
	simTaskCPU   = 3_100
	simTasks     = 8 // tasks of a job
	simMachine   = 32_000
	simSlots     = simMachine / simTaskCPU
	simPlanEvery = 150
	simMoveTime  = 2_000 // until the server of a moved machine can work
	simMoveRate  = 64    // moves a second
	simColdShare = 0.05  // demand of a pool outside its turn, as a share of its mean demand
	simMeanShare = 0.35  // mean demand of a pool, as a share of its first size
	simTurnPeak  = 6.3   // demand at the middle of a turn, as a multiple of the mean
)

var simPools = []string{"a", "b", "c", "d"}

var simSizes = map[string]int{"a": 61, "b": 69, "c": 78, "d": 85, "off": 56}

type simMachineState struct {
	name, pool string
	readyAt    int64
	ends       []int64 // of its running tasks
}

type simJob struct {
	at, accepted int64
	pool         string
	waiting      int
}

type simFleet struct {
	now      int64
	machines []*simMachineState
	jobs     []*simJob
	arrivals []*simJob // accepted jobs, for the next leader's forecast
	due      map[string]float64
	late     map[string]map[int64]int // by pool and round of turns
	all      map[string]map[int64]int
	forecast *forecast.Forecast
	planner  *pools.Planner
	moves    float64 // that the platform accepts now
	moved    int
	maxWait  int64 // a job whose last task waits longer is late
}

func newSimFleet() *simFleet {
	f := &simFleet{due: make(map[string]float64), late: make(map[string]map[int64]int), all: make(map[string]map[int64]int)}
	for pool, n := range simSizes {
		f.late[pool], f.all[pool] = make(map[int64]int), make(map[int64]int)
		for i := range n {
			f.machines = append(f.machines, &simMachineState{name: fmt.Sprintf("%s%02d", pool, i), pool: pool})
		}
	}
	slices.SortFunc(f.machines, func(a, b *simMachineState) int { return strings.Compare(a.name, b.name) })
	f.changeLeader()
	return f
}

// changeLeader begins a leadership: its forecast knows the jobs accepted so far, its planner nothing.
func (f *simFleet) changeLeader() {
	f.forecast, f.planner = &forecast.Forecast{}, &pools.Planner{}
	for _, pool := range simPools {
		f.forecast.SetUsualCPU(pool, int64(simSizes[pool])*simMachine)
	}
	for _, j := range f.arrivals {
		f.record(j)
	}
}

func (f *simFleet) record(j *simJob) {
	f.forecast.RecordArrival(j.pool, j.accepted, simTasks*simTask*simTaskCPU)
}

// demand returns the jobs that arrive at a pool in a tick. A turn's demand rises to its middle and falls again.
func (f *simFleet) demand(pool string) float64 {
	mean := simMeanShare * float64(simSizes[pool]) * simMachine / (simTasks * simTask * simTaskCPU) * simTick
	if hot := simPools[f.now/simTurn%4]; hot != pool {
		return simColdShare * mean
	}
	return max(simColdShare, simTurnPeak*math.Sin(math.Pi*float64(f.now%simTurn)/simTurn)) * mean
}

func (f *simFleet) arrive(leads bool) {
	for _, pool := range simPools {
		for f.due[pool] += f.demand(pool); f.due[pool] >= 1; f.due[pool]-- {
			f.jobs = append(f.jobs, &simJob{at: f.now, pool: pool, waiting: simTasks, accepted: -1})
			f.all[pool][f.now/simRound]++
		}
	}
	for _, j := range f.jobs {
		if leads && j.accepted < 0 {
			j.accepted = f.now
			f.arrivals = append(f.arrivals, j)
			f.record(j)
		}
	}
}

// run starts waiting tasks on the machines of their pool.
func (f *simFleet) run() {
	room := make(map[string][]*simMachineState)
	for _, m := range f.machines {
		m.ends = slices.DeleteFunc(m.ends, func(end int64) bool { return end <= f.now })
		if m.readyAt <= f.now && len(m.ends) < simSlots {
			room[m.pool] = append(room[m.pool], m)
		}
	}
	for _, j := range f.jobs {
		for ; j.waiting > 0 && len(room[j.pool]) > 0; j.waiting-- {
			m := room[j.pool][0]
			if m.ends = append(m.ends, f.now+simTask); len(m.ends) == simSlots {
				room[j.pool] = room[j.pool][1:]
			}
		}
		if j.waiting == 0 && f.now-j.at > f.maxWait {
			f.late[j.pool][j.at/simRound]++
		}
	}
	f.jobs = slices.DeleteFunc(f.jobs, func(j *simJob) bool { return j.waiting == 0 })
}

func (f *simFleet) plan() {
	need := make(map[string]int64)
	for _, j := range f.jobs {
		need[j.pool] += int64(j.waiting) * simTaskCPU
	}
	var machines []pools.Machine
	byName := make(map[string]*simMachineState)
	for _, m := range f.machines {
		need[m.pool] += int64(len(m.ends)) * simTaskCPU
		byName[m.name] = m
		machines = append(machines, pools.Machine{Name: m.name, Pool: m.pool, Movable: len(m.ends) == 0 && m.readyAt <= f.now})
	}
	list := []pools.Pool{{Name: "off", Standby: true}}
	for pool, o := range f.forecast.Update(f.now) {
		p := pools.Pool{Name: pool, NeedCPU: need[pool], ExpectedCPU: o.RateCPU, PreferredMachines: 2, MinMachines: 2}
		if o.NoTurnYet {
			p.PreferredMachines, p.MinMachines = simSizes[pool]*35/100, simSizes[pool]*2/10
		}
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b pools.Pool) int { return strings.Compare(a.Name, b.Name) })
	f.moves = min(f.moves+simMoveRate*simPlanEvery/1000., simMoveRate)
	for _, move := range f.planner.Plan(time.Duration(f.now)*time.Millisecond, list, machines, simMachine) {
		if f.moves < 1 {
			break
		}
		f.moves--
		f.moved++
		m := byName[move.Machine]
		m.pool, m.readyAt = move.To, f.now+simMoveTime
	}
}

// simulate plays demand until a time. There is no leader during the gaps, and another one after each of them.
func simulate(until, maxWait int64, gaps ...[2]int64) *simFleet {
	f := newSimFleet()
	f.maxWait = maxWait
	for ; f.now < until; f.now += simTick {
		leads := !slices.ContainsFunc(gaps, func(g [2]int64) bool { return g[0] <= f.now && f.now < g[1] })
		if slices.ContainsFunc(gaps, func(g [2]int64) bool { return f.now == g[1] }) {
			f.changeLeader()
		}
		f.arrive(leads)
		if leads {
			f.run()
			if f.now%simPlanEvery == 0 {
				f.plan()
			}
		}
	}
	return f
}

// When a pool's turn comes back, its time and its size are known, so that its machines are there before its jobs.
func TestReturningTurnFindsItsMachines(t *testing.T) {
	cases := map[string][][2]int64{
		"one leader":                              nil,
		"a new leader in its first turn":          {{2000, 3300}},
		"a new leader in the turn before":         {{34_000, 35_300}},
		"new leaders in both":                     {{2000, 3300}, {34_000, 35_300}},
		"new leaders in all turns before":         {{3000, 4300}, {14_000, 15_300}, {24_000, 25_300}, {34_000, 35_300}},
		"a new leader while the turn before ends": {{38_000, 39_000}},
	}
	for name, gaps := range cases {
		t.Run(name, func(t *testing.T) {
			f := simulate(50_000, 1000, gaps...)
			share := float64(f.late["a"][1]) / float64(f.all["a"][1])
			t.Logf("late: first turns a %d of %d, b %d of %d, c %d of %d, d %d of %d; a's second %d of %d; moves %d", f.late["a"][0], f.all["a"][0],
				f.late["b"][0], f.all["b"][0], f.late["c"][0], f.all["c"][0], f.late["d"][0], f.all["d"][0], f.late["a"][1], f.all["a"][1], f.moved)
			must.LessEq(t, 0.1, share)
		})
	}
}

// The demand of a turn rises to its middle. Once its course is known, its machines come before each rise.
func TestReturningTurnHasItsMachinesBeforeEachRise(t *testing.T) {
	f := simulate(50_000, 200)
	t.Logf("late: first turn %d of %d, second %d of %d; moves %d", f.late["a"][0], f.all["a"][0], f.late["a"][1], f.all["a"][1], f.moved)
	must.LessEq(t, 0.1, float64(f.late["a"][1])/float64(f.all["a"][1]))
}
