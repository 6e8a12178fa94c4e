package hasher

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	_ "cardamomscale.example/cardamomscale/internal/testing/seeder"
)

// word draws short names of few letters, so that fields run into each other.
func word(t *rapid.T, label string) string {
	return rapid.StringOfN(rapid.SampledFrom([]rune{'a', 'b', 0, '/'}), 0, 3, -1).Draw(t, label)
}

func scope(t *rapid.T, label string) Scope {
	return Scope{
		Team: identifier.Team(word(t, label+" team")), Model: identifier.Model(word(t, label+" model")),
		Adapter: identifier.Adapter(word(t, label+" adapter")), Version: identifier.WeightVersion(word(t, label+" version")),
	}
}

func TestKeysOfDifferentScopesNeverMeet(t *testing.T) {
	keyer := New(Config{Secret: []byte("secret")})
	rapid.Check(t, func(t *rapid.T) {
		one, other := scope(t, "one"), scope(t, "other")
		digests := make([]Digest, rapid.IntRange(1, 4).Draw(t, "blocks"))
		for i := range digests {
			digests[i][0] = byte(i)
		}
		if one == other {
			other.Team += "x"
		}
		seen := map[identifier.BlockKey]bool{}
		for _, key := range append(keyer.Keys(one, digests), keyer.Keys(other, digests)...) {
			if seen[key] {
				t.Fatalf("a key of %+v is one of %+v", one, other)
			}
			seen[key] = true
		}
	})
}

func TestKeysDependOnAllTextBefore(t *testing.T) {
	block := func(letter byte) string {
		text := make([]byte, BlockBytes)
		for i := range text {
			text[i] = letter
		}
		return string(text)
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "blocks")
		changed := rapid.IntRange(0, n-1).Draw(t, "changed")
		one, other := "", ""
		for i := range n {
			one += block('a')
			if i == changed {
				other += block('b')
			} else {
				other += block('a')
			}
		}
		a, b := Digests(one+"tail"), Digests(other)
		assert.Equal(t, len(a), n)
		for i := range n {
			assert.Equal(t, a[i] == b[i], i < changed, "block %d of %d, changed %d", i, n, changed)
		}
	})
}

func TestKeysDependOnTheSecret(t *testing.T) {
	digests := Digests(string(make([]byte, BlockBytes)))
	a := New(Config{Secret: []byte("one")}).Keys(Scope{Team: "t"}, digests)
	b := New(Config{Secret: []byte("two")}).Keys(Scope{Team: "t"}, digests)
	assert.Assert(t, a[0] != b[0])
}
