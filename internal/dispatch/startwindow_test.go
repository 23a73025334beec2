package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// startCost is the time that a leader with busyServers takes for a start order: it gets an answer to 333 within callTimeout.
const startCost = 1200 * time.Microsecond

// busyServers are servers whose answers to starts the leader reads one after the other, each within startCost.
type busyServers struct {
	*fakeServers
	turn       chan struct{}
	unanswered int // guarded by turn
}

func (b *busyServers) Start(ctx context.Context, to Target, o StartOrder) (StartAnswer, int64, error) {
	answer, clock, err := b.fakeServers.Start(ctx, to, o)
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if ctx.Err() != nil {
		b.unanswered++
		return 0, 0, ctx.Err()
	}
	time.Sleep(startCost)
	return answer, clock, err
}

// Guards against a leader that gives more start orders at once than it can read the answers to in time: the answers came too late,
// so the runs were stopped and ordered again, which kept it as busy for good.
func TestStartOrdersAreAnsweredInTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const jobs, tasks = 5, 300
		var ids []string
		for n := range 20 {
			ids = append(ids, fmt.Sprint("s", n))
		}
		b := &busyServers{fakeServers: newFakeServers(ids...), turn: make(chan struct{}, 1)}
		r := newRigWith(t, b.fakeServers, b)
		for n := range jobs {
			r.submit(fmt.Sprint("j", n), ledger.Step{Count: tasks, Need: ledger.Resources{CPU: 100}})
		}
		r.until(func() bool {
			live := 0
			for _, id := range ids {
				live += len(b.runs(id))
			}
			return live == jobs*tasks
		})
		b.turn <- struct{}{}
		must.EqOp(t, 0, b.unanswered)
	})
}
