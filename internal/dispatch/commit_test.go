package dispatch

import (
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
	"laburnumrouter/internal/request/ledger"
)

// recordingLog records the commands of a fakeLog that takes 10 ms a commit.
type recordingLog struct {
	*fakeLog
	mu       sync.Mutex
	commands []string
}

func (r *recordingLog) ProposeLocal(ctx context.Context, command []byte) ([]byte, uint64, error) {
	time.Sleep(10 * time.Millisecond)
	r.mu.Lock()
	r.commands = append(r.commands, string(command))
	r.mu.Unlock()
	return r.fakeLog.ProposeLocal(ctx, command)
}

// recorded returns the commands after the first n.
func (r *recordingLog) recorded(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.commands[n:])
}

// Guards against lists in the log while a member of an earlier version, which ignores them, may read it, and against an entry
// for each submission afterwards. Replicas that decode the entries must hold the leader's state.
func TestListsWaitForAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		defer boottime.SetTestClock(func() time.Duration { return time.Hour + time.Since(began) })()
		engine := NewEngine(hclog.NewNullLogger())
		log := &recordingLog{fakeLog: &fakeLog{engine: engine}}
		var format atomic.Int64
		d := New(Options{
			Engine: engine, Replica: log, Servers: newFakeServers(), Log: hclog.NewNullLogger(), Scope: tally.NoopScope, ElectionTime: time.Hour,
			MemberFormat: func(context.Context) int { return int(format.Load()) },
		})
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
		cancel()
		<-done
		follower := NewEngine(hclog.NewNullLogger())
		for i, command := range log.recorded(0) {
			follower.Apply(uint64(i+1), []byte(command))
		}
		want, err := engine.Snapshot()
		must.NoError(t, err)
		got, err := follower.Snapshot()
		must.NoError(t, err)
		must.EqOp(t, string(want), string(got))
		must.EqOp(t, 0, len(engine.proposals))
	})
}
