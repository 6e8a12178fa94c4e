package decider

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestErrorsOfTargetsAreTriedElsewhere: a look-up that a target failed goes to
// another one, and the caller gets the error only if that fails too. A payment
// that may have run is not repeated.
func TestErrorsOfTargetsAreTriedElsewhere(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	n, effect := h.ask("/look/", key, nil)
	first := effect.(Send).Target
	second := own(h.do(AttemptFailed{Number: n, Reason: FailureAnswered})).(Send)
	assert.Assert(t, second.Target != first)
	_, delivered := own(h.do(AttemptFailed{Number: n, Reason: FailureAnswered})).(Deliver)
	assert.Assert(t, delivered, "the target's answer is dropped")

	n, _ = h.ask("/pay/", key, nil)
	refused := own(h.do(AttemptFailed{Number: n, Reason: FailureBroken})).(Refuse)
	assert.Assert(t, !refused.NotRun)
}

// TestRepeatsKeepTheirBudget: all repeats of a service stay under this host's
// part of the budget, however many targets refuse.
func TestRepeatsKeepTheirBudget(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	requests, repeats := 0, 0
	for range 2000 {
		n, effect := h.ask("/look/", key, nil)
		requests++
		for {
			if _, ok := effect.(Send); !ok {
				break
			}
			effect = own(h.do(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true}))
			if _, ok := effect.(Send); ok {
				repeats++
			}
		}
		h.pass(200e6)
	}
	limit := 0.2*float64(requests) + 56
	assert.Assert(t, float64(repeats) <= limit, "%d repeats of %d requests, want at most %.0f", repeats, requests, limit)
	assert.Assert(t, repeats > 100, "only %d repeats", repeats)
}

// TestKeptErrorIsNotDeliveredIntoAStream: a target's error is kept, another target
// begins to answer and breaks off. The caller has a part of that answer, so the
// kept one must not be put behind it.
func TestKeptErrorIsNotDeliveredIntoAStream(t *testing.T) {
	h := newHost(t, "a", 3, 0)
	n, _ := h.ask("/short/", key, shortPrompt("s"))
	_, sent := own(h.do(AttemptFailed{Number: n, Reason: FailureAnswered})).(Send)
	assert.Assert(t, sent)
	h.do(AnswerBegan{Number: n})
	effect := own(h.do(AttemptFailed{Number: n, Reason: FailureBroken, Begun: true}))
	refused, ok := effect.(Refuse)
	assert.Assert(t, ok, "%T ends a request whose caller has a part of another answer", effect)
	assert.Assert(t, !refused.NotRun)
}
