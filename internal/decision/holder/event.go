package holder

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Session is the record of one incarnation of a daemon.
type Session struct {
	Host       identifier.Host       `json:"host"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Token is unique to the incarnation. It is empty in the record by which
	// another host revokes the session.
	Token string `json:"token"`
	// Renewal counts the writes of the incarnation.
	Renewal uint64 `json:"renewal"`
	// TermMilliseconds is how long the session lasts without a renewal.
	TermMilliseconds int64 `json:"term-ms"`
}

// Owner is the record of a target's owner. Its version is the fencing token.
type Owner struct {
	Host  identifier.Host `json:"host"`
	Token string          `json:"token"`
}

// releasedToken is the token of an owner that released a target which may still be in use.
const releasedToken = "released"

// Outcome is the result of a call to the platform.
type Outcome string

// The outcomes.
const (
	// OutcomeOK reports that the call took effect.
	OutcomeOK Outcome = "ok"
	// OutcomeMissing reports that a read found no object.
	OutcomeMissing Outcome = "missing"
	// OutcomeConflict reports that the object had another version than the write expected.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown reports that a write may have taken effect or may yet do so.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed reports that the call had no effect and no result.
	OutcomeFailed Outcome = "failed"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// TimerFired reports that the timer has fired. It may also come earlier.
type TimerFired struct{}

// Wanted replaces the set of targets that this daemon should own.
type Wanted struct{ Targets []identifier.Target }

// StopRequested ends the session. The State does nothing after it.
type StopRequested struct{}

// SessionRead is the result of ReadSession.
type SessionRead struct {
	Host    identifier.Host
	Outcome Outcome
	Version uint64
	Session Session
}

// SessionWritten is the result of WriteSession.
type SessionWritten struct {
	Host    identifier.Host
	Outcome Outcome
	Version uint64
}

// OwnerRead is the result of ReadOwner.
type OwnerRead struct {
	Target  identifier.Target
	Outcome Outcome
	Version uint64
	Owner   Owner
}

// OwnerWritten is the result of WriteOwner and DeleteOwner.
type OwnerWritten struct {
	Target  identifier.Target
	Outcome Outcome
	Version uint64
}

func (TimerFired) isEvent()     {}
func (Wanted) isEvent()         {}
func (StopRequested) isEvent()  {}
func (SessionRead) isEvent()    {}
func (SessionWritten) isEvent() {}
func (OwnerRead) isEvent()      {}
func (OwnerWritten) isEvent()   {}

// Effect is an output of the state machine. Each call to the platform, except
// DeleteSession, must be followed by exactly one event with its result.
type Effect interface{ isEffect() }

// ReadSession reads the session of Host.
type ReadSession struct{ Host identifier.Host }

// WriteSession writes Session under Host if its version is Expect.
type WriteSession struct {
	Host    identifier.Host
	Session Session
	Expect  uint64
}

// DeleteSession ends the daemon's own session. Its result is not reported.
type DeleteSession struct {
	Host   identifier.Host
	Expect uint64
	// NotBefore is the time by which the daemon's last orders have arrived.
	NotBefore time.Time
}

// ReadOwner reads the owner of Target.
type ReadOwner struct{ Target identifier.Target }

// WriteOwner writes Owner under Target if its version is Expect.
type WriteOwner struct {
	Target identifier.Target
	Owner  Owner
	Expect uint64
}

// DeleteOwner releases Target if the version of its owner's record is Expect.
type DeleteOwner struct {
	Target identifier.Target
	Expect uint64
}

// SetTimer schedules a TimerFired at Time. It replaces the previous timer.
type SetTimer struct{ Time time.Time }

// Gained reports that the daemon owns Target from now on.
type Gained struct {
	Target identifier.Target
	Fence  uint64
	// Created is true when no earlier owner can have left the target in use.
	Created bool
}

// Lost reports that the daemon no longer owns Target.
type Lost struct {
	Target identifier.Target
	Fence  uint64
}

func (ReadSession) isEffect()   {}
func (WriteSession) isEffect()  {}
func (DeleteSession) isEffect() {}
func (ReadOwner) isEffect()     {}
func (WriteOwner) isEffect()    {}
func (DeleteOwner) isEffect()   {}
func (SetTimer) isEffect()      {}
func (Gained) isEffect()        {}
func (Lost) isEffect()          {}
