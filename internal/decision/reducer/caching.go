package reducer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// caching holds what the daemon believes of the targets' caches and of the
// stores. It is a hint only: engines and stores check each block themselves.
type caching struct {
	prefixes *simplelru.LRU[identifier.BlockKey, *prefix]
	// leaders finds the request that computes a block at the moment.
	leaders map[identifier.BlockKey]*request
	// homeHits is the recent share of blocks that a prefix's home target held
	// although this daemon did not know it.
	homeHits float64
	// counted numbers the calls of countCached.
	counted uint64
}

// prefix is what is known of one block.
type prefix struct {
	// holders are the targets believed to have the block in their cache, the
	// latest first; those without a target are unused.
	holders [maxHolders]holding
	// uses counts the requests that had the block.
	uses int
	// kept is true once the block was exported to a store.
	kept bool
}

// holding is one incarnation of a target that has a block in its cache.
type holding struct {
	target      *target
	incarnation identifier.Incarnation
	// since is when the target last used the block, as far as this daemon knows.
	since time.Time
}

// maxHolders bounds the remembered targets of one block.
const maxHolders = 4

func newCaching(size int) caching {
	prefixes, err := simplelru.NewLRU[identifier.BlockKey, *prefix](size, nil)
	if err != nil {
		panic(err) // The size is positive by New.
	}
	return caching{
		prefixes: prefixes,
		leaders:  map[identifier.BlockKey]*request{},
		homeHits: initialHomeHits,
	}
}

// bindVersion binds r to the weight version in force and derives its block keys.
func (s *State) bindVersion(r *request) {
	r.version = s.fleet.Models[r.prompt.Model].Version
	scope := hasher.Scope{Team: r.team, Model: r.prompt.Model, Adapter: r.prompt.Adapter, Version: r.version}
	r.keys = s.keyer.Keys(scope, r.prompt.Digests)
	r.stored = nil
}

// rebind moves a request that no target has run yet to the version in force.
func (s *State) rebind(r *request) {
	if r.prompt != nil && r.delivered == 0 && r.version != s.fleet.Models[r.prompt.Model].Version {
		s.bindVersion(r)
	}
}

// lookupTimeout bounds a store's answer.
const lookupTimeout = 100 * time.Millisecond

func (s *State) lookupNeeded(r *request) bool {
	if r.prompt == nil || r.profile.Policy != specifier.PolicyFull {
		return false
	}
	if len(r.keys) == 0 || len(r.keys) < r.profile.KeepMinBlocks {
		return false
	}
	_, _, ok := s.storeFor(r)
	return ok
}

func (s *State) startLookup(r *request) {
	r.phase = phaseLookup
	name, store, _ := s.storeFor(r)
	s.emit(Lookup{Request: r.id, Store: name, Address: store.Address, Keys: r.keys, Timeout: lookupTimeout})
}

func (s *State) onLookupDone(ev LookupDone) {
	r := s.requests[ev.Request]
	if r == nil || r.phase != phaseLookup {
		return
	}
	r.stored = matching(r.keys, ev.Blocks)
	r.storedAt = ev.Store
	s.enqueue(r)
}

// matching returns the leading blocks whose keys are the request's own.
func matching(keys []identifier.BlockKey, blocks []StoredBlock) []StoredBlock {
	for i := range blocks {
		if i >= len(keys) || blocks[i].Key != keys[i] {
			return blocks[:i]
		}
	}
	return blocks
}

// countCached counts, for each target, how many of r's leading blocks it is
// believed to hold. The counts stand until the next call.
func (s *State) countCached(r *request) {
	s.counted++
	for i := len(r.keys) - 1; i >= 0; i-- {
		p, ok := s.prefixes.Get(r.keys[i])
		if !ok {
			continue
		}
		for _, h := range p.holders {
			t := h.target
			if t != nil && h.incarnation == t.incarnation && t.cachedFor != s.counted && s.now.Sub(h.since) < t.cacheLifetime {
				t.cached, t.cachedFor, t.cachedSince = i+1, s.counted, h.since
			}
		}
	}
}

// cachedOn returns the count of the last countCached for t.
func (s *State) cachedOn(t *target) int {
	if t.cachedFor != s.counted {
		return 0
	}
	return t.cached
}

const (
	// initialHomeHits is the assumed share before any prompt was sent.
	initialHomeHits = 0.5
	// homeHitsGain is the weight of one prompt in the recent share.
	homeHitsGain = 0.05
)

// learnHomeHits takes in which share of a prompt's stored blocks the home target
// held, although the prompt was sent there without knowing.
func (s *State) learnHomeHits(r *request, share float64) {
	if r.guessed {
		s.homeHits += homeHitsGain * (min(max(share, 0), 1) - s.homeHits)
	}
}

// Bounds of the time for which a target is believed to hold a block.
const (
	initialCacheLifetime = 2 * time.Second
	minCacheLifetime     = 100 * time.Millisecond
	maxCacheLifetime     = time.Hour
	// lifetimeCut and lifetimeGain scale the time after a wrong and a right belief.
	lifetimeCut  = 0.9
	lifetimeGain = 1.25
)

