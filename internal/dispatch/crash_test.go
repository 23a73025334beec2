package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/process/boottime"
	"laburnumrouter/internal/request/ledger"
)

// Guards against runs that wait for the lapse of their leases although another server has begun at their server's address,
// which shows that theirs is gone. It may be gone itself before a call reaches it.
func TestServerEndsOnceAnotherBeginsAtItsAddress(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFakeServers("a")
		r := newRig(t, f)
		r.submit("j", small)
		r.until(func() bool { return len(f.runs("a")) == 1 })
		f.mu.Lock()
		f.silent["a"] = true
		f.mu.Unlock()
		live := func() int {
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			return len(r.engine.ledger.LiveOn("a"))
		}
		r.do(&Call{Op: OpAnnounce, Server: &ledger.Server{ID: "earlier", Pool: "off", Address: "a", Seq: 1}})
		time.Sleep(time.Second)
		must.EqOp(t, 1, live())
		at := boottime.Now()
		r.do(&Call{Op: OpAnnounce, Server: &ledger.Server{ID: "later", Pool: "off", Address: "a", Born: 2, Seq: 1}})
		r.until(func() bool { return live() == 0 })
		must.Less(t, time.Second, boottime.Now()-at)
	})
}

// Guards against a task that is held to have run, and may be suspected, on a server that refused its start because another
// incarnation is there.
func TestMisdirectedStartIsRefused(t *testing.T) {
	f := newFakeServers("a")
	f.replaced["a"] = true
	r := newRig(t, f)
	r.submit("j", small)
	r.until(func() bool {
		notes := r.do(&Call{Op: OpExplain, Path: "j"}).Job.Ends
		return len(notes) > 0 && notes[0].How == ledger.EndRefused
	})
}
