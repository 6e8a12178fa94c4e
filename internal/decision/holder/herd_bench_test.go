package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const (
	// herdStep is the resolution of the virtual time and the delay of a call.
	herdStep = 10 * time.Millisecond
	// herdTargets is the number of targets of one daemon.
	herdTargets = 12
	// herdOutage is the length of the platform's outage.
	herdOutage = time.Minute
	// herdLimit bounds one phase in virtual time.
	herdLimit = 10 * time.Minute
)

// herdPlatform holds sessions and owners under limits on reads and writes.
type herdPlatform struct {
	version  uint64
	sessions map[identifier.Host]SessionRead
	owners   map[identifier.Target]OwnerRead
	down     bool
	// reads and writes are the calls that may be made now.
	reads, writes float64
	refused       int
	calls         int
}

// Limits of the platform in calls per second, and the seconds that they save up.
const (
	herdReads  = 2000
	herdWrites = 400
	herdSaved  = 0.1
)

func (p *herdPlatform) step() {
	p.reads = min(herdReads*herdSaved, p.reads+herdReads*herdStep.Seconds())
	p.writes = min(herdWrites*herdSaved, p.writes+herdWrites*herdStep.Seconds())
}

func (p *herdPlatform) allow(budget *float64) bool {
	p.calls++
	if p.down || *budget < 1 {
		p.refused++
		return false
	}
	*budget--
	return true
}

// answer returns the event that answers e, or nil.
func (p *herdPlatform) answer(e Effect) Event {
	switch e := e.(type) {
	case ReadSession:
		if !p.allow(&p.reads) {
			return SessionRead{Host: e.Host, Outcome: OutcomeFailed}
		}
		if found, ok := p.sessions[e.Host]; ok {
			return found
		}
		return SessionRead{Host: e.Host, Outcome: OutcomeMissing}
	case WriteSession:
		if !p.allow(&p.writes) {
			return SessionWritten{Host: e.Host, Outcome: OutcomeFailed}
		}
		if p.sessions[e.Host].Version != e.Expect {
			return SessionWritten{Host: e.Host, Outcome: OutcomeConflict}
		}
		p.version++
		p.sessions[e.Host] = SessionRead{Host: e.Host, Outcome: OutcomeOK, Version: p.version, Session: e.Session}
		return SessionWritten{Host: e.Host, Outcome: OutcomeOK, Version: p.version}
	case ReadOwner:
		if !p.allow(&p.reads) {
			return OwnerRead{Target: e.Target, Outcome: OutcomeFailed}
		}
		if found, ok := p.owners[e.Target]; ok {
			return found
		}
		return OwnerRead{Target: e.Target, Outcome: OutcomeMissing}
	case WriteOwner:
		if !p.allow(&p.writes) {
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

// herdDaemon is one daemon with the events that reach it next.
type herdDaemon struct {
	state  *State
	wanted []identifier.Target
	wake   time.Time
	events []Event
}

func (d *herdDaemon) step(p *herdPlatform, now time.Time) {
	if !now.Before(d.wake) {
		d.events = append(d.events, Woken{})
	}
	events := d.events
	d.events = nil
	for _, ev := range events {
		for _, e := range d.state.Reduce(ev, now) {
			if wake, ok := e.(WakeAt); ok {
				d.wake = wake.Time
			}
			if answer := p.answer(e); answer != nil {
				d.events = append(d.events, answer)
			}
		}
	}
}

func (d *herdDaemon) holdsAll(now time.Time) bool {
	for _, name := range d.wanted {
		if _, _, ok := d.state.Held(name, now); !ok {
			return false
		}
	}
	return true
}

// herd is all daemons of a fleet before one platform.
type herd struct {
	daemons  []*herdDaemon
	platform *herdPlatform
	now      time.Time
}

func newHerd(n int, term time.Duration) *herd {
	h := &herd{
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		platform: &herdPlatform{sessions: map[identifier.Host]SessionRead{}, owners: map[identifier.Target]OwnerRead{}},
	}
	for i := range n {
		d := &herdDaemon{state: New(Config{
			Host: identifier.Host(fmt.Sprintf("entry-%04d", i)), DataCentre: "dc", Nonce: "n", Term: term, Margin: term / 5,
			Wait: term, Jitter: 0.1, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})}
		for j := range herdTargets {
			d.wanted = append(d.wanted, identifier.Target(fmt.Sprintf("target-%05d", i*herdTargets+j)))
		}
		d.events = []Event{Wanted{Targets: d.wanted}}
		h.daemons = append(h.daemons, d)
	}
	return h
}

func (h *herd) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(herdStep) {
		h.platform.step()
		for _, d := range h.daemons {
			d.step(h.platform, h.now)
		}
	}
}

// holders counts the daemons that hold all their targets.
func (h *herd) holders() int {
	n := 0
	for _, d := range h.daemons {
		if d.holdsAll(h.now) {
			n++
		}
	}
	return n
}

// untilHeld runs until all daemons hold all their targets and returns how long
// that took, or herdLimit.
func (h *herd) untilHeld() time.Duration {
	began := h.now
	for h.now.Sub(began) < herdLimit {
		h.run(100 * time.Millisecond)
		if h.holders() == len(h.daemons) {
			break
		}
	}
	return h.now.Sub(began)
}

// BenchmarkHerd lets all daemons start at once, and lets them return after an
// outage of the platform, in virtual time.
func BenchmarkHerd(b *testing.B) {
	for _, term := range []time.Duration{10 * time.Second, 30 * time.Second} {
		for _, daemons := range []int{8, 100, 300, 1000} {
			b.Run(fmt.Sprintf("term=%s/daemons=%d", term, daemons), func(b *testing.B) {
				for range b.N {
					h := newHerd(daemons, term)
					b.ReportMetric(h.untilHeld().Seconds(), "s-to-start")
					h.run(time.Minute)
					h.platform.calls, h.platform.refused = 0, 0
					h.run(time.Minute)
					b.ReportMetric(float64(h.platform.calls)/60, "calls/s-steady")
					b.ReportMetric(float64(h.platform.refused)/60, "refused/s-steady")
					b.ReportMetric(float64(h.holders()), "holders-steady")
					h.platform.down = true
					h.run(herdOutage)
					b.ReportMetric(float64(h.platform.refused)/60, "calls/s-outage")
					h.platform.down = false
					b.ReportMetric(h.untilHeld().Seconds(), "s-to-return")
				}
			})
		}
	}
}
