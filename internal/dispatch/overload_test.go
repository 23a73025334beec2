package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/uber-go/tally/v4"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/process/replica"
	"laburnumrouter/internal/request/ledger"
)

// submissionCost is the time that a leader with a slowLog takes for a submission: it carries 250 a second.
const submissionCost = 4 * time.Millisecond

// slowLog is a log whose replica works on one command at a time, for submissionCost for each submission in it.
type slowLog struct {
	*fakeLog
	turn chan struct{}
}

func (s *slowLog) ProposeLocal(ctx context.Context, command []byte) ([]byte, uint64, error) {
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, replica.ErrOutcomeUnknown
	}
	defer func() { <-s.turn }()
	time.Sleep(time.Duration(bytes.Count(command, []byte(`"Spec"`))) * submissionCost)
	return s.fakeLog.ProposeLocal(ctx, command)
}

// Guards against a leader that accepts more than it can carry: each submission would then wait behind the others until its
// caller has given up, and none would be of use.
func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	for _, lists := range []bool{false, true} {
		t.Run(fmt.Sprint("lists ", lists), func(t *testing.T) {
			carried, _ := goodput(t, 230, lists)
			must.Greater(t, 0.99*230, carried)
			atDouble, rejected := goodput(t, 460, lists)
			must.GreaterEq(t, carried, atDouble, must.Sprint("rejected: ", rejected))
			must.Greater(t, 150, rejected)
		})
	}
}

// goodput submits jobs at a rate for 20 s, and returns how many a second were accepted within the time that an entry waits, and
// how many were rejected at once.
func goodput(t *testing.T, perSecond int, lists bool) (good, rejected float64) {
	const seconds, patience = 20, 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		defer boottime.SetTestClock(func() time.Duration { return time.Hour + time.Since(began) })()
		engine := NewEngine(hclog.NewNullLogger())
		log := &slowLog{&fakeLog{engine: engine}, make(chan struct{}, 1)}
		d := New(Options{Engine: engine, Replica: log, Servers: newFakeServers(), Log: hclog.NewNullLogger(), Scope: tally.NoopScope, ElectionTime: time.Hour})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = d.Run(ctx)
		}()
		log.lead(1)
		time.Sleep(time.Second)
		_, err := d.Do(ctx, &Call{Op: OpPutConfig, Config: rigConfig()})
		must.NoError(t, err)
		if lists {
			engine.ledger.Format = ledger.FormatLists
		}
		var accepted, refused atomic.Int64
		for i := range seconds * perSecond {
			time.Sleep(time.Second / time.Duration(perSecond))
			go func() {
				asked := time.Now()
				reply, err := d.Do(ctx, &Call{Op: OpSubmit, Host: "h", Path: fmt.Sprint("/q/", i), Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}})
				switch took := time.Since(asked); {
				case err == nil && reply.Outcome == OK && took < patience:
					accepted.Add(1)
				case err == nil && reply.Outcome == Overload && took == 0 && reply.RetryAfterMS >= 2000:
					refused.Add(1)
				}
			}()
		}
		good, rejected = float64(accepted.Load())/seconds, float64(refused.Load())/seconds
		time.Sleep(5 * time.Second)
		cancel()
		<-done
	})
	return good, rejected
}

// Guards against rejections by a leader that isn't behind: few submissions that a slow commit delays, or a plan that waits only
// for the pause between plans.
func TestSlowCommitIsNoOverload(t *testing.T) {
	l := &load{}
	for range minWaitingSubmissions - 1 {
		l.admit(time.Hour)
	}
	last, backlog := l.admit(time.Hour + 5*time.Second)
	must.NotNil(t, last)
	must.EqOp(t, 0, backlog)
	_, backlog = l.admit(time.Hour + 5*time.Second)
	must.EqOp(t, 5*time.Second, backlog)
	l.finish(last)
	l.planDue(time.Hour)
	must.EqOp(t, 0, l.planBegins(time.Hour+time.Second, time.Hour+time.Second))
	last, _ = l.admit(time.Hour + 6*time.Second)
	must.NotNil(t, last)
	l.finish(last)
	for n := range 2 { // one late plan is a pause of the process, two are a backlog
		l.planDue(time.Hour)
		must.EqOp(t, maxBacklog, l.planBegins(time.Hour+maxBacklog, time.Hour))
		last, backlog = l.admit(time.Hour + maxBacklog)
		must.EqOp(t, time.Duration(n)*maxBacklog, backlog)
		if last != nil {
			l.finish(last)
		}
	}
	l.planBegins(time.Hour, time.Hour)
	l.planDue(time.Hour)
	last, _ = l.admit(time.Hour + 2*maxBacklog - 1)
	must.NotNil(t, last)
	l.finish(last)
	_, backlog = l.admit(time.Hour + 2*maxBacklog) // no plan begins at all
	must.EqOp(t, maxBacklog, backlog)
	must.EqOp(t, 2*time.Second, overloadRetry(maxBacklog, 0))
	must.EqOp(t, 9*time.Second, overloadRetry(time.Minute, 1))
}
