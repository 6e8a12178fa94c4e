// Package placer maps keys to members by rendezvous hashing, so that all hosts
// with the same list of members agree without coordination, and few keys move
// when a member joins or leaves. It does no I/O.
package placer

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Key is the hash of an item to be placed.
type Key uint64

// KeyOf hashes a name.
func KeyOf[S ~string](name S) Key { return Key(xxh3.HashString(string(name))) }

// KeyOfBytes hashes bytes, such as a block key.
func KeyOfBytes(b []byte) Key { return Key(xxh3.Hash(b)) }

// Mix constants of the SplitMix64 generator.
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

// Weight returns the rendezvous weight of a member for key, given the hash of the
// member's name. The member with the highest weight owns the key.
func Weight(key, member Key) uint64 {
	z := uint64(key) + uint64(member)*mixIncrement
	z = (z ^ z>>30) * mixFirst
	z = (z ^ z>>27) * mixSecond
	return z ^ z>>31
}

// First returns the member with the highest weight for key, or "" without members.
func First[M ~string](key Key, members []M) M {
	var best M
	var bestWeight uint64
	for i, name := range members {
		if w := Weight(key, KeyOf(name)); i == 0 || w > bestWeight {
			best, bestWeight = name, w
		}
	}
	return best
}

// Before reports whether member a ranks before b for key. Equal weights are
// ordered by name.
func Before[M ~string](key Key, a, b M) bool {
	weightA, weightB := Weight(key, KeyOf(a)), Weight(key, KeyOf(b))
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}

type member[M ~string] struct {
	name M
	hash Key
}

// Placer ranks a fixed set of members. It is immutable and safe for concurrent use.
type Placer[M ~string] struct{ members []member[M] }

// New returns a Placer of members; their order and repetitions don't matter.
func New[M ~string](members []M) *Placer[M] {
	p := &Placer[M]{members: make([]member[M], 0, len(members))}
	for _, name := range members {
		p.members = append(p.members, member[M]{name: name, hash: KeyOf(name)})
	}
	slices.SortFunc(p.members, func(a, b member[M]) int { return cmp.Compare(a.name, b.name) })
	p.members = slices.Compact(p.members)
	return p
}

// Len returns the number of members.
func (p *Placer[M]) Len() int { return len(p.members) }

// Owner returns the member with the highest weight for key, and false without
// members.
func (p *Placer[M]) Owner(key Key) (M, bool) {
	var best member[M]
	var bestWeight uint64
	for i, m := range p.members {
		if w := Weight(key, m.hash); i == 0 || w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best.name, len(p.members) > 0
}

// Rank appends all members to dst in descending order of their weight for key.
func (p *Placer[M]) Rank(dst []M, key Key) []M { return p.TopK(dst, key, len(p.members)) }

// TopK appends the k members with the highest weights for key to dst in
// descending order.
func (p *Placer[M]) TopK(dst []M, key Key, k int) []M {
	k = min(k, len(p.members))
	if k <= 0 {
		return dst
	}
	if k > maxInlineK {
		return p.topKBySorting(dst, key, k)
	}
	var best [maxInlineK]ranked
	n := 0
	for i, m := range p.members {
		n = insertRanked(best[:k], n, ranked{weight: Weight(key, m.hash), index: i})
	}
	for _, r := range best[:n] {
		dst = append(dst, p.members[r.index].name)
	}
	return dst
}

// maxInlineK is the largest k for which TopK does not allocate.
const maxInlineK = 16

type ranked struct {
	weight uint64
	index  int
}

// before orders by descending weight. Ties go by index, which is the order of names.
func (r ranked) before(other ranked) bool {
	if r.weight != other.weight {
		return r.weight > other.weight
	}
	return r.index < other.index
}

// insertRanked inserts r into the ordered best[:n], drops the last entry if best
// is full, and returns the new n.
func insertRanked(best []ranked, n int, r ranked) int {
	i := n
	for i > 0 && r.before(best[i-1]) {
		i--
	}
	if i == len(best) {
		return n
	}
	n = min(n+1, len(best))
	copy(best[i+1:n], best[i:])
	best[i] = r
	return n
}

func (p *Placer[M]) topKBySorting(dst []M, key Key, k int) []M {
	all := make([]ranked, len(p.members))
	for i, m := range p.members {
		all[i] = ranked{weight: Weight(key, m.hash), index: i}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	for _, r := range all[:k] {
		dst = append(dst, p.members[r.index].name)
	}
	return dst
}

// Candidate is a member with its current load.
type Candidate[M ~string] struct {
	Member M
	// Load and Capacity are in the same unit, such as requests.
	Load     float64
	Capacity float64
}

// PickBounded returns the index of the candidate with the highest weight for key
// among those whose load, with one more unit, stays within factor times their
// share of the total load by capacity. If there is none, it returns the candidate
// with the lowest load per capacity. It returns -1 when no candidate has capacity.
func PickBounded[M ~string](key Key, candidates []Candidate[M], factor float64) int {
	var load, capacity float64
	for _, c := range candidates {
		if c.Capacity > 0 {
			load += c.Load
			capacity += c.Capacity
		}
	}
	share := factor * (load + 1) / capacity
	best, least := -1, -1
	var bestWeight uint64
	for i, c := range candidates {
		if c.Capacity <= 0 {
			continue
		}
		if least < 0 || c.loadRatio() < candidates[least].loadRatio() {
			least = i
		}
		if c.Load+1 > max(1, share*c.Capacity) {
			continue
		}
		w := Weight(key, KeyOf(c.Member))
		if best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return least
	}
	return best
}

// loadRatio returns the load per unit of capacity after one more unit of load.
func (c Candidate[M]) loadRatio() float64 { return (c.Load + 1) / c.Capacity }
