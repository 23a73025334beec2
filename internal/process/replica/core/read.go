package core

import laburnumv1 "laburnumrouter/proto/laburnum/v1"

// pendingRead is a read that waits for a quorum to confirm that this replica is still the leader.
type pendingRead struct {
	id    uint64
	from  string
	index uint64 // 0 until the leader has committed an entry of its own term
	round uint64
}

// ReadIndex requests the index that must be applied before a linearizable read is served. The answer is returned as
// a Read in Ready. It may be lost, so the caller must retry after a timeout.
func (c *Core) ReadIndex(id uint64) error {
	switch {
	case c.role == Leader:
		c.startRead(pendingRead{id: id, from: c.cfg.Name})
	case c.leader != "":
		c.send(c.leader, &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_READ, Round: id})
	default:
		return ErrNotLeader
	}
	return nil
}

func (c *Core) stepRead(m Message) {
	if c.role == Leader {
		c.startRead(pendingRead{id: m.Round, from: m.From})
	}
}

func (c *Core) startRead(r pendingRead) {
	c.heartbeatRound++
	r.round = c.heartbeatRound
	if c.committedInTerm() {
		r.index = c.log.commit
	}
	c.reads = append(c.reads, r)
	c.broadcastHeartbeat()
	c.confirmReads()
}

// assignReadIndexes sets the index of the reads that arrived before the first commit of the term.
func (c *Core) assignReadIndexes() {
	for i := range c.reads {
		if c.reads[i].index == 0 {
			c.reads[i].index = c.log.commit
		}
	}
	c.confirmReads()
}

// confirmReads answers the reads whose heartbeat round a quorum has acknowledged.
func (c *Core) confirmReads() {
	var unconfirmed []pendingRead
	for _, r := range c.reads {
		if r.index == 0 || !c.quorumConfirmed(r.round) {
			unconfirmed = append(unconfirmed, r)
			continue
		}
		if r.from == c.cfg.Name {
			c.readyReads = append(c.readyReads, Read{ID: r.id, Index: r.index})
			continue
		}
		c.send(r.from, &laburnumv1.ConsensusMessage{
			Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_READ_RESPONSE, Round: r.id, Index: r.index,
		})
	}
	c.reads = unconfirmed
}

func (c *Core) quorumConfirmed(round uint64) bool {
	answers := 0
	for _, name := range c.members.voterNames() {
		if name == c.cfg.Name || c.progress[name].ackedRound >= round {
			answers++
		}
	}
	return answers >= c.members.quorum()
}
