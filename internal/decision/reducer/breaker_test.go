package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBreakerIgnoresFailuresWhileOpen guards against a breaker that stays open too
// long after one incident: when all connections to a target stall, many attempts
// fail at once, and those that fail after the breaker opened must not count.
func TestBreakerIgnoresFailuresWhileOpen(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b breaker
	for _, want := range []time.Duration{breakerBase, 2 * breakerBase, 4 * breakerBase} {
		for range 10 {
			b.recordFailure(now)
		}
		assert.Assert(t, b.open(now.Add(want-time.Millisecond)))
		assert.Assert(t, !b.open(now.Add(want)), "want %v, open until %v", want, b.openUntil.Sub(now))
		now = now.Add(want)
	}
	b.recordSuccess()
	assert.Assert(t, !b.open(now))
}
