package core

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// newElectedNetwork returns a network whose leader is a, with an entry of its term committed on all replicas.
func newElectedNetwork(t *testing.T, names ...string) (*network, *peer) {
	t.Helper()
	n := newNetwork(3, names...)
	a := n.peers["a"]
	a.core.campaign()
	n.processReady(a)
	n.deliverAll()
	n.run(2 * testHeartbeatTicks)
	must.Eq(t, Leader, a.core.role)
	must.Eq(t, a.core.log.last(), a.core.log.commit)
	return n, a
}

func (n *network) requireInvariants(t *testing.T) {
	t.Helper()
	n.checkLogs()
	must.NoError(t, n.violation)
}

func TestCommandIsAppliedOnAllReplicas(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		n, a := newElectedNetwork(t, names...)
		index, _, err := n.propose(a, 7, 1)
		must.NoError(t, err)
		n.deliverAll()
		for _, name := range names {
			must.Eq(t, index, n.peers[name].applied)
		}
		must.Eq(t, "1", n.sheets["7"])
		n.requireInvariants(t)
	}
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.isolate("a")
	lost, term, err := n.propose(a, 7, 1)
	must.NoError(t, err)
	n.read(a)
	n.run(testElectionTicks)
	must.NotEq(t, Leader, a.core.role)
	must.False(t, a.core.Status().QuorumAlive)
	_, _, err = n.propose(a, 7, 1)
	must.True(t, errors.Is(err, ErrNotLeader))
	must.Eq(t, 0, n.finishedReads)

	n.run(20 * testElectionTicks)
	leader := n.leader()
	must.NotNil(t, leader)
	_, _, err = n.propose(leader, 7, 2)
	must.NoError(t, err)
	n.deliverAll()
	n.heal()
	n.run(4 * testElectionTicks)
	must.Eq(t, "2", n.sheets["7"])
	got, _ := a.core.log.term(lost)
	must.NotEq(t, term, got)
	n.requireInvariants(t)
}

func TestRejoiningReplicaKeepsLeaderAndTerm(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	term := a.core.term
	n.isolate("c")
	n.run(30 * testElectionTicks)
	n.heal()
	n.run(4 * testElectionTicks)
	must.Eq(t, Leader, a.core.role)
	must.Eq(t, term, a.core.term)
	must.Eq(t, term, n.peers["c"].core.term)
}

func TestSplitVoteIsResolved(t *testing.T) {
	n := newNetwork(5, "a", "b", "c", "d")
	for _, name := range n.names {
		p := n.peers[name]
		p.core.campaign()
		n.processReady(p)
	}
	n.deliverAll()
	must.Nil(t, n.leader())
	n.run(20 * testElectionTicks)
	must.NotNil(t, n.leader())
	n.requireInvariants(t)
}

// TestLeaderCommitsOnlyThroughOwnTerm checks that a leader doesn't commit an entry of an earlier term just because a
// quorum holds it: such an entry can still be replaced. Here a leads terms 1 and 3, and b leads terms 2 and 4.
func TestLeaderCommitsOnlyThroughOwnTerm(t *testing.T) {
	n := newNetwork(3, "a", "b", "c")
	a, b, c := n.peers["a"], n.peers["b"], n.peers["c"]
	lead := func(p, voter *peer) {
		p.core.campaign()
		n.processReady(p)
		// The vote is delivered, but none of the new leader's messages.
		for p.core.role == Candidate {
			n.keepOnlyBetween(p, voter)
			n.deliver(0)
		}
		n.inFlight = nil
	}
	lead(a, c)
	b.core.becomeFollower(a.core.term, "")
	lead(b, c)
	a.core.becomeFollower(b.core.term, "")
	n.processReady(a)
	lead(a, c)
	// The entry of term 1 reaches a quorum, the one of the current term does not.
	old := a.core.log.entries[0]
	n.deliverMessage(Message{From: "a", To: "c", ConsensusMessage: &laburnumv1.ConsensusMessage{
		Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND, Term: a.core.term, Cluster: 7, Replica: a.replica,
		Entries: []*laburnumv1.LogEntry{old},
	}})
	n.keepOnlyBetween(c, a)
	n.deliver(0)
	must.Eq(t, 1, a.core.progress["c"].match)
	must.Eq(t, 0, a.core.log.commit)
	n.inFlight = nil
	b.core.becomeFollower(a.core.term, "")
	n.processReady(b)
	c.core.electionElapsed = testElectionTicks // c has not heard from a for an election timeout
	lead(b, c)
	n.deliverAll()
	n.run(2 * testElectionTicks)
	must.NotEq(t, old.Term, c.core.log.entries[0].Term)
	n.requireInvariants(t)
}

