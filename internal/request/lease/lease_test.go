package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestWithoutClockReadingNoLeaseIsGrantedOrLapsed(t *testing.T) {
	var c Clock
	_, ok := c.DeadlineAfter(time.Hour, time.Second)
	must.False(t, ok)
	must.False(t, c.Lapsed(0, time.Hour))
}

// Guards against a lease being reported as lapsed while the server still holds it: the server's clock may run at any
// permitted rate, and the reading may have been taken at any moment of the call.
func TestLapsedOnlyAfterServerClockPassedDeadline(t *testing.T) {
	const leaseTime = 5 * time.Second
	for _, rate := range []float64{0.98, 0.99, 1} {
		for _, readAt := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond} {
			sentAt, receivedAt := time.Second, time.Second+80*time.Millisecond
			serverClockMS := func(now time.Duration) int64 { return int64(float64(now.Milliseconds()) * rate) }
			var c Clock
			c.Observe(serverClockMS(sentAt+readAt), sentAt, receivedAt)
			deadline, ok := c.DeadlineAfter(receivedAt, leaseTime)
			must.True(t, ok)
			for now := receivedAt; now < receivedAt+7*time.Second; now += 10 * time.Millisecond {
				if c.Lapsed(deadline, now) {
					must.Greater(t, deadline, serverClockMS(now))
				}
			}
			must.True(t, c.Lapsed(deadline, receivedAt+MaxLapseTime(leaseTime)+100*time.Millisecond))
		}
	}
}

// A reading that was delayed on its way is older than it seems and must not lower the bound.
func TestDelayedReadingDoesNotLowerBound(t *testing.T) {
	var c Clock
	c.Observe(10_000, time.Second, time.Second)
	before, _ := c.DeadlineAfter(2*time.Second, 0)
	c.Observe(9_000, 2*time.Second, 2*time.Second)
	after, _ := c.DeadlineAfter(2*time.Second, 0)
	must.EqOp(t, before, after)
}
