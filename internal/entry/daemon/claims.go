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

// claims keeps the claims that this daemon holds, by their request.
type claims struct {
	claimer *claimer.Claimer
	clock   clockwork.Clock
	logger  hclog.Logger

	mu   sync.Mutex
	held map[identifier.Request]claimer.Held
}

var _ server.Claims = (*claims)(nil)

func newClaimer(cfg Config, objects *contact, keys *secrets) (*claimer.Claimer, error) {
	return claimer.New(claimer.Config{
		Store: objects, Clock: cfg.Clock, Jitter: client.NewJitter(newRandom(cfg, randomClaims)),
		Logger: cfg.Logger.Named("claimer"), Secret: keys.claim,
	})
}

func newClaims(cfg Config, c *claimer.Claimer, around *surroundings) *claims {
	held := &claims{claimer: c, clock: cfg.Clock, logger: cfg.Logger.Named("claims"), held: map[identifier.Request]claimer.Held{}}
	around.claims = held
	return held
}

// Claim claims a request until its deadline. With ClaimAnswered it returns the
// recorded answer.
func (c *claims) Claim(ctx context.Context, e reducer.Claim) (reducer.ClaimOutcome, caller.Answer) {
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, e.Deadline)
	defer cancel()
	outcome, err := c.claimer.Claim(ctx, claimer.ClaimRequest{
		Team: e.Team, Key: e.IdempotencyKey, Request: e.Request, Fingerprint: e.Fingerprint,
	})
	if err != nil {
		c.logger.Error("a claim is damaged", "request-id", string(e.Request), "error", err)
		return reducer.ClaimUnsettled, caller.Answer{}
	}
	switch outcome := outcome.(type) {
	case claimer.Won:
		c.mu.Lock()
		c.held[e.Request] = outcome.Held
		c.mu.Unlock()
		return reducer.ClaimWon, caller.Answer{}
	case claimer.AlreadyAnswered:
		if outcome.Answer.Omitted {
			return reducer.ClaimAnswerLost, caller.Answer{}
		}
		answer := outcome.Answer
		return reducer.ClaimAnswered, caller.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	case claimer.Mismatch:
		return reducer.ClaimMismatch, caller.Answer{}
	case claimer.InProgress, claimer.Unknown:
		return reducer.ClaimHeld, caller.Answer{}
	default:
		return reducer.ClaimUnsettled, caller.Answer{}
	}
}

// Record stores the answer of a claimed request.
func (c *claims) Record(ctx context.Context, e reducer.Claim, a caller.Answer) {
	held, ok := c.take(e.Request)
	if !ok {
		return
	}
	answer := claimer.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
	if err := c.claimer.Answer(ctx, held, answer); err != nil {
		c.logger.Warn("an answer was not recorded; a repeat will be told that the outcome is unknown", "request-id", string(e.Request), "error", err)
	}
}

// take removes and returns the claim of a request.
func (c *claims) take(id identifier.Request) (claimer.Held, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.held[id]
	delete(c.held, id)
	return held, ok
}

// releaseLater gives back the claim of a request that has not run.
func (c *claims) releaseLater(e reducer.ReleaseClaim) {
	c.finishLater(e.Request, c.claimer.Release)
}

// forgetLater notes that the outcome of a claimed request is not known.
func (c *claims) forgetLater(e reducer.ForgetClaim) {
	c.finishLater(e.Request, c.claimer.Forget)
}

func (c *claims) finishLater(id identifier.Request, finish func(context.Context, claimer.Held) error) {
	held, ok := c.take(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, finishTimeout)
		defer cancel()
		if err := finish(ctx, held); err != nil {
			c.logger.Warn("a claim was not finished", "request-id", string(id), "error", err)
		}
	}()
}
