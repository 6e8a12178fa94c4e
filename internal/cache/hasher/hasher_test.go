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
	return rapid.StringOfN(rapid.SampledFrom([]rune{'a', 'b', 0, '/'}), 1, 3, -1).Draw(t, label)
}

func scope(t *rapid.T, label string) Scope {
	return Scope{
		Team: identifier.Team(word(t, label+" team")), Model: identifier.Model(word(t, label+" model")),
		Adapter: identifier.Adapter(word(t, label+" adapter")), Version: identifier.WeightVersion(word(t, label+" version")),
	}
}

// neighbour changes one field of a scope, or moves its first letter to the field before.
func neighbour(t *rapid.T, s Scope) Scope {
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0:
		s.Team += "a"
	case 1:
		s.Model += "a"
	case 2:
		s.Adapter += "a"
	case 3:
		s.Version += "a"
	case 4:
		s.Team, s.Model = s.Team+identifier.Team(s.Model[:1]), s.Model[1:]
	case 5:
		s.Model, s.Adapter = s.Model+identifier.Model(s.Adapter[:1]), s.Adapter[1:]
	default:
		s.Adapter, s.Version = s.Adapter+identifier.Adapter(s.Version[:1]), s.Version[1:]
	}
	return s
}

func TestKeysOfDifferentScopesNeverMeet(t *testing.T) {
	keyer := New(Config{Secret: []byte("secret")})
	rapid.Check(t, func(t *rapid.T) {
		one := scope(t, "one")
		other := neighbour(t, one)
		digests := make([]Digest, rapid.IntRange(1, 4).Draw(t, "blocks"))
		for i := range digests {
			digests[i][0] = byte(i)
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
