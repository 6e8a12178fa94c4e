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

// lateAnswer is how long behind its deadline a caller waits for an answer.
const lateAnswer = 2 * time.Second

// send sends arrival i, comes back after refusals as the scenario allows, and
// records what the caller saw.
func (r *Runner) send(ctx context.Context, i int, arrived time.Time) {
	a := r.arrivals[i]
	deadline := r.cfg.Scenario.Load.Deadline.Duration
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := r.cfg.Clock.AfterFunc(deadline+lateAnswer, cancel)
	defer timer.Stop()
	var o loader.Outcome
	var began time.Time
	retries := 0
	for ; ; retries++ {
		began = r.cfg.Clock.Now()
		left := arrived.Add(deadline).Sub(began)
		o = r.attempt(ctx, a, left)
		if !r.comesBack(ctx, o, retries, arrived.Add(deadline)) {
			break
		}
	}
	seen := r.describe(a, o)
	seen.Retries = retries
	seen.FirstToken = began.Sub(arrived) + o.FirstToken
	seen.Took = began.Sub(arrived) + o.Took
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Requests[i] = seen
	r.done++
	r.cfg.Progress(r.done, len(r.arrivals))
}

// comesBack waits for a refusal's Retry-After and reports whether the caller asks again.
func (r *Runner) comesBack(ctx context.Context, o loader.Outcome, retries int, deadline time.Time) bool {
	if retries >= r.cfg.Scenario.Load.Retries || o.Run != messenger.RunNot || o.RetryAfter <= 0 {
		return false
	}
	again := r.cfg.Clock.Now().Add(o.RetryAfter)
	return again.Before(deadline) && r.waitUntil(ctx, again)
}

// attempt sends a request once.
func (r *Runner) attempt(ctx context.Context, a generator.Arrival, left time.Duration) loader.Outcome {
	terms := loader.Terms{Key: planner.TeamKey(a.Team), Class: a.Class, Deadline: left}
	if !a.Plain() {
		return r.loader.Complete(ctx, r.prompt(terms, r.texts[a.Family]+a.Question, a.MaxTokens, a.Stream))
	}
	if a.Key == "" {
		return r.loader.Call(ctx, lookup(terms))
	}
	return r.loader.Call(ctx, loader.Call{
		Terms: terms, Service: planner.PlainService, Method: http.MethodPost,
		Path: planner.NonRepeatablePath, Body: []byte(`{"amount":12}`), IdempotencyKey: a.Key,
	})
}

func (r *Runner) prompt(terms loader.Terms, text string, tokens int, stream bool) loader.Prompt {
	return loader.Prompt{
		Terms: terms, Model: planner.Model, Text: text, MaxTokens: tokens, Stream: stream,
		Versions: []identifier.WeightVersion{planner.Version},
	}
}

func lookup(terms loader.Terms) loader.Call {
	return loader.Call{Terms: terms, Service: planner.PlainService, Method: http.MethodGet, Path: "/lookups"}
}

// describe classifies what the caller saw.
func (r *Runner) describe(a generator.Arrival, o loader.Outcome) evaluator.Request {
	families := r.cfg.Scenario.Load.Families
	seen := evaluator.Request{
		ID: o.RequestID, At: a.At, Team: a.Team, Class: a.Class, Streamed: a.Stream && !a.Plain(), Plain: a.Plain(),
		Family: a.Family, SharedBlocks: families.SharedBlocks, QuestionTokens: families.QuestionTokens, Gaps: o.Gaps,
	}
	switch {
	case o.Whole && o.Wrong:
		seen.Ending = evaluator.EndingWrong
	case o.Whole && o.Status/100 == 2:
		seen.Ending = evaluator.EndingCompleted
	case o.Run == messenger.RunNot:
		seen.Ending = evaluator.EndingRefused
	default:
		seen.Ending, seen.Failure = evaluator.EndingFailed, failure(o)
	}
	if seen.Ending != evaluator.EndingCompleted {
		r.cfg.Logger.Debug("a request was not completed", "request", o.RequestID, "at", a.At, "ending", seen.Ending,
			"kind", o.Kind, "status", o.Status, "error", o.Err, "plain", a.Plain())
	}
	return seen
}

// failure names why a request failed.
func failure(o loader.Outcome) string {
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
	// seedTokens is the length of the answers to prompts that are sent once before the load.
	seedTokens = 2
	// seedConcurrency bounds the families that are sent at once for each engine.
	seedConcurrency = 2
	// setupDeadline is the deadline of requests before the measured time.
	setupDeadline = 20 * time.Second
)

// seed sends the first families once.
func (r *Runner) seed(ctx context.Context) {
	group := errgroup.Group{}
	group.SetLimit(seedConcurrency * r.cfg.Scenario.Engines)
	for family := range r.cfg.Scenario.Load.SeedFamilies {
		terms := loader.Terms{Key: planner.TeamKey(r.generator.Team(family)), Class: identifier.ClassBatch, Deadline: setupDeadline}
		group.Go(func() error {
			r.loader.Complete(ctx, r.prompt(terms, r.texts[family], seedTokens, false))
			return nil
		})
	}
	_ = group.Wait()
}
