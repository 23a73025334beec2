package core

import laburnumv1 "laburnumrouter/proto/laburnum/v1"

// Election is a campaign of this replica that has ended.
type Election struct {
	// Term is the term that the replica campaigned for. Pre is set if it only asked whether it would win.
	Term uint64
	Pre  bool
	// Won is set if a quorum granted its vote.
	Won bool
	// Voters are the names of all voters. Granted and Refused are those that answered, in the order of Voters.
	Voters, Granted, Refused []string
}

// Refusal is a vote that this replica refused.
type Refusal struct {
	Candidate string
	Term      uint64
	Pre       bool
	Reason    RefusalReason
}

// RefusalReason states why a vote was refused.
type RefusalReason string

// Reasons to refuse a vote.
const (
	refusedForLeader  RefusalReason = "a leader was in contact, or this replica has just started"
	refusedForVote    RefusalReason = "another candidate has the vote of this term"
	refusedForTerm    RefusalReason = "the term is not newer"
	refusedForLog     RefusalReason = "the candidate's log is behind"
	refusedForLostLog RefusalReason = "this replica may have lost its log"
)

// reportElection reports how the current campaign ended; without one it does nothing.
func (c *Core) reportElection(won bool) {
	if c.role != PreCandidate && c.role != Candidate {
		return
	}
	e := Election{Term: c.term, Pre: c.role == PreCandidate, Won: won, Voters: c.members.voterNames()}
	if e.Pre {
		e.Term++
	}
	for _, name := range e.Voters {
		switch granted, answered := c.votes[name]; {
		case granted:
			e.Granted = append(e.Granted, name)
		case answered:
			e.Refused = append(e.Refused, name)
		}
	}
	c.elections = append(c.elections, e)
}

// preCampaign asks the voters whether this replica would win an election, without changing any term.
func (c *Core) preCampaign() {
	c.reportElection(false)
	c.role, c.leader, c.transferCampaign = PreCandidate, "", false
	c.votes = make(map[string]bool)
	c.requestVotes(laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE, c.term+1)
	if c.countVote(c.cfg.Name, true) == electionWon {
		c.campaign()
	}
}

// campaign starts an election in a new term.
func (c *Core) campaign() {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.cfg.Name
	c.votes = make(map[string]bool)
	c.tookPartInFirstElection = c.tookPartInFirstElection || c.log.last() == 0
	c.resetElectionTimer()
	c.requestVotes(laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE, c.term)
	if c.countVote(c.cfg.Name, true) == electionWon {
		c.becomeLeader()
	}
}

func (c *Core) requestVotes(kind laburnumv1.ConsensusType, term uint64) {
	for _, m := range c.members.current() {
		if m.Name == c.cfg.Name || m.Learner {
			continue
		}
		c.sendAfterWrite(m.Name, &laburnumv1.ConsensusMessage{
			Type: kind, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: c.transferCampaign,
		})
	}
}

// candidateUpToDate reports whether a candidate's log is at least as up to date as this replica's: only then does
// it hold all entries that this replica helped to commit.
func (c *Core) candidateUpToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.last())
}

// mayHaveLostLog reports whether this replica has no log although there is one: it may have held a part of it, which was
// lost with its data folder. The folder's identifier doesn't tell a candidate that was cut off before the leader recorded
// it. A replica that took part in the election of the first leader has lost nothing.
func (c *Core) mayHaveLostLog(m Message) bool {
	return c.log.last() == 0 && m.Index > 0 && !c.tookPartInFirstElection
}

// withholdsVote reports whether a leader was in contact within the minimum election timeout. Votes are withheld
// for that time, so that a replica that was cut off can't replace a working leader. With LeaderLease, a replica
// also withholds its vote for that time after its start: it may have confirmed a leader before it restarted.
func (c *Core) withholdsVote() bool {
	if c.cfg.LeaderLease && c.now < uint64(c.cfg.ElectionTicks) {
		return true
	}
	return c.leader != "" && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) stepPreVote(m Message) {
	refusal := c.refusalForLog(m)
	switch {
	case m.Term <= c.term:
		refusal = refusedForTerm
	case c.withholdsVote():
		refusal = refusedForLeader
	}
	c.reportRefusal(m, true, refusal)
	resp := &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_PRE_VOTE_RESPONSE, Reject: refusal != ""}
	if refusal == "" {
		resp.Term = m.Term
	}
	c.send(m.From, resp)
}