// keepOnlyBetween drops all messages in flight except those between two replicas.
func (n *network) keepOnlyBetween(a, b *peer) {
	var kept []Message
	for _, m := range n.inFlight {
		pair := [2]string{m.From, m.To}
		if pair == [2]string{a.name, b.name} || pair == [2]string{b.name, a.name} {
			kept = append(kept, m)
		}
	}
	n.inFlight = kept
}

func TestReadWaitsForQuorum(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.read(a)
	n.read(n.peers["b"])
	n.deliverAll()
	must.Eq(t, 2, n.finishedReads)

	n.isolate("a")
	n.read(a)
	n.deliverAll()
	must.Eq(t, 2, n.finishedReads)
	n.requireInvariants(t)
}

func TestLaggingReplicaInstallsSnapshot(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.isolate("c")
	for i := range 50 {
		_, _, err := n.propose(a, i, 1)
		must.NoError(t, err)
		n.deliverAll()
	}
	n.compact(a, 1)
	n.heal()
	n.run(20)
	c := n.peers["c"]
	must.Eq(t, a.applied, c.applied)
	must.Eq(t, a.disk.snapshot.Index, c.disk.snapshot.Index)
	must.Eq(t, string(a.disk.data), string(c.disk.data))
	n.requireInvariants(t)
}

func TestTransferLeadershipElectsAnotherLeader(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	a.core.TransferLeadership()
	n.processReady(a)
	_, _, err := n.propose(a, 1, 1)
	must.True(t, errors.Is(err, ErrNotLeader))
	n.deliverAll()
	must.NotEq(t, Leader, a.core.role)
	must.NotNil(t, n.leader())
	n.requireInvariants(t)
}

// replaceMember adds a replica as a voter and removes another, as an operator does after the loss of a disk.
func (n *network) replaceMember(t *testing.T, leader *peer, added, removed string) {
	t.Helper()
	n.add(added, nil, 0)
	_, _, err := leader.core.AddLearner(added, "")
	must.NoError(t, err)
	n.processReady(leader)
	n.run(4 * testHeartbeatTicks)
	_, _, err = leader.core.Promote(added)
	must.NoError(t, err)
	n.processReady(leader)
	n.run(4 * testHeartbeatTicks)
	_, _, err = leader.core.Remove(removed)
	must.NoError(t, err)
	n.processReady(leader)
	n.run(4 * testHeartbeatTicks)
}

func TestReplacedVoterFormsQuorumAfterLeaderLoss(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	for i := range 10 {
		_, _, _ = n.propose(a, i, 1)
	}
	n.deliverAll()
	n.crash(n.peers["c"])
	n.replaceMember(t, a, "d", "c")
	must.Eq(t, 3, a.core.members.voterCount())

	n.crash(a) // the leader, right after the replacement
	n.run(20 * testElectionTicks)
	leader := n.leader()
	must.NotNil(t, leader)
	index, _, err := n.propose(leader, 99, 1)
	must.NoError(t, err)
	n.run(2 * testHeartbeatTicks)
	must.Eq(t, index, n.peers["b"].applied)
	must.Eq(t, index, n.peers["d"].applied)
	must.Eq(t, 11, len(n.sheets))
	n.requireInvariants(t)
}

func TestUnsafeMembershipChangesAreRefused(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks) // until the data folders are recorded in the membership
	n.add("d", nil, 0)
	n.isolate("d")

	_, _, err := a.core.Promote("d")
	must.True(t, errors.Is(err, ErrNoMember))
	_, _, err = a.core.AddLearner("d", "")
	must.NoError(t, err)
	_, _, err = a.core.AddLearner("e", "")
	must.True(t, errors.Is(err, ErrChangeInProgress))
	n.processReady(a)
	n.run(testElectionTicks)

	_, _, err = a.core.AddLearner("d", "")
	must.True(t, errors.Is(err, ErrMemberExists))
	_, _, err = a.core.Promote("d")
	must.True(t, errors.Is(err, ErrNotCaughtUp))
	must.Eq(t, 3, a.core.members.voterCount())
	_, _, err = a.core.Remove("a")
	must.True(t, errors.Is(err, ErrRemoveLeader))

	n.crash(n.peers["c"])
	n.run(testElectionTicks)
	_, _, err = a.core.Remove("b")
	must.True(t, errors.Is(err, ErrQuorumAtRisk))
	_, _, err = a.core.Remove("c")
	must.NoError(t, err)
	n.processReady(a)
	n.deliverAll()
	must.Eq(t, 2, a.core.members.voterCount())
	n.requireInvariants(t)
}

