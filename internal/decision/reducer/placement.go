package reducer

import "github.com/zeebo/xxh3"

// weight returns the rendezvous weight of member for the key whose SeedOf is seed.
func weight(seed uint64, member string) uint64 {
	return xxh3.HashStringSeed(member, seed)
}

// first returns the member with the highest rendezvous weight for key.
func first(key string, members []string) string {
	best, bestWeight := "", uint64(0)
	seed := SeedOf(key)
	for _, member := range members {
		if w := weight(seed, member); best == "" || w > bestWeight {
			best, bestWeight = member, w
		}
	}
	return best
}

// Before reports whether member a goes before b in the rendezvous order of key.
func Before(key, a, b string) bool {
	seed := SeedOf(key)
	weightA, weightB := weight(seed, a), weight(seed, b)
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}

// SeedOf returns a seed that depends on name only.
func SeedOf(name string) uint64 { return xxh3.HashString(name) }
