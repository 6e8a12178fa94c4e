package decider

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// leaseStore is a fake of the platform's lease object with revisions.
type leaseStore struct {
	lease    Lease
	revision int64
	era      int64
}

// handleLeaseCalls carries out the lease calls among effects and returns all other effects.
func (s *leaseStore) handleLeaseCalls(h *host, effects []Effect) []Effect {
	var rest []Effect
	for _, e := range effects {
		switch e := e.(type) {
		case ReadLease:
			rest = append(rest, s.handleLeaseCalls(h, h.handle(LeaseAnswered{Lease: s.answer(), CalledAt: h.clock, Missing: s.lease.Revision == 0}))...)
		case RenewLease:
			if e.Revision != s.lease.Revision {
				rest = append(rest, s.handleLeaseCalls(h, h.handle(LeaseAnswered{CalledAt: h.clock, Written: true, Err: true}))...)
				continue
			}
			s.revision++
			s.lease = Lease{Revision: s.revision, Holder: h.cfg.Host, Boot: h.cfg.Boot, WriterEra: e.Era, IdleFor: e.IdleFor}
			rest = append(rest, s.handleLeaseCalls(h, h.handle(LeaseAnswered{Lease: s.answer(), CalledAt: h.clock, Written: true}))...)
		default:
			rest = append(rest, e)
		}
	}
	return rest
}

// answer returns the lease as the store answers it in its era.
func (s *leaseStore) answer() Lease {
	lease := s.lease
	lease.Era = s.era
	return lease
}

// tickHosts ticks the hosts for d and returns the orders with the host and time of each.
func (s *leaseStore) tickHosts(d time.Duration, hosts ...*host) []hostOrder {
	var given []hostOrder
	for end := hosts[0].clock.Add(d); hosts[0].clock.Before(end); {
		for _, h := range hosts {
			h.advance(50 * time.Millisecond)
			for _, order := range effectsOf[GiveOrder](s.handleLeaseCalls(h, h.handle(Tick{}))) {
				given = append(given, hostOrder{h.cfg.Host, h.clock, order})
			}
		}
	}
	return given
}

type hostOrder struct {
	host string
	at   time.Time
	GiveOrder
}

// TestReplacedHolderDoesNotRenewLease guards against two lease holders. A host that learns of a
// newer revision from a peer must not renew the lease, and gets a new fencing token when it
// takes it again.
func TestReplacedHolderDoesNotRenewLease(t *testing.T) {
	leases := &leaseStore{}
	a, b := newHost(t, "a", 4, 0), newHost(t, "b", 4, 0)
	leases.tickHosts(time.Second, a)
	assert.Assert(t, a.holdsLease())
	first := a.fencingToken
	b.clock = a.clock
	leases.tickHosts(6*time.Second, b)
	assert.Assert(t, b.holdsLease(), "the silent holder was not replaced")
	a.clock = b.clock
	a.handle(MessageReceived{Message: b.newMessage()})
	assert.Assert(t, !a.leaseNamesSelf())
	a.handle(Tick{})
	assert.Equal(t, len(effectsOf[RenewLease](a.handle(Tick{}))), 0, "the lease of another host was renewed")
	b.stopping = true
	leases.tickHosts(8*time.Second, a)
	assert.Assert(t, a.holdsLease())
	assert.Assert(t, a.fencingToken > b.fencingToken && b.fencingToken > first, "fencing tokens %d, %d, %d must increase", first, b.fencingToken, a.fencingToken)
}

