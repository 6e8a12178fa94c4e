package reducer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	_ "cardamomscale.example/cardamomscale/internal/testing/seeder"
)

// historySteps is the number of random actions in one history.
const historySteps = 150

// actionWeights holds the relative frequency of each action in a random history. Each
// test raises the weights of the actions that stress one guarantee.
type actionWeights struct {
	deliverMessage, advanceTime                                           int
	prompt, payment, call, disconnect                                     int
	grantLease, renewLease, reportLoad                                    int
	restartTarget, warmTarget, crashDaemon, drainDaemon                   int
	toggleTarget, toggleCentre, changeLeaving, changeWeights, loadWeights int
	partition, platformOutage, partialPeers, staleConfig                  int
	// coldLimit is the cold limit of every target.
	coldLimit int
}

// allActions returns weights that stress all guarantees at once.
func allActions() actionWeights {
	return actionWeights{
		deliverMessage: 60, advanceTime: 12, prompt: 12, payment: 10, call: 10, disconnect: 3,
		grantLease: 14, renewLease: 8, reportLoad: 10, restartTarget: 3, warmTarget: 2, crashDaemon: 1, drainDaemon: 1,
		toggleTarget: 2, toggleCentre: 1, changeLeaving: 2, changeWeights: 1, loadWeights: 2, partition: 1, platformOutage: 1, partialPeers: 2, staleConfig: 1,
		coldLimit: simColdLimit,
	}
}

// TestGuaranteeRandomHistories runs random histories of several daemons. The
// simulation fails a test when a cold target exceeds its limit, a request runs twice
// under one idempotency key, a request that ran is refused as not-run, a request ends
// twice, a daemon sends work to a target that it knows to be out or leaving, blocks of
// another team or weight version are used, a daemon goes back to an older
// configuration, or a drained daemon still holds a request.
func TestGuaranteeRandomHistories(t *testing.T) { runHistories(t, allActions()) }

func TestGuaranteeColdLimits(t *testing.T) {
	a := allActions()
	a.grantLease, a.renewLease, a.call, a.advanceTime, a.payment, a.warmTarget, a.prompt = 40, 6, 30, 24, 0, 0, 0
	a.restartTarget, a.crashDaemon, a.platformOutage, a.partialPeers, a.disconnect = 2, 1, 1, 12, 6
	a.toggleTarget, a.toggleCentre, a.changeLeaving, a.changeWeights, a.drainDaemon, a.staleConfig = 0, 0, 0, 0, 2, 0
	a.coldLimit = 1
	runHistories(t, a)
}

func TestGuaranteeAtMostOnce(t *testing.T) {
	a := allActions()
	a.payment, a.prompt, a.call, a.grantLease, a.warmTarget = 40, 2, 2, 20, 6
	a.crashDaemon, a.platformOutage, a.disconnect, a.restartTarget = 2, 2, 6, 4
	runHistories(t, a)
}

func TestGuaranteeNotRun(t *testing.T) {
	a := allActions()
	a.advanceTime, a.disconnect, a.platformOutage, a.partition, a.warmTarget, a.payment = 24, 8, 2, 3, 6, 20
	runHistories(t, a)
}

func TestGuaranteeOutAndLeaving(t *testing.T) {
	a := allActions()
	a.toggleTarget, a.toggleCentre, a.changeLeaving, a.prompt, a.warmTarget, a.loadWeights = 8, 4, 8, 30, 6, 6
	runHistories(t, a)
}

func TestGuaranteeWeightVersionAndTeamIsolation(t *testing.T) {
	a := allActions()
	a.changeWeights, a.loadWeights, a.prompt, a.warmTarget, a.staleConfig, a.call, a.payment = 6, 12, 40, 8, 3, 0, 0
	runHistories(t, a)
}

func TestGuaranteeSingleEndAndLosslessDrain(t *testing.T) {
	a := allActions()
	a.drainDaemon, a.disconnect, a.restartTarget, a.warmTarget, a.prompt = 5, 8, 6, 6, 20
	runHistories(t, a)
}

func TestGuaranteeConfigurationNeverReverts(t *testing.T) {
	a := allActions()
	a.staleConfig, a.toggleTarget, a.changeWeights, a.crashDaemon, a.drainDaemon = 12, 8, 4, 2, 2
	runHistories(t, a)
}

// runHistories runs random histories with the given weights. At the end of each it
// checks that all requests end and that the fleet serves new ones without faults.
func runHistories(t *testing.T, a actionWeights) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, a.coldLimit)
		actions := sim.actions(a)
		for range historySteps {
			rapid.SampledFrom(actions).Draw(t, "action")()
		}
		sim.finishRequests()
		sim.checkRecovery()
	})
}

