package reducer

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// The small model has two daemons, one cold target that bears one request, one
// lease and one claim. Its clock steps by protocolUnit.
const (
	protocolUnit  = 10 * time.Second
	protocolLease = 3 * protocolUnit
	protocolLimit = 1
	ownerHost     = identifier.Host("host-b")
	peerHost      = identifier.Host("host-a")
)

// surroundingFaults says which promise of the surroundings is broken.
type surroundingFaults struct {
	// pastDeadline lets the target run requests past their deadline.
	pastDeadline bool
	// anyIncarnation lets a request reach another incarnation than its own.
	anyIncarnation bool
	// lateSending lets the executor send after the latest time to send.
	lateSending bool
	// earlyTaker lets the platform give the lease away before its term ended.
	earlyTaker bool
	// blindClaims lets the platform accept a claim that exists already.
	blindClaims bool
}

// protocol is one state of the small model.
type protocol struct {
	broken  surroundingFaults
	now     time.Time
	start   time.Time
	daemons map[identifier.Host]*State
	flights []protocolFlight
	calls   []protocolCall
	// incarnation and running describe the target, which stays cold.
	incarnation identifier.Incarnation
	running     map[identifier.Attempt]time.Time
	holder      identifier.Host
	fence       uint64
	until       time.Time
	claim       claimModel
	runs        map[identifier.Request]int
	keyRuns     int
	notRun      map[identifier.Request]bool
	arrived     int
	faults      int
	alone       bool
	violation   string
	trace       []string
}

// protocolFlight is a parcel and its description for the key of a state.
type protocolFlight struct {
	parcel
	label string
}

func newFlight(p parcel) protocolFlight {
	return protocolFlight{p, fmt.Sprintf("%s%T%+v%T%+v;", p.host, p.effect, p.effect, p.event, p.event)}
}

// protocolCall is a question for a permit.
type protocolCall struct {
	ask   AskPermit
	asked time.Time
	done  bool
}

func newProtocol(broken surroundingFaults) *protocol {
	w := &protocol{
		broken: broken, now: epochOfModel, start: epochOfModel, incarnation: 1,
		daemons: map[identifier.Host]*State{}, running: map[identifier.Attempt]time.Time{},
		runs: map[identifier.Request]int{}, notRun: map[identifier.Request]bool{},
		holder: ownerHost, fence: 1, until: epochOfModel.Add(protocolLease),
	}
	hosts := []identifier.Host{peerHost, ownerHost}
	fleet := worldFleet(hosts)
	delete(fleet.Targets, "target-0")
	delete(fleet.Targets, "target-1")
	spec := fleet.Targets[coldTarget]
	spec.ColdLimit = protocolLimit
	fleet.Targets[coldTarget] = spec
	for _, host := range hosts {
		w.daemons[host] = New(Config{Host: host, DataCentre: nearCentre, Seed: 1, BlockSecret: []byte("secret"), MaxPrefixes: 1})
		w.feed(host, PeersChanged{Hosts: hosts})
		w.feed(host, ConfigAdopted{Version: 1, Fleet: fleet})
		w.feed(host, IncarnationSeen{Target: coldTarget, Incarnation: 1, Cold: true})
	}
	w.tellHeld()
	w.flights = nil
	return w
}

var epochOfModel = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *protocol) clone() *protocol {
	c := *w
	c.daemons = map[identifier.Host]*State{}
	for host, s := range w.daemons {
		c.daemons[host] = s.cloneForModel()
	}
	c.flights, c.calls, c.trace = slices.Clone(w.flights), slices.Clone(w.calls), slices.Clip(w.trace)
	c.running, c.runs, c.notRun = maps.Clone(w.running), maps.Clone(w.runs), maps.Clone(w.notRun)
	return &c
}

// cloneForModel copies a State that has no prompts, links or limits.
func (s *State) cloneForModel() *State {
	c := *s
	c.targets = map[identifier.Target]*target{}
	c.byService = map[identifier.Service][]*target{}
	for _, t := range s.sortedTargets() {
		copied := *t
		c.targets[t.name] = &copied
		c.byService[t.spec.Service] = append(c.byService[t.spec.Service], &copied)
	}
	c.owned = map[identifier.Target]*ownership{}
	for name, own := range s.owned {
		copied := *own
		copied.permits = maps.Clone(own.permits)
		c.owned[name] = &copied
	}
	c.asked = maps.Clone(s.asked)
	c.requests = map[identifier.Request]*request{}
	for id, r := range s.requests {
		copied := *r
		copied.tried = maps.Clone(r.tried)
		if r.target != nil {
			copied.target = c.targets[r.target.name]
		}
		c.requests[id] = &copied
	}
	c.queues = map[identifier.Service]*fairQueue{}
	for service, q := range s.queues {
		copied := &fairQueue{virtual: q.virtual, finish: maps.Clone(q.finish)}
		for _, r := range q.waiting {
			heap.Push(&copied.waiting, c.requests[r.id])
		}
		c.queues[service] = copied
	}
	return &c
}

