package holder

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Session is the record of one incarnation of a daemon.
type Session struct {
	Host       identifier.Host       `json:"host"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Token is unique to the incarnation; it is empty in the record that a
	// taker writes to bar the host's former incarnation.
	Token string `json:"token"`
	// Renewal counts the writes of the incarnation.
	Renewal uint64 `json:"renewal"`
	// TermMilliseconds is how long the session lasts without a renewal.
	TermMilliseconds int64 `json:"term-ms"`
}

// Owner is the record of a target's owner. Its version is the fencing number.
type Owner struct {
	Host  identifier.Host `json:"host"`
	Token string          `json:"token"`
}

// Outcome is the result of a read or write of the platform.
type Outcome string

// The outcomes.
const (
	// OutcomeOK says that the call took effect.
	OutcomeOK Outcome = "ok"
	// OutcomeMissing says that a read found no object.
	OutcomeMissing Outcome = "missing"
	// OutcomeConflict says that a write met another version.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown says that a write may have taken effect.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed says that the call had no effect and no result.
	OutcomeFailed Outcome = "failed"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Woken says that time has passed.
type Woken struct{}

// Wanted replaces the set of targets that this daemon should own.
type Wanted struct{ Targets []identifier.Target }

// Stopped asks for the end of the session; the State does nothing after it.
type Stopped struct{}

// SessionRead answers ReadSession.
type SessionRead struct {
	Host    identifier.Host
	Outcome Outcome
	Version uint64
	Session Session
}

// SessionWritten answers WriteSession.
type SessionWritten struct {
	Host    identifier.Host
	Outcome Outcome
	Version uint64
}

// OwnerRead answers ReadOwner.
type OwnerRead struct {
	Target  identifier.Target
	Outcome Outcome
	Version uint64
	Owner   Owner
}

// OwnerWritten answers WriteOwner and DeleteOwner.
type OwnerWritten struct {
	Target  identifier.Target
	Outcome Outcome
	Version uint64
}

func (Woken) event()          {}
func (Wanted) event()         {}
func (Stopped) event()        {}
func (SessionRead) event()    {}
func (SessionWritten) event() {}
func (OwnerRead) event()      {}
func (OwnerWritten) event()   {}

// Effect is an output of the state machine. Each call of the platform is
// answered by exactly one event.
type Effect interface{ effect() }

// ReadSession reads the session of Host.
type ReadSession struct{ Host identifier.Host }

// WriteSession writes Session under Host if its version is Expect.
type WriteSession struct {
	Host    identifier.Host
	Session Session
	Expect  uint64
}

// DeleteSession ends the daemon's own session. It is not answered.
type DeleteSession struct {
	Host   identifier.Host
	Expect uint64
	// NotBefore is when the last orders of the daemon have arrived.
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

// DeleteOwner gives Target up if its owner's version is Expect.
type DeleteOwner struct {
	Target identifier.Target
	Expect uint64
}

// WakeAt asks for a Woken at Time; it replaces the one before.
type WakeAt struct{ Time time.Time }

// Gained reports that Target is owned from now on.
type Gained struct {
	Target identifier.Target
	Fence  uint64
	// Created is true when no earlier owner can have left the target in use.
	Created bool
}

// Lost reports that Target is not owned any more.
type Lost struct {
	Target identifier.Target
	Fence  uint64
}

func (ReadSession) effect()   {}
func (WriteSession) effect()  {}
func (DeleteSession) effect() {}
func (ReadOwner) effect()     {}
func (WriteOwner) effect()    {}
func (DeleteOwner) effect()   {}
func (WakeAt) effect()        {}
func (Gained) effect()        {}
func (Lost) effect()          {}