// actions returns a list that contains each action as often as its weight says.
func (sim *simulation) actions(a actionWeights) []func() {
	var list []func()
	add := func(weight int, action func()) {
		for range weight {
			list = append(list, action)
		}
	}
	add(a.deliverMessage, sim.deliverMessage)
	add(a.advanceTime, func() { sim.advance(time.Duration(rapid.IntRange(1, 4000).Draw(sim.t, "ms")) * time.Millisecond) })
	add(a.prompt, func() { sim.sendRequest(sim.drawHost(), promptOf(sim.drawText()), "", sim.drawTeam()) })
	add(a.payment, func() {
		sim.sendRequest(sim.drawHost(), Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}, sim.drawKey(), sim.drawTeam())
	})
	add(a.call, func() { sim.sendRequest(sim.drawHost(), Call{Method: "GET", Path: "/look"}, "", sim.drawTeam()) })
	add(a.disconnect, sim.disconnectCaller)
	add(a.grantLease, func() { sim.grantLease(sim.drawTarget(), sim.drawHost()) })
	add(a.renewLease, func() { sim.renewLease(sim.drawTarget()) })
	add(a.reportLoad, func() { sim.reportLoad(sim.drawTarget(), sim.drawHost()) })
	add(a.restartTarget, func() { sim.restartTarget(sim.drawTarget()) })
	add(a.warmTarget, func() { sim.targets[sim.drawTarget()].cold = false })
	add(a.crashDaemon, func() { sim.startDaemon(sim.drawHost()) })
	add(a.drainDaemon, func() { sim.drainDaemon(sim.drawHost()) })
	add(a.toggleTarget, func() { sim.toggleTarget(sim.drawTarget()) })
	add(a.toggleCentre, sim.toggleCentre)
	add(a.changeLeaving, func() { sim.sendEvent(sim.drawHost(), MembersChanged{Leaving: sim.drawSubset(sim.targetNames())}) })
	add(a.changeWeights, sim.changeWeights)
	add(a.loadWeights, func() { sim.loadWeights(sim.drawTarget()) })
	add(a.partition, func() { sim.partitioned = !sim.partitioned })
	add(a.platformOutage, func() { sim.platformDown = !sim.platformDown })
	add(a.partialPeers, sim.sendPartialPeers)
	add(a.staleConfig, func() {
		sim.sendEvent(sim.drawHost(), ConfigAdopted{Version: 1, Fleet: addFarCentre(testFleet(sim.hosts))})
	})
	return list
}

func (sim *simulation) drawHost() identifier.Host {
	return rapid.SampledFrom(sim.hosts).Draw(sim.t, "host")
}

func (sim *simulation) drawTarget() identifier.Target {
	return rapid.SampledFrom(sim.targetNames()).Draw(sim.t, "target")
}

func (sim *simulation) drawTeam() identifier.Team {
	return rapid.SampledFrom([]identifier.Team{"t1", "t2"}).Draw(sim.t, "team")
}

func (sim *simulation) drawKey() string {
	return fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(sim.t, "key"))
}

// drawText draws one of three prompts. Both teams use the same ones.
func (sim *simulation) drawText() string {
	letter := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(sim.t, "text")
	return strings.Repeat(letter, 8*hasher.BlockBytes)
}

func (sim *simulation) drawSubset(names []identifier.Target) []identifier.Target {
	return slices.DeleteFunc(names, func(identifier.Target) bool { return rapid.IntRange(0, 2).Draw(sim.t, "drop") > 0 })
}

