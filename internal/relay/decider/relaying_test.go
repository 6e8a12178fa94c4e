package decider

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestStoresAreAskedByFewHosts: of sixty hosts eight ask a store itself, and each
// other host gets its changes from exactly one of these.
func TestStoresAreAskedByFewHosts(t *testing.T) {
	const n = 60
	hosts := map[netip.AddrPort]*host{}
	names := map[string]descriptor.Host{}
	for i := range n {
		h := newHost(t, fmt.Sprint("host-", i), 1, 0)
		hosts[address(i+1)] = h
		names[h.cfg.Host] = descriptor.Host{Address: address(i + 1), DataCentre: "a"}
	}
	for _, h := range hosts {
		h.do(HostsListed{Hosts: names})
		for _, peer := range hosts {
			h.do(PeerSaid{Message: Message{Host: peer.cfg.Host, Boot: 1, Number: 1}})
		}
		h.hold(storeAddress(2))
	}
	store := storeAddress(2)
	asking := 0
	told := map[netip.AddrPort]int{}
	for _, h := range hosts {
		if h.rankFor(store.String()) >= directFollowers {
			continue
		}
		asking++
		change := descriptor.PartChange{Held: true, Salt: model + ":1", Part: "s", Tokens: 5000}
		for _, tell := range all[TellParts](h.do(PartsChanged{Store: store, Changes: descriptor.PartChanges{Boot: 1, Next: 2, Changes: []descriptor.PartChange{change}}})) {
			for _, to := range tell.To {
				told[to]++
				hosts[to].do(tell.Parts)
			}
		}
	}
	assert.Equal(t, asking, directFollowers)
	assert.Equal(t, len(told), n-directFollowers)
	for addr, h := range hosts {
		assert.Assert(t, told[addr] <= 1)
		assert.Assert(t, h.storeAt(store).held[partKey{model + ":1", "s"}] == 5000, "%s doesn't know the part", h.cfg.Host)
		if told[addr] == 1 {
			assert.Assert(t, !h.Follows(store))
			for n := range 10 {
				h.pass(500 * time.Millisecond)
				for _, peer := range hosts {
					h.do(PeerSaid{Message: Message{Host: peer.cfg.Host, Boot: 1, Number: uint64(2 + n)}})
				}
				h.do(PartsTold{Store: store, Lost: true})
				h.do(Tick{})
				assert.Assert(t, !h.Follows(store), "a host asks a store that others have found lost")
			}
			h.pass(relaySilence + time.Second)
			h.do(Tick{})
			assert.Assert(t, h.Follows(store), "a host that hears nothing doesn't ask the store")
		}
	}
}
