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

// coldTarget is the only target of the service orders in worldFleet.
const coldTarget identifier.Target = "target-2"

// single drives one State with a manual clock.
type single struct {
	s    *State
	now  time.Time
	host identifier.Host
	peer identifier.Host
	n    int
}

// newSingle returns the State of coldTarget's expected owner, or that of the other
// daemon. change, if not nil, edits the fleet.
func newSingle(owner bool, change func(*specifier.Fleet)) *single {
	names := []string{"host-a", "host-b"}
	host := placer.First(placer.KeyOf(coldTarget), names)
	peer := names[0]
	if peer == host {
		peer = names[1]
	}
	if !owner {
		host, peer = peer, host
	}
	d := &single{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), host: identifier.Host(host), peer: identifier.Host(peer)}
	hosts := []identifier.Host{"host-a", "host-b"}
	fleet := worldFleet(hosts)
	if change != nil {
		change(&fleet)
	}
	d.s = New(Config{Host: d.host, DataCentre: "dc", Seed: 1, BlockSecret: []byte("secret")})
	d.feed(PeersChanged{Hosts: hosts})
	d.feed(ConfigAdopted{Version: 1, Fleet: fleet})
	return d
}

func (d *single) feed(ev Event) []Effect { return d.s.Reduce(ev, d.now) }

func (d *single) pass(t time.Duration) []Effect {
	d.now = d.now.Add(t)
	return d.feed(Tick{})
}

// hold gives the State the ownership of coldTarget for a minute.
func (d *single) hold(fence uint64, takenOver bool) []Effect {
	return d.feed(OwnershipChanged{Target: coldTarget, Held: true, Fence: fence, Until: d.now.Add(time.Minute), TakenOver: takenOver})
}

func (d *single) seen(incarnation identifier.Incarnation, cold bool) []Effect {
	return d.feed(IncarnationSeen{Target: coldTarget, Incarnation: incarnation, Cold: cold})
}

// sendCall sends a repeatable call and returns its Start, if it is emitted.
func (d *single) sendCall() (Start, bool) {
	d.n++
	id := identifier.Request(fmt.Sprintf("r%d", d.n))
	return one[Start](d.feed(RequestArrived{Request: id, KeyHash: "k1", Service: "orders", Timeout: 20 * time.Second, Work: Call{Method: "GET", Path: "/look"}}))
}

// ask requests a permit for the peer and reports whether it is granted.
func (d *single) ask(id identifier.Request, number int) bool {
	answer, _ := one[AnswerPermit](d.feed(PermitAsked{From: d.peer, Target: coldTarget, Request: id, Number: number, Term: 20 * time.Second}))
	return answer.Granted
}