// disconnectCaller closes the connection of an open request's caller. The attempt of a
// request that was sent fails at its daemon, but the target may continue to run it.
func (sim *simulation) disconnectCaller() {
	host := sim.drawHost()
	p := sim.processes[host]
	ids := make([]identifier.Request, 0, len(p.open))
	for id := range p.open {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(sim.t, "request")
	r := sim.requests[id]
	sim.handleEvent(host, CallerDisconnected{Request: id})
	if r.lastSent != nil {
		sim.sendEvent(host, AttemptFailed{Attempt: r.lastSent.Attempt, Reason: FailureCallerDisconnected})
	}
}

// disconnectedRequest returns the request whose caller disconnected according to ev,
// or "".
func disconnectedRequest(ev Event) identifier.Request {
	switch ev := ev.(type) {
	case CallerDisconnected:
		return ev.Request
	case AttemptFailed:
		if ev.Reason == FailureCallerDisconnected {
			return ev.Attempt.Request
		}
	}
	return ""
}

// reportLoad sends a target's current load to a daemon. The report may be delivered late.
func (sim *simulation) reportLoad(name identifier.Target, host identifier.Host) {
	engine := sim.targets[name]
	sim.sendEvent(host, LoadObserved{Target: name, Incarnation: engine.incarnation, Cold: engine.cold, Running: len(engine.running)})
}

// restartTarget replaces a target's process by a cold one that runs nothing.
func (sim *simulation) restartTarget(name identifier.Target) {
	engine := sim.targets[name]
	engine.incarnation++
	engine.cold = true
	clear(engine.running)
	clear(engine.cache)
}

func (sim *simulation) drainDaemon(host identifier.Host) {
	p := sim.processes[host]
	if !p.draining {
		p.draining = true
		sim.handleEvent(host, DrainStarted{})
	}
}

// changeConfig sends a new version of the configuration to all daemons.
func (sim *simulation) changeConfig(edit func(*specifier.Fleet)) {
	next := addFarCentre(testFleet(sim.hosts))
	for name, spec := range sim.fleet.Targets {
		next.Targets[name] = spec
	}
	for name, spec := range sim.fleet.DataCentres {
		next.DataCentres[name] = spec
	}
	next.Models["m"] = sim.fleet.Models["m"]
	edit(&next)
	sim.version++
	sim.fleet = next
	for _, host := range sim.hosts {
		sim.sendEvent(host, ConfigAdopted{Version: sim.version, Fleet: next})
	}
}

func oppositeState(state specifier.State) specifier.State {
	if state == specifier.StateIn {
		return specifier.StateOut
	}
	return specifier.StateIn
}

// toggleTarget switches a target between in and out.
func (sim *simulation) toggleTarget(name identifier.Target) {
	sim.changeConfig(func(f *specifier.Fleet) {
		spec := f.Targets[name]
		spec.State = oppositeState(spec.State)
		f.Targets[name] = spec
	})
}

// toggleCentre switches the far data centre between in and out.
func (sim *simulation) toggleCentre() {
	sim.changeConfig(func(f *specifier.Fleet) {
		f.DataCentres[farCentre] = specifier.DataCentre{State: oppositeState(f.DataCentres[farCentre].State)}
	})
}

// changeWeights configures a new weight version. Targets load it later.
func (sim *simulation) changeWeights() {
	sim.weightVersion++
	sim.changeConfig(func(f *specifier.Fleet) {
		model := f.Models["m"]
		model.Version = identifier.WeightVersion(fmt.Sprintf("v%d", sim.weightVersion))
		f.Models["m"] = model
	})
}

// loadWeights makes a target load the newest weights in addition to its old ones. If
// it has loaded them before, it unloads the old ones.
func (sim *simulation) loadWeights(name identifier.Target) {
	engine := sim.targets[name]
	newest := sim.fleet.Models["m"].Version
	if engine.versions[newest] {
		clear(engine.versions)
	}
	engine.versions[newest] = true
}

// sendPartialPeers sends one daemon an incomplete list of the live daemons.
func (sim *simulation) sendPartialPeers() {
	host := sim.drawHost()
	hosts := []identifier.Host{host}
	for _, other := range sim.hosts {
		if other != host && rapid.Bool().Draw(sim.t, "alive") {
			hosts = append(hosts, other)
		}
	}
	sim.sendEvent(host, PeersChanged{Hosts: hosts})
}

// deliverMessage delivers a random one of the first pending messages, so that messages
// are reordered. Events that arrive over the network may be delivered again.
func (sim *simulation) deliverMessage() {
	if len(sim.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(sim.messages)-1, 20)).Draw(sim.t, "message")
	msg := sim.messages[i]
	sim.messages = slices.Delete(sim.messages, i, i+1)
	if end, own := msg.event.(runEnd); own {
		if !sim.faultsEnded && !sim.oneIn(3, "run ends") {
			sim.messages = append(sim.messages, msg) // Runs take longer than messages.
			return
		}
		sim.finishRun(msg.host, end)
		return
	}
	if msg.effect != nil {
		sim.execute(msg.host, msg.effect)
		return
	}
	sim.handleEvent(msg.host, msg.event)
	if mayArriveTwice(msg.event) && sim.oneIn(8, "again") {
		sim.messages = append(sim.messages, msg)
	}
}

// mayArriveTwice reports whether an event can be duplicated. Results of claims,
// imports and exports can't: the daemon's own goroutines post each of them once.
func mayArriveTwice(ev Event) bool {
	switch ev.(type) {
	case ClaimSettled, ImportDone, ExportDone:
		return false
	}
	return true
}

