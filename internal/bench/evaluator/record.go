// Package evaluator works out the figures of the load tool's runs from what
// callers and stand-ins saw, and compares policies.
package evaluator

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// Ending says how a request ended for its caller.
type Ending string

// The endings.
const (
	// EndingCompleted is a whole and right answer.
	EndingCompleted Ending = "completed"
	// EndingRefused is a refusal that says that nothing ran.
	EndingRefused Ending = "refused-not-run"
	// EndingFailed is any other end.
	EndingFailed Ending = "failed"
	// EndingWrong is an answer that was passed off as whole but is not right.
	EndingWrong Ending = "wrong"
)

// Request is what a caller saw of one arrival.
type Request struct {
	ID identifier.Request
	// At is the arrival's time; it is below 0 in the warm-up.
	At     time.Duration
	Team   int
	Class  identifier.Class
	Ending Ending
	// Failure is the kind of an error that is no truthful refusal.
	Failure string
	// Streamed is true for prompts whose answer comes token by token, and Plain
	// for calls to the plain service.
	Streamed bool
	Plain    bool
	// Family, SharedBlocks and QuestionTokens tell what the prompt consists of.
	Family         int
	SharedBlocks   int
	QuestionTokens int
	// FirstToken and Took are measured from the arrival, with all retries.
	FirstToken time.Duration
	Took       time.Duration
	Gaps       []time.Duration
	Retries    int
}

// Snapshot is what the stand-ins and the process had counted at a time.
type Snapshot struct {
	At     time.Time
	Counts assembler.Counts
	// ObjectCalls counts the calls of the object API by kind.
	ObjectCalls map[string]int
	// PeerBytes counts the bytes of each daemon's traffic with its peers.
	PeerBytes map[identifier.Host]uint64
	// CPU is the processor time of the whole process.
	CPU time.Duration
}

// Record is all that one run gives.
type Record struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Duration is the measured time, without the time in which the last requests end.
	Duration time.Duration
	// LastChange is the time of the last change of load or fault.
	LastChange time.Duration
	Requests   []Request
	// Before was taken at the beginning of the measured time, After when all requests had ended.
	Before Snapshot
	After  Snapshot
	// NewWorkAfterOut counts the requests that targets of a data centre started
	// although it had been out for longer than the scenario's grace.
	NewWorkAfterOut int
	// DuplicateRuns counts the runs beyond the first of calls that may not be repeated.
	DuplicateRuns int
	// SeededFamilies is the number of families that were sent once before the warm-up.
	SeededFamilies int
	PeakHeapBytes  uint64
	// SendLag is the longest time by which a request was sent late.
	SendLag time.Duration
	// Samples explain some requests that were not completed.
	Samples []Sample
}

// Sample is one request that was not completed, with what a daemon says of it.
type Sample struct {
	ID     identifier.Request `json:"request"`
	AtMs   int64              `json:"at-ms"`
	Ending Ending             `json:"ending"`
	// Failure is the kind of an error that is no truthful refusal.
	Failure string           `json:"failure,omitempty"`
	Class   identifier.Class `json:"class"`
	Plain   bool             `json:"plain"`
	Host    identifier.Host  `json:"host"`
	Steps   []describer.Step `json:"steps"`
}
