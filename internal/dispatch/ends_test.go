package dispatch

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// Guards against a task that runs again although its server reported how the run ended before the leader's own conclusion was
// committed, and against a conclusion that replaces a reported end.
func TestReportedEndPrecedesConclusion(t *testing.T) {
	for name, c := range map[string]struct {
		concluded []ledger.EndCause
		reported  ledger.EndCause
		committed ledger.EndCause
	}{
		"done after lapse":   {[]ledger.EndCause{ledger.EndLapsed}, ledger.EndDone, ledger.EndDone},
		"done after loss":    {[]ledger.EndCause{ledger.EndLost}, ledger.EndDone, ledger.EndDone},
		"failed after lapse": {[]ledger.EndCause{ledger.EndLapsed}, ledger.EndFailed, ledger.EndFailed},
		"done after refusal": {[]ledger.EndCause{ledger.EndRefused}, ledger.EndDone, ledger.EndRefused},
		"done alone":         {nil, ledger.EndDone, ledger.EndDone},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFakeServers("a")
			r := newRig(t, f)
			r.submit("j", small)
			r.until(func() bool { return len(f.runs("a")) == 1 })
			q, run := r.d.session.Load().ends, key("j", 0, 1)
			r.log.setFull(true)
			end := ledger.End{Task: run.task, Run: run.run, Worker: "a"}
			for _, how := range c.concluded {
				end.How = how
				q.add(end)
			}
			before := len(f.holdOrders())
			f.finish("a", run, c.reported)
			r.until(func() bool { return len(f.holdOrders()) >= before+2 }) // a report with the end has been processed
			end.How = ledger.EndLapsed
			q.add(end)
			must.Eq(t, c.committed, q.endsOf([]runKey{run})[0].How)
			must.Eq(t, 0, acknowledged(f))
			r.log.setFull(false)
			r.until(func() bool { return acknowledged(f) == 1 })
			must.Eq(t, c.committed == ledger.EndDone, r.state("j") == ledger.Completed)
		})
	}
}

// Guards against an entry of the log that is as large as what an outage left pending, and is proposed again as a whole when it fails.
func TestPendingEndsAreCommittedInBoundedEntries(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	q, most := r.d.session.Load().ends, 0
	r.log.beforePropose = func(command []byte) {
		c := &ledger.Command{}
		must.NoError(t, json.Unmarshal(command, c))
		most = max(most, len(c.Ends))
	}
	ends := make([]ledger.End, 3*maxEndsPerEntry+1)
	for i := range ends {
		ends[i] = ledger.End{Task: ledger.TaskID{Job: "j", Index: i}, Run: 1, Worker: "a", How: ledger.EndDone}
	}
	<-q.add(ends...)
	must.EqOp(t, maxEndsPerEntry, most)
	must.MapEmpty(t, q.ends)
}

// holdOrders returns the hold calls so far.
func (f *fakeServers) holdOrders() []HoldOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.holds)
}

// acknowledged returns the number of the newest end that was acknowledged.
func acknowledged(f *fakeServers) (newest int64) {
	for _, o := range f.holdOrders() {
		newest = max(newest, o.AckedEnd)
	}
	return newest
}
