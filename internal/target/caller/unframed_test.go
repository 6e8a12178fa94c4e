package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// TestTruncatedUnframedResponses checks that a response which ends with its connection is complete
// only with its end mark, or for a plain service without a reset.
func TestTruncatedUnframedResponses(t *testing.T) {
	whole := strings.Join(frames, "")
	tokens, ev := newFixture(t, unframed(t, whole, false)).generate(t)
	assert.Equal(t, tokens, 2)
	_, done := ev.(reducer.AttemptDone)
	assert.Assert(t, done, "%+v", ev)
	for _, body := range []string{"", frames[0][:20], frames[0], frames[0] + frames[1], whole[:len(whole)-2]} {
		for _, reset := range []bool{false, true} {
			tokens, ev := newFixture(t, unframed(t, body, reset)).generate(t)
			failed, ok := ev.(reducer.AttemptFailed)
			assert.Assert(t, ok, "%q, reset %t: %+v", body, reset, ev)
			assert.Equal(t, failed.Delivered, tokens)
			assert.Assert(t, !failed.ProvenNotRun)
		}
	}

	resp, ev := newFixture(t, unframed(t, "paid", false)).call(t)
	_, done = ev.(reducer.AttemptDone)
	assert.Assert(t, done, "%+v", ev)
	assert.Equal(t, string(resp.Body), "paid")
	_, ev = newFixture(t, unframed(t, "pa", true)).call(t)
	_, failed := ev.(reducer.AttemptFailed)
	assert.Assert(t, failed, "%+v", ev)
}
