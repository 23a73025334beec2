package leader

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"laburnumrouter/internal/dispatch"
)

// hungClient returns a client that knows a leader which answers no call but reports that it leads.
func hungClient(t *testing.T) (*Client, *instance, *bytes.Buffer) {
	t.Helper()
	a, log := newInstance(t, LeaderStatus{Leads: true}), &bytes.Buffer{}
	c := NewClient([]string{a.address()}, nil, hclog.New(&hclog.LoggerOptions{Output: log}))
	must.EqOp(t, dispatch.OK, call(t, c).Outcome)
	hang := make(chan struct{})
	a.hang.Store(&hang)
	t.Cleanup(func() { close(hang) })
	return c, a, log
}

func (c *Client) knownLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Guards against a working leader that counts as lost because one large call needed more than its time, or its caller gave up: all other
// calls had to wait for a search.
func TestLateCallIsNoProofThatLeaderIsLost(t *testing.T) {
	for name, limit := range map[string]time.Duration{"time of an attempt": 1000 * time.Millisecond, "time of a short call": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c, a, log := hungClient(t)
			time.Sleep(aliveTime) // its last answer is old
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			must.EqOp(t, dispatch.OutcomeUnknown, c.Do(ctx, &dispatch.Call{Op: dispatch.OpPending}).Outcome)
			must.True(t, c.checkLeader(t.Context()))
			must.EqOp(t, a.address(), c.knownLeader())
			c.mu.Lock()
			defer c.mu.Unlock()
			must.StrNotContains(t, log.String(), "leader lost")
		})
	}
}

// Guards against a leader that is kept although it neither answers calls nor reports any more.
func TestSilentLeaderIsLostAfterLateCall(t *testing.T) {
	c, a, _ := hungClient(t)
	silent := make(chan struct{})
	a.silent.Store(&silent)
	defer close(silent)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	time.Sleep(aliveTime)
	must.EqOp(t, dispatch.OutcomeUnknown, c.Do(ctx, &dispatch.Call{Op: dispatch.OpPending}).Outcome)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return c.knownLeader() == "" }), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond)))
}
