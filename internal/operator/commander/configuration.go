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
	group := newGroup("config", "Show and change the configuration as a whole")
	group.AddCommand(
		newCheckCommand(s),
		newDiffCommand(s),
		newApplyAllCommand(s),
		newHistoryCommand(s),
		newShowCommand(s),
	)
	return group
}

func newCheckCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file without asking the platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := readFleet(s, args[0]); err != nil {
				return err
			}
			return s.printer().done(args[0] + " is valid")
		},
	}
}

func newDiffCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a configuration file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			fleet, err := readFleet(s, args[0])
			if err != nil {
				return err
			}
			now, err := s.readCurrent(cmd.Context())
			if err != nil {
				return err
			}
			return s.printer().differences(specifier.Diff(now.Fleet, fleet))
		},
	}
}

func newApplyAllCommand(s *session) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the whole configuration by that of a file",
		Args:  cobra.ExactArgs(1),
	}
	addEdit(s, cmd, func(args []string) (edit, error) {
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

func newHistoryCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the changes of the configuration, the latest one first",
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

// readHistory returns the records of all changes, the latest one first.
func readHistory(ctx context.Context, s *session) ([]specifier.Record, error) {
	a, err := s.newApplier()
	if err != nil {
		return nil, err
	}
	now, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	records, err := a.history(ctx)
	if err != nil {
		return nil, err
	}
	isNow := func(r specifier.Record) bool { return r.Version == now.version }
	if now.version != 0 && !slices.ContainsFunc(records, isNow) {
		records = append(records, specifier.Record{Version: now.version, Change: now.Change})
	}
	slices.SortFunc(records, func(a, b specifier.Record) int { return cmp.Compare(b.Version, a.Version) })
	return records, nil
}

func newShowCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the configuration in force as a file that can be applied",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			now, err := s.readCurrent(cmd.Context())
			if err != nil {
				return err
			}
			if now.version != 0 {
				s.printer().note("version %d by %s at %s", now.version, now.Change.Author, now.Change.At.UTC().Format(time.RFC3339))
			}
			return s.printer().json(now.Fleet)
		},
	}
}

// readFleet reads a valid configuration from file.
func readFleet(s *session, file string) (specifier.Fleet, error) {
	text, err := readFile(s, file)
	if err != nil {
		return specifier.Fleet{}, err
	}
	fleet, err := specifier.Decode(file, bytes.NewReader(text))
	if err != nil {
		return specifier.Fleet{}, invalid("read "+file, err)
	}
	return fleet, nil
}
