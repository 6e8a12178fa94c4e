package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// sendsShort reports whether a short prompt is sent to an engine rather than refused.
func (h *host) sendsShort() bool {
	h.t.Helper()
	n, effect := h.request("/short/", key, shortPrompt("s"))
	switch e := effect.(type) {
	case Send:
		h.handle(AttemptDone{Number: n, Status: 200})
		return true
	case Refuse:
		assert.Equal(h.t, e.Kind, RefusalNoTarget)
		assert.Assert(h.t, e.NotRun)
	}
	return false
}

// TestDeadlineOfWeightsNamedDuringSuspension guards against a deadline that counts from the end
// of a suspension. It must count from the last time at which the version wasn't named.
func TestDeadlineOfWeightsNamedDuringSuspension(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.advance(4 * time.Second) // Suspended: no ticks.
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12})
	h.advanceTicking(2900 * time.Millisecond)
	assert.Assert(t, h.sendsShort(), "an engine is out of use before the deadline")
	h.advanceTicking(200 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "a request is sent to old weights 7.1 s after the last answer without new ones")
}

// TestDeadlineOfWeightsNamedBeforeStart guards against requests on old weights from a host that
// started long after new ones were named. Its peers can tell when that was.
func TestDeadlineOfWeightsNamedBeforeStart(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 20, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12, Listed: true})
	assert.Assert(t, !h.sendsShort(), "a request is sent to old weights although the time of the new ones is unknown")
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Named: []NamedVersion{{Model: model, Version: 2, Previous: 1, NotBefore: 5 * time.Second, Seen: 4 * time.Second}}}})
	h.advanceTicking(1700 * time.Millisecond)
	assert.Assert(t, h.sendsShort(), "an engine is out of use before the deadline")
	h.advanceTicking(200 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "a request is sent to old weights 7.1 s after a peer's last answer without new ones")
}

// TestSuspensionBacklogDoesNotDelayDeadline guards against a deadline that a message from the
// receive buffer moves. Its age doesn't include the suspension.
func TestSuspensionBacklogDoesNotDelayDeadline(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.advance(8 * time.Second) // Suspended: no ticks.
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12})
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Named: []NamedVersion{{Model: model, Version: 2, Previous: 1, NotBefore: time.Second, Seen: time.Second}}}})
	assert.Assert(t, !h.sendsShort(), "a message that waited during the suspension moved the deadline")
	h.advanceTicking(1100 * time.Millisecond)
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 2, Named: []NamedVersion{{Model: model, Version: 2, Previous: 1, NotBefore: 5 * time.Second, Seen: time.Second}}}})
	assert.Assert(t, h.sendsShort(), "an engine is out of use although a peer knows that its weights are recent")
}

// TestDeadlineDoesNotDependOnOrderOfAnswers guards against engines that are out of use too early
// when the answer that limits the time of naming is handled after the version.
func TestDeadlineDoesNotDependOnOrderOfAnswers(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.advanceTicking(3 * time.Second)
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12})
	h.handle(RevisionConfirmed{Revision: 11, AsOf: h.clock})
	h.handle(RevisionConfirmed{Revision: 13, AsOf: h.clock.Add(time.Second)})
	h.advanceTicking(6900 * time.Millisecond)
	assert.Assert(t, h.sendsShort(), "an engine is out of use before the deadline")
	h.advanceTicking(200 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "an answer of after the naming moved the deadline")
}

// TestNewProcessHearsOfNamedWeights guards against a new process that can't use engines with
// outdated weights until the next regular broadcast.
func TestNewProcessHearsOfNamedWeights(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(HostsListed{Hosts: map[string]descriptor.Host{"a": {Address: address(1), DataCentre: "a"}, "b": {Address: address(2), DataCentre: "a"}}})
	h.advanceTicking(time.Second)
	h.nameWeights(2)
	h.advanceTicking(2 * time.Second)
	h.advance(minBroadcastInterval)
	var named []NamedVersion
	for _, sent := range effectsOf[SendMessage](h.handle(MessageReceived{Message: Message{Host: "b", Boot: 7, Number: 1}})) {
		named = append(named, sent.Message.Named...)
	}
	assert.DeepEqual(t, named, []NamedVersion{{Model: model, Version: 2, Previous: 1, NotBefore: 2*time.Second + minBroadcastInterval, Seen: 2*time.Second + minBroadcastInterval}})
}

