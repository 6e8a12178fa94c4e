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
	outageRepeat   = time.Second // after which every fifth caller tries another daemon
)

// claimStrategy claims a key for a daemon and reports whether the request may run.
type claimStrategy interface {
	claim(ctx context.Context, daemon int, key string) bool
}

// perKeyStrategy creates one object on the platform for each claim.
type perKeyStrategy struct{ claimers []*Claimer }

func (s perKeyStrategy) claim(ctx context.Context, daemon int, key string) bool {
	outcome, err := s.claimers[daemon].Claim(ctx, ClaimRequest{
		Team: "team", Key: key, Request: identifier.Request(fmt.Sprintf("%d/%s", daemon, key)), Fingerprint: "f",
	})
	_, won := outcome.(Won)
	return err == nil && won
}

// localFallbackStrategy claims in the daemon's memory when the platform does not
// settle the claim within localFallbackAfter.
type localFallbackStrategy struct {
	perKeyStrategy
	mu      *sync.Mutex
	claimed []map[string]bool
}

const localFallbackAfter = 500 * time.Millisecond

func (s localFallbackStrategy) claim(ctx context.Context, daemon int, key string) bool {
	shortCtx, cancel := context.WithTimeout(ctx, localFallbackAfter)
	defer cancel()
	outcome, err := s.claimers[daemon].Claim(shortCtx, ClaimRequest{
		Team: "team", Key: key, Request: identifier.Request(fmt.Sprintf("%d/%s", daemon, key)), Fingerprint: "f",
	})
	if _, unsettled := outcome.(Unsettled); !unsettled {
		_, won := outcome.(Won)
		return err == nil && won
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	claimedBefore := s.claimed[daemon][key]
	s.claimed[daemon][key] = true
	return !claimedBefore
}

// batchStrategy sends all claims to one daemon, which writes those of each interval
// together.
type batchStrategy struct {
	store   client.ObjectStore
	mu      sync.Mutex
	waiting map[string][]chan bool
	version uint64
	claimed map[string]bool
}

const (
	batchInterval = 20 * time.Millisecond
	batchKey      = KeyPrefix + "shard-0"
)

func (s *batchStrategy) claim(ctx context.Context, _ int, key string) bool {
	answer := make(chan bool, 1)
	s.mu.Lock()
	s.waiting[key] = append(s.waiting[key], answer)
	s.mu.Unlock()
	select {
	case won := <-answer:
		return won
	case <-ctx.Done():
		return false
	}
}

// run writes batches until ctx ends. If the reply to a write is lost, it reads the
// object to find out whether the write took effect.
func (s *batchStrategy) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(batchInterval)
		s.mu.Lock()
		batch := s.waiting
		s.waiting = map[string][]chan bool{}
		s.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		for !s.write(ctx, batch) && ctx.Err() == nil {
			time.Sleep(backoffMax / 4)
		}
		for key, answers := range batch {
			for i, answer := range answers {
				answer <- i == 0 && !s.claimed[key]
			}
			s.claimed[key] = true
		}
	}
}

func (s *batchStrategy) write(ctx context.Context, batch map[string][]chan bool) bool {
	next := map[string]bool{}
	for key := range s.claimed {
		next[key] = true
	}
	for key := range batch {
		next[key] = true
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	o, err := s.store.Put(ctx, batchKey, value, s.version)
	if client.IsKind(err, client.KindUnknown) || client.IsKind(err, client.KindConflict) {
		o, err = s.store.Get(ctx, batchKey)
		if err == nil && string(o.Value) != string(value) {
			return false
		}
	}
	if err == nil {
		s.version = o.Version
	}
	return err == nil
}

// outageCounts holds the results of the requests that arrived during the outage,
// and the number of all calls to the platform.
type outageCounts struct {
	arrived, completed, ranTwice, calls int
}

// runDuringOutage sends requests before, during and after an outage in which fault
// decides how each call to the platform fails.
func runDuringOutage(t *testing.T, newStrategy func(ctx context.Context, store *rememberer.Memory) claimStrategy, fault func(*rand.Rand) rememberer.Fault) outageCounts {
	t.Helper()
	var out outageCounts
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		store, err := rememberer.New(rememberer.Config{Clock: clock})
		assert.NilError(t, err)
		start := time.Now()
		store.SetHook(outageHook(start, fault))
		ctx, cancel := context.WithCancel(t.Context())
		s := newStrategy(ctx, store)
		runs := runAll(s)
		out = countDuringOutage(runs)
		out.calls = store.Calls(rememberer.OpPut) + store.Calls(rememberer.OpGet)
		cancel()
		time.Sleep(outageDeadline)
		synctest.Wait()
	})
	return out
}

