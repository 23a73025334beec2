package core

import (
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// Guards against a leader that sends a chunk of a snapshot again with each heartbeat until it is answered: a member on a slow machine or
// link gets each chunk several times, the repeats queue up before the next chunk, and the transfer that is to replace a lost voter crawls.
func TestSnapshotChunkIsNotRepeatedWithEachHeartbeat(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	b := n.peers["b"]
	n.run(2 * testHeartbeatTicks)
	n.isolate("b")
	for i := range 20 {
		_, _, err := n.propose(a, i, 1)
		must.NoError(t, err)
		n.deliverAll()
	}
	n.compact(a, 1)
	n.heal()
	n.tick(a)
	for range 100 {
		if len(n.inFlight) == 0 || len(n.sent("a", laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT)) > 0 {
			break
		}
		n.deliver(0)
	}
	must.Len(t, 1, n.sent("a", laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT))
	repeats, contacts := 0, 0
	for range testElectionTicks - 1 { // the chunk and its answer are still under way
		n.inFlight = nil
		n.tick(a)
		repeats += len(n.sent("a", laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT))
		for _, m := range n.inFlight {
			if m.To == "b" {
				contacts++
			}
		}
		n.inFlight = nil
		for _, name := range []string{"b", "c"} {
			a.core.Step(Message{From: name, To: "a", ConsensusMessage: &laburnumv1.ConsensusMessage{
				Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND_RESPONSE, Term: a.core.term, Cluster: 7, Replica: n.peers[name].replica,
			}})
		}
	}
	must.Zero(t, repeats)
	must.EqOp(t, testElectionTicks-1, contacts, must.Sprint("heartbeats go on"))
	n.run(20 * testElectionTicks) // the chunk was lost
	must.Eq(t, n.leader().applied, b.applied)
	n.requireInvariants(t)
}
