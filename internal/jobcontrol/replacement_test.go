package jobcontrol

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/request/ledger"
)

// submitUntil keeps some callers submitting jobs until ctx ends, so that the log is never idle.
func (c *cluster) submitUntil(ctx context.Context) (wait func()) {
	const callers = 4
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				c.client.Do(ctx, &dispatch.Call{Op: dispatch.OpSubmit, Host: "h", Path: fmt.Sprintf("/q/%d-%d", caller, i), Job: &ledger.Submission{
					Spec: "s", Steps: []ledger.Step{{Count: 1, Need: ledger.Resources{CPU: 100}}},
				}})
			}
		})
	}
	return group.Wait
}

// Guards against a lost voter that isn't replaced while the log is busy, because the instance that is to take its place has a
// slower disk than the others: the next loss would leave no quorum for good, and with it no configuration and no job.
func TestLostVoterIsReplacedByInstanceWithSlowerDisk(t *testing.T) {
	c := newCluster(t, nil)
	c.configure()
	c.announce()
	first, _ := c.leads()
	ctx, cancel := context.WithCancel(t.Context())
	wait := c.submitUntil(ctx)
	defer wait()
	defer cancel()
	lost := (first + 1) % founders
	c.stop[lost]()
	c.disks[3].syncTime = 40 * time.Millisecond
	c.start(3, false)
	c.waitUntil(func() bool { return c.log.has("remove=" + c.peerAddress(lost) + " ") })
	must.Zero(t, c.log.count("has not caught up"), must.Sprint("each failed attempt takes 3 s"))
	cancel()
	wait()
	c.stop[(first+2)%founders]()
	must.EqOp(t, dispatch.OK, c.do(&dispatch.Call{Op: dispatch.OpPutConfig, Config: rollingConfig(2)}).Outcome)
}
