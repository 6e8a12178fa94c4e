package claimer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// State says how far the request of a claim has come.
type State string

// The states.
const (
	// StateClaimed says that the holder may send the request.
	StateClaimed State = "claimed"
	// StateReleased says that nothing of the request was sent or has run.
	StateReleased State = "released"
	// StateAnswered says that the request has run and that its answer is kept.
	StateAnswered State = "answered"
	// StateUnknown says that the request may have run.
	StateUnknown State = "unknown"
)

// Record is the value of a claim's object.
type Record struct {
	// Token is unique to the holder's call of Claim.
	Token   string             `json:"token"`
	Team    identifier.Team    `json:"team"`
	Request identifier.Request `json:"request-id"`
	State   State              `json:"state"`
	// Fingerprint is a hash of the request, which shows the reuse of a key.
	Fingerprint string    `json:"fingerprint"`
	Answer      *Answer   `json:"answer,omitempty"`
	WrittenAt   time.Time `json:"written-at"`
}

// Answer is the recorded response of a request that has run.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
	// Omitted is true when the body was above MaxBodyBytes and is not kept.
	Omitted bool `json:"omitted,omitempty"`
}

// MaxBodyBytes is the largest body that is kept.
const MaxBodyBytes = 64 << 10

// Outcome is the result of Claim: Won, AlreadyAnswered, InProgress, Unknown,
// Mismatch or Unsettled.
type Outcome interface{ outcome() }

// Won says that the caller holds the claim and may send the request once.
type Won struct{ Held Held }

// AlreadyAnswered says that the request has run and how it was answered.
type AlreadyAnswered struct{ Answer Answer }

// InProgress says that another call holds the claim. If its daemon has died,
// the request may have run.
type InProgress struct {
	Request   identifier.Request
	WrittenAt time.Time
}

// Unknown says that the request may have run and that nobody knows.
type Unknown struct {
	Request   identifier.Request
	WrittenAt time.Time
}

// Mismatch says that the key was used for another request.
type Mismatch struct{ Request identifier.Request }

// Unsettled says that the claim could not be settled in time. The caller holds
// nothing, must send nothing and may state that the request has not run.
type Unsettled struct{ Err error }

func (Won) outcome()             {}
func (AlreadyAnswered) outcome() {}
func (InProgress) outcome()      {}
func (Unknown) outcome()         {}
func (Mismatch) outcome()        {}
func (Unsettled) outcome()       {}

// Held is a claim that its holder may answer or release once.
type Held struct {
	// Version is the version of the claim's object.
	Version uint64
	key     string
	record  Record
}
