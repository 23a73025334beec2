package leader

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/dispatch"
	"laburnumrouter/internal/process/boottime"
)

// Guards against reads that burden the leader although a near instance can answer, and against reads that get lost because
// a near instance can't.
func TestReadsGoToNearInstance(t *testing.T) {
	lead, nearby := newInstance(t, LeaderStatus{Leads: true, DataCentre: "dc1"}), newInstance(t, LeaderStatus{DataCentre: "dc1"})
	far, old := newInstance(t, LeaderStatus{DataCentre: "dc2"}), newInstance(t, LeaderStatus{})
	nearby.reads.Store(true)
	c := NewClient([]string{lead.address(), nearby.address(), far.address(), old.address()}, nil, hclog.NewNullLogger())
	c.findNear(context.Background(), "dc1")
	calls := func(op dispatch.Op, toLead, toNear int64) {
		t.Helper()
		beforeLead, beforeNear := lead.calls.Load(), nearby.calls.Load()
		must.EqOp(t, dispatch.OK, c.Do(context.Background(), &dispatch.Call{Op: op}).Outcome)
		must.Eq(t, []int64{toLead, toNear}, []int64{lead.calls.Load() - beforeLead, nearby.calls.Load() - beforeNear})
	}
	calls(dispatch.OpState, 0, 1)
	calls(dispatch.OpPending, 0, 1)
	calls(dispatch.OpSubmit, 1, 0)
	nearby.reads.Store(false) // its state isn't fresh
	calls(dispatch.OpState, 1, 1)
	nearby.drop.Store(true)
	nearby.reads.Store(true)
	calls(dispatch.OpState, 1, 1)
	nearby.drop.Store(false)
	calls(dispatch.OpState, 1, 0) // it failed just now
	must.EqOp(t, 0, far.calls.Load()+old.calls.Load())
}

// Guards against an answer of a near instance that this process uses only after it was suspended: a key may have been revoked
// meanwhile.
func TestLateNearAnswerIsNotUsed(t *testing.T) {
	lead, nearby := newInstance(t, LeaderStatus{Leads: true, DataCentre: "dc1"}), newInstance(t, LeaderStatus{DataCentre: "dc1"})
	nearby.reads.Store(true)
	c := NewClient([]string{lead.address(), nearby.address()}, nil, hclog.NewNullLogger())
	c.findNear(context.Background(), "dc1")
	began := boottime.Now()
	defer boottime.SetTestClock(func() time.Duration { return began + time.Duration(nearby.calls.Load())*5*time.Second })()
	must.EqOp(t, dispatch.OK, c.Do(context.Background(), &dispatch.Call{Op: dispatch.OpState}).Outcome)
	must.EqOp(t, 1, lead.calls.Load())
}
