package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// What fills is slowed while it hurts what serves beside it, also if a call gets no answer, and let go afterwards.
func TestFillsAreSlowedBesideWhatServes(t *testing.T) {
	f := newFakeServers("a")
	f.paceFails = 1
	r := newRig(t, f)
	r.submit("serves", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, TargetMS: 100})
	r.submit("fills", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, Fills: true})
	serves, fills := key("serves", 0, 1).task, key("fills", 0, 1).task
	r.until(func() bool { return len(f.runs("a")) == 2 })
	f.reports(serves, 150)
	r.until(func() bool { return f.pace(fills) == 0 })
	must.EqOp(t, -1, f.pace(serves))
	f.reports(serves, 50)
	r.until(func() bool { return f.pace(fills) == 100 })
}
