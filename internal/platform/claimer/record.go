package claimer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// State is the progress of the request of a claim.
type State string

// The states.
const (
	// StateClaimed means that the holder may send the request.
	StateClaimed State = "claimed"
	// StateReleased means that no part of the request was sent or has run.
	StateReleased State = "released"
	// StateAnswered means that the request has run and that its response is stored.
	StateAnswered State = "answered"
	// StateUnknown means that the request may have run.
	StateUnknown State = "unknown"
)

// Record is the stored form of a claim.
type Record struct {
	// Token is unique to the holder's call of Claim.
	Token   string             `json:"token"`
	Team    identifier.Team    `json:"team"`
	Request identifier.Request `json:"request-id"`
	State   State              `json:"state"`
	// Fingerprint is a hash of the request. It reveals that a key was reused for
	// another request.
	Fingerprint string    `json:"fingerprint"`
	Answer      *Answer   `json:"answer,omitempty"`
	WrittenAt   time.Time `json:"written-at"`
}

// Answer is the recorded response of a request that has run.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
	// Omitted is true when the body exceeded MaxBodyBytes and was not stored.
	Omitted bool `json:"omitted,omitempty"`
}

// MaxBodyBytes is the size of the largest body that is stored.
const MaxBodyBytes = 64 << 10

// Outcome is the result of Claim: Won, AlreadyAnswered, InProgress, Unknown,
// Mismatch or Unsettled.
type Outcome interface{ isOutcome() }

// Won means that the caller holds the claim and may send the request once.
type Won struct{ Held Held }

// AlreadyAnswered means that the request has run. It carries the response.
type AlreadyAnswered struct{ Answer Answer }

// InProgress means that another call holds the claim. If the daemon of that call
// has crashed, the request may have run.
type InProgress struct {
	Request   identifier.Request
	WrittenAt time.Time
}

// Unknown means that the request may have run and that its response is unknown.
type Unknown struct {
	Request   identifier.Request
	WrittenAt time.Time
}

// Mismatch means that the key was used for another request.
type Mismatch struct{ Request identifier.Request }

// Unsettled means that the platform did not confirm the claim in time. The caller
// does not hold the claim, must not send the request and may report that it has
// not run.
type Unsettled struct{ Err error }

func (Won) isOutcome()             {}
func (AlreadyAnswered) isOutcome() {}
func (InProgress) isOutcome()      {}
func (Unknown) isOutcome()         {}
func (Mismatch) isOutcome()        {}
func (Unsettled) isOutcome()       {}

// Held is a claim that its holder may answer or release once.
type Held struct {
	// Version is the version of the claim's object.
	Version uint64
	key     string
	record  Record
}
