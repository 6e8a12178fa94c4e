package decider

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// fleetNetwork runs the hosts of a fleet, which receive each other's messages a tick later.
type fleetNetwork struct {
	t       *testing.T
	clock   time.Time
	hosts   []*host
	byAddr  map[netip.AddrPort]*host
	stopped map[*host]bool
	// cutOff is the data centre whose hosts reach only each other, or empty.
	cutOff   string
	inFlight []sentMessage
	// relays counts the messages about stores, lists the lists of stores.
	relays, lists int
	// messages and bytes count what was sent to single hosts, leaseCalls the calls for the lease.
	messages, bytes, leaseCalls int
	// sentBy counts the messages of each host.
	sentBy map[string]int
	// carryOutCall carries out the effects that concern more than messages, if it isn't nil.
	carryOutCall func(h *host, e Effect)
}

// sentMessage is a message on its way.
type sentMessage struct {
	to     []netip.AddrPort
	events []Event
	from   *host
}

// reaches reports whether messages of one host reach another.
func (f *fleetNetwork) reaches(from, to *host) bool {
	return to != nil && !f.stopped[to] && (from.cfg.DataCentre == f.cutOff) == (to.cfg.DataCentre == f.cutOff)
}

// newFleetNetwork returns a fleet whose hosts have just listed each other.
func newFleetNetwork(t *testing.T, n, dataCentres int) *fleetNetwork {
	t.Helper()
	f := &fleetNetwork{t: t, clock: time.Unix(1000, 0), byAddr: map[netip.AddrPort]*host{}, stopped: map[*host]bool{}, sentBy: map[string]int{}}
	list := map[string]descriptor.Host{}
	for i := range n {
		list[fmt.Sprint("host-", i)] = descriptor.Host{Address: address(i + 1), DataCentre: fmt.Sprint("dc-", i%dataCentres)}
	}
	for i := range n {
		name := fmt.Sprint("host-", i)
		f.addHost(name, list)
	}
	return f
}

func (f *fleetNetwork) addHost(name string, list map[string]descriptor.Host) *host {
	h := newUnconfiguredHost(f.t, name, list[name].DataCentre)
	h.clock = f.clock
	h.handle(ConfigListed{Config: testConfig(1)})
	h.handle(ConfigConfirmed{AsOf: h.clock})
	var targets []descriptor.Target
	for n := range 10 {
		t := engineTarget(n+1, 1)
		t.DataCentre = fmt.Sprint("dc-", n%5)
		targets = append(targets, t)
	}
	for n := range 6 {
		t := plainTarget(n + 1)
		t.DataCentre = fmt.Sprint("dc-", n%5)
		targets = append(targets, t)
	}
	h.handle(TargetsListed{Targets: targets, Whole: true})
	h.handle(DesiredWeightsChanged{Model: model, Version: 1, Listed: true})
	h.handle(HostsListed{Hosts: list})
	f.hosts = append(f.hosts, h)
	f.byAddr[list[name].Address] = h
	return h
}

// carryOut records the effects of a host.
func (f *fleetNetwork) carryOut(h *host, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendMessage:
			raw, err := cbor.Marshal(e.Message)
			assert.NilError(f.t, err)
			f.messages += len(e.To)
			f.bytes += len(e.To) * len(raw)
			f.sentBy[h.cfg.Host] += len(e.To)
			f.inFlight = append(f.inFlight, sentMessage{e.To, []Event{MessageReceived{Message: e.Message}}, h})
		case RelayParts:
			f.relays += len(e.To)
			sent := sentMessage{to: e.To, from: h}
			for _, parts := range e.Parts {
				sent.events = append(sent.events, parts)
			}
			f.inFlight = append(f.inFlight, sent)
		case ListParts:
			f.lists++
		case ReadLease, RenewLease:
			f.leaseCalls++
		}
		if f.carryOutCall != nil {
			f.carryOutCall(h, e)
		}
	}
}

