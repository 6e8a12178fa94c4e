// Package commander builds the command line of the daemon.
package commander

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/entry/daemon"
	relay "cardamomscale.example/cardamomscale/internal/relay/commander"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindInvalid reports an incomplete Config or an error in the definition of the
	// command.
	KindInvalid Kind = "invalid"
	// KindUnreadable reports a settings file that cannot be opened.
	KindUnreadable Kind = "unreadable"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures the command line.
type Config struct {
	Clock clockwork.Clock
	// Out receives the output of commands, such as that of --check.
	Out io.Writer
	// Log receives the daemon's log in JSON.
	Log io.Writer
}

// New returns the root command, which runs a daemon, with the relay's commands below it.
func New(cfg Config) (*cobra.Command, error) {
	if cfg.Clock == nil || cfg.Out == nil || cfg.Log == nil {
		return nil, newError("new command", KindInvalid, errors.New("clock, output and log are required"))
	}
	var path string
	var check bool
	root := &cobra.Command{
		Use:           "cardamomd --config FILE",
		Short:         "Serve callers on one entry host",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := readSettings(path)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cfg.Out, "%s: the settings are valid\n", path)
				return err
			}
			return runDaemon(c.Context(), cfg, settings)
		},
	}
	root.Flags().StringVar(&path, "config", "", "settings file in JSON")
	root.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	if err := root.MarkFlagRequired("config"); err != nil {
		return nil, newError("new command", KindInvalid, err)
	}
	root.AddCommand(relay.New(relay.Config{Out: cfg.Out}))
	return root, nil
}

// readSettings opens and decodes the settings file.
func readSettings(path string) (starter.Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return starter.Settings{}, newError("open settings", KindUnreadable, err)
	}
	defer func() { _ = f.Close() }()
	return starter.Decode(path, f)
}

// runDaemon runs the daemon until ctx ends or it fails.
func runDaemon(ctx context.Context, cfg Config, settings starter.Settings) error {
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "cardamomd", Level: hclog.LevelFromString(string(settings.LogLevel)), Output: cfg.Log, JSONFormat: true,
	})
	d, err := daemon.New(daemon.Config{Settings: settings, Clock: cfg.Clock, Logger: logger, Seed: randomSeed()})
	if err != nil {
		return err
	}
	logger.Info("serving", "host", string(settings.Host), "data-centre", string(settings.DataCentre), "listen", settings.Listen.String())
	err = d.Run(ctx)
	logger.Info("stopped", "host", string(settings.Host))
	return err
}

// randomSeed returns a new seed for each process, so that a restarted daemon does
// not repeat its tokens and jitter.
func randomSeed() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // rand.Read never returns an error.
	return binary.LittleEndian.Uint64(raw[:])
}

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
