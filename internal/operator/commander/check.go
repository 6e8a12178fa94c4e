package commander

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/operator/checker"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// maxCheckedBytes bounds the files that check reads. It is far above the size of a configuration.
const maxCheckedBytes = 4 << 20

// checkFormat is the format of a configuration file.
type checkFormat string

const (
	// formatPlatform is the platform's format.
	formatPlatform checkFormat = "platform"
	// formatFleet is the project's own format.
	formatFleet checkFormat = "fleet"
)

// checkReport is the output of check.
type checkReport struct {
	File   string      `json:"file"`
	Format checkFormat `json:"format"`
	// Compared is true if the version in force could be read and compared.
	Compared bool `json:"compared"`
	// InForceProblems is the number of parts of the version in force that can't be decoded, so that their entries aren't
	// compared.
	InForceProblems int `json:"in-force-problems,omitempty"`
	checker.Report
}

// checkFiles are the files of one check. The flags' files are empty if not given.
type checkFiles struct{ config, inForce, settings string }

func newCheckCommand(s *session) *cobra.Command {
	var files checkFiles
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent, without contacting the platform",
		Long: "Check a configuration in the platform's format or in the project's own one, or - for standard input.\n" +
			"The exit code is 0 without findings, 1 with findings, and 2 if a file can't be read.",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeFile,
		RunE: func(_ *cobra.Command, args []string) error {
			files.config = args[0]
			return runCheck(s, files)
		},
	}
	cmd.Flags().StringVar(&files.inForce, "in-force", "", "file with the version in force, to show the differences from it")
	cmd.Flags().StringVar(&files.settings, "settings", "", "settings file of a host, for its memory and bounds (platform's format only)")
	return cmd
}

// completeFile completes the name of one file.
func completeFile(_ *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return nil, cobra.ShellCompDirectiveDefault
}

// runCheck prints the findings, also if another file than the configuration can't be read.
func runCheck(s *session, files checkFiles) error {
	text, err := readBounded(s, files.config)
	if err != nil {
		return err
	}
	check := checkPlatform
	if specifier.IsFleet(text) {
		check = checkFleet
	}
	report, unread, err := check(s, files, text)
	if err != nil {
		return err
	}
	if err := s.printer().check(report); err != nil {
		return err
	}
	if unread != nil {
		return unread
	}
	if n := len(report.Findings) + report.FindingsOmitted; n > 0 {
		return newError("check "+files.config, KindFindings, errors.Newf("the number of findings is %d", n))
	}
	return nil
}

// checkPlatform checks a file in the platform's format. err says why the file itself can't be read, and unread why
// another one can't.
func checkPlatform(s *session, files checkFiles, text []byte) (report checkReport, unread, err error) {
	draft, ok := decoder.Draft(text)
	if !ok {
		return checkReport{}, nil, unreadableError(files.config, errors.New("the file is no JSON object"))
	}
	in := checker.Input{Draft: draft}
	if files.inForce != "" {
		inForce, err := readInForce(s, files.inForce, formatPlatform)
		if err == nil {
			if other, ok := decoder.Draft(inForce); ok {
				in.InForce = &other
			} else {
				err = unreadableError(files.inForce, errors.New("the file is no JSON object"))
			}
		}
		unread = err
	}
	if files.settings != "" {
		settings, settingsErr := readSettings(s, files.settings)
		in.Settings = settings
		if unread == nil {
			unread = settingsErr
		}
	}
	report = checkReport{File: files.config, Format: formatPlatform, Report: checker.Check(in)}
	if in.InForce != nil {
		report.Compared, report.InForceProblems = true, len(in.InForce.Problems)
	}
	return report, unread, nil
}

// checkFleet checks a file in the project's own format, like checkPlatform.
func checkFleet(s *session, files checkFiles, text []byte) (report checkReport, unread, err error) {
	if files.settings != "" {
		return checkReport{}, nil, newError("read command line", KindUsage, errors.Newf("--settings is for the platform's format, and %s is not in it", files.config))
	}
	draft, ok := specifier.DecodeDraft(files.config, text)
	if !ok {
		return checkReport{}, nil, unreadableError(files.config, errors.New("the file is no JSON object"))
	}
	in := checker.FleetInput{Draft: draft}
	if files.inForce != "" {
		inForce, err := readInForce(s, files.inForce, formatFleet)
		if err == nil {
			if other, ok := specifier.DecodeDraft(files.inForce, inForce); ok {
				in.InForce = &other
			} else {
				err = unreadableError(files.inForce, errors.New("the file is no JSON object"))
			}
		}
		unread = err
	}
	report = checkReport{File: files.config, Format: formatFleet, Report: checker.CheckFleet(in)}
	if in.InForce != nil {
		report.Compared, report.InForceProblems = true, len(in.InForce.Problems)
	}
	return report, unread, nil
}

