// Package boottime reads a clock that also counts the time in which the machine was suspended.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// substitute is what Now returns instead, in tests.
var substitute atomic.Pointer[func() time.Duration]

// Substitute makes Now return what f does until restore is called, for tests in virtual time.
func Substitute(f func() time.Duration) (restore func()) {
	before := substitute.Swap(&f)
	return func() { substitute.Store(before) }
}

// Now returns the time since the machine started, suspensions included. Promises that others rely on, such as a
// leader's lease, are judged by it: the steady clock of the runtime stands still in a suspension.
func Now() time.Duration {
	if f := substitute.Load(); f != nil {
		return (*f)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here may be promised.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
