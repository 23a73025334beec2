package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Tasks that use spare capacity are throttled while they slow down a serving task on the same server, also if a pace call
// gets no answer, and get their full speed back afterwards.
func TestFillTasksAreThrottledBesideServingTasks(t *testing.T) {
	f := newFakeServers("a")
	f.unansweredPaces = 1
	r := newRig(t, f)
	r.submit("serves", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, TargetMS: 100})
	r.submit("fills", ledger.Step{Count: 1, Need: ledger.Resources{CPU: 1000}, Lasting: true, Fills: true})
	serves, fills := key("serves", 0, 1).task, key("fills", 0, 1).task
	r.until(func() bool { return len(f.runs("a")) == 2 })
	f.setFigure(serves, 150)
	r.until(func() bool { return f.pace(fills) == 0 })
	must.EqOp(t, -1, f.pace(serves))
	f.setFigure(serves, 50)
	r.until(func() bool { return f.pace(fills) == 100 })
}
