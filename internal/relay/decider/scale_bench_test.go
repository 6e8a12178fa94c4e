package decider

import (
	"fmt"
	"testing"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// newLargeFleet returns a host of a fleet with the given numbers of hosts and engines in five data
// centres, and of stores that hold many parts.
func newLargeFleet(tb testing.TB, hosts, engines, stores int) *host {
	tb.Helper()
	const dataCentres, partsPerStore = 5, 400
	h := newUnconfiguredHost(tb, "host-0", "dc-0")
	cfg := testConfig(1)
	delete(cfg.Services, "fast")
	delete(cfg.Services, "large")
	for n := range stores {
		name := fmt.Sprint("store-", n)
		cfg.Services[name] = &descriptor.Service{Name: name, Store: &descriptor.Store{
			Address: storeAddress(n + 1), DataCentre: "dc-0", CapacityTokens: 4e6, LinkMbps: 1e6, TransferLatency: time.Millisecond,
		}}
	}
	h.handle(ConfigListed{Config: cfg})
	h.handle(ConfigConfirmed{AsOf: h.clock})
	var targets []descriptor.Target
	for n := range engines {
		t := engineTarget(n+1, 1)
		t.DataCentre = fmt.Sprint("dc-", n%dataCentres)
		targets = append(targets, t)
	}
	for n := range 6 {
		t := plainTarget(n + 1)
		t.DataCentre = fmt.Sprint("dc-", n%dataCentres)
		targets = append(targets, t)
	}
	h.handle(TargetsListed{Targets: targets, Whole: true})
	h.handle(DesiredWeightsChanged{Model: model, Version: 1, Listed: true})
	list := map[string]descriptor.Host{}
	for n := range hosts {
		list[fmt.Sprint("host-", n)] = descriptor.Host{Address: address(n), DataCentre: fmt.Sprint("dc-", n%dataCentres)}
	}
	h.handle(HostsListed{Hosts: list})
	for n := range stores {
		changes := descriptor.PartChanges{Boot: 1}
		for p := range partsPerStore {
			changes.Changes = append(changes.Changes, descriptor.PartChange{Salt: testSalt, Part: fmt.Sprintf("%08x", n*partsPerStore+p), Tokens: 5000, Held: true})
		}
		h.handle(PartsChanged{Store: storeAddress(n + 1), Whole: true, Changes: changes, AsOf: h.clock})
	}
	return h
}

// hearPeers lets the host receive a message from each other host.
func (h *host) hearPeers(number uint64) {
	loads := map[string]targetLoad{}
	for n := range 6 {
		loads[fmt.Sprint("engine-", n+1)] = targetLoad{Requests: 1, PrefillTokens: 100, MemoryTokens: 1000}
	}
	for name := range h.hosts {
		h.handle(MessageReceived{Message: Message{Host: name, Boot: 1, Number: number, Loads: loads}})
	}
}

// BenchmarkTick measures the work of a host at rest.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{10, 40, 195} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			h := newLargeFleet(b, hosts, hosts*2/3, max(2, hosts/8))
			h.hearPeers(1)
			for b.Loop() {
				h.advance(50 * time.Millisecond)
				h.handle(Tick{})
			}
		})
	}
}

// BenchmarkRequest measures the decisions for one request from its arrival to its end.
func BenchmarkRequest(b *testing.B) {
	for _, hosts := range []int{10, 40, 195} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			h := newLargeFleet(b, hosts, hosts*2/3, max(2, hosts/8))
			h.hearPeers(1)
			n := int64(0)
			for b.Loop() {
				n++
				h.advance(100 * time.Microsecond)
				h.handle(ConfigConfirmed{AsOf: h.clock})
				h.handle(RequestArrived{Number: n, ID: "r", Host: "h", Path: "/long/", Key: key, Timeout: 5 * time.Second, Prompt: shortPrompt(fmt.Sprintf("%08x", n%400))})
				h.handle(ResponseStarted{Number: n, Weights: 1})
				h.handle(AttemptDone{Number: n, Status: 200})
			}
		})
	}
}

// BenchmarkRelayParts measures the relaying of one change of a store.
func BenchmarkRelayParts(b *testing.B) {
	h := newLargeFleet(b, 195, 124, 24)
	h.hearPeers(1)
	for b.Loop() {
		h.handle(PartsChanged{Store: storeAddress(1), AsOf: h.clock, Changes: descriptor.PartChanges{Boot: 1, Changes: []descriptor.PartChange{{Salt: testSalt, Part: "aa", Tokens: 5000, Held: true}}}})
	}
}

// BenchmarkMessage measures the processing of one message of a peer.
func BenchmarkMessage(b *testing.B) {
	h := newLargeFleet(b, 195, 124, 24)
	loads := map[string]targetLoad{}
	for n := range 6 {
		loads[fmt.Sprint("engine-", n+1)] = targetLoad{Requests: 1, PrefillTokens: 100, MemoryTokens: 1000}
	}
	n := uint64(0)
	for b.Loop() {
		n++
		h.handle(MessageReceived{Message: Message{Host: "host-7", Boot: 1, Number: n, Loads: loads}})
	}
}

// BenchmarkManyTargets measures a tick, a message to neighbours and a request of a host with ten
// targets for each host of its fleet.
func BenchmarkManyTargets(b *testing.B) {
	h := newLargeFleet(b, 300, 3000, 24)
	h.hearPeers(1)
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			h.advance(50 * time.Millisecond)
			h.handle(Tick{})
		}
	})
	h.hearPeers(2)
	n := int64(0)
	b.Run("request", func(b *testing.B) {
		for b.Loop() {
			n++
			h.advance(100 * time.Microsecond)
			h.handle(ConfigConfirmed{AsOf: h.clock})
			h.handle(RequestArrived{Number: n, ID: "r", Host: "h", Path: "/long/", Key: key, Timeout: 5 * time.Second, Prompt: shortPrompt(fmt.Sprintf("%08x", n%400))})
			h.handle(ResponseStarted{Number: n, Weights: 1})
			h.handle(AttemptDone{Number: n, Status: 200})
		}
	})
}
