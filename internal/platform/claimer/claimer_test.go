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

func mustClaim(t *testing.T, c *Claimer, id string) Held {
	t.Helper()
	won, ok := claim(t, c, request(id)).(Won)
	assert.Assert(t, ok)
	return won.Held
}

// TestReusedKey checks the outcome of a second claim with the same key while the
// first is in progress, after it was answered and for another request.
func TestReusedKey(t *testing.T) {
	store := newStore(t)
	a, b := newClaimer(t, store, 1), newClaimer(t, store, 2)
	held := mustClaim(t, a, "r1")
	assert.Equal(t, claim(t, b, request("r2")).(InProgress).Request, identifier.Request("r1"))
	other := request("r3")
	other.Fingerprint = "g"
	assert.Equal(t, claim(t, b, other).(Mismatch).Request, identifier.Request("r1"))
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 201, Body: []byte("done")}))
	assert.Equal(t, string(claim(t, b, request("r4")).(AlreadyAnswered).Answer.Body), "done")
	assert.Assert(t, a.Release(t.Context(), held) != nil)
}

func TestReleasedAndUnknownClaims(t *testing.T) {
	store := newStore(t)
	a, b := newClaimer(t, store, 1), newClaimer(t, store, 2)
	assert.NilError(t, a.Release(t.Context(), mustClaim(t, a, "r1")))
	held := mustClaim(t, b, "r2")
	assert.NilError(t, b.RecordUnknown(t.Context(), held))
	assert.Equal(t, claim(t, a, request("r3")).(Unknown).Request, identifier.Request("r2"))
}

// TestConcurrentClaimsHaveOneWinner checks that one of several daemons wins a key
// when writes or their replies are lost.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	store := newStore(t)
	store.SetHook(loseEverySecondPut())
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

// loseEverySecondPut fails every second put. In turn, the call is lost before it
// takes effect, or its reply after that.
func loseEverySecondPut() func(rememberer.Call) rememberer.Fault {
	var mu sync.Mutex
	n := 0
	return func(c rememberer.Call) rememberer.Fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Op != rememberer.OpPut {
			return rememberer.FaultNone
		}
		n++
		return []rememberer.Fault{rememberer.FaultLostResponse, "", rememberer.FaultLostCall, ""}[n%4]
	}
}

// TestFinalStateSurvivesLostReplies checks that a response is recorded although
// one write and the reply to another are lost.
func TestFinalStateSurvivesLostReplies(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	held := mustClaim(t, a, "r1")
	n := 0
	store.SetHook(func(c rememberer.Call) rememberer.Fault {
		n++
		return map[int]rememberer.Fault{1: rememberer.FaultLostCall, 3: rememberer.FaultLostResponse}[n]
	})
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 200}))
	assert.Equal(t, claim(t, a, request("r2")).(AlreadyAnswered).Answer.Status, 200)
}

// leaveUnsettled makes a claim that ends as Unsettled: fault is injected into its
// write, and the read that would confirm it fails.
func leaveUnsettled(t *testing.T, c *Claimer, store *rememberer.Memory, fault rememberer.Fault) {
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

// TestUnsettledClaimIsReleased checks that an unsettled claim does not block its
// key for good, and that its write has no effect if it arrives later.
func TestUnsettledClaimIsReleased(t *testing.T) {
	for _, fault := range []rememberer.Fault{rememberer.FaultLostResponse, rememberer.FaultLostCall} {
		store := newStore(t)
		a, b := newClaimer(t, store, 1), newClaimer(t, store, 2)
		leaveUnsettled(t, a, store, fault)
		if fault == rememberer.FaultLostResponse {
			_, ok := claim(t, b, request("r2")).(InProgress)
			assert.Assert(t, ok)
		}
		assert.Assert(t, a.releaseAbandoned(t.Context()))
		held := mustClaim(t, b, "r3")
		// The write of the abandoned claim arrives late and must fail.
		_, err := store.Put(t.Context(), held.key, []byte("{}"), client.MustNotExist)
		assert.Equal(t, client.KindOf(err), client.KindConflict)
	}
}

// TestAbandonedClaimIsReplacedByItsDaemon checks that a daemon can claim a key that
// it has abandoned itself, and that releasing the old claim does not affect the new one.
func TestAbandonedClaimIsReplacedByItsDaemon(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	leaveUnsettled(t, a, store, rememberer.FaultLostResponse)
	held := mustClaim(t, a, "r2")
	assert.Assert(t, a.releaseAbandoned(t.Context()))
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 200}))
}

func TestTeamsDoNotShareKeys(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	mustClaim(t, a, "r1")
	other := request("r2")
	other.Team = "other"
	_, ok := claim(t, a, other).(Won)
	assert.Assert(t, ok)
}

func TestClaimSurvivesLostReply(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	n := 0
	store.SetHook(func(rememberer.Call) rememberer.Fault {
		n++
		if n == 1 {
			return rememberer.FaultLostResponse
		}
		return rememberer.FaultNone
	})
	held := mustClaim(t, a, "r1")
	assert.NilError(t, a.Answer(t.Context(), held, Answer{Status: 200}))
}

func TestDelayedWriteOfReleasedClaimFails(t *testing.T) {
	store := newStore(t)
	a := newClaimer(t, store, 1)
	leaveUnsettled(t, a, store, rememberer.FaultLostCall)
	assert.Assert(t, a.releaseAbandoned(t.Context()))
	// The write of the abandoned claim arrives late, before any other write.
	_, err := store.Put(t.Context(), a.objectKey(request("r1")), []byte("{}"), client.MustNotExist)
	assert.Equal(t, client.KindOf(err), client.KindConflict)
}
