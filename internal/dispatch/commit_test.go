package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
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

// slowLog is a log whose replica leads and works on one command at a time, for submissionCost for each submission, and once for
// its cancellations.
type slowLog struct {
	*fakeLog
	turn     chan struct{}
	commands []string // those committed; guarded by turn
}

func newSlowLog() *slowLog {
	s := &slowLog{fakeLog: &fakeLog{engine: NewEngine(hclog.NewNullLogger())}, turn: make(chan struct{}, 1)}
	s.lead(1)
	return s
}

// recorded returns the commands after the first n.
func (s *slowLog) recorded(n int) []string {
	s.turn <- struct{}{}
	defer func() { <-s.turn }()
	return slices.Clone(s.commands[n:])
}

func (s *slowLog) ProposeLocal(ctx context.Context, command []byte) ([]byte, uint64, error) {
	select {
	case s.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, replica.ErrOutcomeUnknown
	}
	defer func() { <-s.turn }()
	parts := bytes.Count(command, []byte(`"Spec"`)) + bytes.Count(command, []byte(`"Cancel`))
	time.Sleep(time.Duration(parts) * submissionCost)
	s.commands = append(s.commands, string(command))
	return s.fakeLog.ProposeLocal(ctx, command)
}

// leadInBubble runs a dispatcher without servers in virtual time until stop is called.
func leadInBubble(t *testing.T, log *slowLog, format func(context.Context) int) (d *Dispatcher, stop func()) {
	began := time.Now()
	restore := boottime.SetTestClock(func() time.Duration { return time.Hour + time.Since(began) })
	d = New(Options{
		Engine: log.engine, Replica: log, Servers: newFakeServers(), Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
		ElectionTime: time.Hour, MemberFormat: format,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- d.Run(ctx) }()
	time.Sleep(time.Second)
	_, err := d.Do(ctx, &Call{Op: OpPutConfig, Config: rigConfig()})
	must.NoError(t, err)
	return d, func() {
		cancel()
		<-done
		restore()
	}
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
		log := newSlowLog()
		d, stop := leadInBubble(t, log, nil)
		if lists {
			log.engine.ledger.Format = ledger.FormatLists
		}
		var accepted, refused atomic.Int64
		for i := range seconds * perSecond {
			time.Sleep(time.Second / time.Duration(perSecond))
			go func() {
				asked := time.Now()
				reply, err := d.Do(context.Background(), &Call{Op: OpSubmit, Host: "h", Path: fmt.Sprint("/q/", i), Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}})
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
		stop()
	})
	return good, rejected
}

// Guards against rejections by a leader that isn't behind: few submissions that a slow commit delays, or a plan that waits only
// for the pause between plans.
func TestSlowCommitIsNoOverload(t *testing.T) {
	l, second := &load{}, time.Second
	backlogAt := func(now time.Duration) time.Duration {
		w, backlog := l.admit(now)
		if w != nil {
			l.finish(w)
		}
		return backlog
	}
	for range minWaitingSubmissions - 1 {
		l.admit(time.Hour)
	}
	must.EqOp(t, 0, backlogAt(time.Hour+5*second))
	l.admit(time.Hour + 5*second)
	must.EqOp(t, 5*second, backlogAt(time.Hour+5*second))
	l = &load{}
	l.planDue(time.Hour)
	must.EqOp(t, 0, l.planBegins(time.Hour+second, time.Hour+second))
	for n := range 2 { // one late plan is a pause of the process, two are a backlog
		l.planDue(time.Hour)
		must.EqOp(t, maxBacklog, l.planBegins(time.Hour+maxBacklog, time.Hour))
		must.EqOp(t, time.Duration(n)*maxBacklog, backlogAt(time.Hour+maxBacklog))
	}
	l.planBegins(time.Hour, time.Hour)
	l.planDue(time.Hour)
	must.EqOp(t, 0, backlogAt(time.Hour+2*maxBacklog-1))
	must.EqOp(t, maxBacklog, backlogAt(time.Hour+2*maxBacklog)) // no plan begins at all
	must.EqOp(t, 2*second, overloadRetry(maxBacklog, 0))
	must.EqOp(t, 9*second, overloadRetry(time.Minute, 1))
}

// Guards against lists in the log while a member of an earlier version, which ignores them, may read it, and against an entry
// for each submission afterwards. Replicas that decode the entries must hold the leader's state.
func TestListsWaitForAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, log := context.Background(), newSlowLog()
		var format atomic.Int64
		d, stop := leadInBubble(t, log, func(context.Context) int { return int(format.Load()) })
		const jobs = 50
		submit := func(prefix string) (entries int, all string) {
			before := len(log.recorded(0))
			var group sync.WaitGroup
			for i := range jobs {
				group.Go(func() {
					path := fmt.Sprint("/q/", prefix, i)
					reply, err := d.Do(ctx, &Call{Op: OpSubmit, Host: "h", Path: path, Job: &ledger.Submission{Spec: "\xff<>", Steps: []ledger.Step{small}}})
					must.NoError(t, err)
					must.EqOp(t, OK, reply.Outcome)
					reply, err = d.Do(ctx, &Call{Op: OpCancel, Host: "h", Path: path + "-unknown"})
					must.NoError(t, err)
					must.EqOp(t, NotFound, reply.Outcome)
				})
			}
			group.Wait()
			commands := log.recorded(before)
			return len(commands), strings.Join(commands, "")
		}
		time.Sleep(3 * time.Second)
		entries, all := submit("single")
		must.EqOp(t, 2*jobs, entries)
		must.StrNotContains(t, all, `"Submits"`)
		must.StrNotContains(t, all, `"Cancels"`)
		format.Store(ledger.FormatLists)
		time.Sleep(3 * time.Second)
		entries, all = submit("listed")
		must.Less(t, jobs, entries)
		must.StrContains(t, all, `"Submits"`)
		must.StrContains(t, all, `"Cancels"`)
		stop()
		follower := NewEngine(hclog.NewNullLogger())
		for i, command := range log.recorded(0) {
			follower.Apply(uint64(i+1), []byte(command))
		}
		want, err := log.engine.Snapshot()
		must.NoError(t, err)
		got, err := follower.Snapshot()
		must.NoError(t, err)
		must.EqOp(t, string(want), string(got))
		must.EqOp(t, 0, len(log.engine.proposals))
	})
}

