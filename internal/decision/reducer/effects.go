package reducer

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Effect is an action for the executor. The set of effects is closed.
type Effect interface{ isEffect() }

// RunState says whether a request has run, as far as this daemon knows.
type RunState string

// The run states.
const (
	RunStateNotRun  RunState = "not-run"
	RunStateUnknown RunState = "unknown"
	RunStateRan     RunState = "ran"
)

// RefusalKind classifies refusals for callers.
type RefusalKind string

// The kinds of refusal.
const (
	RefusalUnauthenticated RefusalKind = "unauthenticated"
	RefusalForbidden       RefusalKind = "forbidden"
	RefusalUnknownService  RefusalKind = "unknown-service"
	RefusalInvalid         RefusalKind = "invalid"
	RefusalTooLarge        RefusalKind = "too-large"
	RefusalTeamLimit       RefusalKind = "team-limit"
	RefusalOverload        RefusalKind = "overload"
	RefusalDeadline        RefusalKind = "deadline"
	RefusalNotReady        RefusalKind = "not-ready"
	RefusalClaimed         RefusalKind = "claimed"
	RefusalKeyMismatch     RefusalKind = "key-mismatch"
	RefusalClaimUnsettled  RefusalKind = "claim-unsettled"
	RefusalTargetFailed    RefusalKind = "target-failed"
	// RefusalQuarantined means that targets crash on the request.
	RefusalQuarantined RefusalKind = "request-quarantined"
	RefusalKeyMissing  RefusalKind = "idempotency-key-missing"
)

// Refuse ends a request without a complete response.
type Refuse struct {
	Request identifier.Request
	Kind    RefusalKind
	Message string
	Run     RunState
	// RetryAfter is the caller's back-off; zero if a retry won't help.
	RetryAfter time.Duration
}

// Lookup queries a store for the leading blocks that it can serve.
type Lookup struct {
	Request identifier.Request
	Store   identifier.Store
	Address netip.AddrPort
	Keys    []identifier.BlockKey
	Timeout time.Duration
}

// Import makes an engine import blocks from a store.
type Import struct {
	Request        identifier.Request
	Target         identifier.Target
	TargetAddress  netip.AddrPort
	Store          identifier.Store
	StoreAddress   netip.AddrPort
	Model          identifier.Model
	Version        identifier.WeightVersion
	Blocks         []StoredBlock
	BytesPerSecond int64
	// Probe imports nothing and only queries how many of the leading blocks the
	// engine holds.
	Probe bool
	// Delay is the delay before the import begins.
	Delay   time.Duration
	Timeout time.Duration
}

// Export makes an engine export blocks to a store.
type Export struct {
	Target         identifier.Target
	TargetAddress  netip.AddrPort
	Store          identifier.Store
	StoreAddress   netip.AddrPort
	Keys           []identifier.BlockKey
	BytesPerSecond int64
	// Delay is the delay before the export begins.
	Delay   time.Duration
	Timeout time.Duration
}

// RequestLink requests a time slot on a store's link from the link's coordinator.
type RequestLink struct {
	Coordinator identifier.Host
	Request     identifier.Request
	Store       identifier.Store
	Bytes       int64
	// Share is the fraction of the link that the service's profile permits, from 0 to 1.
	Share float64
	// Export is true for an export, which has a lower priority than imports.
	Export bool
}

// AnswerLink answers a LinkRequested with the same Call.
type AnswerLink struct {
	Call    uint64
	Granted bool
	// Wait is the time until the slot begins.
	Wait time.Duration
}

// ReturnLink reports the unused part of a slot to the link's coordinator.
type ReturnLink struct {
	Coordinator identifier.Host
	Store       identifier.Store
	// Bytes is the unused part of the slot; negative if the transfer exceeded it.
	Bytes int64
	Share float64
}

// Start sends a request to a target. From then on the request may have run.
type Start struct {
	Attempt identifier.Attempt
	Team    identifier.Team
	Target  identifier.Target
	Address netip.AddrPort
	// Incarnation is the only incarnation that may receive the request.
	Incarnation identifier.Incarnation
	// SendBy is the latest time to send the request; zero means any time.
	SendBy time.Time
	// Deadline ends the attempt.
	Deadline time.Time
	// StallTimeout is the longest time without progress of the response.
	StallTimeout time.Duration
	Priority     int
	// Version and Keys are set for prompts.
	Version identifier.WeightVersion
	Keys    []identifier.BlockKey
	// ResumeOffset is the number of tokens the caller already has.
	ResumeOffset int
}

// Finish ends a request whose response is complete.
type Finish struct{ Request identifier.Request }

// Weights names a model's weights that a target has loaded or should load.
type Weights struct {
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters []identifier.Adapter
}

// Order sends a target the complete list of weights that it should have loaded.
type Order struct {
	Target  identifier.Target
	Address netip.AddrPort
	// Fence is the fencing token of the target's owner.
	Fence   uint64
	Weights []Weights
	Timeout time.Duration
}

