package session

import (
	"context"
	"slices"
	"sync"
	"time"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

// commitLatency is the time from a proposal to its application: a sync and a round trip between data centres.
const commitLatency = 10 * time.Millisecond

// proposal is a command on its way through fakeLog.
type proposal struct {
	command []byte
	due     time.Time
	result  chan []byte
}

// fakeLog commits each command of its only replica after commitLatency.
type fakeLog struct {
	engine    *dispatch.Engine
	proposals chan *proposal

	mu      sync.Mutex
	entries int64
	bytes   int64
}

func (f *fakeLog) Status() replica.Status {
	return replica.Status{Node: "c1", Leader: "c1", IsLeader: true, Term: 1}
}

func (f *fakeLog) ReadIndex(context.Context) error { return nil }

func (f *fakeLog) ProposeLocal(ctx context.Context, command []byte) ([]byte, uint64, error) {
	p := &proposal{command: command, due: time.Now().Add(commitLatency), result: make(chan []byte, 1)}
	f.proposals <- p
	select {
	case result := <-p.result:
		return result, 0, nil
	case <-ctx.Done():
		return nil, 0, replica.ErrOutcomeUnknown
	}
}

func (f *fakeLog) run(ctx context.Context) {
	for index := uint64(1); ; index++ {
		select {
		case <-ctx.Done():
			return
		case p := <-f.proposals:
			time.Sleep(time.Until(p.due))
			p.result <- f.engine.Apply(index, p.command)
			f.mu.Lock()
			f.entries++
			f.bytes += int64(len(p.command))
			f.mu.Unlock()
		}
	}
}

func (f *fakeLog) counts() (entries, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries, f.bytes
}

// fakeServer is a backend server whose runs end after runTime.
type fakeServer struct {
	mu       sync.Mutex
	running  map[dispatch.RunningTask]bool
	finished []dispatch.FinishedTask
	lastEnd  int64
	ended    chan struct{} // receives a value when a run ends
}

// fakeServers implements dispatch.Servers.
type fakeServers struct {
	byID      map[string]*fakeServer
	startedAt time.Duration

	mu     sync.Mutex
	starts int64
	ends   int64
	// firstStart holds when the first task of each job was started.
	firstStart map[string]time.Time
}

func newFakeServers(ids []string) *fakeServers {
	f := &fakeServers{byID: make(map[string]*fakeServer), startedAt: boottime.Now(), firstStart: make(map[string]time.Time)}
	for _, id := range ids {
		f.byID[id] = &fakeServer{running: make(map[dispatch.RunningTask]bool), ended: make(chan struct{}, 1)}
	}
	return f
}

func (f *fakeServers) clock() int64 { return (boottime.Now() - f.startedAt).Milliseconds() }

func (f *fakeServers) counts() (starts, ends int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.ends
}

// Start implements dispatch.Servers.
func (f *fakeServers) Start(_ context.Context, to dispatch.Target, o dispatch.StartOrder) (dispatch.StartAnswer, int64, error) {
	s := f.byID[to.ID]
	run := dispatch.RunningTask{Task: o.Task, Run: o.Run, Percent: 100}
	s.mu.Lock()
	s.running[run] = true
	s.mu.Unlock()
	f.mu.Lock()
	f.starts++
	if _, started := f.firstStart[o.Task.Job]; !started {
		f.firstStart[o.Task.Job] = time.Now()
	}
	f.mu.Unlock()
	time.AfterFunc(runTime, func() { f.finish(s, run) })
	return dispatch.StartAccepted, f.clock(), nil
}

func (f *fakeServers) finish(s *fakeServer, run dispatch.RunningTask) {
	s.mu.Lock()
	delete(s.running, run)
	s.lastEnd++
	s.finished = append(s.finished, dispatch.FinishedTask{Number: s.lastEnd, Task: run.Task, Run: run.Run, How: ledger.EndDone})
	s.mu.Unlock()
	f.mu.Lock()
	f.ends++
	f.mu.Unlock()
	select {
	case s.ended <- struct{}{}:
	default:
	}
}

// Stop implements dispatch.Servers. The load stops nothing.
func (f *fakeServers) Stop(context.Context, dispatch.Target, dispatch.StopOrder) error { return nil }

// Pace implements dispatch.Servers.
func (f *fakeServers) Pace(context.Context, dispatch.Target, dispatch.PaceOrder) error { return nil }

// Hold implements dispatch.Servers. It answers once a run has ended or the wait is over.
func (f *fakeServers) Hold(ctx context.Context, to dispatch.Target, o dispatch.HoldOrder) (*dispatch.HoldReport, error) {
	s := f.byID[to.ID]
	wait := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer wait.Stop()
	for {
		s.mu.Lock()
		s.finished = slices.DeleteFunc(s.finished, func(t dispatch.FinishedTask) bool { return t.Number <= o.AckedEnd })
		finished := len(s.finished) > 0
		s.mu.Unlock()
		if finished {
			break
		}
		select {
		case <-s.ended:
			continue
		case <-wait.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &dispatch.HoldReport{ClockMS: f.clock(), Born: 1, Finished: slices.Clone(s.finished)}
	for run := range s.running {
		r.Running = append(r.Running, run)
	}
	return r, nil
}
