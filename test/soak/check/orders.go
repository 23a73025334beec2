package check

import (
	"time"

	"laburnumrouter/test/soak/history"
)

// configuration is what the history says of one version.
type configuration struct {
	version      int64
	digest       string
	keys, queues map[string]bool
	sent         int64
	acked        int64 // 0 if it was not acknowledged
}

func (c *checker) configuration(version int64) *configuration {
	for _, f := range c.configs {
		if f.version == version {
			return f
		}
	}
	return nil
}

func (c *checker) indexOrder(e *history.Event) {
	if e.Op != history.Put {
		return
	}
	f := c.configuration(e.Version)
	if f == nil {
		f = &configuration{version: e.Version, digest: e.Digest, keys: set(e.Keys), queues: set(e.Queues), sent: e.Sent}
		c.configs = append(c.configs, f)
	}
	if e.Status/100 == 2 && f.acked == 0 {
		f.acked = e.T
	}
}

func set(list []string) map[string]bool {
	m := make(map[string]bool, len(list))
	for _, s := range list {
		m[s] = true
	}
	return m
}

// newestAcked returns the highest version that was acknowledged a bound before a time.
func (c *checker) newestAcked(t int64, bound time.Duration) int64 {
	newest := int64(0)
	for _, f := range c.configs {
		if f.acked != 0 && f.acked <= t && c.over(f.acked, t, bound) {
			newest = max(newest, f.version)
		}
	}
	return newest
}

// checkOrders checks the answers to operators.
func (c *checker) checkOrders() {
	final := 0
	for i := range c.events {
		e := &c.events[i]
		switch {
		case e.Kind != history.Order:
		case e.Op == history.Put && e.Status/100 == 4 && e.Status != 408 && e.Status != 429:
			c.report(e.T, "CONFIG", "%s refuses the valid configuration %d with status %d", e.Node, e.Version, e.Status)
		case e.Op == history.Read && e.Status == 200:
			c.checkRead(e)
			if e.Last {
				final++
			}
		}
	}
	if c.finished && final == 0 {
		c.report(c.calm, "CONFIG", "the configuration could not be read at the end")
	}
}

func (c *checker) checkRead(e *history.Event) {
	f := c.configuration(e.Version)
	switch {
	case e.Error != "" || f == nil || f.sent > e.T:
		c.report(e.T, "CONFIG", "%s gives the configuration %d, which nobody sent", e.Node, e.Version)
	case f.digest != e.Digest:
		c.report(e.T, "CONFIG", "%s gives other content as configuration %d than was sent", e.Node, e.Version)
	case e.Version < c.newestAcked(e.Sent, configApply):
		c.report(e.T, "CONFIG", "%s gives configuration %d, and %d was acknowledged over %s before", e.Node, e.Version,
			c.newestAcked(e.Sent, configApply), configApply)
	case e.Last && e.Version < c.newestAcked(e.Sent, 0):
		c.report(e.T, "LOST", "%s gives configuration %d at the end, and %d was acknowledged", e.Node, e.Version, c.newestAcked(e.Sent, 0))
	}
}
