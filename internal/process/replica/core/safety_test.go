package core

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// electWithoutAppends makes a replica the leader with the votes of all, and drops everything that it sends.
func (n *network) electWithoutAppends(p *peer) {
	p.core.campaign()
	n.processReady(p)
	for _, name := range n.names {
		if name != p.name {
			n.deliverMessage(Message{From: name, To: p.name, ConsensusMessage: &laburnumv1.ConsensusMessage{
				Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE_RESPONSE, Term: p.core.term, Cluster: 7,
				Replica: n.peers[name].replica,
			}})
		}
	}
	n.inFlight = nil
}

// TestNewLeaderServesReadsAfterOwnCommit checks that a new leader gives no read index before it committed an entry of
// its own term: until then it may not know what its predecessor committed.
func TestNewLeaderServesReadsAfterOwnCommit(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	index, _, err := n.propose(a, 7, 1)
	must.NoError(t, err)
	for n.highestApplied < index { // until a has committed and no other replica knows of it
		n.deliver(0)
	}
	n.inFlight = nil
	n.crash(a)
	b := n.peers["b"]
	must.Less(t, index, b.core.log.commit)
	n.electWithoutAppends(b)
	n.read(b)
	must.Eq(t, 0, b.core.reads[0].index)
	n.run(2 * testHeartbeatTicks)
	must.Eq(t, 1, n.finishedReads)
	n.requireInvariants(t)
}

// TestNewLeaderChangesMembersAfterOwnCommit checks that a new leader refuses membership changes before it committed
// an entry of its own term. Otherwise an uncommitted membership of an earlier term could be in force at the same time
// as the new one, with disjoint quorums.
func TestNewLeaderChangesMembersAfterOwnCommit(t *testing.T) {
	n, _ := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	b := n.peers["b"]
	n.electWithoutAppends(b)
	_, _, err := b.core.AddLearner("d", "")
	must.True(t, errors.Is(err, ErrChangeInProgress))
}

// TestUncommittedMembershipIsRolledBack checks that a member that a leader added while it was cut off is gone after
// its log was truncated.
func TestUncommittedMembershipIsRolledBack(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	n.isolate("a")
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	must.NotNil(t, a.core.members.get("d"))
	n.run(20 * testElectionTicks)
	n.heal()
	n.run(4 * testElectionTicks)
	must.Nil(t, a.core.members.get("d"))
	n.requireInvariants(t)
}

// TestStaleSnapshotIsIgnored checks that a late snapshot doesn't set back a replica that has applied more.
func TestStaleSnapshotIsIgnored(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.compact(a, 1)
	old := a.disk.snapshot
	for i := range 10 {
		_, _, _ = n.propose(a, i, 1)
		n.deliverAll()
	}
	b := n.peers["b"]
	n.compact(b, 1)
	before := b.applied
	n.deliverMessage(Message{From: "a", To: "b", ConsensusMessage: &laburnumv1.ConsensusMessage{
		Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT, Term: a.core.term, Cluster: 7, Replica: a.replica,
		Snapshot: &laburnumv1.SnapshotMeta{Index: old.Index, Term: old.Term, Membership: old.Membership},
	}})
	must.Eq(t, before, b.applied)
	must.Eq(t, before, b.core.log.commit)
	n.requireInvariants(t)
}

// TestAppendsWaitForDurableTerm checks that a leader sends no append before its term is durable. A single voter leads
// at once; an entry that it sent to a learner in a term that is not durable could be contradicted after a restart.
func TestAppendsWaitForDurableTerm(t *testing.T) {
	n, a := newElectedNetwork(t, "a")
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	n.start(a) // leads again in a later term
	a.core.campaign()
	for range testHeartbeatTicks {
		a.core.Tick()
	}
	r := a.core.Ready()
	must.SliceEmpty(t, r.Messages)
	must.SliceNotEmpty(t, r.Write.Messages)
	must.Eq(t, a.core.term, r.Write.HardState.Term)
}
