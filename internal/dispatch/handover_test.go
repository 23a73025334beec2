package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// Guards against a session that acts with the permission of a later term: its instance lost the leadership, another one led,
// and the instance was elected again before the session had noticed.
func TestLeaseOfLaterTermDoesNotCoverSession(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	s := r.d.session.Load()
	must.True(t, s.leaderLease.Held())
	r.log.lead(9)
	r.until(func() bool { return r.d.leaderLease.term.Load() == 9 })
	must.True(t, r.d.leaderLease.Held())
	must.False(t, s.leaderLease.Held())
}

// pausedStarts delivers the first start order only after pause, as if the process had been paused between its last check of
// the leader lease and the call.
type pausedStarts struct {
	*fakeServers
	pause   time.Duration
	paused  atomic.Bool
	answers chan StartAnswer
}

func (p *pausedStarts) Start(ctx context.Context, to Target, o StartOrder) (StartAnswer, int64, error) {
	if p.paused.Swap(true) {
		return p.fakeServers.Start(ctx, to, o)
	}
	time.Sleep(p.pause)
	answer, _, _ := p.fakeServers.Start(context.Background(), to, o)
	p.answers <- answer
	return 0, 0, errNoAnswer
}

// A start order that a paused leader sends after its permission has expired starts nothing: the next leader has raised the
// fencing token, or the order's deadline on the server's clock has passed. The task runs once.
func TestStartAfterPauseStartsNothing(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 8 * time.Second} {
		inVirtualTime(t, func(t *testing.T) {
			p := &pausedStarts{pause: pause, answers: make(chan StartAnswer, 1)}
			r, _ := newWaveRig(t, 1, func(f *fakeServers) Servers {
				p.fakeServers = f
				return p
			})
			r.submit("j", small)
			r.until(p.paused.Load)
			// The old session can't end before its call does, so the next leader is another dispatcher on the same log.
			r.log.lead(2)
			next := New(Options{
				Name: "c2", Engine: r.engine, Replica: r.log, Servers: r.servers, Log: r.d.log, Scope: r.d.stats.scope, ElectionTime: time.Hour,
			})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = next.Run(ctx)
			}()
			r.until(next.Leads)
			must.EqOp(t, StartFenced, <-p.answers)
			time.Sleep(10 * time.Second)
			cancel()
			<-done
			must.LessEq(t, 1, len(r.servers.runs("s0")))
			must.SliceLen(t, 2, r.servers.starts) // the late order and the one of the next leader
		})
	}
}

// Guards against running work that is started again elsewhere, or given up, because its server was silent or slow to report
// for less than its lease.
func TestSilentServerKeepsItsRuns(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newRig(t, newFakeServers("a", "b"))
		r.submit("j", small)
		r.until(func() bool { return r.servers.totalRuns() == 1 })
		busy := "a"
		if len(r.servers.runs("b")) == 1 {
			busy = "b"
		}
		r.servers.mu.Lock()
		r.servers.silent[busy] = true
		r.servers.mu.Unlock()
		time.Sleep(shortLeaseTime - holdWait)
		r.servers.mu.Lock()
		r.servers.silent[busy] = false
		r.servers.mu.Unlock()
		time.Sleep(5 * time.Second)
		must.Eq(t, []runKey{key("j", 0, 1)}, r.servers.runs(busy))
		must.SliceLen(t, 1, r.servers.starts)
		must.EqOp(t, ledger.Running, r.state("j"))
		r.servers.finish(busy, key("j", 0, 1), ledger.EndDone)
		r.until(func() bool { return r.state("j") == ledger.Completed })
	})
}

// Guards against a run that is given up because of a report from before its start, which arrived late.
func TestLateReportFromBeforeStartLosesNothing(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	asked := boottime.Now()
	r.submit("j", small)
	r.until(func() bool { return r.servers.totalRuns() == 1 && r.state("j") == ledger.Running })
	s := r.d.session.Load()
	h := &holdLoop{session: s, serverID: "a", born: 1}
	h.processReport(holdCall{}, &HoldReport{Born: 1, ClockMS: r.servers.clock()}, asked, boottime.Now())
	time.Sleep(100 * time.Millisecond)
	must.SliceLen(t, 1, r.servers.starts)
	must.EqOp(t, ledger.Running, r.state("j"))
}

// Guards against a job that runs twice, or is refused, after the answer to its submission or the result of a commit was lost.
func TestLostAnswerNeitherRepeatsNorRefuses(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	call := &Call{Op: OpSubmit, Host: "h", Path: "/q/j", Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}}
	r.log.loseNext()
	must.EqOp(t, OutcomeUnknown, r.do(call).Outcome)
	for range 3 {
		must.EqOp(t, OK, r.do(call).Outcome)
	}
	r.until(func() bool { return r.servers.totalRuns() == 1 })
	r.servers.finish("a", key("j", 0, 1), ledger.EndDone)
	r.until(func() bool { return r.state("j") == ledger.Completed })
	must.EqOp(t, OK, r.do(call).Outcome)
	r.log.loseNext()
	must.EqOp(t, OK, r.do(&Call{Op: OpCancel, Host: "h", Path: "/q/j"}).Outcome, must.Sprint("a job that is over needs no commit"))
	must.SliceLen(t, 1, r.servers.starts)
}
