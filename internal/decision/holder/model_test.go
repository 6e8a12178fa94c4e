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

// The model steps all clocks by unit. An order may take orderDelay to arrive.
const (
	unit       = time.Second
	modelTerm  = 3 * unit
	orderDelay = unit / 2
	modelT     = identifier.Target("t")
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// record is one object of the modelled platform; version 0 means missing.
type record struct {
	version uint64
	session Session
	owner   Owner
}

// flight is a call on its way; answered ones may still take effect.
type flight struct {
	host     identifier.Host
	effect   Effect
	answered bool
}

// world is one state of the model.
type world struct {
	now      time.Time
	revision uint64
	objects  map[string]record
	former   map[string]record
	daemons  map[identifier.Host]*State
	// lastHeld is when each host last could send an order.
	lastHeld map[identifier.Host]time.Time
	wakeAt   map[identifier.Host]time.Time
	flights  []flight
	faults   int
	wanting  bool
	trace    []string
}

func newWorld(cfg Config, hosts ...identifier.Host) *world {
	w := &world{
		now: epoch, objects: map[string]record{}, former: map[string]record{}, daemons: map[identifier.Host]*State{},
		lastHeld: map[identifier.Host]time.Time{}, wakeAt: map[identifier.Host]time.Time{}, wanting: true,
	}
	for _, host := range hosts {
		cfg.Host = host
		cfg.Nonce = "n"
		w.daemons[host] = New(cfg)
		w.reduce(host, Wanted{Targets: []identifier.Target{modelT}})
		w.runCalls(host)
	}
	return w
}

// runCalls answers all calls of host without faults.
func (w *world) runCalls(host identifier.Host) {
	for i := 0; i < len(w.flights); {
		if w.flights[i].host == host {
			w.finish(i, OutcomeOK)
			i = 0
			continue
		}
		i++
	}
}

func (w *world) clone() *world {
	c := *w
	c.objects = maps.Clone(w.objects)
	c.former = maps.Clone(w.former)
	c.lastHeld = maps.Clone(w.lastHeld)
	c.wakeAt = maps.Clone(w.wakeAt)
	c.flights = slices.Clone(w.flights)
	c.trace = slices.Clip(w.trace)
	c.daemons = map[identifier.Host]*State{}
	for host, s := range w.daemons {
		c.daemons[host] = s.clone()
	}
	return &c
}

func (s *State) clone() *State {
	c := *s
	c.self.sentAt = maps.Clone(s.self.sentAt)
	c.targets = map[identifier.Target]*target{}
	for name, t := range s.targets {
		copied := *t
		c.targets[name] = &copied
	}
	c.rivals = map[identifier.Host]*rival{}
	for host, r := range s.rivals {
		copied := *r
		c.rivals[host] = &copied
	}
	return &c
}

// key returns a hash of all that decides the future.
func (w *world) key() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now.Sub(epoch), w.revision, w.objects, w.former, w.flights, w.faults, w.wanting)
	for _, host := range w.hosts() {
		s := w.daemons[host]
		fmt.Fprint(h, w.lastHeld[host].Sub(epoch), w.wakeAt[host].Sub(epoch), s.stopped, s.dropped)
		fmt.Fprintf(h, "%+v", s.self)
		for _, name := range s.sortedTargets() {
			fmt.Fprintf(h, "%+v", *s.targets[name])
		}
		for _, other := range w.hosts() {
			if r := s.rivals[other]; r != nil {
				fmt.Fprintf(h, "%s%+v", other, *r)
			}
		}
	}
	return h.Sum64()
}

func (w *world) hosts() []identifier.Host { return slices.Sorted(maps.Keys(w.daemons)) }

func (w *world) reduce(host identifier.Host, ev Event) {
	for _, e := range w.daemons[host].Reduce(ev, w.now) {
		switch e := e.(type) {
		case WakeAt:
			w.wakeAt[host] = e.Time
		case Gained, Lost:
		default:
			w.flights = append(w.flights, flight{host: host, effect: e})
		}
	}
}