// key returns a hash of all that decides the future.
func (w *protocol) key() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.now.Sub(w.start), w.incarnation, len(w.running), w.holder, w.fence, w.until.Sub(w.start), w.claim, w.runs, w.notRun, w.keyRuns, w.arrived, w.faults, w.alone)
	for _, attempt := range slices.SortedFunc(maps.Keys(w.running), compareAttempts) {
		fmt.Fprint(h, attempt.Request, attempt.Number, w.running[attempt].Unix())
	}
	for _, f := range w.flights {
		_, _ = h.Write([]byte(f.label))
	}
	for _, call := range w.calls {
		fmt.Fprint(h, call.done)
	}
	for _, host := range []identifier.Host{peerHost, ownerHost} {
		w.daemons[host].writeKey(h)
	}
	return h.Sum64()
}

func compareAttempts(a, b identifier.Attempt) int {
	return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
}

// writeKey writes what decides a State's future in the small model.
func (s *State) writeKey(h io.Writer) {
	t := s.targets[coldTarget]
	fmt.Fprint(h, s.cfg.Host, len(s.wanted), len(s.asked), s.retries, t.incarnation, t.inflight, t.asking, t.askAfter.UnixMilli(), t.failures, t.openUntil.UnixMilli())
	if own := s.owned[coldTarget]; own != nil {
		var permits []string
		for key, p := range own.permits {
			permits = append(permits, fmt.Sprint(key.host, key.request, key.number, p.until.Unix(), p.incarnation))
		}
		slices.Sort(permits)
		fmt.Fprint(h, own.fence, own.until.Unix(), own.usable.Unix(), permits)
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		fmt.Fprint(h, id, r.phase, r.number, r.asks, r.sendBy.Unix(), r.cutoff.Unix(), r.permitFrom, r.incarnation, r.mayHaveRun, r.claimed, len(r.tried))
	}
}

func (w *protocol) feed(host identifier.Host, ev Event) {
	for _, effect := range w.daemons[host].Reduce(ev, w.now) {
		switch e := effect.(type) {
		case Refuse:
			w.notRun[e.Request] = e.Run == RunNot
			if e.Run == RunNot && w.runs[e.Request] > 0 {
				w.violation = "a request that ran was refused as not-run"
			}
		case Start, Claim, ReleaseClaim, RecordAnswer, AskPermit, AnswerPermit, ReturnPermit:
			w.flights = append(w.flights, newFlight(parcel{host: host, effect: effect}))
		}
	}
}

func (w *protocol) later(host identifier.Host, ev Event) {
	w.flights = append(w.flights, newFlight(parcel{host: host, event: ev}))
}

// deliver carries out flight i; with lost, its answer or connection is lost.
func (w *protocol) deliver(i int, lost bool) {
	f := w.flights[i]
	w.flights = slices.Delete(slices.Clone(w.flights), i, i+1)
	switch e := f.event.(type) {
	case nil:
		w.carryOut(f.host, f.effect, lost)
	case runEnd:
		w.finishRun(f.host, e.start, lost)
	default:
		w.feed(f.host, f.event)
	}
}

func (w *protocol) carryOut(host identifier.Host, effect Effect, lost bool) {
	switch e := effect.(type) {
	case Start:
		w.send(host, e)
	case AskPermit:
		w.calls = append(w.calls, protocolCall{ask: e, asked: w.now, done: lost})
		w.later(e.Owner, PermitAsked{Call: uint64(len(w.calls) - 1), From: host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term})
		if lost {
			w.later(host, PermitSettled{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, Asked: w.now})
			w.flights = append(w.flights, newFlight(parcel{host: host, effect: ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target}}))
		}
	case AnswerPermit:
		if call := &w.calls[e.Call]; !call.done {
			call.done = true
			w.later(peerOf(host), PermitSettled{
				Owner: host, Request: call.ask.Request, Number: call.ask.Number, Target: call.ask.Target,
				Granted: e.Granted, RetryAfter: e.RetryAfter, Incarnation: e.Incarnation, Asked: call.asked,
			})
		}
	case ReturnPermit:
		if !lost {
			w.later(e.Owner, PermitReturned{From: host, Target: e.Target, Request: e.Request, Number: e.Number})
		}
	default:
		w.carryOutClaim(host, effect, lost)
	}
}

