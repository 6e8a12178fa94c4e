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

// TestSilentUnconfiguredHostsAreRemoved guards against keeping the state of
// hosts that were removed from the configuration. A host that sends heartbeats must
// count as live as soon as it is configured.
func TestSilentUnconfiguredHostsAreRemoved(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := Config{}
	cfg.Settings.Host, cfg.Settings.DataCentre = "entry-1", "dc"
	effects := &effectHandler{cfg: cfg, clock: clock, post: func(reducer.Event) {}}
	p := newPeerHandler(effects)
	newMembership(effects, nil, p)
	heartbeat := func(from identifier.Host) {
		p.OnHeartbeat(describer.Heartbeat{Content: describer.Content{From: from}}.Content)
	}
	heartbeat("entry-2")
	clock.Advance(2 * unknownHostRetention)
	heartbeat("entry-3")
	p.adoptConfig(1, nil, specifier.DefaultFleet())
	assert.Equal(t, len(p.live), 1)
	assert.Equal(t, len(p.lastHeartbeat), 1)
	assert.Equal(t, len(p.configVersions), 1)
	assert.Equal(t, len(p.leaving), 0)
	fleet := specifier.DefaultFleet()
	fleet.Hosts["entry-3"] = specifier.Host{DataCentre: "dc"}
	clock.Advance(time.Second)
	p.adoptConfig(2, nil, fleet)
	assert.DeepEqual(t, p.localLiveHosts(), []identifier.Host{"entry-1", "entry-3"})
	clock.Advance(2 * unknownHostRetention)
	p.adoptConfig(3, nil, fleet)
	assert.Equal(t, len(p.lastHeartbeat), 1)
}
