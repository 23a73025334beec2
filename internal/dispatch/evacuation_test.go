package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/schedule"
)

// evacuationRig is a rig whose servers are in data centres.
type evacuationRig struct {
	*rig
	scope  tally.TestScope
	orders int
}

// newEvacuationRig returns a rig with the servers "a", "b" and so on, one for each given data centre, in order.
func newEvacuationRig(t *testing.T, m Machines, dataCentres ...string) *evacuationRig {
	t.Helper()
	f := newFakeServers()
	for _, name := range dataCentres {
		if name == "cold" {
			f.coldLeftMS = 10_000
		}
	}
	f.dataCentres, f.capacity = make(map[string]string), make(map[string]int64)
	for i, name := range dataCentres {
		id := string(rune('a' + i))
		f.servers[id], f.dataCentres[id] = newFakeServer(1), name
	}
	engine := NewEngine(hclog.NewNullLogger())
	r := &evacuationRig{rig: &rig{t: t, engine: engine, log: &fakeLog{engine: engine}, servers: f}, scope: tally.NewTestScope("", nil)}
	r.d = New(Options{
		Name: "c1", Engine: engine, Replica: r.log, Servers: f, Machines: m, Log: hclog.NewNullLogger(), Scope: r.scope, ElectionTime: 1 << 40,
		Cold: schedule.ColdSettings{Overshoot: 1.5, Slack: 5},
	})
	r.start()
	return r
}

// evacuate evacuates or restores data centres, as the process does that an operator's request reaches.
func (r *evacuationRig) evacuate(evacuate bool, names ...string) {
	r.t.Helper()
	for _, name := range names {
		r.orders++
		c := &Call{Op: OpEvacuate, RequestID: fmt.Sprint(r.orders), Evacuation: &ledger.EvacuationOrder{DataCentre: name, Evacuate: evacuate}}
		reply := r.do(c)
		if renewed, ok := c.Renew(reply); ok {
			reply = r.do(renewed)
		}
		must.EqOp(r.t, OK, reply.Outcome, must.Sprint(reply.Reason))
	}
}

// applyEvacuation applies an evacuation as if another process had ordered it.
func (r *evacuationRig) applyEvacuation(name string) {
	data, err := json.Marshal(&ledger.Command{Evacuation: &ledger.EvacuationOrder{DataCentre: name, Evacuate: true, RequestID: "other"}})
	must.NoError(r.t, err)
	r.engine.Apply(0, data)
}

func (r *evacuationRig) counter(name string) int64 {
	c := r.scope.Snapshot().Counters()[name+"+"]
	if c == nil {
		return 0
	}
	return c.Value()
}

// running returns the number of runs on servers.
func (r *evacuationRig) running(ids ...string) (n int) {
	for _, id := range ids {
		n += len(r.servers.runs(id))
	}
	return n
}

// Guards against starts in evacuated data centres: of several at once, and of all of them, in which case jobs are accepted
// and wait. A new leader and a return of the former one change nothing.
func TestNoStartInEvacuatedDataCentres(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newEvacuationRig(t, nil, "dc1", "dc2", "dc3")
		wide := ledger.Step{Count: 12, Need: ledger.Resources{CPU: 1000}}
		r.evacuate(true, "dc1", "dc2")
		r.submit("j1", wide)
		r.until(func() bool { return r.running("c") == 8 })
		r.evacuate(true, "dc3")
		r.submit("j2", small)
		for term := range uint64(3) {
			r.log.lead(term + 2)
			r.until(func() bool { s := r.d.activeSession(); return s != nil && s.holder.Fence == term+2 })
			time.Sleep(5 * time.Second)
			must.EqOp(t, 0, r.running("a", "b"))
			must.EqOp(t, 8, r.running("c"))
		}
		must.EqOp(t, ledger.Queued, r.state("j2"))
		view := r.do(&Call{Op: OpStatus}).Status.Evacuated[2]
		view.SinceMS = 0
		must.Eq(t, EvacuationView{DataCentre: "dc3", Servers: 1, Runs: 8}, view)
		must.StrContains(t, r.explain("j2").Steps[0].Waits, "evacuated data centres: dc1, dc2, dc3")
		must.EqOp(t, 3, int(r.scope.Snapshot().Gauges()["evacuated_data_centres+"].Value()))
		r.evacuate(false, "dc2")
		r.until(func() bool { return r.running("b") == 5 })
		must.EqOp(t, 0, r.running("a"))
		must.EqOp(t, ledger.Running, r.state("j2"))
	})
}