func peerOf(host identifier.Host) identifier.Host {
	if host == ownerHost {
		return peerHost
	}
	return ownerHost
}

func (w *protocol) carryOutClaim(host identifier.Host, effect Effect, lost bool) {
	switch e := effect.(type) {
	case Claim:
		outcome := ClaimHeld
		if w.claim.request == "" || w.claim.released || w.broken.blindClaims {
			w.claim = claimModel{request: e.Request}
			outcome = ClaimWon
		} else if w.claim.answered {
			outcome = ClaimAnswered
		}
		if lost && outcome == ClaimWon {
			outcome = ClaimUnsettled
			w.flights = append(w.flights, newFlight(parcel{host: host, effect: ReleaseClaim{Request: e.Request}}))
		}
		w.later(host, ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
	case ReleaseClaim:
		w.claim.released = w.claim.released || w.claim.request == e.Request && !w.claim.answered
	case RecordAnswer:
		w.claim.answered = w.claim.answered || w.claim.request == e.Request
	}
}

func (w *protocol) send(host identifier.Host, e Start) {
	fail := AttemptFailed{Attempt: e.Attempt, Proven: true, Reason: FailureLate}
	switch {
	case !e.SendBy.IsZero() && !w.now.Before(e.SendBy) && !w.broken.lateSending:
	case !w.now.Before(e.Deadline):
		fail.Reason = FailureDeadline
	case e.Incarnation != w.incarnation && !w.broken.anyIncarnation:
		fail.Reason = FailureIncarnation
		w.later(host, IncarnationSeen{Target: e.Target, Incarnation: w.incarnation, Cold: true})
	default:
		w.run(host, e)
		return
	}
	w.later(host, fail)
}

func (w *protocol) run(host identifier.Host, e Start) {
	w.running[e.Attempt] = e.Deadline
	w.runs[e.Attempt.Request]++
	if len(w.running) > protocolLimit {
		w.violation = "the cold target runs more than its limit"
	}
	if w.notRun[e.Attempt.Request] {
		w.violation = "a request ran after it was refused as not-run"
	}
	if isPayment(e.Attempt.Request) {
		w.keyRuns++
		if w.keyRuns > 1 {
			w.violation = "a key ran twice"
		}
	}
	w.later(host, runEnd{start: e})
}

func (w *protocol) finishRun(host identifier.Host, e Start, lost bool) {
	_, running := w.running[e.Attempt]
	if lost || !running {
		w.later(host, AttemptFailed{Attempt: e.Attempt, Reason: FailureBroken})
		return
	}
	delete(w.running, e.Attempt)
	w.later(host, AttemptDone{Attempt: e.Attempt, Incarnation: e.Incarnation})
}

func isPayment(id identifier.Request) bool { return id[0] == 'p' }

// arrive brings the next request: a call that may be repeated, or a payment.
func (w *protocol) arrive(host identifier.Host, payment bool) {
	w.arrived++
	ev := RequestArrived{KeyHash: "k1", Service: "orders", Timeout: 9 * protocolUnit}
	ev.Request, ev.Work = identifier.Request(fmt.Sprintf("l%d", w.arrived)), Call{Method: "GET", Path: "/look"}
	if payment {
		ev.Request, ev.Work = identifier.Request(fmt.Sprintf("p%d", w.arrived)), Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}
		ev.IdempotencyKey = "key"
	}
	w.feed(host, ev)
}

// pass lets time pass. The first owner is cut off and renews nothing; a taker does.
func (w *protocol) pass() {
	w.now = w.now.Add(protocolUnit)
	if !w.broken.pastDeadline {
		maps.DeleteFunc(w.running, func(_ identifier.Attempt, deadline time.Time) bool { return !w.now.Before(deadline) })
	}
	for _, host := range []identifier.Host{peerHost, ownerHost} {
		w.feed(host, Tick{})
	}
	if w.holder == peerHost {
		w.until = w.now.Add(protocolLease)
		w.tellHeld()
	}
}

func (w *protocol) tellHeld() {
	w.feed(w.holder, OwnershipChanged{Target: coldTarget, Held: true, Fence: w.fence, Until: w.until, TakenOver: w.fence > 1})
}

// take gives the lease to a daemon that wants it, with the wait of a take-over.
func (w *protocol) take(host identifier.Host) {
	w.fence++
	w.holder, w.until = host, w.now.Add(protocolLease)
	w.tellHeld()
}

// protocolStep is one possible transition.
type protocolStep struct {
	name string
	run  func(*protocol)
}

