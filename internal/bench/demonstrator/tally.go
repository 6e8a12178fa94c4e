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
	minMicroseconds = 1
	maxMicroseconds = 60_000_000
	figures         = 3
)

// tally counts how the demo's requests ended.
type tally struct {
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
	classes    map[identifier.Class]*classTally
	wrong      int
	// newTokens counts the prompt tokens that were sent for the first time.
	newTokens int64
	payment   loader.Outcome
	duplicate loader.Outcome
	// lateStarts counts the requests that a data centre received although it
	// had been taken out.
	lateStarts int
}

// classTally counts the requests of one class.
type classTally struct{ completed, refused, failed int }

func newTally() tally {
	return tally{
		firstToken: hdrhistogram.New(minMicroseconds, maxMicroseconds, figures),
		gaps:       hdrhistogram.New(minMicroseconds, maxMicroseconds, figures),
		classes:    map[identifier.Class]*classTally{},
	}
}

func (t *tally) add(class identifier.Class, o loader.Outcome, streamed bool) {
	c := t.classes[class]
	if c == nil {
		c = &classTally{}
		t.classes[class] = c
	}
	switch {
	case o.Whole:
		c.completed++
	case o.Run == "not-run":
		c.refused++
	default:
		c.failed++
	}
	if o.Wrong {
		t.wrong++
	}
	if !o.Whole || !streamed {
		return
	}
	record(t.firstToken, o.FirstToken)
	for _, gap := range o.Gaps {
		record(t.gaps, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// check is one line of the verdict.
type check struct {
	name string
	ok   bool
	saw  string
}

// report prints the tables and returns the number of failed checks.
func (d *Demonstrator) report() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, counts := &d.tally, d.assembly.Counts()
	figures := table.NewWriter()
	figures.SetOutputMirror(d.cfg.Out)
	figures.AppendHeader(table.Row{"measure", "value"})
	figures.AppendRow(table.Row{"first token p50", quantile(t.firstToken, 50)})
	figures.AppendRow(table.Row{"first token p95", quantile(t.firstToken, 95)})
	figures.AppendRow(table.Row{"token gap p95", quantile(t.gaps, 95)})
	figures.AppendRow(table.Row{"prompt tokens computed", percent(counts.PrefilledTokens, counts.PrefilledTokens+counts.CachedTokens)})
	figures.AppendRow(table.Row{"of these unavoidable", percent(t.newTokens, counts.PrefilledTokens+counts.CachedTokens)})
	figures.AppendRow(table.Row{"tokens imported", counts.ImportedBlocks * 1024})
	figures.AppendRow(table.Row{"link use, peak of limit", fmt.Sprintf("%.0f%%", 100*counts.PeakLinkShare)})
	for _, class := range identifier.Classes() {
		if c := t.classes[class]; c != nil {
			figures.AppendRow(table.Row{string(class), fmt.Sprintf("%d completed, %d refused as not run, %d failed", c.completed, c.refused, c.failed)})
		}
	}
	figures.Render()
	return d.printChecks(d.checks(counts.ColdLimitExceeded, counts.DuplicateRuns))
}

func percent(part, whole int64) string {
	if whole == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

func (d *Demonstrator) checks(coldExceeded, duplicates int) []check {
	t := &d.tally
	failed, refused := 0, 0
	for _, c := range t.classes {
		failed += c.failed
		refused += c.refused
	}
	replayed := t.payment.Whole && t.duplicate.Whole && bytes.Equal(t.payment.Body, t.duplicate.Body)
	return []check{
		{"no request failed", failed == 0, fmt.Sprint(failed)},
		{"no request was refused", refused == 0, fmt.Sprint(refused)},
		{"every answer is right and whole", t.wrong == 0, fmt.Sprintf("%d wrong", t.wrong)},
		{"the duplicate payment got the recorded answer", replayed, fmt.Sprintf("status %d and %d", t.payment.Status, t.duplicate.Status)},
		{"no payment ran twice", duplicates == 0, fmt.Sprint(duplicates)},
		{"no cold limit was exceeded", coldExceeded == 0, fmt.Sprint(coldExceeded)},
		{"no new work in the data centre that was out", t.lateStarts == 0, fmt.Sprint(t.lateStarts)},
	}
}

func (d *Demonstrator) printChecks(checks []check) int {
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
		w.AppendRow(table.Row{c.name, result, c.saw})
	}
	w.Render()
	return failed
}

// printAccess prints how to reach the running system.
func (d *Demonstrator) printAccess() {
	a := d.assembly
	w := d.cfg.Out
	first := a.Hosts[a.HostNames()[0]]
	_, _ = fmt.Fprintf(w, "\ncurl -N -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":\"hello\",\"max-tokens\":8,\"stream\":true}' http://%s/v1/completions\n", teamKey(0), model, first.Callers)
	_, _ = fmt.Fprintf(w, "cardamomctl --platform %s --daemons %s status\n", a.ObjectAddress, first.Operators)
}
