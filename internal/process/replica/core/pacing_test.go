package core

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// load lets ticks pass in each of which some commands are proposed and all messages are delivered. An answer of a member
// takes the time in answerTimes.
func (n *network) load(t *testing.T, a *peer, ticks int, answerTimes map[string]time.Duration) {
	t.Helper()
	for range ticks {
		for i := range busyRounds + 1 {
			_, _, err := n.propose(a, i, 1)
			must.NoError(t, err)
			n.deliverTimed(a, answerTimes)
		}
		for _, name := range n.names {
			n.tick(n.peers[name])
		}
		n.deliverTimed(a, answerTimes)
	}
}

func (n *network) deliverTimed(a *peer, answerTimes map[string]time.Duration) {
	for len(n.inFlight) > 0 {
		now := a.core.time
		a.core.SetTime(now + answerTimes[n.inFlight[0].From])
		n.deliver(0)
		a.core.SetTime(now)
	}
}

// promptMembers proposes a command and returns the members that are sent it at once.
func (n *network) promptMembers(t *testing.T, a *peer) (list []string) {
	t.Helper()
	_, _, err := n.propose(a, 1, 1)
	must.NoError(t, err)
	for _, m := range n.inFlight {
		if len(m.Entries) > 0 {
			list = append(list, m.To)
		}
	}
	return list
}

// Guards against commits that stall after the loss of a member that the quorum consists of while the others are paced: the
// next tick sends them everything, and from the one after it on they get each append at once.
func TestPacedFollowersCatchUpWhenQuorumMemberIsLost(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c", "d", "e")
	n.run(4 * testHeartbeatTicks)
	must.Len(t, 4, n.promptMembers(t, a), must.Sprint("the log is idle"))
	n.deliverAll()
	n.load(t, a, 3, nil)
	must.Eq(t, []string{"b", "c"}, n.promptMembers(t, a))
	n.deliverAll()

	n.isolate("b")
	index, _, err := n.propose(a, 1, 1)
	must.NoError(t, err)
	n.deliverAll()
	must.Less(t, index, a.applied)
	n.run(1)
	must.Eq(t, index, a.applied)
	n.run(1)
	must.SliceContainsAll(t, n.promptMembers(t, a), []string{"c", "d", "e"})
	n.deliverAll()
	must.Eq(t, index+1, a.applied)
	n.load(t, a, testElectionTicks+1, nil)
	must.Eq(t, []string{"c", "d"}, n.promptMembers(t, a), must.Sprint("a new quorum of members that answer"))
	n.requireInvariants(t)
}

// Guards against a second loss: the leader and a member of its quorum are lost at once. What was committed is kept.
func TestCommittedEntriesSurviveLeaderAndQuorumMemberWhilePaced(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c", "d", "e")
	n.load(t, a, 3, nil)
	must.Eq(t, []string{"b", "c"}, n.promptMembers(t, a))
	n.deliverAll()
	committed := a.core.log.commit
	must.Less(t, committed, n.peers["d"].core.log.last())
	n.crash(a)
	n.crash(n.peers["b"])
	n.run(20 * testElectionTicks)
	leader := n.leader()
	must.NotNil(t, leader)
	must.GreaterEq(t, committed, leader.core.log.commit)
	must.GreaterEq(t, committed, n.peers["d"].applied)
	n.requireInvariants(t)
}

// Guards against a quorum of slow members: the fastest are chosen, and others once one of them has become slow.
func TestFastestFollowersMakeUpTheQuorum(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c", "d", "e")
	n.load(t, a, 6, map[string]time.Duration{"b": 9, "c": 5, "d": 4, "e": 6})
	must.Eq(t, []string{"c", "d"}, n.promptMembers(t, a))
	n.deliverAll()
	n.load(t, a, 3, map[string]time.Duration{"b": 9, "c": 40, "d": 4, "e": 6})
	must.Eq(t, []string{"d", "e"}, n.promptMembers(t, a))
	n.deliverAll()
	a.core.writeTime = 100 // the own disk is slower than all others
	n.run(1)
	n.load(t, a, 1, map[string]time.Duration{"b": 9, "c": 40, "d": 4, "e": 6})
	a.core.writeTime = 100
	a.core.selectPaced()
	must.Eq(t, []string{"b", "d", "e"}, n.promptMembers(t, a))
	n.deliverAll()
	n.requireInvariants(t)
}

// Guards against a busy log that keeps its learners from catching up, and so lost voters from being replaced.
func TestLearnerIsPromotedWhileLogIsBusy(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	n.add("d", nil, 0)
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	n.deliverAll()
	n.load(t, a, 3, nil)
	must.SliceNotContains(t, n.promptMembers(t, a), "d")
	n.deliverAll()
	must.Less(t, a.core.log.commit, a.core.progress["d"].match)
	_, _, err = a.core.Promote("d")
	must.NoError(t, err)
	n.processReady(a)
	n.deliverAll()
	n.requireInvariants(t)
}

// Guards against a crash of the leader that compacts entries which a paced member or one at its limit lacks: such a member
// gets the snapshot.
func TestPacedFollowerBehindCompactedLogGetsSnapshot(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c", "d", "e")
	a.core.cfg.MaxAppendBytes = 1 << 20
	n.load(t, a, 3, nil)
	for i := range 20 {
		_, _, err := n.propose(a, i, 1)
		must.NoError(t, err)
		n.deliverAll()
	}
	must.Less(t, a.applied-10, n.peers["d"].applied, must.Sprint("d is paced"))
	n.compact(a, 1)
	_, _, err := n.propose(a, 1, 1)
	must.NoError(t, err)
	n.deliverAll()
	n.run(4 * testHeartbeatTicks)
	must.Eq(t, a.applied, n.peers["d"].applied)
	n.requireInvariants(t)
}
