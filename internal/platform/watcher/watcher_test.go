package watcher_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
	"cardamomscale.example/cardamomscale/internal/platform/watcher"
)

// fixture is a running Watcher of an in-memory platform. It records adopted versions.
type fixture struct {
	*watcher.Watcher
	t     *testing.T
	clock *clockwork.FakeClock
	store *rememberer.Memory

	mu       sync.Mutex
	versions []uint64
}

func startWatcher(t *testing.T, rank int, prepare func(*rememberer.Memory)) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: clockwork.NewFakeClock()}
	var err error
	f.store, err = rememberer.New(rememberer.Config{Clock: f.clock})
	assert.NilError(t, err)
	prepare(f.store)
	f.Watcher, err = watcher.New(watcher.Config{
		Store: f.store, Clock: f.clock, Jitter: client.NewJitter(rand.New(rand.NewPCG(1, 2))),
		Rank: func() int { return rank },
		Adopt: func(version uint64, _ []byte) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.versions = append(f.versions, version)
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return f
}

func putConfig(t *testing.T, store *rememberer.Memory, expect uint64) uint64 {
	t.Helper()
	o, err := store.Put(t.Context(), specifier.FleetKey, []byte("{}"), expect)
	assert.NilError(t, err)
	return o.Version
}

// advanceUntil advances the clock in small steps until condition holds.
func (f *fixture) advanceUntil(condition func() bool) {
	f.t.Helper()
	for range 20000 {
		if condition() {
			return
		}
		f.clock.Advance(50 * time.Millisecond)
		time.Sleep(50 * time.Microsecond)
	}
	f.t.Fatal("the condition never held")
}

func (f *fixture) assertVersionsRise() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 1; i < len(f.versions); i++ {
		assert.Assert(f.t, f.versions[i] > f.versions[i-1], "versions %v", f.versions)
	}
}

// TestAdoptsChangesByWatchOrPoll checks that a daemon adopts changes whether its rank
// lets it watch or only poll, and that it doesn't watch at a high rank.
func TestAdoptsChangesByWatchOrPoll(t *testing.T) {
	for _, rank := range []int{0, 5} {
		f := startWatcher(t, rank, func(m *rememberer.Memory) { putConfig(t, m, 0) })
		f.advanceUntil(func() bool { return f.Version() == 1 })
		<-f.Ready()
		putConfig(t, f.store, 1)
		f.advanceUntil(func() bool { return f.Version() == 2 })
		assert.Equal(t, f.store.Calls(rememberer.OpWatch) > 0, rank == 0)
		f.assertVersionsRise()
	}
}

// TestStaleReadsDoNotRevertVersion guards against a return to an old configuration
// when the platform returns a stale version.
func TestStaleReadsDoNotRevertVersion(t *testing.T) {
	f := startWatcher(t, 5, func(m *rememberer.Memory) {
		putConfig(t, m, 0)
		putConfig(t, m, 1)
	})
	f.advanceUntil(func() bool { return f.Version() == 2 })
	f.store.SetStale(1)
	calls := f.store.Calls(rememberer.OpGet)
	f.advanceUntil(func() bool { return f.store.Calls(rememberer.OpGet) > calls+2 })
	assert.Equal(t, f.Version(), uint64(2))
	assert.Assert(t, !f.Offer(1, []byte("{}")))
	f.assertVersionsRise()
}

// TestOutageCallsBackOff guards against a flood of calls while the platform is down,
// and checks that a peer's version makes the Watcher ready nevertheless.
func TestOutageCallsBackOff(t *testing.T) {
	f := startWatcher(t, 0, func(m *rememberer.Memory) {
		m.SetHook(func(rememberer.Call) rememberer.Fault { return rememberer.FaultUnavailable })
	})
	began := f.clock.Now()
	f.advanceUntil(func() bool { return f.clock.Since(began) > 2*time.Minute })
	calls := f.store.Calls(rememberer.OpGet) + f.store.Calls(rememberer.OpWatch)
	assert.Assert(t, calls > 4 && calls < 80, "%d calls in two minutes", calls)

	assert.Assert(t, f.Offer(7, []byte("{}")))
	<-f.Ready()
	assert.Equal(t, f.Version(), uint64(7))
}
