package holder

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// The model advances all clocks by one tick at a time. An order may take up to
// maxOrderDelay to arrive.
const (
	tick          = time.Second
	modelTerm     = 3 * tick
	maxOrderDelay = tick / 2
	modelTarget   = identifier.Target("t")
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// record is one object of the modelled platform; version 0 means missing.
type record struct {
	version uint64
	session Session
	owner   Owner
}

// pendingCall is a call to the platform that has not taken effect yet.
type pendingCall struct {
	host   identifier.Host
	effect Effect
	// reportedUnknown is true when the daemon has already received OutcomeUnknown
	// for the call.
	reportedUnknown bool
}

// model is one state of the modelled platform, its daemons and their calls.
type model struct {
	now      time.Time
	revision uint64
	objects  map[string]record
	previous map[string]record // versions before the last write, for stale reads
	daemons  map[identifier.Host]*State
	// lastOrderAt is the last time at which each host could send an order.
	lastOrderAt map[identifier.Host]time.Time
	wakeAt      map[identifier.Host]time.Time
	calls       []pendingCall
	faults      int
	wantedByA   bool
	trace       []string
}

func newModel(cfg Config, hosts ...identifier.Host) *model {
	m := &model{
		now: epoch, objects: map[string]record{}, previous: map[string]record{}, daemons: map[identifier.Host]*State{},
		lastOrderAt: map[identifier.Host]time.Time{}, wakeAt: map[identifier.Host]time.Time{}, wantedByA: true,
	}
	for _, host := range hosts {
		cfg.Host = host
		cfg.Nonce = "n"
		m.daemons[host] = New(cfg)
		m.reduce(host, Wanted{Targets: []identifier.Target{modelTarget}})
		m.finishCallsOf(host)
	}
	return m
}

// finishCallsOf completes all calls of host without faults.
func (m *model) finishCallsOf(host identifier.Host) {
	for i := 0; i < len(m.calls); {
		if m.calls[i].host == host {
			m.finishCall(i, OutcomeOK)
			i = 0
			continue
		}
		i++
	}
}

func (m *model) clone() *model {
	c := *m
	c.objects = maps.Clone(m.objects)
	c.previous = maps.Clone(m.previous)
	c.lastOrderAt = maps.Clone(m.lastOrderAt)
	c.wakeAt = maps.Clone(m.wakeAt)
	c.calls = slices.Clone(m.calls)
	c.trace = slices.Clip(m.trace)
	c.daemons = map[identifier.Host]*State{}
	for host, s := range m.daemons {
		c.daemons[host] = s.clone()
	}
	return &c
}

func (s *State) clone() *State {
	c := *s
	c.own.sentAt = maps.Clone(s.own.sentAt)
	c.targets = map[identifier.Target]*target{}
	for name, t := range s.targets {
		copied := *t
		c.targets[name] = &copied
	}
	c.observed = map[identifier.Host]*observedSession{}
	for host, o := range s.observed {
		copied := *o
		c.observed[host] = &copied
	}
	return &c
}

// stateHash returns a hash of everything that determines later states.
func (m *model) stateHash() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, m.now.Sub(epoch), m.revision, m.objects, m.previous, m.calls, m.faults, m.wantedByA)
	for _, host := range m.hosts() {
		s := m.daemons[host]
		fmt.Fprint(h, m.lastOrderAt[host].Sub(epoch), m.wakeAt[host].Sub(epoch), s.stopped, s.maxDeletedVersion)
		fmt.Fprintf(h, "%+v", s.own)
		for _, name := range s.sortedTargets() {
			fmt.Fprintf(h, "%+v", *s.targets[name])
		}
		for _, other := range m.hosts() {
			if o := s.observed[other]; o != nil {
				fmt.Fprintf(h, "%s%+v", other, *o)
			}
		}
	}
	return h.Sum64()
}

