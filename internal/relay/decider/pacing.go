package decider

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/estimator"
)

const (
	// maxAnnouncedPaces bounds the paces in one message, each of some 30 bytes.
	maxAnnouncedPaces = 64
	// maxPaceAge is the age from which a pace isn't announced any more.
	maxPaceAge = 300 * time.Millisecond
)

// AnnouncedPace is what a target said about its machine in an answer to a host.
type AnnouncedPace struct {
	Target string `cbor:"1,keyasint"`
	// StartedAt is the start of the target's process, in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
	Percent   int   `cbor:"3,keyasint"`
	Slots     int   `cbor:"4,keyasint,omitempty"`
	// Age is the time since the answer.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// statedPace is a pace that was stated to this host.
type statedPace struct {
	percent, slots int
	at             time.Time
}

// newNeighbourMessage returns the next message to neighbours, with this host's loads.
func (s *State) newNeighbourMessage() Message {
	m := s.newLoadMessage()
	m.Paces = s.newPaces()
	return m
}

// newPaces returns the paces to announce to the neighbours. As paces change many times a second, and each host gets
// few answers of each target, hosts learn of most paces from each other.
func (s *State) newPaces() []AnnouncedPace {
	if len(s.unannounced) == 0 {
		return nil
	}
	var list []AnnouncedPace
	for _, id := range slices.Sorted(maps.Keys(s.unannounced)) {
		said := s.unannounced[id]
		if t, age := s.targets[id], s.now.Sub(said.at); t != nil && age <= maxPaceAge {
			list = append(list, AnnouncedPace{Target: id, StartedAt: t.StartedAt.UnixMilli(), Percent: said.percent, Slots: said.slots, Age: age})
		}
	}
	clear(s.unannounced)
	return list
}

// applyPaces records the paces that a peer announces. It ignores those of other processes, and all messages that may
// have waited while this host was suspended.
func (s *State) applyPaces(list []AnnouncedPace) {
	if s.constant {
		return
	}
	if s.constant || len(list) > maxAnnouncedPaces || s.now.Sub(s.resumedAt) < suspensionBacklogTime {
		return
	}
	for _, a := range list {
		t := s.targets[a.Target]
		if t != nil && t.StartedAt.UnixMilli() == a.StartedAt && a.Percent > 0 && a.Age >= 0 && a.Age <= maxPaceAge {
			s.recordPace(t, estimator.Pace{Slots: a.Slots, Percent: a.Percent}, s.now.Add(-a.Age))
		}
	}
}
