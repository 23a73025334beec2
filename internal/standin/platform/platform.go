// Package platform simulates the platform that owns the workers, for tests and the quick start: it runs tasks
// under leases, reports usage with a lag, reboots instances, and can inject faults. It serves the protocol of
// internal/connection/platform, which is imported as platformapi.
//
// A task's command specifies its behaviour as a URL query: seconds=2&milli_cpu=500&memory_bytes=1000&fail=reason.
package platform

import (
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	platformapi "laburnumrouter/internal/connection/platform"
	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Error is the class of all errors of this package.
var Error = errs.Class("standin platform")

const (
	defaultRunTime  = time.Second
	defaultUsageLag = 500 * time.Millisecond
)

// Faults selects the faults to inject. The zero value selects none.
type Faults struct {
	// LoseAnswers drops the answer to every n-th request after the request took effect; 0 drops none.
	LoseAnswers int `json:"lose_answers"`
	// DelayMS delays the processing of every request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Refuse refuses every request.
	Refuse bool `json:"refuse"`
	// FailingWorkers lists the workers on which every task fails.
	FailingWorkers []string `json:"failing_workers"`
}

// Platform is a stand-in platform. It is safe for concurrent use.
type Platform struct {
	// Reboot is called once for each reboot, with the instance's name. It must not block.
	Reboot func(instance string)
	// UsageLag is how long after its start a task's usage is first reported. Default 500 ms.
	UsageLag time.Duration
	now      func() time.Time

	mu       sync.Mutex
	tasks    map[string]*task
	reboots  map[string]string // instance by request id
	draining map[string]bool   // by instance; a task's worker is an instance
	faults   Faults
	requests int
	starts   map[string]int // number of starts, by command
}

// task is one task. Whether it runs or has ended is computed from the current time.
type task struct {
	platformapi.Task
	startedAt       time.Time
	expiresAt       time.Time
	remaining       time.Duration // run time left at the start
	ranBefore       time.Duration // run time before the checkpoint that it started from
	usage           *laburnumv1.Resources
	failure         string
	endedAt         time.Time // set by a stop or a reboot
	endReason       string
	endCause        platformapi.EndCause
	savedCheckpoint string
}

// New returns a platform without tasks or faults.
func New(now func() time.Time) *Platform {
	return &Platform{
		UsageLag: defaultUsageLag,
		Reboot:   func(string) {},
		now:      now,
		tasks:    make(map[string]*task),
		reboots:  make(map[string]string),
		draining: make(map[string]bool),
		starts:   make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Starts returns the number of tasks started with each command.
func (p *Platform) Starts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := make(map[string]int, len(p.starts))
	for command, n := range p.starts {
		c[command] = n
	}
	return c
}

// start starts a task. It is idempotent: a known id isn't started again, and is an error with another worker or command.
func (p *Platform) start(t *platformapi.Task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.tasks[t.ID]; known != nil {
		if known.Worker != t.Worker || known.Command != t.Command {
			return Error.New("task %s is known with another worker or command", t.ID)
		}
		return nil
	}
	if p.draining[t.Worker] {
		return Error.New("worker %s is draining", t.Worker)
	}
	now := p.now()
	created := newTask(t, now)
	for _, failing := range p.faults.FailingWorkers {
		if failing == t.Worker {
			created.failure = "worker fails everything"
			created.remaining = 0
		}
	}
	p.starts[t.Command]++
	p.tasks[t.ID] = created
	return nil
}

func newTask(t *platformapi.Task, now time.Time) *task {
	behaviour, err := url.ParseQuery(t.Command)
	if err != nil {
		behaviour = url.Values{}
	}
	number := func(key string) float64 {
		v, _ := strconv.ParseFloat(behaviour.Get(key), 64)
		return v
	}
	run := defaultRunTime
	if behaviour.Has("seconds") {
		run = time.Duration(number("seconds") * float64(time.Second))
	}
	before, _ := time.ParseDuration(t.Checkpoint)
	return &task{
		Task:      *t,
		startedAt: now,
		expiresAt: now.Add(time.Duration(t.LeaseMS) * time.Millisecond),
		remaining: max(0, run-before),
		ranBefore: before,
		usage:     &laburnumv1.Resources{MilliCpu: uint32(number("milli_cpu")), MemoryBytes: uint64(number("memory_bytes"))},
		failure:   behaviour.Get("fail"),
	}
}

// computeEnd returns when the task ended and why. While it runs, ok is false and at is now.
func (t *task) computeEnd(now time.Time) (at time.Time, cause platformapi.EndCause, ok bool) {
	finish := t.startedAt.Add(t.remaining)
	switch {
	case !t.endedAt.IsZero() && t.endedAt.Before(finish):
		return t.endedAt, t.endCause, true
	case t.expiresAt.Before(finish) && !now.Before(t.expiresAt):
		return t.expiresAt, platformapi.CauseLease, true
	case !now.Before(finish):
		return finish, platformapi.CauseTask, true
	}
	return now, "", false
}

// failureReason returns why an ended task failed; empty if it succeeded.
func (t *task) failureReason(cause platformapi.EndCause) string {
	switch cause {
	case platformapi.CauseTask:
		return t.failure
	case platformapi.CauseLease:
		return "lease lapsed"
	}
	return t.endReason
}

// report returns a task's state. Usage is missing until lag has passed since the start.
func (t *task) report(now time.Time, lag time.Duration) platformapi.TaskReport {
	at, cause, ended := t.computeEnd(now)
	r := platformapi.TaskReport{
		ID: t.ID, Worker: t.Worker, State: platformapi.TaskRunning, Checkpoint: t.savedCheckpoint,
		RanMS: at.Sub(t.startedAt).Milliseconds(),
	}
	if now.Sub(t.startedAt) >= lag {
		r.Usage = t.usage
	}
	if ended {
		r.State = platformapi.TaskEnded
		r.Cause = cause
		r.Reason = t.failureReason(cause)
		r.Succeeded = r.Reason == ""
	}
	return r
}

// renew extends the leases of running tasks and reports on all ids. An unknown id can't be started afterwards.
func (p *Platform) renew(ids []string, lease time.Duration) []platformapi.TaskReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	reports := make([]platformapi.TaskReport, 0, len(ids))
	for _, id := range ids {
		t := p.tasks[id]
		if t == nil {
			p.tasks[id] = tombstone(id, now)
			reports = append(reports, platformapi.TaskReport{ID: id, State: platformapi.TaskUnknown})
			continue
		}
		if _, _, ended := t.computeEnd(now); !ended {
			t.expiresAt = now.Add(lease)
		}
		reports = append(reports, t.report(now, p.UsageLag))
	}
	return reports
}

// tombstone returns an ended task for an id that was renewed or stopped before its start, so that a late start is refused. Its
// run time is 1 ns, so that the stop at endedAt comes before the end of the run.
func tombstone(id string, now time.Time) *task {
	return &task{Task: platformapi.Task{ID: id}, startedAt: now, expiresAt: now, endedAt: now, remaining: 1, endReason: "never started", endCause: platformapi.CauseStopped}
}

// stop ends a task. An unknown id can't be started afterwards.
func (p *Platform) stop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	t := p.tasks[id]
	if t == nil {
		p.tasks[id] = tombstone(id, now)
		return
	}
	t.markEnded(now, platformapi.CauseStopped, "stopped")
}

