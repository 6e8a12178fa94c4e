package reducer

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// world joins several States with a model of targets, stores, leases and claims.
// Its actions are drawn by rapid, so that events meet in any order. It judges by
// what the targets saw, never by what a State says of itself.
type world struct {
	t       *rapid.T
	now     time.Time
	fleet   specifier.Fleet
	version uint64
	// weights counts the weight versions.
	weights int

	hosts     []identifier.Host
	processes map[identifier.Host]*process
	pending   []parcel
	// split is true while the two data centres don't reach each other.
	split bool
	// platformDown is true while no lease can be renewed and no claim settled.
	platformDown bool
	// healed is true once no further faults happen.
	healed bool

	targets map[identifier.Target]*engineModel
	stores  map[identifier.Store]map[identifier.BlockKey]blockModel
	leases  map[identifier.Target]*leaseModel
	fence   uint64
	claims  map[string]*claimModel
	keyer   *hasher.Keyer

	permitCalls []permitCall
	linkCalls   []linkCall
	requests    map[identifier.Request]*requestModel
	keyRuns     map[string]int
}

// process is one life of a daemon.
type process struct {
	state *State
	// life counts the lives of the host's daemon.
	life int
	// knowsOut and knowsLeaving hold the targets that the daemon was told to leave alone.
	knowsOut     map[identifier.Target]bool
	knowsLeaving map[identifier.Target]bool
	wants        []identifier.Target
	// weights is the weight version in force here.
	weights  int
	open     map[identifier.Request]bool
	admitted int
	retries  int
	draining bool
	drained  bool
	// endsAt is when a drained daemon ends.
	endsAt time.Time
}

// parcel is an effect on its way, or an event on its way to a State.
type parcel struct {
	host   identifier.Host
	effect Effect
	event  Event
}

// requestModel is what the world knows of one request.
type requestModel struct {
	host    identifier.Host
	team    identifier.Team
	digests []hasher.Digest
	claim   string
	// weights is the weight version in force where and when the request arrived.
	weights int
	// started is the version of the last start, sent the last attempt that was sent.
	started string
	sent    *Start
	runs    int
	ends    int
	// answered is true if the request ended by a whole answer.
	answered bool
	notRun   bool
	refusal  string
}

// engineModel is a target as it really is.
type engineModel struct {
	incarnation identifier.Incarnation
	cold        bool
	running     map[identifier.Attempt]time.Time
	// versions are the weight versions that it has loaded.
	versions map[identifier.WeightVersion]bool
	cache    map[identifier.BlockKey]blockModel
}

// blockModel says under which scope a block was computed.
type blockModel struct {
	team    identifier.Team
	version identifier.WeightVersion
}

// leaseModel is the platform's record of a target's owner.
type leaseModel struct {
	host identifier.Host
	// life is the life of the daemon that took the lease; a later one can't
	// renew it.
	life    int
	fence   uint64
	until   time.Time
	created bool
	// deleteAt is when its holder deletes the record; zero while it is wanted.
	deleteAt time.Time
	lapsed   bool
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
	// worldMargin is the longest time between a decision to send and the sending.
	worldMargin = time.Second
	nearCentre  = identifier.DataCentre("dc")
	farCentre   = identifier.DataCentre("dc-far")
)

func newWorld(t *rapid.T, coldLimit int) *world {
	w := &world{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), version: 1, weights: 1,
		hosts:     []identifier.Host{"host-a", "host-b", "host-c"},
		processes: map[identifier.Host]*process{},
		targets:   map[identifier.Target]*engineModel{},
		stores:    map[identifier.Store]map[identifier.BlockKey]blockModel{},
		leases:    map[identifier.Target]*leaseModel{},
		claims:    map[string]*claimModel{},
		keyer:     hasher.New(hasher.Config{Secret: []byte("secret")}),
		requests:  map[identifier.Request]*requestModel{},
		keyRuns:   map[string]int{},
	}
	w.fleet = twoCentres(worldFleet(w.hosts))
	for name, spec := range w.fleet.Targets {
		spec.ColdLimit = coldLimit
		w.fleet.Targets[name] = spec
		w.targets[name] = &engineModel{
			incarnation: 1, cold: true, running: map[identifier.Attempt]time.Time{},
			versions: map[identifier.WeightVersion]bool{"v1": true}, cache: map[identifier.BlockKey]blockModel{},
		}
	}
	for name := range w.fleet.Stores {
		w.stores[name] = map[identifier.BlockKey]blockModel{}
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
		DataCentres: map[identifier.DataCentre]specifier.DataCentre{nearCentre: {State: specifier.StateIn}},
		Hosts:       map[identifier.Host]specifier.Host{},
		Targets:     map[identifier.Target]specifier.Target{},
	}
	for _, host := range hosts {
		fleet.Hosts[host] = specifier.Host{DataCentre: nearCentre, State: specifier.StateIn}
	}
	for i, service := range []identifier.Service{"labels", "labels", "orders"} {
		fleet.Targets[targetName(i)] = worldTarget(service, nearCentre)
	}
	return fleet
}

