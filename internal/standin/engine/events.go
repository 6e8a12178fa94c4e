package engine

import (
	"math/rand/v2"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// minKeptEvents is the least number of recent events that stay available.
	minKeptEvents        = 8192
	maxEventsPerResponse = 1024
)

// eventLog publishes cache events with a delay and drops a share of them, which
// leaves gaps in the sequence numbers. Engine.mu guards it.
type eventLog struct {
	lag       time.Duration
	dropShare float64
	rng       *rand.Rand
	sequence  uint64
	events    []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	at time.Time
	messenger.CacheEvent
}

func (l *eventLog) add(now time.Time, key identifier.BlockKey, evicted bool) {
	l.sequence++
	if l.rng.Float64() < l.dropShare {
		return
	}
	event := messenger.CacheEvent{Sequence: l.sequence, Key: key, Evicted: evicted}
	l.events = append(l.events, timedEvent{at: now, CacheEvent: event})
	if len(l.events) > 2*minKeptEvents {
		l.events = append(l.events[:0], l.events[minKeptEvents:]...)
	}
}

// publishedAfter returns the events above a sequence number that are older than
// the lag, at most maxEventsPerResponse.
func (l *eventLog) publishedAfter(now time.Time, sequence uint64) []messenger.CacheEvent {
	due := now.Add(-l.lag)
	published := make([]messenger.CacheEvent, 0)
	for _, e := range l.events {
		if e.at.After(due) || len(published) == maxEventsPerResponse {
			break
		}
		if e.Sequence > sequence {
			published = append(published, e.CacheEvent)
		}
	}
	return published
}

// reset discards all events and restarts the sequence at 1.
func (l *eventLog) reset() {
	l.sequence = 0
	l.events = nil
}
