package core

import laburnumv1 "laburnumrouter/proto/laburnum/v1"

// maxUnstableEntries is the number of entries that may wait for a follower's disk. Beyond it, or beyond Config.MaxPendingBytes,
// the follower takes no more, so that a disk that hangs doesn't fill the memory.
const maxUnstableEntries = 16384

// maxSnapshotAllocation bounds the memory that is allocated for a snapshot before its bytes arrive.
const maxSnapshotAllocation = 64 << 20

// recordLeaderContact follows the sender as leader of this term and restarts the election timer.
func (c *Core) recordLeaderContact(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.heardByLeader = m.Answered
	c.electionElapsed, c.ledUntil = 0, c.now
}

// stepAppend appends the leader's entries if the log matches the leader's at the entry before them.
func (c *Core) stepAppend(m Message) {
	c.recordLeaderContact(m)
	entries := m.Entries
	if c.diskLags() {
		entries = nil
	}
	resp := &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND_RESPONSE, Round: m.Round}
	switch {
	case m.Index < c.log.commit:
		// Committed entries are equal in all logs, so the log matches up to the commit index.
		resp.Index = c.log.commit
	case c.log.matches(m.Index, m.LogTerm):
		resp.Index = m.Index + uint64(len(entries))
		c.appendFromLeader(entries)
		c.commitTo(min(m.Commit, resp.Index))
	default:
		resp.Reject = true
		resp.Index = m.Index
		resp.HintIndex, resp.HintTerm = c.log.findConflictByTerm(m.Index, m.LogTerm)
		c.send(m.From, resp)
		return
	}
	if len(entries) == 0 {
		// A heartbeat is answered at once, however slow the disk is: the answer confirms the leader.
		resp.Index = min(resp.Index, c.log.stable)
	}
	if resp.Index <= c.log.stable {
		c.send(m.From, resp)
		return
	}
	c.sendAfterWrite(m.From, resp)
}

// diskLags reports whether so many entries wait for the own disk that no more are taken.
func (c *Core) diskLags() bool {
	if c.log.last()-min(c.log.stable, c.log.last()) >= maxUnstableEntries {
		return true
	}
	return c.cfg.MaxPendingBytes > 0 && c.log.exceeds(max(c.log.baseIndex, c.log.stable), c.cfg.MaxPendingBytes)
}

// appendFromLeader appends the entries that the log lacks. From the first conflicting entry on, the old entries
// are dropped.
func (c *Core) appendFromLeader(entries []*laburnumv1.LogEntry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index)
			c.members.truncate(e.Index)
		}
		c.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			c.members.add(added)
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.log.commit = max(c.log.commit, min(index, c.log.last()))
}

// stepSnapshot collects the chunks of a snapshot and replaces the log by it once it is complete.
func (c *Core) stepSnapshot(m Message) {
	c.recordLeaderContact(m)
	meta := m.Snapshot
	if meta.GetIndex() <= c.log.commit || c.log.matches(meta.GetIndex(), meta.GetTerm()) {
		c.commitTo(meta.GetIndex())
		c.incomingSnapshot = nil
		if meta.GetIndex() > c.log.stable {
			// The disk may take long: until then the leader has nothing to send again.
			c.answerSnapshot(m, meta.GetSize())
		}
		c.acknowledgeCommitted(m.From)
		return
	}
	if c.incomingSnapshot == nil || c.incomingSnapshot.Meta.Index != meta.Index || c.incomingSnapshot.Meta.Term != meta.Term {
		c.incomingSnapshot = &Snapshot{Meta: meta, Data: make([]byte, 0, min(meta.Size, maxSnapshotAllocation))}
	}
	in := c.incomingSnapshot
	if m.Offset == uint64(len(in.Data)) && m.Offset+uint64(len(m.Chunk)) <= meta.Size {
		in.Data = append(in.Data, m.Chunk...)
	}
	if uint64(len(in.Data)) < meta.Size {
		c.answerSnapshot(m, uint64(len(in.Data)))
		return
	}
	c.log.reset(meta)
	c.members.reset(meta)
	c.pendingSnapshot, c.incomingSnapshot = in, nil
	c.acknowledgeCommitted(m.From)
}

// answerSnapshot tells the leader how much of a snapshot has been received.
func (c *Core) answerSnapshot(m Message, received uint64) {
	c.send(m.From, &laburnumv1.ConsensusMessage{
		Type:  laburnumv1.ConsensusType_CONSENSUS_TYPE_SNAPSHOT_RESPONSE,
		Index: m.Snapshot.GetIndex(), Offset: received, Round: m.Round,
	})
}

// acknowledgeCommitted tells the leader that this log matches its own up to the commit index.
func (c *Core) acknowledgeCommitted(leader string) {
	c.sendAfterWrite(leader, &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_APPEND_RESPONSE, Index: c.log.commit})
}
