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

// maxKeyBytes bounds the length of a bearer key.
const maxKeyBytes = 4096

func newTeamCommand(s *session) *cobra.Command {
	group := newEntryCommand(s, collection[identifier.Team, specifier.Team]{
		noun:    "team",
		columns: []string{"weight", "requests-per-second", "tokens-per-second", "services"},
		entries: func(f *specifier.Fleet) map[identifier.Team]specifier.Team { return f.Teams },
	})
	group.AddCommand(newHashCommand(s))
	return group
}

func newHashCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read a bearer key from the standard input and show its hash for key-hashes",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			key, err := readKey(s.cfg.In)
			if err != nil {
				return err
			}
			return s.printer().done(hasher.HashKey(key))
		},
	}
}

// readKey reads a bearer key without the end of its line.
func readKey(r io.Reader) (string, error) {
	const op = "read key"
	text, err := io.ReadAll(io.LimitReader(r, maxKeyBytes+1))
	if err != nil {
		return "", failure(op, KindFailure, err)
	}
	key := strings.TrimRight(string(text), "\r\n")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return "", failure(op, KindUsage, errors.Newf("standard input has no key of 1 to %d bytes without spaces", maxKeyBytes))
	}
	return key, nil
}
