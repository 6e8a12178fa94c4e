// Command cardamomd is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	// Ignores SIGHUP during initialisation, so that a reload signal that arrives
	// before the settings are read does not end the daemon.
	_ "cardamomscale.example/cardamomscale/internal/core/shielder"
	"cardamomscale.example/cardamomscale/internal/entry/commander"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cardamomd:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root, err := commander.New(commander.Config{Clock: clockwork.NewRealClock(), Out: os.Stdout, Log: os.Stderr})
	if err != nil {
		return err
	}
	return root.ExecuteContext(ctx)
}
