package leaser_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/leaser"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

const term = 6 * time.Second

// disconnectableStore is the connection of one host to the platform. While it is
// disconnected, reads fail and writes have an unknown outcome.
type disconnectableStore struct {
	client.ObjectStore
	disconnected atomic.Bool
}

func (s *disconnectableStore) Get(ctx context.Context, key string) (client.Object, error) {
	if s.disconnected.Load() {
		return client.Object{}, client.NewError("get", client.KindUnavailable, nil)
	}
	return s.ObjectStore.Get(ctx, key)
}

func (s *disconnectableStore) Put(ctx context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	if s.disconnected.Load() {
		return client.Object{}, client.NewError("put", client.KindUnknown, nil)
	}
	return s.ObjectStore.Put(ctx, key, value, expect)
}

// fixture runs the leasers of two daemons, a and b, against one platform.
type fixture struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	store  *rememberer.Memory
	a, b   *leaser.Leaser
	storeA *disconnectableStore

	mu     sync.Mutex
	fences []uint64 // of Gained in order
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: clockwork.NewFakeClock()}
	var err error
	f.store, err = rememberer.New(rememberer.Config{Clock: f.clock})
	assert.NilError(t, err)
	f.storeA = &disconnectableStore{ObjectStore: f.store}
	f.a = f.startLeaser("a", f.storeA, 1)
	f.b = f.startLeaser("b", f.store, 2)
	return f
}

func (f *fixture) startLeaser(host identifier.Host, store client.ObjectStore, seed uint64) *leaser.Leaser {
	l, err := leaser.New(leaser.Config{
		Store: store, Host: host, DataCentre: "dc", Clock: f.clock, Term: term, Margin: time.Second, MaxUse: time.Minute,
		Rand: rand.New(rand.NewPCG(seed, 1)),
		Notify: func(ev leaser.Event) {
			if g, ok := ev.(leaser.Gained); ok {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.fences = append(f.fences, g.Fence)
			}
		},
	})
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(f.t, goleak.IgnoreCurrent())
	})
	return l
}

// advanceUntil advances the clock in small steps until ok returns true, and checks
// at each step that the target has at most one owner. It returns the elapsed time.
func (f *fixture) advanceUntil(ok func() bool) time.Duration {
	f.t.Helper()
	began := f.clock.Now()
	for range 20000 {
		_, _, first := f.a.Held("t")
		_, _, second := f.b.Held("t")
		assert.Assert(f.t, !first || !second, "two owners")
		if ok() {
			return f.clock.Since(began)
		}
		f.clock.Advance(20 * time.Millisecond)
		time.Sleep(100 * time.Microsecond)
	}
	f.t.Fatal("condition not reached after 20000 steps")
	return 0
}

func owns(l *leaser.Leaser) func() bool {
	return func() bool {
		_, _, ok := l.Held("t")
		return ok
	}
}

// acquireOnA waits until a owns the target, which b then wants as well.
func (f *fixture) acquireOnA() {
	f.t.Helper()
	f.a.SetWanted([]identifier.Target{"t"})
	f.advanceUntil(owns(f.a))
	f.b.SetWanted([]identifier.Target{"t"})
}

func (f *fixture) assertFencesIncrease() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 1; i < len(f.fences); i++ {
		assert.Assert(f.t, f.fences[i] > f.fences[i-1], "fences %v", f.fences)
	}
}

// TestTakeoverAfterDisconnect checks that b takes over when a is disconnected from
// the platform, not before half a term, and that a can own the target again later.
func TestTakeoverAfterDisconnect(t *testing.T) {
	f := newFixture(t)
	f.acquireOnA()
	f.storeA.disconnected.Store(true)
	elapsed := f.advanceUntil(owns(f.b))
	assert.Assert(t, elapsed >= term/2, "taken over after %v", elapsed)
	f.storeA.disconnected.Store(false)
	f.b.SetWanted(nil)
	f.advanceUntil(owns(f.a))
	f.assertFencesIncrease()
}

// TestTakeoverAfterReleaseBeforeTermEnds checks that b need not wait for the term
// after a has released its session.
func TestTakeoverAfterReleaseBeforeTermEnds(t *testing.T) {
	f := newFixture(t)
	f.acquireOnA()
	released := make(chan error, 1)
	go func() { released <- f.a.Release(t.Context()) }()
	f.advanceUntil(func() bool { return !owns(f.a)() })
	elapsed := f.advanceUntil(owns(f.b))
	assert.NilError(t, <-released)
	assert.Assert(t, elapsed < term, "taken over after %v", elapsed)
	f.assertFencesIncrease()
}

func TestOwnershipResumesAfterOutage(t *testing.T) {
	f := newFixture(t)
	f.acquireOnA()
	f.store.SetHook(func(rememberer.Call) rememberer.Fault { return rememberer.FaultUnavailable })
	f.advanceUntil(func() bool { return !owns(f.a)() })
	f.store.SetHook(nil)
	f.advanceUntil(func() bool { return owns(f.a)() || owns(f.b)() })
}

// TestOwnershipSurvivesLostReplies checks that a keeps the target when writes or
// their replies are lost, since the records show which writes took effect.
func TestOwnershipSurvivesLostReplies(t *testing.T) {
	f := newFixture(t)
	var mu sync.Mutex
	n := 0
	f.store.SetHook(func(c rememberer.Call) rememberer.Fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Op != rememberer.OpPut {
			return rememberer.FaultNone
		}
		n++
		return []rememberer.Fault{rememberer.FaultLostResponse, "", rememberer.FaultLostCall}[n%3]
	})
	f.acquireOnA()
	began := f.clock.Now()
	f.advanceUntil(func() bool { return f.clock.Since(began) > 5*term })
	assert.Assert(t, owns(f.a)())
}

func TestRenewalWritesDoNotGrowWithTargets(t *testing.T) {
	f := newFixture(t)
	var targets []identifier.Target
	for i := range 20 {
		targets = append(targets, identifier.Target(rune('A'+i)))
	}
	f.a.SetWanted(targets)
	f.advanceUntil(func() bool { return f.store.Calls(rememberer.OpPut) >= 22 })
	writes := f.store.Calls(rememberer.OpPut)
	began := f.clock.Now()
	f.advanceUntil(func() bool { return f.clock.Since(began) > 10*term })
	added := f.store.Calls(rememberer.OpPut) - writes
	// With jitter, each of the two daemons renews its session after at least 0.9 of a
	// third of the term.
	assert.Assert(t, added <= 2*34+2, "%d writes", added)
}
