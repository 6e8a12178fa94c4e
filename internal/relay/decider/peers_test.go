package decider

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// newHostWithPeers returns a host that has received a message from each of n others. It is an
// aggregator of a large fleet or isn't.
func newHostWithPeers(t *testing.T, n, engines int, aggregator bool) *host {
	for i := range 1000 {
		if h := newNamedHostWithPeers(t, fmt.Sprint("self-", i), n, engines); h.isAggregator() == aggregator {
			return h
		}
	}
	t.Fatal("no host has the role")
	return nil
}

func newNamedHostWithPeers(t *testing.T, name string, n, engines int) *host {
	h := newHost(t, name, engines, 0)
	names := map[string]descriptor.Host{name: {Address: address(1), DataCentre: "a"}}
	for i := range n {
		names[fmt.Sprint("host-", i)] = descriptor.Host{Address: address(2 + i), DataCentre: "a"}
	}
	h.handle(HostsListed{Hosts: names})
	for host := range names {
		h.handle(MessageReceived{Message: Message{Host: host, Boot: 1, Number: 1}})
	}
	return h
}

// TestLeaseHolderMessagesFitLink guards against messages that crowd out responses. While sixty
// engines change weights, the messages of the lease holder to sixty hosts may take at most a
// quarter of the smallest link, 10 Mbit/s, and must state the new weights of each engine.
func TestLeaseHolderMessagesFitLink(t *testing.T) {
	for role, aggregator := range map[string]bool{"aggregator": true, "other": false} {
		t.Run(role, func(t *testing.T) { testLeaseHolderMessages(t, aggregator) })
	}
}

func testLeaseHolderMessages(t *testing.T, aggregator bool) {
	const engines, inFlight, link = 60, 20, 10e6 / 8
	h := newHostWithPeers(t, 62, engines, aggregator)
	self := h.cfg.Host
	h.handle(LeaseAnswered{Missing: true, CalledAt: h.clock})
	h.handle(LeaseAnswered{Lease: Lease{Revision: 2, Holder: self, Boot: 1}, Written: true, CalledAt: h.clock})
	h.nameWeights(2)
	sentBytes := 0
	announced := map[string]int{}
	const length = 4 * time.Second
	h.lastNumber = 1000
	for step := range int(length / (20 * time.Millisecond)) {
		for host := range h.hosts {
			h.handle(MessageReceived{Message: Message{Host: host, Boot: 1, Number: uint64(2 + step)}})
		}
		effects := h.handle(LeaseAnswered{Lease: Lease{Revision: int64(3 + step), Holder: self, Boot: 1}, Written: true, CalledAt: h.clock})
		effects = append(effects, h.handle(Tick{})...)
		id := fmt.Sprint("engine-", 1+step%engines)
		if step > 100 {
			effects = append(effects, h.handle(ReportAnswered{Target: id, Report: newReport(2)})...)
		}
		h.lastNumber++
		effects = append(effects, h.handle(RequestArrived{Number: h.lastNumber, ID: "r", Host: "h", Path: "/short/", Key: key, Timeout: time.Second, Prompt: shortPrompt("s")})...)
		if h.lastNumber > 1000+inFlight {
			effects = append(effects, h.handle(AttemptDone{Number: h.lastNumber - inFlight, Status: 200})...)
		}
		for _, sent := range effectsOf[SendMessage](effects) {
			raw, err := cbor.Marshal(sent.Message)
			assert.NilError(t, err)
			sentBytes += len(sent.To) * (len(raw) + 28)
			for target, weights := range sent.Message.Weights {
				announced[target] = weights[model]
			}
		}
		h.advance(20 * time.Millisecond)
	}
	used := float64(sentBytes) / length.Seconds() / link
	t.Logf("messages take %.3f of the link", used)
	assert.Assert(t, used < 0.25, "messages take %.2f of the link, want less than 0.25", used)
	assert.Equal(t, len(announced), engines)
}

// TestBroadcastKeepsReportedLoads guards against forgetting a peer's loads when a message
// between the regular ones omits them.
func TestBroadcastKeepsReportedLoads(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 1, Loads: map[string]targetLoad{"engine-1": {Requests: 3}}}})
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 2, LoadsUnchanged: true}})
	assert.Equal(t, h.targets["engine-1"].peerLoad.Requests, 3)
	h.handle(MessageReceived{Message: Message{Host: "b", Boot: 1, Number: 3}})
	assert.Equal(t, h.targets["engine-1"].peerLoad.Requests, 0)
}
