// Command cardamomctl is the command line for operators.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/operator/commander"
)

// The retry policy for calls to the platform.
const (
	platformAttempts = 8
	retryPause       = 100 * time.Millisecond
)

func main() { os.Exit(int(run())) }

func run() commander.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c, err := commander.New(commander.Config{
		OpenStore:  openStore,
		Clock:      clockwork.NewRealClock(),
		Random:     rand.Reader,
		Getenv:     os.Getenv,
		In:         os.Stdin,
		Out:        os.Stdout,
		Err:        os.Stderr,
		RetryPause: retryPause,
		Attempts:   platformAttempts,
	})
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return commander.ExitFailure
	}
	return c.Run(ctx, os.Args[1:])
}
