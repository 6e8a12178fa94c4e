package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestErrorResponsesAreRetried guards against error responses that another target would have
// avoided. The caller gets one only if the retry fails too. A payment that may have run must
// not be repeated.
func TestErrorResponsesAreRetried(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	n, effect := h.request("/look/", key, nil)
	first := effect.(Send).Target
	second := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureErrorResponse})).(Send)
	assert.Assert(t, second.Target != first)
	_, delivered := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureErrorResponse})).(DeliverErrorResponse)
	assert.Assert(t, delivered, "the kept error response was not delivered")

	n, _ = h.request("/pay/", key, nil)
	refused := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureBroken})).(Refuse)
	assert.Assert(t, !refused.NotRun)
}

// sample counts the requests and retries at one time.
type sample struct {
	at                time.Time
	requests, retries int
}

// checkRetryWindows fails if any window of 10 s has more retries than the platform allows for
// its requests.
func checkRetryWindows(t *testing.T, samples []sample, slack float64) {
	t.Helper()
	for i := range samples {
		requests, retries := 0, 0
		for _, later := range samples[i:] {
			if later.at.Sub(samples[i].at) <= 10*time.Second {
				requests += later.requests
				retries += later.retries
			}
		}
		assert.Assert(t, float64(retries) <= 0.2*float64(requests)+slack, "%d retries of %d requests within 10 s", retries, requests)
	}
}

// TestRetriesStayWithinBudget guards against more retries than this host's share of the budget
// when targets refuse most requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	h := newHost(t, "a", 0, 3)
	var samples []sample
	total := 0
	for range 2000 {
		n, effect := h.request("/look/", key, nil)
		samples = append(samples, sample{h.clock, 1, 0})
		for {
			if _, ok := effect.(Send); !ok {
				break
			}
			effect = requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true}))
			if _, ok := effect.(Send); ok {
				samples = append(samples, sample{h.clock, 0, 1})
				total++
			}
		}
		h.advance(200e6)
	}
	checkRetryWindows(t, samples, 56)
	assert.Assert(t, total > 100, "only %d retries", total)
}

// TestRetryBudgetMayBeSpentAtOnce guards against refused requests while most of the budget is
// unused. Some engines refuse all requests of one second while they change weights, at 8
// requests a second and host on sixty hosts: all of these must be sent elsewhere, within this
// host's share of the budget in every window.
func TestRetryBudgetMayBeSpentAtOnce(t *testing.T) {
	const hosts, slack, perSecond = 60, 160, 8
	h := newNamedHostWithPeers(t, "a", hosts-1, 6)
	h.cfg.RetrySlack = slack
	var samples []sample
	refuses := func(second int) bool { return second%17 == 15 }
	denied := 0
	for i := range 60 * perSecond {
		n, effect := h.request("/short/", key, shortPrompt("s"))
		samples = append(samples, sample{h.clock, 1, 0})
		assert.Assert(t, effect.(Send).Target != "")
		if refuses(i / perSecond) {
			switch requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true})).(type) {
			case Send:
				samples = append(samples, sample{h.clock, 0, 1})
			default:
				denied++
			}
		}
		h.handle(AttemptDone{Number: n, Status: 200})
		h.advanceTicking(time.Second / perSecond)
	}
	assert.Equal(t, denied, 0, "requests were refused although the retry budget was not used up")
	checkRetryWindows(t, samples, float64(slack)/hosts)
}

// TestRetriesOfManyHostsFitBudget guards against a retry for each host in each window, however many
// hosts there are: a thousand of them share a slack of 100 retries and serve next to no requests.
func TestRetriesOfManyHostsFitBudget(t *testing.T) {
	const hosts, slack = 1000, 100
	list := map[string]descriptor.Host{}
	for i := range hosts {
		list[fmt.Sprint("host-", i)] = descriptor.Host{Address: address(i), DataCentre: "a"}
	}
	retries := 0
	for name := range list {
		h := newUnconfiguredHost(t, name, "a")
		h.cfg.RetrySlack = slack
		h.handle(HostsListed{Hosts: list})
		for h.tryWithdrawRetry("service") {
			retries++
		}
	}
	assert.Assert(t, retries > slack/2 && retries <= slack, "%d retries", retries)
}

// TestKeptErrorNotDeliveredAfterStreamStarted guards against appending an error response to a
// started response. The first target returns an error, which is kept, and the second starts a
// response and aborts it.
func TestKeptErrorNotDeliveredAfterStreamStarted(t *testing.T) {
	h := newHost(t, "a", 3, 0)
	n, _ := h.request("/short/", key, shortPrompt("s"))
	_, sent := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureErrorResponse})).(Send)
	assert.Assert(t, sent)
	h.handle(ResponseStarted{Number: n})
	effect := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureBroken, ResponseStarted: true}))
	refused, ok := effect.(Refuse)
	assert.Assert(t, ok, "%T ends a request whose response has started", effect)
	assert.Assert(t, !refused.NotRun)
}

// TestStartedStreamIsNotShed guards against cutting off a stream that could resume at another
// engine, late or not, because all engines are busy.
func TestStartedStreamIsNotShed(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	n, _ := h.request("/short/", key, shortPrompt("s"))
	h.handle(ResponseStarted{Number: n})
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Loads: map[string]targetLoad{
		"engine-1": {Requests: 90, PrefillTokens: 100000}, "engine-2": {Requests: 90, PrefillTokens: 100000},
	}}})
	_, effect := h.request("/short/", key, shortPrompt("s"))
	_, shed := effect.(Refuse)
	assert.Assert(t, shed, "the engines aren't busy enough to shed requests")
	effect = requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureBroken, ResponseStarted: true}))
	_, sent := effect.(Send)
	assert.Assert(t, sent, "%T ends a stream that could resume", effect)
}

// TestRefusedRetryLeavesBudget guards against refused requests for a spent retry budget that no
// retry has used: without another target, a retry is never sent.
func TestRefusedRetryLeavesBudget(t *testing.T) {
	h := newHost(t, "a", 0, 1)
	for range 100 {
		n, effect := h.request("/look/", key, nil)
		assert.Assert(t, effect.(Send).Target != "")
		refused := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true}))
		assert.Equal(t, refused.(Refuse).Kind, RefusalNoTarget)
		h.advance(refusalPause)
	}
	h.handle(TargetsListed{Targets: []descriptor.Target{plainTarget(2)}})
	n, _ := h.request("/look/", key, nil)
	_, sent := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureRefused, NotRun: true})).(Send)
	assert.Assert(t, sent, "a request was refused although the retry budget was not used")
}
