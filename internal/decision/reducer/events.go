package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Event is something that happened outside the reducer. The set of events is closed.
type Event interface{ isEvent() }

// ConfigAdopted brings a version of the fleet's configuration.
type ConfigAdopted struct {
	Version uint64
	Fleet   specifier.Fleet
}

// RequestArrived brings a caller's request.
type RequestArrived struct {
	Request identifier.Request
	// KeyHash is the hash of the caller's bearer key.
	KeyHash string
	Service identifier.Service
	// Class is empty when the caller named none.
	Class identifier.Class
	// Timeout is the caller's deadline; zero when the caller named none.
	Timeout        time.Duration
	IdempotencyKey string
	// Work is what is asked for.
	Work Work
}

// Work is the part of a request that depends on the service's kind. The set of
// kinds is closed.
type Work interface{ isWork() }

// Prompt asks a model service for tokens.
type Prompt struct {
	Model     identifier.Model
	Adapter   identifier.Adapter
	Tokens    int
	MaxTokens int
	// Digests names the prompt's full blocks.
	Digests []hasher.Digest
}

// Call asks a plain service for one HTTP exchange.
type Call struct {
	Method string
	Path   string
	// BodyBytes is the length of the body.
	BodyBytes int
	// Fingerprint identifies the method, path and body.
	Fingerprint string
}

// CallerGone reports that a request's caller closed the connection.
type CallerGone struct{ Request identifier.Request }

// AttemptStarted reports the first part of a target's answer.
type AttemptStarted struct {
	Attempt      identifier.Attempt
	Incarnation  identifier.Incarnation
	CachedTokens int
}

// AttemptDone reports a whole answer.
type AttemptDone struct {
	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	// Tokens counts the answer's tokens, those of earlier attempts included.
	Tokens int
}

// AttemptFailed reports that an attempt ended without a whole answer.
type AttemptFailed struct {
	Attempt identifier.Attempt
	// Proven is true when the attempt did not run: nothing was sent, or the
	// target itself said so.
	Proven bool
	Reason FailureReason
	Detail string
	// Delivered counts the tokens that the caller has.
	Delivered int
	// Incarnation is the target's incarnation if its answer told one, else 0.
	Incarnation identifier.Incarnation
}

// FailureReason classifies failed attempts.
type FailureReason string

// The reasons for a failed attempt.
const (
	// FailureUnreachable means no connection could be made.
	FailureUnreachable FailureReason = "unreachable"
	// FailureIncarnation means the target is not the process it was believed to be.
	FailureIncarnation FailureReason = "incarnation"
	// FailureRefused means the target refused the request.
	FailureRefused FailureReason = "refused"
	// FailureVersion means the target lacks the weight version.
	FailureVersion FailureReason = "weight-version"
	// FailureBroken means the answer was cut or faulty.
	FailureBroken FailureReason = "broken"
	// FailureStalled means the answer made no progress within the timeout.
	FailureStalled FailureReason = "stalled"
	// FailureDeadline means the deadline passed.
	FailureDeadline FailureReason = "deadline"
	// FailureLate means the leave to use the target ended before the request was sent.
	FailureLate FailureReason = "late"
	// FailureCaller means the caller left.
	FailureCaller FailureReason = "caller-gone"
)

// LookupDone reports which leading blocks a store can serve.
type LookupDone struct {
	Request identifier.Request
	Store   identifier.Store
	// Blocks lists the store's leading blocks; nil after a failed lookup.
	Blocks []StoredBlock
	Failed bool
}

// StoredBlock is one committed block of a store.
type StoredBlock struct {
	Key        identifier.BlockKey
	Generation uint64
	Checksum   uint64
	// OnDisk is true for a block of the slower tier.
	OnDisk bool
}

// ImportDone reports how many blocks an engine imported.
type ImportDone struct {
	Request identifier.Request
	Target  identifier.Target
	Store   identifier.Store
	// Probe is true for the answer to a probe, whose Blocks counts those held.
	Probe  bool
	Blocks int
	Bytes  int64
	Failed bool
	// Took is the duration of the import.
	Took time.Duration
}

// ExportDone reports that an export to a store ended.
type ExportDone struct {
	Target identifier.Target
	Store  identifier.Store
	// Asked and Blocks count the blocks that were asked for and that were exported.
	Asked  int
	Blocks int
	Bytes  int64
	Failed bool
}

// LinkAsked reports that a peer wants a time on the link of a store whose link
// keeper this daemon is.
type LinkAsked struct {
	// Call identifies the question for the answer.
	Call  uint64
	Store identifier.Store
	Bytes int64
	// Share is the part of the link that the asker's profile permits, from 0 to 1.
	Share float64
	// Export is true for an export, which gives way to imports.
	Export bool
}

// LinkSettled brings the link keeper's answer to AskLink.
type LinkSettled struct {
	Request identifier.Request
	Store   identifier.Store
	Export  bool
	Granted bool
	// Failed is true when the keeper gave no answer.
	Failed bool
	// Wait is how long the transfer waits for its time.
	Wait time.Duration
}

// LinkReturned reports that a transfer used less of the link than was handed out.
type LinkReturned struct {
	Store identifier.Store
	// Bytes is what was not used; negative when more was used.
	Bytes int64
	Share float64
}