func (t *task) markEnded(now time.Time, cause platformapi.EndCause, reason string) {
	if _, _, ended := t.computeEnd(now); !ended {
		t.endedAt, t.endCause, t.endReason = now, cause, reason
	}
}

// checkpoint saves the task's progress, as the run time so far.
func (p *Platform) checkpoint(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tasks[id]
	if t == nil {
		return Error.New("no task %s", id)
	}
	at, _, _ := t.computeEnd(p.now())
	t.savedCheckpoint = (t.ranBefore + at.Sub(t.startedAt)).String()
	return nil
}

// throttle limits the resources that a task uses.
func (p *Platform) throttle(id string, limit *laburnumv1.Resources) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tasks[id]
	if t == nil {
		return Error.New("no task %s", id)
	}
	t.usage = &laburnumv1.Resources{
		MilliCpu:    min(t.usage.MilliCpu, limit.GetMilliCpu()),
		MemoryBytes: min(t.usage.MemoryBytes, limit.GetMemoryBytes()),
	}
	return nil
}

// reboot reboots an instance and ends its tasks. A request id that was used before does nothing.
func (p *Platform) reboot(instance, id string) {
	p.mu.Lock()
	_, known := p.reboots[id]
	if !known {
		p.reboots[id] = instance
		p.endTasks(instance)
	}
	p.mu.Unlock()
	if !known {
		p.Reboot(instance)
	}
}

func (p *Platform) endTasks(worker string) {
	now := p.now()
	for _, t := range p.tasks {
		if t.Worker == worker {
			t.markEnded(now, platformapi.CauseWorker, "worker rebooted")
		}
	}
}

func (p *Platform) drain(instance string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining[instance] = on
}
