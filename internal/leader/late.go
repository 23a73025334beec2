package leader

import (
	"context"
	"errors"
	"time"
)

// aliveTime is how long an answer of the leader, to a call or a check, shows that it works. While a call is unanswered, the leader is
// asked about every leaderCheckInterval.
const aliveTime = searchTimeout + leaderCheckInterval + 100*time.Millisecond

// attemptFailed decides what an attempt that began at a time and failed says about the leader. That a call or its caller ran out of time
// is no proof that the leader is lost: the call may be large, the caller's time short.
func (c *Client) attemptFailed(ctx context.Context, target string, began time.Time, err error) {
	ranOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if !ranOut || dialFailed(err) && ctx.Err() == nil {
		c.dropLeader(target, err)
		return
	}
	if time.Since(c.LastContact()) < aliveTime {
		return
	}
	if time.Since(began) >= leaderCheckDelay+aliveTime {
		c.dropLeader(target, err) // the checks weren't answered either
		return
	}
	c.checkSoon()
}

// checkSoon checks the leader in the background, unless such a check is running.
func (c *Client) checkSoon() {
	if !c.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.checking.Store(false)
		c.checkLeader(context.Background())
	}()
}
