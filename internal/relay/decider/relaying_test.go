package decider

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestLargeFleetLearnsOfParts guards against overloading stores with calls, and hosts with messages of
// each store. In a fleet of a hundred hosts two follow a store, all know its changes within 0.4 s, one
// message a quarter of a second brings each host those of all stores, and no host lists a store that
// was empty.
func TestLargeFleetLearnsOfParts(t *testing.T) {
	const stores = 2
	f := newFleetNetwork(t, 100, 5)
	f.run(2 * time.Second)
	// poll lets each follower learn the changes of the stores.
	poll := func(next int64, changes ...descriptor.PartChange) (followers map[string]int) {
		followers = map[string]int{}
		for _, h := range f.hosts {
			for n := range stores {
				if store := storeAddress(n + 1); !f.stopped[h] && h.FollowsStore(store) {
					followers[h.cfg.Host]++
					f.carryOut(h, h.handle(PartsChanged{Store: store, AsOf: f.clock, Whole: next == 1, Changes: descriptor.PartChanges{Boot: 7, Next: next, Changes: changes}}))
				}
			}
		}
		return followers
	}
	knowing := func(part string) (n int) {
		for _, h := range f.hosts {
			if !f.stopped[h] && h.isFresh(h.storeByAddress(storeAddress(1))) && h.storeByAddress(storeAddress(1)).parts[partKey{testSalt, part}] > 0 {
				n++
			}
		}
		return n
	}
	followers := poll(1)
	assert.Assert(t, len(followers) <= followersInLargeFleet*stores, "%v", followers)
	f.run(500 * time.Millisecond)
	f.relays, f.lists = 0, 0
	poll(3, descriptor.PartChange{Held: true, Salt: testSalt, Part: "s", Tokens: 5000})
	f.run(400 * time.Millisecond)
	assert.Equal(t, knowing("s"), len(f.hosts))
	poll(4, descriptor.PartChange{Held: true, Salt: testSalt, Part: "t", Tokens: 5000})
	f.run(400 * time.Millisecond)
	assert.Equal(t, knowing("t"), len(f.hosts))
	assert.Equal(t, f.lists, 0, "hosts list a store whose changes they have")
	const maxRelays = 4*aggregatorsPerDataCentre*100 + 2*stores*followersInLargeFleet*5*aggregatorsPerDataCentre
	assert.Assert(t, f.relays <= maxRelays, "%d messages, want at most %d", f.relays, maxRelays)

	// All followers stop at once. Others take over, but not so many that the store is overloaded.
	for _, h := range f.hosts {
		f.stopped[h] = followers[h.cfg.Host] > 0
	}
	f.run(peerTimeout + relayTimeout)
	others := poll(5, descriptor.PartChange{Held: true, Salt: testSalt, Part: "u", Tokens: 5000})
	assert.Assert(t, len(others) > 0 && len(others) <= maxDirectFollowers*stores, "%v", others)
	f.run(400 * time.Millisecond)
	assert.Equal(t, knowing("u"), len(f.hosts)-len(followers))

	// A host that starts lists the stores once.
	f.lists = 0
	before := f.hosts[50]
	f.hosts = slices.Delete(f.hosts, 50, 51)
	f.addHost(before.cfg.Host, before.hosts)
	poll(6, descriptor.PartChange{Held: true, Salt: testSalt, Part: "v", Tokens: 5000})
	f.run(time.Second)
	assert.Equal(t, f.lists, stores)
}

// TestFewHostsFollowStoreDirectly guards against overloading a store with calls. Of twelve hosts
// eight follow it directly, and each other host receives its changes from exactly one of these.
func TestFewHostsFollowStoreDirectly(t *testing.T) {
	const n = maxDirectPeers
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
		change := descriptor.PartChange{Held: true, Salt: testSalt, Part: "s", Tokens: 5000}
		for _, relay := range effectsOf[RelayParts](h.handle(PartsChanged{Store: store, Changes: descriptor.PartChanges{Boot: 1, Next: 2, Changes: []descriptor.PartChange{change}}})) {
			for _, to := range relay.To {
				relayed[to]++
				for _, parts := range relay.Parts {
					hosts[to].handle(parts)
				}
			}
		}
	}
	assert.Equal(t, followers, maxDirectFollowers)
	assert.Equal(t, len(relayed), n-maxDirectFollowers)
	for addr, h := range hosts {
		assert.Assert(t, relayed[addr] <= 1)
		assert.Assert(t, h.storeByAddress(store).parts[partKey{testSalt, "s"}] == 5000, "%s has no record of the part", h.cfg.Host)
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