// one returns the first effect of type E.
func one[E Effect](effects []Effect) (E, bool) {
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
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	assert.Assert(t, d.ask("p1", 1) && d.ask("p2", 1))
	d.feed(OwnershipChanged{Target: coldTarget})
	assert.Assert(t, !d.ask("p3", 1))
	d.hold(1, false)
	assert.Assert(t, !d.ask("p3", 1), "two permits are in use and the limit is two")
	d.feed(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	assert.Assert(t, d.ask("p3", 1))
}

// TestRenewedOwnershipDoesNotShortenTakeOverWait regains the ownership during the wait
// after a take-over. Permits of the earlier owner may still be in use.
func TestRenewedOwnershipDoesNotShortenTakeOverWait(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(2, true)
	d.feed(OwnershipChanged{Target: coldTarget})
	d.hold(2, false)
	assert.Assert(t, !d.ask("p1", 1))
	d.pass(maxColdUse + permitGrace)
	d.hold(2, false)
	assert.Assert(t, d.ask("p1", 1))
}

// TestNoPermitAfterTargetIsReleased adds hosts until another daemon should own the
// target. A permit or request of the old owner could then run beside those of the new one.
func TestNoPermitAfterTargetIsReleased(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	hosts := []identifier.Host{d.host}
	for i := 0; placer.First(placer.KeyOf(coldTarget), names(hosts)) == string(d.host); i++ {
		hosts = append(hosts, identifier.Host(fmt.Sprintf("host-x%d", i)))
	}
	change := func(f *specifier.Fleet) {
		for _, host := range hosts {
			f.Hosts[host] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
		}
	}
	fleet := worldFleet(nil)
	change(&fleet)
	d.feed(ConfigAdopted{Version: 2, Fleet: fleet})
	want, ok := one[WantTargets](d.feed(PeersChanged{Hosts: hosts}))
	assert.Assert(t, ok)
	for _, name := range want.Targets {
		assert.Assert(t, name != coldTarget)
	}
	assert.Assert(t, !d.ask("p1", 1), "the next owner finds no lease record and does not wait")
	_, started := d.sendCall()
	assert.Assert(t, !started)
}

func names(hosts []identifier.Host) []string {
	var list []string
	for _, host := range hosts {
		list = append(list, string(host))
	}
	return list
}

// TestDuplicateReturnKeepsNewerPermit delivers the return of a permit twice, while the
// same request holds a newer permit. The duplicate must not free the newer one.
func TestDuplicateReturnKeepsNewerPermit(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	assert.Assert(t, d.ask("p1", 1))
	assert.Assert(t, d.ask("p1", 2))
	assert.Assert(t, !d.ask("p2", 1))
	d.feed(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	assert.Assert(t, d.ask("p2", 1))
	d.feed(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1})
	assert.Assert(t, !d.ask("p3", 1))
}

// TestUnprovenFailureKeepsColdSlot fails a request of the owner without proof that it
// did not run. Its slot stays occupied until the target has a new incarnation.
func TestUnprovenFailureKeepsColdSlot(t *testing.T) {
	for _, reason := range []FailureReason{FailureStalled, FailureBroken, FailureCaller} {
		d := newSingle(true, nil)
		d.seen(1, true)
		d.hold(1, false)
		start, ok := d.sendCall()
		assert.Assert(t, ok)
		assert.Assert(t, d.ask("p1", 1))
		_, again := one[Start](d.feed(AttemptFailed{Attempt: start.Attempt, Reason: reason}))
		assert.Assert(t, !again && !d.ask("p2", 1), "%s: the target may still run the request", reason)
		d.feed(CallerGone{Request: start.Attempt.Request})
		d.seen(2, true)
		assert.Assert(t, d.ask("p3", 1) && d.ask("p4", 1), "%s: the new incarnation does not run the request", reason)
	}
}

// TestUnprovenFailureKeepsPermit fails a request that runs under a peer's permit. The
// permit is returned only if the request certainly did not run.
func TestUnprovenFailureKeepsPermit(t *testing.T) {
	for _, proven := range []bool{false, true} {
		d := newSingle(false, nil)
		d.seen(1, true)
		d.n++
		ask, ok := one[AskPermit](d.feed(RequestArrived{Request: "r1", KeyHash: "k1", Service: "orders", Timeout: 20 * time.Second, Work: Call{Method: "GET", Path: "/look"}}))
		assert.Assert(t, ok)
		start, ok := one[Start](d.feed(PermitSettled{Owner: d.peer, Request: "r1", Target: coldTarget, Number: ask.Number, Granted: true, Incarnation: 1, Asked: d.now}))
		assert.Assert(t, ok)
		back, returned := one[ReturnPermit](d.feed(AttemptFailed{Attempt: start.Attempt, Reason: FailureBroken, Proven: proven}))
		assert.Equal(t, returned, proven)
		assert.Assert(t, !returned || back.Number == ask.Number)
	}
}

// engineName is the only engine of newImporter's fleet.
const engineName identifier.Target = "target-0"

// newImporter returns the only daemon of a fleet with one engine, which the daemon
// owns, and one store.
func newImporter(cold bool) *single {
	d := newSingle(true, func(f *specifier.Fleet) {
		f.Stores = map[identifier.Store]specifier.Store{"store-0": {DataCentre: nearCentre, State: specifier.StateIn, LinkBytesPerSecond: 1 << 30}}
		delete(f.Targets, "target-1")
	})
	d.feed(PeersChanged{Hosts: []identifier.Host{d.host}})
	d.feed(OwnershipChanged{Target: engineName, Held: true, Fence: 1, Until: d.now.Add(2 * time.Minute)})
	d.feed(IncarnationSeen{Target: engineName, Incarnation: 1, Cold: cold})
	d.pass(time.Second)
	return d
}

// importFor sends a prompt whose blocks are all stored, and returns its Import.
func (d *single) importFor(t *testing.T, id identifier.Request) Import {
	t.Helper()
	text := strings.Repeat(string(id), 8*hasher.BlockBytes)
	lookup, ok := one[Lookup](d.feed(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Timeout: 2 * time.Minute, Work: promptOf(text)}))
	assert.Assert(t, ok)
	var blocks []StoredBlock
	for _, key := range lookup.Keys {
		blocks = append(blocks, StoredBlock{Key: key, Generation: 1})
	}
	probe, ok := one[Import](d.feed(LookupDone{Request: id, Store: "store-0", Blocks: blocks}))
	assert.Assert(t, ok && probe.Probe)
	order, ok := one[Import](d.feed(ImportDone{Request: id, Target: probe.Target, Store: probe.Store, Probe: true}))
	assert.Assert(t, ok && !order.Probe)
	return order
}

