package runner

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/bench/generator"
	"cardamomscale.example/cardamomscale/internal/bench/loader"
	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// answerGrace is how long a caller waits for an answer after its deadline.
const answerGrace = 2 * time.Second

// sendArrival sends arrival i, retries it after refusals as often as the scenario
// allows, and records the result.
func (r *Runner) sendArrival(ctx context.Context, i int, arrived time.Time) {
	a := r.arrivals[i]
	deadline := r.cfg.Scenario.Load.Deadline.Duration
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := r.cfg.Clock.AfterFunc(deadline+answerGrace, cancel)
	defer timer.Stop()
	var o loader.Outcome
	var started time.Time
	retries := 0
	for ; ; retries++ {
		started = r.cfg.Clock.Now()
		remaining := arrived.Add(deadline).Sub(started)
		o = r.attempt(ctx, a, remaining)
		if !r.waitForRetry(ctx, o, retries, arrived.Add(deadline)) {
			break
		}
	}
	result := r.classify(a, o)
	result.Retries = retries
	result.FirstToken = started.Sub(arrived) + o.FirstToken
	result.Latency = started.Sub(arrived) + o.Duration
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Requests[i] = result
	r.done++
	r.cfg.Progress(r.done)
}

// waitForRetry waits for a refusal's Retry-After and reports whether the request
// is to be sent again.
func (r *Runner) waitForRetry(ctx context.Context, o loader.Outcome, retries int, deadline time.Time) bool {
	if retries >= r.cfg.Scenario.Load.Retries || o.Run != messenger.RunStateNotRun || o.RetryAfter <= 0 {
		return false
	}
	retryAt := r.cfg.Clock.Now().Add(o.RetryAfter)
	return retryAt.Before(deadline) && r.waitUntil(ctx, retryAt)
}

// attempt sends an arrival's request once.
func (r *Runner) attempt(ctx context.Context, a generator.Arrival, remaining time.Duration) loader.Outcome {
	opts := loader.RequestOptions{Key: planner.TeamKey(a.Team), Class: a.Class, Deadline: remaining}
	if !a.Plain() {
		return r.loader.Complete(ctx, r.prompt(opts, r.prefixes[a.Family]+a.Question, a.MaxTokens, a.Stream))
	}
	if a.IdempotencyKey == "" {
		return r.loader.Call(ctx, lookup(opts))
	}
	return r.loader.Call(ctx, loader.Call{
		RequestOptions: opts, Service: planner.PlainService, Method: http.MethodPost,
		Path: planner.NonRepeatablePath, Body: []byte(`{"amount":12}`), IdempotencyKey: a.IdempotencyKey,
	})
}

func (r *Runner) prompt(opts loader.RequestOptions, text string, tokens int, stream bool) loader.Prompt {
	return loader.Prompt{
		RequestOptions: opts, Model: planner.Model, Text: text, MaxTokens: tokens, Stream: stream,
		Versions: []identifier.WeightVersion{planner.Version},
	}
}

func lookup(opts loader.RequestOptions) loader.Call {
	return loader.Call{RequestOptions: opts, Service: planner.PlainService, Method: http.MethodGet, Path: "/lookups"}
}

// classify turns the outcome of an arrival into the caller's record of it.
func (r *Runner) classify(a generator.Arrival, o loader.Outcome) evaluator.Request {
	families := r.cfg.Scenario.Load.Families
	result := evaluator.Request{
		ID: o.RequestID, At: a.At, Team: a.Team, Class: a.Class, Streamed: a.Stream && !a.Plain(), Plain: a.Plain(),
		Family: a.Family, SharedBlocks: families.SharedBlocks, QuestionTokens: families.QuestionTokens, InterTokenGaps: o.InterTokenGaps,
	}
	switch {
	case o.Complete && o.Wrong:
		result.Ending = evaluator.EndingWrong
	case o.Complete && o.Status/100 == 2:
		result.Ending = evaluator.EndingCompleted
	case o.Run == messenger.RunStateNotRun:
		result.Ending = evaluator.EndingRefused
	default:
		result.Ending, result.Failure = evaluator.EndingFailed, failureKind(o)
	}
	if result.Ending != evaluator.EndingCompleted {
		r.cfg.Logger.Debug("request not completed", "request", o.RequestID, "at", a.At, "ending", result.Ending,
			"kind", o.Kind, "status", o.Status, "error", o.Err, "plain", a.Plain())
	}
	return result
}

// failureKind returns the kind under which a failed request is counted.
func failureKind(o loader.Outcome) string {
	switch {
	case o.Kind != "":
		return o.Kind
	case errors.Is(o.Err, context.Canceled):
		return "no-answer"
	case o.Status == 0:
		return "connection"
	case o.Err != nil:
		return "broken-answer"
	default:
		return fmt.Sprintf("status-%d", o.Status)
	}
}

const (
	// seedTokens is the length of the answers to the prompts of seedFamilies.
	seedTokens = 2
	// seedConcurrency bounds the families that are sent concurrently, per engine.
	seedConcurrency = 2
	// setupDeadline is the deadline of the prompts of seedFamilies.
	setupDeadline = 20 * time.Second
)

// seedFamilies sends one prompt of each of the first families, so that their
// shared prefixes are cached before the load starts.
func (r *Runner) seedFamilies(ctx context.Context) {
	group := errgroup.Group{}
	group.SetLimit(seedConcurrency * r.cfg.Scenario.Engines)
	for family := range r.cfg.Scenario.Load.SeedFamilies {
		opts := loader.RequestOptions{Key: planner.TeamKey(r.generator.Team(family)), Class: identifier.ClassBatch, Deadline: setupDeadline}
		group.Go(func() error {
			r.loader.Complete(ctx, r.prompt(opts, r.prefixes[family], seedTokens, false))
			return nil
		})
	}
	_ = group.Wait()
}
