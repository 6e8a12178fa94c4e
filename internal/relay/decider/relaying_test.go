package decider

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestFewHostsFollowStoreDirectly guards against overloading a store with calls. Of sixty hosts
// eight follow it directly, and each other host receives its changes from exactly one of these.
func TestFewHostsFollowStoreDirectly(t *testing.T) {
	const n = 60
	hosts := map[netip.AddrPort]*host{}
	names := map[string]descriptor.Host{}
	for i := range n {
		h := newHost(t, fmt.Sprint("host-", i), 1, 0)
		hosts[address(i+1)] = h
		names[h.cfg.Host] = descriptor.Host{Address: address(i + 1), DataCentre: "a"}
	}
	for _, h := range hosts {
		h.handle(HostsListed{Hosts: names})
		for _, peer := range hosts {
			h.handle(MessageReceived{Message: Message{Host: peer.cfg.Host, Boot: 1, Number: 1}})
		}
		h.setStoreParts(storeAddress(2))
	}
	store := storeAddress(2)
	followers := 0
	relayed := map[netip.AddrPort]int{}
	for _, h := range hosts {
		if h.rankFor(store.String()) >= maxDirectFollowers {
			continue
		}
		followers++
		change := descriptor.PartChange{Held: true, Salt: model + ":1", Part: "s", Tokens: 5000}
		for _, relay := range effectsOf[RelayParts](h.handle(PartsChanged{Store: store, Changes: descriptor.PartChanges{Boot: 1, Next: 2, Changes: []descriptor.PartChange{change}}})) {
			for _, to := range relay.To {
				relayed[to]++
				hosts[to].handle(relay.Parts)
			}
		}
	}
	assert.Equal(t, followers, maxDirectFollowers)
	assert.Equal(t, len(relayed), n-maxDirectFollowers)
	for addr, h := range hosts {
		assert.Assert(t, relayed[addr] <= 1)
		assert.Assert(t, h.storeByAddress(store).parts[partKey{model + ":1", "s"}] == 5000, "%s has no record of the part", h.cfg.Host)
		if relayed[addr] == 1 {
			assert.Assert(t, !h.FollowsStore(store))
			for n := range 10 {
				h.advance(500 * time.Millisecond)
				for _, peer := range hosts {
					h.handle(MessageReceived{Message: Message{Host: peer.cfg.Host, Boot: 1, Number: uint64(2 + n)}})
				}
				h.handle(PartsRelayed{Store: store, Lost: true})
				h.handle(Tick{})
				assert.Assert(t, !h.FollowsStore(store), "a host calls a store that others reported lost")
			}
			h.advance(relayTimeout + time.Second)
			h.handle(Tick{})
			assert.Assert(t, h.FollowsStore(store), "a host without relayed changes doesn't call the store")
		}
	}
}
