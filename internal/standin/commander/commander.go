// Package commander builds the command line of cardamom-standin.
package commander

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports an invalid configuration, flag or file.
	KindInvalid Kind = "invalid"
	// KindListen reports a failure to listen on an address.
	KindListen Kind = "listen"
	// KindViolation reports that a soak found violated guarantees.
	KindViolation Kind = "broken"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures the command line.
type Config struct {
	Clock clockwork.Clock
	// Out receives the standard output of the commands.
	Out io.Writer
}

// New returns the root command, or an Error of KindInvalid.
func New(cfg Config) (*cobra.Command, error) {
	if cfg.Clock == nil || cfg.Out == nil {
		return nil, newError("create command", KindInvalid, errors.New("the clock or the output is missing"))
	}
	root := &cobra.Command{
		Use:           "cardamom-standin",
		Short:         "Run stand-ins for the systems around cardamomscale",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(cfg.Out)
	root.AddCommand(newRun(cfg), newDemo(cfg), newBench(cfg), newReplay(cfg), newSoak(cfg))
	return root, nil
}

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
