package dispatch

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/request/pools"
)

// fakeMachines implements Machines. An upkeep is over at once.
type fakeMachines struct {
	mu     sync.Mutex
	list   []Machine
	hidden map[string]bool // machines missing from the list
	gone   map[string]bool // machines that no longer exist
	busy   map[string]bool // machines that refuse orders for now
	// answers are the answers to orders for machines that are neither gone nor busy; the others are accepted.
	answers map[string]MachineAnswer
	orders  []string
	// listedAt are the times of the calls of List.
	listedAt []time.Duration
}

func (f *fakeMachines) List(context.Context, string) ([]Machine, string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedAt = append(f.listedAt, boottime.Now())
	var list []Machine
	for _, m := range f.list {
		if !f.hidden[m.Name] && !f.gone[m.Name] {
			list = append(list, m)
		}
	}
	return list, "", nil
}

func (f *fakeMachines) order(name, what string) MachineAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, what+" "+name)
	if f.gone[name] {
		return MachineRefused
	}
	if f.busy[name] {
		return MachineBusy
	}
	return f.answers[name]
}

func (f *fakeMachines) Move(_ context.Context, _ Holder, machine, pool string) (MachineAnswer, error) {
	return f.order(machine, "move to "+pool), nil
}

func (f *fakeMachines) Upkeep(_ context.Context, _ Holder, machine string, _ int64) (MachineAnswer, error) {
	return f.order(machine, "upkeep"), nil
}

func (f *fakeMachines) ordered() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.orders...)
}

func newMachineRig(t *testing.T, m Machines) *rig {
	t.Helper()
	engine := NewEngine(hclog.NewNullLogger())
	f := newFakeServers("a", "b")
	r := &rig{t: t, engine: engine, log: &fakeLog{engine: engine}, servers: f}
	r.d = New(Options{
		Name: "c1", Engine: engine, Replica: r.log, Servers: f, Machines: m, Log: hclog.NewNullLogger(),
		Scope: tally.NoopScope, ElectionTime: 1 << 40,
	})
	r.start()
	return r
}

// A wave isn't completed while one of its machines may still exist without having had its upkeep, even if the platform's
// list lacks that machine.
func TestWaveWaitsForMachineMissingFromList(t *testing.T) {
	m := &fakeMachines{
		list:   []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"}},
		hidden: map[string]bool{"m2": true}, gone: make(map[string]bool),
	}
	r := newMachineRig(t, m)
	wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1", "m2"}, DurationMS: 10_000, Bound: 1} // short, so that machines are taken down at once
	must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
	r.until(func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.ledger.Wave(1).Phases["m1"] == ledger.UpkeepDone
	})
	must.False(t, r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted)
	m.mu.Lock()
	m.gone["m2"] = true
	m.mu.Unlock()
	r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted })
	must.Eq(t, []string{"upkeep m1", "upkeep m2"}, m.ordered())
}

// A machine that the list has lacked for long and that refuses its upkeep as busy leaves for good: the wave ends without it.
// One that was missing only once may come back.
func TestWaveEndsWithoutMachineThatLeaves(t *testing.T) {
	for checks, ended := range map[int]bool{gonePeriods - 1: false, gonePeriods: true} {
		m := &fakeMachines{hidden: map[string]bool{"m1": true}, busy: map[string]bool{"m1": true}}
		r := newMachineRig(t, m)
		wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1"}, DurationMS: 10_000, Bound: 1}
		must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
		s := r.d.session.Load()
		s.engine.mu.Lock()
		s.missingChecks["m1"] = checks
		s.engine.mu.Unlock()
		s.orderUpkeep(1, machineOrder{machine: "m1"})
		must.Eq(t, ended, r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted)
	}
}

// Guards against a later wave that counts the accepted order of an earlier one as its own: it was completed although the
// platform had carried out none of its orders.
func TestAcceptedUpkeepCountsForItsWaveOnly(t *testing.T) {
	m := &fakeMachines{list: []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}}, busy: make(map[string]bool)}
	r := newMachineRig(t, m)
	first := &ledger.WaveOrder{Number: 1, Machines: []string{"m1"}, DurationMS: 10_000, Bound: 1}
	must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: first}).Outcome)
	r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: first}).WaveCompleted })
	must.Eq(t, []string{"upkeep m1"}, m.ordered())
	setBusy := func(busy bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.busy["m1"] = busy
	}
	setBusy(true)
	second := &ledger.WaveOrder{Number: 2, Machines: []string{"m1"}, DurationMS: 10_000, Bound: 1}
	must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: second}).Outcome)
	completed := func() bool { return r.do(&Call{Op: OpWaveState, Wave: second}).WaveCompleted }
	r.until(func() bool { return completed() || len(m.ordered()) >= 4 })
	must.False(t, completed(), must.Sprintf("orders: %v", m.ordered()))
	setBusy(false)
	r.until(completed)
}

