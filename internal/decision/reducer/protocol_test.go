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

// The protocol model has two daemons, one cold target with a limit of one request,
// one lease and one claim. Its clock advances by protocolTick.
const (
	protocolTick      = 10 * time.Second
	protocolLease     = 3 * protocolTick
	protocolColdLimit = 1
	ownerHost         = identifier.Host("host-b")
	peerHost          = identifier.Host("host-a")
)

// brokenAssumptions selects the assumptions about the environment that the model
// violates.
type brokenAssumptions struct {
	// runsPastDeadline makes the target continue requests after their deadline.
	runsPastDeadline bool
	// ignoresIncarnation lets a request run on another incarnation than it was sent to.
	ignoresIncarnation bool
	// sendsLate makes the executor send requests after SendBy.
	sendsLate bool
	// reassignsLeaseEarly makes the platform reassign the lease before it expires.
	reassignsLeaseEarly bool
	// acceptsDuplicateClaims makes the platform accept a second claim under the same key.
	acceptsDuplicateClaims bool
}

// protocolModel is one state of the model.
type protocolModel struct {
	broken      brokenAssumptions
	now         time.Time
	start       time.Time
	daemons     map[identifier.Host]*State
	messages    []protocolMessage
	permitCalls []protocolPermitCall
	// incarnation and running describe the target, which stays cold.
	incarnation  identifier.Incarnation
	running      map[identifier.Attempt]time.Time
	holder       identifier.Host
	fence        uint64
	until        time.Time
	claim        claimModel
	runs         map[identifier.Request]int
	keyRuns      int
	notRun       map[identifier.Request]bool
	arrived      int
	faults       int
	peerIsolated bool
	violation    string
	trace        []string
}

// protocolMessage is a message with its description, which is part of the state's hash.
type protocolMessage struct {
	message
	description string
}

func newProtocolMessage(msg message) protocolMessage {
	return protocolMessage{msg, fmt.Sprintf("%s%T%+v%T%+v;", msg.host, msg.effect, msg.effect, msg.event, msg.event)}
}

// protocolPermitCall is a permit call from one daemon to the other.
type protocolPermitCall struct {
	request RequestPermit
	sentAt  time.Time
	done    bool
}

func newProtocolModel(broken brokenAssumptions) *protocolModel {
	m := &protocolModel{
		broken: broken, now: protocolStart, start: protocolStart, incarnation: 1,
		daemons: map[identifier.Host]*State{}, running: map[identifier.Attempt]time.Time{},
		runs: map[identifier.Request]int{}, notRun: map[identifier.Request]bool{},
		holder: ownerHost, fence: 1, until: protocolStart.Add(protocolLease),
	}
	hosts := []identifier.Host{peerHost, ownerHost}
	fleet := testFleet(hosts)
	delete(fleet.Targets, "target-0")
	delete(fleet.Targets, "target-1")
	spec := fleet.Targets[coldTarget]
	spec.ColdLimit = protocolColdLimit
	fleet.Targets[coldTarget] = spec
	for _, host := range hosts {
		m.daemons[host] = New(Config{Host: host, DataCentre: nearCentre, Seed: 1, BlockSecret: []byte("secret"), MaxPrefixes: 1})
		m.handleEvent(host, PeersChanged{Hosts: hosts})
		m.handleEvent(host, ConfigAdopted{Version: 1, Fleet: fleet})
		m.handleEvent(host, IncarnationObserved{Target: coldTarget, Incarnation: 1, Cold: true})
	}
	m.notifyHolder()
	m.messages = nil
	return m
}

var protocolStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (m *protocolModel) clone() *protocolModel {
	c := *m
	c.daemons = map[identifier.Host]*State{}
	for host, s := range m.daemons {
		c.daemons[host] = s.cloneForModel()
	}
	c.messages, c.permitCalls, c.trace = slices.Clone(m.messages), slices.Clone(m.permitCalls), slices.Clip(m.trace)
	c.running, c.runs, c.notRun = maps.Clone(m.running), maps.Clone(m.runs), maps.Clone(m.notRun)
	return &c
}

// cloneForModel copies a State that uses no prompts, links or team limits.
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
	c.pendingPermits = maps.Clone(s.pendingPermits)
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
		copied := &fairQueue{virtualTime: q.virtualTime, virtualFinish: maps.Clone(q.virtualFinish)}
		for _, r := range q.waiting {
			heap.Push(&copied.waiting, c.requests[r.id])
		}
		c.queues[service] = copied
	}
	return &c
}

