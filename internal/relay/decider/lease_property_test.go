package decider

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// leaseHistory is a random history of hosts that share a lease.
type leaseHistory struct {
	leaseStore
	hosts  []*host
	orders []hostOrder
	// delayed are effects of hosts that are carried out later.
	delayed map[*host][]Effect
	// weights are the versions of the engines.
	weights map[string]int
}

// tick lets a host tick, carries out its calls, and records the orders that it gives.
func (l *leaseHistory) tick(h *host, delay bool) {
	effects := append(l.delayed[h], h.handle(Tick{})...)
	delete(l.delayed, h)
	for id, version := range l.weights {
		h.observeWeights(h.targets[id], model, version)
	}
	if delay {
		l.delayed[h] = effects
		return
	}
	for _, e := range l.handleLeaseCalls(h, effects) {
		if read, ok := e.(ReadReport); ok {
			for _, given := range effectsOf[GiveOrder](h.handle(ReportAnswered{Target: read.Target, Report: newReport(l.weights[read.Target])})) {
				l.orders = append(l.orders, hostOrder{h.cfg.Host, h.clock, given})
				l.weights[given.Target] = given.Order.Version
			}
		}
	}
}

// TestOrdersOfTwoHostsWithinLeaseTerm guards against orders of two hosts within one lease term and
// against falling fencing tokens, in random histories of suspensions, delayed calls and lost
// messages.
func TestOrdersOfTwoHostsWithinLeaseTerm(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &leaseHistory{delayed: map[*host][]Effect{}, weights: map[string]int{"engine-1": 1, "engine-2": 1, "engine-3": 1}}
		listed := map[string]descriptor.Host{}
		for i, name := range []string{"a", "b", "c"} {
			listed[name] = descriptor.Host{Address: address(200 + i), DataCentre: "a"}
			l.hosts = append(l.hosts, newHost(t, name, 3, 0))
		}
		for _, h := range l.hosts {
			h.handle(HostsListed{Hosts: maps.Clone(listed)})
		}
		const step = 50 * time.Millisecond
		suspendedUntil := map[*host]time.Time{}
		now, version := l.hosts[0].clock, 1
		for range 600 {
			now = now.Add(step)
			if rapid.IntRange(0, 40).Draw(rt, "name") == 0 {
				version++
			}
			for _, h := range l.hosts {
				if now.Before(suspendedUntil[h]) {
					continue
				}
				if rapid.IntRange(0, 150).Draw(rt, "suspend") == 0 {
					suspendedUntil[h] = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(rt, "steps")) * step)
					continue
				}
				h.clock = now
				if h.desiredWeights[model] < version {
					h.storeRevision = max(h.storeRevision, l.revision) + 1
					h.handle(DesiredWeightsChanged{Model: model, Version: version, Revision: h.storeRevision})
				}
				l.tick(h, rapid.IntRange(0, 10).Draw(rt, "delay") == 0)
				if rapid.IntRange(0, 3).Draw(rt, "message") > 0 {
					to := l.hosts[rapid.IntRange(0, len(l.hosts)-1).Draw(rt, "to")]
					if m := h.newMessage(); to != h && !now.Before(suspendedUntil[to]) {
						to.clock = now
						to.handle(MessageReceived{Message: m})
					}
				}
			}
		}
		for i, o := range l.orders {
			for _, earlier := range slices.Backward(l.orders[:i]) {
				if earlier.host == o.host {
					continue
				}
				if gap := o.at.Sub(earlier.at); gap < leaseTerm {
					rt.Fatalf("%s orders %s after %s", o.host, gap, earlier.host)
				}
				if o.Order.FencingToken <= earlier.Order.FencingToken {
					rt.Fatalf("%s orders with token %d after %s with %d", o.host, o.Order.FencingToken, earlier.host, earlier.Order.FencingToken)
				}
				break
			}
		}
	})
}