func (m *model) hosts() []identifier.Host { return slices.Sorted(maps.Keys(m.daemons)) }

func (m *model) reduce(host identifier.Host, ev Event) {
	for _, e := range m.daemons[host].Reduce(ev, m.now) {
		switch e := e.(type) {
		case SetTimer:
			m.wakeAt[host] = e.Time
		case Gained, Lost:
		default:
			m.calls = append(m.calls, pendingCall{host: host, effect: e})
		}
	}
}

// advanceTime advances the clock by one tick. An owner may send orders until
// its ownership ends.
func (m *model) advanceTime() {
	next := m.now.Add(tick)
	for host, s := range m.daemons {
		_, until, ok := s.Held(modelTarget, m.now)
		if !ok {
			continue
		}
		if until.After(next) {
			until = next
		}
		m.lastOrderAt[host] = until
	}
	m.now = next
}

// hasOverlap updates lastOrderAt for the current owners and reports whether an
// order of another host may still arrive while a host owns the target.
func (m *model) hasOverlap() bool {
	var owners []identifier.Host
	for _, host := range m.hosts() {
		if _, _, ok := m.daemons[host].Held(modelTarget, m.now); ok {
			if m.lastOrderAt[host].Before(m.now) {
				m.lastOrderAt[host] = m.now
			}
			owners = append(owners, host)
		}
	}
	for _, host := range owners {
		for other, at := range m.lastOrderAt {
			if other != host && m.now.Before(at.Add(maxOrderDelay)) {
				return true
			}
		}
	}
	return false
}

func objectKey(e Effect) string {
	switch e := e.(type) {
	case ReadSession:
		return "s/" + string(e.Host)
	case WriteSession:
		return "s/" + string(e.Host)
	case DeleteSession:
		return "s/" + string(e.Host)
	default:
		return "o"
	}
}

// applyWrite applies a write and returns its outcome and the new version.
func (m *model) applyWrite(e Effect) (Outcome, uint64) {
	key := objectKey(e)
	old := m.objects[key]
	var next record
	var expect uint64
	switch e := e.(type) {
	case WriteSession:
		next, expect = record{session: e.Session}, e.Expect
	case WriteOwner:
		next, expect = record{owner: e.Owner}, e.Expect
	case DeleteSession:
		expect = e.Expect
	case DeleteOwner:
		expect = e.Expect
	}
	if old.version != expect {
		return OutcomeConflict, 0
	}
	m.revision++
	if next != (record{}) {
		next.version = m.revision
	}
	m.previous[key] = old
	m.objects[key] = next
	return OutcomeOK, next.version
}

func readOutcome(r record) Outcome {
	if r.version == 0 {
		return OutcomeMissing
	}
	return OutcomeOK
}

// resultEvent returns the event that reports the result of e.
func resultEvent(e Effect, outcome Outcome, version uint64, r record) Event {
	switch e := e.(type) {
	case ReadSession:
		return SessionRead{Host: e.Host, Outcome: outcome, Version: r.version, Session: r.session}
	case ReadOwner:
		return OwnerRead{Target: e.Target, Outcome: outcome, Version: r.version, Owner: r.owner}
	case WriteSession:
		return SessionWritten{Host: e.Host, Outcome: outcome, Version: version}
	case WriteOwner:
		return OwnerWritten{Target: e.Target, Outcome: outcome, Version: version}
	case DeleteOwner:
		return OwnerWritten{Target: e.Target, Outcome: outcome, Version: version}
	default:
		return TimerFired{}
	}
}

func isRead(e Effect) bool {
	switch e.(type) {
	case ReadSession, ReadOwner:
		return true
	}
	return false
}

