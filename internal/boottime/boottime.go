// Package boottime reads the clock that goes on while the machine is suspended.
// The one behind package time may stand still then, so that a process which
// wakes up would take what it knew before for fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine was started, suspensions included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had the clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
