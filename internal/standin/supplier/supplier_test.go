package supplier

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Simultaneous loads above FullSpeedLoads must share the rate: twice as many take
// twice as long.
func TestLoadsSlowDownAboveFullSpeedLimit(t *testing.T) {
	tests := []struct {
		loads int
		want  time.Duration
	}{{1, 400 * time.Millisecond}, {2, 400 * time.Millisecond}, {4, 800 * time.Millisecond}, {6, 1200 * time.Millisecond}}
	for _, test := range tests {
		clock := clockwork.NewFakeClock()
		s, err := New(Config{Settings: DefaultSettings(), Clock: clock})
		assert.NilError(t, err)
		done := make(chan error, test.loads)
		for range test.loads {
			l, ok := s.startLoad()
			assert.Assert(t, ok)
			go func() {
				<-l.done
				done <- nil
			}()
		}
		clock.Advance(test.want - time.Millisecond)
		s.onTimer()
		assert.Equal(t, s.Stats().Loads, 0, "%d loads", test.loads)
		clock.Advance(2 * time.Millisecond)
		for range test.loads {
			assert.NilError(t, <-done)
		}
		assert.Equal(t, s.Stats().Loads, test.loads)
	}
}

func TestRefusedAndAbandonedLoads(t *testing.T) {
	s, err := New(Config{Settings: DefaultSettings(), Clock: clockwork.NewFakeClock()})
	assert.NilError(t, err)
	l, _ := s.startLoad()
	s.abandonLoad(l)
	refuse := true
	assert.NilError(t, s.Apply(Faults{Refuse: &refuse}))
	assert.ErrorContains(t, s.Load(t.Context(), "m", "v"), "refused")
	assert.Equal(t, s.Stats(), Stats{MaxLoads: 1, Abandoned: 1, Refused: 1})
}