func TestReplicaWithLostDataFolderHasNoVote(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	_, _, err := n.propose(a, 1, 1)
	must.NoError(t, err)
	n.deliverAll()

	// b restarts with an empty disk under its old name while a is down: c must not be elected with b's vote, because
	// b no longer holds what it acknowledged.
	voters := n.peers["c"].core.members.at(0)
	n.crash(n.peers["b"])
	n.crash(a)
	n.add("b", voters, 7)
	n.run(20 * testElectionTicks)
	must.Nil(t, n.leader())
	must.Eq(t, FolderMismatch, n.peers["c"].core.Step(Message{From: "b", To: "c", ConsensusMessage: &laburnumv1.ConsensusMessage{
		Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE, Term: 9, Cluster: 7, Replica: n.peers["b"].replica,
	}}))
}

// Guards against a second log in the place of the first, whose committed entries are lost: a replica that lost its data folder
// votes for one that was cut off before the identifiers of the folders were recorded.
func TestReplicaWithLostDataFolderDoesNotVoteForOldLog(t *testing.T) {
	n := newNetwork(3, "a", "b", "c")
	a, b, c := n.peers["a"], n.peers["b"], n.peers["c"]
	a.core.campaign()
	n.processReady(a)
	for c.core.log.last() == 0 {
		n.run(1)
	}
	n.isolate("c")
	must.Zero(t, c.core.members.get("b").Replica)
	n.run(4 * testHeartbeatTicks)
	must.NotEq(t, 0, a.core.members.get("b").Replica)
	_, _, err := n.propose(a, 1, 1)
	must.NoError(t, err)
	n.deliverAll()
	must.Eq(t, "1", n.sheets["1"])

	n.crash(a)
	n.crash(b)
	n.add("b", a.core.members.at(0), 7)
	n.heal()
	n.run(40 * testElectionTicks)
	must.Nil(t, n.leader())
	n.start(a)
	n.run(40 * testElectionTicks)
	must.Eq(t, "1", n.sheets["1"])
	n.requireInvariants(t)
}

// Guards against a log that stands still because its first leader was lost before all voters had an entry of it: one that
// voted in that election has lost nothing.
func TestVoterOfFirstElectionVotesAgain(t *testing.T) {
	n := newNetwork(3, "a", "b", "c")
	a, b, c := n.peers["a"], n.peers["b"], n.peers["c"]
	a.core.campaign()
	n.processReady(a)
	for c.core.vote == "" {
		n.deliver(0)
	}
	n.cutLinks[[2]string{"a", "c"}] = true
	for b.core.log.last() == 0 {
		n.run(1)
	}
	must.Zero(t, c.core.log.last())
	n.crash(a)
	n.heal()
	n.run(40 * testElectionTicks)
	must.NotNil(t, n.leader())
	n.requireInvariants(t)
}

func TestMessageOfOtherClusterIsIgnored(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	must.Eq(t, OtherCluster, a.core.Step(Message{From: "x", To: "a", ConsensusMessage: &laburnumv1.ConsensusMessage{
		Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND, Term: 99, Cluster: 8,
	}}))
	must.Eq(t, Leader, a.core.role)
	n.requireInvariants(t)
}

// TestFirstCommittedSheetKeepsItsNumber proposes the same sheet number at a leader that is cut off and at its
// successor, and once more after hundreds of entries, a change of leader and a restart. Only the one committed first
// counts.
func TestFirstCommittedSheetKeepsItsNumber(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.isolate("a")
	_, _, err := n.propose(a, 7, 1)
	must.NoError(t, err)
	for n.leader() == nil || n.leader() == a {
		n.run(1)
	}
	b := n.leader()
	_, _, err = n.propose(b, 7, 2)
	must.NoError(t, err)
	n.deliverAll()
	n.heal()
	n.run(4 * testElectionTicks)
	for i := range 300 {
		_, _, err = n.propose(n.leader(), 8+i, 1)
		must.NoError(t, err)
		n.deliverAll()
	}
	n.crash(n.leader())
	n.run(20 * testElectionTicks)
	_, _, err = n.propose(n.leader(), 7, 1)
	must.NoError(t, err)
	for _, name := range n.names {
		n.start(n.peers[name])
	}
	n.run(20 * testElectionTicks)
	must.Eq(t, "2", n.sheets["7"])
	n.requireInvariants(t)
}
