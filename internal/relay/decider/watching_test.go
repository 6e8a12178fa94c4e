package decider

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestFewHostsWatchPlatform guards against a platform overloaded with watches, and against
// hosts that miss its updates. In each data centre two hosts watch and relay updates to all
// others there, and other hosts take over from those that fall silent.
func TestFewHostsWatchPlatform(t *testing.T) {
	const each = 20
	var hosts []*host
	names := map[string]descriptor.Host{}
	for i := range 2 * each {
		h := newHost(t, fmt.Sprint("host-", i), 1, 0)
		h.cfg.DataCentre = string("ab"[i%2])
		hosts = append(hosts, h)
		names[h.cfg.Host] = descriptor.Host{Address: address(i + 1), DataCentre: h.cfg.DataCentre}
	}
	failed := map[string]bool{}
	number := uint64(0)
	exchangeMessages := func() {
		for _, h := range hosts {
			h.handle(HostsListed{Hosts: names})
		}
		for range 5 { // Longer than peerTimeout.
			number++
			for _, h := range hosts {
				h.advance(time.Second)
				for _, peer := range hosts {
					if !failed[peer.cfg.Host] {
						h.handle(MessageReceived{Message: Message{Host: peer.cfg.Host, Boot: 1, Number: number}})
					}
				}
			}
		}
	}
	check := func() (watching []string) {
		relayed := map[netip.AddrPort]int{}
		for _, h := range hosts {
			if failed[h.cfg.Host] || !h.WatchesPlatform() {
				assert.Assert(t, failed[h.cfg.Host] || len(h.PlatformUpdateReceivers()) == 0)
				continue
			}
			watching = append(watching, h.cfg.Host)
			for _, to := range h.PlatformUpdateReceivers() {
				relayed[to]++
			}
		}
		assert.Equal(t, len(watching), 2*watchersPerDataCentre)
		for _, h := range hosts {
			want := watchersPerDataCentre
			if h.WatchesPlatform() && !failed[h.cfg.Host] {
				want = watchersPerDataCentre - 1
			}
			assert.Equal(t, relayed[names[h.cfg.Host].Address], want, "%s", h.cfg.Host)
		}
		return watching
	}
	exchangeMessages()
	for _, host := range check() {
		failed[host] = true
	}
	exchangeMessages()
	for _, host := range check() {
		assert.Assert(t, !failed[host])
	}
}
