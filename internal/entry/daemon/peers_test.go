package daemon

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
)

// TestPeersForgetStrangers checks that hosts which left the configuration take
// no room once they are silent, and that a host which is heard counts as live
// as soon as it is configured.
func TestPeersForgetStrangers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := Config{}
	cfg.Settings.Host, cfg.Settings.DataCentre = "entry-1", "dc"
	around := &surroundings{cfg: cfg, clock: clock, post: func(reducer.Event) {}}
	p := newPeers(around)
	newMembership(around, nil, p)
	heartbeat := func(from identifier.Host) {
		p.OnHeartbeat(describer.Heartbeat{Content: describer.Content{From: from}}.Content)
	}
	heartbeat("entry-2")
	clock.Advance(2 * strangerMemory)
	heartbeat("entry-3")
	p.adopt(1, nil, specifier.DefaultFleet())
	assert.Equal(t, len(p.live), 1)
	assert.Equal(t, len(p.heard), 1)
	assert.Equal(t, len(p.versions), 1)
	assert.Equal(t, len(p.leaving), 0)
	fleet := specifier.DefaultFleet()
	fleet.Hosts["entry-3"] = specifier.Host{DataCentre: "dc"}
	clock.Advance(time.Second)
	p.adopt(2, nil, fleet)
	assert.DeepEqual(t, p.liveHosts(), []identifier.Host{"entry-1", "entry-3"})
	clock.Advance(2 * strangerMemory)
	p.adopt(3, nil, fleet)
	assert.Equal(t, len(p.heard), 1)
}
