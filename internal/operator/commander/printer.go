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

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printer writes results and errors in the output format of the command line.
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
		return newError("print", KindFailure, err)
	}
	return nil
}

// table prints rows as a table; the first row is the header.
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

// keyValues prints a table of the keys and values of an entry.
func (p *printer) keyValues(entry any) error {
	text, err := json.Marshal(entry)
	if err != nil {
		return newError("print entry", KindFailure, err)
	}
	rows := [][]string{{"key", "value"}}
	for _, m := range decoder.Members(text) {
		rows = append(rows, []string{m.Name, formatCell(m.Value)})
	}
	p.table(rows)
	return nil
}

// formatCell returns a JSON value as shown in tables: strings without quotes,
// other values in JSON.
func formatCell(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

// outcome prints the result of an accepted change.
func (p *printer) outcome(o outcome) error {
	if p.output == outputJSON {
		return p.json(o)
	}
	switch {
	case o.Unchanged:
		return p.line(fmt.Sprintf("version %d is as wanted already", o.Version))
	case o.ReplacedBy != 0:
		return p.line(fmt.Sprintf("version %d was accepted and replaced by version %d", o.Version, o.ReplacedBy))
	}
	if err := p.line(fmt.Sprintf("version %d accepted", o.Version)); err != nil {
		return err
	}
	return p.differences(o.Differences)
}

// messageResult is the JSON output of a command that only prints a message.
type messageResult struct {
	Message string `json:"message"`
}

// line prints a one-line result.
func (p *printer) line(message string) error {
	if p.output == outputJSON {
		return p.json(messageResult{Message: message})
	}
	_, _ = fmt.Fprintln(p.out, message) // There is nowhere to report a failed write to standard output.
	return nil
}

// notef prints a line to standard error.
func (p *printer) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(p.err, format+"\n", args...) // There is nowhere to report a failed write to standard error.
}

// differences prints differences as a table or a JSON list.
func (p *printer) differences(differences []specifier.Difference) error {
	if p.output == outputJSON {
		if differences == nil {
			differences = []specifier.Difference{}
		}
		return p.json(differences)
	}
	if len(differences) == 0 {
		return p.line("no differences")
	}
	p.table(differenceRows("before", "after", differences))
	return nil
}

func differenceRows(before, after string, differences []specifier.Difference) [][]string {
	rows := [][]string{{"key", before, after}}
	for _, d := range differences {
		rows = append(rows, []string{d.Key, truncate(d.Before), truncate(d.After)})
	}
	return rows
}

// maxCellRunes is the maximum length of a value in a table of differences.
const maxCellRunes = 72

// truncate shortens value to maxCellRunes.
func truncate(value string) string {
	runes := []rune(value)
	if len(runes) <= maxCellRunes {
		return value
	}
	return string(runes[:maxCellRunes]) + "..."
}

// failureReport is the JSON output for an *Error.
type failureReport struct {
	Operation   string                 `json:"operation"`
	Kind        Kind                   `json:"kind"`
	Message     string                 `json:"message,omitempty"`
	Problems    decoder.Problems       `json:"problems,omitempty"`
	Winner      *specifier.Record      `json:"winner,omitempty"`
	Differences []specifier.Difference `json:"differences,omitempty"`
	Unconfirmed []UnconfirmedDaemon    `json:"missing,omitempty"`
}

// failure prints the error of a failed command.
func (p *printer) failure(e *Error) {
	if p.output == outputJSON {
		p.failureJSON(e)
		return
	}
	p.notef("%v", e)
	for _, problem := range e.Problems {
		p.notef("%v", problem)
	}
	if e.Winner != nil {
		p.winner(*e.Winner)
	}
	if len(e.Differences) > 0 {
		printTable(p.err, differenceRows("in force", "wanted", e.Differences))
	}
	if len(e.Unconfirmed) > 0 {
		printTable(p.err, unconfirmedRows(e.Unconfirmed))
	}
}

// winner prints the change that won a lost race.
func (p *printer) winner(r specifier.Record) {
	at := r.Change.At.UTC().Format(time.RFC3339)
	if r.Change.Message == "" {
		p.notef("version %d by %s at %s came first", r.Version, r.Change.Author, at)
		return
	}
	p.notef("version %d by %s at %s came first: %s", r.Version, r.Change.Author, at, r.Change.Message)
}

func (p *printer) failureJSON(e *Error) {
	report := failureReport{
		Operation:   e.Op,
		Kind:        e.Kind,
		Problems:    e.Problems,
		Winner:      e.Winner,
		Differences: e.Differences,
		Unconfirmed: e.Unconfirmed,
	}
	if e.Err != nil {
		report.Message = e.Err.Error()
	}
	if err := printJSON(p.err, report); err != nil {
		p.notef("%v", err)
	}
}

func unconfirmedRows(unconfirmed []UnconfirmedDaemon) [][]string {
	rows := [][]string{{"host", "address", "reason"}}
	for _, d := range unconfirmed {
		rows = append(rows, []string{string(d.Host), d.Address, d.Reason})
	}
	return rows
}
