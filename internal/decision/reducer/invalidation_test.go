package reducer

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// sendLongCall sends a repeatable call with a deadline beyond maxColdUse.
func (d *testDaemon) sendLongCall(id identifier.Request) []Effect {
	return d.reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "orders", Timeout: 2 * time.Minute, Work: Call{Method: "GET", Path: "/look"}})
}

// newPermitRequester returns a peer of coldTarget's owner that requested a permit
// for the call r1, and the event that grants it.
func newPermitRequester(t *testing.T) (*testDaemon, PermitAnswered) {
	t.Helper()
	d := newTestDaemon(false, nil)
	d.observeIncarnation(1, true)
	call, ok := firstEffect[RequestPermit](d.sendLongCall("r1"))
	assert.Assert(t, ok)
	return d, PermitAnswered{Owner: d.peer, Request: "r1", Target: coldTarget, Number: call.Number, Granted: true, Incarnation: 1, CalledAt: d.now}
}

// markLeaving makes name the only leaving target, which takes no new requests.
func (d *testDaemon) markLeaving(name identifier.Target) []Effect {
	return d.reduce(MembersChanged{Leaving: []identifier.Target{name}})
}

// TestUnusablePermitIsReturned guards against the use of a permit that became
// invalid before its answer arrived, and against keeping it: the owner would count
// it against the cold limit until its term ends.
func TestUnusablePermitIsReturned(t *testing.T) {
	tests := []struct {
		name   string
		before func(*testDaemon)
	}{
		{"the target has restarted", func(d *testDaemon) { d.observeIncarnation(2, true) }},
		{"the answer took longer than the longest use", func(d *testDaemon) { d.advance(maxColdUse) }},
		{"the target is leaving", func(d *testDaemon) { d.markLeaving(coldTarget) }},
	}
	for _, test := range tests {
		d, granted := newPermitRequester(t)
		test.before(d)
		effects := d.reduce(granted)
		_, started := firstEffect[Start](effects)
		assert.Assert(t, !started, test.name)
		_, returned := firstEffect[ReturnPermit](effects)
		assert.Assert(t, returned, test.name)
	}
}

// TestPermitTermBoundsAttempt guards against an attempt that outlasts its permit
// because the term is counted from the answer instead of the request.
func TestPermitTermBoundsAttempt(t *testing.T) {
	d, granted := newPermitRequester(t)
	d.advance(5 * time.Second)
	start, ok := firstEffect[Start](d.reduce(granted))
	assert.Assert(t, ok)
	assert.Assert(t, !start.Deadline.After(granted.CalledAt.Add(maxColdUse)))
	assert.Assert(t, !start.SendBy.After(start.Deadline))
}