// TestSuccessorWaitsLeaseTermBeforeOrders guards against orders of two hosts within one lease
// term. The holder dies just after it gave orders; its successor must wait for the term, but
// no more than 1.2 s longer.
func TestSuccessorWaitsLeaseTermBeforeOrders(t *testing.T) {
	for _, offset := range []time.Duration{0, 70, 180, 310, 420} {
		leases := &leaseStore{}
		a, b := newHost(t, "a", 12, 0), newHost(t, "b", 12, 0)
		leases.tickHosts(time.Second+offset*time.Millisecond, a)
		b.clock = a.clock
		b.handle(MessageReceived{Message: a.newMessage()})
		for _, h := range []*host{a, b} {
			h.nameWeights(2)
		}
		last := a.clock
		for range 3 {
			for _, r := range effectsOf[ReadReport](leases.handleLeaseCalls(a, a.handle(Tick{}))) {
				for range effectsOf[GiveOrder](a.handle(ReportAnswered{Target: r.Target})) {
					last = a.clock
				}
			}
			a.advance(50 * time.Millisecond)
		}
		assert.Equal(t, len(a.updates), minConcurrentUpdates)
		b.clock = a.clock
		b.handle(MessageReceived{Message: a.newMessage()})
		var first time.Time
		for first.IsZero() && b.clock.Sub(last) < 6*time.Second {
			b.advance(50 * time.Millisecond)
			for _, r := range effectsOf[ReadReport](leases.handleLeaseCalls(b, b.handle(Tick{}))) {
				if len(effectsOf[GiveOrder](b.handle(ReportAnswered{Target: r.Target}))) > 0 && first.IsZero() {
					first = b.clock
				}
			}
		}
		assert.Assert(t, first.Sub(last) > leaseTerm, "the successor ordered after %v", first.Sub(last))
		assert.Assert(t, first.Sub(last) < leaseTerm+1200*time.Millisecond, "the successor ordered after %v", first.Sub(last))
	}
}

// TestSilentIdleHolderDelaysRollout guards against a rollout that begins late because its first
// holder is suspended. A holder that gave no orders needs no whole term to be replaced.
func TestSilentIdleHolderDelaysRollout(t *testing.T) {
	leases := &leaseStore{}
	a, b := newHost(t, "a", 4, 0), newHost(t, "b", 4, 0)
	leases.tickHosts(10*time.Second, a)
	b.clock = a.clock
	b.handle(MessageReceived{Message: a.newMessage()})
	silentAt := b.clock
	b.nameWeights(2)
	for !b.holdsLease() {
		leases.tickHosts(50*time.Millisecond, b)
		assert.Assert(t, b.clock.Sub(silentAt) < leaseTerm, "the silent holder was not replaced within %v", leaseTerm)
	}
	a.clock = b.clock
	a.nameWeights(2)
	assert.Equal(t, len(effectsOf[GiveOrder](leases.answerReports(a, 600*time.Millisecond))), 0, "the replaced holder gave orders")
}

// TestOrdersUnderIdleLease guards against orders of a holder whose lease says that it gives none:
// its successor doesn't wait for them.
func TestOrdersUnderIdleLease(t *testing.T) {
	leases := &leaseStore{}
	h := newHost(t, "a", 4, 0)
	leases.tickHosts(10*time.Second, h)
	for renewed := leases.revision; leases.revision == renewed; {
		leases.tickHosts(50*time.Millisecond, h)
	}
	assert.Assert(t, leases.lease.IdleFor > 0)
	h.nameWeights(2)
	h.advance(50 * time.Millisecond)
	effects := h.handle(Tick{})
	assert.Equal(t, len(effectsOf[ReadReport](effects)), 0, "an update began under an idle lease")
	leases.handleLeaseCalls(h, effects)
	assert.Equal(t, leases.lease.IdleFor, time.Duration(0))
	assert.Assert(t, len(effectsOf[ReadReport](h.handle(Tick{}))) > 0, "no update begins after the next renewal")
}

// TestRestartedHolderIsNotIdle guards against orders of two hosts within one lease term after a
// holder was restarted: the new process doesn't know which orders the old one gave.
func TestRestartedHolderIsNotIdle(t *testing.T) {
	leases := &leaseStore{}
	leases.tickHosts(time.Second, newHost(t, "a", 4, 0))
	h := newHost(t, "a", 4, 0)
	h.cfg.Boot, h.clock = 2, h.clock.Add(time.Second)
	startedAt := h.clock
	leases.tickHosts(3*time.Second, h)
	assert.Equal(t, leases.lease.Boot, int64(2))
	assert.Assert(t, leases.lease.IdleFor <= h.clock.Sub(startedAt), "the holder claims to have given no orders before its start")
}

