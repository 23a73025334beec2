package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
)

const (
	// nearCheckInterval is the time between searches for control instances of the own data centre.
	nearCheckInterval = 5 * time.Second
	// nearTimeout bounds a read from a near instance; it answers within a few milliseconds or not at all.
	nearTimeout = 150 * time.Millisecond
	// nearBackoff is how long an instance that didn't answer a read gets none.
	nearBackoff = 2 * time.Second
	// maxNearReadTime bounds the time from a read to the use of its answer on the clock that counts suspensions. A count of
	// pending jobs may be 2 s old: the log lags by 0.5 s, and a follower answers from a state of at most 0.8 s. The bound
	// also holds if one of the two processes was suspended meanwhile.
	maxNearReadTime = 500 * time.Millisecond
)

// near holds the control instances of the own data centre that don't lead. It is guarded by Client.mu.
type near struct {
	addresses []string
	notBefore map[string]time.Duration // by boottime.Now(); when an instance that failed may be asked again
}

// MonitorNear keeps the list of control instances in a data centre up to date until ctx ends. Callers' reads go there.
func (c *Client) MonitorNear(ctx context.Context, dataCentre string) {
	if dataCentre == "" {
		return
	}
	for ctx.Err() == nil {
		c.findNear(ctx, dataCentre)
		select {
		case <-ctx.Done():
		case <-time.After(nearCheckInterval):
		}
	}
}

// findNear asks all known instances for their data centre.
func (c *Client) findNear(ctx context.Context, dataCentre string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	known := c.knownAddresses()
	found := make(chan string, len(known))
	for _, address := range known {
		go func() {
			status, err := c.probe(ctx, address)
			if err != nil || status.Leads || status.DataCentre != dataCentre {
				address = ""
			}
			found <- address
		}()
	}
	var addresses []string
	for range known {
		if address := <-found; address != "" {
			addresses = append(addresses, address)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if inUse := len(addresses) > 0; inUse != (len(c.near.addresses) > 0) {
		c.log.Info("place of reads changed", "near", inUse, "instances", addresses, "data_centre", dataCentre)
	}
	c.near.addresses = addresses
}

// chooseNear returns a near instance that may be asked, or "".
func (c *Client) chooseNear() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	first := 0
	if len(c.near.addresses) > 0 {
		first = rand.IntN(len(c.near.addresses))
	}
	for i := range c.near.addresses {
		address := c.near.addresses[(first+i)%len(c.near.addresses)]
		if address != c.leader && now >= c.near.notBefore[address] {
			return address
		}
	}
	return ""
}

// readNear answers a state query or pending count by a control instance of the own data centre. It returns nil if the leader
// has to be asked.
func (c *Client) readNear(ctx context.Context, call *dispatch.Call, body []byte) *dispatch.Reply {
	if call.Op != dispatch.OpState && call.Op != dispatch.OpPending {
		return nil
	}
	address := c.chooseNear()
	if address == "" || call.AtLeast == 0 {
		return nil // before the first contact with a leader it isn't known what this process has acted on in an earlier life
	}
	ctx, cancel := context.WithTimeout(ctx, nearTimeout)
	defer cancel()
	began := boottime.Now()
	reply, misdirected, err := c.post(ctx, address, body)
	if misdirected || err == nil && reply.Outcome != dispatch.OK {
		return nil // its state isn't fresh, or it doesn't know the job
	}
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.near.notBefore == nil {
			c.near.notBefore = make(map[string]time.Duration)
		}
		c.near.notBefore[address] = boottime.Now() + nearBackoff
		c.log.Info("read not answered nearby; the leader is asked", "instance", address, "request", call.RequestID, "error", err)
		return nil
	}
	if boottime.Now()-began > maxNearReadTime || reply.Index < call.AtLeast {
		return nil // too late, or from an instance of an earlier version, which doesn't know AtLeast
	}
	c.saw(reply.Index)
	return reply
}
