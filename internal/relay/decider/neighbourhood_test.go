package decider

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// TestPartsSpanDataCentres: sixty hosts divide sixty engines evenly, each part has some
// of every data centre, and hosts of one part know each other.
func TestPartsSpanDataCentres(t *testing.T) {
	const n = 60
	names := map[string]descriptor.Host{}
	var engines []descriptor.Target
	place := func(i int) string { return string("abc"[i%3]) }
	for i := range n {
		names[fmt.Sprint("host-", i)] = descriptor.Host{Address: address(i + 1), DataCentre: place(i)}
		e := engine(i, 1)
		e.DataCentre = place(i)
		engines = append(engines, e)
	}
	users := map[string]int{}
	for i := range n {
		h := newHost(t, fmt.Sprint("host-", i), 0, 0)
		h.cfg.DataCentre, h.cfg.Regions = place(i), map[string]string{"a": "r", "b": "r", "c": "r"}
		h.do(TargetsListed{Targets: engines})
		h.do(HostsListed{Hosts: names})
		near := map[string]int{}
		for id, target := range h.targets {
			if !h.distant[id] {
				near[target.DataCentre]++
				users[id]++
			}
		}
		assert.Assert(t, near["a"] > 0 && near["b"] > 0 && near["c"] > 0, "%s prefers engines of %v", h.cfg.Host, near)
		total := near["a"] + near["b"] + near["c"]
		assert.Assert(t, total >= neighbours-1 && total <= neighbours+1, "%d engines are near %s", total, h.cfg.Host)
		assert.Assert(t, len(h.mates) >= neighbours-2 && len(h.mates) <= neighbours, "%s has %d mates", h.cfg.Host, len(h.mates))
	}
	for id, hosts := range users {
		assert.Assert(t, hosts >= neighbours-1 && hosts <= neighbours+1, "%d hosts prefer %s", hosts, id)
	}
	assert.Equal(t, len(users), n)
}