// Claim claims the idempotency key of a request that must not run twice.
type Claim struct {
	Request        identifier.Request
	Team           identifier.Team
	IdempotencyKey string
	Fingerprint    string
	Deadline       time.Time
}

// ReleaseClaim releases the claim of a request that did not run.
type ReleaseClaim struct {
	Request        identifier.Request
	Team           identifier.Team
	IdempotencyKey string
}

// RecordClaimUnknown records that a claimed request may have run and that its outcome is
// unknown.
type RecordClaimUnknown struct{ Request identifier.Request }

// RecordAnswer stores the answer of a claimed request.
type RecordAnswer struct{ Request identifier.Request }

// Replay sends the recorded answer of a claimed request.
type Replay struct{ Request identifier.Request }

// RequestPermit requests a permit to run one request from a cold target's owner.
type RequestPermit struct {
	Owner   identifier.Host
	Request identifier.Request
	// Number counts the permit calls for the request.
	Number int
	Target identifier.Target
	// Term is the longest time that the request may run.
	Term time.Duration
}

// ReturnPermit returns a permit that is no longer used to a cold target's owner.
type ReturnPermit struct {
	Owner   identifier.Host
	Request identifier.Request
	// Number is that of the RequestPermit that was granted.
	Number int
	Target identifier.Target
}

// AnswerPermit answers a PermitRequested with the same Call.
type AnswerPermit struct {
	Call    uint64
	Granted bool
	// RetryAfter is the back-off after a refusal.
	RetryAfter time.Duration
	// Incarnation is the one that the permit is for, or that is warm.
	Incarnation identifier.Incarnation
	// Warm is true if the target needs no permit, by a load report that is Age old.
	Warm bool
	Age  time.Duration
}

// WantTargets lists the targets that this daemon should own.
type WantTargets struct{ Targets []identifier.Target }

// ReadTargets lists the targets whose load this daemon should read.
type ReadTargets struct{ Targets []TargetAddress }

// TargetAddress is a target with its address.
type TargetAddress struct {
	Target  identifier.Target
	Address netip.AddrPort
	// Model is true for a target of a model service, which also has cache events.
	Model bool
}

// ExpectIncarnation sets the only incarnation of a target that may receive requests. Idle
// connections to an earlier one are closed. Incarnation 0 means that none may.
type ExpectIncarnation struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
}

// ShareLoad sends a change of a target's state to all peers at once.
type ShareLoad struct{ Load LoadObserved }

// Drained reports that no requests are left after DrainStarted.
type Drained struct{}

// RecordStep records one step of a request for traces and explanations.
type RecordStep struct {
	Request identifier.Request
	Step    Step
	Target  identifier.Target
	Detail  string
	// Service and Class are set for StepAdmitted.
	Service identifier.Service
	Class   identifier.Class
	// Decision is set for StepDecided.
	Decision Decision
	// Reason is set for StepRetried and StepResumed.
	Reason FailureReason
}

// Decision names the way in which the cache blocks of a prompt are provided.
type Decision string

// The kinds of decision.
const (
	// DecisionImport means that all full blocks come from the target's cache or a store.
	DecisionImport Decision = "import"
	// DecisionSplit means that some full blocks are imported and others computed.
	DecisionSplit Decision = "split"
	// DecisionRecompute means that nothing is imported.
	DecisionRecompute Decision = "recompute"
	// DecisionFollow means that the request waits for another that computes the same prefix.
	DecisionFollow Decision = "follow"
)

// Step names one step of a request.
type Step string

// The steps of a request.
const (
	StepAdmitted Step = "admitted"
	StepQueued   Step = "queued"
	StepDecided  Step = "decided"
	StepClaimed  Step = "claimed"
	StepImported Step = "imported"
	StepAttempt  Step = "attempt"
	StepStarted  Step = "started"
	StepRetried  Step = "retried"
	StepResumed  Step = "resumed"
	StepFinished Step = "finished"
	StepRefused  Step = "refused"
)

func (Refuse) isEffect()             {}
func (Lookup) isEffect()             {}
func (Import) isEffect()             {}
func (Export) isEffect()             {}
func (Start) isEffect()              {}
func (Finish) isEffect()             {}
func (Order) isEffect()              {}
func (RequestLink) isEffect()        {}
func (AnswerLink) isEffect()         {}
func (ReturnLink) isEffect()         {}
func (Claim) isEffect()              {}
func (RecordClaimUnknown) isEffect() {}
func (ReleaseClaim) isEffect()       {}
func (RecordAnswer) isEffect()       {}
func (Replay) isEffect()             {}
func (RequestPermit) isEffect()      {}
func (ReturnPermit) isEffect()       {}
func (AnswerPermit) isEffect()       {}
func (WantTargets) isEffect()        {}
func (ReadTargets) isEffect()        {}
func (ExpectIncarnation) isEffect()  {}
func (ShareLoad) isEffect()          {}
func (Drained) isEffect()            {}
func (RecordStep) isEffect()         {}
