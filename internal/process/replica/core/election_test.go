package core

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a lost quorum that the log can't tell from voters that refuse: a campaign reports whom it asked, who answered and how.
func TestElectionReportsVotersAndAnswers(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c", "d", "e")
	n.run(testElectionTicks)
	n.crash(a)
	n.crash(n.peers["b"])
	n.crash(n.peers["c"])
	d := n.peers["d"].core
	for range 4 * testElectionTicks {
		d.Tick()
	}
	r := d.Ready()
	must.Positive(t, len(r.Elections))
	last := r.Elections[len(r.Elections)-1]
	must.Eq(t, Election{Term: d.term + 1, Pre: true, Voters: []string{"a", "b", "c", "d", "e"}, Granted: []string{"d"}}, last)
	d.Advance(r)

	e := n.peers["e"].core // hears the old leader still
	e.Step(Message{From: "d", To: "e", ConsensusMessage: r.Messages[0].ConsensusMessage})
	refused := e.Ready().Refusals
	must.Len(t, 1, refused)
	must.Eq(t, Refusal{Candidate: "d", Term: d.term + 1, Pre: true, Reason: refusedForLeader}, refused[0])
}

// Guards against a new leader that takes its own start, or that of its process, for the loss of the leader before it: a lost voter is
// replaced too late, or one that works too early.
func TestLeaderKnowsHowLongThereWasNone(t *testing.T) {
	n, a := newElectedNetwork(t, "a", "b", "c")
	n.run(10 * testElectionTicks)
	n.crash(a)
	ticks := 0
	for ; n.leader() == nil && ticks < 40*testElectionTicks; ticks++ {
		n.run(1)
	}
	must.NotNil(t, n.leader())
	leaderless := n.leader().core.Status().LeaderlessTicks
	must.GreaterEq(t, testElectionTicks, leaderless)
	must.LessEq(t, uint64(ticks+testHeartbeatTicks), leaderless)
}
