package reducer

import (
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Effect is something that the executor must do. The set of effects is closed.
type Effect interface{ isEffect() }

// RunState says whether a request has run, as far as it is known.
type RunState string

// The run states.
const (
	RunNot     RunState = "not-run"
	RunUnknown RunState = "unknown"
	RunDone    RunState = "ran"
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
	RefusalKeyMissing      RefusalKind = "idempotency-key-missing"
)

// Refuse ends a request without a whole answer.
type Refuse struct {
	Request identifier.Request
	Kind    RefusalKind
	Message string
	Run     RunState
	// RetryAfter is when the caller should come back; zero when that won't help.
	RetryAfter time.Duration
}

// Lookup asks a store which leading blocks it can serve.
type Lookup struct {
	Request identifier.Request
	Store   identifier.Store
	Address netip.AddrPort
	Keys    []identifier.BlockKey
	Timeout time.Duration
}

// Import orders an engine to import blocks.
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
	// Probe asks only how many of the leading blocks the engine holds.
	Probe bool
	// After is how long to wait before the import begins.
	After   time.Duration
	Timeout time.Duration
}

// Export orders an engine to export blocks.
type Export struct {
	Target         identifier.Target
	TargetAddress  netip.AddrPort
	Store          identifier.Store
	StoreAddress   netip.AddrPort
	Keys           []identifier.BlockKey
	BytesPerSecond int64
	// After is how long to wait before the export begins.
	After   time.Duration
	Timeout time.Duration
}

// AskLink asks a store's link keeper for a time on the link.
type AskLink struct {
	Owner   identifier.Host
	Request identifier.Request
	Store   identifier.Store
	Bytes   int64
	// Share is the part of the link that the profile permits, from 0 to 1.
	Share  float64
	Export bool
}

// AnswerLink answers a LinkAsked.
type AnswerLink struct {
	Call    uint64
	Granted bool
	// Wait is how long the transfer waits for its time.
	Wait time.Duration
}

// ReturnLink tells a link keeper what a transfer did not use.
type ReturnLink struct {
	Owner identifier.Host
	Store identifier.Store
	Bytes int64
	Share float64
}

// Start sends a request to a target. From here on it may have run.
type Start struct {
	Attempt identifier.Attempt
	Team    identifier.Team
	Target  identifier.Target
	Address netip.AddrPort
	// Incarnation is the only one that the request may reach.
	Incarnation identifier.Incarnation
	// SendBy is the latest time to send the request; zero means any time.
	SendBy time.Time
	// Deadline ends the attempt.
	Deadline time.Time
	// StallTimeout is how long the answer may make no progress.
	StallTimeout time.Duration
	Priority     int
	// Version and Keys are set for prompts.
	Version identifier.WeightVersion
	Keys    []identifier.BlockKey
	// ResumeOffset is the number of tokens the caller already has.
	ResumeOffset int
}

// Finish ends a request whose answer is whole.
type Finish struct{ Request identifier.Request }

// Weights names weights that a target has or is to have.
type Weights struct {
	Model    identifier.Model
	Version  identifier.WeightVersion
	Adapters []identifier.Adapter
}

// Order states to a target which weights it is to have in the end.
type Order struct {
	Target  identifier.Target
	Address netip.AddrPort
	// Fence is the fencing number of the target's owner.
	Fence   uint64
	Weights []Weights
	Timeout time.Duration
}

// Claim claims a request that must not run twice.
type Claim struct {
	Request        identifier.Request
	Team           identifier.Team
	IdempotencyKey string
	Fingerprint    string
	Deadline       time.Time
}

// ReleaseClaim gives back a claim of a request that did not run.
type ReleaseClaim struct {
	Request        identifier.Request
	Team           identifier.Team
	IdempotencyKey string
}

// ForgetClaim notes that the outcome of a claimed request is not known.
type ForgetClaim struct{ Request identifier.Request }

// RecordAnswer stores the answer of a claimed request.
type RecordAnswer struct{ Request identifier.Request }

// Replay sends the recorded answer of a claimed request.
type Replay struct{ Request identifier.Request }

// AskPermit asks a cold target's owner for leave to run one request.
type AskPermit struct {
	Owner   identifier.Host
	Request identifier.Request
	// Number counts the request's questions.
	Number int
	Target identifier.Target
	Term   time.Duration
}

// ReturnPermit tells a cold target's owner that a permit is no longer used.
type ReturnPermit struct {
	Owner   identifier.Host
	Request identifier.Request
	// Number is that of the question by which the permit was got.
	Number int
	Target identifier.Target
}

// AnswerPermit answers a PermitAsked.
type AnswerPermit struct {
	Call    uint64
	Granted bool
	// RetryAfter is when to ask again.
	RetryAfter time.Duration
	// Incarnation is the one that leave is given for, or that is warm.
	Incarnation identifier.Incarnation
	// Warm says that the target needs no leave, by a report that is Age old.
	Warm bool
	Age  time.Duration
}

// WantTargets states which targets this daemon should own.
type WantTargets struct{ Targets []identifier.Target }

// ReadTargets states which targets' load this daemon reads.
type ReadTargets struct{ Targets []TargetAddress }

// TargetAddress is a target and where to reach it.
type TargetAddress struct {
	Target  identifier.Target
	Address netip.AddrPort
	// Model is true for an engine, which also has cache events.
	Model bool
}

// Believe states which incarnation of a target connections may reach. Idle
// connections to an earlier one are closed. Incarnation 0 means that none may be reached.
type Believe struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
}

// ShareLoad passes a change of a target's state on to peers at once.
type ShareLoad struct{ Load LoadObserved }

// Drained reports that no request is left after DrainStarted.
type Drained struct{}

// Note records one step of a request for traces and explanations.
type Note struct {
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

// Decision names how a request gets its prompt's cache.
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

func (Refuse) isEffect()       {}
func (Lookup) isEffect()       {}
func (Import) isEffect()       {}
func (Export) isEffect()       {}
func (Start) isEffect()        {}
func (Finish) isEffect()       {}
func (Order) isEffect()        {}
func (AskLink) isEffect()      {}
func (AnswerLink) isEffect()   {}
func (ReturnLink) isEffect()   {}
func (Claim) isEffect()        {}
func (ForgetClaim) isEffect()  {}
func (ReleaseClaim) isEffect() {}
func (RecordAnswer) isEffect() {}
func (Replay) isEffect()       {}
func (AskPermit) isEffect()    {}
func (ReturnPermit) isEffect() {}
func (AnswerPermit) isEffect() {}
func (WantTargets) isEffect()  {}
func (ReadTargets) isEffect()  {}
func (Believe) isEffect()      {}
func (ShareLoad) isEffect()    {}
func (Drained) isEffect()      {}
func (Note) isEffect()         {}
