package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// newOutlivedDaemon returns the State of coldTarget's expected owner, and the hosts with which
// another daemon is expected to own it.
func newOutlivedDaemon(t *testing.T) (*testDaemon, []identifier.Host) {
	t.Helper()
	var hosts []identifier.Host
	for i := range 20 {
		hosts = append(hosts, identifier.Host(fmt.Sprint("host-new-", i)))
	}
	d := newTestDaemon(true, func(f *specifier.Fleet) {
		for _, host := range append(slices.Clone(hosts), "host-a", "host-b") {
			f.Hosts[host] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
		}
	})
	hosts = append(hosts, d.host, d.peer)
	assert.Assert(t, placer.First(placer.KeyOf(coldTarget), hostStrings(hosts)) != string(d.host))
	d.observeIncarnation(1, true)
	return d, hosts
}

func (d *testDaemon) wantsColdTarget() bool {
	return slices.Contains(d.state.wantedTargets, coldTarget)
}

// TestLostColdTargetInUseIsNotReleased guards against a cold target with more requests than its
// limit. The owner of a released target finds no record and doesn't wait, so an owner that lost
// its lease must not release a target while its permits last.
func TestLostColdTargetInUseIsNotReleased(t *testing.T) {
	d, hosts := newOutlivedDaemon(t)
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p", 1))
	d.reduce(OwnershipChanged{Target: coldTarget}) // The platform is down for longer than the lease.
	d.reduce(PeersChanged{Hosts: hosts})
	d.advance(time.Second)
	assert.Assert(t, d.wantsColdTarget(), "the target is released although a permit of 20 s was granted a second ago")
	d.advance(20 * time.Second)
	assert.Assert(t, d.wantsColdTarget(), "the target is released before the grace period of the permit")
	d.advance(permitGrace)
	assert.Assert(t, !d.wantsColdTarget(), "the target is kept after the permit")
}

// TestLostColdTargetWithOwnRequestIsNotReleased guards against the release of a cold target
// that still runs a request of the owner itself.
func TestLostColdTargetWithOwnRequestIsNotReleased(t *testing.T) {
	d, hosts := newOutlivedDaemon(t)
	d.grantOwnership(1, false)
	start, ok := d.sendCall()
	assert.Assert(t, ok)
	d.reduce(OwnershipChanged{Target: coldTarget})
	d.advance(time.Second)
	d.reduce(PeersChanged{Hosts: hosts})
	assert.Assert(t, d.wantsColdTarget(), "the target is released although a request of 20 s was sent a second ago")
	d.reduce(AttemptDone{Attempt: start.Attempt, Incarnation: 1})
	d.advance(time.Second)
	assert.Assert(t, !d.wantsColdTarget(), "the target is kept without a request")
}

// TestSlotIsKeptAfterLostOwnership fails a request of the owner without proof that it did not
// run, after the ownership was lost. The owner regains it under the same fencing token, and must
// not forget the slot.
func TestSlotIsKeptAfterLostOwnership(t *testing.T) {
	d, _ := newOutlivedDaemon(t)
	d.grantOwnership(1, false)
	start, ok := d.sendCall()
	assert.Assert(t, ok)
	d.reduce(OwnershipChanged{Target: coldTarget})
	d.advance(time.Second)
	d.reduce(AttemptFailed{Attempt: start.Attempt, Reason: FailureBroken})
	d.reduce(CallerDisconnected{Request: start.Attempt.Request})
	d.grantOwnership(1, false)
	assert.Assert(t, d.requestPermit("p1", 1))
	assert.Assert(t, !d.requestPermit("p2", 1), "the target may run the failed request and that of the permit, and the limit is two")
}

// TestColdTargetIsNotReleasedDuringTakeoverWait guards against the release of a cold target on
// which permits of an earlier owner may be in use. The next owner finds no record and doesn't
// wait for them.
func TestColdTargetIsNotReleasedDuringTakeoverWait(t *testing.T) {
	for _, lost := range []bool{false, true} {
		d, hosts := newOutlivedDaemon(t)
		d.grantOwnership(2, true)
		if lost {
			d.reduce(OwnershipChanged{Target: coldTarget})
		}
		d.reduce(PeersChanged{Hosts: hosts})
		assert.Assert(t, d.wantsColdTarget(), "lost %v: the target is released just after the takeover", lost)
		d.advance(maxColdUse + permitGrace)
		assert.Assert(t, !d.wantsColdTarget(), "lost %v: the target is kept after the wait", lost)
	}
}

// TestWarmTargetIsReleasedDuringTakeoverWait checks that the next owner of a warm target can
// order its weights at once.
func TestWarmTargetIsReleasedDuringTakeoverWait(t *testing.T) {
	d, hosts := newOutlivedDaemon(t)
	d.observeIncarnation(1, false)
	d.grantOwnership(2, true)
	d.reduce(PeersChanged{Hosts: hosts})
	assert.Assert(t, !d.wantsColdTarget())
}
