package reducer

import (
	"fmt"
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

// TestGuaranteeHistories runs random histories of several daemons. The world
// fails the test when a cold limit is exceeded, a key runs twice, a refusal
// says not-run of a request that ran, a request ends twice, or a daemon sends
// work to a target that it knows to be out.
func TestGuaranteeHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range worldSteps {
			w.step()
		}
		w.settle()
	})
}

// step takes one random action.
func (w *world) step() {
	host := rapid.SampledFrom(w.hosts).Draw(w.t, "host")
	name := identifier.Target(fmt.Sprintf("target-%d", rapid.IntRange(0, 2).Draw(w.t, "target")))
	switch action := rapid.IntRange(0, 19).Draw(w.t, "action"); {
	case action < 7:
		w.deliverOne()
	case action < 9:
		w.arrive(host, promptOf(strings.Repeat("x", 3*hasher.BlockBytes)), "", "k1")
	case action < 11:
		key := fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(w.t, "key"))
		w.arrive(host, Call{Method: "POST", Path: "/print/1", Fingerprint: "f"}, key, "k2")
	case action < 12:
		w.arrive(host, Call{Method: "GET", Path: "/look"}, "", "k1")
	case action < 14:
		w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "ms")) * time.Millisecond)
	case action < 16:
		w.grantLease(name, host)
	case action < 17:
		w.renewLease(name)
	case action < 18:
		w.disturb(name, host)
	default:
		engine := w.targets[name]
		w.later(host, LoadObserved{Target: name, Incarnation: engine.incarnation, Cold: engine.cold, Running: len(engine.running)})
	}
}

// disturb restarts a target, warms it, restarts a daemon or changes the configuration.
func (w *world) disturb(name identifier.Target, host identifier.Host) {
	engine := w.targets[name]
	switch rapid.IntRange(0, 4).Draw(w.t, "disturbance") {
	case 0, 1:
		engine.incarnation++
		engine.cold = true
		clear(engine.running)
	case 2:
		engine.cold = false
	case 3:
		w.boot(host)
	case 4:
		w.toggle(name)
	}
}

// toggle takes a target out, or in again, by a new version of the configuration.
func (w *world) toggle(name identifier.Target) {
	w.version++
	next := w.fleet
	next.Targets = map[identifier.Target]specifier.Target{}
	for other, spec := range w.fleet.Targets {
		if other == name && spec.State == specifier.StateIn {
			spec.State = specifier.StateOut
		} else if other == name {
			spec.State = specifier.StateIn
		}
		next.Targets[other] = spec
	}
	w.fleet = next
	for _, host := range w.hosts {
		w.later(host, ConfigAdopted{Version: w.version, Fleet: next})
	}
}

// deliverOne carries out one parcel; the model's own events are taken here.
func (w *world) deliverOne() {
	p, ok := w.take()
	if !ok {
		return
	}
	if ended, own := p.event.(runEnd); own {
		w.finishRun(p.host, ended.start)
		return
	}
	w.pending = append([]parcel{p}, w.pending...)
	w.deliverFirst()
}

// settle lets everything run out and checks that each request ended.
func (w *world) settle() {
	for round := 0; round < 400 && (len(w.pending) > 0 || w.open() > 0); round++ {
		for n := len(w.pending); n > 0; n-- {
			w.deliverOne()
		}
		w.advance(time.Second)
	}
	if n := w.open(); n > 0 {
		w.t.Fatalf("%d requests never ended", n)
	}
}

// open counts the requests that daemons still hold.
func (w *world) open() int {
	n := 0
	for _, state := range w.states {
		n += len(state.requests)
	}
	return n
}