// TestLostWatchLearnsOfWeightsFromPeers guards against a host that keeps using old weights
// because its own watch hears nothing.
func TestLostWatchLearnsOfWeightsFromPeers(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Named: []NamedVersion{{Model: model, Version: 2, Previous: 1, NotBefore: 6500 * time.Millisecond, Seen: 6 * time.Second}}}})
	assert.Assert(t, h.sendsShort())
	h.advanceTicking(400 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "a request is sent to old weights after the deadline that a peer announced")
}

// TestEachVersionHasItsOwnDeadline guards against a deadline that starts again with each newer
// version, so that an engine stays in use on weights that were replaced long ago.
func TestEachVersionHasItsOwnDeadline(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.nameWeights(2)
	h.advanceTicking(5 * time.Second)
	h.handle(ReportAnswered{Target: "engine-2", Report: newReport(2)})
	h.nameWeights(3)
	h.advanceTicking(1900 * time.Millisecond)
	assert.Assert(t, h.usable(h.targets["engine-1"], h.shortRequest()), "an engine is out of use before the deadline")
	h.advanceTicking(200 * time.Millisecond)
	assert.Assert(t, !h.usable(h.targets["engine-1"], h.shortRequest()), "an engine is in use on weights replaced 7.1 s ago")
	assert.Assert(t, h.usable(h.targets["engine-2"], h.shortRequest()), "an engine is out of use 2.1 s after its weights were replaced")
}

// TestListHidesReplacedVersions guards against a deadline that counts from the newest version of
// a list although an earlier one replaced the weights.
func TestListHidesReplacedVersions(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(ReportAnswered{Target: "engine-2", Report: newReport(2)})
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 3, Revision: 12, Listed: true})
	assert.Assert(t, !h.usable(h.targets["engine-1"], h.shortRequest()), "it is unknown when version 2 was named")
	assert.Assert(t, h.usable(h.targets["engine-2"], h.shortRequest()))
}

// shortRequest returns a request with a short prompt.
func (h *host) shortRequest() *request {
	return &request{route: &h.config.Routes[1], service: "engines", prompt: shortPrompt("s")}
}

// TestExpiredEnginesAreUpdatedTogether guards against engines that are out of use while they wait
// for their turn to be updated. It also guards against a start in which a holder that doesn't
// know yet when the version was named updates all engines at once.
func TestExpiredEnginesAreUpdatedTogether(t *testing.T) {
	h := newLeaseHolder(t, 10)
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 1, Listed: true})
	h.runUpdates(namingExchangeTime, nil)
	assert.Equal(t, len(h.updates), minConcurrentUpdates)
	h.runUpdates(200*time.Millisecond, nil)
	assert.Equal(t, len(h.updates), 10)
}

// TestMarksOfAnotherEraDateNoVersion guards against a deadline that is late because the store went
// back and gives out lower revisions than that of a version named before.
func TestMarksOfAnotherEraDateNoVersion(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12})
	h.advanceTicking(5 * time.Second)
	h.handle(RevisionConfirmed{Era: 1, Revision: 9, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Era: 1, Revision: 11})
	h.advanceTicking(1900 * time.Millisecond)
	assert.Assert(t, h.sendsShort(), "an engine is out of use before the deadline")
	h.advanceTicking(200 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "an answer of a later era moved the deadline")
	h.handle(LeaseAnswered{Lease: Lease{Era: 1, Revision: 10, Holder: "a", Boot: 1, WriterEra: 1}, CalledAt: h.clock, Written: true})
	assert.Assert(t, !h.sendsShort(), "a renewal of the lease in a later era moved the deadline")
}

// TestVersionOfNewEraIsNotDatedByOldMarks guards against a deadline that counts from an answer of
// before the store went back. Its revision says nothing about changes since.
func TestVersionOfNewEraIsNotDatedByOldMarks(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Era: 1, Revision: 5, AsOf: h.clock})
	h.advanceTicking(4 * time.Second)
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Era: 1, Revision: 12})
	h.advanceTicking(2900 * time.Millisecond)
	assert.Assert(t, h.sendsShort(), "an engine is out of use before the deadline")
	h.advanceTicking(200 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "an answer of an earlier era moved the deadline")
}

// TestOlderVersionOfCopyIsIgnored checks that a named version that the store lost is still wanted.
func TestOlderVersionOfCopyIsIgnored(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.nameWeights(2)
	h.handle(DesiredWeightsChanged{Model: model, Version: 1, Era: 1, Revision: 1, Listed: true})
	assert.Equal(t, h.desiredWeights[model], 2)
}
