package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Status is a summary of a daemon's state for operators and metrics.
type Status struct {
	ConfigVersion uint64
	Draining      bool
	// InFlight counts all requests in the daemon, Queued those that wait for a target.
	InFlight int
	Queued   int
	// QueuedBy counts the queued requests of each service.
	QueuedBy map[identifier.Service]int
	// RetryBudget is the number of retries that are currently allowed.
	RetryBudget float64
	Targets     []TargetStatus
	Hosts       []identifier.Host
}

// TargetStatus is the state of one target as this daemon sees it.
type TargetStatus struct {
	Target      identifier.Target
	DataCentre  identifier.DataCentre
	State       specifier.State
	Incarnation identifier.Incarnation
	Cold        bool
	// Limit is the number of requests that the target may currently run.
	Limit int
	// Load is the estimated number of requests on the target, InFlight the number of
	// those that this daemon sent.
	Load     int
	InFlight int
	// Queued is the number of requests that waited at the target at its last load report.
	Queued int
	Owner  identifier.Host
	// Age is the time since the last load report, or 0 if there was none.
	Age time.Duration
}

// Status returns the daemon's status at the time now.
func (s *State) Status(now time.Time) Status {
	status := Status{
		ConfigVersion: s.version, Draining: s.draining.draining,
		InFlight: len(s.requests), Hosts: s.localHosts,
		QueuedBy: make(map[identifier.Service]int, len(s.services)), RetryBudget: s.retryBudget,
	}
	for _, service := range s.services {
		status.QueuedBy[service] = 0
	}
	for service, q := range s.queues {
		status.Queued += len(q.waiting)
		status.QueuedBy[service] = len(q.waiting)
	}
	for _, t := range s.sortedTargets() {
		status.Targets = append(status.Targets, s.targetStatus(t, now))
	}
	return status
}

func (s *State) targetStatus(t *target, now time.Time) TargetStatus {
	state := specifier.StateIn
	if !s.acceptsWork(t) {
		state = specifier.StateOut
	}
	status := TargetStatus{
		Target: t.name, DataCentre: t.spec.DataCentre, State: state,
		Incarnation: t.incarnation, Cold: t.cold, Limit: s.limit(t),
		Load: t.load(), InFlight: t.inflight, Queued: t.reportedQueued, Owner: s.expectedOwner(t),
	}
	if !t.observedAt.IsZero() {
		status.Age = now.Sub(t.observedAt)
	}
	return status
}

// Fleet returns the active configuration. The caller must not modify it.
func (s *State) Fleet() specifier.Fleet { return s.fleet }
