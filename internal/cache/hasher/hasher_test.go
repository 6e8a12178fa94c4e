package hasher

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	_ "cardamomscale.example/cardamomscale/internal/testing/seeder"
)

// drawShortName draws 1 to 3 characters of a small alphabet, so that fields
// concatenated without their lengths would often collide.
func drawShortName(t *rapid.T, label string) string {
	return rapid.StringOfN(rapid.SampledFrom([]rune{'a', 'b', 0, '/'}), 1, 3, -1).Draw(t, label)
}

// drawScope draws a scope with short names in all fields.
func drawScope(t *rapid.T, label string) Scope {
	return Scope{
		Team: identifier.Team(drawShortName(t, label+" team")), Model: identifier.Model(drawShortName(t, label+" model")),
		Adapter: identifier.Adapter(drawShortName(t, label+" adapter")), Version: identifier.WeightVersion(drawShortName(t, label+" version")),
	}
}

// drawSimilarScope returns s with one field changed, or with the first letter of
// one field moved to the end of the previous field.
func drawSimilarScope(t *rapid.T, s Scope) Scope {
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

// TestKeysOfDifferentScopesDiffer checks that similar scopes have no key in common.
// A shared key would let one team read the cache blocks of another.
func TestKeysOfDifferentScopesDiffer(t *testing.T) {
	keyer := New(Config{Secret: []byte("secret")})
	rapid.Check(t, func(t *rapid.T) {
		one := drawScope(t, "one")
		other := drawSimilarScope(t, one)
		digests := make([]Digest, rapid.IntRange(1, 4).Draw(t, "blocks"))
		for i := range digests {
			digests[i][0] = byte(i)
		}
		seen := map[identifier.BlockKey]bool{}
		for _, key := range append(keyer.Keys(one, digests), keyer.Keys(other, digests)...) {
			if seen[key] {
				t.Fatalf("scopes %+v and %+v have a key in common", one, other)
			}
			seen[key] = true
		}
	})
}

// TestDigestsDependOnPrecedingText changes one block of a prompt and checks that
// the digests of this block and all later ones change, and the earlier ones do not.
func TestDigestsDependOnPrecedingText(t *testing.T) {
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
