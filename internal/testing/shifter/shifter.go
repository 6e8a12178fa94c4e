// Package shifter provides a clock for tests that jumps as after a suspension of the host.
package shifter

import (
	"sync/atomic"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/timer"
)

// Clock is a boot clock that can be put forward. It is safe for concurrent use.
type Clock struct {
	timer.BootClock
	offset atomic.Int64
}

// Now returns the time since boot plus all shifts so far.
func (c *Clock) Now() time.Time {
	return c.BootClock.Now().Add(time.Duration(c.offset.Load()))
}

// Shift puts the clock forward by d.
func (c *Clock) Shift(d time.Duration) { c.offset.Add(int64(d)) }
