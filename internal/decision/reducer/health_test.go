package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBreakerTakesFailuresAtOnceForOne lets many attempts fail at one time, as
// when all connections fall silent, and then again after each opening.
func TestBreakerTakesFailuresAtOnceForOne(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var h health
	for _, want := range []time.Duration{breakerBase, 2 * breakerBase, 4 * breakerBase} {
		for range 10 {
			h.failed(now)
		}
		assert.Assert(t, h.open(now.Add(want-time.Millisecond)))
		assert.Assert(t, !h.open(now.Add(want)), "want %v, open until %v", want, h.openUntil.Sub(now))
		now = now.Add(want)
	}
	h.succeeded()
	assert.Assert(t, !h.open(now))
}
