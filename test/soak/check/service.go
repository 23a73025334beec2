package check

import (
	"strings"
	"time"

	"laburnumrouter/test/soak/history"
)

// checkProcesses checks that no process ends by itself, that a planned stop ends in time, and what processes use.
func (c *checker) checkProcesses() {
	for node, ends := range c.down {
		for _, e := range ends {
			switch {
			case e.Planned || e.Cause == "signal: terminated" && c.justLaunched(e):
			case e.Op == "":
				c.report(e.T, "FAULT", "%s ended by itself: %s", node, e.Cause)
			case e.Op == "terminated" && e.Cause != "exit status 0":
				c.report(e.T, "FAULT", "%s ended with %s on SIGTERM", node, e.Cause)
			}
		}
	}
	for _, f := range c.faults {
		if f.cause == "term" && !strings.HasPrefix(f.target, "worker-") {
			c.checkStop(f)
		}
	}
	descriptors := descriptorsFixed + descriptorsPerProcess*c.settings.Size
	for i := range c.events {
		e := &c.events[i]
		if e.Kind == history.Usage && e.MemoryMB > memoryMB {
			c.report(e.T, "FAULT", "%s uses %d MB of memory, %d are allowed", e.Node, e.MemoryMB, memoryMB)
		}
		if e.Kind == history.Usage && e.Last && e.Descriptors > descriptors {
			c.report(e.T, "FAULT", "%s has %d descriptors open at the end, %d are allowed", e.Node, e.Descriptors, descriptors)
		}
	}
}

// justLaunched reports whether a process has ended before it could handle signals.
func (c *checker) justLaunched(e *history.Event) bool {
	launched := c.lifeOf(life{e.Node, e.Life}).launched
	return launched != 0 && !c.over(launched, e.T, launchTime)
}

// checkStop checks that a process ends in time after a SIGTERM, unless another fault acts on it.
func (c *checker) checkStop(f interval) {
	for _, e := range c.down[f.target] {
		if e.T < f.from || f.until != 0 && e.T > f.until {
			continue
		}
		if c.over(f.from, e.T, grace) && !c.disturbed(f.target, f.from, e.T, false) {
			c.report(e.T, "FAULT", "%s took %.3f s to stop, %s are allowed", f.target, history.Seconds(f.from, e.T), grace)
		}
		return
	}
}

// checkRecovery checks that the system serves again within the stated time after the last fault.
func (c *checker) checkRecovery() {
	if c.calm == 0 {
		return
	}
	entries := make(map[string]int64) // time of the first success, or 0
	configured := int64(0)
	for i := range c.events {
		e := &c.events[i]
		switch {
		case e.Kind == history.Call && e.Sent > c.calm:
			if ok := e.Op == history.Submit && e.Status/100 == 2; ok && entries[e.Node] == 0 {
				entries[e.Node] = e.T
			} else if entries[e.Node] == 0 {
				entries[e.Node] = 0
			}
		case e.Kind == history.Order && e.Op == history.Put && e.Sent > c.calm && e.Status/100 == 2 && configured == 0:
			configured = e.T
		}
	}
	for node, t := range entries {
		if t == 0 || c.over(c.calm, t, recovery) {
			c.report(c.calm, "RECOVER", "%s accepts no job within %s after the last fault (first one after %.3f s)", node, recovery, after(c.calm, t))
		}
	}
	if configured == 0 || c.over(c.calm, configured, recovery) {
		c.report(c.calm, "RECOVER", "no configuration is accepted within %s after the last fault (first one after %.3f s)", recovery, after(c.calm, configured))
	}
}

// after returns the seconds between two times, or -1 if the second is unknown.
func after(from, t int64) float64 {
	if t == 0 {
		return -1
	}
	return time.Duration(t - from).Seconds()
}
