package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// collection is one kind of entry of the configuration.
type collection[N ~string, E any] struct {
	// noun names one entry, such as "data-centre".
	noun string
	// columns are the keys that a list shows.
	columns []string
	// entries returns the entries of a fleet.
	entries func(*specifier.Fleet) map[N]E
	// state returns the state of an entry; nil for entries without one.
	state func(*E) *specifier.State
}

func addEntryCommands(root *cobra.Command, s *session) {
	root.AddCommand(
		newEntryCommand(s, collection[identifier.Profile, specifier.Profile]{
			noun:    "profile",
			columns: []string{"policy", "weighs", "default-deadline", "max-deadline", "retry-budget", "spill-over", "link-share", "keep"},
			entries: func(f *specifier.Fleet) map[identifier.Profile]specifier.Profile { return f.Profiles },
		}),
		newEntryCommand(s, collection[identifier.Service, specifier.Service]{
			noun:    "service",
			columns: []string{"kind", "profile", "models", "non-repeatable", "class"},
			entries: func(f *specifier.Fleet) map[identifier.Service]specifier.Service { return f.Services },
		}),
		newTeamCommand(s),
		newEntryCommand(s, collection[identifier.Model, specifier.Model]{
			noun:    "model",
			columns: []string{"version", "adapters", "max-prompt-tokens", "max-output-tokens", "block-bytes"},
			entries: func(f *specifier.Fleet) map[identifier.Model]specifier.Model { return f.Models },
		}),
		newEntryCommand(s, collection[identifier.DataCentre, specifier.DataCentre]{
			noun:    "data-centre",
			columns: []string{"region", "state"},
			entries: func(f *specifier.Fleet) map[identifier.DataCentre]specifier.DataCentre { return f.DataCentres },
			state:   func(e *specifier.DataCentre) *specifier.State { return &e.State },
		}),
		newEntryCommand(s, collection[identifier.Host, specifier.Host]{
			noun:    "host",
			columns: []string{"data-centre", "state", "peer"},
			entries: func(f *specifier.Fleet) map[identifier.Host]specifier.Host { return f.Hosts },
			state:   func(e *specifier.Host) *specifier.State { return &e.State },
		}),
		newEntryCommand(s, collection[identifier.Target, specifier.Target]{
			noun:    "target",
			columns: []string{"service", "data-centre", "address", "state", "cold-limit", "warm-limit", "checks-fence"},
			entries: func(f *specifier.Fleet) map[identifier.Target]specifier.Target { return f.Targets },
			state:   func(e *specifier.Target) *specifier.State { return &e.State },
		}),
		newEntryCommand(s, collection[identifier.Store, specifier.Store]{
			noun:    "store",
			columns: []string{"data-centre", "address", "link-bytes-per-second", "state"},
			entries: func(f *specifier.Fleet) map[identifier.Store]specifier.Store { return f.Stores },
			state:   func(e *specifier.Store) *specifier.State { return &e.State },
		}),
	)
}

// newEntryCommand returns the commands of one kind of entry.
func newEntryCommand[N ~string, E any](s *session, c collection[N, E]) *cobra.Command {
	group := newGroup(c.noun, "Show and change entries of kind "+c.noun)
	group.AddCommand(
		newListCommand(s, c),
		newGetCommand(s, c),
		newApplyCommand(s, c),
		newDeleteCommand(s, c),
	)
	if c.state != nil {
		group.AddCommand(
			newStateCommand(s, c, specifier.StateOut, "Give no new work to a "+c.noun),
			newStateCommand(s, c, specifier.StateIn, "Give work to a "+c.noun+" again"),
		)
	}
	return group
}

func newListCommand[N ~string, E any](s *session, c collection[N, E]) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all entries",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			now, err := s.readCurrent(cmd.Context())
			if err != nil {
				return err
			}
			entries := c.entries(&now.Fleet)
			if s.output == outputJSON {
				return s.printer().json(entries)
			}
			return printEntries(s.printer(), c.columns, entries)
		},
	}
}