// finishCall completes the call with index i: normally if fault is OutcomeOK,
// otherwise as a stale read or as a write with an unknown outcome.
func (m *model) finishCall(i int, fault Outcome) {
	call := m.calls[i]
	m.calls = slices.Delete(slices.Clone(m.calls), i, i+1)
	switch {
	case call.reportedUnknown:
		m.applyWrite(call.effect)
	case isRead(call.effect) && fault == OutcomeOK:
		r := m.objects[objectKey(call.effect)]
		m.reduce(call.host, resultEvent(call.effect, readOutcome(r), 0, r))
	case isRead(call.effect):
		r := m.previous[objectKey(call.effect)]
		m.reduce(call.host, resultEvent(call.effect, readOutcome(r), 0, r))
	case fault == OutcomeOK:
		outcome, version := m.applyWrite(call.effect)
		m.reduce(call.host, resultEvent(call.effect, outcome, version, record{}))
	case fault == OutcomeUnknown:
		// The write may take effect at any later time.
		m.calls = append(m.calls, pendingCall{host: call.host, effect: call.effect, reportedUnknown: true})
		m.reduce(call.host, resultEvent(call.effect, OutcomeUnknown, 0, record{}))
	}
}

// transition is one possible next step of the model.
type transition struct {
	name string
	run  func(*model)
}

// searchBounds limits the states that are explored.
type searchBounds struct {
	depth, faults int
	duration      time.Duration
	// allowStop lets daemon a end its session.
	allowStop bool
	// takenOver makes daemon a start as the owner after a takeover.
	takenOver bool
}

// transitions returns all steps that are possible within b.
func (m *model) transitions(b searchBounds) []transition {
	var steps []transition
	if m.now.Sub(epoch) < b.duration {
		steps = append(steps, transition{"time", (*model).advanceTime})
	}
	for _, host := range m.hosts() {
		if at, ok := m.wakeAt[host]; ok && !at.After(m.now) {
			steps = append(steps, transition{"wake " + string(host), func(m *model) {
				delete(m.wakeAt, host)
				m.reduce(host, TimerFired{})
			}})
		}
	}
	if b.allowStop && m.faults >= b.faults/2 && !m.daemons["a"].stopped {
		steps = append(steps, transition{"stop a", func(m *model) { m.reduce("a", StopRequested{}) }})
	}
	for i, call := range m.calls {
		if e, ok := call.effect.(DeleteSession); ok && m.now.Before(e.NotBefore) {
			continue
		}
		name := fmt.Sprintf("%s %T", call.host, call.effect)
		steps = append(steps, transition{name, func(m *model) { m.finishCall(i, OutcomeOK) }})
		if m.faults < b.faults && !call.reportedUnknown {
			steps = append(steps, transition{name + " fault", func(m *model) {
				m.faults++
				m.finishCall(i, OutcomeUnknown)
			}})
		}
	}
	if m.faults < b.faults {
		steps = append(steps, transition{"toggle wanted", func(m *model) {
			m.faults++
			m.wantedByA = !m.wantedByA
			var names []identifier.Target
			if m.wantedByA {
				names = append(names, modelTarget)
			}
			m.reduce("a", Wanted{Targets: names})
		}})
	}
	return steps
}

