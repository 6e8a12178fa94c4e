package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// coldTarget is the only target of the service orders in testFleet.
const coldTarget identifier.Target = "target-2"

// testDaemon drives one State with a manual clock.
type testDaemon struct {
	state    *State
	now      time.Time
	host     identifier.Host
	peer     identifier.Host
	requests int
}

// newTestDaemon returns the State of coldTarget's expected owner, or that of the other
// daemon. change, if not nil, edits the fleet.
func newTestDaemon(owner bool, change func(*specifier.Fleet)) *testDaemon {
	names := []string{"host-a", "host-b"}
	host := placer.First(placer.KeyOf(coldTarget), names)
	peer := names[0]
	if peer == host {
		peer = names[1]
	}
	if !owner {
		host, peer = peer, host
	}
	d := &testDaemon{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), host: identifier.Host(host), peer: identifier.Host(peer)}
	hosts := []identifier.Host{"host-a", "host-b"}
	fleet := testFleet(hosts)
	if change != nil {
		change(&fleet)
	}
	d.state = New(Config{Host: d.host, DataCentre: "dc", Seed: 1, BlockSecret: []byte("secret")})
	d.reduce(PeersChanged{Hosts: hosts})
	d.reduce(ConfigAdopted{Version: 1, Fleet: fleet})
	return d
}

func (d *testDaemon) reduce(ev Event) []Effect { return d.state.Reduce(ev, d.now) }

func (d *testDaemon) advance(t time.Duration) []Effect {
	d.now = d.now.Add(t)
	return d.reduce(Tick{})
}

// grantOwnership gives the State the ownership of coldTarget for a minute.
func (d *testDaemon) grantOwnership(fence uint64, takenOver bool) []Effect {
	return d.reduce(OwnershipChanged{Target: coldTarget, Held: true, Fence: fence, Until: d.now.Add(time.Minute), TakenOver: takenOver})
}

func (d *testDaemon) observeIncarnation(incarnation identifier.Incarnation, cold bool) []Effect {
	return d.reduce(IncarnationObserved{Target: coldTarget, Incarnation: incarnation, Cold: cold})
}

// sendCall sends a repeatable call and returns its Start, if it is emitted.
func (d *testDaemon) sendCall() (Start, bool) {
	d.requests++
	id := identifier.Request(fmt.Sprintf("r%d", d.requests))
	return firstEffect[Start](d.reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "orders", Timeout: 20 * time.Second, Work: Call{Method: "GET", Path: "/look"}}))
}

// requestPermit requests a permit for the peer and reports whether it is granted.
func (d *testDaemon) requestPermit(id identifier.Request, number int) bool {
	answer, _ := firstEffect[AnswerPermit](d.reduce(PermitRequested{From: d.peer, Target: coldTarget, Request: id, Number: number, Term: 20 * time.Second}))
	return answer.Granted
}

// firstEffect returns the first effect of type E.
func firstEffect[E Effect](effects []Effect) (E, bool) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

