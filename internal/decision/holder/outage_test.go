package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// TestOutageLeavesNoLongTable checks that the times of unsettled writes are
// bounded, however long the platform is down, and that the daemon holds its
// targets again afterwards.
func TestOutageLeavesNoLongTable(t *testing.T) {
	h := newHerd(3, 10*time.Second)
	assert.Assert(t, h.untilHeld() < herdLimit)
	h.platform.down = true
	h.run(5 * time.Minute)
	assert.Equal(t, h.holders(), 0)
	for _, d := range h.daemons {
		assert.Assert(t, len(d.state.self.sentAt) <= 2*retriesPerTerm, "%d times are kept", len(d.state.self.sentAt))
	}
	h.platform.down = false
	assert.Assert(t, h.untilHeld() < herdLimit)
}

// TestRivalsAreForgotten checks that hosts which own no wanted target take no room.
func TestRivalsAreForgotten(t *testing.T) {
	s := newHerd(1, 10*time.Second).daemons[0].state
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, host := range []identifier.Host{"old", "present", "asked"} {
		s.rival(host)
	}
	s.rivals["asked"].pending = true
	s.Reduce(Wanted{Targets: []identifier.Target{"t"}}, now)
	s.targets["t"].owner.Host = "present"
	s.rival("present")
	s.Reduce(Wanted{Targets: []identifier.Target{"t"}}, now)
	assert.Equal(t, len(s.rivals), 2)
	assert.Assert(t, s.rivals["present"] != nil)
	assert.Assert(t, s.rivals["asked"] != nil)
}
