// Package boottime reads a clock that also counts the time in which the machine was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included. Promises that others rely on, such as a
// leader's lease, are judged by it: the steady clock of the runtime stands still in a suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here may be promised.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
