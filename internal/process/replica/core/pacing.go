package core

import (
	"cmp"
	"slices"
	"time"
)

// silentTicks is the time after which a member that hasn't answered an append counts as silent, unless the heartbeat
// interval is shorter.
const silentTicks = 2

// unmeasured stands for the response time of a member that hasn't answered an append yet.
const unmeasured = time.Hour

// Members that are not needed for a quorum are paced while the log is busy: they get appends once per tick. All others, and
// on an idle log all members, get each append at once. So that a quorum is found again after the loss of one of its members,
// the tick is also the longest time for which a paced member lacks an entry on the wire.

// SetTime sets the time since an arbitrary start. It only serves to measure the response times of members and of the own
// disk; without it all members count as equally fast.
func (c *Core) SetTime(now time.Duration) { c.time = now }

// busy reports whether the next append is expected to follow within a tick.
func (c *Core) busy() bool { return c.roundsLastTick >= busyRounds }

// due reports whether a member is to be sent appends now.
func (c *Core) due(name string, p *progress) bool {
	return !p.paced || c.tickDue || name == c.transferee || c.log.exceeds(p.next-1, c.cfg.MaxAppendBytes)
}

// silent reports whether an append has been unanswered for silentTicks.
func (c *Core) silent(p *progress) bool {
	return len(p.inflight) > 0 && c.waitsTooLong(p.waitingSince)
}

func (c *Core) waitsTooLong(since uint64) bool {
	return c.now-since >= uint64(min(silentTicks, c.cfg.HeartbeatTicks))
}

// smooth returns the moving average of response times after another sample.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return (3*average + sample) / 4
}

// recordSent notes that a message with entries of a total size is unanswered.
func (c *Core) recordSent(p *progress, bytes int) {
	if len(p.inflight) == 0 {
		p.waitingSince, p.timedIndex, p.timedSince = c.now, p.next-1, c.time
	}
	p.inflight = append(p.inflight, inflightMessage{last: p.next - 1, bytes: bytes})
	p.inflightBytes += bytes
}

// recordAnswered removes the messages whose entries are all durable at the member from the unanswered ones.
func (c *Core) recordAnswered(p *progress) {
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight, p.waitingSince = p.inflight[1:], c.now
	}
	if p.timedIndex != 0 && p.timedIndex <= p.match {
		p.responseTime, p.timedIndex = smooth(p.responseTime, c.time-p.timedSince), 0
	}
}

// candidate is a voter that may be among those that make up the quorum.
type candidate struct {
	progress *progress // nil for this replica
	silent   bool
	time     time.Duration
}

// selectPaced decides which members are paced: on a busy log all but the voters that make up the fastest quorum. Once one
// of these is silent, nobody is paced for an election timeout.
func (c *Core) selectPaced() {
	candidates := []candidate{c.ownCandidate()}
	for _, name := range c.peers() {
		p := c.progress[name]
		if !c.members.isVoter(name) {
			continue
		}
		next := candidate{progress: p, silent: c.silent(p) || !p.active(c.now, c.cfg.ElectionTicks), time: p.responseTime}
		if next.silent && p.inQuorum {
			c.allPromptUntil = c.now + uint64(c.cfg.ElectionTicks)
		}
		if next.time == 0 {
			next.time = unmeasured
		} else if p.inQuorum {
			next.time -= next.time / 4 // replaced only by a member that is clearly faster
		}
		candidates = append(candidates, next)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.silent != b.silent {
			return cmp.Compare(btoi(a.silent), btoi(b.silent))
		}
		return cmp.Compare(a.time, b.time)
	})
	quorum := candidates[:min(c.members.quorum(), len(candidates))]
	pace := c.busy() && c.now >= c.allPromptUntil && !quorum[len(quorum)-1].silent
	for _, p := range c.progress {
		p.paced, p.inQuorum = pace, false
	}
	for _, member := range quorum {
		if p := member.progress; p != nil {
			p.paced, p.inQuorum = false, true
		}
	}
}

// ownCandidate describes this replica's disk. Unlike an append, a write waits for the one before it, so half of its time
// counts.
func (c *Core) ownCandidate() candidate {
	return candidate{silent: len(c.writes) > 0 && c.waitsTooLong(c.writes[0].begunAt), time: c.writeTime / 2}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
