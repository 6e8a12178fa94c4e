package decider

import (
	"testing"
	"time"

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

// count is how many requests came, or were repeated, at a time.
type count struct {
	at                time.Time
	requests, repeats int
}

// checkWindows fails if a window has more repeats than the platform allows for its requests.
func checkWindows(t *testing.T, counts []count, slack float64) {
	t.Helper()
	for i := range counts {
		requests, repeats := 0, 0
		for _, c := range counts[i:] {
			if c.at.Sub(counts[i].at) <= 10*time.Second {
				requests += c.requests
				repeats += c.repeats
			}
		}
		assert.Assert(t, float64(repeats) <= 0.2*float64(requests)+slack, "%d repeats of %d requests within 10 s", repeats, requests)
	}
}

// TestRepeatsKeepTheirBudget: in no window have all repeats of a service more than
// this host's part of the budget, however many targets refuse.
func TestRepeatsKeepTheirBudget(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	var counts []count
	total := 0
	for range 2000 {
		n, effect := h.ask("/look/", key, nil)
		counts = append(counts, count{h.at, 1, 0})
		for {
			if _, ok := effect.(Send); !ok {
				break
			}
			effect = own(h.do(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true}))
			if _, ok := effect.(Send); ok {
				counts = append(counts, count{h.at, 0, 1})
				total++
			}
		}
		h.pass(200e6)
	}
	checkWindows(t, counts, 56)
	assert.Assert(t, total > 100, "only %d repeats", total)
}

// TestRepeatsOfAWindowMayComeAtOnce replays an order that some engines get under a
// load of 8 requests a second and host, on sixty hosts: all requests that they
// refuse are offered elsewhere, and no window has more repeats than this host's part.
func TestRepeatsOfAWindowMayComeAtOnce(t *testing.T) {
	const hosts, slack, perSecond = 60, 160, 8
	h := crowd(t, hosts-1, 6)
	h.cfg.RetrySlack = slack
	var counts []count
	refuse := func(second int) bool { return second%17 == 15 }
	denied := 0
	for i := range 60 * perSecond {
		n, effect := h.ask("/short/", key, shortPrompt("s"))
		counts = append(counts, count{h.at, 1, 0})
		assert.Assert(t, effect.(Send).Target != "")
		if refuse(i / perSecond) {
			switch own(h.do(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true})).(type) {
			case Send:
				counts = append(counts, count{h.at, 0, 1})
			default:
				denied++
			}
		}
		h.do(AttemptDone{Number: n, Status: 200})
		h.tick(time.Second / perSecond)
	}
	assert.Equal(t, denied, 0, "requests are refused for the want of repeats that were never used")
	checkWindows(t, counts, float64(slack)/hosts)
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

// TestBegunStreamIsNotShed replays engines that break off streams while all engines
// are busy: a stream that may go on elsewhere does so, late or not.
func TestBegunStreamIsNotShed(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	n, _ := h.ask("/short/", key, shortPrompt("s"))
	h.do(AnswerBegan{Number: n})
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 1, Work: map[string]work{
		"engine-1": {Requests: 90, Unread: 100000}, "engine-2": {Requests: 90, Unread: 100000},
	}}})
	_, effect := h.ask("/short/", key, shortPrompt("s"))
	_, shed := effect.(Refuse)
	assert.Assert(t, shed, "the engines aren't busy enough for this test")
	effect = own(h.do(AttemptFailed{Number: n, Reason: FailureBroken, Begun: true}))
	_, sent := effect.(Send)
	assert.Assert(t, sent, "%T cuts a stream that could go on", effect)
}
