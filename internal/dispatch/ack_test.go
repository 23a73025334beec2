package dispatch

import (
	"context"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// unansweredAck loses the first hold call that acknowledges an end.
type unansweredAck struct {
	*fakeServers
	calls []HoldOrder // from the lost one on
}

func (u *unansweredAck) Hold(ctx context.Context, to Target, o HoldOrder) (*HoldReport, error) {
	u.mu.Lock()
	if lost := len(u.calls) == 0 && o.AckedEnd > 0; lost || len(u.calls) > 0 {
		u.calls = append(u.calls, o)
		if lost {
			u.mu.Unlock()
			return nil, errNoAnswer
		}
	}
	u.mu.Unlock()
	return u.fakeServers.Hold(ctx, to, o)
}

// Guards against tasks that run twice: an acknowledgement that is sent again to a server which didn't answer may reach a new
// incarnation under the same ID, which counts its ends anew and would forget those that it hasn't reported.
func TestSilentServerGetsNoAcknowledgement(t *testing.T) {
	f := newFakeServers("a")
	u := &unansweredAck{fakeServers: f}
	r := newRigWith(t, f, u)
	r.submit("j", small)
	r.until(func() bool { return len(f.runs("a")) == 1 })
	f.finish("a", key("j", 0, 1), ledger.EndDone)
	acknowledged := func(o HoldOrder) bool { return o.AckedEnd == 1 }
	r.until(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(u.calls) > 2 && slices.ContainsFunc(u.calls[1:], acknowledged)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	must.Zero(t, u.calls[1].AckedEnd)
}
