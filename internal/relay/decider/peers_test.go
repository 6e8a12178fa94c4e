package decider

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// crowd returns a host that hears of n others, of whom each is in use.
func crowd(t *testing.T, n, engines int) *host {
	h := newHost(t, "a", engines, 0)
	names := map[string]descriptor.Host{"a": {Address: address(1), DataCentre: "a"}}
	for i := range n {
		names[fmt.Sprint("host-", i)] = descriptor.Host{Address: address(2 + i), DataCentre: "a"}
	}
	h.do(HostsListed{Hosts: names})
	for host := range names {
		h.do(PeerSaid{Message: Message{Host: host, Boot: 1, Number: 1}})
	}
	return h
}

// TestHolderOfOrdersKeepsToItsLink replays new weights on sixty engines: what the
// host that gives the orders tells sixty others takes at most a quarter of
// the smallest link, 10 Mbit/s.
func TestHolderOfOrdersKeepsToItsLink(t *testing.T) {
	const engines, inFlight, link = 60, 20, 10e6 / 8
	h := crowd(t, 62, engines)
	h.do(LeaseSeen{Missing: true, Asked: h.at})
	h.do(LeaseSeen{Lease: Lease{Revision: 2, Holder: "a", Boot: 1}, Written: true, Asked: h.at})
	h.do(WeightsNamed{Model: model, Version: 2})
	bytes := 0
	told := map[string]int{}
	const length = 4 * time.Second
	h.num = 1000
	for step := range int(length / (20 * time.Millisecond)) {
		effects := h.do(LeaseSeen{Lease: Lease{Revision: int64(3 + step), Holder: "a", Boot: 1}, Written: true, Asked: h.at})
		effects = append(effects, h.do(Tick{})...)
		id := fmt.Sprint("engine-", 1+step%engines)
		if step > 100 {
			effects = append(effects, h.do(ReportSeen{Target: id, Report: reportOf(2)})...)
		}
		h.num++
		effects = append(effects, h.do(RequestArrived{Number: h.num, ID: "r", Host: "h", Path: "/short/", Key: key, Deadline: time.Second, Prompt: shortPrompt("s")})...)
		if h.num > 1000+inFlight {
			effects = append(effects, h.do(AttemptDone{Number: h.num - inFlight, Status: 200})...)
		}
		for _, tell := range all[Tell](effects) {
			raw, err := cbor.Marshal(tell.Message)
			assert.NilError(t, err)
			bytes += len(tell.To) * (len(raw) + 28)
			if len(tell.To) > 30 {
				for target, weights := range tell.Message.Weights {
					told[target] = weights[model]
				}
			}
		}
		h.pass(20 * time.Millisecond)
	}
	used := float64(bytes) / length.Seconds() / link
	t.Logf("%.3f of the link", used)
	assert.Assert(t, used < 0.25, "messages take %.2f of a link", used)
	assert.Equal(t, len(told), engines)
}

// TestAlarmKeepsTheToldWork: a message between the regular ones doesn't take the
// work of its sender off the targets.
func TestAlarmKeepsTheToldWork(t *testing.T) {
	h := newHost(t, "a", 1, 0)
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 1, Work: map[string]work{"engine-1": {Requests: 3}}}})
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 2, WorkKept: true}})
	assert.Equal(t, h.targets["engine-1"].others.Requests, 3)
	h.do(PeerSaid{Message: Message{Host: "b", Boot: 1, Number: 3}})
	assert.Equal(t, h.targets["engine-1"].others.Requests, 0)
}
