package evaluator

import (
	"fmt"
	"io"
	"math"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Report holds all runs of one scenario and their comparison.
type Report struct {
	Scenario string    `json:"scenario"`
	Summary  []Summary `json:"summary"`
	Runs     []Result  `json:"runs"`
}

// Summary aggregates one measure of one policy over all seeds.
type Summary struct {
	Measure string  `json:"measure"`
	Policy  string  `json:"policy"`
	Mean    float64 `json:"mean"`
	// Spread is the difference between the highest and the lowest value.
	Spread float64 `json:"spread"`
	// Ratio is this policy's value divided by the first policy's value with the
	// same seed, averaged over the seeds; 0 if undefined.
	Ratio float64 `json:"ratio-to-first-policy"`
}

// measure is one row of the comparison.
type measure struct {
	name  string
	value func(Result) float64
	// invariant marks a measure that must be zero.
	invariant bool
}

// measures lists the rows of the comparison in display order.
func measures() []measure {
	list := []measure{
		{name: "offered", value: func(r Result) float64 { return float64(r.Offered) }},
		{name: "completed", value: func(r Result) float64 { return float64(r.Completed) }},
		{name: "failed", value: func(r Result) float64 { return float64(r.Failed) }},
		{name: "refused-not-run", value: func(r Result) float64 { return float64(r.RefusedNotRun) }},
		{name: "weighted-service", value: func(r Result) float64 { return r.WeightedService }},
		{name: "goodput-per-second", value: func(r Result) float64 { return r.Goodput }},
		{name: "ttft-p50-ms", value: func(r Result) float64 { return r.FirstToken.P50 }},
		{name: "ttft-p95-ms", value: func(r Result) float64 { return r.FirstToken.P95 }},
		{name: "ttft-p99-ms", value: func(r Result) float64 { return r.FirstToken.P99 }},
	}
	for _, class := range identifier.Classes() {
		list = append(list, measure{
			name:  "ttft-p95-ms " + string(class),
			value: func(r Result) float64 { return r.FirstTokenByClass[class].P95 },
		})
	}
	list = append(list, systemMeasures()...)
	return append(list, invariants()...)
}

// systemMeasures lists the measures of recovery, cache reuse, links and retries.
func systemMeasures() []measure {
	return []measure{
		{name: "recovery-seconds", value: func(r Result) float64 { return r.Recovery }},
		{name: "plain-p95-ms", value: func(r Result) float64 { return r.PlainTime.P95 }},
		{name: "inter-token-p95-ms", value: func(r Result) float64 { return r.InterTokenP95 }},
		{name: "inter-token-share-under-59ms", value: func(r Result) float64 { return r.InterTokenWithinSLO }},
		{name: "recomputed-share", value: func(r Result) float64 { return r.RecomputedShare }},
		{name: "unavoidable-share", value: func(r Result) float64 { return r.UnavoidableShare }},
		{name: "recomputed-ratio", value: func(r Result) float64 { return r.RecomputedRatio }},
		{name: "imported-blocks", value: func(r Result) float64 { return float64(r.ImportedBlocks) }},
		{name: "exported-blocks", value: func(r Result) float64 { return float64(r.ExportedBlocks) }},
		{name: "link-use-mean", value: func(r Result) float64 { return r.LinkUseMean }},
		{name: "link-use-peak", value: func(r Result) float64 { return r.LinkUsePeak }},
		{name: "link-wait-max-ms", value: func(r Result) float64 { return r.LinkWaitMax }},
		{name: "retry-ratio", value: func(r Result) float64 { return r.RetryRatio }},
		{name: "attempt-ratio", value: func(r Result) float64 { return r.AttemptRatio }},
		{name: "control-bytes-per-second-max", value: func(r Result) float64 { return r.ControlBytesMax }},
		{name: "process-cores", value: func(r Result) float64 { return r.ProcessCores }},
		{name: "process-heap-bytes-peak", value: func(r Result) float64 { return float64(r.ProcessHeapPeak) }},
		{name: "send-lag-ms", value: func(r Result) float64 { return r.SendLagMilliseconds }},
	}
}

// invariants lists the measures that must be zero.
func invariants() []measure {
	return []measure{
		{name: "cut-answers", invariant: true, value: func(r Result) float64 { return float64(r.WrongAnswers) }},
		{name: "duplicate-runs", invariant: true, value: func(r Result) float64 { return float64(r.DuplicateRuns) }},
		{name: "cold-limit-exceeded", invariant: true, value: func(r Result) float64 { return float64(r.ColdLimitExceeded) }},
		{name: "fall-overs", invariant: true, value: func(r Result) float64 { return float64(r.Crashes) }},
		{name: "new-work-after-out", invariant: true, value: func(r Result) float64 { return float64(r.NewWorkAfterOut) }},
	}
}

// Violations lists the measures that must be zero and are not.
func (v Result) Violations() []string {
	var list []string
	for _, m := range invariants() {
		if n := m.value(v); n != 0 {
			list = append(list, fmt.Sprintf("%s is %v", m.name, n))
		}
	}
	return list
}

// Compare summarises the runs of one scenario. Runs with the same seed have the
// same arrivals under every policy, so their values are compared in pairs.
func Compare(scenario string, runs []Result) Report {
	report := Report{Scenario: scenario, Runs: runs}
	policies := distinctPolicies(runs)
	for _, m := range measures() {
		for _, policy := range policies {
			report.Summary = append(report.Summary, summarisePolicy(m, policy, policies[0], runs))
		}
	}
	return report
}

// distinctPolicies returns the policies of runs in order of first appearance.
func distinctPolicies(runs []Result) []string {
	var list []string
	for _, r := range runs {
		if !slices.Contains(list, r.Policy) {
			list = append(list, r.Policy)
		}
	}
	return list
}

// summarisePolicy aggregates m over the runs of policy, relative to the first policy.
func summarisePolicy(m measure, policy, first string, runs []Result) Summary {
	base := map[uint64]float64{}
	for _, r := range runs {
		if r.Policy == first {
			base[r.Seed] = m.value(r)
		}
	}
	low, high := math.Inf(1), math.Inf(-1)
	sum, ratios, n, pairs := 0.0, 0.0, 0, 0
	for _, r := range runs {
		if r.Policy != policy {
			continue
		}
		x := m.value(r)
		low, high = min(low, x), max(high, x)
		sum += x
		n++
		if base[r.Seed] != 0 {
			ratios += x / base[r.Seed]
			pairs++
		}
	}
	return Summary{
		Measure: m.name, Policy: policy, Mean: ratio(sum, float64(n)), Spread: high - low,
		Ratio: ratio(ratios, float64(pairs)),
	}
}

// Print writes the comparison as a table with one row per measure and one
// column per policy: the mean, half the spread over the seeds, and the ratio to
// the first policy.
func (r Report) Print(w io.Writer) {
	policies := distinctPolicies(r.Runs)
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetTitle(r.Scenario)
	header := table.Row{"measure"}
	for _, policy := range policies {
		header = append(header, policy)
	}
	t.AppendHeader(header)
	for i := 0; i+len(policies) <= len(r.Summary); i += len(policies) {
		row := table.Row{r.Summary[i].Measure}
		for _, s := range r.Summary[i : i+len(policies)] {
			row = append(row, s.cell(s.Policy != policies[0]))
		}
		t.AppendRow(row)
	}
	t.Render()
}

// cell formats s as a table cell.
func (s Summary) cell(withRatio bool) string {
	text := fmt.Sprintf("%.4g ± %.2g", s.Mean, s.Spread/2)
	if withRatio && s.Ratio != 0 {
		text += fmt.Sprintf(" (x%.2f)", s.Ratio)
	}
	return text
}