// protocolBounds limit the search.
type protocolBounds struct {
	depth, faults, requests, units int
	payments                       bool
	// alone lets the peer hear nobody from the start, so that it wants the target.
	alone bool
}

func (w *protocol) steps(b protocolBounds) []protocolStep {
	var steps []protocolStep
	add := func(name string, run func(*protocol)) { steps = append(steps, protocolStep{name, run}) }
	if w.now.Before(w.start.Add(time.Duration(b.units) * protocolUnit)) {
		add("time", (*protocol).pass)
	}
	for i, f := range w.flights {
		name := fmt.Sprintf("%s %T%T", f.host, f.effect, f.event)
		add(name, func(w *protocol) { w.deliver(i, false) })
		if w.faults < b.faults && losable(f) {
			add(name+" lost", func(w *protocol) { w.faults++; w.deliver(i, true) })
		}
	}
	for _, host := range []identifier.Host{peerHost, ownerHost} {
		if w.arrived < b.requests {
			add("arrive "+string(host), func(w *protocol) { w.arrive(host, b.payments) })
		}
		if w.daemons[host].targets[coldTarget].incarnation < w.incarnation {
			add("report to "+string(host), func(w *protocol) {
				w.feed(host, IncarnationSeen{Target: coldTarget, Incarnation: w.incarnation, Cold: true})
			})
		}
		free := !w.now.Before(w.until) || w.broken.earlyTaker
		if host != w.holder && free && slices.Contains(w.daemons[host].wanted, coldTarget) {
			add("take "+string(host), func(w *protocol) { w.take(host) })
		}
	}
	w.addFaults(b, add)
	return steps
}

// losable reports whether the answer or the connection of a flight can be lost.
func losable(f protocolFlight) bool {
	if isRunEnd(f.event) {
		return true
	}
	switch f.effect.(type) {
	case AskPermit, ReturnPermit, Claim:
		return true
	}
	return false
}

func (w *protocol) addFaults(b protocolBounds, add func(string, func(*protocol))) {
	if w.faults >= b.faults {
		return
	}
	add("target restarts", func(w *protocol) {
		w.faults++
		w.incarnation++
		clear(w.running)
	})
	if !w.alone {
		add("peer hears nobody", func(w *protocol) {
			w.faults++
			w.isolate()
		})
	}
}

func (w *protocol) isolate() {
	w.alone = true
	w.feed(peerHost, PeersChanged{Hosts: []identifier.Host{peerHost}})
}

// explore visits all states breadth first. It returns the trace of the first
// violation, or none, and the number of states.
func explore(w *protocol, b protocolBounds) ([]string, int) {
	seen := map[uint64]bool{w.key(): true}
	level := []*protocol{w}
	for range b.depth {
		var next []*protocol
		for _, w := range level {
			for _, s := range w.steps(b) {
				c := w.clone()
				s.run(c)
				c.trace = append(c.trace, s.name)
				if c.violation != "" {
					return append(c.trace, c.violation), len(seen)
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

// TestProtocolExhaustively visits every order of events of the small model up to
// a depth. The cases with a broken promise show that the model finds what the
// guarantees depend on.
func TestProtocolExhaustively(t *testing.T) {
	t.Parallel()
	questions := protocolBounds{depth: 9, faults: 1, requests: 2, units: 1}
	takeOver := protocolBounds{depth: 13, requests: 2, units: 8, alone: true}
	payments := protocolBounds{depth: 10, faults: 1, requests: 2, units: 1, payments: true}
	tests := []struct {
		name   string
		broken surroundingFaults
		bounds protocolBounds
		unsafe bool
	}{
		{"questions", surroundingFaults{}, questions, false},
		{"take-over", surroundingFaults{}, takeOver, false},
		{"payments", surroundingFaults{}, payments, false},
		{"executor sends late, which the deadline covers", surroundingFaults{lateSending: true}, takeOver, false},
		{"target runs past deadlines", surroundingFaults{pastDeadline: true}, takeOver, true},
		{"requests reach any incarnation", surroundingFaults{anyIncarnation: true}, protocolBounds{depth: 10, faults: 1, requests: 2}, true},
		{"lease is given away early", surroundingFaults{earlyTaker: true}, takeOver, true},
		{"platform accepts a second claim", surroundingFaults{blindClaims: true}, protocolBounds{depth: 11, requests: 2, payments: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newProtocol(test.broken)
			if test.bounds.alone {
				w.isolate()
			}
			trace, states := explore(w, test.bounds)
			t.Logf("%d states, violation after %q", states, trace)
			assert.Equal(t, trace != nil, test.unsafe)
		})
	}
}
