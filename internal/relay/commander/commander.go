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
	// Out receives the log and the output of --check.
	Out io.Writer
}

const (
	// memoryLimitShare is the share of the host's memory used as soft memory limit.
	memoryLimitShare = 0.6
	// gcPercent is the heap growth in percent that triggers a collection.
	gcPercent = 50
)

// flags holds the values of the command's flags.
type flags struct {
	settingsPath string
	check        bool
	metricsPort  uint16
	learnCosts   bool
}

// New returns the relay command.
func New(cfg Config) *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Serve callers on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readSettings(f.settingsPath)
			if err != nil {
				return err
			}
			if f.check {
				_, err := fmt.Fprintf(cfg.Out, "%s: the settings are valid\n", f.settingsPath)
				return err
			}
			return serve(cmd.Context(), cfg, f, settings)
		},
	}
	cmd.Flags().StringVar(&f.settingsPath, "settings", os.Getenv(decoder.SettingsVariable), "settings file of the platform")
	cmd.Flags().BoolVar(&f.check, "check", false, "check the settings and exit")
	cmd.Flags().Uint16Var(&f.metricsPort, "metrics-port", 0, "port for metrics; 0 serves none")
	cmd.Flags().BoolVar(&f.learnCosts, "learn-costs", false, "learn what requests cost where targets state the pace of their machines")
	return cmd
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
	runnerConfig := runner.Config{
		Settings: settings, Clock: timer.BootClock{}, Logger: logger, Boot: boot, Seed: rand.Uint64(), DroppedLines: journal.Dropped, LearnCosts: f.learnCosts,
	}
	if f.metricsPort != 0 {
		runnerConfig.Metrics = netip.AddrPortFrom(settings.Address, f.metricsPort)
	}
	r, err := runner.New(runnerConfig)
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
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	g.Go(func() error {
		for {
			select {
			case <-stopped:
				return nil
			case <-hangups:
				reload(f.settingsPath, settings, logger.Info)
			}
		}
	})
	return g.Wait()
}

// reload reads the settings again and logs whether the platform's address has changed.
// It applies nothing: settings stay fixed until the process ends.
func reload(path string, before descriptor.Settings, log func(string, ...any)) {
	after, err := readSettings(path)
	if err != nil {
		log("settings not reloaded", "error", err.Error())
		return
	}
	log("settings reloaded", "platform", after.Platform.String(), "platform-changed", after.Platform != before.Platform)
}
