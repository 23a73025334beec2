package orderforward

import "time"

const (
	// gateWindows and gateWindow give the time over which the call rate is measured: 1 s.
	gateWindows = 10
	gateWindow  = 100 * time.Millisecond
	// gateHold is how long the rate has to stay low before fewer forwarders are used, so that short lulls don't close
	// streams.
	gateHold = 5 * time.Second
	// callsPerForwarder is the number of calls per second for which one forwarder is used. The cost on the leader is mostly
	// one of batches, so a few large batches cost less than many small ones. A direct call takes some 100 us of CPU time,
	// so this is 0.15 of a core on the forwarder.
	callsPerForwarder = 1500
	// minForwarders are used, if there are as many, so that the loss of one affects only a part of the servers.
	minForwarders = 2
	// lowFraction is the fraction of the rate for which a number of forwarders is used, below which fewer are used.
	lowFraction = 0.5
)

// gate decides by the rate of calls how many forwarders are used.
type gate struct {
	counts   [gateWindows]uint64
	next     int
	total    uint64 // calls ever counted, at the start of the current window
	endsAt   time.Duration
	wanted   int
	lowSince time.Duration
}

// update returns the number of forwarders to use, given the number of calls ever made; 0 means that all calls are direct.
func (g *gate) update(total uint64, now time.Duration) int {
	if now >= g.endsAt {
		g.counts[g.next] = total - g.total
		g.next = (g.next + 1) % gateWindows
		g.total, g.endsAt = total, now+gateWindow
	}
	rate := uint64(0)
	for _, n := range g.counts {
		rate += n
	}
	if n := forwardersFor(float64(rate)); n >= g.wanted {
		g.wanted = n
		g.lowSince = now
	}
	if forwardersFor(float64(rate)/lowFraction) >= g.wanted {
		g.lowSince = now
	}
	if now-g.lowSince >= gateHold {
		g.wanted = forwardersFor(float64(rate) / lowFraction)
		g.lowSince = now
	}
	return g.wanted
}

// forwardersFor returns the number of forwarders for a rate of calls per second.
func forwardersFor(rate float64) int {
	if rate < forwardingThreshold {
		return 0
	}
	return max(minForwarders, int((rate+callsPerForwarder-1)/callsPerForwarder))
}
