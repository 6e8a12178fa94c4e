package engine

import (
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// phase is the state of a run.
type phase int

const (
	phaseQueued phase = iota
	phasePrefill
	phaseDecode
	phaseEnded
)

// endReason is the reason why a run ended.
type endReason int

const (
	endNone endReason = iota
	endDone
	endDeadline
	endCancelled
	endWrongVersion
	endRestart
)

// streamFault is the fault that is injected into one answer.
type streamFault int

const (
	faultNone streamFault = iota
	faultCrossed
	faultTruncated
	faultDuplicated
	faultReset
)

// run is the execution of one attempt of a request. Engine.mu guards all fields
// except wake.
type run struct {
	req     messenger.GenerateRequest
	answer  Answer
	arrival uint64
	// index is the position in the queue, or -1 after the run has left it.
	index       int
	incarnation identifier.Incarnation
	ticket      warmer.Ticket
	phase       phase
	endReason   endReason
	started     bool
	fault       streamFault
	// pinned lists the cache blocks that the run has pinned.
	pinned       []identifier.BlockKey
	cachedTokens int
	// produced is the offset after the last token that was produced.
	produced int
	// prefilled is true if the prefill ended while the engine was frozen.
	prefilled     bool
	prefillTimer  clockwork.Timer
	deadlineTimer clockwork.Timer
	// wake signals the handler that there is something to send.
	wake chan struct{}
}

func (r *run) attemptID() identifier.Attempt {
	return identifier.Attempt{Request: r.req.RequestID, Number: r.req.Attempt}
}

func (r *run) weightsKey() weightsKey {
	return weightsKey{model: r.req.Model, version: r.req.WeightVersion}
}

// notify wakes the handler. It never blocks, because one pending signal covers
// all changes.
func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// streamUpdate is what a handler has to send next: the tokens with offsets in
// [from, to) and the end of the run, if any.
type streamUpdate struct {
	from      int
	to        int
	endReason endReason
	// started is true once the run has started its prefill.
	started      bool
	cachedTokens int
	load         messenger.LoadReport
	// foreignFrame is a frame of another request, set for faultCrossed.
	foreignFrame messenger.GenerateFrame
}
