package decider

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestRestoredStoreDoesNotMoveDeadline guards against a deadline that starts again when the
// store returns from an older copy and gives out lower revisions than before.
func TestRestoredStoreDoesNotMoveDeadline(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 99, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 100})
	h.advanceTicking(5 * time.Second)
	h.handle(RevisionConfirmed{Revision: 90, AsOf: h.clock}) // The copy is from before the naming.
	h.advanceTicking(2100 * time.Millisecond)
	assert.Assert(t, !h.sendsShort(), "a request is sent to weights replaced 7.1 s ago")
}

// delayedMessages exchanges the messages of hosts, each delivered after a delay.
type delayedMessages struct {
	hosts []*host
	delay time.Duration
	queue []delayedMessage
}

type delayedMessage struct {
	to *host
	at time.Time
	m  Message
}

// run ticks the hosts for d.
func (n *delayedMessages) run(d time.Duration) {
	const every = 50 * time.Millisecond
	for ; d > 0; d -= every {
		for _, h := range n.hosts {
			h.advance(every)
			n.send(h, h.handle(Tick{}))
		}
		due := n.queue
		n.queue = nil
		for _, q := range due {
			if q.at.After(q.to.clock) {
				n.queue = append(n.queue, q)
				continue
			}
			n.send(q.to, q.to.handle(MessageReceived{Message: q.m}))
		}
	}
}

func (n *delayedMessages) send(from *host, effects []Effect) {
	for _, sent := range effectsOf[SendMessage](effects) {
		for i, to := range n.hosts {
			if to != from && slices.Contains(sent.To, address(50+i)) {
				n.queue = append(n.queue, delayedMessage{to, from.clock.Add(n.delay), sent.Message})
			}
		}
	}
}

// newDelayedMessages returns hosts that know each other.
func newDelayedMessages(t *testing.T, delay time.Duration, names ...string) *delayedMessages {
	n := &delayedMessages{delay: delay}
	listed := map[string]descriptor.Host{}
	for i, name := range names {
		listed[name] = descriptor.Host{Address: address(50 + i), DataCentre: "a"}
		n.hosts = append(n.hosts, newHost(t, name, 2, 1))
	}
	for _, h := range n.hosts {
		h.handle(HostsListed{Hosts: listed})
	}
	n.run(2 * time.Second)
	return n
}

// TestEchoesDoNotMoveDeadline guards against a time that moves each time that hosts announce it
// to each other, because messages take longer than assumed.
func TestEchoesDoNotMoveDeadline(t *testing.T) {
	n := newDelayedMessages(t, 600*time.Millisecond, "a", "b", "c")
	for _, h := range n.hosts {
		h.nameWeights(2)
	}
	n.run(7200 * time.Millisecond)
	for _, h := range n.hosts {
		assert.Check(t, !h.sendsShort(), "host %s sends a request to weights replaced 7.2 s ago", h.cfg.Host)
	}
}

// TestRestartOfAllHostsReopensOldWeights guards against hosts that all start again after a version's
// deadline and use engines with older weights, as nobody knows when the version was named.
func TestRestartOfAllHostsReopensOldWeights(t *testing.T) {
	n := newDelayedMessages(t, 20*time.Millisecond, "a", "b", "c")
	for _, h := range n.hosts {
		h.handle(RevisionConfirmed{Revision: 20, AsOf: h.clock})
		h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12, Listed: true})
	}
	for range 60 {
		n.run(50 * time.Millisecond)
		for _, h := range n.hosts {
			assert.Assert(t, !h.sendsShort(), "host %s sends a request to weights that may have been replaced long ago", h.cfg.Host)
		}
	}
	for _, h := range n.hosts {
		h.handle(ReportAnswered{Target: "engine-1", Report: newReport(2)})
		assert.Assert(t, h.sendsShort(), "host %s doesn't use an engine with the new weights", h.cfg.Host)
	}
}

// TestEchoesDoNotConfirmConfig guards against the use of revoked keys by hosts that are cut off
// from the platform and keep confirming the configuration to each other.
func TestEchoesDoNotConfirmConfig(t *testing.T) {
	n := newDelayedMessages(t, 600*time.Millisecond, "a", "b", "c")
	for _, h := range n.hosts {
		h.handle(ConfigConfirmed{AsOf: h.clock})
	}
	n.run(6 * time.Second)
	for _, h := range n.hosts {
		effect := requestEffect(h.handle(RequestArrived{Number: 1, ID: "x", Host: "h", Path: "/pay/", Key: key, Timeout: time.Second}))
		refuse, ok := effect.(Refuse)
		assert.Check(t, ok && refuse.Kind == RefusalUnconfirmed, "host %s uses a key that the platform last confirmed 6 s ago: %v", h.cfg.Host, effect)
	}
}

// TestLaggingEngineDoesNotHurryRollout guards against updating all engines at once because one
// of them has weights that were replaced long before.
func TestLaggingEngineDoesNotHurryRollout(t *testing.T) {
	leases := &leaseStore{}
	h := newHost(t, "a", 10, 0)
	leases.tickHosts(time.Second, h)
	h.nameWeights(2)
	for id := range h.targets {
		if id != "engine-1" {
			h.handle(ReportAnswered{Target: id, Report: newReport(2)})
		}
	}
	leases.tickHosts(6*time.Second, h)
	h.nameWeights(3)
	leases.tickHosts(50*time.Millisecond, h)
	assert.Assert(t, len(h.updates) <= minConcurrentUpdates+1, "%d of 10 engines are updated at once, just after the weights were named", len(h.updates))
}