// pass lets time pass; a holder may send orders up to the end of its hold.
func (w *world) pass() {
	next := w.now.Add(unit)
	for host, s := range w.daemons {
		_, until, ok := s.Held(modelT, w.now)
		if !ok {
			continue
		}
		if until.After(next) {
			until = next
		}
		w.lastHeld[host] = until
	}
	w.now = next
}

// overlap notes the hosts that hold now, and reports whether orders of another may yet arrive.
func (w *world) overlap() bool {
	var holds []identifier.Host
	for _, host := range w.hosts() {
		if _, _, ok := w.daemons[host].Held(modelT, w.now); ok {
			if w.lastHeld[host].Before(w.now) {
				w.lastHeld[host] = w.now
			}
			holds = append(holds, host)
		}
	}
	for _, host := range holds {
		for other, at := range w.lastHeld {
			if other != host && w.now.Before(at.Add(orderDelay)) {
				return true
			}
		}
	}
	return false
}

func keyOf(e Effect) string {
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

// apply runs a write and returns its outcome and version.
func (w *world) apply(e Effect) (Outcome, uint64) {
	key := keyOf(e)
	old := w.objects[key]
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
	w.revision++
	if next != (record{}) {
		next.version = w.revision
	}
	w.former[key] = old
	w.objects[key] = next
	return OutcomeOK, next.version
}

func readOutcome(r record) Outcome {
	if r.version == 0 {
		return OutcomeMissing
	}
	return OutcomeOK
}

// answer returns the event for a call.
func answer(e Effect, outcome Outcome, version uint64, r record) Event {
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
		return Woken{}
	}
}

func isRead(e Effect) bool {
	switch e.(type) {
	case ReadSession, ReadOwner:
		return true
	}
	return false
}

// finish ends flight i: with its own outcome for OutcomeOK, or by a fault.
func (w *world) finish(i int, fault Outcome) {
	f := w.flights[i]
	w.flights = slices.Delete(slices.Clone(w.flights), i, i+1)
	switch {
	case f.answered:
		w.apply(f.effect)
	case isRead(f.effect) && fault == OutcomeOK:
		r := w.objects[keyOf(f.effect)]
		w.reduce(f.host, answer(f.effect, readOutcome(r), 0, r))
	case isRead(f.effect):
		r := w.former[keyOf(f.effect)]
		w.reduce(f.host, answer(f.effect, readOutcome(r), 0, r))
	case fault == OutcomeOK:
		outcome, version := w.apply(f.effect)
		w.reduce(f.host, answer(f.effect, outcome, version, record{}))
	case fault == OutcomeUnknown:
		// The write may take effect at any later time.
		w.flights = append(w.flights, flight{host: f.host, effect: f.effect, answered: true})
		w.reduce(f.host, answer(f.effect, OutcomeUnknown, 0, record{}))
	}
}

// step is one possible transition.
type step struct {
	name string
	run  func(*world)
}

// bounds limit the search.
type bounds struct {
	depth, faults int
	span          time.Duration
	// stops lets daemon a release its session.
	stops bool
}

func (w *world) steps(b bounds) []step {
	var steps []step
	if w.now.Sub(epoch) < b.span {
		steps = append(steps, step{"time", (*world).pass})
	}
	for _, host := range w.hosts() {
		if at, ok := w.wakeAt[host]; ok && !at.After(w.now) {
			steps = append(steps, step{"wake " + string(host), func(w *world) {
				delete(w.wakeAt, host)
				w.reduce(host, Woken{})
			}})
		}
	}
	if b.stops && w.faults >= b.faults/2 && !w.daemons["a"].stopped {
		steps = append(steps, step{"stop a", func(w *world) { w.reduce("a", Stopped{}) }})
	}
	for i, f := range w.flights {
		if e, ok := f.effect.(DeleteSession); ok && w.now.Before(e.NotBefore) {
			continue
		}
		name := fmt.Sprintf("%s %T", f.host, f.effect)
		steps = append(steps, step{name, func(w *world) { w.finish(i, OutcomeOK) }})
		if w.faults < b.faults && !f.answered {
			steps = append(steps, step{name + " fault", func(w *world) {
				w.faults++
				w.finish(i, OutcomeUnknown)
			}})
		}
	}
	if w.faults < b.faults {
		steps = append(steps, step{"toggle", func(w *world) {
			w.faults++
			w.wanting = !w.wanting
			var names []identifier.Target
			if w.wanting {
				names = append(names, modelT)
			}
			w.reduce("a", Wanted{Targets: names})
		}})
	}
	return steps
}