// TestPermitsSurviveLostOwnership loses the ownership and regains it under the same
// fencing token. Without its earlier permits the owner would exceed the cold limit.
func TestPermitsSurviveLostOwnership(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p1", 1) && d.requestPermit("p2", 1))
	d.reduce(OwnershipChanged{Target: coldTarget})
	assert.Assert(t, !d.requestPermit("p3", 1))
	d.grantOwnership(1, false)
	assert.Assert(t, !d.requestPermit("p3", 1), "two permits are in use and the limit is two")
	d.reduce(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	assert.Assert(t, d.requestPermit("p3", 1))
}

// TestRenewedOwnershipDoesNotShortenTakeoverWait regains the ownership during the wait
// after a takeover. Permits of the earlier owner may still be in use.
func TestRenewedOwnershipDoesNotShortenTakeoverWait(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(2, true)
	d.reduce(OwnershipChanged{Target: coldTarget})
	d.grantOwnership(2, false)
	assert.Assert(t, !d.requestPermit("p1", 1))
	d.advance(maxColdUse + permitGrace)
	d.grantOwnership(2, false)
	assert.Assert(t, d.requestPermit("p1", 1))
}

// TestNoPermitAfterTargetIsReleased adds hosts until another daemon should own the
// target. A permit or request of the old owner could then run beside those of the new one.
func TestNoPermitAfterTargetIsReleased(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	hosts := []identifier.Host{d.host}
	for i := 0; placer.First(placer.KeyOf(coldTarget), hostStrings(hosts)) == string(d.host); i++ {
		hosts = append(hosts, identifier.Host(fmt.Sprintf("host-x%d", i)))
	}
	change := func(f *specifier.Fleet) {
		for _, host := range hosts {
			f.Hosts[host] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
		}
	}
	fleet := testFleet(nil)
	change(&fleet)
	d.reduce(ConfigAdopted{Version: 2, Fleet: fleet})
	want, ok := firstEffect[WantTargets](d.reduce(PeersChanged{Hosts: hosts}))
	assert.Assert(t, ok)
	for _, name := range want.Targets {
		assert.Assert(t, name != coldTarget)
	}
	assert.Assert(t, !d.requestPermit("p1", 1), "the next owner finds no lease record and does not wait")
	_, started := d.sendCall()
	assert.Assert(t, !started)
}

func hostStrings(hosts []identifier.Host) []string {
	var list []string
	for _, host := range hosts {
		list = append(list, string(host))
	}
	return list
}

// TestDuplicateReturnKeepsNewerPermit delivers the return of a permit twice, while the
// same request holds a newer permit. The duplicate must not free the newer one.
func TestDuplicateReturnKeepsNewerPermit(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p1", 1))
	assert.Assert(t, d.requestPermit("p1", 2))
	assert.Assert(t, !d.requestPermit("p2", 1))
	d.reduce(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	assert.Assert(t, d.requestPermit("p2", 1))
	d.reduce(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	assert.Assert(t, !d.requestPermit("p3", 1))
}

// TestUnprovenFailureKeepsColdSlot fails a request of the owner without proof that it
// did not run. Its slot stays occupied until the target has a new incarnation.
func TestUnprovenFailureKeepsColdSlot(t *testing.T) {
	for _, reason := range []FailureReason{FailureStalled, FailureBroken, FailureCallerDisconnected} {
		d := newTestDaemon(true, nil)
		d.observeIncarnation(1, true)
		d.grantOwnership(1, false)
		start, ok := d.sendCall()
		assert.Assert(t, ok)
		assert.Assert(t, d.requestPermit("p1", 1))
		_, again := firstEffect[Start](d.reduce(AttemptFailed{Attempt: start.Attempt, Reason: reason}))
		assert.Assert(t, !again && !d.requestPermit("p2", 1), "%s: the target may still run the request", reason)
		d.reduce(CallerDisconnected{Request: start.Attempt.Request})
		d.observeIncarnation(2, true)
		assert.Assert(t, d.requestPermit("p3", 1) && d.requestPermit("p4", 1), "%s: the new incarnation does not run the request", reason)
	}
}

// TestUnprovenFailureKeepsPermit fails a request that runs under a peer's permit. The
// permit is returned only if the request certainly did not run.
func TestUnprovenFailureKeepsPermit(t *testing.T) {
	for _, proven := range []bool{false, true} {
		d := newTestDaemon(false, nil)
		d.observeIncarnation(1, true)
		d.requests++
		call, ok := firstEffect[RequestPermit](d.reduce(RequestArrived{Request: "r1", KeyHash: "k1", Service: "orders", Timeout: 20 * time.Second, Work: Call{Method: "GET", Path: "/look"}}))
		assert.Assert(t, ok)
		start, ok := firstEffect[Start](d.reduce(PermitAnswered{Owner: d.peer, Request: "r1", Target: coldTarget, Number: call.Number, Granted: true, Incarnation: 1, CalledAt: d.now}))
		assert.Assert(t, ok)
		back, returned := firstEffect[ReturnPermit](d.reduce(AttemptFailed{Attempt: start.Attempt, Reason: FailureBroken, ProvenNotRun: proven}))
		assert.Equal(t, returned, proven)
		assert.Assert(t, !returned || back.Number == call.Number)
	}
}

// engineName is the only engine of newImportDaemon's fleet.
const engineName identifier.Target = "target-0"

// newImportDaemon returns the only daemon of a fleet with one engine, which the daemon
// owns, and one store.
func newImportDaemon(cold bool) *testDaemon {
	d := newTestDaemon(true, func(f *specifier.Fleet) {
		f.Stores = map[identifier.Store]specifier.Store{"store-0": {DataCentre: nearCentre, State: specifier.StateIn, LinkBytesPerSecond: 1 << 30}}
		delete(f.Targets, "target-1")
	})
	d.reduce(PeersChanged{Hosts: []identifier.Host{d.host}})
	d.reduce(OwnershipChanged{Target: engineName, Held: true, Fence: 1, Until: d.now.Add(2 * time.Minute)})
	d.reduce(IncarnationObserved{Target: engineName, Incarnation: 1, Cold: cold})
	d.advance(time.Second)
	return d
}

// startImport sends a prompt whose blocks are all stored, and returns its Import.
func (d *testDaemon) startImport(t *testing.T, id identifier.Request) Import {
	t.Helper()
	text := strings.Repeat(string(id), 8*hasher.BlockBytes)
	lookup, ok := firstEffect[Lookup](d.reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Timeout: 2 * time.Minute, Work: promptOf(text)}))
	assert.Assert(t, ok)
	var blocks []StoredBlock
	for _, key := range lookup.Keys {
		blocks = append(blocks, StoredBlock{Key: key, Generation: 1})
	}
	probe, ok := firstEffect[Import](d.reduce(LookupDone{Request: id, Store: "store-0", Blocks: blocks}))
	assert.Assert(t, ok && probe.Probe)
	transfer, ok := firstEffect[Import](d.reduce(ImportDone{Request: id, Target: probe.Target, Store: probe.Store, Probe: true}))
	assert.Assert(t, ok && !transfer.Probe)
	return transfer
}

// TestColdLimitHoldsWhenTargetTurnsColdDuringImports marks a warm target as cold while
// it imports for more requests than its cold limit. Not all of them may start then.
func TestColdLimitHoldsWhenTargetTurnsColdDuringImports(t *testing.T) {
	for _, incarnation := range []identifier.Incarnation{1, 2} {
		d := newImportDaemon(false)
		importing := []identifier.Request{"a", "b", "c", "d"}
		for _, id := range importing {
			d.startImport(t, id)
		}
		d.reduce(IncarnationObserved{Target: engineName, Incarnation: incarnation, Cold: true})
		started := 0
		for _, id := range importing {
			for _, effect := range d.reduce(ImportDone{Request: id, Target: engineName, Store: "store-0"}) {
				if start, ok := effect.(Start); ok {
					started++
					assert.Assert(t, !start.SendBy.IsZero(), "a request to a cold target needs a SendBy")
				}
			}
		}
		assert.Assert(t, started <= simColdLimit, "%d requests started on a cold target", started)
	}
}

// TestImportIsReplannedAfterTargetRestart restarts a target during an import. The
// imported blocks are lost, so the request must not start as planned.
func TestImportIsReplannedAfterTargetRestart(t *testing.T) {
	d := newImportDaemon(true)
	d.startImport(t, "a")
	d.reduce(IncarnationObserved{Target: engineName, Incarnation: 2, Cold: true})
	effects := d.reduce(ImportDone{Request: "a", Target: engineName, Store: "store-0", Blocks: 8})
	_, started := firstEffect[Start](effects)
	assert.Assert(t, !started, "the blocks were imported by the earlier process")
	_, again := firstEffect[Import](effects)
	assert.Assert(t, again)
}

// TestOwnerGrantsPermitForWarmTarget requests a permit for a target that is warm at its
// owner. A peer that suspects it to be cold must not have to wait for the next report.
func TestOwnerGrantsPermitForWarmTarget(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, false)
	d.advance(time.Minute)
	assert.Assert(t, d.requestPermit("p1", 1), "the peer would wait for the next load report")
}

