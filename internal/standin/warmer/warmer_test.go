package warmer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
)

func newWarmer(t assert.TestingT, clock clockwork.Clock) *Warmer {
	w, err := New(Config{
		Settings: Settings{ColdLimit: 2, WarmTime: server.Duration{Duration: time.Second}, WarmRequests: 2},
		Clock:    clock,
	})
	assert.NilError(t, err)
	return w
}

func TestWarmAfterTimeAndRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := newWarmer(t, clock)
	clock.Advance(time.Minute)
	assert.Assert(t, w.Cold())
	for _, completed := range []bool{true, false, true} {
		ticket, ok := w.Begin()
		assert.Assert(t, ok && w.Cold())
		w.End(ticket, completed)
	}
	assert.Assert(t, !w.Cold())
	w.Restart()
	assert.Assert(t, w.Cold())
}

// Requests of an earlier incarnation that end late must not free places in the
// current one; otherwise it would accept more than its cold limit.
func TestEndIgnoresTicketsOfEarlierIncarnations(t *testing.T) {
	w := newWarmer(t, clockwork.NewFakeClock())
	old, _ := w.Begin()
	w.Restart()
	for range 2 {
		_, ok := w.Begin()
		assert.Assert(t, ok)
	}
	w.End(old, true)
	_, ok := w.Begin()
	assert.Assert(t, !ok)
	assert.Equal(t, w.Incarnation(), identifier.Incarnation(3))
}

func TestCrashesOnlyAboveColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWarmer(t, clockwork.NewFakeClock())
		var active []Ticket
		crashes := 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			if len(active) > 0 && rapid.Bool().Draw(t, "end") {
				w.End(active[0], false)
				active = active[1:]
				continue
			}
			ticket, ok := w.Begin()
			assert.Equal(t, ok, len(active) < 2)
			active = append(active, ticket)
			if !ok {
				crashes++
				active = nil
			}
			assert.Equal(t, w.Stats().Crashes, crashes)
		}
	})
}
