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
