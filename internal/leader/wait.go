package leader

import (
	"context"
	"time"

	"laburnumrouter/internal/dispatch"
)

// awaitLeader waits for a leader if one is to be expected soon, and reports whether one was found.
func (c *Client) awaitLeader(ctx context.Context, call *dispatch.Call, bytes int) bool {
	began := time.Since(c.startedAt)
	deadline := began + defaultCallTime
	if d, ok := ctx.Deadline(); ok {
		deadline = d.Sub(c.startedAt)
	}
	c.mu.Lock()
	if c.leader != "" {
		c.mu.Unlock()
		return true
	}
	until, admitted := c.gap.admit(began, deadline, bytes, !c.cutOff)
	waiting := c.gap.waiting
	c.mu.Unlock()
	if !admitted {
		return false
	}
	found := c.waitForLeader(ctx, until)
	c.mu.Lock()
	c.gap.release(bytes)
	c.mu.Unlock()
	c.log.Info("call waited for a leader", "op", call.Op, "request", call.RequestID, "path", call.Path, "found", found,
		"waited", time.Since(c.startedAt)-began, "bound", until-began, "waiting", waiting)
	return found
}

// waitForLeader searches until a leader is found or the time since startedAt is until.
func (c *Client) waitForLeader(ctx context.Context, until time.Duration) bool {
	bound := time.NewTimer(until - time.Since(c.startedAt))
	defer bound.Stop()
	for {
		c.mu.Lock()
		leader, found := c.leader, c.leaderFound
		if leader == "" && time.Since(c.searchFailedAt) >= searchBackoff {
			c.ensureSearchLocked()
		}
		c.mu.Unlock()
		if leader != "" {
			return true
		}
		select {
		case <-found:
		case <-time.After(searchBackoff):
		case <-bound.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
