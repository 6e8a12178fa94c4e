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

// worldSteps is the number of actions in one history.
const worldSteps = 150

// attack gives each action its weight in a history.
type attack struct {
	deliver, advance                       int
	prompt, pay, look, gone                int
	grant, renew, report                   int
	restart, warm, crash, drain            int
	out, centre, leaving, swap, load       int
	split, platform, membership, staleConf int
}

// everything is the attack on all guarantees at once.
func everything() attack {
	return attack{
		deliver: 60, advance: 12, prompt: 12, pay: 10, look: 10, gone: 3,
		grant: 14, renew: 8, report: 10, restart: 3, warm: 2, crash: 1, drain: 1,
		out: 2, centre: 1, leaving: 2, swap: 1, load: 2, split: 1, platform: 1, membership: 2, staleConf: 1,
	}
}

// TestGuaranteeHistories runs random histories of several daemons. The world
// fails a test when a cold limit is exceeded, a key runs twice, a refusal says
// not-run of a request that ran, a request ends twice, a target that is known to
// be out or leaving gets work, blocks of another team or weight version are
// used, a configuration reverts, or a drained daemon holds a request.
func TestGuaranteeHistories(t *testing.T) { histories(t, everything()) }

func TestGuaranteeColdLimits(t *testing.T) {
	a := everything()
	a.grant, a.renew, a.look, a.advance, a.pay, a.warm = 30, 12, 30, 20, 0, 0
	a.restart, a.crash, a.platform, a.membership = 4, 2, 2, 4
	histories(t, a)
}

func TestGuaranteeAtMostOnce(t *testing.T) {
	a := everything()
	a.pay, a.prompt, a.look, a.grant, a.warm = 40, 2, 2, 20, 6
	a.crash, a.platform, a.gone, a.restart = 2, 2, 6, 4
	histories(t, a)
}

func TestGuaranteeNotRun(t *testing.T) {
	a := everything()
	a.advance, a.gone, a.platform, a.split, a.warm, a.pay = 24, 8, 2, 3, 6, 20
	histories(t, a)
}

func TestGuaranteeOutAndLeaving(t *testing.T) {
	a := everything()
	a.out, a.centre, a.leaving, a.prompt, a.warm, a.load = 8, 4, 8, 30, 6, 6
	histories(t, a)
}

func TestGuaranteeWeightVersionsAndTeamsApart(t *testing.T) {
	a := everything()
	a.swap, a.load, a.prompt, a.warm, a.staleConf, a.look, a.pay = 6, 12, 40, 8, 3, 0, 0
	histories(t, a)
}

func TestGuaranteeOneEndAndNoLossByDrain(t *testing.T) {
	a := everything()
	a.drain, a.gone, a.restart, a.warm, a.prompt = 5, 8, 6, 6, 20
	histories(t, a)
}

func TestGuaranteeConfigurationNeverReverts(t *testing.T) {
	a := everything()
	a.staleConf, a.out, a.swap, a.crash, a.drain = 12, 8, 4, 2, 2
	histories(t, a)
}

// histories runs random histories of one attack, lets all requests end, and
// checks that the daemons then serve as if nothing had happened.
func histories(t *testing.T, a attack) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := w.actions(a)
		for range worldSteps {
			rapid.SampledFrom(actions).Draw(t, "action")()
		}
		w.settle()
		w.serve()
	})
}

// actions repeats each action by its weight.
func (w *world) actions(a attack) []func() {
	var list []func()
	add := func(weight int, action func()) {
		for range weight {
			list = append(list, action)
		}
	}
	add(a.deliver, w.deliverOne)
	add(a.advance, func() { w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "ms")) * time.Millisecond) })
	add(a.prompt, func() { w.arrive(w.host(), promptOf(w.text()), "", w.team()) })
	add(a.pay, func() {
		w.arrive(w.host(), Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}, w.key(), w.team())
	})
	add(a.look, func() { w.arrive(w.host(), Call{Method: "GET", Path: "/look"}, "", w.team()) })
	add(a.gone, w.leave)
	add(a.grant, func() { w.grantLease(w.target(), w.host()) })
	add(a.renew, func() { w.renewLease(w.target()) })
	add(a.report, func() { w.report(w.target(), w.host()) })
	add(a.restart, func() { w.restart(w.target()) })
	add(a.warm, func() { w.targets[w.target()].cold = false })
	add(a.crash, func() { w.boot(w.host()) })
	add(a.drain, func() { w.drain(w.host()) })
	add(a.out, func() { w.toggle(w.target()) })
	add(a.centre, w.toggleCentre)
	add(a.leaving, func() { w.later(w.host(), MembersChanged{Leaving: w.some(w.targetNames())}) })
	add(a.swap, w.swap)
	add(a.load, func() { w.load(w.target()) })
	add(a.split, func() { w.split = !w.split })
	add(a.platform, func() { w.platformDown = !w.platformDown })
	add(a.membership, w.disagree)
	add(a.staleConf, func() { w.later(w.host(), ConfigAdopted{Version: 1, Fleet: twoCentres(worldFleet(w.hosts))}) })
	return list
}

