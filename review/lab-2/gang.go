package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member waits for the others (gang_timeout_ms).
const gangTimeout = 3 * time.Second

// gang is one run of a gang. Its members work only together, from the moment when all are present, and end done together.
type gang struct {
	mu      sync.Mutex
	count   int
	took    time.Duration
	members map[string]bool
	endsAt  time.Time // zero until all are present
	broken  bool      // a member has ended otherwise
}

// joinGang adds a run to its gang.
func (c *cluster) joinGang(r *run, count int, ms int64) *gang {
	c.gangMu.Lock()
	if c.gangs == nil {
		c.gangs = make(map[string]*gang)
	}
	key := fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.number)
	g := c.gangs[key]
	if g == nil {
		g = &gang{count: count, took: time.Duration(ms) * time.Millisecond, members: make(map[string]bool)}
		c.gangs[key] = g
	}
	c.gangMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[r.task] = true
	if len(g.members) == count && g.endsAt.IsZero() {
		g.endsAt = time.Now().Add(g.took)
	}
	return g
}

// outcome returns how a member ends at a time, or an empty string.
func (g *gang) outcome(r *run, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.broken:
		return "broken"
	case !g.endsAt.IsZero() && !now.Before(g.endsAt):
		return r.how
	case g.endsAt.IsZero() && now.Sub(r.began) >= gangTimeout:
		return "alone"
	}
	return ""
}

// leave records that a member has ended.
func (g *gang) leave(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = g.broken || how != "done" && (g.endsAt.IsZero() || time.Now().Before(g.endsAt))
}
