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

// entryKind describes a kind of entry in the configuration.
type entryKind[N ~string, E any] struct {
	// noun names one entry, such as "data-centre".
	noun string
	// columns are the keys shown by the list command.
	columns []string
	// entries returns the entries of this kind in a fleet.
	entries func(*specifier.Fleet) map[N]E
	// state returns a pointer to the state of an entry; nil if this kind has no
	// state.
	state func(*E) *specifier.State
}

func addEntryCommands(root *cobra.Command, s *session) {
	root.AddCommand(
		newEntryCommand(s, entryKind[identifier.Profile, specifier.Profile]{
			noun:    "profile",
			columns: []string{"policy", "weighs", "default-deadline", "max-deadline", "retry-budget", "spill-over", "link-share", "keep"},
			entries: func(f *specifier.Fleet) map[identifier.Profile]specifier.Profile { return f.Profiles },
		}),
		newEntryCommand(s, entryKind[identifier.Service, specifier.Service]{
			noun:    "service",
			columns: []string{"kind", "profile", "models", "non-repeatable", "class"},
			entries: func(f *specifier.Fleet) map[identifier.Service]specifier.Service { return f.Services },
		}),
		newTeamCommand(s),
		newEntryCommand(s, entryKind[identifier.Model, specifier.Model]{
			noun:    "model",
			columns: []string{"version", "adapters", "max-prompt-tokens", "max-output-tokens", "block-bytes"},
			entries: func(f *specifier.Fleet) map[identifier.Model]specifier.Model { return f.Models },
		}),
		newEntryCommand(s, entryKind[identifier.DataCentre, specifier.DataCentre]{
			noun:    "data-centre",
			columns: []string{"region", "state"},
			entries: func(f *specifier.Fleet) map[identifier.DataCentre]specifier.DataCentre { return f.DataCentres },
			state:   func(e *specifier.DataCentre) *specifier.State { return &e.State },
		}),
		newEntryCommand(s, entryKind[identifier.Host, specifier.Host]{
			noun:    "host",
			columns: []string{"data-centre", "state", "peer"},
			entries: func(f *specifier.Fleet) map[identifier.Host]specifier.Host { return f.Hosts },
			state:   func(e *specifier.Host) *specifier.State { return &e.State },
		}),
		newEntryCommand(s, entryKind[identifier.Target, specifier.Target]{
			noun:    "target",
			columns: []string{"service", "data-centre", "address", "state", "cold-limit", "warm-limit", "checks-fence"},
			entries: func(f *specifier.Fleet) map[identifier.Target]specifier.Target { return f.Targets },
			state:   func(e *specifier.Target) *specifier.State { return &e.State },
		}),
		newEntryCommand(s, entryKind[identifier.Store, specifier.Store]{
			noun:    "store",
			columns: []string{"data-centre", "address", "link-bytes-per-second", "state"},
			entries: func(f *specifier.Fleet) map[identifier.Store]specifier.Store { return f.Stores },
			state:   func(e *specifier.Store) *specifier.State { return &e.State },
		}),
	)
}

// newEntryCommand returns the command group for a kind of entry.
func newEntryCommand[N ~string, E any](s *session, k entryKind[N, E]) *cobra.Command {
	group := newGroupCommand(k.noun, "Show and change entries of kind "+k.noun)
	group.AddCommand(
		newListCommand(s, k),
		newGetCommand(s, k),
		newApplyCommand(s, k),
		newDeleteCommand(s, k),
	)
	if k.state != nil {
		group.AddCommand(
			newStateCommand(s, k, specifier.StateOut, "Stop assigning new work to a "+k.noun),
			newStateCommand(s, k, specifier.StateIn, "Assign new work to a "+k.noun+" again"),
		)
	}
	return group
}

func newListCommand[N ~string, E any](s *session, k entryKind[N, E]) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all entries",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			current, err := s.readConfig(cmd.Context())
			if err != nil {
				return err
			}
			entries := k.entries(&current.Fleet)
			if s.output == outputJSON {
				return s.printer().json(entries)
			}
			return printEntries(s.printer(), k.columns, entries)
		},
	}
}

