package commander

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// maxKeyBytes is the maximum length of a bearer key.
const maxKeyBytes = 4096

func newTeamCommand(s *session) *cobra.Command {
	group := newEntryCommand(s, entryKind[identifier.Team, specifier.Team]{
		noun:    "team",
		columns: []string{"weight", "requests-per-second", "tokens-per-second", "services"},
		entries: func(f *specifier.Fleet) map[identifier.Team]specifier.Team { return f.Teams },
	})
	group.AddCommand(newTeamHashCommand(s))
	return group
}

func newTeamHashCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read a bearer key from standard input and print its hash for key-hashes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key, err := readKey(s.cfg.In)
			if err != nil {
				return err
			}
			return s.printer().line(hasher.HashKey(key))
		},
	}
}

// readKey reads a bearer key without its trailing line break.
func readKey(r io.Reader) (string, error) {
	const op = "read key"
	text, err := io.ReadAll(io.LimitReader(r, maxKeyBytes+1))
	if err != nil {
		return "", newError(op, KindFailure, err)
	}
	key := strings.TrimRight(string(text), "\r\n")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return "", newError(op, KindUsage, errors.Newf("standard input has no key of 1 to %d bytes without spaces", maxKeyBytes))
	}
	return key, nil
}
