package orderforward

import "time"

const (
	// gateWindows and gateWindow give the time over which the call rate is measured: 1 s.
	gateWindows = 10
	gateWindow  = 100 * time.Millisecond
	// gateHold is how long the rate has to stay below half the threshold before calls are sent directly again, so that
	// short lulls don't close the streams.
	gateHold = 5 * time.Second
)

// gate decides by the rate of calls whether they are forwarded.
type gate struct {
	counts   [gateWindows]uint64
	next     int
	total    uint64 // calls ever counted, at the start of the current window
	endsAt   time.Duration
	open     bool
	lowSince time.Duration
}

// update reports whether calls are to be forwarded, given the number of calls ever made.
func (g *gate) update(total uint64, now time.Duration) bool {
	if now >= g.endsAt {
		g.counts[g.next] = total - g.total
		g.next = (g.next + 1) % gateWindows
		g.total, g.endsAt = total, now+gateWindow
	}
	rate := total - g.total
	for _, n := range g.counts {
		rate += n
	}
	switch {
	case rate >= forwardingThreshold:
		g.open = true
		g.lowSince = now
	case rate >= forwardingThreshold/2:
		g.lowSince = now
	case now-g.lowSince >= gateHold:
		g.open = false
	}
	return g.open
}