// Guards against the order of a start that was planned before an evacuation: it is dropped if it is committed after it, and
// not sent if it is committed just before it. The task starts once the data centre is restored.
func TestPlannedStartIsDroppedAtEvacuation(t *testing.T) {
	for _, before := range []bool{true, false} {
		inVirtualTime(t, func(t *testing.T) {
			r := newEvacuationRig(t, nil, "dc1")
			r.log.mu.Lock()
			hook := &r.log.afterStarts
			if before {
				hook = &r.log.beforeStarts
			}
			*hook = func() { r.applyEvacuation("dc1") }
			r.log.mu.Unlock()
			r.submit("j", small)
			time.Sleep(5 * time.Second)
			must.SliceEmpty(t, r.servers.starts)
			must.EqOp(t, 1, r.counter("starts_dropped_evacuated"))
			if ends := r.explain("j").Ends; before {
				must.SliceEmpty(t, ends)
			} else {
				must.EqOp(t, ledger.EndRefused, ends[0].How)
			}
			r.evacuate(false, "dc1")
			r.until(func() bool { return r.running("a") == 1 })
		})
	}
}

// A data centre that is partitioned can be evacuated. What ran there starts elsewhere once its leases have lapsed, and
// nothing starts there when it can be reached again.
func TestPartitionedDataCentreIsEvacuated(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newEvacuationRig(t, nil, "dc1", "dc2")
		r.evacuate(true, "dc2")
		r.submit("lasts", ledger.Step{Count: 1, Lasting: true, Need: ledger.Resources{CPU: 1000}})
		r.submit("ends", small)
		r.until(func() bool { return r.running("a") == 2 })
		r.servers.mu.Lock()
		r.servers.silent["a"] = true
		r.servers.mu.Unlock()
		silentAt := boottime.Now()
		time.Sleep(2 * time.Second)
		r.evacuate(false, "dc2")
		r.evacuate(true, "dc1")
		time.Sleep(time.Second)
		s := r.d.session.Load()
		s.engine.mu.Lock()
		stopping := s.orders[key("lasts", 0, 1)].stopping
		s.engine.mu.Unlock()
		must.False(t, stopping) // a stop could be carried out long after
		r.until(func() bool { return r.running("b") == 2 })
		must.Between(t, shortLeaseTime, boottime.Now()-silentAt, 2*shortLeaseTime)
		r.servers.mu.Lock()
		r.servers.silent["a"] = false
		clear(r.servers.servers["a"].running) // their leases have lapsed
		r.servers.mu.Unlock()
		r.submit("more", ledger.Step{Count: 9, Need: ledger.Resources{CPU: 1000}})
		time.Sleep(10 * time.Second)
		must.EqOp(t, 0, r.running("a"))
		must.EqOp(t, 8, r.running("b"))
	})
}

// Lasting tasks leave an evacuated data centre in steps of what may be missing, 1 if there is no limit, and only as far as
// there is room elsewhere. The others go on.
func TestLastingTasksLeaveEvacuatedDataCentre(t *testing.T) {
	const tasks = 5
	for _, c := range []struct {
		mayMiss, away, room, moved int
	}{{0, 1, 8, 4}, {1, 1, 8, 4}, {2, 2, 8, 4}, {1, 1, 3, 3}, {0, 1, 0, 0}} {
		inVirtualTime(t, func(t *testing.T) {
			r := newEvacuationRig(t, nil, "dc1", "dc1", "dc2")
			r.servers.mu.Lock()
			r.servers.capacity["c"] = max(1, 1000*int64(c.room))
			r.servers.mu.Unlock()
			r.evacuate(true, "dc2")
			r.submit("j", ledger.Step{Count: tasks, Lasting: true, MayMiss: c.mayMiss, Spread: 4, Need: ledger.Resources{CPU: 1000}})
			r.submit("ends", small)
			r.until(func() bool { return r.running("a", "b") == tasks+1 })
			r.evacuate(false, "dc2")
			time.Sleep(2 * time.Second) // c announces its capacity
			mostAway := 0
			r.servers.mu.Lock()
			r.servers.afterStop = func() {
				away := tasks + 1
				for _, s := range r.servers.servers {
					away -= len(s.running)
				}
				mostAway = max(mostAway, away)
			}
			r.servers.mu.Unlock()
			r.evacuate(true, "dc1")
			time.Sleep(20 * time.Second)
			must.EqOp(t, c.moved, r.running("c"), must.Sprint(c)) // Spread allows 4
			must.EqOp(t, tasks+1, r.running("a", "b", "c"))
			must.EqOp(t, min(c.away, c.moved), mostAway, must.Sprint(c))
		})
	}
}

