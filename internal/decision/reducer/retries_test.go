package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// warmUpTargets makes both targets of the service "labels" warm and waits until
// their ramp has ended.
func warmUpTargets(d *testDaemon) {
	for _, name := range []identifier.Target{"target-0", "target-1"} {
		d.reduce(IncarnationObserved{Target: name, Incarnation: 1})
	}
	d.advance(time.Minute)
}

func (d *testDaemon) sendPrompt() []Effect {
	d.requests++
	id := identifier.Request(fmt.Sprintf("r%d", d.requests))
	return d.reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Timeout: 20 * time.Second, Work: Prompt{Model: "m", Tokens: 10, MaxTokens: 5}})
}

// TestRetriedRequestDoesNotBlockTheQueue guards against a request at the head of the
// queue that holds up the others: the only target with room is the one that it
// failed at and may not use again yet, while the others could.
func TestRetriedRequestDoesNotBlockTheQueue(t *testing.T) {
	d := newTestDaemon(true, nil)
	warmUpTargets(d)
	var starts []Start
	for {
		start, ok := firstEffect[Start](d.sendPrompt())
		if !ok {
			break
		}
		starts = append(starts, start)
		d.advance(time.Millisecond)
	}
	// The last prompt is queued. The first one fails at its target and is queued too.
	failed := starts[0]
	effects := d.reduce(AttemptFailed{Attempt: failed.Attempt, Reason: FailureRefused, ProvenNotRun: true})
	for _, start := range starts[1:] {
		if start.Target == failed.Target {
			effects = append(effects, d.reduce(AttemptDone{Attempt: start.Attempt, Incarnation: 1})...)
		}
	}
	next, ok := firstEffect[Start](effects)
	assert.Assert(t, ok, "target %s is free and a request waits", failed.Target)
	assert.Equal(t, next.Target, failed.Target)
	assert.Assert(t, next.Attempt.Request != failed.Attempt.Request)
}

// TestOnlyRemainingTargetIsRetried guards against a request that stays queued
// because the only target that takes requests is one that it failed at.
func TestOnlyRemainingTargetIsRetried(t *testing.T) {
	d := newTestDaemon(true, nil)
	warmUpTargets(d)
	d.reduce(MembersChanged{Leaving: []identifier.Target{"target-1"}})
	start, ok := firstEffect[Start](d.sendPrompt())
	assert.Assert(t, ok)
	again, ok := firstEffect[Start](d.reduce(AttemptFailed{Attempt: start.Attempt, Reason: FailureRefused, ProvenNotRun: true}))
	assert.Assert(t, ok, "the only target that takes work is usable")
	assert.Equal(t, again.Target, start.Target)
}

// TestRequestIsRefusedWhenAttemptsRunOut guards against a request that is held until
// its deadline although no further attempt is allowed.
func TestRequestIsRefusedWhenAttemptsRunOut(t *testing.T) {
	d := newTestDaemon(true, nil)
	warmUpTargets(d)
	start, ok := firstEffect[Start](d.sendPrompt())
	assert.Assert(t, ok)
	var refuse Refuse
	for range 10 {
		effects := d.reduce(AttemptFailed{Attempt: start.Attempt, Reason: FailureRefused, ProvenNotRun: true})
		if refuse, ok = firstEffect[Refuse](effects); ok {
			break
		}
		start, ok = firstEffect[Start](effects)
		assert.Assert(t, ok)
	}
	assert.Equal(t, refuse.Run, RunStateNotRun)
	assert.Assert(t, refuse.RetryAfter > 0)
	assert.Assert(t, d.now.Before(start.Deadline), "no time has passed since the last attempt failed")
}

// TestRetriesStayWithinTheBudget lets all attempts fail, so that every request is
// retried as often as the retry budget permits.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	d := newTestDaemon(true, nil)
	warmUpTargets(d)
	const requests = 200
	budget := d.state.fleet.Profiles["lunch"].RetryBudget
	retries := 0
	for range requests {
		start, ok := firstEffect[Start](d.sendPrompt())
		for ok {
			effects := d.reduce(AttemptFailed{Attempt: start.Attempt, Reason: FailureRefused, ProvenNotRun: true})
			if start, ok = firstEffect[Start](effects); ok {
				retries++
			}
		}
		d.advance(time.Second)
	}
	assert.Assert(t, retries > 0)
	assert.Assert(t, float64(retries) <= maxRetryBudget+requests*budget, "%d retries", retries)
}

// TestFollowerStartsWhenLeaderStartsOrFails guards against a request that waits
// forever for the prefill of another one, which either ended or was cancelled.
func TestFollowerStartsWhenLeaderStartsOrFails(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := newTestDaemon(true, nil)
		warmUpTargets(d)
		text := strings.Repeat("x", 8*hasher.BlockBytes)
		send := func(id identifier.Request) (Start, bool) {
			return firstEffect[Start](d.reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Timeout: 20 * time.Second, Work: promptOf(text)}))
		}
		leader, ok := send("r1")
		assert.Assert(t, ok)
		_, ok = send("r2")
		assert.Assert(t, !ok, "one request computes the prefix for both")
		ev := Event(ResponseStarted{Attempt: leader.Attempt, Incarnation: 1})
		if !answered {
			ev = AttemptFailed{Attempt: leader.Attempt, Reason: FailureCallerDisconnected}
		}
		next, ok := firstEffect[Start](d.reduce(ev))
		assert.Assert(t, ok)
		assert.Equal(t, next.Attempt.Request, identifier.Request("r2"))
	}
}

// TestShortPromptsSpreadOverTargets guards against sending all short prompts to one
// target. Prompts without a full block have the same score on every target, except
// for the penalty of the running requests.
func TestShortPromptsSpreadOverTargets(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newWeightsState(now, false)
	s.Reduce(loadReport("target-0", "v2"), now)
	s.Reduce(loadReport("target-1", "v2"), now)
	now = now.Add(time.Hour)
	started := map[identifier.Target]int{}
	for _, id := range []identifier.Request{"a", "b", "c", "d"} {
		effect, ok := effectOf[Start](s.Reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Work: promptOf("short")}, now))
		assert.Assert(t, ok)
		started[effect.Target]++
		s.Reduce(ResponseStarted{Attempt: effect.Attempt, Incarnation: 1}, now)
	}
	assert.DeepEqual(t, started, map[identifier.Target]int{"target-0": 2, "target-1": 2})
}
