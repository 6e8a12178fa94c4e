package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// runHost wakes a host if it is time and answers its calls.
func (w *world) runHost(host identifier.Host) {
	if at, ok := w.wakeAt[host]; ok && !at.After(w.now) {
		delete(w.wakeAt, host)
		w.reduce(host, Woken{})
	}
	w.runCalls(host)
}

// TestTakeOverTime measures how long a target has no owner after its owner died,
// for several terms and times of death. The platform answers at once.
func TestTakeOverTime(t *testing.T) {
	for _, term := range []time.Duration{10 * unit, 30 * unit, 60 * unit} {
		cfg := Config{Term: term, Margin: 2 * unit, Wait: term}
		shortest, longest := time.Duration(1<<62), time.Duration(0)
		for death := range 30 {
			w := newWorld(cfg, "a", "b")
			for range death + 1 {
				w.pass()
				w.runHost("a")
				w.runHost("b")
			}
			died := w.now
			for {
				w.pass()
				w.runHost("b")
				assert.Assert(t, !w.overlap())
				if _, _, ok := w.daemons["b"].Held(modelT, w.now); ok {
					break
				}
				assert.Assert(t, w.now.Sub(died) <= 2*term, "the target has no owner for two terms")
			}
			shortest, longest = min(shortest, w.now.Sub(died)), max(longest, w.now.Sub(died))
		}
		t.Logf("term %s: no owner for %s to %s", term, shortest, longest)
	}
}

// TestOwnershipDuringAnOutage measures how long an owner may use its target once
// the platform gives no answers.
func TestOwnershipDuringAnOutage(t *testing.T) {
	for _, term := range []time.Duration{10 * unit, 30 * unit, 60 * unit} {
		cfg := Config{Term: term, Margin: 2 * unit, Wait: term}
		shortest, longest := time.Duration(1<<62), time.Duration(0)
		for from := range 30 {
			w := newWorld(cfg, "a")
			for range from + 1 {
				w.pass()
				w.runHost("a")
			}
			down := w.now
			for {
				w.pass()
				if _, _, ok := w.daemons["a"].Held(modelT, w.now); !ok {
					break
				}
			}
			held := w.now.Sub(down)
			shortest, longest = min(shortest, held), max(longest, held)
		}
		t.Logf("term %s: held for %s to %s without the platform", term, shortest, longest)
		assert.Assert(t, longest <= term-2*unit)
	}
}
