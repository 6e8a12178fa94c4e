package generator_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/bench/generator"
	"cardamomscale.example/cardamomscale/internal/bench/planner"
	"cardamomscale.example/cardamomscale/internal/cache/hasher"
)

// decodeLoad returns a load whose rate doubles after 10 s, with a surge of team 2.
func decodeLoad(t *testing.T) planner.Load {
	t.Helper()
	s, err := planner.Decode("scenario.json", strings.NewReader(`{"name": "n", "load": {
		"arrivals": [{"at": "0s", "requests-per-second": 50}, {"at": "10s", "requests-per-second": 100}],
		"surges": [{"team": 2, "at": "5s", "until": "7s", "requests-per-second": 30}]}}`))
	assert.NilError(t, err)
	return s.Load
}

func drawArrivals(t *testing.T, load planner.Load, seed uint64) (*generator.Generator, []generator.Arrival) {
	t.Helper()
	g, err := generator.New(generator.Config{Load: load, Seed: seed})
	assert.NilError(t, err)
	return g, g.Arrivals()
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	l := decodeLoad(t)
	one, first := drawArrivals(t, l, 7)
	two, second := drawArrivals(t, l, 7)
	assert.DeepEqual(t, first, second)
	assert.Equal(t, one.SharedPrefix(3), two.SharedPrefix(3))
	_, other := drawArrivals(t, l, 8)
	assert.Assert(t, first[0].At != other[0].At)
}

func TestArrivalsFollowTheRates(t *testing.T) {
	l := decodeLoad(t)
	_, list := drawArrivals(t, l, 1)
	var early, late, surge float64
	for i, a := range list {
		assert.Assert(t, i == 0 || list[i-1].At <= a.At, "arrival %d is out of order", i)
		assert.Assert(t, a.At >= -l.WarmUp.Duration && a.At < l.Duration.Duration)
		switch {
		case a.At >= 10*time.Second:
			late++
		case a.At >= 5*time.Second && a.At < 7*time.Second && a.Team == 1:
			surge++
		case a.At >= 0:
			early++
		}
	}
	// Each rate is valid for ten seconds. The bounds are four standard deviations of a
	// Poisson count.
	assert.Assert(t, early > 400 && early < 600, "%v arrivals at 50 a second", early)
	assert.Assert(t, late > 870 && late < 1130, "%v arrivals at 100 a second", late)
	assert.Assert(t, surge > 30, "%v arrivals of the surge's team", surge)
}

func TestFamiliesReturnAfterMinimumGap(t *testing.T) {
	l := decodeLoad(t)
	l.Surges = nil
	l.Families.Regularity = 1
	l.Families.Skew = 0
	g, list := drawArrivals(t, l, 1)
	last := map[int]int{}
	prompts := 0
	for _, a := range list {
		if a.Plain() {
			continue
		}
		prompts++
		assert.Equal(t, a.Team, g.Team(a.Family))
		assert.Equal(t, len(a.Question), l.Families.QuestionTokens*hasher.BytesPerToken)
		if before, ok := last[a.Family]; ok {
			assert.Assert(t, prompts-before >= l.Families.Count/2, "family %d returned after %d prompts", a.Family, prompts-before)
		}
		last[a.Family] = prompts
	}
	assert.Equal(t, len(last), l.Families.Count)
}

func TestPopularFamiliesReturnMoreOften(t *testing.T) {
	l := decodeLoad(t)
	_, list := drawArrivals(t, l, 1)
	visits := map[int]int{}
	most := 0
	for _, a := range list {
		if !a.Plain() {
			visits[a.Family]++
			most = max(most, visits[a.Family])
		}
	}
	assert.Assert(t, most > 3*len(list)/l.Families.Count, "the most popular family had %d visits", most)
}

func TestKeysOfNonRepeatableCallsDiffer(t *testing.T) {
	_, list := drawArrivals(t, decodeLoad(t), 1)
	seen := map[string]bool{}
	for _, a := range list {
		if a.IdempotencyKey == "" {
			continue
		}
		assert.Assert(t, a.Plain())
		assert.Assert(t, !seen[a.IdempotencyKey], "key %q is used twice", a.IdempotencyKey)
		seen[a.IdempotencyKey] = true
	}
	assert.Assert(t, len(seen) > 0)
}
