package replayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// baseLoad is the load of the farm shop's calm day.
func baseLoad() Config {
	return Config{
		Hosts: 8, Engines: 12, LongRate: 70, ShortRate: 34, Subjects: 838, Length: 12 * time.Second,
		MessageDelay: time.Millisecond, Seed: 1,
	}
}

func run(t *testing.T, cfg Config) Result {
	t.Helper()
	r, err := New(cfg)
	assert.NilError(t, err)
	result := r.Run()
	t.Logf("%+v in time %.3f", result, result.Share())
	return result
}

func TestBaseLoad(t *testing.T) {
	result := run(t, baseLoad())
	assert.Assert(t, result.Share() > 0.9)
	assert.Equal(t, result, run(t, baseLoad()), "the same seed gives another result")
}

// TestLateMessagesCauseHerding replays hosts that learn late what the others sent: they all choose the
// engine that was free a moment ago.
func TestLateMessagesCauseHerding(t *testing.T) {
	cfg := baseLoad()
	prompt := run(t, cfg)
	cfg.MessageDelay = 250 * time.Millisecond
	late := run(t, cfg)
	assert.Assert(t, prompt.Share() > late.Share()+0.03, "%.3f with prompt messages, %.3f with late ones", prompt.Share(), late.Share())
}

// tripleLoad is the load of a grown deployment: three times the farm shop's.
func tripleLoad() Config {
	cfg := baseLoad()
	cfg.Hosts, cfg.Engines, cfg.LongRate, cfg.ShortRate, cfg.Subjects, cfg.Length = 24, 36, 210, 102, 2514, 6*time.Second
	return cfg
}

// TestLargeDeploymentIsDivided replays a deployment of three neighbourhoods: hosts that hear
// of each other's choices at once only within their own serve as well as few hosts do.
func TestLargeDeploymentIsDivided(t *testing.T) {
	result := run(t, tripleLoad())
	assert.Assert(t, result.Share() > 0.9, "in time %.3f", result.Share())
}

// TestUnresponsiveEngines replays engines that go dark under load: those that were running
// there are lost, others are offered elsewhere.
func TestUnresponsiveEngines(t *testing.T) {
	cfg := baseLoad()
	cfg.Troubles = []Fault{{Kind: FaultUnresponsive, At: 4 * time.Second, For: 5 * time.Second, Count: 3}}
	result := run(t, cfg)
	assert.Assert(t, result.Share() > 0.75, "in time %.3f", result.Share())
}

// TestNewWeightsUnderLoad replays two changes of the weights, the second before the first is in place.
func TestNewWeightsUnderLoad(t *testing.T) {
	cfg := baseLoad()
	cfg.Length = 20 * time.Second
	cfg.Troubles = []Fault{{Kind: FaultNewWeights, At: 5 * time.Second, Count: 2}, {Kind: FaultNewWeights, At: 9 * time.Second, Count: 3}}
	result := run(t, cfg)
	assert.Assert(t, result.Share() > 0.7, "in time %.3f", result.Share())
	each := result.OrderTime / time.Duration(result.Orders)
	assert.Assert(t, each < loadTime*3/2, "an engine is under order for %v, %v of it to load", each, loadTime)
	assert.Assert(t, result.Failed == 0, "%d requests were broken off for good", result.Failed)
	assert.Assert(t, result.Orders >= cfg.Engines && result.Orders <= 2*cfg.Engines+2, "%d orders", result.Orders)
}

// TestBurst replays twice the arrivals for a while: what can't be served in time is
// refused at once, and the rest is served in time.
func TestBurst(t *testing.T) {
	cfg := baseLoad()
	cfg.Troubles = []Fault{{Kind: FaultBurst, At: 3 * time.Second, For: 5 * time.Second, Factor: 2}}
	result := run(t, cfg)
	assert.Assert(t, result.Late*3 < result.InTime, "late %d, in time %d", result.Late, result.InTime)
}

// TestSlowStore replays a store whose link turns slow: it is left alone after some late
// imports, and most requests are read in time.
func TestSlowStore(t *testing.T) {
	cfg := baseLoad()
	cfg.Length = 16 * time.Second
	cfg.Troubles = []Fault{{Kind: FaultSlowStore, At: 8 * time.Second, For: 5 * time.Second, Factor: 40}}
	result := run(t, cfg)
	assert.Assert(t, result.Discarded > 0, "no import was late")
	assert.Assert(t, result.Share() > 0.9, "in time %.3f", result.Share())
}
