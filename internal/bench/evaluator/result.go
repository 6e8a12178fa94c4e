package evaluator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Result holds the figures of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Offered counts the requests of the measured time; each of them is one of the next four.
	Offered       int `json:"offered"`
	Completed     int `json:"completed"`
	Failed        int `json:"failed"`
	RefusedNotRun int `json:"refused-not-run"`
	// CutAnswers counts the answers that were passed off as whole but are not right.
	CutAnswers int `json:"cut-answers"`
	// Failures counts the failed requests by kind.
	Failures map[string]int `json:"failures"`
	// FirstToken is taken over streamed prompts that were completed.
	FirstToken        Quantiles                      `json:"ttft-ms"`
	FirstTokenByClass map[identifier.Class]Quantiles `json:"ttft-ms-by-class"`
	// PlainTime is taken over calls to the plain service.
	PlainTime           Quantiles `json:"plain-ms"`
	InterTokenP95       float64   `json:"inter-token-p95-ms"`
	InterTokenInTarget  float64   `json:"inter-token-share-under-59ms"`
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
	CallerRetries       int       `json:"caller-retries"`
	DuplicateRuns       int       `json:"duplicate-runs"`
	ColdLimitExceeded   int       `json:"cold-limit-exceeded"`
	FallOvers           int       `json:"fall-overs"`
	NewWorkAfterOut     int       `json:"new-work-after-out"`
	ControlBytesMean    float64   `json:"control-bytes-per-second-mean"`
	ControlBytesMax     float64   `json:"control-bytes-per-second-max"`
	ProcessCores        float64   `json:"process-cores"`
	ProcessHeapPeak     uint64    `json:"process-heap-bytes-peak"`
	ObjectCallsPerSec   Calls     `json:"object-calls-per-second"`
	SendLagMilliseconds float64   `json:"send-lag-ms"`
	// Recovery is the time in seconds from the last change of load or fault until
	// each later second is good: all its requests completed, with the first token
	// in time. It is -1 when the last second is not good.
	Recovery float64 `json:"recovery-seconds"`
	// Teams holds the share of each team's requests that were completed.
	Teams    map[identifier.Team]float64 `json:"completed-share-by-team"`
	Timeline []Second                    `json:"timeline"`
	Samples  []Sample                    `json:"samples"`
}

// Calls holds rates of calls by kind.
type Calls map[string]float64

