package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Status is a daemon's account of itself for operators and metrics.
type Status struct {
	ConfigVersion uint64
	Draining      bool
	// InFlight counts the requests in the daemon, Queued those that wait for a target.
	InFlight int
	Queued   int
	Targets  []TargetStatus
	Hosts    []identifier.Host
}

// TargetStatus is what the daemon knows of one target.
type TargetStatus struct {
	Target      identifier.Target
	DataCentre  identifier.DataCentre
	State       specifier.State
	Incarnation identifier.Incarnation
	Cold        bool
	// Limit is how many requests the target may run now.
	Limit int
	// Load is the estimated number of requests on the target, InFlight this daemon's own.
	Load     int
	InFlight int
	Owner    identifier.Host
	// Age is the time since the last load report; 0 when there was none.
	Age time.Duration
}

// Status returns the state as of now.
func (s *State) Status(now time.Time) Status {
	status := Status{
		ConfigVersion: s.version, Draining: s.draining.draining,
		InFlight: len(s.requests), Hosts: s.hosts,
	}
	for _, q := range s.queues {
		status.Queued += len(q.waiting)
	}
	for _, t := range s.sortedTargets() {
		status.Targets = append(status.Targets, s.targetStatus(t, now))
	}
	return status
}

func (s *State) targetStatus(t *target, now time.Time) TargetStatus {
	state := specifier.StateIn
	if !s.takesWork(t) {
		state = specifier.StateOut
	}
	status := TargetStatus{
		Target: t.name, DataCentre: t.spec.DataCentre, State: state,
		Incarnation: t.incarnation, Cold: t.cold, Limit: s.limit(t),
		Load: t.load(), InFlight: t.inflight, Owner: s.expectedOwner(t),
	}
	if !t.heard.IsZero() {
		status.Age = now.Sub(t.heard)
	}
	return status
}

// Fleet returns the configuration in force. It must not be changed.
func (s *State) Fleet() specifier.Fleet { return s.fleet }
