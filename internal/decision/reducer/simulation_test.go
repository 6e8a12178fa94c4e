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

// simulation connects several States with a model of targets, stores, leases and claims.
// rapid draws its actions, so that events occur in any order. Its checks rely on what
// happened at the targets and not on what a State reports about itself.
type simulation struct {
	t       *rapid.T
	now     time.Time
	fleet   specifier.Fleet
	version uint64
	// weightVersion is the number of the newest weight version.
	weightVersion int

	hosts     []identifier.Host
	processes map[identifier.Host]*daemonProcess
	messages  []message
	// partitioned is true while the two data centres are disconnected.
	partitioned bool
	// platformDown is true while leases can't be renewed and claims can't be settled.
	platformDown bool
	// faultsEnded is true once no more faults are injected.
	faultsEnded bool

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

// daemonProcess is one process of a host's daemon, which ends when the daemon restarts.
type daemonProcess struct {
	state *State
	// generation counts the processes of the host's daemon.
	generation int
	// outTargets and leavingTargets hold the targets that must not get new work from
	// the daemon, according to the configuration and membership that it received.
	outTargets     map[identifier.Target]bool
	leavingTargets map[identifier.Target]bool
	wantedTargets  []identifier.Target
	// weightVersion is the one in the daemon's active configuration.
	weightVersion int
	open          map[identifier.Request]bool
	admitted      int
	retries       int
	draining      bool
	drained       bool
	// exitAt is when the drained daemon exits.
	exitAt time.Time
}

// message is an undelivered effect or event of a host's State.
type message struct {
	host   identifier.Host
	effect Effect
	event  Event
}

// requestModel is the simulation's record of one request.
type requestModel struct {
	host    identifier.Host
	team    identifier.Team
	digests []hasher.Digest
	claim   string
	// weightVersion is the one in the daemon's configuration when the request arrived.
	weightVersion int
	// startedVersion is the weight version of the last Start that was emitted, and
	// lastSent is the last Start that reached its target.
	startedVersion string
	lastSent       *Start
	runs           int
	ends           int
	// answered is true if the request ended with a complete response.
	answered bool
	notRun   bool
	refusal  string
}

// engineModel is the actual state of a target.
type engineModel struct {
	incarnation identifier.Incarnation
	cold        bool
	running     map[identifier.Attempt]time.Time
	// versions holds the loaded weight versions.
	versions map[identifier.WeightVersion]bool
	cache    map[identifier.BlockKey]blockModel
}

// blockModel is the scope for which a cache block was computed.
type blockModel struct {
	team    identifier.Team
	version identifier.WeightVersion
}

// leaseModel is the platform's lease record of a target.
type leaseModel struct {
	host identifier.Host
	// generation is that of the process that took the lease. Later processes can't
	// renew it.
	generation int
	fence      uint64
	until      time.Time
	created    bool
	// deleteAt is when the holder deletes the record; zero while it wants the target.
	deleteAt time.Time
	expired  bool
}

// claimModel is the platform's record of a claim.
type claimModel struct {
	request  identifier.Request
	answered bool
	released bool
}

const (
	simColdLimit = 2
	simLeaseTerm = 10 * time.Second
	// simSendMargin is the longest delay between the decision to send and the sending.
	simSendMargin = time.Second
	nearCentre    = identifier.DataCentre("dc")
	farCentre     = identifier.DataCentre("dc-far")
)

func newSimulation(t *rapid.T, coldLimit int) *simulation {
	sim := &simulation{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), version: 1, weightVersion: 1,
		hosts:     []identifier.Host{"host-a", "host-b", "host-c"},
		processes: map[identifier.Host]*daemonProcess{},
		targets:   map[identifier.Target]*engineModel{},
		stores:    map[identifier.Store]map[identifier.BlockKey]blockModel{},
		leases:    map[identifier.Target]*leaseModel{},
		claims:    map[string]*claimModel{},
		keyer:     hasher.New(hasher.Config{Secret: []byte("secret")}),
		requests:  map[identifier.Request]*requestModel{},
		keyRuns:   map[string]int{},
	}
	sim.fleet = addFarCentre(testFleet(sim.hosts))
	for name, spec := range sim.fleet.Targets {
		spec.ColdLimit = coldLimit
		sim.fleet.Targets[name] = spec
		sim.targets[name] = &engineModel{
			incarnation: 1, cold: true, running: map[identifier.Attempt]time.Time{},
			versions: map[identifier.WeightVersion]bool{"v1": true}, cache: map[identifier.BlockKey]blockModel{},
		}
	}
	for name := range sim.fleet.Stores {
		sim.stores[name] = map[identifier.BlockKey]blockModel{}
	}
	for _, host := range sim.hosts {
		sim.startDaemon(host)
	}
	return sim
}

