package core

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestRandomSchedules runs replicas through random schedules of ticks, proposals, reads, lost, repeated and reordered
// messages, partitions, pauses, slow disks, crashes at every point of Ready and of a write, snapshots, leadership transfers
// and membership changes. The network checks election safety, log matching, leader completeness, state-machine safety and reads.
func TestRandomSchedules(t *testing.T) {
	setDefaultChecks(t, 600)
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "size")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), []string{"a", "b", "c", "d", "e"}[:size]...)
		for _, name := range n.names {
			n.setSlow(n.peers[name], rapid.Bool().Draw(t, "slow"))
		}
		steps := rapid.IntRange(100, 800).Draw(t, "steps")
		for range steps {
			n.randomStep(t)
			if n.violation != nil {
				t.Fatal(n.violation)
			}
		}
		n.checkLogs()
		n.checkRecovery()
		if n.violation != nil {
			t.Fatal(n.violation)
		}
	})
}

// randomStep draws and does one action. Actions that are common in operation have a higher weight.
func (n *network) randomStep(t *rapid.T) {
	p := n.peers[rapid.SampledFrom(n.names).Draw(t, "peer")]
	switch action := rapid.IntRange(0, 99).Draw(t, "action"); {
	case action < 18:
		n.tick(p)
	case action < 64:
		n.randomDelivery(t)
	case action < 76:
		n.randomProposal(t, p)
	case action < 78 && p.up:
		n.read(p)
	case action < 83:
		n.crashAt = rapid.IntRange(beforeWrite, beforeApply).Draw(t, "point")
	case action < 88 && !p.up:
		n.start(p)
	case action < 89 && p.up && len(p.queued) > 0:
		n.finishWrite(p, noCrash)
		n.processReady(p)
	case action < 90:
		n.compact(p, uint64(rapid.IntRange(1, 4).Draw(t, "keep")))
	case action < 91:
		p.frozen = !p.frozen
	case action < 92:
		n.setSlow(p, !p.slow)
	case action < 94:
		other := rapid.SampledFrom(n.names).Draw(t, "other")
		n.cutLinks[[2]string{p.name, other}] = !n.cutLinks[[2]string{p.name, other}]
	case action < 96:
		n.heal()
	case action < 97 && p.up:
		p.core.TransferLeadership()
		n.processReady(p)
	case p.up:
		n.randomChange(t, p)
	}
}

func (n *network) randomDelivery(t *rapid.T) {
	if len(n.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(n.inFlight)-1, 5)).Draw(t, "message")
	switch rapid.IntRange(0, 11).Draw(t, "fate") {
	case 0:
		n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
	case 1:
		n.deliverMessage(n.inFlight[i])
	default:
		n.deliver(i)
	}
}

// randomProposal proposes a command, mostly at a leader if there is one, which may be a stale one.
func (n *network) randomProposal(t *rapid.T, p *peer) {
	for _, name := range n.names {
		if q := n.peers[name]; q.up && q.core.role == Leader && rapid.Bool().Draw(t, "here") {
			p = q
		}
	}
	if p.up {
		number, digest := rapid.IntRange(1, 20).Draw(t, "number"), rapid.IntRange(1, 3).Draw(t, "digest")
		_, _, _ = n.propose(p, number, digest)
	}
}

func (n *network) randomChange(t *rapid.T, p *peer) {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "member")
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		if n.peers[name] == nil && p.core.role == Leader {
			n.add(name, nil, 0)
		}
		_, _, _ = p.core.AddLearner(name, "")
	case 1:
		_, _, _ = p.core.Promote(name)
	case 2:
		_, _, _ = p.core.Remove(name)
	}
	n.processReady(p)
}

// checkRecovery ends all faults and checks that the log makes progress again on all members.
func (n *network) checkRecovery() {
	n.heal()
	n.crashAt = noCrash
	for _, name := range n.names {
		p := n.peers[name]
		p.frozen = false
		n.setSlow(p, false)
		if !p.up {
			n.start(p)
		}
	}
	const rounds = 40            // election timeouts to wait: votes may split several times in a row
	n.run(2 * testElectionTicks) // a stale leader needs an election timeout to step down
	for i := 0; i < rounds && n.leader() == nil; i++ {
		n.run(testElectionTicks)
	}
	n.run(testElectionTicks)
	p := n.leader()
	if p == nil {
		n.fail("no leader after all faults ended: %s", n.describePeers())
		return
	}
	index, _, err := n.propose(p, 1, 1)
	if err != nil {
		n.fail("leader %s refused a proposal: %v", p.name, err)
		return
	}
	n.run(4 * testHeartbeatTicks)
	for _, m := range p.core.Status().Members {
		if q := n.peers[m.Name]; q.applied < index {
			n.fail("%s applied index %d instead of %d after all faults ended", q.name, q.applied, index)
		}
	}
	n.checkLogs()
}

// describePeers returns the state of each replica, one a line.
func (n *network) describePeers() string {
	var lines []string
	for _, name := range n.names {
		c := n.peers[name].core
		lines = append(lines, fmt.Sprintf("%s: role %d term %d vote %q leader %q last %d/%d commit %d members %v",
			name, c.role, c.term, c.vote, c.leader, c.log.last(), c.log.lastTerm(), c.log.commit, c.members.current()))
	}
	return strings.Join(lines, "\n")
}

func TestNetworkDetectsForgottenVote(t *testing.T) {
	// Checks that the network detects violations: a replica that loses its vote lets two replicas lead the same term.
	n := newNetwork(1, "a", "b", "c")
	a, b, c := n.peers["a"], n.peers["b"], n.peers["c"]
	a.core.campaign()
	n.processReady(a)
	n.deliverOnlyBetween(a, c)
	c.disk.hardState.Vote, c.disk.hardState.Term = "", 0
	n.start(c)
	b.core.campaign()
	n.processReady(b)
	n.deliverOnlyBetween(b, c)
	must.Error(t, n.violation)
}

// deliverOnlyBetween delivers the messages between two replicas and drops all others, until none are in flight.
func (n *network) deliverOnlyBetween(a, b *peer) {
	for len(n.inFlight) > 0 {
		m := n.inFlight[0]
		pair := [2]string{m.From, m.To}
		if pair != [2]string{a.name, b.name} && pair != [2]string{b.name, a.name} {
			n.inFlight = n.inFlight[1:]
			continue
		}
		n.deliver(0)
	}
}
