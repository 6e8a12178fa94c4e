package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// wakeAndRun fires the timer of host if it is due and completes its calls.
func (m *model) wakeAndRun(host identifier.Host) {
	if at, ok := m.wakeAt[host]; ok && !at.After(m.now) {
		delete(m.wakeAt, host)
		m.reduce(host, TimerFired{})
	}
	m.finishCallsOf(host)
}

// TestTakeoverTime measures how long a target has no owner after its owner
// crashed, for several terms and times of the crash. Calls to the platform
// complete at once.
func TestTakeoverTime(t *testing.T) {
	for _, term := range []time.Duration{10 * tick, 30 * tick, 60 * tick} {
		cfg := Config{Term: term, Margin: 2 * tick, TakeoverDelay: term}
		shortest, longest := time.Duration(1<<62), time.Duration(0)
		for crashTick := range 30 {
			m := newModel(cfg, "a", "b")
			for range crashTick + 1 {
				m.advanceTime()
				m.wakeAndRun("a")
				m.wakeAndRun("b")
			}
			crashedAt := m.now
			for {
				m.advanceTime()
				m.wakeAndRun("b")
				assert.Assert(t, !m.hasOverlap())
				if _, _, ok := m.daemons["b"].Held(modelTarget, m.now); ok {
					break
				}
				assert.Assert(t, m.now.Sub(crashedAt) <= 2*term, "the target has had no owner for two terms")
			}
			shortest, longest = min(shortest, m.now.Sub(crashedAt)), max(longest, m.now.Sub(crashedAt))
		}
		t.Logf("term %s: no owner for %s to %s", term, shortest, longest)
	}
}

// TestOwnershipDuringOutage checks that an owner stops using its target a margin
// before the end of its term when the platform is down.
func TestOwnershipDuringOutage(t *testing.T) {
	for _, term := range []time.Duration{10 * tick, 30 * tick, 60 * tick} {
		cfg := Config{Term: term, Margin: 2 * tick, TakeoverDelay: term}
		shortest, longest := time.Duration(1<<62), time.Duration(0)
		for outageTick := range 30 {
			m := newModel(cfg, "a")
			for range outageTick + 1 {
				m.advanceTime()
				m.wakeAndRun("a")
			}
			downSince := m.now
			for {
				m.advanceTime()
				if _, _, ok := m.daemons["a"].Held(modelTarget, m.now); !ok {
					break
				}
			}
			held := m.now.Sub(downSince)
			shortest, longest = min(shortest, held), max(longest, held)
		}
		t.Logf("term %s: owned for %s to %s during the outage", term, shortest, longest)
		assert.Assert(t, longest <= term-2*tick)
	}
}
