package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

const (
	outageDaemons  = 3
	outageRequests = 600
	outageSpacing  = 100 * time.Millisecond // between requests
	outageDeadline = 10 * time.Second
	outageFrom     = 15 * time.Second
	outageUntil    = 45 * time.Second
	outageRepeat   = time.Second // after which each fifth caller asks another daemon
)

// way claims a key for a daemon and reports whether the request may run.
type way interface {
	claim(ctx context.Context, daemon int, key string) bool
}

// platformWay creates one object for each claim.
type platformWay struct{ claimers []*Claimer }

func (w platformWay) claim(ctx context.Context, daemon int, key string) bool {
	outcome, err := w.claimers[daemon].Claim(ctx, ClaimRequest{
		Team: "team", Key: key, Request: identifier.Request(fmt.Sprintf("%d/%s", daemon, key)), Fingerprint: "f",
	})
	_, won := outcome.(Won)
	return err == nil && won
}

// localWay claims in the daemon's memory when the platform gives no answer soon.
type localWay struct {
	platformWay
	mu    *sync.Mutex
	local []map[string]bool
}

const localPatience = 500 * time.Millisecond

func (w localWay) claim(ctx context.Context, daemon int, key string) bool {
	soon, cancel := context.WithTimeout(ctx, localPatience)
	defer cancel()
	outcome, err := w.claimers[daemon].Claim(soon, ClaimRequest{
		Team: "team", Key: key, Request: identifier.Request(fmt.Sprintf("%d/%s", daemon, key)), Fingerprint: "f",
	})
	if _, unsettled := outcome.(Unsettled); !unsettled {
		_, won := outcome.(Won)
		return err == nil && won
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.local[daemon][key]
	w.local[daemon][key] = true
	return !known
}

// batchWay sends all claims to one daemon, which writes those of one interval at once.
type batchWay struct {
	store   client.ObjectStore
	mu      sync.Mutex
	waiting map[string][]chan bool
	version uint64
	held    map[string]bool
}

const (
	batchInterval = 20 * time.Millisecond
	batchKey      = KeyPrefix + "shard-0"
)

func (w *batchWay) claim(ctx context.Context, _ int, key string) bool {
	answer := make(chan bool, 1)
	w.mu.Lock()
	w.waiting[key] = append(w.waiting[key], answer)
	w.mu.Unlock()
	select {
	case won := <-answer:
		return won
	case <-ctx.Done():
		return false
	}
}

// run writes batches until ctx ends. A lost answer is settled by reading the object back.
func (w *batchWay) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(batchInterval)
		w.mu.Lock()
		batch := w.waiting
		w.waiting = map[string][]chan bool{}
		w.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		for !w.write(ctx, batch) && ctx.Err() == nil {
			time.Sleep(backoffMax / 4)
		}
		for key, answers := range batch {
			for i, answer := range answers {
				answer <- i == 0 && !w.held[key]
			}
			w.held[key] = true
		}
	}
}

func (w *batchWay) write(ctx context.Context, batch map[string][]chan bool) bool {
	next := map[string]bool{}
	for key := range w.held {
		next[key] = true
	}
	for key := range batch {
		next[key] = true
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	o, err := w.store.Put(ctx, batchKey, value, w.version)
	if client.IsKind(err, client.KindUnknown) || client.IsKind(err, client.KindConflict) {
		o, err = w.store.Get(ctx, batchKey)
		if err == nil && string(o.Value) != string(value) {
			return false
		}
	}
	if err == nil {
		w.version = o.Version
	}
	return err == nil
}

// outcomeOfOutage counts the requests that arrived during the outage.
type outcomeOfOutage struct {
	arrived, completed, ranTwice, calls int
}

// duringOutage lets callers ask during a platform fault and counts what ran.
func duringOutage(t *testing.T, makeWay func(ctx context.Context, store *rememberer.Memory) way, fault func(*rand.Rand) rememberer.Fault) outcomeOfOutage {
	t.Helper()
	var out outcomeOfOutage
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store, err := rememberer.New(rememberer.Config{Clock: clock})
		assert.NilError(t, err)
		start := time.Now()
		store.SetHook(hookOfOutage(start, fault))
		ctx, cancel := context.WithCancel(t.Context())
		w := makeWay(ctx, store)
		runs := runAll(w)
		out = count(runs)
		out.calls = store.Calls(rememberer.OpPut) + store.Calls(rememberer.OpGet)
		cancel()
		time.Sleep(outageDeadline)
		synctest.Wait()
	})
	return out
}

