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

// newPrompt returns a streamed prompt of the given family with one shared block.
func newPrompt(at time.Duration, family int, class identifier.Class, ending evaluator.Ending, first time.Duration) evaluator.Request {
	return evaluator.Request{
		At: at, Class: class, Ending: ending, Failure: "reset", Streamed: true, Family: family,
		SharedBlocks: 1, QuestionTokens: 100, FirstToken: first, Latency: 2 * first,
	}
}

// newRecord returns a record of a warm-up request and two measured seconds.
func newRecord() evaluator.Record {
	warm := newPrompt(-time.Second, 1, identifier.ClassInteractive, evaluator.EndingCompleted, time.Hour)
	known := newPrompt(0, 1, identifier.ClassInteractive, evaluator.EndingCompleted, 100*time.Millisecond)
	known.InterTokenGaps = []time.Duration{20 * time.Millisecond, 70 * time.Millisecond}
	plain := evaluator.Request{At: 1500 * time.Millisecond, Class: identifier.ClassBatch, Ending: evaluator.EndingCompleted, Plain: true, Family: -1, Latency: 8 * time.Millisecond}
	began := time.Unix(1000, 0)
	return evaluator.Record{
		Scenario: "made-up", Policy: "full", Seed: 3, Duration: 2 * time.Second,
		Requests: []evaluator.Request{
			warm, known,
			newPrompt(100*time.Millisecond, 2, identifier.ClassStandard, evaluator.EndingRefused, 0),
			newPrompt(200*time.Millisecond, 2, identifier.ClassStandard, evaluator.EndingCompleted, 300*time.Millisecond),
			newPrompt(1100*time.Millisecond, 2, identifier.ClassBatch, evaluator.EndingFailed, 0),
			newPrompt(1200*time.Millisecond, 1, identifier.ClassBatch, evaluator.EndingWrong, 0),
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
				Attempts: 30, AttemptRequests: 24, PeakLinkShare: 0.5, ColdLimitExceeded: 1,
			},
			ObjectCalls: map[string]int{"put": 30, "get": 4},
		},
	}
}

// assertNear fails the test unless got is within 0.1 % of want.
func assertNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	assert.Assert(t, got > want*0.999-1e-9 && got < want*1.001+1e-9, "%s is %v, want %v", name, got, want)
}

func TestEvaluateCountsEndings(t *testing.T) {
	r := evaluator.Evaluate(newRecord())
	assert.Equal(t, r.Offered, 6)
	assert.Equal(t, r.Completed, 3)
	assert.Equal(t, r.RefusedNotRun, 1)
	assert.Equal(t, r.Failed, 1)
	assert.Equal(t, r.WrongAnswers, 1)
	assert.DeepEqual(t, r.Failures, map[string]int{"reset": 1})
	// Of the offered weight 4 + 2 x 2 + 3 x 1, interactive 4, standard 2 and
	// batch 1 were completed.
	assertNear(t, "weighted service", r.WeightedService, 7.0/11)
	assertNear(t, "goodput", r.Goodput, 1.5)
}

func TestEvaluateLatenciesOfCompletedRequests(t *testing.T) {
	r := evaluator.Evaluate(newRecord())
	assertNear(t, "ttft p50", r.FirstToken.P50, 100)
	assertNear(t, "ttft p99", r.FirstToken.P99, 300)
	assertNear(t, "ttft p95 of standard", r.FirstTokenByClass[identifier.ClassStandard].P95, 300)
	assertNear(t, "plain p95", r.PlainTime.P95, 8)
	assertNear(t, "gap p95", r.InterTokenP95, 70)
	assertNear(t, "gaps within SLO", r.InterTokenWithinSLO, 0.5)
	assert.Equal(t, len(r.Timeline), 2)
	assert.Equal(t, r.Timeline[0].Completed, 2)
	assert.Equal(t, r.Timeline[0].Refused, 1)
	assert.Equal(t, r.Timeline[1].Failed, 2)
	assertNear(t, "ttft p95 of second 0", r.Timeline[0].FirstTokenP95, 300)
}

func TestEvaluateComparesRecomputedWithUnavoidable(t *testing.T) {
	r := evaluator.Evaluate(newRecord())
	assertNear(t, "recomputed share", r.RecomputedShare, 0.75)
	// Four prompts of 1,124 tokens ran, one of them the first of its family.
	assertNear(t, "unavoidable share", r.UnavoidableShare, (4*100.0+1024)/(4*1124))
	assertNear(t, "ratio", r.RecomputedRatio, 0.75/((4*100.0+1024)/(4*1124)))
	assertNear(t, "retry ratio", r.RetryRatio, 0.5)
	assertNear(t, "attempt ratio", r.AttemptRatio, 0.25)
}

func TestEvaluateRates(t *testing.T) {
	r := evaluator.Evaluate(newRecord())
	assertNear(t, "link use", r.LinkUseMean, 0.5)
	assertNear(t, "cores", r.ProcessCores, 0.5)
	assertNear(t, "puts", r.ObjectCallsPerSec["put"], 5)
	assertNear(t, "gets", r.ObjectCallsPerSec["get"], 1)
	// Daemon b restarted, which reset its counter.
	assertNear(t, "control bytes, max", r.ControlBytesMax, 2000)
	assertNear(t, "control bytes, mean", r.ControlBytesMean, 1050)
}

func TestEvaluateRecovery(t *testing.T) {
	record := newRecord()
	assert.Equal(t, evaluator.Evaluate(record).Recovery, -1.0)
	record.Requests = record.Requests[:2]
	record.Duration, record.LastChange = 4*time.Second, 500*time.Millisecond
	late := newPrompt(1500*time.Millisecond, 1, identifier.ClassBatch, evaluator.EndingCompleted, 2*time.Second)
	record.Requests = append(record.Requests, late)
	assertNear(t, "recovery", evaluator.Evaluate(record).Recovery, 1.5)
}

func TestViolationsListNonZeroInvariants(t *testing.T) {
	r := evaluator.Evaluate(newRecord())
	assert.DeepEqual(t, r.Violations(), []string{"cut-answers is 1", "cold-limit-exceeded is 1"})
}

func TestCompareAveragesRatiosPerSeed(t *testing.T) {
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
		assertNear(t, "mean", s.Mean, 20)
		assertNear(t, "spread", s.Spread, 0)
		assertNear(t, "ratio", s.Ratio, 1.5)
	}
	var out bytes.Buffer
	report.Print(&out)
	assert.Assert(t, strings.Contains(out.String(), "(x1.50)"), out.String())
}
