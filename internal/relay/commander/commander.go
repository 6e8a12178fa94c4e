// Package commander builds the command that runs the relay on the users' platform.
package commander

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/journaler"
	"cardamomscale.example/cardamomscale/internal/relay/runner"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/decoder"
)

// Kind classifies failures of this package.
type Kind string

// KindUnreadable reports a settings file that can't be read.
const KindUnreadable Kind = "unreadable"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures the command.
type Config struct {
	// Out receives what --check prints and the log.
	Out io.Writer
}

const (
	// memoryLimitShare is the part of a host's memory that the process aims to stay under.
	memoryLimitShare = 0.6
	// gcPercent is the growth of the heap, in percent, at which it is collected.
	gcPercent = 50
)

// flags are the command's options.
type flags struct {
	settingsPath string
	check        bool
	metricsPort  uint16
}

// New returns the command.
func New(cfg Config) *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:   "relay",
		Short: "Serve callers on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			settings, err := readSettings(f.settingsPath)
			if err != nil {
				return err
			}
			if f.check {
				_, err := fmt.Fprintf(cfg.Out, "%s: the settings are valid\n", f.settingsPath)
				return err
			}
			return serve(c.Context(), cfg, f, settings)
		},
	}
	c.Flags().StringVar(&f.settingsPath, "settings", os.Getenv(decoder.SettingsVariable), "settings file of the platform")
	c.Flags().BoolVar(&f.check, "check", false, "check the settings and exit")
	c.Flags().Uint16Var(&f.metricsPort, "metrics-port", 0, "port for metrics; 0 serves none")
	return c
}

func readSettings(path string) (descriptor.Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return descriptor.Settings{}, &Error{failer.Detail[Kind]{Op: "read settings", Kind: KindUnreadable, Err: err}}
	}
	return decoder.Settings(raw)
}

func serve(ctx context.Context, cfg Config, f flags, settings descriptor.Settings) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB) * (1 << 20)))
	journal := journaler.New(cfg.Out)
	logger := journal.Logger("relay")
	boot := time.Now().UnixNano()
	rc := runner.Config{
		Settings: settings, Clock: timer.BootClock{}, Logger: logger, Boot: boot, Seed: rand.Uint64(), DroppedLines: journal.Dropped,
	}
	if f.metricsPort != 0 {
		rc.Metrics = netip.AddrPortFrom(settings.Address, f.metricsPort)
	}
	r, err := runner.New(rc)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return journal.Run(stopped) })
	g.Go(func() error {
		defer close(stopped)
		logger.Info("started", "host", settings.Host, "data-centre", settings.DataCentre, "callers", settings.Callers.String(), "boot", boot)
		err := r.Run(ctx)
		logger.Info("stopped", "host", settings.Host)
		return err
	})
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	g.Go(func() error {
		for {
			select {
			case <-stopped:
				return nil
			case <-hups:
				reload(f.settingsPath, settings, logger.Info)
			}
		}
	})
	return g.Wait()
}

// reload reads the settings again. They name the process's own place and bounds,
// which hold until its end; a difference is logged.
func reload(path string, before descriptor.Settings, log func(string, ...any)) {
	after, err := readSettings(path)
	if err != nil {
		log("settings not reloaded", "error", err.Error())
		return
	}
	log("settings reloaded", "platform", after.Platform.String(), "platform-changed", after.Platform != before.Platform)
}