func (w *world) host() identifier.Host { return rapid.SampledFrom(w.hosts).Draw(w.t, "host") }

func (w *world) target() identifier.Target {
	return rapid.SampledFrom(w.targetNames()).Draw(w.t, "target")
}

func (w *world) team() identifier.Team {
	return rapid.SampledFrom([]identifier.Team{"t1", "t2"}).Draw(w.t, "team")
}

func (w *world) key() string { return fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(w.t, "key")) }

// text draws one of a few prompts; both teams use the same ones.
func (w *world) text() string {
	letter := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(w.t, "text")
	return strings.Repeat(letter, 8*hasher.BlockBytes)
}

func (w *world) some(names []identifier.Target) []identifier.Target {
	return slices.DeleteFunc(names, func(identifier.Target) bool { return rapid.IntRange(0, 2).Draw(w.t, "drop") > 0 })
}

// leave lets the caller of an open request go. A sent request fails at its
// daemon, while the target may go on.
func (w *world) leave() {
	host := w.host()
	p := w.processes[host]
	ids := make([]identifier.Request, 0, len(p.open))
	for id := range p.open {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(w.t, "gone")
	r := w.requests[id]
	w.feed(host, CallerGone{Request: id})
	if r.sent != nil {
		w.later(host, AttemptFailed{Attempt: r.sent.Attempt, Reason: FailureCaller})
	}
}

// goneRequest returns the request whose caller ev says has left, or "".
func goneRequest(ev Event) identifier.Request {
	switch ev := ev.(type) {
	case CallerGone:
		return ev.Request
	case AttemptFailed:
		if ev.Reason == FailureCaller {
			return ev.Attempt.Request
		}
	}
	return ""
}

// report lets a daemon hear of a target's load as of now; it may come late.
func (w *world) report(name identifier.Target, host identifier.Host) {
	engine := w.targets[name]
	w.later(host, LoadObserved{Target: name, Incarnation: engine.incarnation, Cold: engine.cold, Running: len(engine.running)})
}

// restart replaces a target's process; it runs nothing and is cold.
func (w *world) restart(name identifier.Target) {
	engine := w.targets[name]
	engine.incarnation++
	engine.cold = true
	clear(engine.running)
	clear(engine.cache)
}

func (w *world) drain(host identifier.Host) {
	p := w.processes[host]
	if !p.draining {
		p.draining = true
		w.feed(host, DrainStarted{})
	}
}

// change puts a new version of the configuration on its way to all daemons.
func (w *world) change(edit func(*specifier.Fleet)) {
	next := twoCentres(worldFleet(w.hosts))
	for name, spec := range w.fleet.Targets {
		next.Targets[name] = spec
	}
	for name, spec := range w.fleet.DataCentres {
		next.DataCentres[name] = spec
	}
	next.Models["m"] = w.fleet.Models["m"]
	edit(&next)
	w.version++
	w.fleet = next
	for _, host := range w.hosts {
		w.later(host, ConfigAdopted{Version: w.version, Fleet: next})
	}
}

func other(state specifier.State) specifier.State {
	if state == specifier.StateIn {
		return specifier.StateOut
	}
	return specifier.StateIn
}

// toggle takes a target out, or in again.
func (w *world) toggle(name identifier.Target) {
	w.change(func(f *specifier.Fleet) {
		spec := f.Targets[name]
		spec.State = other(spec.State)
		f.Targets[name] = spec
	})
}

// toggleCentre takes the far data centre out, or in again.
func (w *world) toggleCentre() {
	w.change(func(f *specifier.Fleet) {
		f.DataCentres[farCentre] = specifier.DataCentre{State: other(f.DataCentres[farCentre].State)}
	})
}

// swap puts new weights in force. Targets load them later.
func (w *world) swap() {
	w.weights++
	w.change(func(f *specifier.Fleet) {
		model := f.Models["m"]
		model.Version = identifier.WeightVersion(fmt.Sprintf("v%d", w.weights))
		f.Models["m"] = model
	})
}

// load lets a target load the newest weights beside the present ones, or drop the old ones.
func (w *world) load(name identifier.Target) {
	engine := w.targets[name]
	newest := w.fleet.Models["m"].Version
	if engine.versions[newest] {
		clear(engine.versions)
	}
	engine.versions[newest] = true
}

// disagree tells one daemon of a part of the live daemons only.
func (w *world) disagree() {
	host := w.host()
	hosts := []identifier.Host{host}
	for _, other := range w.hosts {
		if other != host && rapid.Bool().Draw(w.t, "heard") {
			hosts = append(hosts, other)
		}
	}
	w.later(host, PeersChanged{Hosts: hosts})
}

// deliverOne carries out one parcel of any position, so that parcels overtake
// each other. What comes over the network may come again.
func (w *world) deliverOne() {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, min(len(w.pending)-1, 20)).Draw(w.t, "parcel")
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if end, own := p.event.(runEnd); own {
		w.finishRun(p.host, end)
		return
	}
	if p.effect != nil {
		w.carryOut(p.host, p.effect)
		return
	}
	w.feed(p.host, p.event)
	if repeatable(p.event) && w.oneIn(8, "again") {
		w.pending = append(w.pending, p)
	}
}

