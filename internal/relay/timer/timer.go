// Package timer provides the relay's clock.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time, counted from an arbitrary start. It is monotonic.
type Clock interface {
	Now() time.Time
}

// BootClock measures the time since the boot of the machine. Unlike the monotonic clock
// it includes time in suspension, so that a host's information ages during a suspension too.
type BootClock struct{}

// Now returns the time since boot as an offset from the Unix epoch.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have this clock.
		panic("timer: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
