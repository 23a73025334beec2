package core

import (
	"testing"

	"github.com/shoenig/test/must"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

// delayAnswers lets ticks pass in each of which commands are committed, while the answers of a member arrive only after the next
// ones have been committed. It stops early once done returns true.
func (n *network) delayAnswers(t *testing.T, a *peer, member string, ticks int, done func() bool) {
	t.Helper()
	var delayed []Message
	for range ticks {
		for i := range busyRounds + 1 {
			_, _, err := n.propose(a, i, 1)
			must.NoError(t, err)
			for len(n.inFlight) > 0 {
				m := n.inFlight[0]
				if m.From == member {
					n.inFlight, delayed = n.inFlight[1:], append(delayed, m)
					continue
				}
				n.deliver(0)
			}
		}
		if done() {
			return
		}
		n.inFlight, delayed = delayed, nil
		n.deliverAll()
		for _, name := range n.names {
			n.tick(n.peers[name])
		}
		n.deliverAll()
	}
}

// Guards against a lost voter that is never replaced: on a log that is never idle, a learner whose answers take a little longer than
// a commit holds every entry soon, but never all of them at one moment. Two more losses then leave no quorum.
func TestLearnerThatKeepsUpIsPromotedThoughNeverLevel(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	n.add("d", nil, 0)
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	n.deliverAll()
	err = ErrNotCaughtUp
	n.delayAnswers(t, a, "d", 20*testElectionTicks, func() bool {
		must.Less(t, a.core.log.commit, a.core.progress["d"].match, must.Sprint("never level"))
		_, _, err = a.core.Promote("d")
		return err == nil
	})
	must.NoError(t, err)
	n.processReady(a)
	n.deliverAll()
	must.True(t, a.core.members.isVoter("d"))
	n.requireInvariants(t)
}

// Guards against a new voter that holds up every commit: a learner that answers, but whose disk is slow or hangs, isn't promoted on a
// busy log until it keeps up again.
func TestLearnerThatFallsBehindIsNotPromoted(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	d := n.add("d", nil, 0)
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	n.deliverAll()
	n.load(t, a, 2*testElectionTicks, nil)
	must.True(t, a.core.caughtUp("d"))
	n.setSlow(d, true)
	n.load(t, a, int(a.core.maxRoundTicks())+1, nil)
	must.True(t, a.core.progress["d"].active(a.core.now, testElectionTicks))
	_, _, err = a.core.Promote("d")
	must.ErrorIs(t, err, ErrNotCaughtUp)
	n.setSlow(d, false)
	n.load(t, a, 3, nil)
	_, _, err = a.core.Promote("d")
	must.NoError(t, err)
	n.requireInvariants(t)
}

// Guards against a leader that sends an empty replica the same part of its log with each heartbeat until the first answer comes: several of
// them on slow machines fill the leader's link, so that neither they nor the voters answer in time and no lost voter is replaced.
func TestLogIsNotRepeatedWithEachHeartbeat(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	for i := range 200 {
		_, _, err := n.propose(a, i, 1)
		must.NoError(t, err)
		n.deliverAll()
	}
	n.add("d", nil, 0)
	n.isolate("d")
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	n.run(1)
	index := a.core.log.last()
	// The learner rejects one probe; its later answers are still to come.
	a.core.Step(Message{From: "d", To: "a", ConsensusMessage: &laburnumv1.ConsensusMessage{
		Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND_RESPONSE, Term: a.core.term, Cluster: 7, Replica: n.peers["d"].replica, Reject: true, Index: index,
	}})
	sent := make(map[uint64]int)
	for range 20 * testHeartbeatTicks {
		n.tick(a)
		for _, m := range n.entriesTo("d") {
			for _, e := range m.Entries {
				sent[e.Index]++
			}
		}
		n.inFlight = nil
	}
	for index, times := range sent {
		must.EqOp(t, 1, times, must.Sprintf("index %d", index))
	}
}

// Guards against a lost voter that waits for a learner on a slow machine: it keeps up, but its answers take longer than an election timeout.
func TestLearnerWithLongRoundsIsPromoted(t *testing.T) {
	const delay = testElectionTicks + 1
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	n.add("d", nil, 0)
	_, _, err := a.core.AddLearner("d", "")
	must.NoError(t, err)
	n.processReady(a)
	var delayed [delay][]Message // answers of d, by the tick at which they arrive
	for tick := range 20 * testElectionTicks {
		_, _, err := n.propose(a, tick, 1)
		must.NoError(t, err)
		for _, m := range delayed[tick%delay] {
			n.step(m)
		}
		delayed[tick%delay] = nil
		for _, name := range n.names {
			n.tick(n.peers[name])
		}
		for len(n.inFlight) > 0 {
			if m := n.inFlight[0]; m.From == "d" {
				n.inFlight, delayed[tick%delay] = n.inFlight[1:], append(delayed[tick%delay], m)
				continue
			}
			n.deliver(0)
		}
		must.Less(t, a.core.log.commit, a.core.progress["d"].match, must.Sprint("never level"))
	}
	must.True(t, a.core.caughtUp("d"))
	n.requireInvariants(t)
}
