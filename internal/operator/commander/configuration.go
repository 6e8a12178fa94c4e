package commander

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
)

func newConfigCommand(s *session) *cobra.Command {
	group := newGroupCommand("config", "Show and change the configuration as a whole")
	group.AddCommand(
		newConfigCheckCommand(s),
		newConfigDiffCommand(s),
		newConfigApplyCommand(s),
		newConfigHistoryCommand(s),
		newConfigShowCommand(s),
	)
	return group
}

func newConfigCheckCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a configuration file without contacting the platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := readFleet(s, args[0]); err != nil {
				return err
			}
			return s.printer().line(args[0] + " is valid")
		},
	}
}

func newConfigDiffCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a configuration file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			fleet, err := readFleet(s, args[0])
			if err != nil {
				return err
			}
			current, err := s.readConfig(cmd.Context())
			if err != nil {
				return err
			}
			return s.printer().differences(specifier.Diff(current.Fleet, fleet))
		},
	}
}

func newConfigApplyCommand(s *session) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the whole configuration with that of a file",
		Args:  cobra.ExactArgs(1),
	}
	addEditFlags(s, cmd, func(args []string) (edit, error) {
		fleet, err := readFleet(s, args[0])
		if err != nil {
			return edit{}, err
		}
		change := func(f *specifier.Fleet) error {
			*f = fleet
			return nil
		}
		return edit{op: "apply " + args[0], change: change}, nil
	})
	return cmd
}

func newConfigHistoryCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the changes of the configuration, latest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			records, err := readHistory(cmd.Context(), s)
			if err != nil {
				return err
			}
			if s.output == outputJSON {
				return s.printer().json(records)
			}
			rows := [][]string{{"version", "at", "author", "message", "token"}}
			for _, r := range records {
				rows = append(rows, []string{
					strconv.FormatUint(r.Version, 10), r.Change.At.UTC().Format(time.RFC3339),
					r.Change.Author, r.Change.Message, r.Change.Token,
				})
			}
			s.printer().table(rows)
			return nil
		},
	}
}

// readHistory returns the records of all changes, latest first.
func readHistory(ctx context.Context, s *session) ([]specifier.Record, error) {
	a, err := s.newApplier()
	if err != nil {
		return nil, err
	}
	current, err := a.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	records, err := a.listRecords(ctx)
	if err != nil {
		return nil, err
	}
	isCurrent := func(r specifier.Record) bool { return r.Version == current.version }
	if current.version != 0 && !slices.ContainsFunc(records, isCurrent) {
		records = append(records, specifier.Record{Version: current.version, Change: current.Change})
	}
	slices.SortFunc(records, func(a, b specifier.Record) int { return cmp.Compare(b.Version, a.Version) })
	return records, nil
}

func newConfigShowCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force in the form that apply reads",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			current, err := s.readConfig(cmd.Context())
			if err != nil {
				return err
			}
			if current.version != 0 {
				s.printer().notef("version %d by %s at %s", current.version, current.Change.Author, current.Change.At.UTC().Format(time.RFC3339))
			}
			return s.printer().json(current.Fleet)
		},
	}
}

// readFleet reads and validates a configuration file.
func readFleet(s *session, file string) (specifier.Fleet, error) {
	text, err := readFile(s, file)
	if err != nil {
		return specifier.Fleet{}, err
	}
	fleet, err := specifier.Decode(file, bytes.NewReader(text))
	if err != nil {
		return specifier.Fleet{}, invalidError("read "+file, err)
	}
	return fleet, nil
}