// hashState returns a hash of everything that influences later transitions.
func (m *protocolModel) hashState() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, m.now.Sub(m.start), m.incarnation, len(m.running), m.holder, m.fence, m.until.Sub(m.start), m.claim, m.runs, m.notRun, m.keyRuns, m.arrived, m.faults, m.peerIsolated)
	for _, attempt := range slices.SortedFunc(maps.Keys(m.running), compareAttempts) {
		fmt.Fprint(h, attempt.Request, attempt.Number, m.running[attempt].Unix())
	}
	for _, msg := range m.messages {
		_, _ = h.Write([]byte(msg.description))
	}
	for _, call := range m.permitCalls {
		fmt.Fprint(h, call.done)
	}
	for _, host := range []identifier.Host{peerHost, ownerHost} {
		m.daemons[host].writeModelState(h)
	}
	return h.Sum64()
}

func compareAttempts(a, b identifier.Attempt) int {
	return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
}

// writeModelState writes the parts of a State that influence later transitions.
func (s *State) writeModelState(h io.Writer) {
	t := s.targets[coldTarget]
	fmt.Fprint(h, s.cfg.Host, len(s.wantedTargets), len(s.pendingPermits), s.retryBudget, t.incarnation, t.inflight, t.permitPending, t.permitRetryAt.UnixMilli(), t.failures, t.openUntil.UnixMilli())
	if own := s.owned[coldTarget]; own != nil {
		var permits []string
		for key, p := range own.permits {
			permits = append(permits, fmt.Sprint(key.host, key.request, key.number, p.until.Unix(), p.incarnation))
		}
		slices.Sort(permits)
		fmt.Fprint(h, own.fence, own.heldUntil.Unix(), own.admittedUntil.Unix(), own.usableFrom.Unix(), permits)
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		fmt.Fprint(h, id, r.phase, r.attemptNumber, r.permitRequests, r.sendBy.Unix(), r.cutoff.Unix(), r.permitFrom, r.incarnation, r.mayHaveRun, r.claimed, len(r.tried))
	}
}

func (m *protocolModel) handleEvent(host identifier.Host, ev Event) {
	for _, effect := range m.daemons[host].Reduce(ev, m.now) {
		switch e := effect.(type) {
		case Refuse:
			m.notRun[e.Request] = e.Run == RunStateNotRun
			if e.Run == RunStateNotRun && m.runs[e.Request] > 0 {
				m.violation = "a request that ran was refused as not-run"
			}
		case Start, Claim, ReleaseClaim, RecordAnswer, RequestPermit, AnswerPermit, ReturnPermit:
			m.messages = append(m.messages, newProtocolMessage(message{host: host, effect: effect}))
		}
	}
}

func (m *protocolModel) sendEvent(host identifier.Host, ev Event) {
	m.messages = append(m.messages, newProtocolMessage(message{host: host, event: ev}))
}

// deliverMessage delivers message i. If lost is true, its answer or connection is lost.
func (m *protocolModel) deliverMessage(i int, lost bool) {
	msg := m.messages[i]
	m.messages = slices.Delete(slices.Clone(m.messages), i, i+1)
	switch e := msg.event.(type) {
	case nil:
		m.execute(msg.host, msg.effect, lost)
	case runEnd:
		m.finishRun(msg.host, e.start, lost)
	default:
		m.handleEvent(msg.host, msg.event)
	}
}

func (m *protocolModel) execute(host identifier.Host, effect Effect, lost bool) {
	switch e := effect.(type) {
	case Start:
		m.deliverStart(host, e)
	case RequestPermit:
		m.permitCalls = append(m.permitCalls, protocolPermitCall{request: e, sentAt: m.now, done: lost})
		m.sendEvent(e.Owner, PermitRequested{Call: uint64(len(m.permitCalls) - 1), From: host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term})
		if lost {
			m.sendEvent(host, PermitAnswered{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, CalledAt: m.now})
			m.messages = append(m.messages, newProtocolMessage(message{host: host, effect: ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target}}))
		}
	case AnswerPermit:
		if call := &m.permitCalls[e.Call]; !call.done {
			call.done = true
			m.sendEvent(peerOf(host), PermitAnswered{
				Owner: host, Request: call.request.Request, Number: call.request.Number, Target: call.request.Target,
				Granted: e.Granted, RetryAfter: e.RetryAfter, Incarnation: e.Incarnation, CalledAt: call.sentAt,
			})
		}
	case ReturnPermit:
		if !lost {
			m.sendEvent(e.Owner, PermitReturned{From: host, Target: e.Target, Request: e.Request, Number: e.Number})
		}
	default:
		m.executeClaim(host, effect, lost)
	}
}

func peerOf(host identifier.Host) identifier.Host {
	if host == ownerHost {
		return peerHost
	}
	return ownerHost
}

