package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// TestSendTimesStayBoundedDuringOutage guards against a memory leak: each renewal
// during an outage of the platform adds a send time that no result removes. It
// also checks that the daemons own their targets again afterwards.
func TestSendTimesStayBoundedDuringOutage(t *testing.T) {
	f := newSimFleet(3, 10*time.Second)
	assert.Assert(t, f.runUntilAllOwn() < phaseLimit)
	f.platform.down = true
	f.run(5 * time.Minute)
	assert.Equal(t, f.countOwningAll(), 0)
	for _, d := range f.daemons {
		assert.Assert(t, len(d.state.own.sentAt) <= 2*retriesPerTerm, "%d send times are kept", len(d.state.own.sentAt))
	}
	f.platform.down = false
	assert.Assert(t, f.runUntilAllOwn() < phaseLimit)
}

// TestObservedSessionsArePruned checks that the session of a host that owns no
// known target is dropped, unless a call for it is in progress.
func TestObservedSessionsArePruned(t *testing.T) {
	s := newSimFleet(1, 10*time.Second).daemons[0].state
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, host := range []identifier.Host{"old", "present", "pending"} {
		s.observedSession(host)
	}
	s.observed["pending"].pending = true
	s.Reduce(Wanted{Targets: []identifier.Target{"t"}}, now)
	s.targets["t"].owner.Host = "present"
	s.observedSession("present")
	s.Reduce(Wanted{Targets: []identifier.Target{"t"}}, now)
	assert.Equal(t, len(s.observed), 2)
	assert.Assert(t, s.observed["present"] != nil)
	assert.Assert(t, s.observed["pending"] != nil)
}
