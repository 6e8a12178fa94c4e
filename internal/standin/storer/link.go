package storer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// peakWindow is the length of the windows in which peak rates are measured.
const peakWindow = 100 * time.Millisecond

// LinkStats holds the usage statistics of one link.
type LinkStats struct {
	// Bytes is the number of bytes transferred.
	Bytes int64 `json:"bytes"`
	// PeakBytesPerSecond is the highest rate of transferred bytes in a window of 100 ms.
	PeakBytesPerSecond float64 `json:"peak-bytes-per-second"`
	// PeakOfferedBytesPerSecond is the highest rate of requested bytes in a window of 100 ms.
	PeakOfferedBytesPerSecond float64 `json:"peak-offered-bytes-per-second"`
	// MaxWaitMilliseconds is the longest time that a transfer waited for earlier ones.
	MaxWaitMilliseconds int64 `json:"max-wait-ms"`
	// BusyMilliseconds is the total duration of all transfers.
	BusyMilliseconds int64 `json:"busy-ms"`
}

// link simulates a network link that handles one transfer at a time at a limited
// rate. Storer.mu guards it.
type link struct {
	clock clockwork.Clock
	// rate is in bytes per second.
	rate float64
	// freeAt is when all reserved transfers have ended.
	freeAt      time.Time
	stats       LinkStats
	busyTime    time.Duration
	transferred peakCounter
	offered     peakCounter
}

// reserve queues a transfer of n bytes and returns when it begins and ends.
func (l *link) reserve(n int64) (begin, end time.Time) {
	now := l.clock.Now()
	begin = now
	if l.freeAt.After(now) {
		begin = l.freeAt
	}
	l.freeAt = begin.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := begin.Sub(now).Milliseconds()
	l.stats.MaxWaitMilliseconds = max(l.stats.MaxWaitMilliseconds, wait)
	l.offered.add(now, float64(n))
	return begin, l.freeAt
}

// recordTransfer updates the statistics for a transfer of n bytes from begin to
// end, whose bytes it spreads evenly over the windows in between.
func (l *link) recordTransfer(n int64, begin, end time.Time) {
	l.stats.Bytes += n
	l.busyTime += end.Sub(begin)
	if !end.After(begin) {
		l.transferred.add(begin, float64(n))
		return
	}
	rate := float64(n) / end.Sub(begin).Seconds()
	for at := begin; at.Before(end); {
		next := at.Truncate(peakWindow).Add(peakWindow)
		if next.After(end) {
			next = end
		}
		l.transferred.add(at, rate*next.Sub(at).Seconds())
		at = next
	}
}

// snapshot returns the current statistics.
func (l *link) snapshot() LinkStats {
	stats := l.stats
	stats.PeakBytesPerSecond = l.transferred.peak / peakWindow.Seconds()
	stats.PeakOfferedBytesPerSecond = l.offered.peak / peakWindow.Seconds()
	stats.BusyMilliseconds = l.busyTime.Milliseconds()
	return stats
}

// peakCounter sums bytes by time window and keeps the highest sum. Bytes may be
// added slightly out of order, because it retains the latest windows.
type peakCounter struct {
	bytesByWindow map[int64]float64
	peak          float64
}

// minKeptWindows is the number of latest windows that a peakCounter always retains.
const minKeptWindows = 64

func (c *peakCounter) add(at time.Time, n float64) {
	if c.bytesByWindow == nil {
		c.bytesByWindow = make(map[int64]float64)
	}
	i := at.UnixNano() / int64(peakWindow)
	c.bytesByWindow[i] += n
	c.peak = max(c.peak, c.bytesByWindow[i])
	if len(c.bytesByWindow) <= 2*minKeptWindows {
		return
	}
	for old := range c.bytesByWindow {
		if old < i-minKeptWindows {
			delete(c.bytesByWindow, old)
		}
	}
}

// sleepUntil waits until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, clock clockwork.Clock, t time.Time) bool {
	wait := t.Sub(clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
