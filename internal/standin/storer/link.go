package storer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// linkWindow is the span over which the peak rates of a link are taken.
const linkWindow = 100 * time.Millisecond

// LinkStats accounts for the bytes of one link.
type LinkStats struct {
	// Bytes counts all bytes that were carried.
	Bytes int64 `json:"bytes"`
	// PeakBytesPerSecond is the highest rate carried within one window of 100 ms.
	PeakBytesPerSecond float64 `json:"peak-bytes-per-second"`
	// PeakOfferedBytesPerSecond is the highest rate asked for within one window of 100 ms.
	PeakOfferedBytesPerSecond float64 `json:"peak-offered-bytes-per-second"`
	// MaxWaitMilliseconds is the longest time that a transfer waited behind others.
	MaxWaitMilliseconds int64 `json:"max-wait-ms"`
	// BusyMilliseconds is the time for which the link was in use.
	BusyMilliseconds int64 `json:"busy-ms"`
}

// link carries one transfer at a time at a limited rate. Its owner guards it.
type link struct {
	clock   clockwork.Clock
	rate    float64
	free    time.Time
	stats   LinkStats
	busy    time.Duration
	carried window
	offered window
}

// reserve queues n bytes and returns when their transfer begins and ends.
func (l *link) reserve(n int64) (begin, end time.Time) {
	now := l.clock.Now()
	begin = now
	if l.free.After(now) {
		begin = l.free
	}
	l.free = begin.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := begin.Sub(now).Milliseconds()
	l.stats.MaxWaitMilliseconds = max(l.stats.MaxWaitMilliseconds, wait)
	l.offered.add(now, float64(n))
	return begin, l.free
}

// carry accounts for n bytes that crossed the link between begin and end.
func (l *link) carry(n int64, begin, end time.Time) {
	l.stats.Bytes += n
	l.busy += end.Sub(begin)
	if !end.After(begin) {
		l.carried.add(begin, float64(n))
		return
	}
	perSecond := float64(n) / end.Sub(begin).Seconds()
	for at := begin; at.Before(end); {
		next := at.Truncate(linkWindow).Add(linkWindow)
		if next.After(end) {
			next = end
		}
		l.carried.add(at, perSecond*next.Sub(at).Seconds())
		at = next
	}
}

func (l *link) report() LinkStats {
	stats := l.stats
	stats.PeakBytesPerSecond = l.carried.peak / linkWindow.Seconds()
	stats.PeakOfferedBytesPerSecond = l.offered.peak / linkWindow.Seconds()
	stats.BusyMilliseconds = l.busy.Milliseconds()
	return stats
}

// window sums bytes by windows of time and keeps the highest sum. Transfers
// may be added a little out of order.
type window struct {
	sums map[int64]float64
	peak float64
}

const keptWindows = 64

func (w *window) add(at time.Time, n float64) {
	if w.sums == nil {
		w.sums = make(map[int64]float64)
	}
	i := at.UnixNano() / int64(linkWindow)
	w.sums[i] += n
	w.peak = max(w.peak, w.sums[i])
	if len(w.sums) <= 2*keptWindows {
		return
	}
	for old := range w.sums {
		if old < i-keptWindows {
			delete(w.sums, old)
		}
	}
}

// sleepUntil waits until t and returns false when ctx ends before.
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
