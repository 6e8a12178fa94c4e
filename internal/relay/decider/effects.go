package decider

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Effect is something to be done. The set of effects is closed.
type Effect interface{ isEffect() }

// Send sends a request to a target.
type Send struct {
	Number  int64
	Target  string
	Address netip.AddrPort
	// Service names the target's service.
	Service string
	// Deadline is when the answer must be whole.
	Deadline time.Time
	Team     string
	Salt     string
	Urgency  int
	Weights  int
	// Sources and Sinks name a store for each part; invalid addresses mean none.
	Sources, Sinks []netip.AddrPort
	// SourceUntil is when fetches end at the latest, by the targets' clock; zero if that is unknown.
	SourceUntil time.Time
	// Repeatable is true when the request may run again if this attempt fails.
	Repeatable bool
	// Stream is true when the answer is a series of events.
	Stream bool
}

// RefusalKind classifies refusals.
type RefusalKind string

// The kinds of refusals.
const (
	RefusalNoRoute       RefusalKind = "no-route"
	RefusalKey           RefusalKind = "unknown-key"
	RefusalUnconfigured  RefusalKind = "not-configured"
	RefusalUnconfirmed   RefusalKind = "configuration-not-confirmed"
	RefusalNoTarget      RefusalKind = "no-target"
	RefusalOverload      RefusalKind = "overload"
	RefusalFailed        RefusalKind = "target-failed"
	RefusalDeadline      RefusalKind = "deadline"
	RefusalRetriesSpent  RefusalKind = "retry-budget"
	RefusalAttemptsSpent RefusalKind = "attempts"
)

// Refuse ends a request without a target's answer.
type Refuse struct {
	Number int64
	Kind   RefusalKind
	// NotRun is true when the request certainly did not run and never will.
	NotRun     bool
	RetryAfter time.Duration
}

// Deliver ends a request with the answer that was kept for its caller.
type Deliver struct{ Number int64 }

// Note is one line of the log.
type Note struct {
	Event string
	// Request is the caller's name for the request; empty for beliefs.
	Request string
	// Fields are pairs of names and values.
	Fields []any
}

// Tell sends a message to peers.
type Tell struct {
	To      []netip.AddrPort
	Message Message
}

// RenewLease writes the lease of orders at a revision; 0 creates it.
type RenewLease struct{ Revision int64 }

// ReadLease reads the lease of orders.
type ReadLease struct{}

// ReadReport reads an engine's report.
type ReadReport struct {
	Target  string
	Address netip.AddrPort
}

// GiveOrder orders an engine to change its weights. It must not be sent after Until.
type GiveOrder struct {
	Target  string
	Address netip.AddrPort
	Order   descriptor.Order
	Until   time.Time
}

// Probe asks whether a target answers. Path is empty for engines.
type Probe struct {
	Target  string
	Address netip.AddrPort
	Path    string
}

// FreeParts frees parts of a store.
type FreeParts struct {
	Store netip.AddrPort
	Boot  int64
	Salt  string
	Parts []string
}

// ListParts reads all that a store holds.
type ListParts struct{ Store netip.AddrPort }

func (Send) isEffect()       {}
func (Refuse) isEffect()     {}
func (Deliver) isEffect()    {}
func (Note) isEffect()       {}
func (Tell) isEffect()       {}
func (RenewLease) isEffect() {}
func (ReadLease) isEffect()  {}
func (ReadReport) isEffect() {}
func (GiveOrder) isEffect()  {}
func (Probe) isEffect()      {}
func (FreeParts) isEffect()  {}
func (ListParts) isEffect()  {}