// search explores all interleavings breadth first. It returns the trace of the
// first overlap, or none, and the number of states.
func search(w *world, b bounds) ([]string, int) {
	seen := map[uint64]bool{w.key(): true}
	level := []*world{w}
	for range b.depth {
		var next []*world
		for _, w := range level {
			for _, s := range w.steps(b) {
				c := w.clone()
				s.run(c)
				c.trace = append(c.trace, s.name)
				if c.overlap() {
					return c.trace, len(seen)
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
			}
		}
		level = next
	}
	return nil, len(seen)
}

func TestNeverTwoOwners(t *testing.T) {
	t.Parallel()
	sound := Config{Term: modelTerm, Margin: unit, Wait: modelTerm}
	noWait := sound
	noWait.Wait = 0
	noMargin := sound
	noMargin.Margin = 0
	lateStop := sound
	lateStop.Margin = -unit
	tests := []struct {
		name   string
		cfg    Config
		bounds bounds
		unsafe bool
	}{
		{"sound without faults", sound, bounds{depth: 11, span: 7 * unit}, false},
		{"sound with faults", sound, bounds{depth: 8, faults: 2, span: 6 * unit}, false},
		{"taker does not wait", noWait, bounds{depth: 14, span: 4 * unit}, true},
		{"holder stops late", lateStop, bounds{depth: 14, span: 4 * unit}, true},
		{"holder has no margin", noMargin, bounds{depth: 14, span: 4 * unit}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			trace, states := search(newWorld(test.cfg, "a", "b"), test.bounds)
			t.Logf("%d states, overlap after %q", states, trace)
			assert.Equal(t, trace != nil, test.unsafe)
		})
	}
}

// walk takes random steps and returns the trace of the first overlap, or none.
func walk(cfg Config, seed uint64, length int) []string {
	rnd := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(cfg, "a", "b", "c")
	b := bounds{faults: length / 10, span: time.Duration(length) * unit, stops: true}
	for range length {
		steps := w.steps(b)
		s := steps[rnd.IntN(len(steps))]
		s.run(w)
		w.trace = append(w.trace, s.name)
		if w.overlap() {
			return w.trace
		}
	}
	return nil
}

func TestNeverTwoOwnersOnLongWalks(t *testing.T) {
	t.Parallel()
	const walks, length = 3000, 150
	sound := Config{Term: modelTerm, Margin: unit, Wait: modelTerm}
	for seed := range uint64(walks) {
		trace := walk(sound, seed, length)
		assert.Assert(t, trace == nil, "seed %d: overlap after %q", seed, trace)
	}
	early := sound
	early.Wait = modelTerm / 3
	found := false
	for seed := range uint64(walks) {
		found = found || walk(early, seed, length) != nil
	}
	assert.Assert(t, found, "a wait of a third of the term is not found out")
}

func TestTakeOverHappens(t *testing.T) {
	w := newWorld(Config{Term: modelTerm, Margin: unit, Wait: modelTerm}, "a", "b")
	// Daemon a is paused for good; daemon b runs without faults.
	for range 20 {
		w.pass()
		assert.Assert(t, !w.overlap())
		w.reduce("b", Woken{})
		w.runCalls("b")
	}
	_, _, ok := w.daemons["b"].Held(modelT, w.now)
	assert.Assert(t, ok)
}