func testFleet(hosts []identifier.Host) specifier.Fleet {
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
		fleet.Targets[targetName(i)] = newTarget(service, nearCentre)
	}
	return fleet
}

func targetName(i int) identifier.Target { return identifier.Target(fmt.Sprintf("target-%d", i)) }

func newTarget(service identifier.Service, centre identifier.DataCentre) specifier.Target {
	return specifier.Target{Service: service, DataCentre: centre, State: specifier.StateIn, ColdLimit: simColdLimit, WarmLimit: 4}
}

// addFarCentre adds a second data centre with host-c, a target of each service and a
// store. It also adds a store to the first data centre.
func addFarCentre(fleet specifier.Fleet) specifier.Fleet {
	fleet.DataCentres[farCentre] = specifier.DataCentre{State: specifier.StateIn}
	fleet.Hosts["host-c"] = specifier.Host{DataCentre: farCentre, State: specifier.StateIn}
	fleet.Targets[targetName(3)] = newTarget("labels", farCentre)
	fleet.Targets[targetName(4)] = newTarget("orders", farCentre)
	fleet.Stores = map[identifier.Store]specifier.Store{
		"store-near": {DataCentre: nearCentre, State: specifier.StateIn, LinkBytesPerSecond: 1 << 30},
		"store-far":  {DataCentre: farCentre, State: specifier.StateIn, LinkBytesPerSecond: 1 << 30},
	}
	return fleet
}

// startDaemon starts a new process of a daemon without the state of the old one.
func (sim *simulation) startDaemon(host identifier.Host) {
	p := &daemonProcess{
		state:      New(Config{Host: host, DataCentre: sim.fleet.Hosts[host].DataCentre, Seed: 1, BlockSecret: []byte("secret"), MaxPrefixes: 256}),
		generation: 1, open: map[identifier.Request]bool{},
		outTargets: map[identifier.Target]bool{}, leavingTargets: map[identifier.Target]bool{},
	}
	if old := sim.processes[host]; old != nil {
		p.generation = old.generation + 1
		for id := range old.open {
			sim.requests[id].host = ""
		}
	}
	sim.processes[host] = p
	sim.messages = slices.DeleteFunc(sim.messages, func(msg message) bool { return msg.host == host && msg.event != nil && !isRunEnd(msg.event) })
	sim.handleEvent(host, PeersChanged{Hosts: sim.hosts})
	sim.handleEvent(host, ConfigAdopted{Version: sim.version, Fleet: sim.fleet})
}

// recordConfig records which targets are out and which weights are configured.
func (p *daemonProcess) recordConfig(fleet specifier.Fleet) {
	for name, spec := range fleet.Targets {
		p.outTargets[name] = spec.State == specifier.StateOut || fleet.DataCentres[spec.DataCentre].State == specifier.StateOut
	}
	_, _ = fmt.Sscanf(string(fleet.Models["m"].Version), "v%d", &p.weightVersion)
}

// handleEvent passes an event to a State, checks the resulting effects and queues them.
func (sim *simulation) handleEvent(host identifier.Host, ev Event) {
	p := sim.processes[host]
	before := p.state.Version()
	if adopted, ok := ev.(ConfigAdopted); ok && adopted.Version > before {
		p.recordConfig(adopted.Fleet)
	}
	if members, ok := ev.(MembersChanged); ok {
		clear(p.leavingTargets)
		for _, name := range members.Leaving {
			p.leavingTargets[name] = true
		}
	}
	effects := p.state.Reduce(ev, sim.now)
	if gone := disconnectedRequest(ev); p.state.requests[gone] == nil {
		delete(p.open, gone)
	}
	if p.state.Version() < before {
		sim.t.Fatalf("%s reverted from configuration %d to %d", host, before, p.state.Version())
	}
	sim.checkQueues(host, p.state)
	for _, effect := range effects {
		sim.checkEffect(host, p, effect)
		sim.messages = append(sim.messages, message{host: host, effect: effect})
	}
}

func (sim *simulation) sendEvent(host identifier.Host, ev Event) {
	sim.messages = append(sim.messages, message{host: host, event: ev})
}

// connected reports whether hosts and targets of two data centres can reach each other.
func (sim *simulation) connected(a, b identifier.DataCentre) bool { return !sim.partitioned || a == b }

func (sim *simulation) dataCentreOf(host identifier.Host) identifier.DataCentre {
	return sim.fleet.Hosts[host].DataCentre
}

// oneIn draws true with probability 1/n, and returns false after the faults have ended.
func (sim *simulation) oneIn(n int, label string) bool {
	return !sim.faultsEnded && rapid.IntRange(0, n-1).Draw(sim.t, label) == 0
}

