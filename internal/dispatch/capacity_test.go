package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Guards against a server that a new leader fills beyond its capacity, which has shrunk since its first announcement, and
// against one that stays half empty after its capacity has grown again.
func TestNewLeaderKnowsChangedCapacity(t *testing.T) {
	for _, capacity := range []int64{2000, 6000} {
		inVirtualTime(t, func(t *testing.T) {
			r := newRig(t, newFakeServers("a"))
			changed := r.serverOf("a", 1000) // later than those of the rig's loop
			changed.Capacity.CPU = capacity
			r.do(&Call{Op: OpAnnounce, Server: changed})
			r.changeLeader(2)
			r.submit("j", ledger.Step{Count: 8, Need: ledger.Resources{CPU: 1000}})
			r.until(func() bool { return len(r.servers.runs("a")) > 0 })
			time.Sleep(100 * time.Millisecond)
			must.EqOp(t, int(capacity/1000), len(r.servers.runs("a")))
		})
	}
}

// Guards against starts on a server whose capacity has shrunk below what runs on it, while a run there is being stopped.
func TestShrunkServerGetsNoStarts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newRig(t, newFakeServers("a"))
		r.submit("running", ledger.Step{Count: 8, Need: ledger.Resources{CPU: 1000}})
		r.until(func() bool { return len(r.servers.runs("a")) == 8 })
		changed := r.serverOf("a", 1000)
		changed.Capacity.CPU = 7000
		r.do(&Call{Op: OpAnnounce, Server: changed})
		r.submit("waiting", ledger.Step{Count: 8, Need: ledger.Resources{CPU: 1000}})
		r.servers.finish("a", key("running", 0, 1), ledger.EndDone)
		time.Sleep(500 * time.Millisecond)
		must.EqOp(t, 7, len(r.servers.runs("a")))
		r.servers.finish("a", key("running", 1, 1), ledger.EndDone)
		r.until(func() bool { return len(r.servers.runs("a")) == 7 })
	})
}