// Quantiles are the quantiles of times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Second holds the figures of the requests that arrived within one second.
type Second struct {
	Second        int     `json:"second"`
	Offered       int     `json:"offered"`
	Completed     int     `json:"completed"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	FirstTokenP95 float64 `json:"ttft-p95-ms"`
}

// Bounds of the histograms, in microseconds.
const (
	minMicroseconds = 1
	maxMicroseconds = 600_000_000
	figures         = 3
)

// interTokenTarget is the time between two tokens that 95 in 100 should stay under.
const interTokenTarget = 59 * time.Millisecond

// firstTokenTarget is the time in milliseconds within which 95 in 100 first
// tokens should come.
const firstTokenTarget = 1900

// weight is the value of a completed request.
func weight(class identifier.Class) float64 {
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
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, figures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: quantile(h, 50), P95: quantile(h, 95), P99: quantile(h, 99)}
}

// Evaluate works out the figures of a run.
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
	result.times(r)
	result.work(r)
	result.traffic(r)
	result.Timeline, result.Samples = timeline(r), r.Samples
	result.Recovery = recovery(result.Timeline, r.LastChange)
	return result
}

// measured calls f with each request of the measured time.
func (r Record) measured(f func(Request)) {
	for _, req := range r.Requests {
		if req.At >= 0 {
			f(req)
		}
	}
}

func (v *Result) countEndings(r Record) {
	offered, completed := 0.0, 0.0
	teams := map[int]*[2]int{}
	r.measured(func(req Request) {
		v.Offered++
		v.CallerRetries += req.Retries
		offered += weight(req.Class)
		if teams[req.Team] == nil {
			teams[req.Team] = new([2]int)
		}
		teams[req.Team][1]++
		switch req.Ending {
		case EndingCompleted:
			v.Completed++
			completed += weight(req.Class)
			teams[req.Team][0]++
		case EndingRefused:
			v.RefusedNotRun++
		case EndingWrong:
			v.CutAnswers++
		default:
			v.Failed++
			v.Failures[req.Failure]++
		}
	})
	v.WeightedService = share(completed, offered)
	v.Goodput = share(float64(v.Completed), r.Duration.Seconds())
	v.Teams = map[identifier.Team]float64{}
	for i, t := range teams {
		v.Teams[planner.TeamName(i)] = share(float64(t[0]), float64(t[1]))
	}
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// times takes the quantiles of times over completed requests.
func (v *Result) times(r Record) {
	first, gaps, plain := newHistogram(), newHistogram(), newHistogram()
	classes := map[identifier.Class]*hdrhistogram.Histogram{}
	inTarget := 0
	r.measured(func(req Request) {
		if req.Ending != EndingCompleted {
			return
		}
		if req.Plain {
			record(plain, req.Took)
		}
		if !req.Streamed {
			return
		}
		record(first, req.FirstToken)
		if classes[req.Class] == nil {
			classes[req.Class] = newHistogram()
		}
		record(classes[req.Class], req.FirstToken)
		for _, gap := range req.Gaps {
			record(gaps, gap)
			if gap < interTokenTarget {
				inTarget++
			}
		}
	})
	v.FirstToken, v.PlainTime = quantiles(first), quantiles(plain)
	v.FirstTokenByClass = map[identifier.Class]Quantiles{}
	for class, h := range classes {
		v.FirstTokenByClass[class] = quantiles(h)
	}
	v.InterTokenP95 = quantile(gaps, 95)
	v.InterTokenInTarget = share(float64(inTarget), float64(gaps.TotalCount()))
}

// work compares the prompt tokens that engines computed with those that no
// system could have had in a cache.
func (v *Result) work(r Record) {
	before, after := r.Before.Counts, r.After.Counts
	computed := float64(after.PrefilledTokens - before.PrefilledTokens)
	cached := float64(after.CachedTokens - before.CachedTokens)
	v.RecomputedShare = share(computed, computed+cached)
	fresh, all := unavoidable(r)
	v.UnavoidableShare = share(fresh, all)
	v.RecomputedRatio = share(v.RecomputedShare, v.UnavoidableShare)
	v.ImportedBlocks = after.ImportedBlocks - before.ImportedBlocks
	v.ExportedBlocks = after.ExportedBlocks - before.ExportedBlocks
	v.ColdLimitExceeded = after.ColdLimitExceeded - before.ColdLimitExceeded
	v.FallOvers = after.FallOvers - before.FallOvers
	runs, requests := after.Runs-before.Runs, after.RunRequests-before.RunRequests
	v.RetryRatio = share(float64(runs-requests), float64(requests))
}

// unavoidable counts the prompt tokens of the measured requests that ran, and
// those of them that the run saw for the first time.
func unavoidable(r Record) (fresh, all float64) {
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
		all += shared + float64(req.QuestionTokens)
		fresh += float64(req.QuestionTokens)
		if !known {
			fresh += shared
		}
	}
	return fresh, all
}

// traffic works out rates between the two snapshots.
func (v *Result) traffic(r Record) {
	seconds := r.After.At.Sub(r.Before.At).Seconds()
	before, after := r.Before.Counts, r.After.Counts
	v.LinkUsePeak, v.LinkWaitMax = after.PeakLinkShare, float64(after.MaxLinkWaitMilliseconds)
	v.LinkUseMean = share(float64(after.LinkBytes-before.LinkBytes), float64(after.LinkLimit)*seconds)
	v.ProcessCores = share((r.After.CPU - r.Before.CPU).Seconds(), seconds)
	v.ObjectCallsPerSec = Calls{}
	for kind, n := range r.After.ObjectCalls {
		v.ObjectCallsPerSec[kind] = share(float64(n-r.Before.ObjectCalls[kind]), seconds)
	}
	sum := 0.0
	for host, n := range r.After.PeerBytes {
		earlier := r.Before.PeerBytes[host]
		if earlier > n {
			// The daemon was restarted and counts anew.
			earlier = 0
		}
		perSecond := share(float64(n-earlier), seconds)
		sum += perSecond
		v.ControlBytesMax = max(v.ControlBytesMax, perSecond)
	}
	v.ControlBytesMean = share(sum, float64(len(r.After.PeerBytes)))
}

// timeline sorts the requests by the second of their arrival.
func timeline(r Record) []Second {
	seconds := make([]Second, int((r.Duration+time.Second-1)/time.Second))
	times := make([]*hdrhistogram.Histogram, len(seconds))
	for i := range seconds {
		seconds[i].Second = i
		times[i] = newHistogram()
	}
	r.measured(func(req Request) {
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
				record(times[i], req.FirstToken)
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

// recovery returns the time in seconds from the last change until each later
// second of the timeline is good, or -1.
func recovery(timeline []Second, last time.Duration) float64 {
	good := len(timeline)
	for good > 0 && timeline[good-1].good() {
		good--
	}
	if good == len(timeline) {
		return -1
	}
	return max(0, float64(good)-last.Seconds())
}

// good reports whether all requests were completed with the first token in time.
func (s Second) good() bool {
	return s.Completed == s.Offered && s.FirstTokenP95 <= firstTokenTarget
}