func (m *protocolModel) executeClaim(host identifier.Host, effect Effect, lost bool) {
	switch e := effect.(type) {
	case Claim:
		outcome := ClaimHeld
		if m.claim.request == "" || m.claim.released || m.broken.acceptsDuplicateClaims {
			m.claim = claimModel{request: e.Request}
			outcome = ClaimWon
		} else if m.claim.answered {
			outcome = ClaimAnswered
		}
		if lost && outcome == ClaimWon {
			outcome = ClaimUnsettled
			m.messages = append(m.messages, newProtocolMessage(message{host: host, effect: ReleaseClaim{Request: e.Request}}))
		}
		m.sendEvent(host, ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
	case ReleaseClaim:
		m.claim.released = m.claim.released || m.claim.request == e.Request && !m.claim.answered
	case RecordAnswer:
		m.claim.answered = m.claim.answered || m.claim.request == e.Request
	}
}

func (m *protocolModel) deliverStart(host identifier.Host, e Start) {
	fail := AttemptFailed{Attempt: e.Attempt, ProvenNotRun: true, Reason: FailurePermissionExpired}
	switch {
	case !e.SendBy.IsZero() && !m.now.Before(e.SendBy) && !m.broken.sendsLate:
	case !m.now.Before(e.Deadline):
		fail.Reason = FailureDeadline
	case e.Incarnation != m.incarnation && !m.broken.ignoresIncarnation:
		fail.Reason = FailureWrongIncarnation
		m.sendEvent(host, IncarnationObserved{Target: e.Target, Incarnation: m.incarnation, Cold: true})
	default:
		m.startRun(host, e)
		return
	}
	m.sendEvent(host, fail)
}

func (m *protocolModel) startRun(host identifier.Host, e Start) {
	m.running[e.Attempt] = e.Deadline
	m.runs[e.Attempt.Request]++
	if len(m.running) > protocolColdLimit {
		m.violation = "the cold target runs more than its limit"
	}
	if m.notRun[e.Attempt.Request] {
		m.violation = "a request ran after it was refused as not-run"
	}
	if isPayment(e.Attempt.Request) {
		m.keyRuns++
		if m.keyRuns > 1 {
			m.violation = "a key ran twice"
		}
	}
	m.sendEvent(host, runEnd{start: e})
}

func (m *protocolModel) finishRun(host identifier.Host, e Start, lost bool) {
	_, running := m.running[e.Attempt]
	if lost || !running {
		m.sendEvent(host, AttemptFailed{Attempt: e.Attempt, Reason: FailureBroken})
		return
	}
	delete(m.running, e.Attempt)
	m.sendEvent(host, AttemptDone{Attempt: e.Attempt, Incarnation: e.Incarnation})
}

func isPayment(id identifier.Request) bool { return id[0] == 'p' }

// sendRequest sends the next request: a repeatable call, or a payment that must not
// run twice.
func (m *protocolModel) sendRequest(host identifier.Host, payment bool) {
	m.arrived++
	ev := RequestArrived{KeyHash: "k1", Service: "orders", Timeout: 9 * protocolTick}
	ev.Request, ev.Work = identifier.Request(fmt.Sprintf("l%d", m.arrived)), Call{Method: "GET", Path: "/look"}
	if payment {
		ev.Request, ev.Work = identifier.Request(fmt.Sprintf("p%d", m.arrived)), Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}
		ev.IdempotencyKey = "key"
	}
	m.handleEvent(host, ev)
}

// advance advances the clock by one tick. The first owner can't reach the platform and
// doesn't renew its lease; a later holder does.
func (m *protocolModel) advance() {
	m.now = m.now.Add(protocolTick)
	if !m.broken.runsPastDeadline {
		maps.DeleteFunc(m.running, func(_ identifier.Attempt, deadline time.Time) bool { return !m.now.Before(deadline) })
	}
	for _, host := range []identifier.Host{peerHost, ownerHost} {
		m.handleEvent(host, Tick{})
	}
	if m.holder == peerHost {
		m.until = m.now.Add(protocolLease)
		m.notifyHolder()
	}
}

func (m *protocolModel) notifyHolder() {
	m.handleEvent(m.holder, OwnershipChanged{Target: coldTarget, Held: true, Fence: m.fence, Until: m.until, TakenOver: m.fence > 1})
}

// takeLease gives the lease to a daemon that wants the target, as a takeover.
func (m *protocolModel) takeLease(host identifier.Host) {
	m.fence++
	m.holder, m.until = host, m.now.Add(protocolLease)
	m.notifyHolder()
}

// protocolStep is a possible transition.
type protocolStep struct {
	name string
	run  func(*protocolModel)
}

// protocolBounds limit the search.
type protocolBounds struct {
	depth, faults, requests, ticks int
	payments                       bool
	// peerIsolated makes the peer consider itself the only live daemon from the
	// start, so that it wants to own the target.
	peerIsolated bool
}

