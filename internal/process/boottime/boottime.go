// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that also counts the time in which the machine was suspended.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// testClock replaces the system clock in tests; nil otherwise.
var testClock atomic.Pointer[func() time.Duration]

// SetTestClock makes Now return the result of f until restore is called. It is for tests that run in virtual time.
func SetTestClock(f func() time.Duration) (restore func()) {
	before := testClock.Swap(&f)
	return func() { testClock.Store(before) }
}

// Now returns the time since the machine booted, including time in suspension. Guarantees on which other processes rely,
// such as a leader's lease, must be timed by it: the Go runtime's monotonic clock stops while the machine is suspended.
func Now() time.Duration {
	if f := testClock.Load(); f != nil {
		return (*f)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be timed safely.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
