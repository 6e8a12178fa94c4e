package replayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartCrashesEnginesUnderLoad guards against requests with a part that crashes engines, and against
// what they cost the sound ones at the load of the farm shop: few reach engines after the bound, and
// sound requests begin at least half as often as without them.
func TestPartCrashesEnginesUnderLoad(t *testing.T) {
	cfg := baseLoad()
	cfg.Length = 20 * time.Second
	calm := run(t, cfg)
	for _, rate := range []float64{1, 5, 20} {
		cfg.Faults = []Fault{{Kind: FaultFatalPart, At: 2 * time.Second, For: 16 * time.Second, Factor: rate}}
		result := run(t, cfg)
		const maxLate = 3
		assert.Assert(t, result.FatalLate <= maxLate, "%d of %d requests at %.0f a second reach engines after the bound", result.FatalLate, result.FatalRequests, rate)
		assert.Assert(t, result.InTime+result.Late >= (calm.InTime+calm.Late)/2, "%d sound requests begin, %d without the part", result.InTime+result.Late, calm.InTime+calm.Late)
	}
}