func targetName(i int) identifier.Target { return identifier.Target(fmt.Sprintf("target-%d", i)) }

func worldTarget(service identifier.Service, centre identifier.DataCentre) specifier.Target {
	return specifier.Target{Service: service, DataCentre: centre, State: specifier.StateIn, ColdLimit: worldColdLimit, WarmLimit: 4}
}

// twoCentres adds a second data centre with host-c, a target of each service and
// a store, and a store in the first one.
func twoCentres(fleet specifier.Fleet) specifier.Fleet {
	fleet.DataCentres[farCentre] = specifier.DataCentre{State: specifier.StateIn}
	fleet.Hosts["host-c"] = specifier.Host{DataCentre: farCentre, State: specifier.StateIn}
	fleet.Targets[targetName(3)] = worldTarget("labels", farCentre)
	fleet.Targets[targetName(4)] = worldTarget("orders", farCentre)
	fleet.Stores = map[identifier.Store]specifier.Store{
		"store-near": {DataCentre: nearCentre, State: specifier.StateIn, LinkBytesPerSecond: 1 << 30},
		"store-far":  {DataCentre: farCentre, State: specifier.StateIn, LinkBytesPerSecond: 1 << 30},
	}
	return fleet
}

// boot starts a daemon anew; what the old process knew is lost.
func (w *world) boot(host identifier.Host) {
	p := &process{
		state: New(Config{Host: host, DataCentre: w.fleet.Hosts[host].DataCentre, Seed: 1, BlockSecret: []byte("secret"), MaxPrefixes: 256}),
		life:  1, open: map[identifier.Request]bool{},
		knowsOut: map[identifier.Target]bool{}, knowsLeaving: map[identifier.Target]bool{},
	}
	if old := w.processes[host]; old != nil {
		p.life = old.life + 1
		for id := range old.open {
			w.requests[id].host = ""
		}
	}
	w.processes[host] = p
	w.pending = slices.DeleteFunc(w.pending, func(p parcel) bool { return p.host == host && p.event != nil && !isRunEnd(p.event) })
	w.feed(host, PeersChanged{Hosts: w.hosts})
	w.feed(host, ConfigAdopted{Version: w.version, Fleet: w.fleet})
}

// noteConfig remembers what a daemon was told by a configuration.
func (p *process) noteConfig(fleet specifier.Fleet) {
	for name, spec := range fleet.Targets {
		p.knowsOut[name] = spec.State == specifier.StateOut || fleet.DataCentres[spec.DataCentre].State == specifier.StateOut
	}
	_, _ = fmt.Sscanf(string(fleet.Models["m"].Version), "v%d", &p.weights)
}

// feed gives an event to a State, judges its effects and queues them.
func (w *world) feed(host identifier.Host, ev Event) {
	p := w.processes[host]
	before := p.state.Version()
	if adopted, ok := ev.(ConfigAdopted); ok && adopted.Version > before {
		p.noteConfig(adopted.Fleet)
	}
	if members, ok := ev.(MembersChanged); ok {
		clear(p.knowsLeaving)
		for _, name := range members.Leaving {
			p.knowsLeaving[name] = true
		}
	}
	effects := p.state.Reduce(ev, w.now)
	if gone := goneRequest(ev); p.state.requests[gone] == nil {
		delete(p.open, gone)
	}
	if p.state.Version() < before {
		w.t.Fatalf("%s went back from configuration %d to %d", host, before, p.state.Version())
	}
	w.judgeQueues(host, p.state)
	for _, effect := range effects {
		w.judge(host, p, effect)
		w.pending = append(w.pending, parcel{host: host, effect: effect})
	}
}

func (w *world) later(host identifier.Host, ev Event) {
	w.pending = append(w.pending, parcel{host: host, event: ev})
}

// reach reports whether two hosts, or a host and a target, reach each other.
func (w *world) reach(a, b identifier.DataCentre) bool { return !w.split || a == b }