// TestHiddenVersionDoesNotHurryRollout is the same when the version in between isn't known.
func TestHiddenVersionDoesNotHurryRollout(t *testing.T) {
	leases := &leaseStore{}
	h := newHost(t, "a", 10, 0)
	leases.tickHosts(time.Second, h)
	for id := range h.targets {
		if id != "engine-1" {
			h.handle(ReportAnswered{Target: id, Report: newReport(2)})
		}
	}
	h.handle(RevisionConfirmed{Revision: h.lease.Revision, AsOf: h.clock})
	h.handle(DesiredWeightsChanged{Model: model, Version: 3, Revision: h.lease.Revision + 1, Listed: true})
	leases.tickHosts(1500*time.Millisecond, h)
	assert.Assert(t, len(h.updates) <= minConcurrentUpdates+1, "%d of 10 engines are updated at once, just after the weights were named", len(h.updates))
}

// TestAnnouncedVersionGetsOwnTime guards against engines out of use too early because a peer's
// announcement came before the host's own answer.
func TestAnnouncedVersionGetsOwnTime(t *testing.T) {
	h := newHost(t, "a", 2, 0)
	h.handle(RevisionConfirmed{Revision: 10, AsOf: h.clock})
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Named: []NamedVersion{{Model: model, Version: 2, Previous: 1, NotBefore: 6900 * time.Millisecond}}}})
	h.handle(DesiredWeightsChanged{Model: model, Version: 2, Revision: 12})
	assert.Assert(t, h.sendsShort(), "an engine is out of use although its weights were current a moment ago")
}

// TestLateHostsHearOfNamedWeights guards against a host that hears of new weights from nobody
// because it was suspended for longer than they are announced.
func TestLateHostsHearOfNamedWeights(t *testing.T) {
	n := newDelayedMessages(t, 10*time.Millisecond, "a", "b")
	n.hosts[0].nameWeights(2)
	n.hosts[1].advance(9 * time.Second) // Suspended: no ticks, and the messages are lost.
	n.hosts[0].advanceTicking(9 * time.Second)
	n.run(3 * time.Second)
	assert.Assert(t, !n.hosts[1].sendsShort(), "a request is sent to weights that a peer knows to be replaced 12 s ago")
}

// TestMissingTargetNotUsedWithoutOutage guards against requests to a target that has left, for
// longer than targets serve after that, when its removal is learned from a list.
func TestMissingTargetNotUsedWithoutOutage(t *testing.T) {
	h := newHost(t, "a", 0, 2)
	h.handle(TargetsListed{Whole: true, Targets: []descriptor.Target{plainTarget(1)}})
	h.advanceTicking(1900 * time.Millisecond)
	for range 5 {
		_, effect := h.request("/pay/", key, nil)
		assert.Equal(t, effect.(Send).Target, "plain-1")
	}
}

// TestLostLeaseDoesNotShortenTerm guards against orders of two hosts within one lease term when
// the store returns from a copy without the lease.
func TestLostLeaseDoesNotShortenTerm(t *testing.T) {
	leases := &leaseStore{revision: 96}
	a, b := newHost(t, "a", 4, 0), newHost(t, "b", 4, 0)
	leases.tickHosts(time.Second, a)
	assert.Assert(t, a.holdsLease())
	b.clock = a.clock
	b.handle(MessageReceived{Message: a.newMessage()})
	renewed := a.renewedAt
	leases.lease, leases.revision, leases.era = Lease{}, 0, 1 // Restored from a copy of before the lease.
	for !b.holdsLease() && b.clock.Sub(renewed) < leaseTerm {
		leases.tickHosts(50*time.Millisecond, b)
	}
	assert.Check(t, b.clock.Sub(renewed) >= leaseTerm, "a successor took the lease %v after its renewal", b.clock.Sub(renewed))
	assert.Check(t, !b.holdsLease() || b.fencingToken > a.fencingToken, "fencing token %d follows %d", b.fencingToken, a.fencingToken)
}

// TestLeaseSurvivesRestoredStore guards against a rollout that stops for good when the store
// returns from an older copy, as no host can renew a lease with a revision that the store no
// longer has.
func TestLeaseSurvivesRestoredStore(t *testing.T) {
	leases := &leaseStore{revision: 96}
	a, b := newHost(t, "a", 4, 0), newHost(t, "b", 4, 0)
	leases.tickHosts(time.Second, a)
	copied := *leases
	leases.tickHosts(3*time.Second, a)
	assert.Assert(t, a.holdsLease())
	b.clock = a.clock
	copied.era++
	*leases = copied // Restored from a copy that is 3 s old.
	for end := a.clock.Add(30 * time.Second); a.clock.Before(end); {
		leases.tickHosts(50*time.Millisecond, a, b)
		a.handle(MessageReceived{Message: b.newMessage()})
		b.handle(MessageReceived{Message: a.newMessage()})
	}
	assert.Assert(t, a.holdsLease() || b.holdsLease(), "no host holds the lease 30 s after the store was restored")
}

// TestPeerWithNewerConfigEndsWait guards against a host that serves an old configuration for as
// long as its own watch is silent, although its peers have a newer one.
func TestPeerWithNewerConfigEndsWait(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	refreshes := func(number uint64, version int64) int {
		m := Message{Host: "b", Boot: 1, Number: number, Config: version, ConfigAge: 10 * time.Millisecond}
		return len(effectsOf[RefreshConfig](h.handle(MessageReceived{Message: m})))
	}
	assert.Equal(t, refreshes(1, 1), 0)
	assert.Equal(t, refreshes(2, 3), 1)
	assert.Equal(t, refreshes(3, 3), 0, "each message causes a call")
	h.advanceTicking(configRefreshInterval)
	assert.Equal(t, refreshes(4, 3), 1)
	h.handle(ConfigListed{Config: testConfig(3)})
	h.advanceTicking(configRefreshInterval)
	assert.Equal(t, refreshes(5, 3), 0)
}