// ClaimSettled reports the outcome of a claim on a request that must not run twice.
type ClaimSettled struct {
	Request        identifier.Request
	Team           identifier.Team
	IdempotencyKey string
	Outcome        ClaimOutcome
}

// ClaimOutcome classifies settled claims.
type ClaimOutcome string

// The outcomes of a claim.
const (
	// ClaimWon means this daemon alone may run the request.
	ClaimWon ClaimOutcome = "won"
	// ClaimAnswered means the request ran before and its answer is recorded.
	ClaimAnswered ClaimOutcome = "answered"
	// ClaimHeld means another daemon claimed the request and recorded no answer.
	ClaimHeld ClaimOutcome = "held"
	// ClaimAnswerLost means the request ran before and its answer was too large to record.
	ClaimAnswerLost ClaimOutcome = "answer-lost"
	// ClaimMismatch means the key was used for a different request.
	ClaimMismatch ClaimOutcome = "mismatch"
	// ClaimUnsettled means the platform gave no answer in time.
	ClaimUnsettled ClaimOutcome = "unsettled"
)

// LoadObserved brings a target's load, read here or heard from a peer.
type LoadObserved struct {
	Target       identifier.Target
	Incarnation  identifier.Incarnation
	Cold         bool
	Running      int
	Queued       int
	QueuedTokens int
	// Loaded lists the loaded weights; it is empty when a peer passed the report on.
	Loaded []Weights
	// PrefillTokensPerSecond is 0 when the report has none.
	PrefillTokensPerSecond float64
	// Age is how old the report is.
	Age time.Duration
}

// IncarnationSeen reports an incarnation told by a target's connection or answer.
type IncarnationSeen struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Cold        bool
}

// TargetUnreachable reports that a target's load could not be read.
type TargetUnreachable struct{ Target identifier.Target }

// CacheObserved brings cache events of one target.
type CacheObserved struct {
	Target  identifier.Target
	Evicted []identifier.BlockKey
	Stored  []identifier.BlockKey
	// Gap is true when events were lost before these.
	Gap bool
}

// OwnershipChanged reports that this daemon gained or lost a target.
type OwnershipChanged struct {
	Target identifier.Target
	Held   bool
	// Fence is the fencing number while held.
	Fence uint64
	// Until is when the ownership ends unless it is renewed.
	Until time.Time
	// TakenOver is true when an earlier owner may have left permits in use.
	TakenOver bool
}

// PeersChanged brings the live daemons that this daemon hears, itself included.
type PeersChanged struct{ Hosts []identifier.Host }

// MembersChanged brings the targets that the membership list calls leaving.
type MembersChanged struct{ Leaving []identifier.Target }

// PermitAsked reports that a peer wants to run one request on a cold target
// that this daemon owns.
type PermitAsked struct {
	// Call identifies the question for the answer.
	Call    uint64
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number counts the request's questions, so that a late return of one permit
	// does not end a later one.
	Number int
	// Term is how long the request may run at most.
	Term time.Duration
}

// PermitSettled brings the owner's answer to AskPermit.
type PermitSettled struct {
	Owner   identifier.Host
	Request identifier.Request
	// Number is that of the question.
	Number  int
	Target  identifier.Target
	Granted bool
	// RetryAfter is when to ask again after a refusal.
	RetryAfter time.Duration
	// Incarnation is the one that the owner gave leave for, or knows to be warm.
	Incarnation identifier.Incarnation
	// Warm says that the owner knows the target to be warm, by a report that was
	// Age old when it answered.
	Warm bool
	Age  time.Duration
	// Asked is when the question was sent; the permit's term counts from it.
	Asked time.Time
}

// PermitReturned reports that a peer no longer uses a permit.
type PermitReturned struct {
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number is that of the question by which the permit was got.
	Number int
}

// DrainStarted reports that this daemon is shutting down.
type DrainStarted struct{}

// Tick lets time-outs take effect.
type Tick struct{}

func (ConfigAdopted) isEvent()     {}
func (RequestArrived) isEvent()    {}
func (CallerGone) isEvent()        {}
func (AttemptStarted) isEvent()    {}
func (AttemptDone) isEvent()       {}
func (AttemptFailed) isEvent()     {}
func (LookupDone) isEvent()        {}
func (ImportDone) isEvent()        {}
func (ExportDone) isEvent()        {}
func (LinkAsked) isEvent()         {}
func (LinkSettled) isEvent()       {}
func (LinkReturned) isEvent()      {}
func (ClaimSettled) isEvent()      {}
func (LoadObserved) isEvent()      {}
func (IncarnationSeen) isEvent()   {}
func (TargetUnreachable) isEvent() {}
func (CacheObserved) isEvent()     {}
func (OwnershipChanged) isEvent()  {}
func (PeersChanged) isEvent()      {}
func (MembersChanged) isEvent()    {}
func (PermitAsked) isEvent()       {}
func (PermitSettled) isEvent()     {}
func (PermitReturned) isEvent()    {}
func (DrainStarted) isEvent()      {}
func (Tick) isEvent()              {}

func (Prompt) isWork() {}
func (Call) isWork()   {}