// run lets time pass with ticks of all hosts.
func (f *fleetNetwork) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for ; d > 0; d -= tick {
		f.clock = f.clock.Add(tick)
		f.step()
	}
}

// step delivers the messages sent since the last step, and then ticks all hosts.
func (f *fleetNetwork) step() {
	arriving := f.inFlight
	f.inFlight = nil
	for _, h := range f.hosts {
		h.clock = f.clock
	}
	for _, sent := range arriving {
		for _, to := range sent.to {
			h := f.byAddr[to]
			if !f.reaches(sent.from, h) {
				continue
			}
			for _, ev := range sent.events {
				f.carryOut(h, h.handle(ev))
			}
		}
	}
	for _, h := range f.hosts {
		if !f.stopped[h] {
			f.carryOut(h, h.handle(Tick{}))
		}
	}
}

// aggregatorsOf returns the aggregators of a data centre by what its hosts think.
func (f *fleetNetwork) aggregatorsOf(dataCentre string) map[string]bool {
	found := map[string]bool{}
	for _, h := range f.hosts {
		if h.cfg.DataCentre == dataCentre && !f.stopped[h] && h.isAggregator() {
			found[h.cfg.Host] = true
		}
	}
	return found
}

// TestMessagesAtRestGrowWithHosts guards against fleets whose hosts spend their processor time on
// messages of each other: at rest, a host of a fleet of any size sends and receives a few a second.
func TestMessagesAtRestGrowWithHosts(t *testing.T) {
	// A message to seven neighbours four times a second, one to two aggregators each second, and those
	// of two aggregators.
	const maxPerHost = 4*(partitionSize+partitionSize/2) + 2*aggregatorsPerDataCentre + aggregatorsPerDataCentre
	for _, n := range []int{30, 100, 300} {
		f := newFleetNetwork(t, n, 5)
		f.run(3 * time.Second)
		f.messages, f.bytes, f.leaseCalls = 0, 0, 0
		clear(f.sentBy)
		const length = 4 * time.Second
		f.run(length)
		perHost := float64(f.messages) / float64(n) / length.Seconds()
		most := 0
		for _, sent := range f.sentBy {
			most = max(most, sent)
		}
		t.Logf("%d hosts: %.1f messages and %.0f bytes a second each, most of one host %.0f messages, %d calls for the lease", n, perHost, float64(f.bytes)/float64(n)/length.Seconds(), float64(most)/length.Seconds(), f.leaseCalls)
		assert.Assert(t, perHost <= maxPerHost, "%.1f messages a second for each of %d hosts, want at most %d", perHost, n, maxPerHost)
	}
}

// TestLargeFleetLearnsOfTargetDown guards against hosts that go on sending to a target that another
// host, in any data centre, can't reach.
func TestLargeFleetLearnsOfTargetDown(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	from := f.hosts[7]
	f.carryOut(from, func() []Effect {
		from.handle(Tick{})
		from.effects = nil
		from.markDown(from.targets["engine-1"], "test")
		return from.effects
	}())
	f.run(time.Second)
	for _, h := range f.hosts {
		assert.Assert(t, h.targets["engine-1"].down, "%s doesn't know that the target is down", h.cfg.Host)
	}
}

// TestLargeFleetSharesLoads guards against hosts that don't know the load of others, or count it twice:
// by target those of their own data centre, and those of other data centres at plain targets; by service
// those of other data centres at engines.
func TestLargeFleetSharesLoads(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	sent := map[string]map[string]int{} // By data centre of the host and target.
	for i, h := range f.hosts {
		if i%3 == 0 {
			continue
		}
		prompt, path := shortPrompt(fmt.Sprint("s", i)), "/short/"
		if i%3 == 1 {
			prompt, path = nil, "/look/"
		}
		_, effect := h.request(path, key, prompt)
		if sent[h.cfg.DataCentre] == nil {
			sent[h.cfg.DataCentre] = map[string]int{}
		}
		send, ok := effect.(Send)
		assert.Assert(t, ok, "%+v", effect)
		sent[h.cfg.DataCentre][send.Target]++
	}
	f.run(3 * time.Second)
	for _, h := range f.hosts {
		engines := 0
		for id, target := range h.targets {
			want := 0
			for dc, n := range sent {
				if dc == h.cfg.DataCentre || target.service.Engine == nil {
					want += n[id]
				} else {
					engines += n[id]
				}
			}
			assert.Equal(t, target.ownLoad.Requests+target.peerLoad.Requests, want, "load of %s at %s", id, h.cfg.Host)
		}
		unassigned := 0
		for _, sum := range h.sums {
			unassigned += sum.engines["engines"].Requests
		}
		assert.Equal(t, unassigned, engines, "load of engines from other data centres at %s", h.cfg.Host)
	}
}

