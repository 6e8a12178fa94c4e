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

// patient brings a repeatable call with a deadline beyond the longest cold use.
func (d *single) patient(id identifier.Request) []Effect {
	return d.feed(RequestArrived{Request: id, KeyHash: "k1", Service: "orders", Timeout: 2 * time.Minute, Work: Call{Method: "GET", Path: "/look"}})
}

// asking returns a peer of coldTarget's owner, and its question.
func asking(t *testing.T) (*single, PermitSettled) {
	t.Helper()
	d := newSingle(false, nil)
	d.seen(1, true)
	ask, ok := one[AskPermit](d.patient("r1"))
	assert.Assert(t, ok)
	return d, PermitSettled{Owner: d.peer, Request: "r1", Target: coldTarget, Number: ask.Number, Granted: true, Incarnation: 1, Asked: d.now}
}

// takeOut tells the State that a target takes no new work.
func (d *single) takeOut(name identifier.Target) []Effect {
	return d.feed(MembersChanged{Leaving: []identifier.Target{name}})
}

func TestPermitThatNoLongerFitsIsReturned(t *testing.T) {
	tests := []struct {
		name   string
		before func(*single)
	}{
		{"the target has restarted", func(d *single) { d.seen(2, true) }},
		{"the answer took longer than the longest use", func(d *single) { d.pass(maxColdUse) }},
		{"the target is leaving", func(d *single) { d.takeOut(coldTarget) }},
	}
	for _, test := range tests {
		d, granted := asking(t)
		test.before(d)
		effects := d.feed(granted)
		_, started := one[Start](effects)
		assert.Assert(t, !started, test.name)
		_, returned := one[ReturnPermit](effects)
		assert.Assert(t, returned, test.name)
	}
}

func TestUseOfAPermitEndsByItsTerm(t *testing.T) {
	d, granted := asking(t)
	d.pass(5 * time.Second)
	start, ok := one[Start](d.feed(granted))
	assert.Assert(t, ok)
	assert.Assert(t, !start.Deadline.After(granted.Asked.Add(maxColdUse)))
	assert.Assert(t, !start.SendBy.After(start.Deadline))
}

func TestTargetInUseIsNotGivenUp(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	assert.Assert(t, d.ask("p1", 1))
	hosts := []identifier.Host{d.host, "host-x0", "host-x1", "host-x2", "host-x3", "host-x4", "host-x5"}
	fleet := worldFleet(hosts)
	assert.Assert(t, placer.First(placer.KeyOf(coldTarget), names(hosts)) != string(d.host))
	d.feed(ConfigAdopted{Version: 2, Fleet: fleet})
	d.feed(PeersChanged{Hosts: hosts})
	assert.Assert(t, slices.Contains(d.s.wanted, coldTarget), "a permit is out, and the next owner does not wait")
	d.feed(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	want, ok := one[WantTargets](d.pass(time.Second))
	assert.Assert(t, ok && !slices.Contains(want.Targets, coldTarget))
}

func TestOwnerGivesNoPlaceOnAnUnknownOrLeavingTarget(t *testing.T) {
	d := newSingle(true, nil)
	d.hold(1, false)
	assert.Assert(t, !d.ask("p1", 1), "no incarnation of the target is known")
	d.seen(1, true)
	d.takeOut(coldTarget)
	assert.Assert(t, !d.ask("p1", 1), "the target is leaving")
	d.feed(MembersChanged{})
	assert.Assert(t, d.ask("p1", 1))
}

func TestNobodyIsAskedForALeavingTarget(t *testing.T) {
	d := newSingle(false, nil)
	d.seen(1, true)
	d.takeOut(coldTarget)
	_, asked := one[AskPermit](d.patient("r1"))
	assert.Assert(t, !asked)
	_, asked = one[AskPermit](d.feed(MembersChanged{}))
	assert.Assert(t, asked)
}

func TestLeavingTargetGetsNoWorkAfterAnImport(t *testing.T) {
	d := newImporter(true)
	d.importFor(t, "a")
	d.takeOut(engineName)
	_, started := one[Start](d.feed(ImportDone{Request: "a", Target: engineName, Store: "store-0", Blocks: 8}))
	assert.Assert(t, !started)
}

func TestForeignBlocksOfAStoreAreNotImported(t *testing.T) {
	d := newImporter(true)
	text := "x"
	for len(text) < 8*hasher.BlockBytes {
		text += text
	}
	lookup, ok := one[Lookup](d.feed(RequestArrived{Request: "r", KeyHash: "k1", Service: "labels", Timeout: time.Minute, Work: promptOf(text)}))
	assert.Assert(t, ok)
	var blocks []StoredBlock
	for _, key := range lookup.Keys {
		blocks = append(blocks, StoredBlock{Key: key, Generation: 1})
	}
	own := len(blocks) - 1
	blocks[own].Key[0]++
	order, ok := one[Import](d.feed(LookupDone{Request: "r", Store: "store-0", Blocks: blocks}))
	assert.Assert(t, ok)
	assert.Equal(t, len(order.Blocks), own)
}

// pay brings a payment and returns its claim.
func (d *single) pay(t *testing.T, id identifier.Request) Claim {
	t.Helper()
	claim, ok := one[Claim](d.feed(RequestArrived{
		Request: id, KeyHash: "k1", Service: "orders", IdempotencyKey: "key", Timeout: 20 * time.Second,
		Work: Call{Method: "POST", Path: "/print/1", Fingerprint: "f"},
	}))
	assert.Assert(t, ok)
	return claim
}

func TestClaimThatWasNotWonSendsNothing(t *testing.T) {
	tests := []struct {
		outcome ClaimOutcome
		run     RunState
	}{
		{ClaimUnsettled, RunNot}, {ClaimHeld, RunUnknown}, {ClaimAnswerLost, RunDone}, {ClaimMismatch, RunNot},
	}
	for _, test := range tests {
		d := newSingle(true, nil)
		d.seen(1, false)
		claim := d.pay(t, "r1")
		effects := d.feed(ClaimSettled{Request: "r1", Team: claim.Team, IdempotencyKey: "key", Outcome: test.outcome})
		_, started := one[Start](effects)
		assert.Assert(t, !started, "%s", test.outcome)
		refusal, ok := one[Refuse](effects)
		assert.Assert(t, ok, "%s", test.outcome)
		assert.Equal(t, refusal.Run, test.run, "%s", test.outcome)
	}
}

func TestClaimThatIsWonTooLateIsReleased(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, false)
	claim := d.pay(t, "r1")
	refusal, ok := one[Refuse](d.pass(21 * time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, refusal.Run, RunNot)
	effects := d.feed(ClaimSettled{Request: "r1", Team: claim.Team, IdempotencyKey: "key", Outcome: ClaimWon})
	_, started := one[Start](effects)
	assert.Assert(t, !started)
	released, ok := one[ReleaseClaim](effects)
	assert.Assert(t, ok, "the key would be blocked for good")
	assert.Equal(t, released.Request, identifier.Request("r1"))
}