func outageHook(start time.Time, fault func(*rand.Rand) rememberer.Fault) func(rememberer.Call) rememberer.Fault {
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
func runAll(s claimStrategy) []int {
	runs := make([]int, outageRequests)
	var mu sync.Mutex
	var wg sync.WaitGroup
	try := func(i, daemon int) {
		ctx, cancel := context.WithTimeout(context.Background(), outageDeadline)
		defer cancel()
		if s.claim(ctx, daemon, fmt.Sprintf("key-%d", i)) {
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

func countDuringOutage(runs []int) outageCounts {
	var out outageCounts
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

func startClaimers(ctx context.Context, t *testing.T, store client.ObjectStore) perKeyStrategy {
	t.Helper()
	var s perKeyStrategy
	for i := range outageDaemons {
		c := newClaimer(t, store, uint64(i+1))
		go func() { _ = c.Run(ctx) }() // returns only the error of ctx
		s.claimers = append(s.claimers, c)
	}
	return s
}

// TestClaimStrategiesDuringOutage compares strategies for claims. With claims on
// the platform, one by one or in batches, no request runs twice. With claims in
// the memory of a daemon, more requests complete, but some run twice.
func TestClaimStrategiesDuringOutage(t *testing.T) {
	strategies := map[string]func(context.Context, *rememberer.Memory) claimStrategy{
		"one by one": func(ctx context.Context, store *rememberer.Memory) claimStrategy { return startClaimers(ctx, t, store) },
		"in batches": func(ctx context.Context, store *rememberer.Memory) claimStrategy {
			s := &batchStrategy{store: store, waiting: map[string][]chan bool{}, claimed: map[string]bool{}}
			go s.run(ctx)
			return s
		},
		"local": func(ctx context.Context, store *rememberer.Memory) claimStrategy {
			s := localFallbackStrategy{perKeyStrategy: startClaimers(ctx, t, store), mu: &sync.Mutex{}}
			for range outageDaemons {
				s.claimed = append(s.claimed, map[string]bool{})
			}
			return s
		},
	}
	faults := map[string]func(*rand.Rand) rememberer.Fault{
		"down":                   func(*rand.Rand) rememberer.Fault { return rememberer.FaultUnavailable },
		"nine in ten throttled":  faultInTenths(9, rememberer.FaultThrottled),
		"half of answers lost":   faultInTenths(5, rememberer.FaultLostResponse),
		"half of requests lost":  faultInTenths(5, rememberer.FaultLostCall),
		"nine in ten unanswered": faultInTenths(9, rememberer.FaultLostResponse),
	}
	for fault, hook := range faults {
		for name, newStrategy := range strategies {
			t.Run(fault+", claims "+name, func(t *testing.T) {
				out := runDuringOutage(t, newStrategy, hook)
				t.Logf("%d arrived, %d completed, %d ran twice, %d calls", out.arrived, out.completed, out.ranTwice, out.calls)
				assert.Assert(t, out.arrived == 300)
				if name == "local" {
					assert.Assert(t, fault != "down" || out.ranTwice > 0 && out.completed == out.arrived)
					return
				}
				assert.Equal(t, out.ranTwice, 0)
				assert.Assert(t, out.completed > 0, "no request completed, although those near the end of the outage outlast it")
			})
		}
	}
}

// faultInTenths returns a function that applies fault to n in ten calls at random.
func faultInTenths(n int, fault rememberer.Fault) func(*rand.Rand) rememberer.Fault {
	return func(rng *rand.Rand) rememberer.Fault {
		if rng.IntN(10) < n {
			return fault
		}
		return rememberer.FaultNone
	}
}
