package electorate

import (
	"slices"
	"time"
)

// Contacts records, on a leader, when each member last answered. Its zero value knows none. It reads no clock.
type Contacts struct {
	term       uint64
	began      time.Duration // when this leader was first updated in the term
	leaderless time.Duration
	now        time.Duration
	members    map[string]contact
}

// contact is what is known of a member in the present term.
type contact struct {
	last  time.Duration // when it last answered, or was first a member if it hasn't
	heard bool
}

// Update records which members are active at a time on a clock that also counts suspensions. leaderless is how long the leader of the
// term heard no other before it began to lead.
func (c *Contacts) Update(now time.Duration, term uint64, leaderless time.Duration, members, active []string) {
	if c.members == nil || c.term != term {
		c.term, c.began, c.leaderless, c.members = term, now, leaderless, make(map[string]contact)
	}
	c.now = now
	for _, name := range members {
		if _, known := c.members[name]; !known {
			c.members[name] = contact{last: now}
		}
	}
	for name := range c.members {
		switch {
		case !slices.Contains(members, name):
			delete(c.members, name)
		case slices.Contains(active, name):
			c.members[name] = contact{last: now, heard: true}
		}
	}
}

// Silent returns how long a member has been silent, and whether it has answered the present leader at all. Of one that hasn't, the time
// without a leader counts too once a member that runs would have answered: it may be the leader that was lost.
func (c *Contacts) Silent(name string) (silent time.Duration, heard bool) {
	m := c.members[name]
	silent = c.now - m.last
	if !m.heard && m.last == c.began && silent >= extraSilentAfter {
		silent += c.leaderless
	}
	return silent, m.heard
}
