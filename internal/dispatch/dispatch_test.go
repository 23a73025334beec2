package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

func key(job string, index, run int) runKey {
	return runKey{ledger.TaskID{Job: job, Index: index}, run}
}

var small = ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000, MemMB: 100}, EstimateMS: 100}

func TestJobRunsToItsEnd(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	must.EqOp(t, ledger.Running, r.state("j"))
	f.finish("a", key("j", 0, 1), ledger.EndDone)
	r.until(func() bool { return r.state("j") == ledger.Completed })
	// The end is acknowledged, so that the server forgets it.
	r.until(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.servers["a"].finished) == 0
	})
}

func TestSubmittedTwiceIsOneJob(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	r.submit("j", small)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	f.finish("a", key("j", 0, 1), ledger.EndDone)
	r.until(func() bool { return r.state("j") == ledger.Completed })
	r.submit("j", small)
	must.EqOp(t, ledger.Completed, r.state("j"))
	must.EqOp(t, 1, len(f.starts))
}

func TestCancelStopsWhatRuns(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	must.EqOp(t, OK, r.do(&Call{Op: OpCancel, Host: "h", Path: "/q/j"}).Outcome)
	r.until(func() bool { return len(f.runs("a")) == 0 })
	must.EqOp(t, ledger.Cancelled, r.state("j"))
}

// An order without an answer may be carried out later: the run is stopped before the task starts elsewhere.
func TestUnansweredStartIsAdoptedOrStopped(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	f.mute["a"] = true
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	f.finish("a", key("j", 0, 1), ledger.EndDone)
	r.until(func() bool { return r.state("j") == ledger.Completed })
	must.EqOp(t, 1, len(f.starts))
}

// A server that answers nothing keeps its runs until its leases have lapsed; a try to renew them doesn't count
// against that for ever.
func TestRunsOfASilentServerStartElsewhereOnceTheyLapsed(t *testing.T) {
	f := newFakeServers("a", "b")
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a"))+len(f.runs("b")) == 1 })
	at, other := "a", "b"
	if len(f.runs("b")) == 1 {
		at, other = "b", "a"
	}
	f.mu.Lock()
	f.silent[at] = true
	f.mu.Unlock()
	r.until(func() bool { return len(f.runs(other)) == 1 })
	f.mu.Lock()
	defer f.mu.Unlock()
	must.Greater(t, f.servers[at].deadline, f.clock())
}

// Another incarnation at the address means that the one that was meant is gone: it gets nothing more.
func TestServerReplacedAtItsAddressGetsNothingMore(t *testing.T) {
	f := newFakeServers("a", "b")
	f.elsewhere["a"] = true
	r := newRig(t, f)
	for _, id := range []string{"j1", "j2", "j3"} {
		r.submit(id, small)
	}
	r.until(func() bool { return len(f.runs("b")) == 3 })
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	for _, id := range []string{"j1", "j2", "j3"} {
		_, task := r.engine.ledger.Task(ledger.TaskID{Job: id})
		must.LessEq(t, 2, task.Run)
	}
}

// A server that has no room is left alone for a while instead of being asked again at once.
func TestRefusalIsNotRepeatedAtOnce(t *testing.T) {
	f := newFakeServers("a")
	f.servers["a"].room = 1
	r := newRig(t, f)
	r.submit("j", ledger.Step{Count: 2, Need: ledger.Resources{CPU: 1000}})
	r.until(func() bool { return len(f.runs("a")) == 1 })
	first := f.runs("a")[0]
	f.finish("a", first, ledger.EndDone)
	r.until(func() bool { return len(f.runs("a")) == 1 && f.runs("a")[0] != first })
	must.Less(t, 5, len(f.starts))
}

