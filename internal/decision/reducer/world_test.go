package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// world joins several States with a model of targets, leases and claims. Its
// actions are drawn by rapid, so that events meet in any order. It judges by
// what the targets saw, never by what a State says of itself.
type world struct {
	t       *rapid.T
	now     time.Time
	fleet   specifier.Fleet
	version uint64

	hosts  []identifier.Host
	states map[identifier.Host]*State
	// processes counts the lives of each daemon.
	processes map[identifier.Host]int
	pending   []parcel

	targets map[identifier.Target]*engineModel
	leases  map[identifier.Target]*leaseModel
	claims  map[string]*claimModel

	permitCalls []permitCall
	requests    int
	// runs counts the runs of each request, keyRuns those of each idempotency key.
	runs    map[identifier.Request]int
	keyRuns map[string]int
	keyOf   map[identifier.Request]string
	ends    map[identifier.Request]int
	// outAt is when each target was last told to take no work, by each daemon.
	knowsOut map[identifier.Host]map[identifier.Target]bool
}

// parcel is an effect on its way, or an event on its way to a State.
type parcel struct {
	host   identifier.Host
	effect Effect
	event  Event
}

// engineModel is a target as it really is.
type engineModel struct {
	incarnation identifier.Incarnation
	cold        bool
	running     map[identifier.Attempt]time.Time
}

// leaseModel is the platform's record of a target's owner.
type leaseModel struct {
	host identifier.Host
	// process is the life of the daemon that took the lease; a later one can't
	// renew it.
	process int
	fence   uint64
	until   time.Time
}

// claimModel is the platform's record of a claim.
type claimModel struct {
	request  identifier.Request
	answered bool
	released bool
}

const (
	worldColdLimit = 2
	worldLease     = 10 * time.Second
)

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		hosts:     []identifier.Host{"host-a", "host-b", "host-c"},
		states:    map[identifier.Host]*State{},
		processes: map[identifier.Host]int{},
		targets:   map[identifier.Target]*engineModel{},
		leases:    map[identifier.Target]*leaseModel{},
		claims:    map[string]*claimModel{},
		runs:      map[identifier.Request]int{}, keyRuns: map[string]int{},
		keyOf: map[identifier.Request]string{}, ends: map[identifier.Request]int{},
		knowsOut: map[identifier.Host]map[identifier.Target]bool{},
	}
	w.fleet = worldFleet(w.hosts)
	w.version = 1
	for name := range w.fleet.Targets {
		w.targets[name] = &engineModel{incarnation: 1, cold: true, running: map[identifier.Attempt]time.Time{}}
	}
	for _, host := range w.hosts {
		w.boot(host)
	}
	return w
}

func worldFleet(hosts []identifier.Host) specifier.Fleet {
	profile := specifier.DefaultProfile()
	profile.RampStepTime = specifier.Duration{Duration: 100 * time.Millisecond}
	fleet := specifier.Fleet{
		Profiles: map[identifier.Profile]specifier.Profile{"lunch": profile},
		Services: map[identifier.Service]specifier.Service{
			"labels": {Kind: specifier.ServiceModel, Profile: "lunch", Models: []identifier.Model{"m"}, Class: identifier.ClassInteractive},
			"orders": {Kind: specifier.ServicePlain, Profile: "lunch", NonRepeatable: []string{"/print"}, Class: identifier.ClassStandard},
		},
		Teams:       map[identifier.Team]specifier.Team{"t1": {KeyHashes: []string{"k1"}, Weight: 1}, "t2": {KeyHashes: []string{"k2"}, Weight: 1}},
		Models:      map[identifier.Model]specifier.Model{"m": {Version: "v1", BlockBytes: 1000}},
		DataCentres: map[identifier.DataCentre]specifier.DataCentre{"dc": {State: specifier.StateIn}},
		Hosts:       map[identifier.Host]specifier.Host{},
		Targets:     map[identifier.Target]specifier.Target{},
	}
	for _, host := range hosts {
		fleet.Hosts[host] = specifier.Host{DataCentre: "dc", State: specifier.StateIn}
	}
	for i, service := range []identifier.Service{"labels", "labels", "orders"} {
		name := identifier.Target(fmt.Sprintf("target-%d", i))
		fleet.Targets[name] = specifier.Target{Service: service, DataCentre: "dc", State: specifier.StateIn, ColdLimit: worldColdLimit, WarmLimit: 4}
	}
	return fleet
}

// boot starts a daemon anew; what the old process knew is lost.
func (w *world) boot(host identifier.Host) {
	w.processes[host]++
	w.states[host] = New(Config{Host: host, DataCentre: "dc", Seed: 1, BlockSecret: []byte("secret")})
	w.pending = slices.DeleteFunc(w.pending, func(p parcel) bool { return p.host == host && p.event != nil })
	w.knowsOut[host] = map[identifier.Target]bool{}
	w.feed(host, PeersChanged{Hosts: w.hosts})
	w.feed(host, ConfigAdopted{Version: w.version, Fleet: w.fleet})
	w.noteConfig(host, w.fleet)
}