// TestPeerReportIsNotForwarded delivers reports of a cold target that came from peers.
// Forwarding them would let an old report circulate among the daemons.
func TestPeerReportIsNotForwarded(t *testing.T) {
	d := newTestDaemon(false, nil)
	d.reduce(LoadObserved{Target: coldTarget, Incarnation: 1})
	d.advance(time.Second)
	_, shared := firstEffect[ShareLoad](d.reduce(LoadObserved{Target: coldTarget, Incarnation: 1, Cold: true}))
	assert.Assert(t, !shared)
	_, shared = firstEffect[ShareLoad](d.reduce(LoadObserved{Target: coldTarget, Incarnation: 2, Cold: true}))
	assert.Assert(t, !shared)
	_, shared = firstEffect[ShareLoad](d.observeIncarnation(3, true))
	assert.Assert(t, shared, "the daemon announces what it observed itself")
}

// TestDuplicateGrantDoesNotReturnPermit delivers a grant twice. Returning the permit at
// the second one would free a slot that the running request occupies.
func TestDuplicateGrantDoesNotReturnPermit(t *testing.T) {
	d := newTestDaemon(false, nil)
	d.observeIncarnation(1, true)
	call, ok := firstEffect[RequestPermit](d.reduce(RequestArrived{Request: "r1", KeyHash: "k1", Service: "orders", Timeout: 20 * time.Second, Work: Call{Method: "GET", Path: "/look"}}))
	assert.Assert(t, ok)
	granted := PermitAnswered{Owner: d.peer, Request: "r1", Target: coldTarget, Number: call.Number, Granted: true, Incarnation: 1, CalledAt: d.now}
	_, ok = firstEffect[Start](d.reduce(granted))
	assert.Assert(t, ok)
	_, returned := firstEffect[ReturnPermit](d.reduce(granted))
	assert.Assert(t, !returned)
}

