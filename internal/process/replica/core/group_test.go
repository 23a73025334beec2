package core

import (
	"testing"

	"github.com/shoenig/test/must"
)

// entriesTo returns the messages with entries that are in flight to a replica.
func (n *network) entriesTo(name string) (list []Message) {
	for _, m := range n.inFlight {
		if m.To == name && len(m.Entries) > 0 {
			list = append(list, m)
		}
	}
	return list
}

// Guards against a message for each proposal: proposals wait at the limit of unanswered messages and are then sent
// together, delayed by no more than the answer to an earlier message.
func TestProposalsAtTheLimitAreSentTogether(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	a.core.cfg.MaxAppendBytes = 1 << 20
	for i := range 10 {
		_, _, err := n.propose(a, i, 1)
		must.NoError(t, err)
		must.Len(t, min(i+1, maxInflight), n.entriesTo("b"), must.Sprint("the first are sent at once"))
	}
	n.deliverTo("b")
	answers := n.sent("b", appendResponse)
	must.Len(t, maxInflight, answers)
	n.inFlight = answers[:1]
	n.deliverTo("a")
	sent := n.entriesTo("b")
	must.Len(t, 1, sent)
	must.Len(t, 10-maxInflight, sent[0].Entries)
	n.run(2 * testHeartbeatTicks)
	must.Eq(t, a.core.log.last(), n.peers["b"].applied)
	n.requireInvariants(t)
}

// Guards against a stalled follower: one that catches up is sent more than maxInflight full messages at a time.
func TestFollowerThatCatchesUpGetsFullMessagesInAdvance(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	for i := range 100 {
		_, _, _ = a.core.Propose([]byte{byte(i)})
	}
	n.processReady(a)
	must.Greater(t, maxInflight, len(n.entriesTo("b")))
	must.LessEq(t, maxFullInflight, len(n.entriesTo("b")))
}

// Guards against a link that stays at its limit after messages or answers were lost: the next heartbeat finds out.
func TestLostAppendsAndAnswersAreNoticedByHeartbeat(t *testing.T) {
	for _, lost := range []string{"appends", "answers"} {
		n, a := newElectedNetwork(t, "a", "b", "c")
		n.run(4 * testHeartbeatTicks)
		for i := range 5 {
			_, _, _ = n.propose(a, i, 1)
		}
		if lost == "answers" {
			n.deliverTo("b")
			n.deliverTo("c")
		}
		n.inFlight = nil
		n.run(2 * testHeartbeatTicks)
		must.Eq(t, a.core.log.last(), a.core.log.commit, must.Sprint(lost))
		must.Eq(t, a.core.log.last(), n.peers["b"].applied, must.Sprint(lost))
		n.requireInvariants(t)
	}
}

// Guards against a message for the commit index alone after each append of a busy log. It is sent with the next append,
// or at the next tick.
func TestCommitIndexTravelsWithAppendsOfBusyLog(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(4 * testHeartbeatTicks)
	propose := func() (index uint64) {
		index, _, err := n.propose(a, 1, 1)
		must.NoError(t, err)
		n.deliverAll()
		must.Eq(t, index, a.applied)
		return index
	}
	must.Eq(t, propose(), n.peers["b"].applied, must.Sprint("the log is idle"))
	for range busyRounds {
		propose()
	}
	a.core.Tick()
	n.processReady(a)
	n.deliverAll()
	first := propose()
	must.Less(t, first, n.peers["b"].applied)
	last := propose()
	must.Eq(t, first, n.peers["b"].applied)
	n.run(1)
	must.Eq(t, last, n.peers["b"].applied)
	n.requireInvariants(t)
}
