package replayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// farmShop is the load of the farm shop's calm day.
func farmShop() Config {
	return Config{
		Hosts: 8, Engines: 12, LongRate: 70, ShortRate: 34, Subjects: 838, Length: 12 * time.Second,
		MessageDelay: time.Millisecond, Seed: 1,
	}
}

func play(t *testing.T, cfg Config) Result {
	t.Helper()
	r, err := New(cfg)
	assert.NilError(t, err)
	result := r.Run()
	t.Logf("%+v in time %.3f", result, result.Share())
	return result
}

func TestCalmDay(t *testing.T) {
	result := play(t, farmShop())
	assert.Assert(t, result.Share() > 0.9)
	assert.Equal(t, result, play(t, farmShop()), "the same seed gives another result")
}

// TestHerd replays hosts that learn late what the others sent: they all choose the
// engine that was free a moment ago.
func TestHerd(t *testing.T) {
	cfg := farmShop()
	prompt := play(t, cfg)
	cfg.MessageDelay = 250 * time.Millisecond
	late := play(t, cfg)
	assert.Assert(t, prompt.Share() > late.Share()+0.03, "%.3f with prompt messages, %.3f with late ones", prompt.Share(), late.Share())
}