// TestColdLimitHoldsWhenTargetTurnsColdDuringImports marks a warm target as cold while
// it imports for more requests than its cold limit. Not all of them may start then.
func TestColdLimitHoldsWhenTargetTurnsColdDuringImports(t *testing.T) {
	for _, incarnation := range []identifier.Incarnation{1, 2} {
		d := newImporter(false)
		importing := []identifier.Request{"a", "b", "c", "d"}
		for _, id := range importing {
			d.importFor(t, id)
		}
		d.feed(IncarnationSeen{Target: engineName, Incarnation: incarnation, Cold: true})
		started := 0
		for _, id := range importing {
			for _, effect := range d.feed(ImportDone{Request: id, Target: engineName, Store: "store-0"}) {
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
	d := newImporter(true)
	d.importFor(t, "a")
	d.feed(IncarnationSeen{Target: engineName, Incarnation: 2, Cold: true})
	effects := d.feed(ImportDone{Request: "a", Target: engineName, Store: "store-0", Blocks: 8})
	_, started := one[Start](effects)
	assert.Assert(t, !started, "the blocks were imported by the earlier process")
	_, again := one[Import](effects)
	assert.Assert(t, again)
}

// TestOwnerGrantsPermitForWarmTarget requests a permit for a target that is warm at its
// owner. A peer that suspects it to be cold must not have to wait for the next report.
func TestOwnerGrantsPermitForWarmTarget(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, false)
	d.pass(time.Minute)
	assert.Assert(t, d.ask("p1", 1), "the peer would wait for the next load report")
}

// TestPeerReportIsNotForwarded delivers reports of a cold target that came from peers.
// Forwarding them would let an old report circulate among the daemons.
func TestPeerReportIsNotForwarded(t *testing.T) {
	d := newSingle(false, nil)
	d.feed(LoadObserved{Target: coldTarget, Incarnation: 1})
	d.pass(time.Second)
	_, shared := one[ShareLoad](d.feed(LoadObserved{Target: coldTarget, Incarnation: 1, Cold: true}))
	assert.Assert(t, !shared)
	_, shared = one[ShareLoad](d.feed(LoadObserved{Target: coldTarget, Incarnation: 2, Cold: true}))
	assert.Assert(t, !shared)
	_, shared = one[ShareLoad](d.seen(3, true))
	assert.Assert(t, shared, "the daemon announces what it observed itself")
}

// TestDuplicateGrantDoesNotReturnPermit delivers a grant twice. Returning the permit at
// the second one would free a slot that the running request occupies.
func TestDuplicateGrantDoesNotReturnPermit(t *testing.T) {
	d := newSingle(false, nil)
	d.seen(1, true)
	ask, ok := one[AskPermit](d.feed(RequestArrived{Request: "r1", KeyHash: "k1", Service: "orders", Timeout: 20 * time.Second, Work: Call{Method: "GET", Path: "/look"}}))
	assert.Assert(t, ok)
	granted := PermitSettled{Owner: d.peer, Request: "r1", Target: coldTarget, Number: ask.Number, Granted: true, Incarnation: 1, Asked: d.now}
	_, ok = one[Start](d.feed(granted))
	assert.Assert(t, ok)
	_, returned := one[ReturnPermit](d.feed(granted))
	assert.Assert(t, !returned)
}

// TestNoPermitAfterDrain requests a permit from a drained daemon. The daemon releases
// its targets, and the next owner does not wait for its permits.
func TestNoPermitAfterDrain(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	_, drained := one[Drained](d.feed(DrainStarted{}))
	assert.Assert(t, drained)
	assert.Assert(t, !d.ask("p1", 1), "the daemon releases the target and the next owner does not wait")
}

// TestDrainWaitsForPermits drains an owner whose permit is in use. The next owner does
// not wait for it, so the drain may not end before the permit is returned.
func TestDrainWaitsForPermits(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	assert.Assert(t, d.ask("p1", 1))
	_, drained := one[Drained](d.feed(DrainStarted{}))
	assert.Assert(t, !drained)
	_, drained = one[Drained](d.feed(PermitReturned{From: d.peer, Target: coldTarget, Request: "p1", Number: 1}))
	assert.Assert(t, drained)
	_, drained = one[Drained](d.pass(time.Second))
	assert.Assert(t, !drained)
}

// TestStaleFenceDoesNotReplaceOwnership delivers ownership events out of order: one
// with an older fencing token, and one that repeats the current token as a take-over.
func TestStaleFenceDoesNotReplaceOwnership(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(5, false)
	d.hold(3, false)
	d.hold(5, true)
	assert.Assert(t, d.ask("p1", 1), "the take-over wait must not start again under the same fencing token")
}

// TestDuplicateClaimIsNotReleased delivers the outcome of a claim twice. Releasing the
// claim at the second one would let another daemon run the request again.
func TestDuplicateClaimIsNotReleased(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	claim, ok := one[Claim](d.feed(RequestArrived{
		Request: "r1", KeyHash: "k1", Service: "orders", IdempotencyKey: "key", Timeout: 20 * time.Second,
		Work: Call{Method: "POST", Path: "/print/1", Fingerprint: "f"},
	}))
	assert.Assert(t, ok)
	won := ClaimSettled{Request: "r1", Team: claim.Team, IdempotencyKey: "key", Outcome: ClaimWon}
	_, ok = one[Start](d.feed(won))
	assert.Assert(t, ok)
	_, released := one[ReleaseClaim](d.feed(won))
	assert.Assert(t, !released, "the request runs under the claim")
}

// TestAbandonedImportKeepsColdSlot disconnects the callers of requests whose imports
// run on a cold target. The imports go on, so their slots stay occupied until they
// time out.
func TestAbandonedImportKeepsColdSlot(t *testing.T) {
	d := newImporter(true)
	for _, id := range []identifier.Request{"a", "b"} {
		order := d.importFor(t, id)
		assert.Assert(t, order.Timeout <= maxColdUse)
		d.feed(CallerGone{Request: id})
	}
	_, started := one[Start](d.feed(RequestArrived{Request: "c", KeyHash: "k1", Service: "labels", Timeout: 2 * time.Minute, Work: promptOf("c")}))
	assert.Assert(t, !started, "the target still imports for the abandoned requests")
	_, started = one[Start](d.pass(maxColdUse / 2))
	assert.Assert(t, !started)
	_, started = one[Start](d.pass(maxColdUse))
	assert.Assert(t, started)
}

// TestNewIncarnationRestartsRamp restarts a warm target. The new incarnation must not
// get the full warm limit at once.
func TestNewIncarnationRestartsRamp(t *testing.T) {
	d := newSingle(true, nil)
	limit := func() int { return d.s.limit(d.s.targets[coldTarget]) }
	d.seen(1, false)
	d.pass(time.Minute)
	warm := limit()
	d.seen(2, false)
	assert.Assert(t, limit() < warm, "a restarted target gets %d requests at once, as before", limit())
	d.pass(time.Minute)
	assert.Equal(t, limit(), warm)
}

// TestColdTargetUseIsBoundedByLease checks that requests to a cold target can't be sent
// after the lease has expired, when another daemon may own the target.
func TestColdTargetUseIsBoundedByLease(t *testing.T) {
	d := newSingle(true, nil)
	d.seen(1, true)
	d.hold(1, false)
	until := d.now.Add(time.Minute)
	start, ok := one[Start](d.patient("r1"))
	assert.Assert(t, ok)
	assert.Equal(t, start.SendBy, until)
	assert.Equal(t, start.Deadline, d.now.Add(maxColdUse))
	d.pass(time.Minute)
	_, ok = one[Start](d.patient("r2"))
	assert.Assert(t, !ok, "the lease has expired")
}

// TestImportUsesStoreOfLookup takes a store out of service between a lookup and its
// result. The blocks must not be imported from another store, which numbers its block
// generations independently.
func TestImportUsesStoreOfLookup(t *testing.T) {
	d := newImporter(false)
	fleet := d.s.fleet.Clone()
	fleet.Stores["store-1"] = fleet.Stores["store-0"]
	d.feed(ConfigAdopted{Version: d.s.version + 1, Fleet: fleet})
	text := strings.Repeat("x", 8*hasher.BlockBytes)
	lookup, ok := one[Lookup](d.feed(RequestArrived{Request: "a", KeyHash: "k1", Service: "labels", Timeout: 2 * time.Minute, Work: promptOf(text)}))
	assert.Assert(t, ok)
	fleet = fleet.Clone()
	asked := fleet.Stores[lookup.Store]
	asked.State = specifier.StateOut
	fleet.Stores[lookup.Store] = asked
	d.feed(ConfigAdopted{Version: d.s.version + 1, Fleet: fleet})
	var blocks []StoredBlock
	for _, key := range lookup.Keys {
		blocks = append(blocks, StoredBlock{Key: key, Generation: 1})
	}
	effects := d.feed(LookupDone{Request: "a", Store: lookup.Store, Blocks: blocks})
	order, imports := one[Import](effects)
	assert.Assert(t, !imports, "import from %q of blocks that %q holds", order.Store, lookup.Store)
	_, started := one[Start](effects)
	assert.Assert(t, started)
}
