package evaluator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Result holds the measures of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Offered counts the requests of the measured period; each counts towards
	// exactly one of Completed, Failed, RefusedNotRun and WrongAnswers.
	Offered       int `json:"offered"`
	Completed     int `json:"completed"`
	Failed        int `json:"failed"`
	RefusedNotRun int `json:"refused-not-run"`
	// WrongAnswers counts the answers that were marked complete but have wrong content.
	WrongAnswers int `json:"cut-answers"`
	// Failures counts the failed requests by kind.
	Failures map[string]int `json:"failures"`
	// FirstToken is the time to first token of completed streamed prompts.
	FirstToken        Quantiles                      `json:"ttft-ms"`
	FirstTokenByClass map[identifier.Class]Quantiles `json:"ttft-ms-by-class"`
	// PlainTime is the latency of completed calls to the plain service.
	PlainTime           Quantiles `json:"plain-ms"`
	InterTokenP95       float64   `json:"inter-token-p95-ms"`
	InterTokenWithinSLO float64   `json:"inter-token-share-under-59ms"`
	RecomputedShare     float64   `json:"recomputed-share"`
	UnavoidableShare    float64   `json:"unavoidable-share"`
	RecomputedRatio     float64   `json:"recomputed-ratio"`
	ImportedBlocks      int       `json:"imported-blocks"`
	ExportedBlocks      int       `json:"exported-blocks"`
	LinkUseMean         float64   `json:"link-use-mean"`
	LinkUsePeak         float64   `json:"link-use-peak"`
	LinkWaitMax         float64   `json:"link-wait-max-ms"`
	WeightedService     float64   `json:"weighted-service"`
	Goodput             float64   `json:"goodput-per-second"`
	RetryRatio          float64   `json:"retry-ratio"`
	AttemptRatio        float64   `json:"attempt-ratio"`
	CallerRetries       int       `json:"caller-retries"`
	DuplicateRuns       int       `json:"duplicate-runs"`
	ColdLimitExceeded   int       `json:"cold-limit-exceeded"`
	Crashes             int       `json:"fall-overs"`
	NewWorkAfterOut     int       `json:"new-work-after-out"`
	ControlBytesMean    float64   `json:"control-bytes-per-second-mean"`
	ControlBytesMax     float64   `json:"control-bytes-per-second-max"`
	ProcessCores        float64   `json:"process-cores"`
	ProcessHeapPeak     uint64    `json:"process-heap-bytes-peak"`
	ObjectCallsPerSec   CallRates `json:"object-calls-per-second"`
	SendLagMilliseconds float64   `json:"send-lag-ms"`
	// Recovery is the time in seconds from the last change of the load or of a
	// fault until every later second is healthy: all its requests completed and
	// the time to first token within the SLO. It is -1 if the last second is not
	// healthy.
	Recovery float64 `json:"recovery-seconds"`
	// Teams holds the completed share of each team's requests.
	Teams    map[identifier.Team]float64 `json:"completed-share-by-team"`
	Timeline []Second                    `json:"timeline"`
	Samples  []Sample                    `json:"samples"`
}

