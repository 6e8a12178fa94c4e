package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// TestLostColdTargetInUseIsNotReleased guards against a cold target with more requests than its
// limit. The owner of a released target finds no record and doesn't wait, so an owner that lost
// its lease must not release a target while its permits last.
func TestLostColdTargetInUseIsNotReleased(t *testing.T) {
	var others []identifier.Host
	d := newTestDaemon(true, func(f *specifier.Fleet) {
		for i := range 20 {
			others = append(others, identifier.Host(fmt.Sprint("host-new-", i)))
			f.Hosts[others[i]] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
		}
		for _, host := range []identifier.Host{"host-a", "host-b"} {
			f.Hosts[host] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
		}
	})
	d.observeIncarnation(1, true)
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p", 1))
	d.reduce(OwnershipChanged{Target: coldTarget}) // The platform is down for longer than the lease.
	d.reduce(PeersChanged{Hosts: append(slices.Clone(others), d.host, d.peer)})
	assert.Assert(t, d.state.expectedOwner(d.state.targets[coldTarget]) != d.host)
	d.advance(time.Second)
	assert.Assert(t, slices.Contains(d.state.wantedTargets, coldTarget), "the target is released although a permit of 20 s was granted a second ago")
	d.advance(20 * time.Second)
	assert.Assert(t, slices.Contains(d.state.wantedTargets, coldTarget), "the target is released before the grace period of the permit")
	d.advance(permitGrace)
	assert.Assert(t, !slices.Contains(d.state.wantedTargets, coldTarget), "the target is kept after the permit")
}
