package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

// The forms of the output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results and failures in the form that the operator asked for.
type printer struct {
	out    io.Writer
	err    io.Writer
	output string
}

// json prints v in JSON.
func (p *printer) json(v any) error { return printJSON(p.out, v) }

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return failure("print", KindFailure, err)
	}
	return nil
}

// table prints rows, the first of which holds the titles.
func (p *printer) table(rows [][]string) { printTable(p.out, rows) }

func printTable(w io.Writer, rows [][]string) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	style := table.StyleDefault
	style.Options = table.OptionsNoBordersAndSeparators
	t.SetStyle(style)
	t.SuppressTrailingSpaces()
	t.AppendHeader(tableRow(rows[0]))
	for _, row := range rows[1:] {
		t.AppendRow(tableRow(row))
	}
	t.Render()
}

func tableRow(cells []string) table.Row {
	row := make(table.Row, 0, len(cells))
	for _, c := range cells {
		row = append(row, c)
	}
	return row
}

// members prints the keys of an entry, one a line.
func (p *printer) members(entry any) error {
	text, err := json.Marshal(entry)
	if err != nil {
		return failure("print entry", KindFailure, err)
	}
	rows := [][]string{{"key", "value"}}
	for _, m := range decoder.Members(text) {
		rows = append(rows, []string{m.Name, cell(m.Value)})
	}
	p.table(rows)
	return nil
}

// cell returns a JSON value as a table shows it.
func cell(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// outcome prints an accepted change.
func (p *printer) outcome(o outcome) error {
	if p.output == outputJSON {
		return p.json(o)
	}
	switch {
	case o.Unchanged:
		return p.done(fmt.Sprintf("version %d is as wanted already", o.Version))
	case o.Overtaken != 0:
		return p.done(fmt.Sprintf("version %d was accepted and replaced by version %d", o.Version, o.Overtaken))
	}
	if err := p.done(fmt.Sprintf("version %d accepted", o.Version)); err != nil {
		return err
	}
	return p.differences(o.Differences)
}

// completion is the result of a command that returns nothing else.
type completion struct {
	Message string `json:"message"`
}

// done prints one line about a result.
func (p *printer) done(message string) error {
	if p.output == outputJSON {
		return p.json(completion{Message: message})
	}
	_, _ = fmt.Fprintln(p.out, message) // Nothing can be said when the output is gone.
	return nil
}

// note prints one line beside the result.
func (p *printer) note(format string, args ...any) {
	_, _ = fmt.Fprintf(p.err, format+"\n", args...) // Nothing can be said when the output is gone.
}

// differences prints what differs.
func (p *printer) differences(differences []specifier.Difference) error {
	if p.output == outputJSON {
		if differences == nil {
			differences = []specifier.Difference{}
		}
		return p.json(differences)
	}
	if len(differences) == 0 {
		return p.done("no differences")
	}
	p.table(differenceRows("before", "after", differences))
	return nil
}

func differenceRows(before, after string, differences []specifier.Difference) [][]string {
	rows := [][]string{{"key", before, after}}
	for _, d := range differences {
		rows = append(rows, []string{d.Key, abridge(d.Before), abridge(d.After)})
	}
	return rows
}

// maxCellRunes bounds the values in a table of differences.
const maxCellRunes = 72

// abridge returns the beginning of a long value.
func abridge(value string) string {
	runes := []rune(value)
	if len(runes) <= maxCellRunes {
		return value
	}
	return string(runes[:maxCellRunes]) + "..."
}

// failureReport is an *Error in JSON.
type failureReport struct {
	Operation   string                 `json:"operation"`
	Kind        Kind                   `json:"kind"`
	Message     string                 `json:"message,omitempty"`
	Problems    decoder.Problems       `json:"problems,omitempty"`
	Winner      *specifier.Record      `json:"winner,omitempty"`
	Differences []specifier.Difference `json:"differences,omitempty"`
	Missing     []Missing              `json:"missing,omitempty"`
}

// failure prints why a command failed.
func (p *printer) failure(e *Error) {
	if p.output == outputJSON {
		p.failureJSON(e)
		return
	}
	p.note("%v", e)
	for _, problem := range e.Problems {
		p.note("%v", problem)
	}
	if e.Winner != nil {
		p.winner(*e.Winner)
	}
	if len(e.Differences) > 0 {
		printTable(p.err, differenceRows("in force", "wanted", e.Differences))
	}
	if len(e.Missing) > 0 {
		printTable(p.err, missingRows(e.Missing))
	}
}

// winner prints the change that came first.
func (p *printer) winner(r specifier.Record) {
	at := r.Change.At.UTC().Format(time.RFC3339)
	if r.Change.Message == "" {
		p.note("version %d by %s at %s came first", r.Version, r.Change.Author, at)
		return
	}
	p.note("version %d by %s at %s came first: %s", r.Version, r.Change.Author, at, r.Change.Message)
}

func (p *printer) failureJSON(e *Error) {
	report := failureReport{
		Operation:   e.Op,
		Kind:        e.Kind,
		Problems:    e.Problems,
		Winner:      e.Winner,
		Differences: e.Differences,
		Missing:     e.Missing,
	}
	if e.Err != nil {
		report.Message = e.Err.Error()
	}
	if err := printJSON(p.err, report); err != nil {
		p.note("%v", err)
	}
}

func missingRows(missing []Missing) [][]string {
	rows := [][]string{{"host", "address", "reason"}}
	for _, m := range missing {
		rows = append(rows, []string{string(m.Host), m.Address, m.Reason})
	}
	return rows
}
