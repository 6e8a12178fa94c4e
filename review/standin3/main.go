// Command standin3 runs the scripts of the third review: it starts hosts as processes, with stand-ins of the platform, of
// targets and of callers on loopback addresses, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a whole run.
const maxRun = 115 * time.Second

// run is what all cases get.
type run struct {
	// trouble is false if the disruption is left out.
	trouble bool
	daemon  string
	// dir holds settings and logs, and is removed at the end.
	dir    string
	record *recorder
	net    *network
}

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the names of cases to what runs them.
var cases = map[string]func(context.Context, *run) error{
	"odd-entry":     runOddEntry,
	"token-count":   runTokenCount,
	"trailer-names": runTrailerNames,
}

func main() {
	trouble := flag.Int("trouble", 1, "0 leaves out the disruption")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	daemon := flag.String("daemon", "target/cardamomd", "binary of the daemon")
	flag.Parse()
	os.Exit(execute(flag.Arg(0), *trouble != 0, *record, *daemon))
}

func execute(name string, trouble bool, recordPath, daemon string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	binary, err := filepath.Abs(daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	record.printf("case %s, disruption %v", name, trouble)
	err = play(ctx, &run{trouble: trouble, daemon: binary, dir: dir, record: record, net: newNetwork()})
	switch {
	case err == nil:
		record.printf("held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.printf("broken: %v", err)
		return exitBroken
	}
	record.printf("not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
