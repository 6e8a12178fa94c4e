package replayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIsolationRefusesOtherTeams guards against requests of other teams that are refused or fail while a team becomes
// isolated and all shared parts are prefilled again.
func TestIsolationRefusesOtherTeams(t *testing.T) {
	cfg := Config{Hosts: 8, Engines: 12, LongRate: 69.9, ShortRate: 34, Subjects: 200, Length: 30 * time.Second, MessageDelay: time.Millisecond, Seed: 1}
	calm := run(t, cfg)
	cfg.Faults = []Fault{{Kind: FaultIsolation, At: 15 * time.Second}}
	changed := run(t, cfg)
	assert.Equal(t, changed.Refused+changed.Failed, 0)
	assert.Assert(t, changed.PrefilledTokens > calm.PrefilledTokens, "the salt of the other teams didn't change")
}
