package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

var (
	schedules    = flag.Int("schedules", 40, "number of schedules that TestSchedules plays")
	firstSeed    = flag.Uint64("schedule", 1, "seed of the first schedule")
	logSchedules = flag.Bool("schedulelog", false, "print the log of the control instances")
)

const (
	// faultsUntil is when faults end; the work that is left then has settled for its end.
	faultsUntil = 25 * time.Second
	settleFor   = 60 * time.Second
)

// TestSchedules plays jobs through crashes, silent servers, late and lost orders, drains and changes of the leader, all
// drawn by a seed, and checks what callers rely on: no second run, order, attempts, limits, nothing unasked, no state that
// isn't so, and that all work ends once the faults do.
func TestSchedules(t *testing.T) {
	for n := range *schedules {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { playSchedule(t, seed) }) })
	}
}

func playSchedule(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	w := newWorld(ctx, seed)
	if *logSchedules {
		w.output = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Info})
	}
	restore := boottime.Substitute(w.now)
	defer restore()
	draw := rand.New(rand.NewPCG(seed, 2))
	for range 3 {
		w.addInstance()
	}
	w.elect(0)
	w.configure(draw)
	guards := draw.IntN(2) == 0
	for n := range 3 + draw.IntN(3) {
		w.addServer(fmt.Sprint("s", n), 8000, guards)
	}
	for n := range 4 + draw.IntN(6) {
		w.spawn(w.handIn(fmt.Sprint("j", n), draw))
	}
	for range 2 + draw.IntN(8) {
		w.spawn(w.fault(draw))
	}
	_ = sleepFor(ctx, faultsUntil+5*time.Second)
	w.finish(t, seed)
	cancel()
	w.group.Wait()
}

func (w *world) configure(draw *rand.Rand) {
	c := rigConfig()
	w.mu.Lock()
	if draw.IntN(2) == 0 {
		w.teamCPU = 12000
	}
	w.mu.Unlock()
	c.Teams = []accepted.Team{{Name: "t", Keys: []string{"key"}, CPU: w.teamCPU}}
	w.do(w.ctx, &Call{Op: OpPutConfig, Config: c})
}

