package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Event is an input of the reducer. Only this package can define events.
type Event interface{ isEvent() }

// ConfigAdopted delivers a new version of the fleet configuration.
type ConfigAdopted struct {
	Version uint64
	Fleet   specifier.Fleet
}

// RequestArrived delivers a caller's request.
type RequestArrived struct {
	Request identifier.Request
	// KeyHash is the hash of the caller's bearer key.
	KeyHash string
	Service identifier.Service
	// Class is empty if the caller did not set one.
	Class identifier.Class
	// Timeout is the time until the caller's deadline, or zero if the caller set none.
	Timeout        time.Duration
	IdempotencyKey string
	Work           Work
}

// Work is the part of a request that depends on the kind of service: a Prompt or
// a Call.
type Work interface{ isWork() }

// Prompt is a completion request to a model service.
type Prompt struct {
	Model     identifier.Model
	Adapter   identifier.Adapter
	Tokens    int
	MaxTokens int
	// Digests holds one digest for each full block of the prompt.
	Digests []hasher.Digest
	// Fingerprint identifies the whole request, whenever it is repeated.
	Fingerprint string
}

// Call is an HTTP request to a plain service.
type Call struct {
	Method string
	Path   string
	// BodyBytes is the length of the body.
	BodyBytes int
	// Fingerprint identifies the method, path and body. It detects an idempotency
	// key that is reused for a different request.
	Fingerprint string
}

// CallerDisconnected reports that the caller of a request closed its connection.
type CallerDisconnected struct{ Request identifier.Request }

// ResponseStarted reports that the first part of a target's response arrived.
type ResponseStarted struct {
	Attempt      identifier.Attempt
	Incarnation  identifier.Incarnation
	CachedTokens int
}

// AttemptDone reports that a response is complete.
type AttemptDone struct {
	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	// Tokens counts the tokens of the response, including those of earlier attempts.
	Tokens int
}

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Attempt identifier.Attempt
	// ProvenNotRun is true if it is certain that the attempt did not run: nothing was
	// sent, or the target reported that it did not run it.
	ProvenNotRun bool
	Reason       FailureReason
	Detail       string
	// Delivered counts the tokens already delivered to the caller.
	Delivered int
	// Incarnation is the incarnation that the target reported in its response, or 0.
	Incarnation identifier.Incarnation
}

// FailureReason says why an attempt failed.
type FailureReason string

// The reasons for a failed attempt.
const (
	// FailureUnreachable means no connection could be made.
	FailureUnreachable FailureReason = "unreachable"
	// FailureWrongIncarnation means the target has another incarnation than expected.
	FailureWrongIncarnation FailureReason = "incarnation"
	// FailureRefused means the target refused the request.
	FailureRefused FailureReason = "refused"
	// FailureVersion means the target has not loaded the weight version.
	FailureVersion FailureReason = "weight-version"
	// FailureBroken means the response was truncated or malformed.
	FailureBroken FailureReason = "broken"
	// FailureStalled means the response made no progress within the timeout.
	FailureStalled FailureReason = "stalled"
	// FailureDeadline means the deadline passed.
	FailureDeadline FailureReason = "deadline"
	// FailurePermissionExpired means the permission to use the target expired before
	// the request was sent.
	FailurePermissionExpired FailureReason = "late"
	// FailureCallerDisconnected means the caller disconnected.
	FailureCallerDisconnected FailureReason = "caller-gone"
)

// LookupDone reports which leading blocks of a prompt a store can serve.
type LookupDone struct {
	Request identifier.Request
	Store   identifier.Store
	// Blocks lists the leading blocks that the store can serve; nil after a failed lookup.
	Blocks []StoredBlock
	Failed bool
}

// StoredBlock is one committed block of a store.
type StoredBlock struct {
	Key        identifier.BlockKey
	Generation uint64
	Checksum   uint64
	// OnDisk is true if the block is in the store's slower disk tier.
	OnDisk bool
}

// ImportDone reports the result of an import or a probe.
type ImportDone struct {
	Request identifier.Request
	Target  identifier.Target
	Store   identifier.Store
	// Probe is true for the result of a probe; Blocks then counts the leading blocks
	// that the engine already holds.
	Probe  bool
	Blocks int
	Bytes  int64
	Failed bool
	// Took is the duration of the import.
	Took time.Duration
}

// ExportDone reports the result of an export to a store.
type ExportDone struct {
	Target identifier.Target
	Store  identifier.Store
	// Requested and Blocks count the requested and the exported blocks.
	Requested int
	Blocks    int
	Bytes     int64
	Failed    bool
}

// LinkRequested reports that a peer requests a time slot on the link of a store whose
// link coordinator is this daemon.
type LinkRequested struct {
	// Call matches the answer to the peer's call.
	Call  uint64
	Store identifier.Store
	Bytes int64
	// Share is the fraction of the link that the service's profile permits, from 0 to 1.
	Share float64
	// Export is true for an export, which has a lower priority than imports.
	Export bool
}

// LinkAnswered delivers the link coordinator's answer to RequestLink.
type LinkAnswered struct {
	Request identifier.Request
	Store   identifier.Store
	Export  bool
	Granted bool
	// Failed is true if the link coordinator did not answer.
	Failed bool
	// Wait is the time until the transfer may start.
	Wait time.Duration
}

// LinkReturned reports that a transfer used less or more of the link than its time slot.
type LinkReturned struct {
	Store identifier.Store
	// Bytes is the unused part of the slot; negative if the transfer exceeded it.
	Bytes int64
	Share float64
}

