package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const (
	benchTerm   = 10 * time.Second
	benchMargin = 2 * time.Second
	benchSpan   = 10 * time.Minute // virtual time of one run
)

// countingPlatform completes all calls of one daemon at once and counts them.
type countingPlatform struct {
	version uint64
	reads   int
	writes  int
}

// execute runs a call and returns its result, or nil if e is not a call.
func (p *countingPlatform) execute(e Effect) Event {
	switch e := e.(type) {
	case ReadSession:
		p.reads++
		return SessionRead{Host: e.Host, Outcome: OutcomeMissing}
	case WriteSession:
		p.writes++
		p.version++
		return SessionWritten{Host: e.Host, Outcome: OutcomeOK, Version: p.version}
	case ReadOwner:
		p.reads++
		return OwnerRead{Target: e.Target, Outcome: OutcomeMissing}
	case WriteOwner:
		p.writes++
		p.version++
		return OwnerWritten{Target: e.Target, Outcome: OutcomeOK, Version: p.version}
	}
	return nil
}

// simulate runs a daemon for span of virtual time and returns the number of
// targets that it gained. It fails if the daemon loses one.
func (p *countingPlatform) simulate(b *testing.B, targets int, span time.Duration) int {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	end := now.Add(span)
	s := New(Config{
		Host: "entry-0000", DataCentre: "dc-00", Nonce: "n", Term: benchTerm, Margin: benchMargin, TakeoverDelay: benchTerm,
		Jitter: 0.1, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var names []identifier.Target
	for i := range targets {
		names = append(names, identifier.Target(fmt.Sprintf("target-%05d", i)))
	}
	held := 0
	events := []Event{Wanted{Targets: names}}
	for now.Before(end) {
		next := now.Add(time.Second)
		for len(events) > 0 {
			effects := s.Reduce(events[0], now)
			events = events[1:]
			for _, e := range effects {
				switch e := e.(type) {
				case SetTimer:
					next = e.Time
				case Gained:
					held++
				case Lost:
					b.Fatalf("lost %s", e.Target)
				}
				if ev := p.execute(e); ev != nil {
					events = append(events, ev)
				}
			}
		}
		now = next
		events = append(events, TimerFired{})
	}
	return held
}

// BenchmarkRenewals counts the calls by which a daemon keeps its targets for ten
// minutes of virtual time, and measures their CPU time.
func BenchmarkRenewals(b *testing.B) {
	for _, targets := range []int{1, 4, 12, 48} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p := &countingPlatform{}
			for range b.N {
				if held := p.simulate(b, targets, benchSpan); held != targets {
					b.Fatalf("held %d targets, want %d", held, targets)
				}
			}
			seconds := float64(b.N) * benchSpan.Seconds()
			setUp := float64(b.N * targets)
			b.ReportMetric((float64(p.writes)-setUp)/seconds, "renewals/s")
			b.ReportMetric((float64(p.reads)+setUp)/float64(b.N), "set-up-calls")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-us/s")
		})
	}
}
