package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// phase says what a request waits for.
type phase int

const (
	// phaseLookup waits for the store's answer.
	phaseLookup phase = iota
	// phaseQueued waits for a target.
	phaseQueued
	// phaseFollowing waits for another request that computes the same prefix.
	phaseFollowing
	// phaseClaiming waits for the claim.
	phaseClaiming
	// phasePermit waits for a permit from a cold target's owner.
	phasePermit
	// phaseImporting waits for the import of blocks to its target.
	phaseImporting
	// phaseRunning waits for the answer to its attempt.
	phaseRunning
)

// request is the state of one request from its admission to its end.
type request struct {
	id       identifier.Request
	team     identifier.Team
	service  identifier.Service
	profile  *specifier.Profile
	class    identifier.Class
	arrived  time.Time
	deadline time.Time
	phase    phase

	idempotencyKey string
	repeatable     bool
	claimed        bool

	// prompt is nil for calls of plain services, call is nil for prompts.
	prompt *Prompt
	call   *Call

	// importBytes is the size of the requested import; importing is true while it
	// runs, and imported counts the imported blocks.
	importBytes int64
	// probing is true while the target is asked which blocks it holds.
	probing   bool
	importing bool
	imported  int
	// homeGuessed is true if the target was chosen as the home target although this
	// daemon knows of no cached block there.
	homeGuessed bool
	// expectedCached is the number of blocks that the target was assumed to hold, and
	// expectedLastUsed their last known use there.
	expectedCached   int
	expectedLastUsed time.Time

	version identifier.WeightVersion
	keys    []identifier.BlockKey
	// stored are the leading blocks that the store storedIn can serve.
	stored   []StoredBlock
	storedIn identifier.Store

	// target is set in phaseImporting and phaseRunning.
	target *target
	// prefillTokens is the number of tokens that the target has yet to prefill.
	prefillTokens int
	// attemptNumber counts the attempts.
	attemptNumber int
	// expectedFirstToken is the estimated time of the first token.
	expectedFirstToken time.Time
	// started is true once the first part of the current attempt's response arrived.
	started bool
	// mayHaveRun is true once an attempt failed without proof that it did not run.
	mayHaveRun bool
	// ranBefore is true if an earlier request with the same idempotency key has run.
	ranBefore bool
	// delivered is the number of tokens that the caller has.
	delivered int
	// chain is the number of crashes on the same request up to one that the current attempt may cause, sentTo
	// the incarnation that it was sent to, and brokenOff is true once a target broke off an attempt.
	chain     int
	sentTo    identifier.Incarnation
	brokenOff bool
	// tried holds the targets at which an attempt failed.
	tried map[identifier.Target]bool
	// permitFrom is the owner that granted the permit for the target, or empty.
	permitFrom identifier.Host
	// permitRequests counts the permit calls. The count identifies each of them, so that
	// a late return of one permit does not end a later one.
	permitRequests int
	// incarnation is the target's incarnation when it was chosen.
	incarnation identifier.Incarnation
	// sendBy is the latest time to send the request to a cold target, and cutoff the
	// latest end of its run there.
	sendBy time.Time
	cutoff time.Time
	// followers wait for this request's prefill; it waits for that of its leader.
	followers []*request
	leader    *request

	// virtualStart orders the request in the fair queue. heapIndex is its index in
	// the heap, or -1 once it left the heap.
	virtualStart float64
	heapIndex    int
}

// cost returns the request's cost in tokens, for rate limits and fair queueing.
func (r *request) cost() float64 {
	if r.prompt != nil {
		return float64(r.prompt.Tokens + r.prompt.MaxTokens)
	}
	return callCostTokens
}

// callCostTokens is the cost of a call to a plain service.
const callCostTokens = 256

// runState returns whether r has run, as far as this daemon knows.
func (r *request) runState() RunState {
	if r.ranBefore {
		return RunStateRan
	}
	if r.mayHaveRun || r.phase == phaseRunning {
		return RunStateUnknown
	}
	return RunStateNotRun
}

func (r *request) attempt() identifier.Attempt {
	return identifier.Attempt{Request: r.id, Number: r.attemptNumber}
}
