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

// rig is a running watcher over a platform in memory.
type rig struct {
	*watcher.Watcher
	t     *testing.T
	clock *clockwork.FakeClock
	store *rememberer.Memory

	mu       sync.Mutex
	versions []uint64
}

func start(t *testing.T, rank int, prepare func(*rememberer.Memory)) *rig {
	t.Helper()
	r := &rig{t: t, clock: clockwork.NewFakeClock()}
	var err error
	r.store, err = rememberer.New(rememberer.Config{Clock: r.clock})
	assert.NilError(t, err)
	prepare(r.store)
	r.Watcher, err = watcher.New(watcher.Config{
		Store: r.store, Clock: r.clock, Jitter: client.NewJitter(rand.New(rand.NewPCG(1, 2))),
		Rank: func() int { return rank },
		Adopt: func(version uint64, _ []byte) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.versions = append(r.versions, version)
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return r
}

func put(t *testing.T, store *rememberer.Memory, expect uint64) uint64 {
	t.Helper()
	o, err := store.Put(t.Context(), specifier.FleetKey, []byte("{}"), expect)
	assert.NilError(t, err)
	return o.Version
}

// until advances the clock in small steps until ok.
func (r *rig) until(ok func() bool) {
	r.t.Helper()
	for range 20000 {
		if ok() {
			return
		}
		r.clock.Advance(50 * time.Millisecond)
		time.Sleep(50 * time.Microsecond)
	}
	r.t.Fatal("the condition did not come about")
}

func (r *rig) rising() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 1; i < len(r.versions); i++ {
		assert.Assert(r.t, r.versions[i] > r.versions[i-1], "versions %v", r.versions)
	}
}

func TestFollowsChanges(t *testing.T) {
	for _, rank := range []int{0, 5} {
		r := start(t, rank, func(m *rememberer.Memory) { put(t, m, 0) })
		r.until(func() bool { return r.Version() == 1 })
		<-r.Ready()
		put(t, r.store, 1)
		r.until(func() bool { return r.Version() == 2 })
		assert.Equal(t, r.store.Calls(rememberer.OpWatch) > 0, rank == 0)
		r.rising()
	}
}

func TestNeverRevertsOnStaleReads(t *testing.T) {
	r := start(t, 5, func(m *rememberer.Memory) {
		put(t, m, 0)
		put(t, m, 1)
	})
	r.until(func() bool { return r.Version() == 2 })
	r.store.SetStale(1)
	calls := r.store.Calls(rememberer.OpGet)
	r.until(func() bool { return r.store.Calls(rememberer.OpGet) > calls+2 })
	assert.Equal(t, r.Version(), uint64(2))
	assert.Assert(t, !r.Offer(1, []byte("{}")))
	r.rising()
}

func TestOutageDoesNotStorm(t *testing.T) {
	r := start(t, 0, func(m *rememberer.Memory) {
		m.SetHook(func(rememberer.Call) rememberer.Fault { return rememberer.FaultUnavailable })
	})
	began := r.clock.Now()
	r.until(func() bool { return r.clock.Since(began) > 2*time.Minute })
	calls := r.store.Calls(rememberer.OpGet) + r.store.Calls(rememberer.OpWatch)
	assert.Assert(t, calls > 4 && calls < 80, "%d calls in two minutes", calls)

	assert.Assert(t, r.Offer(7, []byte("{}")))
	<-r.Ready()
	assert.Equal(t, r.Version(), uint64(7))
}