// finishRequests ends all faults, delivers the pending messages and fails if a request
// does not end.
func (sim *simulation) finishRequests() {
	sim.endFaults()
	for round := 0; round < 400 && (len(sim.messages) > 0 || sim.openRequests() > 0); round++ {
		sim.deliverAll()
		sim.advance(time.Second)
	}
	if n := sim.openRequests(); n > 0 {
		sim.t.Fatalf("%d requests did not end", n)
	}
}

func (sim *simulation) deliverAll() {
	for n := len(sim.messages); n > 0 && len(sim.messages) > 0; n-- {
		sim.deliverMessage()
	}
}

// openRequests counts the requests in all daemons.
func (sim *simulation) openRequests() int {
	n := 0
	for _, p := range sim.processes {
		n += len(p.state.requests)
	}
	return n
}

// endFaults ends all faults: the platform answers, all hosts are connected, and all
// targets accept work and have loaded the newest weights.
func (sim *simulation) endFaults() {
	sim.faultsEnded, sim.partitioned, sim.platformDown = true, false, false
	sim.changeConfig(func(f *specifier.Fleet) {
		for name, spec := range f.Targets {
			spec.State = specifier.StateIn
			f.Targets[name] = spec
		}
		f.DataCentres[farCentre] = specifier.DataCentre{State: specifier.StateIn}
	})
	for _, name := range sim.targetNames() {
		engine := sim.targets[name]
		clear(engine.versions)
		engine.versions[sim.fleet.Models["m"].Version] = true
	}
}

// recoveryTime is how long the fleet needs to recover after the faults end: a lease
// term, the wait after a takeover, and the longest use of a cold target.
const recoveryTime = simLeaseTerm + 2*(maxColdUse+permitGrace)

// checkRecovery runs the fleet without faults for recoveryTime, with cold targets, and
// checks that every daemon then answers each kind of request.
func (sim *simulation) checkRecovery() {
	sim.finishDrains()
	for end := sim.now.Add(recoveryTime); sim.now.Before(end); {
		sim.runSecond()
	}
	var ids []identifier.Request
	for i, host := range sim.hosts {
		ids = append(ids,
			sim.sendRequest(host, promptOf(strings.Repeat("x", 8*hasher.BlockBytes)), "", "t1"),
			sim.sendRequest(host, Call{Method: "GET", Path: "/look"}, "", "t1"),
			sim.sendRequest(host, Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}, fmt.Sprintf("last-%d", i), "t1"),
		)
	}
	for range 15 {
		sim.runSecond()
	}
	for _, id := range ids {
		if r := sim.requests[id]; r == nil || !r.answered {
			sim.t.Fatalf("request %q was not answered after the faults ended: %s", id, sim.describe(id))
		}
	}
}

// describe returns the state of a request, and the state of the targets as its daemon
// sees them and as they are.
func (sim *simulation) describe(id identifier.Request) string {
	r := sim.requests[id]
	if r == nil {
		return "not found"
	}
	p := sim.processes[r.host]
	text := fmt.Sprintf("%d runs, %d ends, refused by %q", r.runs, r.ends, r.refusal)
	if open := p.state.requests[id]; open != nil {
		text += fmt.Sprintf(", phase %d, tried %v", open.phase, open.tried)
	}
	for _, status := range p.state.Status(sim.now).Targets {
		engine := sim.targets[status.Target]
		text += fmt.Sprintf("\n%+v; actual incarnation %d, cold %t, %d running", status, engine.incarnation, engine.cold, len(engine.running))
	}
	return text
}

// finishDrains runs the fleet until no daemon is draining.
func (sim *simulation) finishDrains() {
	for round := 0; round < 100; round++ {
		draining := false
		for _, p := range sim.processes {
			draining = draining || p.draining
		}
		if !draining {
			return
		}
		sim.runSecond()
	}
	sim.t.Fatalf("a drain did not end")
}

// runSecond simulates one second without faults. It sends the membership each time, so
// that outdated lists are replaced.
func (sim *simulation) runSecond() {
	for _, host := range sim.hosts {
		sim.sendEvent(host, MembersChanged{})
		sim.sendEvent(host, PeersChanged{Hosts: sim.hosts})
	}
	for _, name := range sim.targetNames() {
		sim.renewLease(name)
		for _, host := range sim.hosts {
			sim.grantLease(name, host)
			sim.reportLoad(name, host)
		}
	}
	sim.deliverAll()
	sim.advance(time.Second)
	sim.deliverAll()
}