// Guards against a machine that stays reserved for good after the platform answered that it isn't of the wave or doesn't
// exist: its server got no work and its pool lacked it.
func TestMachineWithoutUpkeepIsUsedAgain(t *testing.T) {
	for _, answer := range []MachineAnswer{MachineNotInWave, MachineRefused} {
		listed := Machine{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}
		r := newMachineRig(t, &fakeMachines{list: []Machine{listed}, answers: map[string]MachineAnswer{"m1": answer}})
		wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1"}, DurationMS: 10_000, Bound: 1}
		must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
		r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted })
		s := r.d.session.Load()
		s.engine.mu.Lock()
		movable := s.movableLocked(listed, boottime.Now())
		s.engine.mu.Unlock()
		must.True(t, movable, must.Sprint(answer))
		r.submit("j", ledger.Step{Count: 2, Spread: 1, Need: ledger.Resources{CPU: 100}})
		r.until(func() bool { return len(r.servers.runs("a")) == 1 && len(r.servers.runs("b")) == 1 })
	}
}

// missingReads implements Machines. It records on which reads of the list the first order for m1 rests; all but session is
// guarded by the engine's lock.
type missingReads struct {
	*fakeMachines
	session     atomic.Pointer[session]
	first, last time.Duration // when the first list that lacked m1 was requested, and the one that led to the order
	newest      time.Duration // the newest read when the order came
}

func (m *missingReads) List(ctx context.Context, page string) ([]Machine, string, error) {
	if s := m.session.Load(); s != nil {
		s.engine.mu.Lock()
		if s.missingChecks["m1"] == 0 {
			m.first = s.missingSince["m1"]
		}
		s.engine.mu.Unlock()
	}
	return m.fakeMachines.List(ctx, page)
}

func (m *missingReads) Upkeep(ctx context.Context, h Holder, machine string, wave int64) (MachineAnswer, error) {
	s := m.session.Load()
	m.mu.Lock()
	newest := m.listedAt[len(m.listedAt)-1]
	m.mu.Unlock()
	s.engine.mu.Lock()
	if m.last == 0 {
		m.last, m.newest = s.missingSince["m1"], newest
	}
	s.engine.mu.Unlock()
	return m.fakeMachines.Upkeep(ctx, h, machine, wave)
}

// Guards against a machine that counts as missing for missingTimeout by one read of the list that is used twice.
func TestMissingMachineIsCheckedAfterNewRead(t *testing.T) {
	began := boottime.Now()
	m := &missingReads{fakeMachines: &fakeMachines{hidden: map[string]bool{"m1": true}, busy: map[string]bool{"m1": true}}}
	r := newMachineRig(t, m)
	s := r.d.session.Load()
	m.session.Store(s)
	wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1"}, DurationMS: 10_000, Bound: 1}
	must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
	r.until(func() bool { return len(m.ordered()) == 1 })
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	must.GreaterEq(t, began, m.first, must.Sprint("no read followed the first list that lacked the machine"))
	must.GreaterEq(t, missingTimeout, m.last-m.first)
	must.GreaterEq(t, m.last, m.newest, must.Sprint("no read follows the time that the order is counted from"))
}

// Guards against an upkeep beyond the bound of a wave: a machine that the list lacks may exist and begin its upkeep.
func TestMissingMachineCountsForBoundOfWave(t *testing.T) {
	m := &fakeMachines{
		list:   []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}, {Name: "m2", Pool: "p", State: MachineUp, Server: "b"}},
		hidden: map[string]bool{"m2": true},
	}
	r := newMachineRig(t, m)
	wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1", "m2"}, DurationMS: 10_000, Bound: 1}
	must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
	r.until(func() bool { return len(m.ordered()) == 1 })
	m.mu.Lock()
	m.list[0].State = MachineUpkeep
	m.mu.Unlock()
	time.Sleep(missingTimeout + 2*waveCheckInterval + minRefreshInterval)
	must.Eq(t, []string{"upkeep m1"}, m.ordered())
	m.mu.Lock()
	m.list[0].State = MachineUp
	m.mu.Unlock()
	r.until(func() bool { return len(m.ordered()) == 2 })
}