// repeatable reports whether an event may come twice. Outcomes of claims,
// imports and exports come from the daemon's own goroutines, once each.
func repeatable(ev Event) bool {
	switch ev.(type) {
	case ClaimSettled, ImportDone, ExportDone:
		return false
	}
	return true
}

// settle ends all faults and lets everything run out. Each request must end.
func (w *world) settle() {
	w.heal()
	for round := 0; round < 400 && (len(w.pending) > 0 || w.open() > 0); round++ {
		w.deliverAll()
		w.advance(time.Second)
	}
	if n := w.open(); n > 0 {
		w.t.Fatalf("%d requests never ended", n)
	}
}

func (w *world) deliverAll() {
	for n := len(w.pending); n > 0 && len(w.pending) > 0; n-- {
		w.deliverOne()
	}
}

// open counts the requests that daemons still hold.
func (w *world) open() int {
	n := 0
	for _, p := range w.processes {
		n += len(p.state.requests)
	}
	return n
}

// heal ends all faults: the platform answers, all hosts hear each other, and all
// targets take work under the newest weights.
func (w *world) heal() {
	w.healed, w.split, w.platformDown = true, false, false
	w.change(func(f *specifier.Fleet) {
		for name, spec := range f.Targets {
			spec.State = specifier.StateIn
			f.Targets[name] = spec
		}
		f.DataCentres[farCentre] = specifier.DataCentre{State: specifier.StateIn}
	})
	for _, name := range w.targetNames() {
		engine := w.targets[name]
		clear(engine.versions)
		engine.versions[w.fleet.Models["m"].Version] = true
	}
}

// serveTime is the time after which a healed fleet serves again: a lease, the
// wait after a take-over, and the longest use of a cold target.
const serveTime = worldLease + 2*(maxColdUse+permitMargin)

// serve lets a healed fleet run on, with cold targets, and checks that every
// daemon then answers each kind of request.
func (w *world) serve() {
	w.settleMembership()
	for end := w.now.Add(serveTime); w.now.Before(end); {
		w.beat()
	}
	var ids []identifier.Request
	for i, host := range w.hosts {
		ids = append(ids,
			w.arrive(host, promptOf(strings.Repeat("x", 8*hasher.BlockBytes)), "", "t1"),
			w.arrive(host, Call{Method: "GET", Path: "/look"}, "", "t1"),
			w.arrive(host, Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}, fmt.Sprintf("last-%d", i), "t1"),
		)
	}
	for range 15 {
		w.beat()
	}
	for _, id := range ids {
		if r := w.requests[id]; r == nil || !r.answered {
			w.t.Fatalf("request %q got no answer from a healed fleet: %s", id, w.describe(id))
		}
	}
}

// describe tells what became of a request, and what its daemon knows of the targets.
func (w *world) describe(id identifier.Request) string {
	r := w.requests[id]
	if r == nil {
		return "it never arrived"
	}
	p := w.processes[r.host]
	text := fmt.Sprintf("%d runs, %d ends, refused by %q", r.runs, r.ends, r.refusal)
	if open := p.state.requests[id]; open != nil {
		text += fmt.Sprintf(", phase %d, tried %v", open.phase, open.tried)
	}
	for _, status := range p.state.Status(w.now).Targets {
		engine := w.targets[status.Target]
		text += fmt.Sprintf("\n%+v; in truth incarnation %d, cold %t, %d running", status, engine.incarnation, engine.cold, len(engine.running))
	}
	return text
}

// settleMembership ends the drains that have begun.
func (w *world) settleMembership() {
	for round := 0; round < 100; round++ {
		draining := false
		for _, p := range w.processes {
			draining = draining || p.draining
		}
		if !draining {
			return
		}
		w.beat()
	}
	w.t.Fatalf("a drain never ended")
}

// beat is one second of a fleet without faults. Membership is read anew each
// second, so that old news of it does not last.
func (w *world) beat() {
	for _, host := range w.hosts {
		w.later(host, MembersChanged{})
		w.later(host, PeersChanged{Hosts: w.hosts})
	}
	for _, name := range w.targetNames() {
		w.renewLease(name)
		for _, host := range w.hosts {
			w.grantLease(name, host)
			w.report(name, host)
		}
	}
	w.deliverAll()
	w.advance(time.Second)
	w.deliverAll()
}
