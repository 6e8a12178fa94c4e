// Package timer provides the relay's clock.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. Its zero is arbitrary; it never goes back.
type Clock interface {
	Now() time.Time
}

// BootClock is the clock of the time since the host's start. Unlike the monotonic
// clock it counts the time in which the host is suspended, so that what a host
// believes grows old meanwhile.
type BootClock struct{}

// Now returns the time since the host's start as a time after the epoch.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have this clock.
		panic("timer: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