func TestNewLeaderTakesOver(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	r.submit("j", ledger.Step{Count: 2, Need: ledger.Resources{CPU: 1000}})
	r.until(func() bool { return len(f.runs("a")) == 2 })
	f.mu.Lock()
	delete(f.servers["a"].running, key("j", 1, 1)) // a run of which the server knows nothing
	f.mu.Unlock()
	r.log.lead(2)
	r.until(func() bool { return len(f.runs("a")) == 2 })
	f.finish("a", key("j", 0, 1), ledger.EndDone)
	f.finish("a", key("j", 1, 2), ledger.EndDone)
	r.until(func() bool { return r.d.Leads() && r.state("j") == ledger.Completed })
	must.EqOp(t, 3, len(f.starts))
}

// The fate of an order without an answer is asked for at once, not when the hold under way ends: the hold that
// follows waits for nothing.
func TestFateOfAnUnansweredOrderIsAskedAtOnce(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	r.submit("running", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	r.until(func() bool { return f.waits() }) // a hold waits for its end
	f.mu.Lock()
	f.mute["a"] = true
	began := len(f.holds)
	f.mu.Unlock()
	r.submit("unanswered", small)
	r.until(func() bool { return len(f.runs("a")) == 2 })
	r.until(func() bool { return f.lastHoldAfter(began) })
	f.finish("a", key("unanswered", 0, 1), ledger.EndDone)
	r.until(func() bool { return r.state("unanswered") == ledger.Completed })
}

// A server that failed to answer and holds nothing is asked again when it announces itself, and gets work again.
func TestIdleServerThatFailedIsAskedAgain(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	f.mu.Lock()
	f.silent["a"] = true
	f.mu.Unlock()
	r.submit("j", small)
	r.until(func() bool { // its order was not answered, its lease lapsed, and nobody holds it any more
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return len(r.engine.ledger.LiveOn("a")) == 0 && r.d.session.Load().fleet.Get("a").FailedCalls > 0 &&
			r.d.session.Load().holdLoops["a"] == nil
	})
	f.mu.Lock()
	f.silent["a"] = false
	f.mu.Unlock()
	r.until(func() bool { return len(f.runs("a")) == 1 })
}

// What isn't allowed by the configuration in force is refused and never runs; a withdrawn key is void from the
// acknowledgement on.
func TestOnlyKeysInForceAreServed(t *testing.T) {
	f := newFakeServers("a")
	r := newRig(t, f)
	config := func(version int64, keys ...string) *Call {
		c := rigConfig()
		c.Version = version
		c.Queues[0].Open = false
		c.Teams = []accepted.Team{{Name: "t", Keys: keys}}
		return &Call{Op: OpPutConfig, Config: c}
	}
	submit := func(id, key string) Outcome {
		job := &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}
		return r.do(&Call{Op: OpSubmit, Host: "h", Path: "/q/" + id, Key: key, Job: job}).Outcome
	}
	must.EqOp(t, OK, r.do(config(2, "old", "new")).Outcome)
	must.EqOp(t, OK, submit("j1", "old"))
	must.EqOp(t, NoKey, submit("j2", ""))
	must.EqOp(t, NoKey, submit("j3", "never"))
	must.EqOp(t, NoQueue, r.do(&Call{Op: OpSubmit, Host: "other", Path: "/q/j4", Key: "old", Job: &ledger.Submission{}}).Outcome)
	must.EqOp(t, OK, r.do(config(3, "new")).Outcome)
	must.EqOp(t, NoKey, submit("j5", "old"))
	must.EqOp(t, NoKey, r.do(&Call{Op: OpState, Host: "h", Path: "/q/j1", Key: "old"}).Outcome)
	must.EqOp(t, OK, submit("j6", "new"))
	must.EqOp(t, OK, r.do(config(2, "old", "new")).Outcome) // an older change that arrives again brings nothing back
	must.EqOp(t, NoKey, submit("j7", "old"))
	r.until(func() bool { return len(f.runs("a")) == 2 })
	must.EqOp(t, 2, len(f.starts))
}