// learnLifetime adjusts for how long r's target is believed to hold blocks, by
// whether it still held those that r was sent there for.
func (s *State) learnLifetime(r *request, cachedTokens int) {
	if r.believed == 0 || r.imported > 0 {
		return
	}
	t := r.target
	age := s.now.Sub(r.believedSince)
	if cachedTokens/hasher.BlockTokens < r.believed {
		t.cacheLifetime = max(minCacheLifetime, min(t.cacheLifetime, time.Duration(lifetimeCut*float64(age))))
		return
	}
	if 2*age > t.cacheLifetime {
		t.cacheLifetime = min(maxCacheLifetime, max(t.cacheLifetime, time.Duration(lifetimeGain*float64(age))))
	}
}

// correct takes back what the daemon believed of the target's cache beyond the
// blocks that the target really had.
func (s *State) correct(r *request, cachedTokens int) {
	had := cachedTokens / hasher.BlockTokens
	for i := had; i < len(r.keys); i++ {
		if p, ok := s.prefixes.Peek(r.keys[i]); ok {
			p.drop(r.target)
		}
	}
}

// remember notes that t holds r's blocks now.
func (s *State) remember(r *request, t *target) {
	for _, key := range r.keys {
		p, ok := s.prefixes.Get(key)
		if !ok {
			p = &prefix{}
			s.prefixes.Add(key, p)
		}
		p.uses++
		p.hold(t, s.now)
	}
}

// hold puts t first among the holders.
func (p *prefix) hold(t *target, now time.Time) {
	p.drop(t)
	copy(p.holders[1:], p.holders[:maxHolders-1])
	p.holders[0] = holding{target: t, incarnation: t.incarnation, since: now}
}

// drop removes t and moves the holders behind it up.
func (p *prefix) drop(t *target) {
	for i, h := range p.holders {
		if h.target == t {
			copy(p.holders[i:], p.holders[i+1:])
			p.holders[maxHolders-1] = holding{}
			return
		}
	}
}

func (s *State) onCacheObserved(ev CacheObserved) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	for _, key := range ev.Stored {
		if p, ok := s.prefixes.Peek(key); ok {
			p.hold(t, s.now)
		}
	}
	for _, key := range ev.Evicted {
		if p, ok := s.prefixes.Peek(key); ok {
			p.drop(t)
		}
	}
}

// stillUsable reports whether r's reserved target can still take it. A place on
// a warm target says nothing once the target has turned cold.
func (s *State) stillUsable(r *request) bool {
	t := r.target
	if !s.takesWork(t) || t.open(s.now) || t.incarnation != r.incarnation {
		return false
	}
	return !t.cold || !r.cutoff.IsZero() && (s.owns(t) || r.permitFrom != "")
}

// lead makes r the one that computes its blocks; later requests may follow it.
func (s *State) lead(r *request) {
	for _, key := range r.keys {
		if s.leaders[key] == nil {
			s.leaders[key] = r
		}
	}
}

// unlead ends r's lead and lets its followers go on.
func (s *State) unlead(r *request) {
	for _, key := range r.keys {
		if s.leaders[key] == r {
			delete(s.leaders, key)
		}
	}
	for _, f := range r.followers {
		f.leader = nil
		if f.phase == phaseFollowing {
			s.requeue(f)
		}
	}
	r.followers = nil
}

// follow lets r wait for another request that computes at least half of its
// blocks at the moment.
func (s *State) follow(r *request) bool {
	if r.prompt == nil || r.profile.Policy != specifier.PolicyFull || r.number > 0 {
		return false
	}
	for i := len(r.keys) - 1; i >= len(r.keys)/2 && i >= 0; i-- {
		leader := s.leaders[r.keys[i]]
		if leader == nil || leader == r {
			continue
		}
		r.phase = phaseFollowing
		r.leader = leader
		leader.followers = append(leader.followers, r)
		s.noteFollow(r, leader)
		return true
	}
	return false
}

// keep exports a prompt's blocks to the store when they are worth it.
func (s *State) keep(r *request, t *target) {
	if !r.profile.Keep || r.profile.Policy != specifier.PolicyFull || len(r.keys) < max(1, r.profile.KeepMinBlocks) {
		return
	}
	name, store, ok := s.storeFor(r)
	if !ok || len(r.stored) >= len(r.keys) {
		return
	}
	keys := s.unkept(r)
	if len(keys) == 0 {
		return
	}
	s.startExport(r, Export{
		Target: t.name, TargetAddress: t.spec.Address, Store: name, StoreAddress: store.Address,
		Keys: keys, Timeout: exportTimeout,
	})
}

// exportTimeout bounds one export.
const exportTimeout = 30 * time.Second

// unkept returns r's blocks that no store is known to hold, and marks them kept.
func (s *State) unkept(r *request) []identifier.BlockKey {
	var keys []identifier.BlockKey
	for _, key := range r.keys[len(r.stored):] {
		p, ok := s.prefixes.Get(key)
		if !ok || p.kept {
			continue
		}
		p.kept = true
		keys = append(keys, key)
	}
	return keys
}
