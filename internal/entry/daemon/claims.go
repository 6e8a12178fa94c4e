package daemon

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/server"
	"cardamomscale.example/cardamomscale/internal/platform/claimer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/target/caller"
)

// claimRegistry keeps the claims that this daemon holds, by request ID.
type claimRegistry struct {
	claimer *claimer.Claimer
	clock   clockwork.Clock
	logger  hclog.Logger

	mu   sync.Mutex
	held map[identifier.Request]claimer.Held
}

var _ server.Claims = (*claimRegistry)(nil)

func newClaimer(cfg Config, store *monitoredStore, keys *secrets) (*claimer.Claimer, error) {
	return claimer.New(claimer.Config{
		Store: store, Clock: cfg.Clock, Jitter: client.NewJitter(newRand(cfg, randClaimer)),
		Logger: cfg.Logger.Named("claimer"), Secret: keys.claim,
	})
}

func newClaimRegistry(cfg Config, c *claimer.Claimer, effects *effectHandler) *claimRegistry {
	registry := &claimRegistry{claimer: c, clock: cfg.Clock, logger: cfg.Logger.Named("claims"), held: map[identifier.Request]claimer.Held{}}
	effects.claims = registry
	return registry
}

// Claim tries to claim a request until its deadline. If the request was answered
// before, it returns ClaimAnswered and the recorded answer.
func (c *claimRegistry) Claim(ctx context.Context, e reducer.Claim) (reducer.ClaimOutcome, caller.Response) {
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, e.Deadline)
	defer cancel()
	outcome, err := c.claimer.Claim(ctx, claimer.ClaimRequest{
		Team: e.Team, Key: e.IdempotencyKey, Request: e.Request, Fingerprint: e.Fingerprint,
	})
	if err != nil {
		c.logger.Error("invalid claim record", "request-id", string(e.Request), "error", err)
		return reducer.ClaimUnsettled, caller.Response{}
	}
	switch outcome := outcome.(type) {
	case claimer.Won:
		c.mu.Lock()
		c.held[e.Request] = outcome.Held
		c.mu.Unlock()
		return reducer.ClaimWon, caller.Response{}
	case claimer.AlreadyAnswered:
		if outcome.Answer.Omitted {
			return reducer.ClaimAnswerLost, caller.Response{}
		}
		answer := outcome.Answer
		return reducer.ClaimAnswered, caller.Response{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	case claimer.Mismatch:
		return reducer.ClaimMismatch, caller.Response{}
	case claimer.InProgress, claimer.Unknown:
		return reducer.ClaimHeld, caller.Response{}
	default:
		return reducer.ClaimUnsettled, caller.Response{}
	}
}

// Record stores the answer of a claimed request.
func (c *claimRegistry) Record(ctx context.Context, e reducer.Claim, a caller.Response) {
	held, ok := c.take(e.Request)
	if !ok {
		return
	}
	answer := claimer.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
	if err := c.claimer.Answer(ctx, held, answer); err != nil {
		c.logger.Warn("answer not recorded; a retry will get an unknown outcome", "request-id", string(e.Request), "error", err)
	}
}

// take removes and returns the claim of a request.
func (c *claimRegistry) take(id identifier.Request) (claimer.Held, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.held[id]
	delete(c.held, id)
	return held, ok
}

// releaseAsync releases the claim of a request that has not run, in the background.
func (c *claimRegistry) releaseAsync(e reducer.ReleaseClaim) {
	c.finishAsync(e.Request, c.claimer.Release)
}

// recordUnknownAsync records in the background that the outcome of a claimed request
// is unknown.
func (c *claimRegistry) recordUnknownAsync(e reducer.RecordClaimUnknown) {
	c.finishAsync(e.Request, c.claimer.RecordUnknown)
}

func (c *claimRegistry) finishAsync(id identifier.Request, finish func(context.Context, claimer.Held) error) {
	held, ok := c.take(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, claimFinishTimeout)
		defer cancel()
		if err := finish(ctx, held); err != nil {
			c.logger.Warn("claim not updated", "request-id", string(id), "error", err)
		}
	}()
}
