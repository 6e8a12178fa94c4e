// Package evaluator computes the results of the load tool's runs from the
// records of callers and stand-ins, and compares policies.
package evaluator

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// Ending classifies how a request ended for its caller.
type Ending string

// Endings of requests.
const (
	// EndingCompleted is a complete and correct answer.
	EndingCompleted Ending = "completed"
	// EndingRefused is a refusal that reports that nothing ran.
	EndingRefused Ending = "refused-not-run"
	// EndingFailed is any other failure.
	EndingFailed Ending = "failed"
	// EndingWrong is an answer that was marked complete but has wrong content.
	EndingWrong Ending = "wrong"
)

// Request is the caller's record of one arrival.
type Request struct {
	ID identifier.Request
	// At is the arrival time since the start of the measured period; negative
	// during the warm-up.
	At     time.Duration
	Team   int
	Class  identifier.Class
	Ending Ending
	// Failure is the kind of error of an EndingFailed request.
	Failure string
	// Streamed marks prompts with a streamed answer, and Plain calls to the
	// plain service.
	Streamed bool
	Plain    bool
	// Family identifies the prompt's shared prefix, which has SharedBlocks cache
	// blocks; QuestionTokens is the size of the rest.
	Family         int
	SharedBlocks   int
	QuestionTokens int
	// FirstToken and Latency are measured from the arrival and include retries.
	FirstToken     time.Duration
	Latency        time.Duration
	InterTokenGaps []time.Duration
	Retries        int
}

// Snapshot holds the counters of the stand-ins and of the process at one time.
type Snapshot struct {
	At     time.Time
	Counts assembler.Counts
	// ObjectCalls counts the object API calls by operation.
	ObjectCalls map[string]int
	// PeerBytes counts the bytes that each daemon exchanged with its peers.
	PeerBytes map[identifier.Host]uint64
	// CPU is the CPU time of the whole process.
	CPU time.Duration
}

// Record holds the raw data of one run.
type Record struct {
	Scenario string
	Policy   string
	Seed     uint64
	// Duration is the measured period; requests may end after it.
	Duration time.Duration
	// LastChange is the time of the last change of the load or of a fault.
	LastChange time.Duration
	Requests   []Request
	// Before is taken at the start of the measured period, After when all
	// requests have ended.
	Before Snapshot
	After  Snapshot
	// NewWorkAfterOut counts the requests that targets started after their data
	// centre had been out for longer than the scenario's grace period.
	NewWorkAfterOut int
	// DuplicateRuns counts the runs after the first of each non-repeatable call.
	DuplicateRuns int
	// SeededFamilies is the number of families that were sent once before the
	// warm-up to fill caches.
	SeededFamilies int
	PeakHeapBytes  uint64
	// SendLag is the longest delay between a request's arrival time and its sending.
	SendLag time.Duration
	// Samples explain some of the requests that were not completed.
	Samples []Sample
}

// Sample is a request that was not completed, with a daemon's explanation of it.
type Sample struct {
	ID     identifier.Request `json:"request"`
	AtMs   int64              `json:"at-ms"`
	Ending Ending             `json:"ending"`
	// Failure is the kind of error of an EndingFailed request.
	Failure string           `json:"failure,omitempty"`
	Class   identifier.Class `json:"class"`
	Plain   bool             `json:"plain"`
	Host    identifier.Host  `json:"host"`
	Steps   []describer.Step `json:"steps"`
}