// handIn draws a job and returns what its submitter does.
func (w *world) handIn(id string, draw *rand.Rand) func() {
	s := &ledger.Submission{ID: id, Spec: "spec of " + id}
	for n := range 1 + draw.IntN(3) {
		step := ledger.Step{
			Count: 1 + draw.IntN(5), Need: ledger.Resources{CPU: int64(500 + draw.IntN(3000)), MemMB: 100}, EstimateMS: int64(100 + draw.IntN(2500)),
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		switch draw.IntN(6) {
		case 0:
			step.Gang, step.Count, step.Need.CPU = true, min(step.Count, 3), min(step.Need.CPU, 2500)
		case 1:
			step.Spread = 2
		}
		s.Steps = append(s.Steps, step)
	}
	switch kind := draw.IntN(5); {
	case kind == 0 && !w.lasting:
		w.lasting = true // one such job leaves room for the others within the team's limit
		s.Steps = s.Steps[:1]
		s.Steps[0] = ledger.Step{Count: 1 + draw.IntN(3), Need: ledger.Resources{CPU: 800}, EstimateMS: 100, Lasting: true, Spread: 2}
	case kind == 1:
		s.Times, s.EveryMS, s.FirstMS = 2, 1500, time.Now().Add(8*time.Second).UnixMilli()
	}
	at, cancelAfter := time.Duration(draw.IntN(15000))*time.Millisecond, time.Duration(0)
	if draw.IntN(4) == 0 {
		cancelAfter = time.Duration(1+draw.IntN(6000)) * time.Millisecond
	}
	j := &vjob{s: s, tasks: make(map[ledger.TaskID]*vtask)}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	return func() {
		if sleepFor(w.ctx, at) != nil {
			return
		}
		w.mu.Lock()
		j.attempts++
		w.mu.Unlock()
		if w.do(w.ctx, &Call{Op: OpSubmit, Host: "h", Path: "/q/" + id, Key: "key", Job: s}) == nil {
			return
		}
		w.mu.Lock()
		j.accepted = true
		w.mu.Unlock()
		if cancelAfter > 0 {
			w.cancelJob(id, j, cancelAfter)
		}
	}
}

func (w *world) cancelJob(id string, j *vjob, after time.Duration) {
	_ = sleepFor(w.ctx, after)
	if r := w.do(w.ctx, &Call{Op: OpCancel, Host: "h", Path: "/q/" + id, Key: "key"}); r == nil {
		return
	}
	w.mu.Lock()
	j.cancelled = w.now()
	w.mu.Unlock()
}

// fault draws a fault and returns what carries it out.
func (w *world) fault(draw *rand.Rand) func() {
	at := time.Duration(1000+draw.IntN(15000)) * time.Millisecond
	length := time.Duration(300+draw.IntN(7000)) * time.Millisecond
	kind, server, share := draw.IntN(8), draw.IntN(len(w.servers)), 0.1+0.4*draw.Float64()
	s := w.servers[fmt.Sprint("s", server)]
	return func() {
		if sleepFor(w.ctx, at) != nil {
			return
		}
		switch kind {
		case 0:
			w.loseLeader(true, length)
		case 1:
			w.loseLeader(false, length)
		case 2:
			s.crash(length)
		case 3:
			w.during(length, func(on bool) { s.cut = on })
		case 4:
			w.during(length, func(on bool) { w.lateShare = pick(on, share) })
		case 5:
			w.during(length, func(on bool) { w.loseShare = pick(on, share) })
		case 6:
			s.leave(length)
		case 7:
			w.during(length, func(on bool) { s.cut = on })
			s.crash(length)
		}
	}
}

// leave announces that the server leaves, and ends it later; another life of it follows.
func (s *vserver) leave(after time.Duration) {
	s.w.mu.Lock()
	s.draining = true
	s.w.mu.Unlock()
	if sleepFor(s.w.ctx, 2*time.Second+after) != nil {
		return
	}
	s.w.mu.Lock()
	s.draining = false
	s.w.mu.Unlock()
	s.crash(500 * time.Millisecond)
}

func pick(on bool, share float64) float64 {
	if on {
		return share
	}
	return 0
}

// during switches something on for a while.
func (w *world) during(length time.Duration, set func(on bool)) {
	w.mu.Lock()
	set(true)
	w.mu.Unlock()
	_ = sleepFor(w.ctx, length)
	w.mu.Lock()
	set(false)
	w.mu.Unlock()
}

// finish waits until all work has ended and tells what was broken.
func (w *world) finish(t *testing.T, seed uint64) {
	var open []string
	for end := w.now() + settleFor; w.now() < end; {
		if open = w.unfinished(); len(open) == 0 {
			break
		}
		_ = sleepFor(w.ctx, 500*time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	must.SliceEmpty(t, w.broken, must.Sprintf("schedule %d:\n%s", seed, strings.Join(w.broken, "\n")))
	must.SliceEmpty(t, open, must.Sprintf("schedule %d: still open:\n%s", seed, strings.Join(open, "\n")))
}

// unfinished returns the jobs that have not come to what they are owed, and checks their states.
func (w *world) unfinished() (open []string) {
	for id, j := range w.jobs {
		reply := w.do(w.ctx, &Call{Op: OpState, Host: "h", Path: "/q/" + id, Key: "key"})
		w.mu.Lock()
		w.settleLocked()
		switch {
		case reply.State == ledger.Completed:
			if left := j.undone(); len(left) > 0 {
				w.violated("MIXED: %s is said to be completed without %v", id, left)
			}
		case reply.State == ledger.Cancelled && j.cancelled > 0:
			if n := w.runningOf(id); n > 0 {
				open = append(open, fmt.Sprintf("%s: %d runs of a cancelled job", id, n))
			}
		case reply.State == ledger.Failed:
			if !j.mayFail() {
				w.violated("LOST: %s is said to have failed", id)
			}
		case j.s.Steps[0].Lasting:
			if n := w.runningOf(id); n < j.s.Steps[0].Count {
				open = append(open, fmt.Sprintf("%s: %d lasting tasks run", id, n))
			}
		default:
			open = append(open, fmt.Sprintf("%s: %s %s, steps %+v", id, reply.Outcome, reply.State, j.s.Steps))
		}
		w.mu.Unlock()
	}
	return open
}

func (w *world) runningOf(id string) (n int) {
	for _, s := range w.servers {
		for key := range s.running {
			if s.up && key.task.Job == id {
				n++
			}
		}
	}
	return n
}

// undone returns the tasks of the job that have not ended done.
func (j *vjob) undone() (left []ledger.TaskID) {
	for k := range max(1, j.s.Times) {
		for step := range j.s.Steps {
			for index := range j.s.Steps[step].Count {
				id := ledger.TaskID{Job: j.s.ID, K: k, Step: step, Index: index}
				if t := j.tasks[id]; t == nil || !t.done {
					left = append(left, id)
				}
			}
		}
	}
	return left
}

// mayFail reports whether a task has failed as often as it may.
func (j *vjob) mayFail() bool {
	fails := make(map[ledger.TaskID]int)
	for id, t := range j.tasks {
		step := id
		if j.s.Steps[id.Step].Gang {
			step.Index = 0
		}
		if fails[step] += t.failsNoted; fails[step] >= rigAttempts {
			return true
		}
	}
	return false
}
