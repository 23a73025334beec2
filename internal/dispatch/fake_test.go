package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// fakeLog is a log of one replica that leads while it is told so.
type fakeLog struct {
	engine *Engine
	mu     sync.Mutex
	index  uint64
	status replica.Status
}

func (f *fakeLog) Status() replica.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *fakeLog) ReadIndex(context.Context) error { return nil }

func (f *fakeLog) ProposeHere(_ context.Context, command []byte) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.IsLeader {
		return nil, 0, replica.ErrNotLeader
	}
	f.index++
	return f.engine.Apply(f.index, command), f.index, nil
}

// lead makes the log lead in a term.
func (f *fakeLog) lead(term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = replica.Status{IsLeader: true, Term: term}
}

// fakeServer is a backend server whose tasks end when the test says so.
type fakeServer struct {
	born     int64
	fence    uint64
	running  map[runKey]bool
	stopped  map[runKey]bool
	finished []FinishedTask
	number   int64
	deadline int64
	room     int // runs that fit; 0 means any number
}

// errSilent is what a call without an answer returns.
var errSilent = errors.New("no answer")

// fakeServers are all backend servers of a test.
type fakeServers struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
	// silent servers answer nothing and do nothing; mute ones carry out starts without an answer.
	silent, mute map[string]bool
	elsewhere    map[string]bool
	began        time.Duration
	starts       []runKey
	holds        []HoldOrder
	figures      map[ledger.TaskID]int64 // reported of running tasks
	paces        []PaceOrder
	paceFails    int // the next paces that get no answer
}

func newFakeServers(ids ...string) *fakeServers {
	f := &fakeServers{
		servers: make(map[string]*fakeServer), silent: make(map[string]bool), mute: make(map[string]bool),
		elsewhere: make(map[string]bool), began: boottime.Now(), figures: make(map[ledger.TaskID]int64),
	}
	for _, id := range ids {
		f.servers[id] = newFakeServer(1)
	}
	return f
}

func newFakeServer(born int64) *fakeServer {
	return &fakeServer{born: born, running: make(map[runKey]bool), stopped: make(map[runKey]bool)}
}

func (f *fakeServers) clock() int64 { return (boottime.Now() - f.began).Milliseconds() }

func (f *fakeServers) get(to Target) (*fakeServer, error) {
	switch {
	case f.elsewhere[to.ID]:
		return nil, ErrElsewhere
	case f.silent[to.ID]:
		return nil, errSilent
	}
	return f.servers[to.ID], nil
}

func (f *fakeServers) Start(_ context.Context, to Target, o StartOrder) (StartAnswer, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := f.get(to)
	if errors.Is(err, ErrElsewhere) {
		return StartElsewhere, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	key := runKey{o.Task, o.Run}
	f.starts = append(f.starts, key)
	switch {
	case o.Fence < s.fence:
		return StartFenced, f.clock(), nil
	case s.stopped[key]:
		return StartOld, f.clock(), nil
	case o.DeadlineMS <= f.clock():
		return StartLate, f.clock(), nil
	case s.room > 0 && len(s.running) >= s.room:
		return StartNoRoom, f.clock(), nil
	}
	s.fence, s.deadline = o.Fence, max(s.deadline, o.DeadlineMS)
	s.running[key] = true
	if f.mute[to.ID] {
		return 0, 0, errSilent
	}
	return StartTaken, f.clock(), nil
}

func (f *fakeServers) Stop(_ context.Context, to Target, o StopOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := f.get(to)
	if err != nil {
		return err
	}
	if o.Fence < s.fence {
		return ErrFenced
	}
	s.fence = o.Fence
	key := runKey{o.Task, o.Run}
	s.stopped[key] = true
	if s.running[key] {
		s.end(key, ledger.EndStopped)
	}
	return nil
}

func (s *fakeServer) end(key runKey, how ledger.How) {
	delete(s.running, key)
	s.number++
	s.finished = append(s.finished, FinishedTask{Number: s.number, Task: key.task, Run: key.run, How: how})
}

func (f *fakeServers) Hold(ctx context.Context, to Target, o HoldOrder) (*HoldReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds = append(f.holds, o)
	s, err := f.get(to)
	if err != nil {
		return nil, err
	}
	if o.Fence < s.fence {
		return nil, ErrFenced
	}
	s.fence, s.deadline = o.Fence, max(s.deadline, o.DeadlineMS)
	s.finished = slices.DeleteFunc(s.finished, func(t FinishedTask) bool { return t.Number <= o.AckedEnd })
	for end := boottime.Now() + time.Duration(o.WaitMS)*time.Millisecond; len(s.finished) == 0 && boottime.Now() < end; {
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
		f.mu.Lock()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	r := &HoldReport{ClockMS: f.clock(), Born: s.born, Finished: slices.Clone(s.finished)}
	for key := range s.running {
		r.Running = append(r.Running, RunningTask{Task: key.task, Run: key.run, Percent: 100, Figure: f.figures[key.task]})
	}
	return r, nil
}

func (f *fakeServers) Pace(_ context.Context, _ Target, o PaceOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paceFails > 0 {
		f.paceFails--
		return errSilent
	}
	f.paces = append(f.paces, o)
	return nil
}

// pace returns the percentage that a task was last told; -1 for none.
func (f *fakeServers) pace(id ledger.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.paces) - 1; i >= 0; i-- {
		if f.paces[i].Task == id {
			return f.paces[i].Percent
		}
	}
	return -1
}

// reports sets the figure of a task.
func (f *fakeServers) reports(id ledger.TaskID, figure int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.figures[id] = figure
}

// finish ends a run.
func (f *fakeServers) finish(id string, key runKey, how ledger.How) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[id].end(key, how)
}

