package runner_test

import (
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/bench/runner"
)

// smallScenario runs for 3 s on two engines and takes a data centre out for 2 s.
const smallScenario = `{
	"name": "small", "data-centres": ["north", "south"],
	"daemons": 2, "engines": 2, "plain-targets": 2, "stores": 2, "out-grace": "1s",
	"engine": {"prefill-tokens-per-second": 400000, "decode-tokens-per-second": 200},
	"load": {
		"warm-up": "1s", "duration": "3s", "arrivals": [{"at": "0s", "requests-per-second": 20}],
		"families": {"count": 10, "shared-blocks": 2, "question-tokens": 50, "output-tokens": 4},
		"non-repeatable-share": 0.5
	},
	"faults": [{"at": "500ms", "kind": "data-centre-out", "data-centre": "south"},
		{"at": "2500ms", "kind": "data-centre-in", "data-centre": "south"}]
}`

// TestRunHasNoViolations checks that a run completes or refuses every request and
// breaks no invariant while a data centre is out.
func TestRunHasNoViolations(t *testing.T) {
	defer goleak.VerifyNone(t)
	scenario, err := planner.Decode("small.json", strings.NewReader(smallScenario))
	assert.NilError(t, err)
	ended := 0
	r, err := runner.New(runner.Config{
		Scenario: scenario, Seed: 5, Clock: clockwork.NewRealClock(),
		Progress: func(done int) { ended = done },
	})
	assert.NilError(t, err)
	record, err := r.Run(t.Context())
	assert.NilError(t, err)
	result := evaluator.Evaluate(record)
	assert.Equal(t, len(result.Violations()), 0, "%v", result.Violations())
	assert.Equal(t, ended, r.Requests())
	assert.Equal(t, len(record.Requests), r.Requests())
	assert.Assert(t, result.Offered > 20)
	assert.Equal(t, result.Failed, 0, "%v", result.Failures)
	assert.Equal(t, result.Completed+result.RefusedNotRun, result.Offered)
	assert.Assert(t, result.RecomputedShare > 0 && result.RecomputedShare < 1)
	assert.Assert(t, result.ObjectCallsPerSec["put"] > 0)
	assert.Assert(t, result.ControlBytesMean > 0)
}