// Guards against a server that counts as gone for good because the platform acknowledged its machine's upkeep once more:
// it had started after that upkeep and got no work. A server that the upkeep replaced is gone.
func TestServerIsGoneOnlyIfUpkeepReplacedIt(t *testing.T) {
	for _, after := range []string{"a", "b"} {
		m := &fakeMachines{list: []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}}}
		r := newMachineRig(t, m)
		wave := &ledger.WaveOrder{Number: 1, Machines: []string{"m1"}, DurationMS: 10_000, Bound: 1}
		must.EqOp(t, OK, r.do(&Call{Op: OpStartWave, Wave: wave}).Outcome)
		r.until(func() bool { return len(m.ordered()) == 1 })
		m.mu.Lock()
		m.list[0].Server = after
		m.mu.Unlock()
		r.until(func() bool { return r.do(&Call{Op: OpWaveState, Wave: wave}).WaveCompleted })
		s := r.d.session.Load()
		s.engine.mu.Lock()
		left := s.fleet.Get("a").Left
		s.engine.mu.Unlock()
		must.EqOp(t, after != "a", left, must.Sprintf("server after the upkeep: %s", after))
	}
}

// A server on which a lasting task starts is asked often until the task works in full, as others of its step can be stopped
// only after that; other servers are asked at the usual interval.
func TestStartOfLastingTaskIsSeenSoon(t *testing.T) {
	r := newMachineRig(t, &fakeMachines{})
	r.submit("lasts", ledger.Step{Count: 1, Lasting: true, Need: ledger.Resources{CPU: 100}})
	r.submit("ends", small)
	s := r.d.session.Load()
	at := func(job string, percent int, age time.Duration) bool {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		return s.startingLocked(ledger.TaskID{Job: job}, &order{state: orderTaken, percent: percent, since: boottime.Now() - age})
	}
	must.True(t, at("lasts", 0, 0))
	must.False(t, at("lasts", 100, 0))
	must.False(t, at("lasts", 50, startupTime))
	must.False(t, at("ends", 0, 0))
}

// Only machines without runs are moved to another pool.
func TestBusyMachinesAreNotMoved(t *testing.T) {
	m := &fakeMachines{
		list: []Machine{{Name: "m1", Pool: "p", State: MachineUp, Server: "a"}}, hidden: map[string]bool{}, gone: map[string]bool{},
	}
	r := newMachineRig(t, m)
	for i := range 4 {
		r.submit(fmt.Sprint("j", i), small)
	}
	r.until(func() bool { return len(r.servers.runs("a"))+len(r.servers.runs("b")) == 4 })
	s := r.d.session.Load()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, id := range []string{"a", "b"} {
		must.EqOp(t, len(s.engine.ledger.LiveOn(id)) == 0, s.movableLocked(Machine{Name: "m", State: MachineUp, Server: id}, 0))
	}
	// A new planner moves nothing at first. A minute later it moves the machine of an idle server, but not that of a busy
	// one.
	for _, id := range []string{"a", "b"} {
		idle := len(s.engine.ledger.LiveOn(id)) == 0
		machine := pools.Machine{Name: "m", Pool: "p", Movable: s.movableLocked(Machine{Name: "m", State: MachineUp, Server: id}, 0)}
		list := []pools.Pool{{Name: "off", Standby: true}, {Name: "p"}}
		var fresh pools.Planner
		must.SliceEmpty(t, fresh.Plan(0, list, []pools.Machine{machine}, 8000))
		must.EqOp(t, idle, len(fresh.Plan(time.Minute, list, []pools.Machine{machine}, 8000)) == 1)
	}
}

// Outside standby pools, a machine that has no server may come back at any time and get tasks before the list shows its
// server.
func TestDownMachineIsNotMoved(t *testing.T) {
	r := newMachineRig(t, &fakeMachines{})
	s := r.d.session.Load()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	must.False(t, s.movableLocked(Machine{Name: "m", Pool: "p", State: MachineUp}, 0))
	must.False(t, s.movableLocked(Machine{Name: "m", Pool: "off", State: MachineDown}, 0))
	must.True(t, s.movableLocked(Machine{Name: "m", Pool: "off", State: MachineUp}, 0))
}

// The minimum size of a pool covers lasting tasks that may not share a server.
func TestPoolMinimumCoversSpreadOfLastingTasks(t *testing.T) {
	r := newMachineRig(t, &fakeMachines{})
	r.submit("j", ledger.Step{Count: 5, Spread: 1, Lasting: true, Need: ledger.Resources{CPU: 100}})
	s := r.d.session.Load()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, p := range s.demandLocked(s.engine.ledger.Index().Config().Pools) {
		if p.Name == "p" {
			must.EqOp(t, 5, p.MinMachines)
		}
	}
}

