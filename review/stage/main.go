// Command stage plays one case of the second review: it starts the relay's processes against stand-ins on loopback
// addresses, causes a disruption, and checks one rule by what callers and targets observe.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It returns whether the rule was broken, or an error if the case could not run.
type play func(s *stage, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	binary := flag.String("daemon", "target/cardamomd", "the daemon's program")
	keep := flag.String("logs", "", "folder that keeps the logs of the hosts; none by default")
	flag.Parse()
	p, ok := plays[*name]
	if !ok {
		var names []string
		for known := range plays {
			names = append(names, known)
		}
		slices.Sort(names)
		fmt.Fprintln(os.Stderr, "stage: unknown case, want one of", strings.Join(names, ", "))
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newStage(*binary, *record, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitNotRun
	}
	s.note("case %s, with the disruption: %v", *name, trouble)
	s.endAtSignal()
	broken, err := p(s, trouble)
	return s.finish(broken, err)
}

// maxCaseTime bounds a case.
const maxCaseTime = 115 * time.Second

// endAtSignal ends all processes and the case at a signal, or if the case takes too long.
func (s *stage) endAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxCaseTime):
		case <-s.closed:
			return
		}
		os.Exit(s.finish(false, errors.New("the case was ended before its time")))
	}()
}

// finish ends all processes, writes the outcome and returns the exit code.
func (s *stage) finish(broken bool, err error) int {
	s.close()
	code := exitHeld
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		s.note("the rule was broken")
		code = exitBroken
	default:
		s.note("the rule held")
	}
	if err := errors.Join(s.record.Flush(), s.recordFile.Close(), os.RemoveAll(s.dir)); err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitNotRun
	}
	return code
}
