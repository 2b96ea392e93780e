// Package boottime reads the clock that continues while the machine is suspended.
// The monotonic clock of package time may stop then, so that a resumed process
// would treat stale data as fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had the clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