func newGetCommand[N ~string, E any](s *session, k entryKind[N, E]) *cobra.Command {
	return &cobra.Command{
		Use:               "get NAME",
		Short:             "Show all keys of an entry",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(s, k),
		RunE: func(cmd *cobra.Command, args []string) error {
			current, err := s.readConfig(cmd.Context())
			if err != nil {
				return err
			}
			name := N(args[0])
			entry, ok := k.entries(&current.Fleet)[name]
			if !ok {
				return k.notFound(name)
			}
			if s.output == outputJSON {
				return s.printer().json(map[N]E{name: entry})
			}
			return s.printer().keyValues(entry)
		},
	}
}

func newApplyCommand[N ~string, E any](s *session, k entryKind[N, E]) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or replace entries from a JSON file of the form {NAME: {KEY: VALUE}}",
		Args:  cobra.NoArgs,
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file to read, or - for standard input")
	if err := cmd.MarkFlagRequired("file"); err != nil {
		cmd.PrintErrln(err)
	}
	addEditFlags(s, cmd, func([]string) (edit, error) {
		entries, err := readEntries[N, E](s, file)
		if err != nil {
			return edit{}, err
		}
		change := func(f *specifier.Fleet) error {
			maps.Copy(k.entries(f), entries)
			return nil
		}
		return edit{op: "apply " + file, change: change}, nil
	})
	return cmd
}

func newDeleteCommand[N ~string, E any](s *session, k entryKind[N, E]) *cobra.Command {
	cmd := &cobra.Command{
		Use:               "delete NAME",
		Short:             "Delete an entry that no other entry refers to",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(s, k),
	}
	addEditFlags(s, cmd, func(args []string) (edit, error) {
		name := N(args[0])
		change := func(f *specifier.Fleet) error {
			if _, ok := k.entries(f)[name]; !ok {
				return k.notFound(name)
			}
			delete(k.entries(f), name)
			return nil
		}
		return edit{op: fmt.Sprintf("delete %s %s", k.noun, name), change: change}, nil
	})
	return cmd
}

func newStateCommand[N ~string, E any](s *session, k entryKind[N, E], state specifier.State, short string) *cobra.Command {
	cmd := &cobra.Command{
		Use:               string(state) + " NAME",
		Short:             short,
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNames(s, k),
	}
	addEditFlags(s, cmd, func(args []string) (edit, error) {
		name := N(args[0])
		change := func(f *specifier.Fleet) error {
			entry, ok := k.entries(f)[name]
			if !ok {
				return k.notFound(name)
			}
			*k.state(&entry) = state
			k.entries(f)[name] = entry
			return nil
		}
		return edit{op: fmt.Sprintf("%s %s %s", k.noun, state, name), change: change}, nil
	})
	return cmd
}

// notFound returns an *Error for a missing entry.
func (k entryKind[N, E]) notFound(name N) *Error {
	err := errors.Newf("%s %q does not exist", k.noun, string(name))
	return newError("find "+k.noun, KindFailure, err)
}

// completeNames returns the shell completion of entry names.
func completeNames[N ~string, E any](s *session, k entryKind[N, E]) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		current, err := s.readConfig(cmd.Context())
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		var names []cobra.Completion
		for _, name := range slices.Sorted(maps.Keys(k.entries(&current.Fleet))) {
			names = append(names, string(name))
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}

// readEntries reads entries of one kind from file.
func readEntries[N ~string, E any](s *session, file string) (map[N]E, error) {
	text, err := readFile(s, file)
	if err != nil {
		return nil, err
	}
	entries, err := specifier.DecodeEntries[N, E](file, bytes.NewReader(text))
	if err != nil {
		return nil, invalidError("read "+file, err)
	}
	return entries, nil
}

// readFile reads file, or standard input if file is "-".
func readFile(s *session, file string) ([]byte, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(io.LimitReader(s.cfg.In, specifier.MaxDocumentBytes+1))
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, newError("read "+file, KindFailure, err)
	}
	return text, nil
}

// printEntries prints a table of entries with the given columns.
func printEntries[N ~string, E any](p *printer, columns []string, entries map[N]E) error {
	rows := [][]string{append([]string{"name"}, columns...)}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		text, err := json.Marshal(entries[name])
		if err != nil {
			return newError("print entries", KindFailure, err)
		}
		var members map[string]json.RawMessage
		if err := json.Unmarshal(text, &members); err != nil {
			return newError("print entries", KindFailure, err)
		}
		row := []string{string(name)}
		for _, column := range columns {
			row = append(row, formatCell(members[column]))
		}
		rows = append(rows, row)
	}
	p.table(rows)
	return nil
}