func (w *world) noteConfig(host identifier.Host, fleet specifier.Fleet) {
	for name, spec := range fleet.Targets {
		w.knowsOut[host][name] = spec.State == specifier.StateOut
	}
}

// feed gives an event to a State and queues its effects.
func (w *world) feed(host identifier.Host, ev Event) {
	if adopted, ok := ev.(ConfigAdopted); ok && adopted.Version > w.states[host].Version() {
		w.noteConfig(host, adopted.Fleet)
	}
	for _, effect := range w.states[host].Reduce(ev, w.now) {
		switch effect := effect.(type) {
		case Refuse:
			w.end(effect.Request)
			if effect.Run == RunNot && w.runs[effect.Request] > 0 {
				w.t.Fatalf("request %s was refused as not-run after %d runs: %s", effect.Request, w.runs[effect.Request], effect.Message)
			}
		case Finish:
			w.end(effect.Request)
			if w.runs[effect.Request] == 0 {
				w.t.Fatalf("request %s finished without a run", effect.Request)
			}
		case Replay:
			w.end(effect.Request)
		case Start:
			if w.knowsOut[host][effect.Target] {
				w.t.Fatalf("%s started %s on %s, which it knows to be out", host, effect.Attempt, effect.Target)
			}
			w.pending = append(w.pending, parcel{host: host, effect: effect})
		default:
			w.pending = append(w.pending, parcel{host: host, effect: effect})
		}
	}
}

func (w *world) end(id identifier.Request) {
	w.ends[id]++
	if w.ends[id] > 1 {
		w.t.Fatalf("request %s ended %d times", id, w.ends[id])
	}
}

func (w *world) later(host identifier.Host, ev Event) {
	w.pending = append(w.pending, parcel{host: host, event: ev})
}

// take removes one parcel of any position, so that parcels may overtake each other.
func (w *world) take() (parcel, bool) {
	if len(w.pending) == 0 {
		return parcel{}, false
	}
	i := rapid.IntRange(0, min(len(w.pending)-1, 12)).Draw(w.t, "parcel")
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	return p, true
}

// deliverFirst carries out the first parcel.
func (w *world) deliverFirst() {
	p := w.pending[0]
	w.pending = w.pending[1:]
	if p.event != nil {
		w.feed(p.host, p.event)
		return
	}
	switch e := p.effect.(type) {
	case Lookup:
		w.later(p.host, LookupDone{Request: e.Request, Store: e.Store, Failed: true})
	case Claim:
		w.settleClaim(p.host, e)
	case ReleaseClaim:
		if c := w.claims[claimName(e.Team, e.IdempotencyKey)]; c != nil && c.request == e.Request {
			c.released = true
		}
	case RecordAnswer:
		if c := w.claims[w.keyOf[e.Request]]; c != nil {
			c.answered = true
		}
	case AskPermit:
		w.feed(e.Owner, PermitAsked{Call: w.nextCall(p.host, e), From: p.host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term})
	case AnswerPermit:
		w.answerPermit(e)
	case ReturnPermit:
		w.feed(e.Owner, PermitReturned{From: p.host, Target: e.Target, Request: e.Request, Number: e.Number})
	case Start:
		w.deliverStart(p.host, e)
	}
}

// permitCall remembers who asked.
type permitCall struct {
	host  identifier.Host
	ask   AskPermit
	asked time.Time
}

func (w *world) nextCall(host identifier.Host, e AskPermit) uint64 {
	w.permitCalls = append(w.permitCalls, permitCall{host, e, w.now})
	return uint64(len(w.permitCalls) - 1)
}

func (w *world) answerPermit(e AnswerPermit) {
	call := w.permitCalls[e.Call]
	w.later(call.host, PermitSettled{
		Owner: call.ask.Owner, Request: call.ask.Request, Number: call.ask.Number, Target: call.ask.Target,
		Granted: e.Granted, RetryAfter: e.RetryAfter, Incarnation: e.Incarnation, Asked: call.asked,
	})
}

func claimName(team identifier.Team, key string) string { return string(team) + "/" + key }