// A machine for which an earlier leader sent an order gets no other until that leader's machine lease has lapsed.
func TestMachineOrderedByEarlierLeaderIsReserved(t *testing.T) {
	r := newMachineRig(t, &fakeMachines{})
	s := r.d.session.Load()
	_, err := s.propose(&ledger.Command{By: s.holder.Fence, Moves: []ledger.MachineMove{{Machine: "m", Pool: "off"}}})
	must.NoError(t, err)
	at := func(term uint64, lease time.Duration) bool {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		other := &session{engine: s.engine, holder: Holder{Fence: term}, machineLease: lease}
		return other.mayOrderMachineLocked("m")
	}
	must.True(t, at(s.holder.Fence, time.Hour))
	must.False(t, at(s.holder.Fence+1, time.Hour))
	must.True(t, at(s.holder.Fence+1, -machineLeaseMargin)) // the lease has lapsed
}

// Upkeep stops no more tasks of a lasting step than its MayMiss allows.
func TestUpkeepStopsNoMoreTasksThanMayMiss(t *testing.T) {
	r := newMachineRig(t, &fakeMachines{})
	r.submit("j", ledger.Step{Count: 3, MayMiss: 1, Lasting: true, Need: ledger.Resources{CPU: 100}})
	task := func(i int) ledger.TaskID { return ledger.TaskID{Job: "j", Index: i} }
	s := r.d.session.Load()
	may := func(i int) bool {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		_, t := s.engine.ledger.Task(task(i))
		return t != nil && s.mayStopLocked(task(i), t)
	}
	r.until(func() bool { return may(0) && may(1) && may(2) })
	s.engine.mu.Lock()
	_, first := s.engine.ledger.Task(task(0))
	s.orders[runKey{task(0), first.Run}].stopping = true
	s.engine.mu.Unlock()
	must.False(t, may(1))
	must.False(t, may(2))
	must.True(t, may(0))
}

// Servers that have been silent for long are removed from the log's state unless they have runs.
func TestSilentServersWithoutRunsAreRemoved(t *testing.T) {
	r := newMachineRig(t, &fakeMachines{})
	r.submit("j", small)
	r.until(func() bool { return len(r.servers.runs("a"))+len(r.servers.runs("b")) == 1 })
	busy, idle := "a", "b"
	if len(r.servers.runs("b")) == 1 {
		busy, idle = "b", "a"
	}
	s := r.d.session.Load()
	s.engine.mu.Lock()
	for _, id := range []string{busy, idle} {
		server := s.fleet.Get(id)
		server.AnnouncedAt, server.AnsweredAt = server.AnnouncedAt-time.Hour, server.AnsweredAt-time.Hour
	}
	s.engine.mu.Unlock()
	r.until(func() bool {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		_, known := s.engine.ledger.KnownServers()[idle]
		_, kept := s.engine.ledger.KnownServers()[busy]
		return !known && kept
	})
}

// pagedMachines lists machines in pages. The token of a page is its number.
type pagedMachines struct {
	fakeMachines
	pages [][]Machine
	next  []string
}

func (f *pagedMachines) List(_ context.Context, token string) ([]Machine, string, error) {
	page, _ := strconv.Atoi(token)
	return f.pages[page], f.next[page], nil
}

// Guards against a machine that counts twice because it changed its page while the list was read, and against a read without end of
// pages that lead back to an earlier one.
func TestPagesOfMachinesAreReadOnce(t *testing.T) {
	one, two := Machine{Name: "m1", Pool: "p", State: MachineUp}, Machine{Name: "m2", Pool: "p", State: MachineUp}
	moved := Machine{Name: "m1", Pool: "p", State: MachineMoving}
	for _, c := range []struct {
		pages [][]Machine
		next  []string
		want  []Machine
	}{
		{[][]Machine{{one}, {two}}, []string{"1", ""}, []Machine{one, two}},
		{[][]Machine{{one, two}, {moved}}, []string{"1", ""}, []Machine{moved, two}},
		{[][]Machine{{one}, {two}}, []string{"1", "1"}, nil},
		{[][]Machine{{one}, {two}, {}}, []string{"1", "2", "1"}, nil},
	} {
		s := &session{ctx: t.Context(), machines: &pagedMachines{pages: c.pages, next: c.next}, stats: newStats(tally.NoopScope)}
		list, err := s.readMachines()
		must.Eq(t, c.want, list)
		must.EqOp(t, c.want == nil, err != nil)
	}
}
