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
	// KindInvalid reports a faulty Config or settings file.
	KindInvalid Kind = "invalid"
	// KindUnreadable reports a settings file that can't be read.
	KindUnreadable Kind = "unreadable"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures the command line.
type Config struct {
	Clock clockwork.Clock
	// Out receives what --check prints, Log the daemon's log in JSON.
	Out io.Writer
	Log io.Writer
}

// New returns the root command.
func New(cfg Config) (*cobra.Command, error) {
	if cfg.Clock == nil || cfg.Out == nil || cfg.Log == nil {
		return nil, newError("new command", KindInvalid, errors.New("clock, output and log are needed"))
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
			settings, err := read(path)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintf(cfg.Out, "%s: the settings are valid\n", path)
				return err
			}
			return serve(c.Context(), cfg, settings)
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

func read(path string) (starter.Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return starter.Settings{}, newError("open settings", KindUnreadable, err)
	}
	defer func() { _ = f.Close() }()
	return starter.Decode(path, f)
}

func serve(ctx context.Context, cfg Config, settings starter.Settings) error {
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

// randomSeed differs in each process, so that restarted daemons don't repeat
// their tokens and jitter.
func randomSeed() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // It never fails.
	return binary.LittleEndian.Uint64(raw[:])
}

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