func (w *world) settleClaim(host identifier.Host, e Claim) {
	name := claimName(e.Team, e.IdempotencyKey)
	outcome := ClaimWon
	known := w.claims[name]
	switch {
	case rapid.IntRange(0, 9).Draw(w.t, "platform") == 0:
		outcome = ClaimUnsettled
	case known == nil || known.released:
		w.claims[name] = &claimModel{request: e.Request}
	case known.answered:
		outcome = ClaimAnswered
	default:
		outcome = ClaimHeld
	}
	w.later(host, ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
}

// deliverStart lets a request reach its target, or not.
func (w *world) deliverStart(host identifier.Host, e Start) {
	engine := w.targets[e.Target]
	fail := AttemptFailed{Attempt: e.Attempt, Proven: true, Reason: FailureUnreachable}
	switch {
	case !e.SendBy.IsZero() && !w.now.Before(e.SendBy):
		fail.Reason = FailureLate
	case !w.now.Before(e.Deadline):
		fail.Reason = FailureDeadline
	case e.Incarnation != engine.incarnation:
		fail.Reason = FailureIncarnation
		w.later(host, IncarnationSeen{Target: e.Target, Incarnation: engine.incarnation, Cold: engine.cold})
	case rapid.IntRange(0, 9).Draw(w.t, "dial") > 0:
		w.run(host, e, engine)
		return
	}
	w.later(host, fail)
}

// run lets a target take a request in and fixes how it will end.
func (w *world) run(host identifier.Host, e Start, engine *engineModel) {
	engine.running[e.Attempt] = e.Deadline
	w.runs[e.Attempt.Request]++
	if key := w.keyOf[e.Attempt.Request]; key != "" {
		w.keyRuns[key]++
		if w.keyRuns[key] > 1 {
			w.t.Fatalf("key %s ran %d times", key, w.keyRuns[key])
		}
	}
	w.checkCold(e.Target, engine)
	w.later(host, runEnd{start: e})
}

// runEnd is the model's own event: the moment at which a run ends.
type runEnd struct{ start Start }

func (runEnd) isEvent() {}

// finishRun ends a run and tells its daemon.
func (w *world) finishRun(host identifier.Host, e Start) {
	engine := w.targets[e.Target]
	_, running := engine.running[e.Attempt]
	delete(engine.running, e.Attempt)
	whole := running && engine.incarnation == e.Incarnation && rapid.IntRange(0, 4).Draw(w.t, "answer") > 0
	if !whole {
		w.later(host, AttemptFailed{Attempt: e.Attempt, Reason: FailureBroken, Incarnation: engine.incarnation})
		return
	}
	w.later(host, AttemptStarted{Attempt: e.Attempt, Incarnation: engine.incarnation})
	w.later(host, AttemptDone{Attempt: e.Attempt, Incarnation: engine.incarnation, Tokens: 1})
}

func (w *world) checkCold(name identifier.Target, engine *engineModel) {
	if engine.cold && len(engine.running) > worldColdLimit {
		w.t.Fatalf("%s is cold and runs %d requests, its limit is %d", name, len(engine.running), worldColdLimit)
	}
}

// advance lets time pass. Runs end at their deadline at the latest.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, engine := range w.targets {
		for attempt, deadline := range engine.running {
			if !w.now.Before(deadline) {
				delete(engine.running, attempt)
			}
		}
	}
	for _, host := range w.hosts {
		w.feed(host, Tick{})
	}
}

// grantLease gives a target to a daemon once the old lease has ended.
func (w *world) grantLease(name identifier.Target, host identifier.Host) {
	lease := w.leases[name]
	if lease != nil && w.now.Before(lease.until) {
		return
	}
	fence := uint64(1)
	if lease != nil {
		fence = lease.fence + 1
	}
	w.leases[name] = &leaseModel{host: host, process: w.processes[host], fence: fence, until: w.now.Add(worldLease)}
	w.later(host, OwnershipChanged{Target: name, Held: true, Fence: fence, Until: w.now.Add(worldLease), TakenOver: lease != nil})
}

func (w *world) renewLease(name identifier.Target) {
	lease := w.leases[name]
	if lease == nil || !w.now.Before(lease.until) || lease.process != w.processes[lease.host] {
		return
	}
	lease.until = w.now.Add(worldLease)
	w.later(lease.host, OwnershipChanged{Target: name, Held: true, Fence: lease.fence, Until: lease.until})
}

// arrive brings a new request to some daemon.
func (w *world) arrive(host identifier.Host, work Work, key string, team string) {
	w.requests++
	id := identifier.Request(fmt.Sprintf("r%d", w.requests))
	if call, ok := work.(Call); ok && strings.HasPrefix(call.Path, "/print") && key != "" {
		w.keyOf[id] = claimName(identifier.Team("t"+strings.TrimPrefix(team, "k")), key)
	}
	w.feed(host, RequestArrived{Request: id, KeyHash: team, Service: serviceOf(work), IdempotencyKey: key, Timeout: 20 * time.Second, Work: work})
}

func serviceOf(work Work) identifier.Service {
	if _, ok := work.(Call); ok {
		return "orders"
	}
	return "labels"
}

func promptOf(text string) Prompt {
	return Prompt{Model: "m", Tokens: hasher.Tokens(len(text)), MaxTokens: 8, Digests: hasher.Digests(text)}
}
