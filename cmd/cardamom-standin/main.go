// Command cardamom-standin runs stand-ins for the systems around cardamomscale, and
// the demo, benchmark, replay and soak commands that use them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/standin/commander"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cardamom-standin:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root, err := commander.New(commander.Config{Clock: clockwork.NewRealClock(), Out: os.Stdout})
	if err != nil {
		return err
	}
	return root.ExecuteContext(ctx)
}
