package core

// catchUpRound measures whether a member keeps up with a log that grows. A round begins with an answer and ends once the member holds
// every entry that the leader had then. A member whose last round took less than an election timeout holds up a commit that needs it no
// longer than an election would. On a busy log hardly any member is level with the leader at one moment.
type catchUpRound struct {
	target uint64 // the last index of the leader's log when the round began
	since  uint64 // tick at which it began
	begun  bool
	inTime bool // the round before took less than the election timeout
}

// answered records that the member holds the entries up to match while the leader's log ends at last.
func (r *catchUpRound) answered(match, last, now uint64, electionTicks int) {
	if r.begun && match < r.target {
		return
	}
	r.inTime = r.begun && now-r.since < uint64(electionTicks)
	r.target, r.since, r.begun = last, now, true
}

// keepsUp reports whether the last round was short and the current one still may be.
func (r *catchUpRound) keepsUp(now uint64, electionTicks int) bool {
	return r.inTime && now-r.since < uint64(electionTicks)
}

// caughtUp reports whether another member answers and holds enough of the log to vote.
func (c *Core) caughtUp(name string) bool {
	p := c.progress[name]
	return p != nil && p.folderID != 0 && p.active(c.now, c.cfg.ElectionTicks) && c.holdsEnough(p)
}

// holdsEnough reports whether a member holds all committed entries, or those of a moment less than an election timeout ago.
func (c *Core) holdsEnough(p *progress) bool {
	return p.match >= c.log.commit || p.round.keepsUp(c.now, c.cfg.ElectionTicks)
}