// CallRates holds the calls per second by operation.
type CallRates map[string]float64

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Second holds the measures of the requests that arrived within one second.
type Second struct {
	Second        int     `json:"second"`
	Offered       int     `json:"offered"`
	Completed     int     `json:"completed"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	FirstTokenP95 float64 `json:"ttft-p95-ms"`
}

// Bounds of the histograms in microseconds, and their precision in decimal digits.
const (
	minMicroseconds    = 1
	maxMicroseconds    = 600_000_000
	significantFigures = 3
)

// interTokenSLO is the objective for the 95th percentile of the time between tokens.
const interTokenSLO = 59 * time.Millisecond

// firstTokenSLOMilliseconds is the objective for the 95th percentile of the time
// to first token.
const firstTokenSLOMilliseconds = 1900

// classWeight returns the weight of a request in WeightedService.
func classWeight(class identifier.Class) float64 {
	switch class {
	case identifier.ClassInteractive:
		return 4
	case identifier.ClassStandard:
		return 2
	default:
		return 1
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures)
}

// recordDuration records d, clamped to the histogram's bounds.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// quantile returns a quantile in milliseconds, or 0 if h is empty.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: quantile(h, 50), P95: quantile(h, 95), P99: quantile(h, 99)}
}

// Evaluate computes the measures of a run.
func Evaluate(r Record) Result {
	result := Result{
		Scenario: r.Scenario, Policy: r.Policy, Seed: r.Seed,
		Failures:        map[string]int{},
		DuplicateRuns:   r.DuplicateRuns,
		NewWorkAfterOut: r.NewWorkAfterOut,
		ProcessHeapPeak: r.PeakHeapBytes,

		SendLagMilliseconds: milliseconds(r.SendLag),
	}
	result.countEndings(r)
	result.computeLatencies(r)
	result.computeTargetWork(r)
	result.computeRates(r)
	result.Timeline, result.Samples = buildTimeline(r), r.Samples
	result.Recovery = recoverySeconds(result.Timeline, r.LastChange)
	return result
}

// eachMeasured calls f for each request that arrived after the warm-up.
func (r Record) eachMeasured(f func(Request)) {
	for _, req := range r.Requests {
		if req.At >= 0 {
			f(req)
		}
	}
}

// countEndings counts the requests by ending, in total and by team.
func (v *Result) countEndings(r Record) {
	offered, completed := 0.0, 0.0
	teams := map[int]*[2]int{}
	r.eachMeasured(func(req Request) {
		v.Offered++
		v.CallerRetries += req.Retries
		offered += classWeight(req.Class)
		if teams[req.Team] == nil {
			teams[req.Team] = new([2]int)
		}
		teams[req.Team][1]++
		switch req.Ending {
		case EndingCompleted:
			v.Completed++
			completed += classWeight(req.Class)
			teams[req.Team][0]++
		case EndingRefused:
			v.RefusedNotRun++
		case EndingWrong:
			v.WrongAnswers++
		default:
			v.Failed++
			v.Failures[req.Failure]++
		}
	})
	v.WeightedService = ratio(completed, offered)
	v.Goodput = ratio(float64(v.Completed), r.Duration.Seconds())
	v.Teams = map[identifier.Team]float64{}
	for i, t := range teams {
		v.Teams[planner.TeamName(i)] = ratio(float64(t[0]), float64(t[1]))
	}
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// computeLatencies computes the latency quantiles of completed requests.
func (v *Result) computeLatencies(r Record) {
	first, gaps, plain := newHistogram(), newHistogram(), newHistogram()
	classes := map[identifier.Class]*hdrhistogram.Histogram{}
	withinSLO := 0
	r.eachMeasured(func(req Request) {
		if req.Ending != EndingCompleted {
			return
		}
		if req.Plain {
			recordDuration(plain, req.Latency)
		}
		if !req.Streamed {
			return
		}
		recordDuration(first, req.FirstToken)
		if classes[req.Class] == nil {
			classes[req.Class] = newHistogram()
		}
		recordDuration(classes[req.Class], req.FirstToken)
		for _, gap := range req.InterTokenGaps {
			recordDuration(gaps, gap)
			if gap < interTokenSLO {
				withinSLO++
			}
		}
	})
	v.FirstToken, v.PlainTime = quantiles(first), quantiles(plain)
	v.FirstTokenByClass = map[identifier.Class]Quantiles{}
	for class, h := range classes {
		v.FirstTokenByClass[class] = quantiles(h)
	}
	v.InterTokenP95 = quantile(gaps, 95)
	v.InterTokenWithinSLO = ratio(float64(withinSLO), float64(gaps.TotalCount()))
}

// computeTargetWork compares the prompt tokens that engines computed with those
// that could not have been cached, and counts transfers, overloads and retries.
func (v *Result) computeTargetWork(r Record) {
	before, after := r.Before.Counts, r.After.Counts
	computed := float64(after.PrefilledTokens - before.PrefilledTokens)
	cached := float64(after.CachedTokens - before.CachedTokens)
	v.RecomputedShare = ratio(computed, computed+cached)
	firstSeen, total := countPromptTokens(r)
	v.UnavoidableShare = ratio(firstSeen, total)
	v.RecomputedRatio = ratio(v.RecomputedShare, v.UnavoidableShare)
	v.ImportedBlocks = after.ImportedBlocks - before.ImportedBlocks
	v.ExportedBlocks = after.ExportedBlocks - before.ExportedBlocks
	v.ColdLimitExceeded = after.ColdLimitExceeded - before.ColdLimitExceeded
	v.Crashes = after.Crashes - before.Crashes
	runs, requests := after.Runs-before.Runs, after.RunRequests-before.RunRequests
	v.RetryRatio = ratio(float64(runs-requests), float64(requests))
	attempts, attempted := after.Attempts-before.Attempts, after.AttemptRequests-before.AttemptRequests
	v.AttemptRatio = ratio(float64(attempts-attempted), float64(attempted))
}

// countPromptTokens counts the prompt tokens of the measured requests that ran,
// and those among them that appeared for the first time in the run.
func countPromptTokens(r Record) (firstSeen, total float64) {
	seen := map[int]bool{}
	for family := range r.SeededFamilies {
		seen[family] = true
	}
	for _, req := range r.Requests {
		if req.Plain || req.Ending == EndingRefused {
			continue
		}
		known := seen[req.Family]
		seen[req.Family] = true
		if req.At < 0 {
			continue
		}
		shared := float64(req.SharedBlocks * hasher.BlockTokens)
		total += shared + float64(req.QuestionTokens)
		firstSeen += float64(req.QuestionTokens)
		if !known {
			firstSeen += shared
		}
	}
	return firstSeen, total
}

// computeRates computes the rates between the two snapshots.
func (v *Result) computeRates(r Record) {
	seconds := r.After.At.Sub(r.Before.At).Seconds()
	before, after := r.Before.Counts, r.After.Counts
	v.LinkUsePeak, v.LinkWaitMax = after.PeakLinkShare, float64(after.MaxLinkWaitMilliseconds)
	v.LinkUseMean = ratio(float64(after.LinkBytes-before.LinkBytes), float64(after.LinkLimit)*seconds)
	v.ProcessCores = ratio((r.After.CPU - r.Before.CPU).Seconds(), seconds)
	v.ObjectCallsPerSec = CallRates{}
	for kind, n := range r.After.ObjectCalls {
		v.ObjectCallsPerSec[kind] = ratio(float64(n-r.Before.ObjectCalls[kind]), seconds)
	}
	sum := 0.0
	for host, n := range r.After.PeerBytes {
		earlier := r.Before.PeerBytes[host]
		if earlier > n {
			// The daemon restarted, which reset its counter.
			earlier = 0
		}
		perSecond := ratio(float64(n-earlier), seconds)
		sum += perSecond
		v.ControlBytesMax = max(v.ControlBytesMax, perSecond)
	}
	v.ControlBytesMean = ratio(sum, float64(len(r.After.PeerBytes)))
}

// buildTimeline groups the requests by the second of their arrival.
func buildTimeline(r Record) []Second {
	seconds := make([]Second, int((r.Duration+time.Second-1)/time.Second))
	times := make([]*hdrhistogram.Histogram, len(seconds))
	for i := range seconds {
		seconds[i].Second = i
		times[i] = newHistogram()
	}
	r.eachMeasured(func(req Request) {
		i := int(req.At / time.Second)
		if i >= len(seconds) {
			return
		}
		s := &seconds[i]
		s.Offered++
		switch req.Ending {
		case EndingCompleted:
			s.Completed++
			if req.Streamed {
				recordDuration(times[i], req.FirstToken)
			}
		case EndingRefused:
			s.Refused++
		default:
			s.Failed++
		}
	})
	for i := range seconds {
		seconds[i].FirstTokenP95 = quantile(times[i], 95)
	}
	return seconds
}

// recoverySeconds returns the time from the last change until every later
// second of the timeline is healthy, or -1 if the last second is not.
func recoverySeconds(timeline []Second, lastChange time.Duration) float64 {
	healthyFrom := len(timeline)
	for healthyFrom > 0 && timeline[healthyFrom-1].healthy() {
		healthyFrom--
	}
	if healthyFrom == len(timeline) {
		return -1
	}
	return max(0, float64(healthyFrom)-lastChange.Seconds())
}

// healthy reports whether all requests completed and the time to first token
// met the SLO.
func (s Second) healthy() bool {
	return s.Completed == s.Offered && s.FirstTokenP95 <= firstTokenSLOMilliseconds
}