// TestSummariesOfThousandsOfEnginesFitDatagram guards against messages of aggregators that no host
// receives because they are larger than a datagram.
func TestSummariesOfThousandsOfEnginesFitDatagram(t *testing.T) {
	const maxDatagram, engines = 65507, 3000
	h := newNamedHostWithPeers(t, "a", 300, engines)
	list := maps.Clone(h.hosts)
	list["a"] = descriptor.Host{Address: list["a"].Address, DataCentre: "a", Cores: 1}
	h.handle(HostsListed{Hosts: list})
	assert.Assert(t, h.isAggregator())
	loads := map[string]targetLoad{}
	for id := range h.targets {
		loads[id] = targetLoad{Requests: 20, PrefillTokens: 100000, MemoryTokens: 100000, Pinned: 10}
	}
	i := 0
	for host := range h.hosts {
		own := map[string]targetLoad{}
		for n := range 10 {
			id := fmt.Sprint("engine-", 1+(i*10+n)%engines)
			own[id] = loads[id]
		}
		i++
		h.handle(MessageReceived{Message: Message{Host: host, Boot: 1, Number: 2, Loads: own}})
	}
	for n := range 21 {
		dc := fmt.Sprint("dc-", n)
		h.summaries[dc] = receivedSummary{DataCentreSummary{DataCentre: dc, EngineLoads: map[string]targetLoad{"engines": loads["engine-1"]}, Loads: []map[string]targetLoad{{}}}, h.clock}
	}
	h.advance(broadcastInterval)
	sent := effectsOf[SendMessage](h.handle(Tick{}))
	assert.Assert(t, len(sent) > 0)
	for _, e := range sent {
		raw, err := cbor.Marshal(e.Message)
		assert.NilError(t, err)
		t.Logf("%d bytes to %d hosts", len(raw), len(e.To))
		assert.Assert(t, len(raw) < maxDatagram, "%d bytes", len(raw))
	}
}

// TestLargeFleetSurvivesLossOfAggregators guards against a data centre whose hosts hear nothing from
// others after both of its aggregators have stopped at once, and against one that never comes to
// agree on others.
func TestLargeFleetSurvivesLossOfAggregators(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	before := f.aggregatorsOf("dc-1")
	assert.Equal(t, len(before), aggregatorsPerDataCentre)
	for _, h := range f.hosts {
		if before[h.cfg.Host] {
			f.stopped[h] = true
		}
	}
	f.run(2 * peerTimeout)
	after := f.aggregatorsOf("dc-1")
	assert.Equal(t, len(after), aggregatorsPerDataCentre)
	for _, h := range f.hosts {
		if f.stopped[h] {
			continue
		}
		live := 0
		for host := range h.hosts {
			if !before[host] && h.isLive(host, peerTimeout) {
				live++
			}
			assert.Assert(t, !before[host] || !h.isLive(host, peerTimeout), "%s takes the stopped %s for live", h.cfg.Host, host)
		}
		assert.Equal(t, live, len(f.hosts)-len(before), "live hosts by %s", h.cfg.Host)
	}
}

