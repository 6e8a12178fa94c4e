package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const (
	// simStep is the step of the virtual clock and the latency of a call.
	simStep          = 10 * time.Millisecond
	targetsPerDaemon = 12
	outageDuration   = time.Minute
	// phaseLimit is the longest virtual time of one phase.
	phaseLimit = 10 * time.Minute
)

// limitedPlatform stores sessions and owners and limits the rates of reads and
// writes by token buckets.
type limitedPlatform struct {
	version  uint64
	sessions map[identifier.Host]SessionRead
	owners   map[identifier.Target]OwnerRead
	down     bool
	// readTokens and writeTokens are the numbers of calls allowed now.
	readTokens, writeTokens float64
	refused                 int
	calls                   int
}

// Limits of the platform. Unused calls accumulate for up to burstSeconds.
const (
	readsPerSecond  = 2000
	writesPerSecond = 400
	burstSeconds    = 0.1
)

func (p *limitedPlatform) refill() {
	p.readTokens = min(readsPerSecond*burstSeconds, p.readTokens+readsPerSecond*simStep.Seconds())
	p.writeTokens = min(writesPerSecond*burstSeconds, p.writeTokens+writesPerSecond*simStep.Seconds())
}

func (p *limitedPlatform) allow(budget *float64) bool {
	p.calls++
	if p.down || *budget < 1 {
		p.refused++
		return false
	}
	*budget--
	return true
}

// execute runs a call and returns its result, or nil if e is not a call.
func (p *limitedPlatform) execute(e Effect) Event {
	switch e := e.(type) {
	case ReadSession:
		if !p.allow(&p.readTokens) {
			return SessionRead{Host: e.Host, Outcome: OutcomeFailed}
		}
		if found, ok := p.sessions[e.Host]; ok {
			return found
		}
		return SessionRead{Host: e.Host, Outcome: OutcomeMissing}
	case WriteSession:
		if !p.allow(&p.writeTokens) {
			return SessionWritten{Host: e.Host, Outcome: OutcomeFailed}
		}
		if p.sessions[e.Host].Version != e.Expect {
			return SessionWritten{Host: e.Host, Outcome: OutcomeConflict}
		}
		p.version++
		p.sessions[e.Host] = SessionRead{Host: e.Host, Outcome: OutcomeOK, Version: p.version, Session: e.Session}
		return SessionWritten{Host: e.Host, Outcome: OutcomeOK, Version: p.version}
	case ReadOwner:
		if !p.allow(&p.readTokens) {
			return OwnerRead{Target: e.Target, Outcome: OutcomeFailed}
		}
		if found, ok := p.owners[e.Target]; ok {
			return found
		}
		return OwnerRead{Target: e.Target, Outcome: OutcomeMissing}
	case WriteOwner:
		if !p.allow(&p.writeTokens) {
			return OwnerWritten{Target: e.Target, Outcome: OutcomeFailed}
		}
		if p.owners[e.Target].Version != e.Expect {
			return OwnerWritten{Target: e.Target, Outcome: OutcomeConflict}
		}
		p.version++
		p.owners[e.Target] = OwnerRead{Target: e.Target, Outcome: OutcomeOK, Version: p.version, Owner: e.Owner}
		return OwnerWritten{Target: e.Target, Outcome: OutcomeOK, Version: p.version}
	}
	return nil
}

// simDaemon is a simulated daemon. It processes events in its next step.
type simDaemon struct {
	state  *State
	wanted []identifier.Target
	wakeAt time.Time
	events []Event
}

func (d *simDaemon) step(p *limitedPlatform, now time.Time) {
	if !now.Before(d.wakeAt) {
		d.events = append(d.events, TimerFired{})
	}
	events := d.events
	d.events = nil
	for _, ev := range events {
		for _, e := range d.state.Reduce(ev, now) {
			if wake, ok := e.(SetTimer); ok {
				d.wakeAt = wake.Time
			}
			if result := p.execute(e); result != nil {
				d.events = append(d.events, result)
			}
		}
	}
}

func (d *simDaemon) ownsAll(now time.Time) bool {
	for _, name := range d.wanted {
		if _, _, ok := d.state.Held(name, now); !ok {
			return false
		}
	}
	return true
}

// simFleet simulates daemons that share one platform.
type simFleet struct {
	daemons  []*simDaemon
	platform *limitedPlatform
	now      time.Time
}

func newSimFleet(n int, term time.Duration) *simFleet {
	f := &simFleet{
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		platform: &limitedPlatform{sessions: map[identifier.Host]SessionRead{}, owners: map[identifier.Target]OwnerRead{}},
	}
	for i := range n {
		d := &simDaemon{state: New(Config{
			Host: identifier.Host(fmt.Sprintf("entry-%04d", i)), DataCentre: "dc", Nonce: "n", Term: term, Margin: term / 5,
			TakeoverDelay: term, Jitter: 0.1, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})}
		for j := range targetsPerDaemon {
			d.wanted = append(d.wanted, identifier.Target(fmt.Sprintf("target-%05d", i*targetsPerDaemon+j)))
		}
		d.events = []Event{Wanted{Targets: d.wanted}}
		f.daemons = append(f.daemons, d)
	}
	return f
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		f.platform.refill()
		for _, d := range f.daemons {
			d.step(f.platform, f.now)
		}
	}
}

// countOwningAll counts the daemons that own all their wanted targets.
func (f *simFleet) countOwningAll() int {
	n := 0
	for _, d := range f.daemons {
		if d.ownsAll(f.now) {
			n++
		}
	}
	return n
}

// runUntilAllOwn runs until all daemons own all their wanted targets and returns
// how long that took, or at least phaseLimit.
func (f *simFleet) runUntilAllOwn() time.Duration {
	began := f.now
	for f.now.Sub(began) < phaseLimit {
		f.run(100 * time.Millisecond)
		if f.countOwningAll() == len(f.daemons) {
			break
		}
	}
	return f.now.Sub(began)
}

// BenchmarkFleetStartAndRecovery measures in virtual time how long the daemons
// of a fleet take to own their targets when all start at once and after an outage
// of the platform.
func BenchmarkFleetStartAndRecovery(b *testing.B) {
	for _, term := range []time.Duration{10 * time.Second, 30 * time.Second} {
		for _, daemons := range []int{8, 100, 300, 1000} {
			b.Run(fmt.Sprintf("term=%s/daemons=%d", term, daemons), func(b *testing.B) {
				for range b.N {
					f := newSimFleet(daemons, term)
					b.ReportMetric(f.runUntilAllOwn().Seconds(), "s-to-start")
					f.run(time.Minute)
					f.platform.calls, f.platform.refused = 0, 0
					f.run(time.Minute)
					b.ReportMetric(float64(f.platform.calls)/60, "calls/s-steady")
					b.ReportMetric(float64(f.platform.refused)/60, "refused/s-steady")
					b.ReportMetric(float64(f.countOwningAll()), "holders-steady")
					f.platform.down = true
					f.run(outageDuration)
					b.ReportMetric(float64(f.platform.refused)/60, "calls/s-outage")
					f.platform.down = false
					b.ReportMetric(f.runUntilAllOwn().Seconds(), "s-to-return")
				}
			})
		}
	}
}
