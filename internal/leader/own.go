package leader

import (
	"context"
	"time"

	"laburnumrouter/internal/dispatch"
)

// ownReadShare is the part of a call's time, as a divisor, that is kept for asking the leader if this instance can't confirm its state.
const ownReadShare = 3

// readOwn answers get-config from this process's replica, so that a large configuration doesn't cross the network between instances. It
// returns nil if the leader has to be asked.
func (c *Client) readOwn(ctx context.Context, call *dispatch.Call) *dispatch.Reply {
	local := c.local.Load()
	if local == nil || call.Op != dispatch.OpGetConfig {
		return nil
	}
	left := defaultCallTime
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	reply, err := local.ReadConfig(ctx, call, left-left/ownReadShare)
	if err != nil {
		return nil
	}
	return reply
}
