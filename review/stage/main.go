// Command stage plays one case of the second review: it starts the relay's processes against stand-ins on loopback
// addresses, causes a disruption, and checks one rule by what callers and targets observe.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
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
	broken, err := p(s, trouble)
	return s.finish(broken, err)
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