// Guards against an unknown outcome, or a missing Retry-After, for a call that the log certainly didn't take.
func TestCallIsRejectedWhileLogIsFull(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	r.log.setFull(true)
	reply := r.do(&Call{Op: OpSubmit, Host: "h", Path: "/q/j", Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}})
	must.EqOp(t, Overload, reply.Outcome)
	must.Positive(t, reply.RetryAfterMS)
	config := rigConfig()
	config.Version++
	reply = r.do(&Call{Op: OpPutConfig, Config: config})
	must.EqOp(t, Unavailable, reply.Outcome)
	must.Positive(t, reply.RetryAfterMS)
	r.log.setFull(false)
	r.submit("j", small)
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
}

// Guards against a packed configuration in the log while a member of the last release, which ignores it, may read it. A replica that
// decodes the entries, or restores a snapshot between them, must hold the leader's state.
func TestPackedConfigurationWaitsForAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newSlowLog()
		var format atomic.Int64
		format.Store(ledger.FormatPackedConfig - 1)
		d, stop := leadInBubble(t, log, func(context.Context) int { return int(format.Load()) })
		put := func(version int64) string {
			before := len(log.recorded(0))
			config := rigConfig()
			config.Version, config.Raw = version, bytes.Repeat(fmt.Appendf(nil, `{"version":%d}`, version), 4000)
			reply, err := d.Do(context.Background(), &Call{Op: OpPutConfig, Config: config})
			must.NoError(t, err)
			must.EqOp(t, OK, reply.Outcome)
			return strings.Join(log.recorded(before), "")
		}
		time.Sleep(3 * time.Second)
		must.StrContains(t, put(2), `"Config":{"Version":2`)
		format.Store(ledger.FormatPackedConfig)
		time.Sleep(3 * time.Second)
		packed := put(3)
		must.StrContains(t, packed, `"PackedConfig":`)
		must.Less(t, 4000, len(packed))
		reply, err := d.Do(context.Background(), &Call{Op: OpGetConfig})
		must.NoError(t, err)
		must.StrContains(t, string(reply.Config), `{"version":3}`)
		stop()
		follower := NewEngine(hclog.NewNullLogger())
		for i, command := range log.recorded(0) {
			follower.Apply(uint64(i+1), []byte(command))
			state, err := follower.Snapshot()
			must.NoError(t, err)
			follower = NewEngine(hclog.NewNullLogger())
			must.NoError(t, follower.Restore(uint64(i+1), state))
		}
		want, err := log.engine.Snapshot()
		must.NoError(t, err)
		got, err := follower.Snapshot()
		must.NoError(t, err)
		must.EqOp(t, string(want), string(got))
	})
}

// Guards against a configuration that is acknowledged and then ends every replica for want of memory.
func TestConfigurationTooLargeForMemoryIsRejected(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	r.d.limits.ConfigBytes = 1000
	r.d.endSession("the limit has changed")
	r.until(r.d.Leads)
	config := rigConfig()
	config.Version, config.Raw = 2, make([]byte, 1001)
	entries := r.log.index
	reply := r.do(&Call{Op: OpPutConfig, Config: config})
	must.EqOp(t, Invalid, reply.Outcome)
	must.StrContains(t, reply.Reason, "1001 bytes")
	must.StrContains(t, reply.Reason, "memory for 1000")
	must.EqOp(t, entries, r.log.index, must.Sprint("nothing is committed"))
	config = rigConfig()
	config.Version, config.Raw = 2, make([]byte, 1000)
	must.EqOp(t, OK, r.do(&Call{Op: OpPutConfig, Config: config}).Outcome)
}

// Guards against jobs that fill the memory of every replica while they wait: a submission is rejected at once instead.
func TestSubmissionIsRejectedWhileJobsFillMemory(t *testing.T) {
	r := newRig(t, newFakeServers())
	r.d.limits.RecordBytes = 5000
	r.d.endSession("the limit has changed")
	r.until(r.d.Leads)
	accepted := 0
	submit := func() *Reply {
		path := fmt.Sprint("/q/", accepted)
		return r.do(&Call{Op: OpSubmit, Host: "h", Path: path, Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}})
	}
	reply := submit()
	for ; reply.Outcome == OK; reply = submit() {
		accepted++
		must.Less(t, 20, accepted)
	}
	must.EqOp(t, Overload, reply.Outcome)
	must.Positive(t, reply.RetryAfterMS)
	must.Positive(t, accepted)
}

// Guards against entries that hold far more than the specs that are counted: submissions are put together by all their texts.
func TestEntryOfSubmissionsIsBoundedInBytes(t *testing.T) {
	b := &batcher{}
	for range 20 {
		job := &ledger.Submission{Steps: []ledger.Step{{Count: 1, Label: strings.Repeat("<", 100_000)}}}
		b.queued[classCallers] = append(b.queued[classCallers], &part{command: &ledger.Command{Submit: job}})
	}
	for taken := 0; taken < 20; {
		batch := b.takeLocked()
		must.Between(t, 1, len(batch), 3)
		taken += len(batch)
	}
}