func hookOfOutage(start time.Time, fault func(*rand.Rand) rememberer.Fault) func(rememberer.Call) rememberer.Fault {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	return func(rememberer.Call) rememberer.Fault {
		time.Sleep(2 * time.Millisecond)
		at := time.Since(start)
		if at < outageFrom || at >= outageUntil {
			return rememberer.FaultNone
		}
		mu.Lock()
		defer mu.Unlock()
		return fault(rng)
	}
}

// runAll sends all requests and returns how often each one ran.
func runAll(w way) []int {
	runs := make([]int, outageRequests)
	var mu sync.Mutex
	var wg sync.WaitGroup
	try := func(i, daemon int) {
		ctx, cancel := context.WithTimeout(context.Background(), outageDeadline)
		defer cancel()
		if w.claim(ctx, daemon, fmt.Sprintf("key-%d", i)) {
			mu.Lock()
			defer mu.Unlock()
			runs[i]++
		}
	}
	for i := range outageRequests {
		wg.Go(func() { try(i, i%outageDaemons) })
		if i%5 == 0 {
			wg.Go(func() {
				time.Sleep(outageRepeat)
				try(i, (i+1)%outageDaemons)
			})
		}
		time.Sleep(outageSpacing)
	}
	wg.Wait()
	return runs
}

func count(runs []int) outcomeOfOutage {
	var out outcomeOfOutage
	for i, n := range runs {
		at := time.Duration(i) * outageSpacing
		if at < outageFrom || at >= outageUntil {
			continue
		}
		out.arrived++
		if n > 0 {
			out.completed++
		}
		if n > 1 {
			out.ranTwice++
		}
	}
	return out
}

func claimersOf(ctx context.Context, t *testing.T, store client.ObjectStore) platformWay {
	t.Helper()
	var w platformWay
	for i := range outageDaemons {
		c := newClaimer(t, store, uint64(i+1))
		go func() { _ = c.Run(ctx) }() // It ends with ctx only.
		w.claimers = append(w.claimers, c)
	}
	return w
}

// TestWaysToClaimDuringAnOutage compares ways to claim. Claims at the platform,
// one by one or in batches, never let a key run twice; claims in a daemon's own
// memory do, and complete more.
func TestWaysToClaimDuringAnOutage(t *testing.T) {
	ways := map[string]func(context.Context, *rememberer.Memory) way{
		"one by one": func(ctx context.Context, store *rememberer.Memory) way { return claimersOf(ctx, t, store) },
		"in batches": func(ctx context.Context, store *rememberer.Memory) way {
			w := &batchWay{store: store, waiting: map[string][]chan bool{}, held: map[string]bool{}}
			go w.run(ctx)
			return w
		},
		"local": func(ctx context.Context, store *rememberer.Memory) way {
			w := localWay{platformWay: claimersOf(ctx, t, store), mu: &sync.Mutex{}}
			for range outageDaemons {
				w.local = append(w.local, map[string]bool{})
			}
			return w
		},
	}
	faults := map[string]func(*rand.Rand) rememberer.Fault{
		"down":                   func(*rand.Rand) rememberer.Fault { return rememberer.FaultUnavailable },
		"nine in ten throttled":  oneOf(9, rememberer.FaultThrottled),
		"half of answers lost":   oneOf(5, rememberer.FaultLostAnswer),
		"half of requests lost":  oneOf(5, rememberer.FaultLostCall),
		"nine in ten unanswered": oneOf(9, rememberer.FaultLostAnswer),
	}
	for fault, hook := range faults {
		for name, makeWay := range ways {
			t.Run(fault+", claims "+name, func(t *testing.T) {
				out := duringOutage(t, makeWay, hook)
				t.Logf("%d arrived, %d completed, %d ran twice, %d calls", out.arrived, out.completed, out.ranTwice, out.calls)
				assert.Assert(t, out.arrived == 300)
				if name == "local" {
					assert.Assert(t, fault != "down" || out.ranTwice > 0 && out.completed == out.arrived)
					return
				}
				assert.Equal(t, out.ranTwice, 0)
				assert.Assert(t, out.completed > 0, "requests near the outage's end outlast it")
			})
		}
	}
}

// oneOf returns a fault that hits n calls in ten.
func oneOf(n int, fault rememberer.Fault) func(*rand.Rand) rememberer.Fault {
	return func(rng *rand.Rand) rememberer.Fault {
		if rng.IntN(10) < n {
			return fault
		}
		return rememberer.FaultNone
	}
}
