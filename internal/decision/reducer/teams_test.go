package reducer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

func (d *testDaemon) sendTeamPrompt(team string, tokens int) []Effect {
	d.requests++
	id := identifier.Request(fmt.Sprintf("%s-r%d", team, d.requests))
	work := Prompt{Model: "m", Tokens: tokens, MaxTokens: 5}
	return d.reduce(RequestArrived{Request: id, KeyHash: team, Service: "labels", Timeout: 20 * time.Second, Work: work})
}

func limitTeamTokens(tokens float64) func(*specifier.Fleet) {
	return func(f *specifier.Fleet) {
		team := f.Teams["t1"]
		team.TokensPerSecond = tokens
		f.Teams["t1"] = team
	}
}

// TestGuaranteeTeamLimitsAreIndependent exceeds one team's limit and checks that the
// other team's requests are always admitted, and that the first team gets at most
// its rate, its burst and the debt of one request.
func TestGuaranteeTeamLimitsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, seconds = 1000.0, 20
		d := newTestDaemon(true, limitTeamTokens(rate))
		warmUpTargets(d)
		admitted, largest := 0.0, 0.0
		for start := d.now; d.now.Before(start.Add(seconds * time.Second)); {
			tokens := rapid.IntRange(1, 3000).Draw(t, "tokens")
			effects := d.sendTeamPrompt("k1", tokens)
			if refusal, refused := firstEffect[Refuse](effects); refused {
				assert.Equal(t, refusal.Kind, RefusalTeamLimit)
				assert.Assert(t, refusal.RetryAfter > 0)
			} else {
				cost := float64(tokens + 5)
				admitted += cost
				largest = max(largest, cost)
			}
			finishAll(d, effects)
			other := d.sendTeamPrompt("k2", tokens)
			_, refused := firstEffect[Refuse](other)
			assert.Assert(t, !refused, "the other team has no limit")
			finishAll(d, other)
			d.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		}
		share := rate * d.state.teamLimitShare()
		assert.Assert(t, admitted <= share*(seconds+1+burstDuration.Seconds())+largest, "%f tokens", admitted)
	})
}

func finishAll(d *testDaemon, effects []Effect) {
	for start, ok := firstEffect[Start](effects); ok; start, ok = firstEffect[Start](effects) {
		effects = d.reduce(AttemptDone{Attempt: start.Attempt, Incarnation: 1})
	}
}

// TestGuaranteeTeamQueuesAreFair lets one team fill the queue and checks that the
// other team's next request starts when at most two running requests have ended.
func TestGuaranteeTeamQueuesAreFair(t *testing.T) {
	d := newTestDaemon(true, nil)
	warmUpTargets(d)
	var running []Start
	for range 100 {
		if start, ok := firstEffect[Start](d.sendTeamPrompt("k1", 100)); ok {
			running = append(running, start)
		}
		d.advance(time.Millisecond)
	}
	_, started := firstEffect[Start](d.sendTeamPrompt("k2", 100))
	assert.Assert(t, !started && len(running) < 100, "all targets are full")
	for range 2 {
		start, ok := firstEffect[Start](d.reduce(AttemptDone{Attempt: running[0].Attempt, Incarnation: 1}))
		assert.Assert(t, ok)
		if start.Team == "t2" {
			return
		}
		running = append(running[1:], start)
	}
	t.Fatal("a team with one request waits behind another team's hundred")
}
