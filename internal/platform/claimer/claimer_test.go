package claimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

func newStore(t *testing.T) *rememberer.Memory {
	t.Helper()
	store, err := rememberer.New(rememberer.Config{Clock: clockwork.NewFakeClock()})
	assert.NilError(t, err)
	return store
}

func newClaimer(t *testing.T, store client.ObjectStore, seed uint64) *Claimer {
	t.Helper()
	c, err := New(Config{
		Store: store, Clock: clockwork.NewRealClock(), Secret: []byte("0123456789abcdef"),
		Jitter: client.NewJitter(rand.New(rand.NewPCG(seed, 2))),
	})
	assert.NilError(t, err)
	return c
}

func request(id string) ClaimRequest {
	return ClaimRequest{Team: "team", Key: "order-1", Request: identifier.Request(id), Fingerprint: "f"}
}

func claim(t *testing.T, c *Claimer, req ClaimRequest) Outcome {
	t.Helper()
	outcome, err := c.Claim(t.Context(), req)
	assert.NilError(t, err)
	return outcome
}

func win(t *testing.T, c *Claimer, id string) Held {
	t.Helper()
	won, ok := claim(t, c, request(id)).(Won)
	assert.Assert(t, ok)
	return won.Held
}

func TestSecondUseOfKey(t *testing.T) {
	store := newStore(t)
	a, b := newClaimer(t, store, 1), newClaimer(t, store, 2)
	held := win(t, a, "r1")
	assert.Equal(t, claim(t, b, request("r2")).(InProgress).Request, identifier.Request("r1"))
	other := request("r3")
	other.Fingerprint = "g"
	assert.Equal(t, claim(t, b, other).(Mismatch).Request, identifier.Request("r1"))
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 201, Body: []byte("done")}))
	assert.Equal(t, string(claim(t, b, request("r4")).(AlreadyAnswered).Answer.Body), "done")
	assert.Assert(t, a.Release(t.Context(), held) != nil)
}

func TestReleasedAndForgottenClaims(t *testing.T) {
	store := newStore(t)
	a, b := newClaimer(t, store, 1), newClaimer(t, store, 2)
	assert.NilError(t, a.Release(t.Context(), win(t, a, "r1")))
	held := win(t, b, "r2")
	assert.NilError(t, b.Forget(t.Context(), held))
	assert.Equal(t, claim(t, a, request("r3")).(Unknown).Request, identifier.Request("r2"))
}

func TestRaceHasOneWinner(t *testing.T) {
	store := newStore(t)
	store.SetHook(loseSome())
	var wg sync.WaitGroup
	var mu sync.Mutex
	wins := 0
	for seed := range uint64(8) {
		c := newClaimer(t, store, seed)
		wg.Go(func() {
			outcome, err := c.Claim(t.Context(), request("r"))
			mu.Lock()
			defer mu.Unlock()
			if _, ok := outcome.(Won); ok && err == nil {
				wins++
			}
		})
	}
	wg.Wait()
	assert.Equal(t, wins, 1)
}

// loseSome loses every second put, in turn before and after its effect.
func loseSome() func(rememberer.Call) rememberer.Fault {
	var mu sync.Mutex
	n := 0
	return func(c rememberer.Call) rememberer.Fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Op != rememberer.OpPut {
			return rememberer.FaultNone
		}
		n++
		return []rememberer.Fault{rememberer.FaultLostAnswer, "", rememberer.FaultLostCall, ""}[n%4]
	}
}

func TestLostAnswersOfFinish(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	held := win(t, a, "r1")
	n := 0
	store.SetHook(func(c rememberer.Call) rememberer.Fault {
		n++
		return map[int]rememberer.Fault{1: rememberer.FaultLostCall, 3: rememberer.FaultLostAnswer}[n]
	})
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 200}))
	assert.Equal(t, claim(t, a, request("r2")).(AlreadyAnswered).Answer.Status, 200)
}

// unsettled makes a claim whose write takes effect without the claimer knowing.
func unsettled(t *testing.T, c *Claimer, store *rememberer.Memory, fault rememberer.Fault) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	store.SetHook(func(call rememberer.Call) rememberer.Fault {
		if call.Op == rememberer.OpPut {
			return fault
		}
		cancel()
		return rememberer.FaultUnavailable
	})
	outcome, err := c.Claim(ctx, request("r1"))
	assert.NilError(t, err)
	_, ok := outcome.(Unsettled)
	assert.Assert(t, ok)
	store.SetHook(nil)
}

func TestUnsettledClaimIsRecovered(t *testing.T) {
	for _, fault := range []rememberer.Fault{rememberer.FaultLostAnswer, rememberer.FaultLostCall} {
		store := newStore(t)
		a, b := newClaimer(t, store, 1), newClaimer(t, store, 2)
		unsettled(t, a, store, fault)
		if fault == rememberer.FaultLostAnswer {
			_, ok := claim(t, b, request("r2")).(InProgress)
			assert.Assert(t, ok)
		}
		assert.Assert(t, a.releaseAbandoned(t.Context()))
		held := win(t, b, "r3")
		// The abandoned write comes late and has no effect.
		_, err := store.Put(t.Context(), held.key, []byte("{}"), client.MustNotExist)
		assert.Equal(t, client.KindOf(err), client.KindConflict)
	}
}

func TestAbandonedClaimIsTakenOverByItsDaemon(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	unsettled(t, a, store, rememberer.FaultLostAnswer)
	held := win(t, a, "r2")
	assert.Assert(t, a.releaseAbandoned(t.Context()))
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 200}))
}

func TestKeysOfTeamsAreApart(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	win(t, a, "r1")
	other := request("r2")
	other.Team = "other"
	_, ok := claim(t, a, other).(Won)
	assert.Assert(t, ok)
}