// Guards against a pool that counts on machines of an evacuated data centre, and against moves of such machines. Machines of
// other data centres replace them.
func TestMachinesOfEvacuatedDataCentreAreNoCapacity(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &fakeMachines{list: []Machine{
			{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
			{Name: "m3", Pool: "off", State: MachineUp}, {Name: "m4", Pool: "off", State: MachineUp, Server: "c"},
		}}
		r := newEvacuationRig(t, m, "dc1", "dc2", "dc1")
		r.until(func() bool { return r.d.session.Load().cachedMachines.lastRequested() > 0 })
		time.Sleep(time.Second)
		m.mu.Lock()
		m.list[3].Server = "" // switched off; its last server was in dc1
		m.mu.Unlock()
		time.Sleep(2 * maxCacheAge)
		must.SliceEmpty(t, m.ordered())
		r.evacuate(true, "dc1")
		r.submit("j", ledger.Step{Count: 9, Need: ledger.Resources{CPU: 1000}}) // needs two machines
		time.Sleep(moveTransitTime / 2)
		must.Eq(t, []string{"move to p m3"}, m.ordered())
		time.Sleep(time.Minute)
		for _, order := range m.ordered() {
			must.EqOp(t, "move to p m3", order)
		}
	})
}

// A data centre that is evacuated during a wave: its empty machines have their upkeep first, the wave ends, and nothing
// starts on them when they are back.
func TestEvacuationDuringWave(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		m := &fakeMachines{list: []Machine{
			{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"},
			{Name: "m3", Pool: "p", State: MachineUp, Server: "c"},
		}, busy: map[string]bool{"m1": true}}
		r := newEvacuationRig(t, m, "dc1", "dc2", "dc3")
		wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1", "m2", "m3"}, DurationMS: 40_000, Bound: 1}
		must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
		r.until(func() bool { return len(m.ordered()) == 1 })
		r.evacuate(true, "dc3")
		m.mu.Lock()
		m.busy["m1"] = false
		m.mu.Unlock()
		r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted })
		orders := m.ordered()
		must.Eq(t, []string{"upkeep m3", "upkeep m2"}, orders[len(orders)-2:])
		r.submit("j", ledger.Step{Count: 17, Need: ledger.Resources{CPU: 1000}})
		r.until(func() bool { return r.running("a", "b") == 16 })
		must.EqOp(t, 0, r.running("c"))
	})
}

// An order for an unknown data centre is refused with the known ones. Without known ones any is accepted, and one with an
// earlier order can always be restored.
func TestUnknownDataCentreIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newEvacuationRig(t, nil, "dc1", "dc2")
		order := func(name, id string) *Reply {
			return r.do(&Call{Op: OpEvacuate, RequestID: id, Evacuation: &ledger.EvacuationOrder{DataCentre: name, Evacuate: true}})
		}
		must.EqOp(t, "unknown data centre; known are dc1, dc2", order("dc3", "x").Reason)
		must.EqOp(t, Invalid, order("dc3", "x").Outcome)
		must.EqOp(t, Invalid, order("", "x").Outcome)
		must.EqOp(t, Invalid, order("dc1", "").Outcome)
		r.applyEvacuation("dc3")
		r.evacuate(false, "dc3")
		r.d.session.Load().dataCentres = []string{"dc4"}
		r.evacuate(true, "dc4", "dc2")
		must.EqOp(t, OK, newEvacuationRig(t, nil).do(&Call{Op: OpEvacuate, RequestID: "1", Evacuation: &ledger.EvacuationOrder{DataCentre: "any"}}).Outcome)
	})
}

// Guards against a cold server that gets its burst of starts anew with each plan.
func TestColdServerGetsStartsAtItsRate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newEvacuationRig(t, nil, "cold")
		config := rigConfig()
		config.Version, config.Pools[0].ColdPerS = 2, 2
		must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
		for i := range 30 {
			r.submit(fmt.Sprint("j", i), ledger.Step{Count: 1, Need: ledger.Resources{CPU: 100}})
		}
		time.Sleep(100 * time.Millisecond)
		for second := range 4 {
			must.Between(t, 4+3*second, r.running("a"), 6+3*second) // 5 and 3 a second, by the time of the first start
			must.StrContains(t, r.explain("j29").Steps[0].Waits, "1 of them get few starts")
			time.Sleep(time.Second)
		}
	})
}
