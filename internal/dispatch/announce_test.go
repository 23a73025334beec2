package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"laburnumrouter/internal/request/ledger"
)

// recorded returns what the log's state says about a server.
func (r *rig) recorded(id string) ledger.Server {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.engine.ledger.KnownServers()[id]
}

// Guards against a draining server that gets tasks from the next leader: the first copy of its announcement wasn't
// committed, and the repeated one was acknowledged nevertheless.
func TestRepeatedDrainingIsCommittedBeforeAcknowledgement(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	announcement := r.serverOf("a", 1000)
	announcement.Draining = true
	r.log.loseNext()
	must.NotEq(t, OK, r.do(&Call{Op: OpAnnounce, Server: announcement}).Outcome)
	must.False(t, r.recorded("a").Draining)
	must.EqOp(t, OK, r.do(&Call{Op: OpAnnounce, Server: announcement}).Outcome)
	must.True(t, r.recorded("a").Draining)
}

// Guards against a server that gets tasks from the next leader although its departure was acknowledged: its draining wasn't
// committed when it announced it, and only the leader's memory knew of it. The next leader knows the server from the log's state alone.
func TestDepartureWithRunsIsCommittedBeforeAcknowledgement(t *testing.T) {
	r := newRig(t, newFakeServers("a"))
	r.submit("j", small)
	r.until(func() bool { return len(r.servers.runs("a")) == 1 })
	r.changeLeader(2)
	announcement := r.serverOf("a", 1000)
	announcement.Draining = true
	r.log.loseNext()
	must.NotEq(t, OK, r.do(&Call{Op: OpAnnounce, Server: announcement}).Outcome)
	must.False(t, r.recorded("a").Draining)
	must.EqOp(t, OK, r.do(&Call{Op: OpLeave, Server: &ledger.Server{ID: "a"}}).Outcome)
	must.True(t, r.recorded("a").Draining)
}
