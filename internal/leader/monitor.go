package leader

import (
	"context"
	"errors"
	"time"
)

// idleCheckInterval is the time between checks of the leader while no calls are sent. Readiness depends on these checks.
const idleCheckInterval = time.Second

// statusRefreshInterval is the longest time between checks of a leader that answers calls: the members and the limits may
// have changed.
const statusRefreshInterval = 5 * time.Second

// MonitorLeader searches for the leader while none is known, and checks regularly that the known one still leads, until
// ctx ends.
func (c *Client) MonitorLeader(ctx context.Context) {
	lastProbe := time.Time{}
	for ctx.Err() == nil {
		pause := idleCheckInterval
		if time.Since(c.LastContact()) >= idleCheckInterval || time.Since(lastProbe) >= statusRefreshInterval {
			lastProbe = time.Now()
			if !c.checkLeader(ctx) {
				pause = searchBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// checkLeader reports whether the leader answers and still leads; otherwise it drops the leader.
func (c *Client) checkLeader(ctx context.Context) bool {
	target, err := c.findLeader(ctx)
	if err != nil {
		return false
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	status, err := c.probe(ctx, target)
	if err == nil && !status.Leads {
		err = Error.New("%s no longer leads", target)
	}
	if errors.Is(err, context.DeadlineExceeded) && c.LastContact().After(began) {
		return true // it answered something else meanwhile
	}
	if err != nil {
		c.dropLeader(target, err)
		return false
	}
	c.applyStatus(status)
	c.recordContact()
	return true
}
