package dispatch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
	"laburnumrouter/internal/version/accepted"
)

// changeLeader makes another term begin and waits until its session is there.
func (r *rig) changeLeader(term uint64) {
	r.t.Helper()
	r.log.lead(term)
	r.until(func() bool {
		s := r.d.activeSession()
		return s != nil && s.holder.Fence == term
	})
}

// Guards against a server that is used again after it has left: an announcement that was delayed by up to 12 s made the same
// incarnation a new server, with this leader, with the next, or after a restart from a snapshot.
func TestDelayedAnnouncementOfDepartedServerHasNoEffect(t *testing.T) {
	r := newRig(t, newFakeServers())
	server := func(born, seq int64) *ledger.Server {
		return &ledger.Server{ID: "a", Pool: "p", Address: "a", Capacity: ledger.Resources{CPU: 8000, MemMB: 8000}, Born: born, Seq: seq, ClockMS: 1}
	}
	announce := func(born, seq int64) { r.do(&Call{Op: OpAnnounce, Server: server(born, seq)}) }
	known := func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		_, recorded := r.engine.ledger.KnownServers()["a"]
		return recorded || r.d.session.Load().fleet.Get("a") != nil
	}
	announce(5, 1)
	must.True(t, known())
	draining := server(5, 2)
	draining.Draining = true
	r.do(&Call{Op: OpAnnounce, Server: draining})
	must.EqOp(t, OK, r.do(&Call{Op: OpLeave, Server: &ledger.Server{ID: "a"}}).Outcome)
	announce(5, 3)
	must.False(t, known())

	r.changeLeader(2)
	announce(5, 4)
	must.False(t, known())

	data, err := r.engine.Snapshot()
	must.NoError(t, err)
	must.NoError(t, r.engine.Restore(100, data))
	r.changeLeader(3)
	announce(5, 5)
	must.False(t, known())

	announce(6, 1)
	must.True(t, known())
}

// Guards against a revoked key that is in use again after all control instances restart from a snapshot, and against an
// earlier configuration that is put in force again.
func TestRevokedKeyStaysRevokedAfterRestart(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	with := func(version int64, keys ...string) *accepted.Config {
		c := rigConfig()
		c.Version, c.Queues[0].Open = version, false
		c.Workspaces = []accepted.Workspace{{Name: "t", Keys: keys}}
		return c
	}
	submit := func(id string) Outcome {
		return r.do(&Call{Op: OpSubmit, Host: "h", Path: "/q/" + id, Key: "old", Job: &ledger.Submission{Spec: "s", Steps: []ledger.Step{small}}}).Outcome
	}
	first, second := with(2, "old", "new"), with(3, "new")
	r.do(&Call{Op: OpPutConfig, Config: first})
	must.EqOp(t, OK, submit("j1"))
	r.do(&Call{Op: OpPutConfig, Config: second})
	must.EqOp(t, NoKey, submit("j2"))

	data, err := r.engine.Snapshot()
	must.NoError(t, err)
	fresh := NewEngine(hclog.NewNullLogger())
	must.NoError(t, fresh.Restore(100, data))
	must.Nil(t, fresh.ledger.Index().KeyOwner("old"))
	must.NotNil(t, fresh.ledger.Index().KeyOwner("new"))
	must.NoError(t, r.engine.Restore(100, data))
	r.changeLeader(2)
	r.do(&Call{Op: OpPutConfig, Config: first})
	must.EqOp(t, NoKey, submit("j3"))
}

// Guards against a server that was only silent and stays unused: it is removed from the log's state after silentServerTimeout
// and announces itself again with the same incarnation.
func TestSilentServerReturnsWithSameIncarnation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := newRig(t, newFakeServers())
		a := &ledger.Server{ID: "a", Pool: "p", Address: "a", Capacity: ledger.Resources{CPU: 8000}, Born: 5, Seq: 1, ClockMS: 1}
		r.do(&Call{Op: OpAnnounce, Server: a})
		time.Sleep(silentServerTimeout + 2*time.Second)
		must.EqOp(t, "", r.recorded("a").ID)
		again := *a
		again.Seq = 2
		r.do(&Call{Op: OpAnnounce, Server: &again})
		must.EqOp(t, "a", r.recorded("a").ID)
	})
}

// Guards against working tasks that are stopped because of a departure which an earlier incarnation under the same ID announced: the
// message names no incarnation, and arrived late. The server answers and never said that it drains.
func TestLateDepartureStopsNoTasks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := &slowStop{onFirst: func() {}}
		r, servers := newSlowStopRig(t, f)
		must.EqOp(t, OK, r.do(&Call{Op: OpLeave, Server: &ledger.Server{ID: servers[0]}}).Outcome)
		time.Sleep(10 * time.Second)
		must.Eq(t, []runKey{key("j", 0, 1)}, r.servers.runs(servers[0]))
		f.mu.Lock()
		defer f.mu.Unlock()
		must.SliceEmpty(t, f.arrived)
	})
}