// readInForce reads the version in force, which must be in the format of the checked file.
func readInForce(s *session, file string, want checkFormat) ([]byte, error) {
	text, err := readBounded(s, file)
	if err != nil {
		return nil, err
	}
	if specifier.IsFleet(text) != (want == formatFleet) {
		return nil, unreadableError(file, errors.Newf("the file is not in the %s format, as the checked file is", want))
	}
	return text, nil
}

// readSettings reads the settings of a host.
func readSettings(s *session, file string) (*descriptor.Settings, error) {
	text, err := readBounded(s, file)
	if err != nil {
		return nil, err
	}
	settings, err := decoder.Settings(text)
	if err != nil {
		return nil, unreadableError(file, err)
	}
	return &settings, nil
}

// readBounded reads a file, or standard input if file is "-". Larger files than maxCheckedBytes can't be read.
func readBounded(s *session, file string) ([]byte, error) {
	in := s.cfg.In
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, unreadableError(file, err)
		}
		defer func() { _ = f.Close() }() // The file was only read.
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxCheckedBytes+1))
	if err != nil {
		return nil, unreadableError(file, err)
	}
	if len(text) > maxCheckedBytes {
		return nil, unreadableError(file, errors.Newf("the file has more than %d bytes", maxCheckedBytes))
	}
	return text, nil
}

func unreadableError(file string, err error) *Error {
	return newError("read "+file, KindUnreadable, err)
}

// check prints the result of a check.
func (p *printer) check(r checkReport) error {
	if p.output == outputJSON {
		return p.json(r)
	}
	if len(r.Findings) == 0 {
		if err := p.line(printable(r.File) + ": no findings"); err != nil {
			return err
		}
	} else {
		p.table(findingRows(r.Findings))
	}
	if r.FindingsOmitted > 0 {
		p.notef("%d more findings are not shown", r.FindingsOmitted)
	}
	if r.InForceProblems > 0 {
		p.notef("the version in force has problems, their number is %d: check it by itself, entries that can't be read aren't compared", r.InForceProblems)
	}
	switch {
	case !r.Compared:
		return nil
	case len(r.Differences) == 0:
		return p.line("no differences")
	}
	_, _ = fmt.Fprintln(p.out) // There is nowhere to report a failed write to standard output.
	p.table(checkDifferenceRows(r.Differences))
	if r.DifferencesOmitted > 0 {
		p.notef("%d more entries differ and are not shown", r.DifferencesOmitted)
	}
	return nil
}

func findingRows(findings []checker.Finding) [][]string {
	rows := [][]string{{"line", "key", "kind", "message"}}
	for _, f := range findings {
		rows = append(rows, []string{strconv.Itoa(f.Line), truncate(printable(f.Key)), string(f.Kind), printable(f.Message)})
	}
	return rows
}

// checkDifferenceRows returns rows of the values that differ, each with one of the effects of the entry's difference.
func checkDifferenceRows(differences []checker.Difference) [][]string {
	rows := [][]string{{"line", "entry", "action", "value", "before", "after", "effect"}}
	for _, d := range differences {
		for i := range max(1, len(d.Values), len(d.Effects)) {
			row := make([]string, len(rows[0]))
			if i == 0 {
				row[0], row[1], row[2] = strconv.Itoa(d.Line), printable(d.Entry), string(d.Action)
			}
			if i < len(d.Values) {
				v := d.Values[i]
				row[3], row[4], row[5] = truncate(printable(v.Name)), truncate(printable(v.Before)), truncate(printable(v.After))
			}
			if i < len(d.Effects) {
				row[6] = printable(d.Effects[i])
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// printable escapes characters that would change how a terminal shows the text of a file.
func printable(text string) string {
	var b strings.Builder
	for _, r := range text {
		if unicode.IsPrint(r) {
			b.WriteRune(r)
			continue
		}
		b.WriteString(strings.Trim(strconv.QuoteRune(r), "'"))
	}
	return b.String()
}
