package core

import laburnumv1 "laburnumrouter/proto/laburnum/v1"

// preCampaign asks whether an election could be won, without disturbing anybody's term.
func (c *Core) preCampaign() {
	c.role, c.leader, c.transfer = PreCandidate, "", false
	c.votes = make(map[string]bool)
	c.askForVotes(laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE, c.term+1)
	if c.countVote(c.cfg.Name, true) == won {
		c.campaign()
	}
}

// campaign starts an election in a new term.
func (c *Core) campaign() {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.cfg.Name
	c.votes = make(map[string]bool)
	c.resetElectionTimer()
	c.askForVotes(laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE, c.term)
	if c.countVote(c.cfg.Name, true) == won {
		c.becomeLeader()
	}
}

func (c *Core) askForVotes(kind laburnumv1.ConsensusType, term uint64) {
	for _, m := range c.members.current() {
		if m.Name == c.cfg.Name || m.Learner {
			continue
		}
		c.send(m.Name, &laburnumv1.ConsensusMessage{
			Type: kind, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: c.transfer,
		})
	}
}

// upToDate reports whether a candidate's log holds everything that this replica's may have committed.
func (c *Core) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.last())
}

// hearsLeader reports whether a leader was in contact within the least election timeout: then votes are
// withheld, so that a replica that was cut off can't unseat it. A replica that has just started may have
// confirmed a leader in its earlier life and withholds its vote as long, where leaders rely on that.
func (c *Core) hearsLeader() bool {
	if c.cfg.LeaderLease && c.now < uint64(c.cfg.ElectionTicks) {
		return true
	}
	return c.leader != "" && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) stepPreVote(m Message) {
	grant := m.Term > c.term && c.upToDate(m) && !c.hearsLeader()
	resp := &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE_RESPONSE, Reject: !grant}
	if grant {
		resp.Term = m.Term
	}
	c.send(m.From, resp)
}

func (c *Core) stepVote(m Message) {
	free := c.vote == m.From || (c.vote == "" && c.leader == "")
	grant := free && c.upToDate(m)
	if grant {
		c.vote = m.From
		c.resetElectionTimer()
	}
	c.send(m.From, &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE_RESPONSE, Reject: !grant})
}

func (c *Core) stepPreVoteResponse(m Message) {
	if c.role != PreCandidate || (!m.Reject && m.Term != c.term+1) {
		return
	}
	switch c.countVote(m.From, !m.Reject) {
	case won:
		c.campaign()
	case lost:
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) stepVoteResponse(m Message) {
	if c.role != Candidate {
		return
	}
	switch c.countVote(m.From, !m.Reject) {
	case won:
		c.becomeLeader()
	case lost:
		c.becomeFollower(c.term, "")
	}
}

type verdict int

const (
	open verdict = iota
	won
	lost
)

// countVote records a vote and returns how the election stands.
func (c *Core) countVote(from string, granted bool) verdict {
	if _, ok := c.votes[from]; !ok {
		c.votes[from] = granted
	}
	yes, no := 0, 0
	for name, granted := range c.votes {
		switch {
		case !c.members.isVoter(name):
		case granted:
			yes++
		default:
			no++
		}
	}
	quorum := c.members.quorum()
	switch {
	case yes >= quorum:
		return won
	case c.members.voters()-no < quorum:
		return lost
	}
	return open
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.cfg.Name
	c.votes, c.transferee, c.transfer = nil, "", false
	c.heartbeat = 0
	c.reads = nil
	c.progress = make(map[string]*progress)
	c.syncProgress()
	// Only an entry of the own term shows which earlier entries are committed.
	c.appendOwn(laburnumv1.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// TransferLeadership hands leadership to the voter whose log is longest; the leader refuses proposals
// until that has happened or an election timeout has passed.
func (c *Core) TransferLeadership() {
	if c.role != Leader || c.transferee != "" {
		return
	}
	best := ""
	for _, m := range c.members.current() {
		p := c.progress[m.Name]
		if p == nil || m.Learner || !p.active(c.now, c.cfg.ElectionTicks) {
			continue
		}
		if best == "" || p.match > c.progress[best].match {
			best = m.Name
		}
	}
	if best == "" {
		return
	}
	c.transferee, c.transferAt = best, c.now
	if !c.maybeTimeoutNow() {
		c.sendAppend(best)
	}
}

// maybeTimeoutNow lets the transferee campaign once it holds the whole log.
func (c *Core) maybeTimeoutNow() bool {
	p := c.progress[c.transferee]
	if p == nil || p.match != c.log.last() {
		return false
	}
	c.send(c.transferee, &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_TIMEOUT_NOW})
	return true
}

func (c *Core) stepTimeoutNow(m Message) {
	if m.From != c.leader || !c.members.isVoter(c.cfg.Name) {
		return
	}
	c.transfer = true
	c.campaign()
}
