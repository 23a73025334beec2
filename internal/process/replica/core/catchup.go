package core

// maxRoundElections is the time, in election timeouts, within which a member that keeps up ends a round. A commit that needs the new voter
// may be held up for that long, once: the next change removes a voter that is lost. That is worth less than the vote of the lost one.
const maxRoundElections = 4

// catchUpRound measures whether a member keeps up with a log that grows. A round begins with an answer and ends once the member holds
// every entry that the leader had then. On a busy log hardly any member is level with the leader at one moment.
type catchUpRound struct {
	target uint64 // the last index of the leader's log when the round began
	since  uint64 // tick at which it began
	begun  bool
	inTime bool // the round before was short enough
}

// answered records that the member holds the entries up to match while the leader's log ends at last.
func (r *catchUpRound) answered(match, last, now, maxTicks uint64) {
	if r.begun && match < r.target {
		return
	}
	r.inTime = r.begun && now-r.since < maxTicks
	r.target, r.since, r.begun = last, now, true
}

// keepsUp reports whether the last round was short and the current one still may be.
func (r *catchUpRound) keepsUp(now, maxTicks uint64) bool { return r.inTime && now-r.since < maxTicks }

// maxRoundTicks is the longest round of a member that keeps up.
func (c *Core) maxRoundTicks() uint64 { return uint64(maxRoundElections * c.cfg.ElectionTicks) }

// caughtUp reports whether another member answers and holds enough of the log to vote.
func (c *Core) caughtUp(name string) bool {
	p := c.progress[name]
	return p != nil && p.folderID != 0 && p.active(c.now, c.cfg.ElectionTicks) && c.holdsEnough(p)
}

// holdsEnough reports whether a member holds all committed entries, or keeps up with the log.
func (c *Core) holdsEnough(p *progress) bool {
	return p.match >= c.log.commit || p.round.keepsUp(c.now, c.maxRoundTicks())
}
