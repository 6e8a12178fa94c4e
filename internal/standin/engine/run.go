package engine

import (
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// phase is how far a run has come.
type phase int

const (
	phaseQueued phase = iota
	phasePrefill
	phaseDecode
	phaseEnded
)

// ending says why a run ended.
type ending int

const (
	endingNone ending = iota
	endingDone
	endingDeadline
	endingCancelled
	endingWrongVersion
	endingCut
)

// streamFault is what a fault does to one answer.
type streamFault int

const (
	streamWhole streamFault = iota
	streamCrossed
	streamTruncated
	streamDuplicated
	streamReset
)

// run is one request in the engine. The Engine guards all but wake.
type run struct {
	req     messenger.GenerateRequest
	answer  Answer
	arrival uint64
	// index is the position in the queue, or -1 outside it.
	index       int
	incarnation identifier.Incarnation
	ticket      warmer.Ticket
	phase       phase
	ending      ending
	started     bool
	fault       streamFault
	// pinned are the cache blocks in use.
	pinned       []identifier.BlockKey
	cachedTokens int
	// produced is the offset behind the last token that was computed.
	produced int
	// prefilled is true when the prefill has ended while the engine was frozen.
	prefilled bool
	prefill   clockwork.Timer
	deadline  clockwork.Timer
	// wake tells the handler that there is something to send.
	wake chan struct{}
}

func (r *run) attempt() identifier.Attempt {
	return identifier.Attempt{Request: r.req.RequestID, Number: r.req.Attempt}
}

func (r *run) weights() weightsKey {
	return weightsKey{model: r.req.Model, version: r.req.WeightVersion}
}

func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// progress is what a handler has to send next.
type progress struct {
	from   int
	to     int
	ending ending
	// started is false while nothing of the run was computed.
	started      bool
	cachedTokens int
	load         messenger.LoadReport
	// other is a frame of another request, for the fault of crossed frames.
	other messenger.GenerateFrame
}
