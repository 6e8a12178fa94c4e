package placer

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func memberNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("member-%d", i)
	}
	return list
}

func TestLeavingMemberMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := memberNames(rapid.IntRange(2, 60).Draw(t, "members"))
		leaver := rapid.SampledFrom(members).Draw(t, "leaver")
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == leaver })
		before, after := New(members), New(rest)
		for i := range 200 {
			key := KeyOf(fmt.Sprintf("key-%d", i))
			oldOwner, _ := before.Owner(key)
			newOwner, _ := after.Owner(key)
			if oldOwner != leaver && newOwner != oldOwner {
				t.Fatalf("key %d moved from %q to %q", i, oldOwner, newOwner)
			}
			if oldOwner == leaver && newOwner != before.TopK(nil, key, 2)[1] {
				t.Fatalf("key %d moved to %q, not to the member ranked second", i, newOwner)
			}
		}
	})
}

func TestRankOrdersAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := memberNames(rapid.IntRange(1, 40).Draw(t, "members"))
		shuffled := rapid.Permutation(members).Draw(t, "order")
		k := rapid.IntRange(0, 45).Draw(t, "k")
		key := Key(rapid.Uint64().Draw(t, "key"))
		rank := New(members).Rank(nil, key)
		owner, ok := New(members).Owner(key)
		if !ok || owner != rank[0] {
			t.Fatalf("owner %q is not the first of %q", owner, rank)
		}
		top := New(append(shuffled, shuffled[0])).TopK(nil, key, k)
		if !slices.Equal(top, rank[:min(k, len(rank))]) {
			t.Fatalf("top %d are %q, rank is %q", k, top, rank)
		}
		slices.Sort(rank)
		slices.Sort(members)
		if !slices.Equal(rank, members) {
			t.Fatalf("rank has %q, want %q", rank, members)
		}
	})
}

func TestKeysSpreadEvenly(t *testing.T) {
	const members, keys = 20, 20000
	p := New(memberNames(members))
	counts := make(map[string]int)
	for i := range keys {
		owner, _ := p.Owner(KeyOf(fmt.Sprintf("key-%d", i)))
		counts[owner]++
	}
	const mean = keys / members
	for member, n := range counts {
		// Five standard deviations of a binomial distribution.
		assert.Assert(t, math.Abs(float64(n-mean)) < 5*math.Sqrt(mean), "%s owns %d keys", member, n)
	}
	assert.Equal(t, len(counts), members)
}

func TestNoMembers(t *testing.T) {
	p := New[string](nil)
	_, ok := p.Owner(1)
	assert.Assert(t, !ok)
	assert.Equal(t, len(p.Rank(nil, 1)), 0)
	assert.Equal(t, PickBounded[string](1, nil, 1.25), -1)
	assert.Equal(t, PickBounded(1, []Candidate[string]{{Member: "a"}}, 1.25), -1)
}

func TestPickBoundedLimitsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := rapid.Float64Range(1.05, 2).Draw(t, "factor")
		var candidates []Candidate[string]
		var capacity float64
		for _, name := range memberNames(rapid.IntRange(1, 12).Draw(t, "candidates")) {
			c := Candidate[string]{Member: name, Capacity: float64(rapid.IntRange(1, 32).Draw(t, "capacity"))}
			capacity += c.Capacity
			candidates = append(candidates, c)
		}
		requests := rapid.IntRange(1, 200).Draw(t, "requests")
		for range requests {
			// Use the same key for all requests, which is the worst case for affinity.
			candidates[PickBounded(7, candidates, factor)].Load++
		}
		for _, c := range candidates {
			bound := max(1, factor*float64(requests)/capacity*c.Capacity) + 1
			if c.Load > bound {
				t.Fatalf("%q has load %v above %v", c.Member, c.Load, bound)
			}
		}
	})
}

func TestPickBoundedPrefersOwner(t *testing.T) {
	candidates := make([]Candidate[string], 0, 9)
	for _, name := range memberNames(9) {
		candidates = append(candidates, Candidate[string]{Member: name, Load: 2, Capacity: 10})
	}
	p := New(memberNames(9))
	for i := range 100 {
		key := KeyOf(fmt.Sprintf("key-%d", i))
		owner, _ := p.Owner(key)
		assert.Equal(t, candidates[PickBounded(key, candidates, 2)].Member, owner)
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	p := New(memberNames(545))
	dst := make([]string, 0, maxInlineK)
	n := testing.AllocsPerRun(100, func() {
		p.Owner(11)
		dst = p.TopK(dst[:0], 11, 8)
	})
	assert.Equal(t, n, 0.0)
}

func BenchmarkOwner(b *testing.B) {
	p := New(memberNames(545))
	b.ReportAllocs()
	for i := range b.N {
		p.Owner(Key(i))
	}
}

func BenchmarkTopK(b *testing.B) {
	p := New(memberNames(545))
	dst := make([]string, 0, maxInlineK)
	b.ReportAllocs()
	for i := range b.N {
		dst = p.TopK(dst[:0], Key(i), 8)
	}
}

func BenchmarkPickBounded(b *testing.B) {
	var candidates []Candidate[string]
	for i, name := range memberNames(545) {
		candidates = append(candidates, Candidate[string]{Member: name, Load: float64(i % 7), Capacity: 16})
	}
	b.ReportAllocs()
	for i := range b.N {
		PickBounded(Key(i), candidates, 1.25)
	}
}
