package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// phase is what a request waits for.
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
	// phasePermit waits for the leave of a cold target's owner.
	phasePermit
	// phaseImporting waits for the import on its target.
	phaseImporting
	// phaseRunning waits for its attempt.
	phaseRunning
)

// request is one request in the daemon.
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

	// importBytes is the size of the import that is asked for; importing is true
	// while it runs, and imported counts the blocks that it brought.
	importBytes int64
	// probing is true while the target is asked which blocks it holds.
	probing   bool
	importing bool
	imported  int
	// guessed is true when the target was chosen as the prefix's home without
	// knowing what its cache holds.
	guessed bool
	// believed is the number of blocks that the target was believed to hold, and
	// believedSince when it was last known to.
	believed      int
	believedSince time.Time

	version identifier.WeightVersion
	keys    []identifier.BlockKey
	// stored are the leading blocks that the store storedAt can serve.
	stored   []StoredBlock
	storedAt identifier.Store

	// target is the one chosen, while phaseImporting or phaseRunning.
	target *target
	// computing is the number of tokens that the target is to prefill for it.
	computing int
	number    int
	// expected is when the first token was expected at the decision.
	expected time.Time
	started  bool
	// mayHaveRun is true once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// ran is true when an earlier request under the same key has run.
	ran       bool
	delivered int
	tried     map[identifier.Target]bool
	// permitFrom is the owner that gave leave for the present target, or empty.
	permitFrom identifier.Host
	// asks counts the questions for permits; the last one's number is a permit's.
	asks int
	// incarnation is that of the target when it was chosen.
	incarnation identifier.Incarnation
	// sendBy and cutoff bound the sending and the running on a cold target.
	sendBy time.Time
	cutoff time.Time
	// followers wait for this request's prefill.
	followers []*request
	leader    *request

	// start and index place the request in the fair queue.
	start float64
	index int
}

// cost returns the request's size for limits and fair shares, in tokens.
func (r *request) cost() float64 {
	if r.prompt != nil {
		return float64(r.prompt.Tokens + r.prompt.MaxTokens)
	}
	return callCostTokens
}

// callCostTokens is the cost of a call of a plain service, in tokens.
const callCostTokens = 256

// runState tells what is known of whether r has run.
func (r *request) runState() RunState {
	if r.ran {
		return RunDone
	}
	if r.mayHaveRun || r.phase == phaseRunning {
		return RunUnknown
	}
	return RunNot
}

func (r *request) attempt() identifier.Attempt {
	return identifier.Attempt{Request: r.id, Number: r.number}
}
