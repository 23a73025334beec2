package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestUnknownClockGrantsAndConcludesNothing(t *testing.T) {
	var c Clock
	_, ok := c.Grant(time.Hour, time.Second)
	must.False(t, ok)
	must.False(t, c.Lapsed(0, time.Hour))
}

// Whatever rate the server's clock has within its bounds, and whenever within the call it was read, a lease that is
// said to have lapsed has lapsed.
func TestLapsed(t *testing.T) {
	const granted = 5 * time.Second
	for _, rate := range []float64{0.98, 0.99, 1} {
		for _, readAt := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond} {
			asked, heard := time.Second, time.Second+80*time.Millisecond
			shows := func(now time.Duration) int64 { return int64(float64(now.Milliseconds()) * rate) }
			var c Clock
			c.Observe(shows(asked+readAt), asked, heard)
			deadline, ok := c.Grant(heard, granted)
			must.True(t, ok)
			for now := heard; now < heard+7*time.Second; now += 10 * time.Millisecond {
				if c.Lapsed(deadline, now) {
					must.Greater(t, deadline, shows(now))
				}
			}
			must.True(t, c.Lapsed(deadline, heard+LapseWithin(granted)+100*time.Millisecond))
		}
	}
}

// A reading that was delayed on its way doesn't move the bound back.
func TestLateReadingIsLeftOut(t *testing.T) {
	var c Clock
	c.Observe(10_000, time.Second, time.Second)
	before, _ := c.Grant(2*time.Second, 0)
	c.Observe(9_000, 2*time.Second, 2*time.Second)
	after, _ := c.Grant(2*time.Second, 0)
	must.EqOp(t, before, after)
}