// search explores all interleavings breadth first. It returns the trace to the
// first overlap, or nil, and the number of states.
func search(m *model, b searchBounds) ([]string, int) {
	seen := map[uint64]bool{m.stateHash(): true}
	level := []*model{m}
	for range b.depth {
		var next []*model
		for _, m := range level {
			for _, s := range m.transitions(b) {
				c := m.clone()
				s.run(c)
				c.trace = append(c.trace, s.name)
				if c.hasOverlap() {
					return c.trace, len(seen)
				}
				if k := c.stateHash(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
			}
		}
		level = next
	}
	return nil, len(seen)
}

// TestAtMostOneOwner checks that two hosts never use one target at the same time,
// and that the search finds such an overlap when the takeover delay or the safety
// margin is missing.
func TestAtMostOneOwner(t *testing.T) {
	t.Parallel()
	valid := Config{Term: modelTerm, Margin: tick, TakeoverDelay: modelTerm}
	marking := valid
	marking.MaxUse = 10 * tick
	markingNoMargin := marking
	markingNoMargin.Margin = 0
	noDelay := valid
	noDelay.TakeoverDelay = 0
	noMargin := valid
	noMargin.Margin = 0
	lateStop := valid
	lateStop.Margin = -tick
	tests := []struct {
		name   string
		cfg    Config
		bounds searchBounds
		unsafe bool
	}{
		{"valid without faults", valid, searchBounds{depth: 11, duration: 7 * tick}, false},
		{"valid with faults", valid, searchBounds{depth: 8, faults: 2, duration: 6 * tick}, false},
		{"released soon after a takeover", marking, searchBounds{depth: 9, faults: 1, duration: 6 * tick, takenOver: true}, false},
		{"released soon after a takeover, no margin", markingNoMargin, searchBounds{depth: 9, faults: 1, duration: 2 * tick, takenOver: true}, true},
		{"no takeover delay", noDelay, searchBounds{depth: 14, duration: 4 * tick}, true},
		{"owner stops late", lateStop, searchBounds{depth: 14, duration: 4 * tick}, true},
		{"no margin", noMargin, searchBounds{depth: 14, duration: 4 * tick}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			m := newModel(test.cfg, "a", "b")
			if test.bounds.takenOver {
				m.daemons["a"].targets[modelTarget].inUseUntil = m.now.Add(test.cfg.MaxUse)
			}
			trace, states := search(m, test.bounds)
			t.Logf("%d states, overlap after %q", states, trace)
			assert.Equal(t, trace != nil, test.unsafe)
		})
	}
}

// randomWalk takes random transitions and returns the trace to the first overlap, or nil.
func randomWalk(cfg Config, seed uint64, length int) []string {
	rnd := rand.New(rand.NewPCG(seed, 1))
	m := newModel(cfg, "a", "b", "c")
	b := searchBounds{faults: length / 10, duration: time.Duration(length) * tick, allowStop: true}
	for range length {
		steps := m.transitions(b)
		s := steps[rnd.IntN(len(steps))]
		s.run(m)
		m.trace = append(m.trace, s.name)
		if m.hasOverlap() {
			return m.trace
		}
	}
	return nil
}

// TestAtMostOneOwnerOnRandomWalks covers three hosts, stops and longer runs than
// the exhaustive search. It also checks that the walks find the overlap that a
// too short takeover delay permits.
func TestAtMostOneOwnerOnRandomWalks(t *testing.T) {
	t.Parallel()
	const walks, length = 3000, 150
	valid := Config{Term: modelTerm, Margin: tick, TakeoverDelay: modelTerm}
	marking := valid
	marking.MaxUse = 5 * tick
	for seed := range uint64(walks) {
		for _, cfg := range []Config{valid, marking} {
			trace := randomWalk(cfg, seed, length)
			assert.Assert(t, trace == nil, "seed %d, longest use %s: overlap after %q", seed, cfg.MaxUse, trace)
		}
	}
	shortDelay := valid
	shortDelay.TakeoverDelay = modelTerm / 3
	found := false
	for seed := range uint64(walks) {
		found = found || randomWalk(shortDelay, seed, length) != nil
	}
	assert.Assert(t, found, "no overlap was found with a takeover delay of a third of the term")
}

func TestTakeoverFromPausedOwner(t *testing.T) {
	m := newModel(Config{Term: modelTerm, Margin: tick, TakeoverDelay: modelTerm}, "a", "b")
	// Daemon a stays paused; daemon b runs without faults.
	for range 20 {
		m.advanceTime()
		assert.Assert(t, !m.hasOverlap())
		m.reduce("b", TimerFired{})
		m.finishCallsOf("b")
	}
	_, _, ok := m.daemons["b"].Held(modelTarget, m.now)
	assert.Assert(t, ok)
}
