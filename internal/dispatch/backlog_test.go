package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

const (
	backlogServers = 10
	// backlogJobsPerSecond loads the servers to about a third; a burst of 3 times the load nearly fills them.
	backlogJobsPerSecond = 3.5
	// backlogEnd is when the load ends, and idleBound how long a job may have nothing running although it could.
	backlogEnd = 51 * time.Second
	idleBound  = 3 * time.Second
)

// simMachines implements Machines for a simulation with one machine for each server.
type simMachines struct {
	w       *simulation
	machine map[string]*Machine
	newIDs  bool // a server has another ID after its machine's upkeep or move
	starts  int
}

func (m *simMachines) List(ctx context.Context, _ string) (list []Machine, _ string, err error) {
	if err := sleepFor(ctx, m.w.between(5*time.Millisecond, 50*time.Millisecond)); err != nil {
		return nil, "", err
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for _, machine := range m.machine {
		list = append(list, *machine)
	}
	return list, "", nil
}

// restart takes a machine away for a while; its server then starts anew in a pool.
func (m *simMachines) restart(ctx context.Context, name, pool string, state MachineState, away time.Duration) (MachineAnswer, error) {
	if err := sleepFor(ctx, m.w.between(5*time.Millisecond, 50*time.Millisecond)); err != nil {
		return 0, err
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	machine := m.machine[name]
	if machine.State != MachineUp {
		return MachineBusy, nil
	}
	old := m.w.servers[machine.Server]
	machine.State, machine.Server = state, ""
	if pool == "" {
		pool = machine.Pool
	}
	m.w.spawn(func() {
		if old != nil {
			old.crash(0)
		}
		if sleepFor(m.w.ctx, away) != nil {
			return
		}
		m.w.mu.Lock()
		machine.Pool, machine.State = pool, MachineUp
		m.starts++
		id := fmt.Sprintf("%s-%d", name, m.starts)
		if !m.newIDs {
			id = name
		}
		if pool != "off" {
			machine.Server = id
		}
		known := m.w.servers[id]
		if pool != "off" && known != nil {
			known.startIncarnation()
		}
		m.w.mu.Unlock()
		if pool != "off" && known == nil {
			m.w.addServer(id, 8000, true)
		}
	})
	return MachineAccepted, nil
}

func (m *simMachines) Move(ctx context.Context, _ Holder, name, pool string) (MachineAnswer, error) {
	return m.restart(ctx, name, pool, MachineMoving, 1500*time.Millisecond)
}

func (m *simMachines) Upkeep(ctx context.Context, _ Holder, name string, _ int64) (MachineAnswer, error) {
	return m.restart(ctx, name, "", MachineUpkeep, 2*time.Second)
}

// TestBacklogDrains guards against jobs that stay waiting after a heavy phase although most of the capacity is free. The load
// and the faults are those of a day on which this happened: bursts of 3 times the load beside orders that are carried out late,
// then beside most servers silent and afterwards busy, and a wave. Seeds 17 and 28 failed when servers that had turned starts
// away took one trial run at a time until a run had succeeded.
func TestBacklogDrains(t *testing.T) {
	seeds := []uint64{17, 28}
	for n := range *schedules / 40 {
		seeds = append(seeds, *firstSeed+uint64(n))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { runBacklog(t, seed) }) })
	}
}

func runBacklog(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	w := newSimulation(ctx, seed)
	if *logSchedules {
		w.logger = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Info})
	}
	defer boottime.SetTestClock(w.now)()
	draw := rand.New(rand.NewPCG(seed, 3))
	w.ordersOnly = draw.IntN(2) == 0
	m := &simMachines{w: w, machine: make(map[string]*Machine), newIDs: draw.IntN(2) == 0}
	w.machines = m
	for range 3 {
		w.addInstance()
	}
	w.elect(0)
	c := rigConfig()
	c.Workspaces = []accepted.Workspace{{Name: "t", Keys: []string{"key"}}}
	w.do(w.ctx, &Call{Op: OpPutConfig, Config: c})
	var names []string
	for n := range backlogServers {
		name := fmt.Sprint("m", n)
		names = append(names, name)
		m.machine[name] = &Machine{Name: name, Pool: "p", State: MachineUp, Server: name}
		w.addServer(name, 8000, true)
	}
	submitted := make(chan struct{})
	w.spawn(func() {
		defer close(submitted)
		w.submitLoad(seed)
	})
	w.spawn(func() { w.backlogFaults(names, seed) })
	w.spawn(func() {
		if sleepFor(w.ctx, 10*time.Second) == nil {
			w.do(w.ctx, &Call{Op: OpStartWave, Wave: &ledger.WaveOrder{Number: 1, Machines: names, DurationMS: 40_000, Bound: 2}})
		}
	})
	w.spawn(w.watchIdleJobs)
	<-submitted
	w.awaitCompletion(t, seed)
	cancel()
	w.group.Wait()
}

