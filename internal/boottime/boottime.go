// Package boottime reads the clock that goes on while a machine is suspended.
// The time of day may jump, and the steady clock of package time stands still
// during a suspension; what must expire in real time is measured here.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