// ClaimSettled reports the outcome of claiming a request that must not run twice.
type ClaimSettled struct {
	Request        identifier.Request
	Team           identifier.Team
	IdempotencyKey string
	Outcome        ClaimOutcome
}

// ClaimOutcome is the result of a claim.
type ClaimOutcome string

// The outcomes of a claim.
const (
	// ClaimWon means this daemon may run the request, and no other daemon may.
	ClaimWon ClaimOutcome = "won"
	// ClaimAnswered means the request ran before and its answer is recorded.
	ClaimAnswered ClaimOutcome = "answered"
	// ClaimHeld means the request was claimed before and no answer is recorded.
	ClaimHeld ClaimOutcome = "held"
	// ClaimAnswerLost means the request ran before and its answer was too large to record.
	ClaimAnswerLost ClaimOutcome = "answer-lost"
	// ClaimMismatch means the idempotency key was used for a different request.
	ClaimMismatch ClaimOutcome = "mismatch"
	// ClaimUnsettled means the platform did not answer in time, or the claim record is invalid.
	ClaimUnsettled ClaimOutcome = "unsettled"
)

// LoadObserved delivers a load report of a target, read by this daemon or
// forwarded by a peer.
type LoadObserved struct {
	Target       identifier.Target
	Incarnation  identifier.Incarnation
	Cold         bool
	Running      int
	Queued       int
	QueuedTokens int
	// Loaded lists the loaded weights; it is empty in reports that a peer forwarded.
	Loaded []Weights
	// PrefillTokensPerSecond is 0 if the report does not contain it.
	PrefillTokensPerSecond float64
	// Age is the age of the report.
	Age time.Duration
}

// IncarnationObserved reports the incarnation that a target announced in a handshake
// or a response.
type IncarnationObserved struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Cold        bool
}

// TargetUnreachable reports that reading a target's load failed.
type TargetUnreachable struct{ Target identifier.Target }

// CacheObserved delivers cache events of one target.
type CacheObserved struct {
	Target  identifier.Target
	Evicted []identifier.BlockKey
	Stored  []identifier.BlockKey
	// Gap is true if events were lost before these.
	Gap bool
}

// OwnershipChanged reports that this daemon gained, renewed or lost the ownership
// of a target.
type OwnershipChanged struct {
	Target identifier.Target
	Held   bool
	// Fence is the fencing token; it is set only while Held.
	Fence uint64
	// Until is when the ownership expires unless it is renewed.
	Until time.Time
	// TakenOver is true if permits of an earlier owner may still be in use.
	TakenOver bool
}

// PeersChanged delivers the hosts whose daemons are alive according to their
// heartbeats, including this one.
type PeersChanged struct{ Hosts []identifier.Host }

// MembersChanged delivers the targets that are marked as leaving in the membership list.
type MembersChanged struct{ Leaving []identifier.Target }

// PermitRequested reports that a peer requests a permit to run one request on a cold
// target that this daemon owns.
type PermitRequested struct {
	// Call matches the answer to the peer's call.
	Call    uint64
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number counts the permit calls for this request, so that a late return of one
	// permit does not end a later one.
	Number int
	// Term is the longest time that the request may run.
	Term time.Duration
}

// PermitAnswered delivers the owner's answer to RequestPermit.
type PermitAnswered struct {
	Owner   identifier.Host
	Request identifier.Request
	// Number is the Number of the RequestPermit.
	Number  int
	Target  identifier.Target
	Granted bool
	// RetryAfter is the delay before the next permit call after a refusal.
	RetryAfter time.Duration
	// Incarnation is the one that the permit is valid for, or that is warm.
	Incarnation identifier.Incarnation
	// Warm is true if the owner considers the target warm, from a report that was
	// Age old when it answered.
	Warm bool
	Age  time.Duration
	// CalledAt is when the call was sent. The permit's term counts from it.
	CalledAt time.Time
}

// PermitReturned reports that a peer returned a permit.
type PermitReturned struct {
	From    identifier.Host
	Target  identifier.Target
	Request identifier.Request
	// Number is the Number of the RequestPermit that obtained the permit.
	Number int
}

// DrainStarted reports that this daemon has begun to shut down.
type DrainStarted struct{}

// Tick is sent at regular intervals, so that timeouts take effect.
type Tick struct{}

func (ConfigAdopted) isEvent()       {}
func (RequestArrived) isEvent()      {}
func (CallerDisconnected) isEvent()  {}
func (ResponseStarted) isEvent()     {}
func (AttemptDone) isEvent()         {}
func (AttemptFailed) isEvent()       {}
func (LookupDone) isEvent()          {}
func (ImportDone) isEvent()          {}
func (ExportDone) isEvent()          {}
func (LinkRequested) isEvent()       {}
func (LinkAnswered) isEvent()        {}
func (LinkReturned) isEvent()        {}
func (ClaimSettled) isEvent()        {}
func (LoadObserved) isEvent()        {}
func (IncarnationObserved) isEvent() {}
func (TargetUnreachable) isEvent()   {}
func (CacheObserved) isEvent()       {}
func (OwnershipChanged) isEvent()    {}
func (PeersChanged) isEvent()        {}
func (MembersChanged) isEvent()      {}
func (PermitRequested) isEvent()     {}
func (PermitAnswered) isEvent()      {}
func (PermitReturned) isEvent()      {}
func (DrainStarted) isEvent()        {}
func (Tick) isEvent()                {}

func (Prompt) isWork() {}
func (Call) isWork()   {}