func (c *Core) stepVote(m Message) {
	refusal := c.refusalForLog(m)
	switch {
	case c.vote != "" && c.vote != m.From:
		refusal = refusedForVote
	case c.vote == "" && c.leader != "":
		refusal = refusedForLeader
	}
	c.reportRefusal(m, false, refusal)
	if refusal == "" {
		c.vote = m.From
		c.tookPartInFirstElection = c.tookPartInFirstElection || c.log.last() == 0
		c.resetElectionTimer()
	}
	c.sendAfterWrite(m.From, &laburnumv1.ConsensusMessage{Type: laburnumv1.ConsensusType_CONSENSUS_TYPE_VOTE_RESPONSE, Reject: refusal != ""})
}

// refusalForLog returns why the state of the logs forbids to vote for a candidate, or "".
func (c *Core) refusalForLog(m Message) RefusalReason {
	switch {
	case !c.candidateUpToDate(m):
		return refusedForLog
	case c.mayHaveLostLog(m):
		return refusedForLostLog
	}
	return ""
}

// reportRefusal reports that a vote was refused for a reason; "" means that it wasn't.
func (c *Core) reportRefusal(m Message, pre bool, reason RefusalReason) {
	if reason != "" {
		c.refusals = append(c.refusals, Refusal{Candidate: m.From, Term: m.Term, Pre: pre, Reason: reason})
	}
}

func (c *Core) stepPreVoteResponse(m Message) {
	if c.role != PreCandidate || (!m.Reject && m.Term != c.term+1) {
		return
	}
	switch c.countVote(m.From, !m.Reject) {
	case electionWon:
		c.reportElection(true)
		c.campaign()
	case electionLost:
		c.reportElection(false)
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) stepVoteResponse(m Message) {
	if c.role != Candidate {
		return
	}
	switch c.countVote(m.From, !m.Reject) {
	case electionWon:
		c.reportElection(true)
		c.becomeLeader()
	case electionLost:
		c.reportElection(false)
		c.becomeFollower(c.term, "")
	}
}

type electionResult int

const (
	electionPending electionResult = iota
	electionWon
	electionLost
)

// countVote records a vote and returns the result of the election so far.
func (c *Core) countVote(from string, granted bool) electionResult {
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
		return electionWon
	case c.members.voterCount()-no < quorum:
		return electionLost
	}
	return electionPending
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.leaderless = Leader, c.cfg.Name, c.now-c.ledUntil
	c.votes, c.transferee, c.transferCampaign, c.abdicating = nil, "", false, false
	c.heartbeatElapsed = 0
	c.rounds, c.roundsLastTick, c.lastRound, c.allPromptUntil = 0, 0, c.log.last(), 0
	c.reads = nil
	c.progress = make(map[string]*progress)
	c.syncProgress()
	// Entries of earlier terms become committed only with an entry of this leader's own term (see maybeCommit).
	c.appendEntry(laburnumv1.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// TransferLeadership transfers leadership to the active voter with the longest matching log. This leader refuses
// proposals until the transfer is done or ElectionTicks have passed.
func (c *Core) TransferLeadership() {
	if c.role != Leader || c.transferee != "" {
		return
	}
	best := c.Successor()
	if best == "" {
		return
	}
	c.transferee, c.transferStart = best, c.now
	if !c.maybeSendTimeoutNow() {
		c.sendAppend(best)
	}
}

// Successor returns the active voter with the longest matching log other than this leader, or "" if there is none.
func (c *Core) Successor() (best string) {
	for _, m := range c.members.current() {
		p := c.progress[m.Name]
		if p == nil || m.Learner || !p.active(c.now, c.cfg.ElectionTicks) {
			continue
		}
		if best == "" || p.match > c.progress[best].match {
			best = m.Name
		}
	}
	return best
}

// Abdicate transfers leadership like TransferLeadership. If nobody takes over within ElectionTicks, this leader steps
// down.
func (c *Core) Abdicate() {
	c.TransferLeadership()
	c.abdicating = c.transferee != ""
}

// StorageLags reports whether this leader's oldest write has been waiting for its disk for HandoverTicks although a quorum
// without this replica has committed its entries.
func (c *Core) StorageLags() bool {
	if c.cfg.HandoverTicks == 0 || c.role != Leader || c.transferee != "" || len(c.writes) == 0 {
		return false
	}
	oldest := c.writes[0]
	return oldest.last > 0 && oldest.last <= c.log.commit && c.now-oldest.begunAt >= uint64(c.cfg.HandoverTicks)
}

// Transferring reports whether a transfer of this replica's leadership is in progress.
func (c *Core) Transferring() bool { return c.role == Leader && c.transferee != "" }

// maybeSendTimeoutNow tells the transferee to campaign at once, provided that it holds the whole log. It reports
// whether it did.
func (c *Core) maybeSendTimeoutNow() bool {
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
	c.transferCampaign = true
	c.campaign()
}