func (w *world) centre(host identifier.Host) identifier.DataCentre {
	return w.fleet.Hosts[host].DataCentre
}

// oneIn draws true once in n times, and never once the world is healed.
func (w *world) oneIn(n int, what string) bool {
	return !w.healed && rapid.IntRange(0, n-1).Draw(w.t, what) == 0
}

// advance lets time pass. Runs end at their deadline, records that were given up
// are deleted, and drained daemons are replaced.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, engine := range w.targets {
		maps.DeleteFunc(engine.running, func(_ identifier.Attempt, deadline time.Time) bool { return !w.now.Before(deadline) })
	}
	for _, name := range w.targetNames() {
		w.ageLease(name)
	}
	for _, host := range w.hosts {
		w.feed(host, Tick{})
		if p := w.processes[host]; p.drained && !w.now.Before(p.endsAt) {
			w.boot(host)
		}
	}
}

func (w *world) targetNames() []identifier.Target { return slices.Sorted(maps.Keys(w.targets)) }

// alive reports whether the process that took the lease still runs.
func (w *world) alive(l *leaseModel) bool { return w.processes[l.host].life == l.life }

func (w *world) ageLease(name identifier.Target) {
	l := w.leases[name]
	if l == nil || !w.alive(l) {
		return
	}
	if !l.deleteAt.IsZero() && !w.now.Before(l.deleteAt) && !w.platformDown {
		delete(w.leases, name)
		return
	}
	if !l.lapsed && !w.now.Before(l.until) {
		l.lapsed = true
		w.later(l.host, OwnershipChanged{Target: name})
	}
}

// giveUp starts to delete the records of targets that a daemon wants no more, and
// keeps those that it wants again.
func (w *world) giveUp(host identifier.Host, p *process) {
	for _, name := range w.targetNames() {
		l := w.leases[name]
		if l == nil || l.host != host || l.life != p.life {
			continue
		}
		wanted := slices.Contains(p.wants, name)
		if !wanted && l.deleteAt.IsZero() {
			l.deleteAt = w.now.Add(worldMargin)
			w.later(host, OwnershipChanged{Target: name})
		}
		if wanted && !l.deleteAt.IsZero() {
			l.deleteAt = time.Time{}
			w.tellHeld(name, l)
		}
	}
}

func (w *world) tellHeld(name identifier.Target, l *leaseModel) {
	w.later(l.host, OwnershipChanged{Target: name, Held: true, Fence: l.fence, Until: l.until, TakenOver: !l.created})
}

// grantLease gives a target to a daemon that wants it, once the old lease has ended.
func (w *world) grantLease(name identifier.Target, host identifier.Host) {
	p, l := w.processes[host], w.leases[name]
	if w.platformDown || !slices.Contains(p.wants, name) || l != nil && w.now.Before(l.until) {
		return
	}
	w.fence++
	w.leases[name] = &leaseModel{host: host, life: p.life, fence: w.fence, until: w.now.Add(worldLease), created: l == nil}
	w.tellHeld(name, w.leases[name])
}

// renewLease prolongs a lease, also one that has lapsed while nobody took it.
func (w *world) renewLease(name identifier.Target) {
	l := w.leases[name]
	if w.platformDown || l == nil || !w.alive(l) || !l.deleteAt.IsZero() {
		return
	}
	l.until = w.now.Add(worldLease)
	l.lapsed = false
	w.tellHeld(name, l)
}

// arrive brings a new request to some daemon.
func (w *world) arrive(host identifier.Host, work Work, key string, team identifier.Team) identifier.Request {
	p := w.processes[host]
	if p.draining {
		return ""
	}
	id := identifier.Request(fmt.Sprintf("r%d", len(w.requests)+1))
	r := &requestModel{host: host, team: team, weights: p.weights}
	if prompt, ok := work.(Prompt); ok {
		r.digests = prompt.Digests
	}
	if call, ok := work.(Call); ok && call.Method == http.MethodPost {
		r.claim = claimName(team, key)
	}
	w.requests[id] = r
	p.open[id] = true
	p.admitted++
	w.feed(host, RequestArrived{
		Request: id, KeyHash: "k" + string(team[1:]), Service: serviceOf(work), IdempotencyKey: key, Timeout: w.timeout(), Work: work,
	})
	return id
}

// timeout draws a deadline below or above the longest use of a cold target.
func (w *world) timeout() time.Duration {
	if w.oneIn(2, "patient") {
		return 3 * maxColdUse
	}
	return 20 * time.Second
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