// TestNoPermitAfterDrain requests a permit from a drained daemon. The daemon releases
// its targets, and the next owner does not wait for its permits.
func TestNoPermitAfterDrain(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	_, drained := firstEffect[Drained](d.reduce(DrainStarted{}))
	assert.Assert(t, drained)
	assert.Assert(t, !d.requestPermit("p1", 1), "the daemon releases the target and the next owner does not wait")
}

// TestDrainWaitsForPermits drains an owner whose permit is in use. The next owner does
// not wait for it, so the drain may not end before the permit is returned.
func TestDrainWaitsForPermits(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p1", 1))
	_, drained := firstEffect[Drained](d.reduce(DrainStarted{}))
	assert.Assert(t, !drained)
	_, drained = firstEffect[Drained](d.reduce(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1}))
	assert.Assert(t, drained)
	_, drained = firstEffect[Drained](d.advance(time.Second))
	assert.Assert(t, !drained)
}

// TestStaleFenceDoesNotReplaceOwnership delivers ownership events out of order: one
// with an older fencing token, and one that repeats the current token as a takeover.
func TestStaleFenceDoesNotReplaceOwnership(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(5, false)
	d.grantOwnership(3, false)
	d.grantOwnership(5, true)
	assert.Assert(t, d.requestPermit("p1", 1), "the takeover wait must not start again under the same fencing token")
}

// TestDuplicateClaimIsNotReleased delivers the outcome of a claim twice. Releasing the
// claim at the second one would let another daemon run the request again.
func TestDuplicateClaimIsNotReleased(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	claim, ok := firstEffect[Claim](d.reduce(RequestArrived{
		Request: "r1", KeyHash: "k1", Service: "orders", IdempotencyKey: "key", Timeout: 20 * time.Second,
		Work: Call{Method: "POST", Path: "/print/1", Fingerprint: "f"},
	}))
	assert.Assert(t, ok)
	won := ClaimSettled{Request: "r1", Team: claim.Team, IdempotencyKey: "key", Outcome: ClaimWon}
	_, ok = firstEffect[Start](d.reduce(won))
	assert.Assert(t, ok)
	_, released := firstEffect[ReleaseClaim](d.reduce(won))
	assert.Assert(t, !released, "the request runs under the claim")
}

