package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// newWeightsState returns a State whose configuration wants version v2 on two targets. It
// owns target-0 if owns is true.
func newWeightsState(now time.Time, owns bool) *State {
	fleet := testFleet([]identifier.Host{"host-a"})
	fleet.Hosts["host-a"] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
	fleet.Targets = map[identifier.Target]specifier.Target{
		"target-0": {Service: "labels", DataCentre: "dc", State: specifier.StateIn, ColdLimit: 1, WarmLimit: 8},
		"target-1": {Service: "labels", DataCentre: "dc", State: specifier.StateIn, ColdLimit: 1, WarmLimit: 8},
	}
	fleet.Models["m"] = specifier.Model{Version: "v2"}
	s := New(Config{Host: "host-a", DataCentre: "dc", Seed: 1, BlockSecret: []byte("secret")})
	s.Reduce(ConfigAdopted{Version: 1, Fleet: fleet}, now)
	if owns {
		s.Reduce(OwnershipChanged{Target: "target-0", Held: true, Fence: 7, Until: now.Add(time.Hour)}, now)
	}
	return s
}

func loadReport(target identifier.Target, version identifier.WeightVersion) LoadObserved {
	return LoadObserved{Target: target, Incarnation: 1, Loaded: []Weights{{Model: "m", Version: version}}}
}

func TestOwnerOrdersWeights(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name    string
		owns    bool
		version identifier.WeightVersion
		after   time.Duration
		want    int
	}{
		{"orders missing weights", true, "v1", 0, 1},
		{"waits before it repeats an order", true, "v1", orderInterval / 2, 1},
		{"repeats an order that had no effect", true, "v1", orderInterval, 2},
		{"orders nothing if the weights are loaded", true, "v2", 0, 0},
		{"orders nothing without ownership", false, "v1", orderInterval, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newWeightsState(start, test.owns)
			got := 0
			for _, now := range []time.Time{start, start.Add(test.after)} {
				order, ok := effectOf[Order](s.Reduce(loadReport("target-0", test.version), now))
				if ok {
					got++
					assert.Equal(t, order.Fence, uint64(7))
					assert.DeepEqual(t, order.Weights, []Weights{{Model: "m", Version: "v2"}})
				}
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestPromptAvoidsTargetsThatLackItsVersion makes both targets refuse a prompt's weight
// version. The prompt must wait without using the retry budget, and start when a target
// reports that it has loaded the version.
func TestPromptAvoidsTargetsThatLackItsVersion(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newWeightsState(now, false)
	s.Reduce(loadReport("target-0", "v1"), now)
	s.Reduce(loadReport("target-1", "v1"), now)
	now = now.Add(time.Hour)
	effects := s.Reduce(RequestArrived{Request: "r", KeyHash: "k1", Service: "labels", Work: promptOf("short")}, now)
	tried := map[identifier.Target]bool{}
	for range 2 {
		started, ok := effectOf[Start](effects)
		assert.Assert(t, ok)
		assert.Assert(t, !tried[started.Target])
		tried[started.Target] = true
		effects = s.Reduce(AttemptFailed{Attempt: started.Attempt, ProvenNotRun: true, Reason: FailureVersion}, now)
	}
	_, ok := effectOf[Start](effects)
	assert.Assert(t, !ok, "both targets lack the version")
	assert.Equal(t, s.retryBudget, float64(maxRetryBudget))
	effects = s.Reduce(loadReport("target-1", "v2"), now.Add(time.Millisecond))
	started, ok := effectOf[Start](effects)
	assert.Assert(t, ok, "effects: %v", effects)
	assert.Equal(t, started.Target, identifier.Target("target-1"))
}