func (m *protocolModel) steps(b protocolBounds) []protocolStep {
	var steps []protocolStep
	add := func(name string, run func(*protocolModel)) { steps = append(steps, protocolStep{name, run}) }
	if m.now.Before(m.start.Add(time.Duration(b.ticks) * protocolTick)) {
		add("time", (*protocolModel).advance)
	}
	for i, msg := range m.messages {
		name := fmt.Sprintf("%s %T%T", msg.host, msg.effect, msg.event)
		add(name, func(m *protocolModel) { m.deliverMessage(i, false) })
		if m.faults < b.faults && canBeLost(msg) {
			add(name+" lost", func(m *protocolModel) { m.faults++; m.deliverMessage(i, true) })
		}
	}
	for _, host := range []identifier.Host{peerHost, ownerHost} {
		if m.arrived < b.requests {
			add("arrive "+string(host), func(m *protocolModel) { m.sendRequest(host, b.payments) })
		}
		if m.daemons[host].targets[coldTarget].incarnation < m.incarnation {
			add("report to "+string(host), func(m *protocolModel) {
				m.handleEvent(host, IncarnationObserved{Target: coldTarget, Incarnation: m.incarnation, Cold: true})
			})
		}
		free := !m.now.Before(m.until) || m.broken.reassignsLeaseEarly
		if host != m.holder && free && slices.Contains(m.daemons[host].wantedTargets, coldTarget) {
			add("take "+string(host), func(m *protocolModel) { m.takeLease(host) })
		}
	}
	m.addFaults(b, add)
	return steps
}

// canBeLost reports whether the answer or the connection of a message can be lost.
func canBeLost(msg protocolMessage) bool {
	if isRunEnd(msg.event) {
		return true
	}
	switch msg.effect.(type) {
	case RequestPermit, ReturnPermit, Claim:
		return true
	}
	return false
}

func (m *protocolModel) addFaults(b protocolBounds, add func(string, func(*protocolModel))) {
	if m.faults >= b.faults {
		return
	}
	add("target restarts", func(m *protocolModel) {
		m.faults++
		m.incarnation++
		clear(m.running)
	})
	if !m.peerIsolated {
		add("peer is isolated", func(m *protocolModel) {
			m.faults++
			m.isolatePeer()
		})
	}
}

func (m *protocolModel) isolatePeer() {
	m.peerIsolated = true
	m.handleEvent(peerHost, PeersChanged{Hosts: []identifier.Host{peerHost}})
}

// explore visits all states in breadth-first order. It returns the trace of the first
// violation, or nil, and the number of states.
func explore(m *protocolModel, b protocolBounds) ([]string, int) {
	seen := map[uint64]bool{m.hashState(): true}
	level := []*protocolModel{m}
	for range b.depth {
		var next []*protocolModel
		for _, m := range level {
			for _, s := range m.steps(b) {
				c := m.clone()
				s.run(c)
				c.trace = append(c.trace, s.name)
				if c.violation != "" {
					return append(c.trace, c.violation), len(seen)
				}
				if k := c.hashState(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
			}
		}
		level = next
	}
	return nil, len(seen)
}

// TestProtocolExhaustively explores every order of events in the protocol model up to
// a depth. The cases with a broken assumption must find a violation, except the one
// whose name says why it is harmless: they show which assumptions the guarantees need,
// and that the model can detect violations.
func TestProtocolExhaustively(t *testing.T) {
	t.Parallel()
	permitCalls := protocolBounds{depth: 9, faults: 1, requests: 2, ticks: 1}
	takeover := protocolBounds{depth: 13, requests: 2, ticks: 8, peerIsolated: true}
	payments := protocolBounds{depth: 10, faults: 1, requests: 2, ticks: 1, payments: true}
	tests := []struct {
		name   string
		broken brokenAssumptions
		bounds protocolBounds
		unsafe bool
	}{
		{"permit calls", brokenAssumptions{}, permitCalls, false},
		{"takeover", brokenAssumptions{}, takeover, false},
		{"payments", brokenAssumptions{}, payments, false},
		{"executor sends late, which the deadline covers", brokenAssumptions{sendsLate: true}, takeover, false},
		{"target runs past deadlines", brokenAssumptions{runsPastDeadline: true}, takeover, true},
		{"requests reach any incarnation", brokenAssumptions{ignoresIncarnation: true}, protocolBounds{depth: 10, faults: 1, requests: 2}, true},
		{"lease is reassigned early", brokenAssumptions{reassignsLeaseEarly: true}, takeover, true},
		{"platform accepts a second claim", brokenAssumptions{acceptsDuplicateClaims: true}, protocolBounds{depth: 11, requests: 2, payments: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			m := newProtocolModel(test.broken)
			if test.bounds.peerIsolated {
				m.isolatePeer()
			}
			trace, states := explore(m, test.bounds)
			t.Logf("%d states, violation after %q", states, trace)
			assert.Equal(t, trace != nil, test.unsafe)
		})
	}
}
