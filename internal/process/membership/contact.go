package membership

import (
	"sync/atomic"
	"time"
)

// QuorumContact records the last known contact with the quorum of the control log, made directly or reported by other
// processes. It is safe for concurrent use.
type QuorumContact struct {
	origin time.Time
	last   atomic.Int64 // nanoseconds after origin; 0 for never
}

// NewQuorumContact returns a QuorumContact without any contact made so far. origin must lie before all times passed to
// its methods.
func NewQuorumContact(origin time.Time) *QuorumContact { return &QuorumContact{origin: origin} }

// Seen records contact with the quorum at the given time. An earlier time than the last one is ignored.
func (c *QuorumContact) Seen(at time.Time) {
	v := int64(at.Sub(c.origin))
	for {
		last := c.last.Load()
		if v <= last || c.last.CompareAndSwap(last, v) {
			return
		}
	}
}

// Age returns the time since the last contact, or since the origin if there was none.
func (c *QuorumContact) Age(now time.Time) time.Duration {
	return now.Sub(c.origin) - time.Duration(c.last.Load())
}

// Established reports whether there was any contact.
func (c *QuorumContact) Established() bool { return c.last.Load() > 0 }
