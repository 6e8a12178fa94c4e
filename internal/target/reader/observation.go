package reader

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Observation is the result of a read: LoadObserved, TargetUnreachable or
// CacheChanged.
type Observation interface{ isObservation() }

// LoadObserved carries a target's load report.
type LoadObserved struct {
	Report messenger.LoadReport
	// Sequence counts the reads of the target by this reader.
	Sequence uint64
	// At is when the report was requested, so that its age is not underestimated.
	At time.Time
}

// TargetUnreachable reports that a read of a target failed.
type TargetUnreachable struct {
	Target identifier.Target
	// Sequence counts the reads of the target by this reader.
	Sequence uint64
	// Failures counts the consecutive failures.
	Failures int
	Err      error
	At       time.Time
}

// CacheChanged carries the changes to an engine's cache.
type CacheChanged struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Events      []messenger.CacheEvent
	// Gap is true if earlier events were missed, so that the known content of the
	// cache may be wrong.
	Gap bool
	At  time.Time
}

func (LoadObserved) isObservation()      {}
func (TargetUnreachable) isObservation() {}
func (CacheChanged) isObservation()      {}
