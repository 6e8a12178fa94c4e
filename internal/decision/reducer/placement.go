package reducer

import "github.com/zeebo/xxh3"

// weightOf returns the rendezvous weight of member for key.
func weightOf(key, member string) uint64 {
	return xxh3.HashStringSeed(member, xxh3.HashString(key))
}

// first returns the member with the highest rendezvous weight for key.
func first(key string, members []string) string {
	best, bestWeight := "", uint64(0)
	for _, member := range members {
		if w := weightOf(key, member); best == "" || w > bestWeight {
			best, bestWeight = member, w
		}
	}
	return best
}

// Before reports whether member a goes before b in the rendezvous order of key.
func Before(key, a, b string) bool {
	weightA, weightB := weightOf(key, a), weightOf(key, b)
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}

// SeedOf returns a seed that depends on name only.
func SeedOf(name string) uint64 { return xxh3.HashString(name) }