// TestColdTargetInUseIsNotReleased guards against the release of a cold target while
// a permit for it is in use. The next owner finds no ownership record after a
// release, so it doesn't wait and would exceed the cold limit.
func TestColdTargetInUseIsNotReleased(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p1", 1))
	hosts := []identifier.Host{d.host, "host-x0", "host-x1", "host-x2", "host-x3", "host-x4", "host-x5"}
	fleet := testFleet(hosts)
	assert.Assert(t, placer.First(placer.KeyOf(coldTarget), hostStrings(hosts)) != string(d.host))
	d.reduce(ConfigAdopted{Version: 2, Fleet: fleet})
	d.reduce(PeersChanged{Hosts: hosts})
	assert.Assert(t, slices.Contains(d.state.wantedTargets, coldTarget), "a permit is in use, and the next owner does not wait")
	d.reduce(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	want, ok := firstEffect[WantTargets](d.advance(time.Second))
	assert.Assert(t, ok && !slices.Contains(want.Targets, coldTarget))
}

// TestOwnerRefusesPermitForUnknownOrLeavingTarget checks that the owner grants
// permits only once it knows the target's incarnation and unless the target leaves.
func TestOwnerRefusesPermitForUnknownOrLeavingTarget(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.grantOwnership(1, false)
	assert.Assert(t, !d.requestPermit("p1", 1), "no incarnation of the target is known")
	d.observeIncarnation(1, true)
	d.markLeaving(coldTarget)
	assert.Assert(t, !d.requestPermit("p1", 1), "the target is leaving")
	d.reduce(MembersChanged{})
	assert.Assert(t, d.requestPermit("p1", 1))
}

// TestNoPermitIsRequestedForLeavingTarget checks that a request waits, instead of
// requesting a permit, while the only target leaves.
func TestNoPermitIsRequestedForLeavingTarget(t *testing.T) {
	d := newTestDaemon(false, nil)
	d.observeIncarnation(1, true)
	d.markLeaving(coldTarget)
	_, requested := firstEffect[RequestPermit](d.sendLongCall("r1"))
	assert.Assert(t, !requested)
	_, requested = firstEffect[RequestPermit](d.reduce(MembersChanged{}))
	assert.Assert(t, requested)
}

// TestLeavingTargetGetsNoRequestAfterImport guards against sending a request to a
// target that started to leave during the import of the request's blocks.
func TestLeavingTargetGetsNoRequestAfterImport(t *testing.T) {
	d := newImportDaemon(true)
	d.startImport(t, "a")
	d.markLeaving(engineName)
	_, started := firstEffect[Start](d.reduce(ImportDone{Request: "a", Target: engineName, Store: "store-0", Blocks: 8}))
	assert.Assert(t, !started)
}

// TestForeignStoreBlocksAreNotImported guards against the import of blocks that a
// store returned under another key than the requested one, and of those behind them.
func TestForeignStoreBlocksAreNotImported(t *testing.T) {
	d := newImportDaemon(true)
	text := "x"
	for len(text) < 8*hasher.BlockBytes {
		text += text
	}
	lookup, ok := firstEffect[Lookup](d.reduce(RequestArrived{Request: "r", KeyHash: "k1", Service: "labels", Timeout: time.Minute, Work: promptOf(text)}))
	assert.Assert(t, ok)
	var blocks []StoredBlock
	for _, key := range lookup.Keys {
		blocks = append(blocks, StoredBlock{Key: key, Generation: 1})
	}
	matching := len(blocks) - 1
	blocks[matching].Key[0]++
	imported, ok := firstEffect[Import](d.reduce(LookupDone{Request: "r", Store: "store-0", Blocks: blocks}))
	assert.Assert(t, ok)
	assert.Equal(t, len(imported.Blocks), matching)
}

// sendPayment sends a call that must not run twice and returns its claim.
func (d *testDaemon) sendPayment(t *testing.T, id identifier.Request) Claim {
	t.Helper()
	claim, ok := firstEffect[Claim](d.reduce(RequestArrived{
		Request: id, KeyHash: "k1", Service: "orders", IdempotencyKey: "key", Timeout: 20 * time.Second,
		Work: Call{Method: "POST", Path: "/print/1", Fingerprint: "f"},
	}))
	assert.Assert(t, ok)
	return claim
}

// TestRequestIsNotSentWithoutClaim checks for each lost or failed claim that the
// request is refused, with the run state that the outcome implies.
func TestRequestIsNotSentWithoutClaim(t *testing.T) {
	tests := []struct {
		outcome ClaimOutcome
		run     RunState
	}{
		{ClaimUnsettled, RunStateNotRun}, {ClaimHeld, RunStateUnknown}, {ClaimAnswerLost, RunStateRan}, {ClaimMismatch, RunStateNotRun},
	}
	for _, test := range tests {
		d := newTestDaemon(true, nil)
		d.observeIncarnation(1, false)
		claim := d.sendPayment(t, "r1")
		effects := d.reduce(ClaimSettled{Request: "r1", Team: claim.Team, IdempotencyKey: "key", Outcome: test.outcome})
		_, started := firstEffect[Start](effects)
		assert.Assert(t, !started, "%s", test.outcome)
		refusal, ok := firstEffect[Refuse](effects)
		assert.Assert(t, ok, "%s", test.outcome)
		assert.Equal(t, refusal.Run, test.run, "%s", test.outcome)
	}
}

// TestLateClaimIsReleased guards against a claim that is won after the deadline of
// its request and never released, so that the idempotency key can't be used again.
func TestLateClaimIsReleased(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, false)
	claim := d.sendPayment(t, "r1")
	refusal, ok := firstEffect[Refuse](d.advance(21 * time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, refusal.Run, RunStateNotRun)
	effects := d.reduce(ClaimSettled{Request: "r1", Team: claim.Team, IdempotencyKey: "key", Outcome: ClaimWon})
	_, started := firstEffect[Start](effects)
	assert.Assert(t, !started)
	released, ok := firstEffect[ReleaseClaim](effects)
	assert.Assert(t, ok, "the key would be blocked for good")
	assert.Equal(t, released.Request, identifier.Request("r1"))
}
