package demonstrator

import (
	"bytes"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jedib0t/go-pretty/v6/table"

	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Bounds of the histograms, in microseconds.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 60_000_000
	significantDigits = 3
)

// requestStats collects the outcomes of the demo's requests.
type requestStats struct {
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
	classes    map[identifier.Class]*classCounts
	// wrong counts the responses with wrong contents.
	wrong int
	// newTokens counts the prompt tokens that were sent for the first time.
	newTokens int64
	payment   loader.Outcome
	duplicate loader.Outcome
	// startsAfterOut counts the requests that a data centre received later than
	// maxEvacuationTime after it was taken out of service.
	startsAfterOut int
}

// classCounts counts the requests of one class by outcome.
type classCounts struct{ completed, refused, failed int }

func newRequestStats() requestStats {
	return requestStats{
		firstToken: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		gaps:       hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
		classes:    map[identifier.Class]*classCounts{},
	}
}

func (s *requestStats) add(class identifier.Class, o loader.Outcome, streamed bool) {
	c := s.classes[class]
	if c == nil {
		c = &classCounts{}
		s.classes[class] = c
	}
	switch {
	case o.Complete:
		c.completed++
	case o.Run == "not-run":
		c.refused++
	default:
		c.failed++
	}
	if o.Wrong {
		s.wrong++
	}
	if !o.Complete || !streamed {
		return
	}
	record(s.firstToken, o.FirstToken)
	for _, gap := range o.InterTokenGaps {
		record(s.gaps, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// checkResult is one row of the table of checks.
type checkResult struct {
	name     string
	ok       bool
	observed string
}

// report prints the tables and returns the number of failed checks.
func (d *Demonstrator) report() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, counts := &d.stats, d.assembly.Counts()
	measures := table.NewWriter()
	measures.SetOutputMirror(d.cfg.Out)
	measures.AppendHeader(table.Row{"measure", "value"})
	measures.AppendRow(table.Row{"first token p50", quantile(s.firstToken, 50)})
	measures.AppendRow(table.Row{"first token p95", quantile(s.firstToken, 95)})
	measures.AppendRow(table.Row{"token gap p95", quantile(s.gaps, 95)})
	measures.AppendRow(table.Row{"prompt tokens computed", percent(counts.PrefilledTokens, counts.PrefilledTokens+counts.CachedTokens)})
	measures.AppendRow(table.Row{"of these unavoidable", percent(s.newTokens, counts.PrefilledTokens+counts.CachedTokens)})
	measures.AppendRow(table.Row{"tokens imported", counts.ImportedBlocks * 1024})
	measures.AppendRow(table.Row{"link use, peak of limit", fmt.Sprintf("%.0f%%", 100*counts.PeakLinkShare)})
	for _, class := range identifier.Classes() {
		if c := s.classes[class]; c != nil {
			measures.AppendRow(table.Row{string(class), fmt.Sprintf("%d completed, %d refused as not run, %d failed", c.completed, c.refused, c.failed)})
		}
	}
	measures.Render()
	return d.printChecks(d.checks(counts.ColdLimitExceeded, counts.DuplicateRuns))
}

func percent(part, total int64) string {
	if total == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(total))
}

func (d *Demonstrator) checks(coldExceeded, duplicates int) []checkResult {
	s := &d.stats
	failed, refused := 0, 0
	for _, c := range s.classes {
		failed += c.failed
		refused += c.refused
	}
	replayed := s.payment.Complete && s.duplicate.Complete && bytes.Equal(s.payment.Body, s.duplicate.Body)
	return []checkResult{
		{"no request failed", failed == 0, fmt.Sprint(failed)},
		{"no request was refused", refused == 0, fmt.Sprint(refused)},
		{"every answer is right and whole", s.wrong == 0, fmt.Sprintf("%d wrong", s.wrong)},
		{"the duplicate payment got the recorded answer", replayed, fmt.Sprintf("status %d and %d", s.payment.Status, s.duplicate.Status)},
		{"no payment ran twice", duplicates == 0, fmt.Sprint(duplicates)},
		{"no cold limit was exceeded", coldExceeded == 0, fmt.Sprint(coldExceeded)},
		{"no new work in the data centre that was out", s.startsAfterOut == 0, fmt.Sprint(s.startsAfterOut)},
	}
}

func (d *Demonstrator) printChecks(checks []checkResult) int {
	w := table.NewWriter()
	w.SetOutputMirror(d.cfg.Out)
	w.AppendHeader(table.Row{"check", "result", "seen"})
	failed := 0
	for _, c := range checks {
		result := "passed"
		if !c.ok {
			result = "FAILED"
			failed++
		}
		w.AppendRow(table.Row{c.name, result, c.observed})
	}
	w.Render()
	return failed
}

// printExampleCommands prints example commands for the running system.
func (d *Demonstrator) printExampleCommands() {
	a := d.assembly
	w := d.cfg.Out
	first := a.Hosts[a.HostNames()[0]]
	_, _ = fmt.Fprintf(w, "\ncurl -N -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":\"hello\",\"max-tokens\":8,\"stream\":true}' http://%s/v1/completions\n", teamKey(0), model, first.CallerAddress)
	_, _ = fmt.Fprintf(w, "cardamomctl --platform %s --daemons %s status\n", a.ObjectAddress, first.OperatorAddress)
}