// runs returns what runs on a server.
func (f *fakeServers) runs(id string) []runKey {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keys []runKey
	for key := range f.servers[id].running {
		keys = append(keys, key)
	}
	return keys
}

// rig is a dispatcher with its surroundings.
type rig struct {
	t       *testing.T
	engine  *Engine
	log     *fakeLog
	servers *fakeServers
	d       *Dispatcher
}

func newRig(t *testing.T, servers *fakeServers) *rig {
	t.Helper()
	engine := NewEngine(hclog.NewNullLogger())
	r := &rig{t: t, engine: engine, log: &fakeLog{engine: engine}, servers: servers}
	r.d = New(Options{
		Name: "c1", Address: "127.0.0.1:1", Engine: engine, Replica: r.log, Servers: servers, Log: hclog.NewNullLogger(),
		Scope: tally.NoopScope, ElectionTime: time.Hour,
	})
	r.start()
	return r
}

// start makes the dispatcher lead with a configuration, and announces all servers.
func (r *rig) start() {
	r.t.Helper()
	r.log.lead(1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.d.Run(ctx)
	}()
	r.t.Cleanup(func() {
		cancel()
		<-done
	})
	r.until(r.d.Leads)
	must.EqOp(r.t, OK, r.do(&Call{Op: OpPutConfig, Config: rigConfig()}).Outcome)
	for id := range r.servers.servers {
		r.announce(id, 1)
	}
	go r.beat(ctx)
}

// beat announces every server every second, as it would itself.
func (r *rig) beat(ctx context.Context) {
	for seq := int64(2); ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		for id := range r.servers.servers {
			_, _ = r.d.Do(ctx, &Call{Op: OpAnnounce, Server: r.serverOf(id, seq)}) // one that is missed is no matter
		}
	}
}

// rigAttempts is the number of runs of a task that may end failed.
const rigAttempts = 3

func rigConfig() *accepted.Config {
	return &accepted.Config{
		Version: 1, Raw: []byte("{}"),
		Queues: []accepted.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Pool: "p", TimeoutMS: 1000, ObjectiveMS: 600, SlackFactor: 2, MaxAttempts: rigAttempts, Open: true,
		}},
		Pools: []accepted.Pool{{Name: "p", Guards: true}, {Name: "off", Guards: true, Standby: true}},
	}
}

func (r *rig) do(c *Call) *Reply {
	r.t.Helper()
	reply, err := r.d.Do(context.Background(), c)
	must.NoError(r.t, err)
	return reply
}

func (r *rig) announce(id string, seq int64) {
	r.t.Helper()
	r.do(&Call{Op: OpAnnounce, Server: r.serverOf(id, seq)})
}

func (r *rig) serverOf(id string, seq int64) *ledger.Server {
	return &ledger.Server{
		ID: id, Pool: "p", Address: id, Capacity: ledger.Resources{CPU: 8000, MemMB: 8000}, Born: 1, Seq: seq, ClockMS: r.servers.clock(),
	}
}

func (r *rig) submit(id string, steps ...ledger.Step) {
	r.t.Helper()
	must.EqOp(r.t, OK, r.do(&Call{Op: OpSubmit, Host: "h", Path: "/q/" + id, Job: &ledger.Submission{Spec: "s", Steps: steps}}).Outcome)
}

func (r *rig) state(id string) ledger.JobState {
	r.t.Helper()
	return r.do(&Call{Op: OpState, Host: "h", Path: "/q/" + id}).State
}

// until waits until a condition holds, for much longer than it should take.
func (r *rig) until(f func() bool) {
	r.t.Helper()
	must.Wait(r.t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(30*time.Second), wait.Gap(2*time.Millisecond)))
}

// waits reports whether the newest hold was asked to wait.
func (f *fakeServers) waits() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.holds) > 0 && f.holds[len(f.holds)-1].WaitMS == holdWait.Milliseconds()
}

// lastHoldAfter reports whether a hold with a short wait came after the first ones.
func (f *fakeServers) lastHoldAfter(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.holds[n:], func(o HoldOrder) bool { return o.WaitMS == unresolvedOrderWait.Milliseconds() })
}