// advance advances the clock. Runs end at their deadline, released lease records are
// deleted, and drained daemons are restarted.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, engine := range sim.targets {
		maps.DeleteFunc(engine.running, func(_ identifier.Attempt, deadline time.Time) bool { return !sim.now.Before(deadline) })
	}
	for _, name := range sim.targetNames() {
		sim.expireLease(name)
	}
	for _, host := range sim.hosts {
		sim.handleEvent(host, Tick{})
		if p := sim.processes[host]; p.drained && !sim.now.Before(p.exitAt) {
			sim.startDaemon(host)
		}
	}
}

func (sim *simulation) targetNames() []identifier.Target {
	return slices.Sorted(maps.Keys(sim.targets))
}

// holderRuns reports whether the process that took the lease is still running.
func (sim *simulation) holderRuns(l *leaseModel) bool {
	return sim.processes[l.host].generation == l.generation
}

func (sim *simulation) expireLease(name identifier.Target) {
	l := sim.leases[name]
	if l == nil || !sim.holderRuns(l) {
		return
	}
	if !l.deleteAt.IsZero() && !sim.now.Before(l.deleteAt) && !sim.platformDown {
		delete(sim.leases, name)
		return
	}
	if !l.expired && !sim.now.Before(l.until) {
		l.expired = true
		sim.sendEvent(l.host, OwnershipChanged{Target: name})
	}
}

// releaseUnwanted schedules the deletion of the lease records of targets that a daemon
// no longer wants, and cancels it for those that it wants again.
func (sim *simulation) releaseUnwanted(host identifier.Host, p *daemonProcess) {
	for _, name := range sim.targetNames() {
		l := sim.leases[name]
		if l == nil || l.host != host || l.generation != p.generation {
			continue
		}
		wanted := slices.Contains(p.wantedTargets, name)
		if !wanted && l.deleteAt.IsZero() {
			l.deleteAt = sim.now.Add(simSendMargin)
			sim.sendEvent(host, OwnershipChanged{Target: name})
		}
		if wanted && !l.deleteAt.IsZero() {
			l.deleteAt = time.Time{}
			sim.notifyHolder(name, l)
		}
	}
}

func (sim *simulation) notifyHolder(name identifier.Target, l *leaseModel) {
	sim.sendEvent(l.host, OwnershipChanged{Target: name, Held: true, Fence: l.fence, Until: l.until, TakenOver: !l.created})
}

// grantLease grants the lease to a daemon that wants the target, if the old one has
// expired.
func (sim *simulation) grantLease(name identifier.Target, host identifier.Host) {
	p, l := sim.processes[host], sim.leases[name]
	if sim.platformDown || !slices.Contains(p.wantedTargets, name) || l != nil && sim.now.Before(l.until) {
		return
	}
	sim.fence++
	sim.leases[name] = &leaseModel{host: host, generation: p.generation, fence: sim.fence, until: sim.now.Add(simLeaseTerm), created: l == nil}
	sim.notifyHolder(name, sim.leases[name])
}

// renewLease renews a lease, even if it has expired, as long as nobody else took it.
func (sim *simulation) renewLease(name identifier.Target) {
	l := sim.leases[name]
	if sim.platformDown || l == nil || !sim.holderRuns(l) || !l.deleteAt.IsZero() {
		return
	}
	l.until = sim.now.Add(simLeaseTerm)
	l.expired = false
	sim.notifyHolder(name, l)
}

// sendRequest sends a new request to a daemon, and returns "" if the daemon is draining.
func (sim *simulation) sendRequest(host identifier.Host, work Work, key string, team identifier.Team) identifier.Request {
	p := sim.processes[host]
	if p.draining {
		return ""
	}
	id := identifier.Request(fmt.Sprintf("r%d", len(sim.requests)+1))
	r := &requestModel{host: host, team: team, weightVersion: p.weightVersion}
	if prompt, ok := work.(Prompt); ok {
		r.digests = prompt.Digests
	}
	if call, ok := work.(Call); ok && call.Method == http.MethodPost {
		r.claim = claimName(team, key)
	}
	sim.requests[id] = r
	p.open[id] = true
	p.admitted++
	sim.handleEvent(host, RequestArrived{
		Request: id, KeyHash: "k" + string(team[1:]), Service: serviceOf(work), IdempotencyKey: key, Timeout: sim.drawTimeout(), Work: work,
	})
	return id
}

// drawTimeout draws a timeout that is shorter or longer than maxColdUse.
func (sim *simulation) drawTimeout() time.Duration {
	if sim.oneIn(2, "long timeout") {
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
