package descriptor

import "time"

// Rollout is an operator's order to shift the requests of a service to the targets of another version, with
// the state that the lease holder last wrote for it.
type Rollout struct {
	// Name is the name of the order's object in the platform's store, and Revision its revision.
	Name     string
	Revision int64
	Service  string
	// To is the version.
	To string
	// Within is the time since the order by which the shift is to be complete.
	Within time.Duration
	// Status is nil if none was written.
	Status *RolloutStatus
}

// RolloutPhase is the state of a rollout.
type RolloutPhase string

// The phases of a rollout.
const (
	RolloutActive   RolloutPhase = "active"
	RolloutComplete RolloutPhase = "complete"
	RolloutReverted RolloutPhase = "reverted"
)

// RolloutStatus is the decision in force on the rollout of version To.
type RolloutStatus struct {
	To    string
	Phase RolloutPhase
	// Share is the share of requests that hosts send to the new version.
	Share  float64
	Reason string
	// Elapsed is the time since the order when the status was written. Wall clocks of hosts differ.
	Elapsed time.Duration
	// From lists the versions that were in use before the order.
	From []string
	// Requests and Exposed are the requests of the service and those sent to the new version since the
	// order, for the next lease holder if it can't learn them from hosts that have stopped.
	Requests, Exposed int
	// Memory is what the lease holder's later decisions are based on, in JSON.
	Memory []byte
}

// RolloutBounds are the platform's bounds on the requests that a faulty version may receive.
type RolloutBounds struct {
	// CanaryShare and CanarySlack bound the requests that a faulty version may receive by the deadline of
	// its order: CanaryShare times those of the service, plus CanarySlack.
	CanaryShare float64
	CanarySlack int
	// RollbackAfter is the time after the 50th bad answer from which it may receive none.
	RollbackAfter time.Duration
}