func newGetCommand[N ~string, E any](s *session, c collection[N, E]) *cobra.Command {
	return &cobra.Command{
		Use:               "get NAME",
		Short:             "Show one entry with all its keys",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(s, c),
		RunE: func(cmd *cobra.Command, args []string) error {
			now, err := s.readCurrent(cmd.Context())
			if err != nil {
				return err
			}
			name := N(args[0])
			entry, ok := c.entries(&now.Fleet)[name]
			if !ok {
				return c.missing(name)
			}
			if s.output == outputJSON {
				return s.printer().json(map[N]E{name: entry})
			}
			return s.printer().members(entry)
		},
	}
}

func newApplyCommand[N ~string, E any](s *session, c collection[N, E]) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or replace the entries of a JSON file of the form {NAME: {KEY: VALUE}}",
		Args:  cobra.NoArgs,
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file to read, - for the standard input")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		cmd.PrintErrln(err)
	}
	addEdit(s, cmd, func([]string) (edit, error) {
		entries, err := readEntries[N, E](s, file)
		if err != nil {
			return edit{}, err
		}
		change := func(f *specifier.Fleet) error {
			maps.Copy(c.entries(f), entries)
			return nil
		}
		return edit{op: "apply " + file, change: change}, nil
	})
	return cmd
}

func newDeleteCommand[N ~string, E any](s *session, c collection[N, E]) *cobra.Command {
	cmd := &cobra.Command{
		Use:               "delete NAME",
		Short:             "Delete one entry that no other entry names",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(s, c),
	}
	addEdit(s, cmd, func(args []string) (edit, error) {
		name := N(args[0])
		change := func(f *specifier.Fleet) error {
			if _, ok := c.entries(f)[name]; !ok {
				return c.missing(name)
			}
			delete(c.entries(f), name)
			return nil
		}
		return edit{op: fmt.Sprintf("delete %s %s", c.noun, name), change: change}, nil
	})
	return cmd
}

func newStateCommand[N ~string, E any](s *session, c collection[N, E], state specifier.State, short string) *cobra.Command {
	cmd := &cobra.Command{
		Use:               string(state) + " NAME",
		Short:             short,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(s, c),
	}
	addEdit(s, cmd, func(args []string) (edit, error) {
		name := N(args[0])
		change := func(f *specifier.Fleet) error {
			entry, ok := c.entries(f)[name]
			if !ok {
				return c.missing(name)
			}
			*c.state(&entry) = state
			c.entries(f)[name] = entry
			return nil
		}
		return edit{op: fmt.Sprintf("%s %s %s", c.noun, state, name), change: change}, nil
	})
	return cmd
}

// missing reports that there is no entry called name.
func (c collection[N, E]) missing(name N) *Error {
	err := errors.Newf("%s %q does not exist", c.noun, string(name))
	return failure("find "+c.noun, KindFailure, err)
}

// completeNames completes the names of existing entries.
func completeNames[N ~string, E any](s *session, c collection[N, E]) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		now, err := s.readCurrent(cmd.Context())
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		var names []cobra.Completion
		for _, name := range slices.Sorted(maps.Keys(c.entries(&now.Fleet))) {
			names = append(names, string(name))
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}

// readEntries reads the entries of file.
func readEntries[N ~string, E any](s *session, file string) (map[N]E, error) {
	text, err := readFile(s, file)
	if err != nil {
		return nil, err
	}
	entries, err := specifier.DecodeEntries[N, E](file, bytes.NewReader(text))
	if err != nil {
		return nil, invalid("read "+file, err)
	}
	return entries, nil
}

// readFile reads file, or the standard input for "-".
func readFile(s *session, file string) ([]byte, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(s.cfg.In, specifier.MaxDocumentBytes+1))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, failure("read "+file, KindFailure, err)
	}
	return text, nil
}

// printEntries prints a table of entries with the columns named.
func printEntries[N ~string, E any](p *printer, columns []string, entries map[N]E) error {
	rows := [][]string{append([]string{"name"}, columns...)}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		text, err := json.Marshal(entries[name])
		if err != nil {
			return failure("print entries", KindFailure, err)
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(text, &members); err != nil {
			return failure("print entries", KindFailure, err)
		}
		row := []string{string(name)}
		for _, column := range columns {
			row = append(row, cell(members[column]))
		}
		rows = append(rows, row)
	}
	p.table(rows)
	return nil
}
