// Package boottime reads the monotonic clock that includes the time during which the
// machine is suspended. It is used for everything that must expire in real time: the
// wall clock may jump, and the monotonic clock of package time stops during a suspend.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspends.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