// answerReports ticks a host for d, answers its reads of reports, and returns all other effects.
func (s *leaseStore) answerReports(h *host, d time.Duration) []Effect {
	var effects []Effect
	for end := h.clock.Add(d); h.clock.Before(end); {
		h.advance(50 * time.Millisecond)
		for _, e := range s.handleLeaseCalls(h, h.handle(Tick{})) {
			if read, ok := e.(ReadReport); ok {
				effects = append(effects, h.handle(ReportAnswered{Target: read.Target, Report: newReport(1)})...)
			}
		}
	}
	return effects
}

// TestOutdatedEnginesNotUsedAfterDeadline guards against requests that start on old weights
// after the platform's deadline for the new ones.
func TestOutdatedEnginesNotUsedAfterDeadline(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.nameWeights(2)
	h.advance(6 * time.Second)
	_, effect := h.request("/short/", key, shortPrompt("s"))
	_, sent := effect.(Send)
	assert.Assert(t, sent)
	h.advance(1500 * time.Millisecond)
	_, effect = h.request("/short/", key, shortPrompt("s"))
	refused, ok := effect.(Refuse)
	assert.Assert(t, ok && refused.NotRun)
	h.handle(ReportAnswered{Target: "engine-1", Report: newReport(2)})
	_, effect = h.request("/short/", key, shortPrompt("s"))
	assert.Equal(t, effect.(Send).Target, "engine-1")
	assert.Equal(t, effect.(Send).Weights, 2)
}

// newLeaseHolder returns a host that holds the lease.
func newLeaseHolder(t *testing.T, engines int) *host {
	h := newHost(t, "a", engines, 0)
	h.handle(HostsListed{Hosts: map[string]descriptor.Host{"a": {Address: address(1), DataCentre: "a"}, "b": {Address: address(2), DataCentre: "a"}}})
	h.handle(LeaseAnswered{Missing: true, CalledAt: h.clock})
	h.handle(LeaseAnswered{Lease: Lease{Revision: 2, Holder: "a", Boot: 1}, Written: true, CalledAt: h.clock})
	return h
}

// runUpdates lets time pass, answers reads of reports, and returns the orders given. Peer b
// sends its loads meanwhile.
func (h *host) runUpdates(d time.Duration, peerLoads map[string]targetLoad) []GiveOrder {
	var given []GiveOrder
	const every = 50 * time.Millisecond
	for ; d > 0; d -= every {
		h.advance(every)
		h.lastNumber++
		h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: uint64(h.lastNumber), Loads: peerLoads, Avoided: slices.Collect(maps.Keys(h.updates))}})
		h.handle(LeaseAnswered{Lease: Lease{Revision: h.lease.Revision + 1, Holder: "a", Boot: 1}, Written: true, CalledAt: h.clock})
		for _, read := range effectsOf[ReadReport](h.handle(Tick{})) {
			effects := h.handle(ReportAnswered{Target: read.Target, Report: newReport(1)})
			given = append(given, effectsOf[GiveOrder](effects)...)
		}
	}
	return given
}

