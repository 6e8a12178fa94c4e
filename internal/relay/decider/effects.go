package decider

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Effect is an action to carry out outside the reducer. The set of effects is closed.
type Effect interface{ isEffect() }

// Send sends a request to a target.
type Send struct {
	Number int64
	Target string
	// StartedAt identifies the target's process.
	StartedAt time.Time
	Address   netip.AddrPort
	// Service is the target's service.
	Service string
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	Team     string
	Salt     string
	Urgency  int
	Weights  int
	// Sources and Sinks hold a store for each part of the prompt to import it from or save it
	// to; an invalid address means none.
	Sources, Sinks []netip.AddrPort
	// SourceUntil is the time on the targets' clock at which fetches must end, or zero if the
	// clock skew is unknown.
	SourceUntil time.Time
	// Repeatable is true when the request may run again if this attempt fails.
	Repeatable bool
	// Stream is true when the response is a stream of events.
	Stream bool
	// Limited is true if the target had named a limit, so that an answer without one shows that it has
	// none any more.
	Limited bool
}

// Wait lets a request wait for a later Send or Refuse, which follows within permitTimeout and a tick.
type Wait struct{ Number int64 }

// RefusalKind classifies refusals.
type RefusalKind string

// The kinds of refusals.
const (
	RefusalNoRoute       RefusalKind = "no-route"
	RefusalUnknownKey    RefusalKind = "unknown-key"
	RefusalUnconfigured  RefusalKind = "not-configured"
	RefusalUnconfirmed   RefusalKind = "configuration-not-confirmed"
	RefusalNoTarget      RefusalKind = "no-target"
	RefusalOverload      RefusalKind = "overload"
	RefusalFailed        RefusalKind = "target-failed"
	RefusalDeadline      RefusalKind = "deadline"
	RefusalRetriesSpent  RefusalKind = "retry-budget"
	RefusalAttemptsSpent RefusalKind = "attempts"
	// RefusalQuarantined means that a part of the prompt crashes engines.
	RefusalQuarantined RefusalKind = "part-quarantined"
	// RefusalRequestQuarantined means that the request crashes targets.
	RefusalRequestQuarantined RefusalKind = "request-quarantined"
	// RefusalLimited means that all targets have as many requests as the limits allow that they named.
	RefusalLimited RefusalKind = "limit"
	// RefusalLeaving means that this host stops and can't answer the request before it ends.
	RefusalLeaving RefusalKind = "leaving"
	// RefusalMemory means that this host has no memory for the body of the request.
	RefusalMemory RefusalKind = "memory"
)

// Refuse ends a request with a refusal by this host.
type Refuse struct {
	Number int64
	Kind   RefusalKind
	// NotRun is true when the request certainly did not run and never will.
	NotRun     bool
	RetryAfter time.Duration
}

// DeliverErrorResponse ends a request with the target's error response that was kept for the
// caller.
type DeliverErrorResponse struct{ Number int64 }

// LogEntry writes a line to the log.
type LogEntry struct {
	Event string
	// Request is the caller's request ID; empty for entries that concern no request.
	Request string
	// Fields holds alternating keys and values.
	Fields []any
}

// SendMessage sends a message to peers.
type SendMessage struct {
	To      []netip.AddrPort
	Message Message
}

// RenewLease writes the lease if its revision is still Revision; 0 creates it. Era is the era of
// that revision.
type RenewLease struct {
	Era, Revision int64
	// IdleFor is how long ago this host last gave orders, or 0 if it may give some.
	IdleFor time.Duration
}

// RefreshConfig reads the configuration again, as a peer has a newer one.
type RefreshConfig struct{}

// ReadLease reads the current lease.
type ReadLease struct{}

// ReadReport reads the state of an engine.
type ReadReport struct {
	Target string
	// StartedAt identifies the target's process.
	StartedAt time.Time
	Address   netip.AddrPort
}

// GiveOrder orders an engine to load other weights. It must not be sent after Until.
type GiveOrder struct {
	Target string
	// StartedAt identifies the target's process.
	StartedAt time.Time
	Address   netip.AddrPort
	Order     descriptor.Order
	Until     time.Time
}

// Probe checks whether a target answers. Path is the health path; it is empty for engines.
type Probe struct {
	Target string
	// StartedAt identifies the target's process.
	StartedAt time.Time
	Address   netip.AddrPort
	Path      string
}

// FreeParts deletes parts from a store if its boot is still Boot.
type FreeParts struct {
	Store netip.AddrPort
	Boot  int64
	Salt  string
	Parts []string
}

// ListParts reads the complete content of a store.
type ListParts struct{ Store netip.AddrPort }

// KeepQuarantine writes a suspect to the platform's store, for hosts that start when no other runs or
// that don't hear this one.
type KeepQuarantine struct{ descriptor.KeptSuspect }

// DropQuarantine removes a suspect from the platform's store.
type DropQuarantine struct{ Suspect descriptor.Suspect }

func (Send) isEffect()                 {}
func (Wait) isEffect()                 {}
func (Refuse) isEffect()               {}
func (DeliverErrorResponse) isEffect() {}
func (LogEntry) isEffect()             {}
func (SendMessage) isEffect()          {}
func (RenewLease) isEffect()           {}
func (ReadLease) isEffect()            {}
func (RefreshConfig) isEffect()        {}
func (ReadReport) isEffect()           {}
func (GiveOrder) isEffect()            {}
func (Probe) isEffect()                {}
func (FreeParts) isEffect()            {}
func (ListParts) isEffect()            {}
func (KeepQuarantine) isEffect()       {}
func (DropQuarantine) isEffect()       {}
