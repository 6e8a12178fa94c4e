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

// cutStore is one host's way to the platform, which may be cut.
type cutStore struct {
	client.ObjectStore
	cut atomic.Bool
}

func (s *cutStore) Get(ctx context.Context, key string) (client.Object, error) {
	if s.cut.Load() {
		return client.Object{}, client.NewError("get", client.KindUnavailable, nil)
	}
	return s.ObjectStore.Get(ctx, key)
}

func (s *cutStore) Put(ctx context.Context, key string, value []byte, expect uint64) (client.Object, error) {
	if s.cut.Load() {
		return client.Object{}, client.NewError("put", client.KindUnknown, nil)
	}
	return s.ObjectStore.Put(ctx, key, value, expect)
}

// rig is a platform with two daemons.
type rig struct {
	t     *testing.T
	clock *clockwork.FakeClock
	store *rememberer.Memory
	a, b  *leaser.Leaser
	cutA  *cutStore

	mu     sync.Mutex
	fences []uint64
}

func start(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, clock: clockwork.NewFakeClock()}
	var err error
	r.store, err = rememberer.New(rememberer.Config{Clock: r.clock})
	assert.NilError(t, err)
	r.cutA = &cutStore{ObjectStore: r.store}
	r.a = r.run("a", r.cutA, 1)
	r.b = r.run("b", r.store, 2)
	return r
}

func (r *rig) run(host identifier.Host, store client.ObjectStore, seed uint64) *leaser.Leaser {
	l, err := leaser.New(leaser.Config{
		Store: store, Host: host, DataCentre: "dc", Clock: r.clock, Term: term, Margin: time.Second,
		Rand: rand.New(rand.NewPCG(seed, 1)),
		Notify: func(ev leaser.Event) {
			if g, ok := ev.(leaser.Gained); ok {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.fences = append(r.fences, g.Fence)
			}
		},
	})
	assert.NilError(r.t, err)
	ctx, cancel := context.WithCancel(r.t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	r.t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(r.t, goleak.IgnoreCurrent())
	})
	return l
}

// until advances the clock in small steps until ok, and checks at each step
// that no target has two owners. It returns the time that has passed.
func (r *rig) until(ok func() bool) time.Duration {
	r.t.Helper()
	began := r.clock.Now()
	for range 20000 {
		_, _, first := r.a.Held("t")
		_, _, second := r.b.Held("t")
		assert.Assert(r.t, !first || !second, "two owners")
		if ok() {
			return r.clock.Since(began)
		}
		r.clock.Advance(20 * time.Millisecond)
		time.Sleep(100 * time.Microsecond)
	}
	r.t.Fatal("the condition did not come about")
	return 0
}

func holds(l *leaser.Leaser) func() bool {
	return func() bool {
		_, _, ok := l.Held("t")
		return ok
	}
}

func (r *rig) ownedByA() {
	r.t.Helper()
	r.a.Want([]identifier.Target{"t"})
	r.until(holds(r.a))
	r.b.Want([]identifier.Target{"t"})
}

func (r *rig) rising() {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 1; i < len(r.fences); i++ {
		assert.Assert(r.t, r.fences[i] > r.fences[i-1], "fences %v", r.fences)
	}
}

func TestTakeOverAfterCut(t *testing.T) {
	r := start(t)
	r.ownedByA()
	r.cutA.cut.Store(true)
	passed := r.until(holds(r.b))
	assert.Assert(t, passed >= term/2, "taken over after %v", passed)
	r.cutA.cut.Store(false)
	r.b.Want(nil)
	r.until(holds(r.a))
	r.rising()
}

func TestReleaseIsTakenOverBeforeTerm(t *testing.T) {
	r := start(t)
	r.ownedByA()
	released := make(chan error, 1)
	go func() { released <- r.a.Release(t.Context()) }()
	r.until(func() bool { return !holds(r.a)() })
	passed := r.until(holds(r.b))
	assert.NilError(t, <-released)
	assert.Assert(t, passed < term, "taken over after %v", passed)
	r.rising()
}

func TestOutageEndsAndResumesOwnership(t *testing.T) {
	r := start(t)
	r.ownedByA()
	r.store.SetHook(func(rememberer.Call) rememberer.Fault { return rememberer.FaultUnavailable })
	r.until(func() bool { return !holds(r.a)() })
	r.store.SetHook(nil)
	r.until(func() bool { return holds(r.a)() || holds(r.b)() })
}

func TestLostAnswersAreSettled(t *testing.T) {
	r := start(t)
	var mu sync.Mutex
	n := 0
	r.store.SetHook(func(c rememberer.Call) rememberer.Fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Op != rememberer.OpPut {
			return rememberer.FaultNone
		}
		n++
		return []rememberer.Fault{rememberer.FaultLostAnswer, "", rememberer.FaultLostCall}[n%3]
	})
	r.ownedByA()
	began := r.clock.Now()
	r.until(func() bool { return r.clock.Since(began) > 5*term })
	assert.Assert(t, holds(r.a)())
}

func TestWritesDoNotGrowWithTargets(t *testing.T) {
	r := start(t)
	var targets []identifier.Target
	for i := range 20 {
		targets = append(targets, identifier.Target(rune('A'+i)))
	}
	r.a.Want(targets)
	r.until(func() bool { return r.store.Calls(rememberer.OpPut) >= 22 })
	writes := r.store.Calls(rememberer.OpPut)
	began := r.clock.Now()
	r.until(func() bool { return r.clock.Since(began) > 10*term })
	grown := r.store.Calls(rememberer.OpPut) - writes
	// Two daemons renew at least each 0.9 of a third of the term.
	assert.Assert(t, grown <= 2*34+2, "%d writes", grown)
}