// submitLoad submits jobs until backlogEnd.
func (w *simulation) submitLoad(seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 4))
	begin := w.now()
	for n := 0; ; n++ {
		at := (w.now() - begin).Seconds()
		rate := backlogJobsPerSecond
		if at >= 4 && at < 12 || at >= 20 && at < 26 || at >= 32 && at < 38 {
			rate *= 3
		}
		if sleepFor(w.ctx, time.Duration(draw.ExpFloat64()/rate*float64(time.Second))) != nil || at > backlogEnd.Seconds() {
			return
		}
		id := fmt.Sprint("b", n)
		s := &ledger.Submission{ID: id, Spec: "spec of " + id}
		for step := range 1 + draw.IntN(2) {
			s.Steps = append(s.Steps, ledger.Step{
				Count: 1 + draw.IntN(4), Need: ledger.Resources{CPU: int64(150 + draw.IntN(600)), MemMB: 100}, EstimateMS: int64(500 + draw.IntN(8000)),
			})
			if step > 0 {
				s.Steps[step].After = []int{step - 1}
			}
		}
		if n%100 == 5 {
			s.Steps = []ledger.Step{{Count: 3, Need: ledger.Resources{CPU: 300}, EstimateMS: 100, Lasting: true, Spread: 1, MayMiss: 1}}
		} else if n%10 == 3 {
			s.Steps[0].Gang = true
		}
		j := &simJob{submission: s, tasks: make(map[ledger.TaskID]*simTask), submitAttempts: 1}
		w.mu.Lock()
		w.jobs[id] = j
		w.mu.Unlock()
		w.spawn(func() {
			if w.do(w.ctx, &Call{Op: OpSubmit, Host: "h", Path: "/q/" + id, Key: "key", Job: s}) == nil {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			j.accepted, j.acceptedAt = true, w.now()
		})
	}
}

// backlogFaults injects the faults of the day.
func (w *simulation) backlogFaults(names []string, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 5))
	begin := w.now()
	until := func(at time.Duration) { _ = sleepFor(w.ctx, begin+at-w.now()) }
	until(4 * time.Second)
	w.enableFor(8*time.Second, func(on bool) { w.lateRate = rateIf(on, 0.9) })
	for _, at := range []time.Duration{20 * time.Second, 32 * time.Second} {
		until(at)
		silent := time.Duration(1+draw.IntN(9)) * time.Second
		chosen := make(map[string]bool)
		for _, name := range names {
			chosen[name] = draw.Float64() < 0.8
		}
		setAll := func(set func(s *simServer, on bool)) func(bool) {
			return func(on bool) {
				for _, s := range w.servers {
					if name, _, _ := strings.Cut(s.id, "-"); chosen[name] {
						set(s, on)
					}
				}
			}
		}
		w.enableFor(silent, setAll(func(s *simServer, on bool) { s.partitioned = on }))
		w.enableFor(10*time.Second-silent, setAll(func(s *simServer, on bool) { s.busy = on }))
	}
}

// watchIdleJobs records each job that had nothing running for idleBound after the last fault although a task of it could start
// and under half of the servers' capacity was in use.
func (w *simulation) watchIdleJobs() {
	idleSince := make(map[string]time.Duration)
	begin := w.now()
	for sleepFor(w.ctx, 100*time.Millisecond) == nil {
		w.mu.Lock()
		w.endDueRunsLocked()
		running := make(map[string]bool)
		var used, capacity int64
		for _, s := range w.servers {
			if !s.up {
				continue
			}
			capacity += s.capacity.CPU
			for key := range s.running {
				running[key.task.Job] = true
				used += w.stepLocked(key.task).Need.CPU
			}
		}
		var engine *Engine
		if w.leader >= 0 {
			engine = w.instances[w.leader].engine
		}
		calm := w.now()-begin > 42*time.Second && 2*used < capacity && engine != nil
		waiting := make(map[string]bool)
		if calm {
			engine.mu.Lock()
			for id, j := range engine.ledger.Open() {
				waiting[id] = !j.State.Final() && !running[id]
			}
			engine.mu.Unlock()
		}
		for id, j := range w.jobs {
			switch {
			case !calm || !waiting[id]:
				delete(idleSince, id)
			case idleSince[id] == 0:
				idleSince[id] = w.now()
			case w.now()-idleSince[id] > idleBound && w.now()-idleSince[id] < idleBound+110*time.Millisecond:
				w.recordViolation("LOST: %s, accepted at %.1f s, has nothing running for %v with %d of %d millicores in use", id, (j.acceptedAt - begin).Seconds(), idleBound, used, capacity)
			}
		}
		w.mu.Unlock()
	}
}
