package engine

import (
	"math/rand/v2"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// keptEvents bounds the events that an engine keeps.
	keptEvents = 8192
	// sentEvents bounds the events in one answer.
	sentEvents = 1024
)

// eventLog keeps the cache events that are published late and with gaps. The
// Engine guards it.
type eventLog struct {
	lag       time.Duration
	dropShare float64
	rng       *rand.Rand
	sequence  uint64
	events    []datedEvent
}

type datedEvent struct {
	at time.Time
	messenger.CacheEvent
}

func (l *eventLog) add(now time.Time, key identifier.BlockKey, evicted bool) {
	l.sequence++
	if l.rng.Float64() < l.dropShare {
		return
	}
	event := messenger.CacheEvent{Sequence: l.sequence, Key: key, Evicted: evicted}
	l.events = append(l.events, datedEvent{at: now, CacheEvent: event})
	if len(l.events) > 2*keptEvents {
		l.events = append(l.events[:0], l.events[keptEvents:]...)
	}
}

// after returns the published events behind a sequence number.
func (l *eventLog) after(now time.Time, sequence uint64) []messenger.CacheEvent {
	due := now.Add(-l.lag)
	published := make([]messenger.CacheEvent, 0)
	for _, e := range l.events {
		if e.at.After(due) || len(published) == sentEvents {
			break
		}
		if e.Sequence > sequence {
			published = append(published, e.CacheEvent)
		}
	}
	return published
}

// reset forgets all events. The sequence begins again from 1.
func (l *eventLog) reset() {
	l.sequence = 0
	l.events = nil
}
