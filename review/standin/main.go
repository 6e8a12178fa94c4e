// Command standin runs the cases of the review that are scripts: it starts relays as processes, stand-ins
// of the platform, workers and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. Each returns whether the rule held, or an error if it couldn't run.
var scenarios = map[string]func(rec *record, trouble bool) (held bool, err error){
	"blip":      runBlip,
	"isolate":   runIsolate,
	"odd-bytes": runOddBytes,
	"odd-entry": runOddEntry,
	"uploads":   runUploads,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	held, err := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		rec.write("case", "not run", "error", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		code = exitNotRun
	case !held:
		code = exitBroken
	}
	rec.close()
	os.Exit(code)
}
