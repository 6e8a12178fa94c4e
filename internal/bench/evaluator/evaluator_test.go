package evaluator_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// prompt returns a request of family 1, or of another one, with one shared block.
func prompt(at time.Duration, family int, class identifier.Class, ending evaluator.Ending, first time.Duration) evaluator.Request {
	return evaluator.Request{
		At: at, Class: class, Ending: ending, Failure: "reset", Streamed: true, Family: family,
		SharedBlocks: 1, QuestionTokens: 100, FirstToken: first, Took: 2 * first,
	}
}

// madeUp returns a record of two measured seconds.
func madeUp() evaluator.Record {
	warm := prompt(-time.Second, 1, identifier.ClassInteractive, evaluator.EndingCompleted, time.Hour)
	known := prompt(0, 1, identifier.ClassInteractive, evaluator.EndingCompleted, 100*time.Millisecond)
	known.Gaps = []time.Duration{20 * time.Millisecond, 70 * time.Millisecond}
	plain := evaluator.Request{At: 1500 * time.Millisecond, Class: identifier.ClassBatch, Ending: evaluator.EndingCompleted, Plain: true, Family: -1, Took: 8 * time.Millisecond}
	began := time.Unix(1000, 0)
	return evaluator.Record{
		Scenario: "made-up", Policy: "full", Seed: 3, Duration: 2 * time.Second,
		Requests: []evaluator.Request{
			warm, known,
			prompt(100*time.Millisecond, 2, identifier.ClassStandard, evaluator.EndingRefused, 0),
			prompt(200*time.Millisecond, 2, identifier.ClassStandard, evaluator.EndingCompleted, 300*time.Millisecond),
			prompt(1100*time.Millisecond, 2, identifier.ClassBatch, evaluator.EndingFailed, 0),
			prompt(1200*time.Millisecond, 1, identifier.ClassBatch, evaluator.EndingWrong, 0),
			plain,
		},
		Before: evaluator.Snapshot{
			At: began, PeerBytes: map[identifier.Host]uint64{"a": 1000, "b": 5000},
			Counts:      assembler.Counts{PrefilledTokens: 1000, CachedTokens: 50, Runs: 10, RunRequests: 10, LinkBytes: 100, LinkLimit: 1000},
			ObjectCalls: map[string]int{"put": 10},
		},
		After: evaluator.Snapshot{
			At: began.Add(4 * time.Second), CPU: 2 * time.Second, PeerBytes: map[identifier.Host]uint64{"a": 9000, "b": 400},
			Counts: assembler.Counts{
				PrefilledTokens: 4000, CachedTokens: 1050, Runs: 25, RunRequests: 20, LinkBytes: 2100, LinkLimit: 1000,
				PeakLinkShare: 0.5, ColdLimitExceeded: 1,
			},
			ObjectCalls: map[string]int{"put": 30, "get": 4},
		},
	}
}

func near(t *testing.T, name string, got, want float64) {
	t.Helper()
	assert.Assert(t, got > want*0.999-1e-9 && got < want*1.001+1e-9, "%s is %v, want %v", name, got, want)
}

func TestEvaluateCountsEndings(t *testing.T) {
	r := evaluator.Evaluate(madeUp())
	assert.Equal(t, r.Offered, 6)
	assert.Equal(t, r.Completed, 3)
	assert.Equal(t, r.RefusedNotRun, 1)
	assert.Equal(t, r.Failed, 1)
	assert.Equal(t, r.CutAnswers, 1)
	assert.DeepEqual(t, r.Failures, map[string]int{"reset": 1})
	// Interactive 4, standard 2 and batch 1 of 4 + 2 x 2 + 3 x 1 were completed.
	near(t, "weighted service", r.WeightedService, 7.0/11)
	near(t, "goodput", r.Goodput, 1.5)
}

func TestEvaluateTakesTimesOfCompletedRequests(t *testing.T) {
	r := evaluator.Evaluate(madeUp())
	near(t, "ttft p50", r.FirstToken.P50, 100)
	near(t, "ttft p99", r.FirstToken.P99, 300)
	near(t, "ttft p95 of standard", r.FirstTokenByClass[identifier.ClassStandard].P95, 300)
	near(t, "plain p95", r.PlainTime.P95, 8)
	near(t, "gap p95", r.InterTokenP95, 70)
	near(t, "gaps in target", r.InterTokenInTarget, 0.5)
	assert.Equal(t, len(r.Timeline), 2)
	assert.Equal(t, r.Timeline[0].Completed, 2)
	assert.Equal(t, r.Timeline[0].Refused, 1)
	assert.Equal(t, r.Timeline[1].Failed, 2)
	near(t, "ttft p95 of second 0", r.Timeline[0].FirstTokenP95, 300)
}

func TestEvaluateComparesComputedWorkWithTheUnavoidable(t *testing.T) {
	r := evaluator.Evaluate(madeUp())
	near(t, "recomputed share", r.RecomputedShare, 0.75)
	// Four prompts of 1,124 tokens ran; one of them was the first of its family.
	near(t, "unavoidable share", r.UnavoidableShare, (4*100.0+1024)/(4*1124))
	near(t, "ratio", r.RecomputedRatio, 0.75/((4*100.0+1024)/(4*1124)))
	near(t, "retry ratio", r.RetryRatio, 0.5)
}

func TestEvaluateWorksOutRates(t *testing.T) {
	r := evaluator.Evaluate(madeUp())
	near(t, "link use", r.LinkUseMean, 0.5)
	near(t, "cores", r.ProcessCores, 0.5)
	near(t, "puts", r.ObjectCallsPerSec["put"], 5)
	near(t, "gets", r.ObjectCallsPerSec["get"], 1)
	// Daemon b was restarted, so that its count began anew.
	near(t, "control bytes, max", r.ControlBytesMax, 2000)
	near(t, "control bytes, mean", r.ControlBytesMean, 1050)
}

func TestEvaluateTellsWhenServiceRecovered(t *testing.T) {
	record := madeUp()
	assert.Equal(t, evaluator.Evaluate(record).Recovery, -1.0)
	record.Requests = record.Requests[:2]
	record.Duration, record.LastChange = 4*time.Second, 500*time.Millisecond
	late := prompt(1500*time.Millisecond, 1, identifier.ClassBatch, evaluator.EndingCompleted, 2*time.Second)
	record.Requests = append(record.Requests, late)
	near(t, "recovery", evaluator.Evaluate(record).Recovery, 1.5)
}

func TestViolationsListWhatMustBeZero(t *testing.T) {
	r := evaluator.Evaluate(madeUp())
	assert.DeepEqual(t, r.Violations(), []string{"cut-answers is 1", "cold-limit-exceeded is 1"})
}

func TestCompareTakesRatiosSeedBySeed(t *testing.T) {
	run := func(policy string, seed uint64, goodput float64) evaluator.Result {
		return evaluator.Result{Policy: policy, Seed: seed, Goodput: goodput}
	}
	report := evaluator.Compare("s", []evaluator.Result{
		run("round-robin", 1, 10), run("full", 1, 20), run("round-robin", 2, 20), run("full", 2, 20),
	})
	for _, s := range report.Summary {
		if s.Measure != "goodput-per-second" || s.Policy != "full" {
			continue
		}
		near(t, "mean", s.Mean, 20)
		near(t, "spread", s.Spread, 0)
		near(t, "ratio", s.Ratio, 1.5)
	}
	var out bytes.Buffer
	report.Print(&out)
	assert.Assert(t, strings.Contains(out.String(), "(x1.50)"), out.String())
}
