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
func warmUpTargets(d *single) {
	for _, name := range []identifier.Target{"target-0", "target-1"} {
		d.feed(IncarnationSeen{Target: name, Incarnation: 1})
	}
	d.pass(time.Minute)
}

func (d *single) sendPrompt() []Effect {
	d.n++
	id := identifier.Request(fmt.Sprintf("r%d", d.n))
	return d.feed(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Timeout: 20 * time.Second, Work: Prompt{Model: "m", Tokens: 10, MaxTokens: 5}})
}

// TestRetriedRequestDoesNotBlockTheQueue guards against a request at the head of the
// queue that holds up the others: the only target with room is the one that it
// failed at and may not use again yet, while the others could.
func TestRetriedRequestDoesNotBlockTheQueue(t *testing.T) {
	d := newSingle(true, nil)
	warmUpTargets(d)
	var starts []Start
	for {
		start, ok := one[Start](d.sendPrompt())
		if !ok {
			break
		}
		starts = append(starts, start)
		d.pass(time.Millisecond)
	}
	// The last prompt is queued. The first one fails at its target and is queued too.
	failed := starts[0]
	effects := d.feed(AttemptFailed{Attempt: failed.Attempt, Reason: FailureRefused, Proven: true})
	for _, start := range starts[1:] {
		if start.Target == failed.Target {
			effects = append(effects, d.feed(AttemptDone{Attempt: start.Attempt, Incarnation: 1})...)
		}
	}
	next, ok := one[Start](effects)
	assert.Assert(t, ok, "target %s is free and a request waits", failed.Target)
	assert.Equal(t, next.Target, failed.Target)
	assert.Assert(t, next.Attempt.Request != failed.Attempt.Request)
}

// TestOnlyRemainingTargetIsRetried guards against a request that stays queued
// because the only target that takes requests is one that it failed at.
func TestOnlyRemainingTargetIsRetried(t *testing.T) {
	d := newSingle(true, nil)
	warmUpTargets(d)
	d.feed(MembersChanged{Leaving: []identifier.Target{"target-1"}})
	start, ok := one[Start](d.sendPrompt())
	assert.Assert(t, ok)
	again, ok := one[Start](d.feed(AttemptFailed{Attempt: start.Attempt, Reason: FailureRefused, Proven: true}))
	assert.Assert(t, ok, "the only target that takes work is usable")
	assert.Equal(t, again.Target, start.Target)
}

// TestRequestIsRefusedWhenAttemptsRunOut guards against a request that is held until
// its deadline although no further attempt is permitted.
func TestRequestIsRefusedWhenAttemptsRunOut(t *testing.T) {
	d := newSingle(true, nil)
	warmUpTargets(d)
	start, ok := one[Start](d.sendPrompt())
	assert.Assert(t, ok)
	var refuse Refuse
	for range 10 {
		effects := d.feed(AttemptFailed{Attempt: start.Attempt, Reason: FailureRefused, Proven: true})
		if refuse, ok = one[Refuse](effects); ok {
			break
		}
		start, ok = one[Start](effects)
		assert.Assert(t, ok)
	}
	assert.Equal(t, refuse.Run, RunNot)
	assert.Assert(t, refuse.RetryAfter > 0)
	assert.Assert(t, d.now.Before(start.Deadline), "no time has passed since the last attempt failed")
}

// TestRetriesStayWithinTheBudget lets all attempts fail, so that every request is
// retried as often as the retry budget permits.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	d := newSingle(true, nil)
	warmUpTargets(d)
	const requests = 200
	budget := d.s.fleet.Profiles["lunch"].RetryBudget
	retries := 0
	for range requests {
		start, ok := one[Start](d.sendPrompt())
		for ok {
			effects := d.feed(AttemptFailed{Attempt: start.Attempt, Reason: FailureRefused, Proven: true})
			if start, ok = one[Start](effects); ok {
				retries++
			}
		}
		d.pass(time.Second)
	}
	assert.Assert(t, retries > 0)
	assert.Assert(t, float64(retries) <= maxRetrySavings+requests*budget, "%d retries", retries)
}

// TestFollowerStartsWhenLeaderStartsOrFails guards against a request that waits
// forever for the prefill of another one, which either ended or was cancelled.
func TestFollowerStartsWhenLeaderStartsOrFails(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := newSingle(true, nil)
		warmUpTargets(d)
		text := strings.Repeat("x", 8*hasher.BlockBytes)
		ask := func(id identifier.Request) (Start, bool) {
			return one[Start](d.feed(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Timeout: 20 * time.Second, Work: promptOf(text)}))
		}
		leader, ok := ask("r1")
		assert.Assert(t, ok)
		_, ok = ask("r2")
		assert.Assert(t, !ok, "one request computes the prefix for both")
		ev := Event(AttemptStarted{Attempt: leader.Attempt, Incarnation: 1})
		if !answered {
			ev = AttemptFailed{Attempt: leader.Attempt, Reason: FailureCaller}
		}
		next, ok := one[Start](d.feed(ev))
		assert.Assert(t, ok)
		assert.Equal(t, next.Attempt.Request, identifier.Request("r2"))
	}
}

// TestShortPromptsSpreadOverTargets guards against sending all short prompts to one
// target. Prompts without a full block have the same score on every target, except
// for the penalty of the running requests.
func TestShortPromptsSpreadOverTargets(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := weightsState(now, false)
	s.Reduce(report("target-0", "v2"), now)
	s.Reduce(report("target-1", "v2"), now)
	now = now.Add(time.Hour)
	started := map[identifier.Target]int{}
	for _, id := range []identifier.Request{"a", "b", "c", "d"} {
		effect, ok := effectOf[Start](s.Reduce(RequestArrived{Request: id, KeyHash: "k1", Service: "labels", Work: promptOf("short")}, now))
		assert.Assert(t, ok)
		started[effect.Target]++
		s.Reduce(AttemptStarted{Attempt: effect.Attempt, Incarnation: 1}, now)
	}
	assert.DeepEqual(t, started, map[identifier.Target]int{"target-0": 2, "target-1": 2})
}
