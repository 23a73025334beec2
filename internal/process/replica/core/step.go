package core

import laburnumv1 "laburnumrouter/proto/laburnum/v1"

// DropReason states why Step ignored a message.
type DropReason string

// Reasons to ignore a message. For a stale message Step returns no reason.
const (
	// OtherCluster is returned if the sender belongs to another control log.
	OtherCluster DropReason = "the sender belongs to another control log"
	// FolderMismatch is returned if the sender's data folder isn't the one with which it joined: its hard state, and
	// with it its vote, is lost.
	FolderMismatch DropReason = "the sender has another data folder than it joined with"
)

// Step handles a message from another replica. If the message is ignored, it returns the reason.
func (c *Core) Step(m Message) DropReason {
	if drop := c.checkSender(m); drop != "" {
		return drop
	}
	if m.Term > c.term && !c.adoptHigherTerm(m) {
		return ""
	}
	if m.Term < c.term {
		c.rejectLowerTerm(m)
		return ""
	}
	c.dispatch(m)
	return ""
}

// checkSender rejects replicas of other control logs and those that lost their hard state. A replica that belongs
// to no log yet joins that of the first leader it hears.
func (c *Core) checkSender(m Message) DropReason {
	fromLeader := m.Type == laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND || m.Type == laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT
	if c.cluster == 0 && fromLeader {
		c.cluster = m.Cluster
	}
	if m.Cluster != c.cluster {
		return OtherCluster
	}
	known := c.members.get(m.From)
	if known.GetReplica() != 0 && known.Replica != m.Replica {
		return FolderMismatch
	}
	if p := c.progress[m.From]; p != nil {
		p.folderID = m.Replica
	}
	return ""
}

// adoptHigherTerm moves to the higher term of a message. Pre-votes and their grants don't change the term, as the term
// that they carry is only proposed. It returns false if the message is to be ignored.
func (c *Core) adoptHigherTerm(m Message) bool {
	switch m.Type {
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE:
		return true
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE_RESPONSE:
		if m.Reject {
			c.becomeFollower(m.Term, "")
		}
		return true
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE:
		if c.withholdsVote() && !m.Transfer {
			c.reportRefusal(m, false, refusedForLeader)
			return false
		}
		c.becomeFollower(m.Term, "")
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND, laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT:
		c.becomeFollower(m.Term, m.From)
	default:
		c.becomeFollower(m.Term, "")
	}
	return true
}

// rejectLowerTerm answers a leader or pre-candidate of an earlier term, so that it learns the current term.
func (c *Core) rejectLowerTerm(m Message) {
	resp := &laburnumv1.ConsensusMessage{Reject: true}
	switch m.Type {
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND, laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT:
		resp.Type = laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND_RESPONSE
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE:
		resp.Type = laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE_RESPONSE
	default:
		return
	}
	c.send(m.From, resp)
}

func (c *Core) dispatch(m Message) {
	switch m.Type {
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE:
		c.stepPreVote(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE_RESPONSE:
		c.stepPreVoteResponse(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE:
		c.stepVote(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE_RESPONSE:
		c.stepVoteResponse(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND:
		c.stepAppend(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND_RESPONSE:
		c.stepAppendResponse(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT:
		c.stepSnapshot(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT_RESPONSE:
		c.stepSnapshotResponse(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_TIMEOUT_NOW:
		c.stepTimeoutNow(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_READ:
		c.stepRead(m)
	case laburnumv1.ConsensusType_CONSENSUS_TYPE_READ_RESPONSE:
		c.readyReads = append(c.readyReads, Read{ID: m.Round, Index: m.Index})
	}
}