// TestOrderInterruptsResumableStreams guards against engines that stay on old weights for as
// long as long streams run. The order must come as soon as no pinned request is left, and must
// interrupt the streams, which resume at other engines.
func TestOrderInterruptsResumableStreams(t *testing.T) {
	h := newLeaseHolder(t, 2)
	resumable, effect := h.request("/short/", key, shortPrompt("s"))
	engine := effect.(Send).Target
	h.handle(ResponseStarted{Number: resumable, Weights: 1})
	var pinned int64
	for {
		n, effect := h.request("/long/", key, longPrompt("s"))
		if effect.(Send).Target == engine {
			pinned = n
			break
		}
	}
	for id := range h.targets {
		if id != engine {
			h.handle(ReportAnswered{Target: id, Report: newReport(2)})
		}
	}
	h.nameWeights(2)
	ordersToEngine := func(given []GiveOrder) (orders []GiveOrder) {
		for _, g := range given {
			if g.Target == engine {
				orders = append(orders, g)
			}
		}
		return orders
	}
	assert.Equal(t, len(ordersToEngine(h.runUpdates(time.Second, nil))), 0, "an order was given while a pinned request was running")
	h.handle(AttemptDone{Number: pinned, Status: 200})
	given := ordersToEngine(h.runUpdates(300*time.Millisecond, nil))
	assert.Equal(t, len(given), 1)
	assert.Assert(t, given[0].Order.AbortRunning)
	next, ok := requestEffect(h.handle(AttemptFailed{Number: resumable, Reason: FailureBroken, ResponseStarted: true})).(Send)
	assert.Assert(t, ok, "the stream was not resumed")
	assert.Assert(t, next.Target != engine)
	assert.Equal(t, h.targets[engine].failureRate, 0.0, "an interruption by an order counts as a failure of the engine")
}

// TestOrderWaitsForPinnedRequestsOfPeers guards against interrupting pinned requests of other
// hosts. An order that can't wait any longer must let them finish.
func TestOrderWaitsForPinnedRequestsOfPeers(t *testing.T) {
	h := newLeaseHolder(t, 2)
	h.nameWeights(2)
	busy := map[string]targetLoad{"engine-1": {Requests: 1, Pinned: 1}, "engine-2": {Requests: 1, Pinned: 1}}
	assert.Equal(t, len(h.runUpdates(maxPinnedWait-100*time.Millisecond, busy)), 0)
	given := h.runUpdates(500*time.Millisecond, busy)
	assert.Assert(t, len(given) > 0)
	for _, g := range given {
		assert.Assert(t, !g.Order.AbortRunning, "an order interrupts a pinned request of another host")
	}
}

// TestLastAttemptIsPinned guards against interrupting a stream that has no attempts left to
// resume at another engine.
func TestLastAttemptIsPinned(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	n, effect := h.request("/short/", key, shortPrompt("s"))
	assert.Equal(t, h.targets[effect.(Send).Target].ownLoad.Pinned, 0)
	h.handle(ResponseStarted{Number: n, Weights: 1})
	next := requestEffect(h.handle(AttemptFailed{Number: n, Reason: FailureBroken, ResponseStarted: true})).(Send)
	assert.Equal(t, h.targets[next.Target].ownLoad.Pinned, 1)
}

// TestHostsReportLoadsOfUpdatingTargets guards against slow updates in large deployments, where
// most hosts broadcast their loads once a second. Hosts must report their load on an engine
// being updated to the lease holder at once, and again when their last pinned request there has
// ended.
func TestHostsReportLoadsOfUpdatingTargets(t *testing.T) {
	h := newNamedHostWithPeers(t, "a", 60, 2)
	n, effect := h.request("/long/", key, longPrompt("s"))
	engine := effect.(Send).Target
	receiveOrders := func(number uint64) []SendMessage {
		return effectsOf[SendMessage](h.handle(MessageReceived{Message: Message{Host: "host-3", Boot: 1, Number: number, Holder: true, Orders: []string{engine}}}))
	}
	replies := receiveOrders(2)
	assert.Equal(t, len(replies), 1)
	assert.Equal(t, replies[0].To[0], h.hosts["host-3"].Address)
	assert.Equal(t, replies[0].Message.Loads[engine].Pinned, 1)
	assert.DeepEqual(t, replies[0].Message.Avoided, []string{engine})
	assert.Equal(t, len(receiveOrders(3)), 0, "the host replied to an update that it already knew")
	reported := false
	for _, sent := range effectsOf[SendMessage](h.handle(AttemptDone{Number: n, Status: 200})) {
		reported = reported || sent.To[0] == h.hosts["host-3"].Address && sent.Message.Loads[engine].Pinned == 0
	}
	assert.Assert(t, reported, "the lease holder isn't informed of the end of the pinned request")
}