// TestAbandonedImportKeepsColdSlot disconnects the callers of requests whose imports
// run on a cold target. The imports go on, so their slots stay occupied until they
// time out.
func TestAbandonedImportKeepsColdSlot(t *testing.T) {
	d := newImportDaemon(true)
	for _, id := range []identifier.Request{"a", "b"} {
		transfer := d.startImport(t, id)
		assert.Assert(t, transfer.Timeout <= maxColdUse)
		d.reduce(CallerDisconnected{Request: id})
	}
	_, started := firstEffect[Start](d.reduce(RequestArrived{Request: "c", KeyHash: "k1", Service: "labels", Timeout: 2 * time.Minute, Work: promptOf("c")}))
	assert.Assert(t, !started, "the target still imports for the abandoned requests")
	_, started = firstEffect[Start](d.advance(maxColdUse / 2))
	assert.Assert(t, !started)
	_, started = firstEffect[Start](d.advance(maxColdUse))
	assert.Assert(t, started)
}

// TestNewIncarnationRestartsRamp restarts a warm target. The new incarnation must not
// get the full warm limit at once.
func TestNewIncarnationRestartsRamp(t *testing.T) {
	d := newTestDaemon(true, nil)
	limit := func() int { return d.state.limit(d.state.targets[coldTarget]) }
	d.observeIncarnation(1, false)
	d.advance(time.Minute)
	warm := limit()
	d.observeIncarnation(2, false)
	assert.Assert(t, limit() < warm, "a restarted target gets %d requests at once, as before", limit())
	d.advance(time.Minute)
	assert.Equal(t, limit(), warm)
}

// TestColdTargetUseIsBoundedByLease checks that requests to a cold target can't be sent
// after the lease has expired, when another daemon may own the target.
func TestColdTargetUseIsBoundedByLease(t *testing.T) {
	d := newTestDaemon(true, nil)
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	until := d.now.Add(time.Minute)
	start, ok := firstEffect[Start](d.sendLongCall("r1"))
	assert.Assert(t, ok)
	assert.Equal(t, start.SendBy, until)
	assert.Equal(t, start.Deadline, d.now.Add(maxColdUse))
	d.advance(time.Minute)
	_, ok = firstEffect[Start](d.sendLongCall("r2"))
	assert.Assert(t, !ok, "the lease has expired")
}

// TestImportUsesStoreOfLookup takes a store out of service between a lookup and its
// result. The blocks must not be imported from another store, which numbers its block
// generations independently.
func TestImportUsesStoreOfLookup(t *testing.T) {
	d := newImportDaemon(false)
	fleet := d.state.fleet.Clone()
	fleet.Stores["store-1"] = fleet.Stores["store-0"]
	d.reduce(ConfigAdopted{Version: d.state.version + 1, Fleet: fleet})
	text := strings.Repeat("x", 8*hasher.BlockBytes)
	lookup, ok := firstEffect[Lookup](d.reduce(RequestArrived{Request: "a", KeyHash: "k1", Service: "labels", Timeout: 2 * time.Minute, Work: promptOf(text)}))
	assert.Assert(t, ok)
	fleet = fleet.Clone()
	queried := fleet.Stores[lookup.Store]
	queried.State = specifier.StateOut
	fleet.Stores[lookup.Store] = queried
	d.reduce(ConfigAdopted{Version: d.state.version + 1, Fleet: fleet})
	var blocks []StoredBlock
	for _, key := range lookup.Keys {
		blocks = append(blocks, StoredBlock{Key: key, Generation: 1})
	}
	effects := d.reduce(LookupDone{Request: "a", Store: lookup.Store, Blocks: blocks})
	transfer, imports := firstEffect[Import](effects)
	assert.Assert(t, !imports, "import from %q of blocks that %q holds", transfer.Store, lookup.Store)
	_, started := firstEffect[Start](effects)
	assert.Assert(t, started)
}