// TestLargeFleetNoticesStoppedHosts guards against aggregators that keep a stopped host alive in each
// other's summaries.
func TestLargeFleetNoticesStoppedHosts(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	for _, n := range []int{13, 14, 60} {
		assert.Assert(t, !f.hosts[n].isAggregator())
		f.stopped[f.hosts[n]] = true
	}
	f.run(silentAfter + broadcastInterval + peerTimeout)
	for _, h := range f.hosts {
		for _, other := range f.hosts {
			assert.Assert(t, f.stopped[h] || h.isLive(other.cfg.Host, peerTimeout) != f.stopped[other], "%s at %s", other.cfg.Host, h.cfg.Host)
		}
	}
}

// TestLargeFleetReunitesAfterPartition guards against data centres that send each other nothing after
// a partition, because neither knows a live host of the other.
func TestLargeFleetReunitesAfterPartition(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	f.cutOff = "dc-2"
	f.run(3 * peerTimeout)
	for _, h := range f.hosts {
		for host, desc := range h.hosts {
			assert.Equal(t, h.isLive(host, peerTimeout), (desc.DataCentre == "dc-2") == (h.cfg.DataCentre == "dc-2"), "%s at %s", host, h.cfg.Host)
		}
	}
	f.cutOff = ""
	f.run(3 * time.Second)
	for _, h := range f.hosts {
		for host := range h.hosts {
			assert.Assert(t, h.isLive(host, peerTimeout), "%s at %s", host, h.cfg.Host)
		}
	}
}

// TestLargeFleetSurvivesLossOfDataCentre guards against hosts that go on counting those of a data
// centre that has gone, and against more than a few calls for the lease while its holder is among them.
func TestLargeFleetSurvivesLossOfDataCentre(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	for _, h := range f.hosts {
		if h.cfg.DataCentre == "dc-2" {
			f.stopped[h] = true
		}
	}
	f.run(2*peerTimeout + time.Second)
	for _, h := range f.hosts {
		if f.stopped[h] {
			continue
		}
		for host, desc := range h.hosts {
			assert.Equal(t, h.isLive(host, peerTimeout), desc.DataCentre != "dc-2", "%s at %s", host, h.cfg.Host)
		}
	}
}

// TestLargeFleetUpdatesWithoutCuttingRequests guards against orders that abort requests which can't go
// on elsewhere, at hosts that send no messages to the lease holder by themselves.
func TestLargeFleetUpdatesWithoutCuttingRequests(t *testing.T) {
	f := newFleetNetwork(t, 100, 5)
	f.run(3 * time.Second)
	holder := f.hosts[11]
	far := f.hosts[12]
	assert.Assert(t, holder.cfg.DataCentre != far.cfg.DataCentre)
	_, effect := far.request("/long/", key, longPrompt("s"))
	engine := effect.(Send).Target
	f.carryOut(holder, holder.handle(LeaseAnswered{Missing: true, CalledAt: f.clock}))
	renew := func(revision int64) {
		f.carryOut(holder, holder.handle(LeaseAnswered{Lease: Lease{Revision: revision, Holder: holder.cfg.Host, Boot: 1}, Written: true, CalledAt: f.clock}))
	}
	renew(2)
	for _, h := range f.hosts {
		h.nameWeights(2)
	}
	holder.updates[engine] = &weightUpdate{model: model, version: 2, startedAt: f.clock}
	f.carryOut(holder, holder.handle(Tick{}))
	f.run(400 * time.Millisecond)
	renew(3)
	assert.Assert(t, !holder.canAbortRunning(holder.targets[engine], holder.updates[engine]), "a request can't go on elsewhere")
	f.run(400 * time.Millisecond)
	assert.Equal(t, holder.pinnedAt(holder.targets[engine]), 1)
	for _, h := range f.hosts {
		assert.Assert(t, h.isUpdating(h.targets[engine]), "%s doesn't know of the update", h.cfg.Host)
	}
	f.carryOut(far, far.handle(AttemptDone{Number: far.lastNumber, Status: 200}))
	f.run(200 * time.Millisecond)
	renew(4)
	assert.Assert(t, holder.canAbortRunning(holder.targets[engine], holder.updates[engine]), "all hosts have sent their loads since")
}
