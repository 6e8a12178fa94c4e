package reducer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// caching holds the daemon's estimate of what the targets' caches and the stores
// hold. It is only a hint: engines and stores check each block themselves.
type caching struct {
	prefixes *simplelru.LRU[identifier.BlockKey, *prefix]
	// leaders maps a block to the request whose prefill computes it now.
	leaders map[identifier.BlockKey]*request
	// homeHitRate is the moving average of the share of stored blocks that a home
	// target held although this daemon did not know it.
	homeHitRate float64
	// countSeq numbers the calls of countCachedBlocks, so that the counts of
	// earlier calls need no reset.
	countSeq uint64
}

// prefix records where one block is held. A block's key covers the text before it,
// so it stands for the whole prefix up to its end.
type prefix struct {
	// holders lists the targets that may have the block cached, the most recent
	// first. Unused entries have no target.
	holders [maxHolders]holder
	// uses counts the started attempts of requests with this block.
	uses int
	// exported is true once an export of the block to a store was requested.
	exported bool
}

// holder is one incarnation of a target that has a block cached.
type holder struct {
	target      *target
	incarnation identifier.Incarnation
	// lastUsed is the last use of the block on the target that this daemon knows of.
	lastUsed time.Time
}

// maxHolders bounds the targets that are recorded for one block.
const maxHolders = 4

func newCaching(size int) caching {
	prefixes, err := simplelru.NewLRU[identifier.BlockKey, *prefix](size, nil)
	if err != nil {
		panic(err) // New ensures a positive size.
	}
	return caching{
		prefixes:    prefixes,
		leaders:     map[identifier.BlockKey]*request{},
		homeHitRate: initialHomeHitRate,
	}
}

// bindVersion binds r to its model's current weight version and derives its block
// keys, which depend on it. Blocks found under other keys are dropped.
func (s *State) bindVersion(r *request) {
	r.version = s.fleet.Models[r.prompt.Model].Version
	scope := hasher.Scope{Team: r.team, Model: r.prompt.Model, Adapter: r.prompt.Adapter, Version: r.version}
	r.keys = s.keyer.Keys(scope, r.prompt.Digests)
	r.stored = nil
}

// rebindVersion moves a prompt to the current weight version if no token of its answer
// was delivered yet.
func (s *State) rebindVersion(r *request) {
	if r.prompt != nil && r.delivered == 0 && r.version != s.fleet.Models[r.prompt.Model].Version {
		s.bindVersion(r)
	}
}

// lookupTimeout bounds the lookup of a prompt's blocks in a store.
const lookupTimeout = 100 * time.Millisecond

func (s *State) needsLookup(r *request) bool {
	if r.prompt == nil || r.profile.Policy != specifier.PolicyFull {
		return false
	}
	if len(r.keys) == 0 || len(r.keys) < r.profile.ExportMinBlocks {
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
	r.stored = leadingMatches(r.keys, ev.Blocks)
	r.storedIn = ev.Store
	s.enqueue(r)
}

// leadingMatches returns the leading blocks whose keys are those of the request.
func leadingMatches(keys []identifier.BlockKey, blocks []StoredBlock) []StoredBlock {
	for i := range blocks {
		if i >= len(keys) || blocks[i].Key != keys[i] {
			return blocks[:i]
		}
	}
	return blocks
}

// countCachedBlocks computes for each target how many of r's leading blocks it is
// assumed to hold. The counts are valid until the next call.
func (s *State) countCachedBlocks(r *request) {
	s.countSeq++
	for i := len(r.keys) - 1; i >= 0; i-- {
		p, ok := s.prefixes.Get(r.keys[i])
		if !ok {
			continue
		}
		for _, h := range p.holders {
			t := h.target
			if t != nil && h.incarnation == t.incarnation && t.cachedFor != s.countSeq && s.now.Sub(h.lastUsed) < t.cacheLifetime {
				t.cached, t.cachedFor, t.cachedSince = i+1, s.countSeq, h.lastUsed
			}
		}
	}
}

// cachedBlocksOn returns t's count of the last call of countCachedBlocks.
func (s *State) cachedBlocksOn(t *target) int {
	if t.cachedFor != s.countSeq {
		return 0
	}
	return t.cached
}

const (
	// initialHomeHitRate is assumed before the first prompt.
	initialHomeHitRate = 0.5
	// homeHitRateWeight is the weight of one prompt in the moving average.
	homeHitRateWeight = 0.05
)

// updateHomeHitRate adds the share of r's stored blocks that its target held to the
// moving average, if r went to its home target without a known cached block.
func (s *State) updateHomeHitRate(r *request, share float64) {
	if r.homeGuessed {
		s.homeHitRate += homeHitRateWeight * (min(max(share, 0), 1) - s.homeHitRate)
	}
}

// Settings of a target's cache lifetime, which is the time after its last use for
// which the target is assumed to hold a block.
const (
	initialCacheLifetime = 2 * time.Second
	minCacheLifetime     = 100 * time.Millisecond
	maxCacheLifetime     = time.Hour
	// cacheLifetimeDecrease times the age of a missing block is an upper bound of the
	// new lifetime.
	cacheLifetimeDecrease = 0.9
	// cacheLifetimeIncrease times the age of a block still held is a lower bound of the
	// new lifetime.
	cacheLifetimeIncrease = 1.25
)

// adjustCacheLifetime shortens the cache lifetime of r's target if the target no
// longer held the blocks that r was sent there for, and prolongs it if it did.
func (s *State) adjustCacheLifetime(r *request, cachedTokens int) {
	if r.expectedCached == 0 || r.imported > 0 {
		return
	}
	t := r.target
	age := s.now.Sub(r.expectedLastUsed)
	if cachedTokens/hasher.BlockTokens < r.expectedCached {
		t.cacheLifetime = max(minCacheLifetime, min(t.cacheLifetime, time.Duration(cacheLifetimeDecrease*float64(age))))
		return
	}
	if 2*age > t.cacheLifetime {
		t.cacheLifetime = min(maxCacheLifetime, max(t.cacheLifetime, time.Duration(cacheLifetimeIncrease*float64(age))))
	}
}

// dropMissingBlocks removes r's target from the holders of those blocks that it
// turned out not to have cached.
func (s *State) dropMissingBlocks(r *request, cachedTokens int) {
	had := cachedTokens / hasher.BlockTokens
	for i := had; i < len(r.keys); i++ {
		if p, ok := s.prefixes.Peek(r.keys[i]); ok {
			p.removeHolder(r.target)
		}
	}
}

// recordCached records that t holds r's blocks now.
func (s *State) recordCached(r *request, t *target) {
	for _, key := range r.keys {
		p, ok := s.prefixes.Get(key)
		if !ok {
			p = &prefix{}
			s.prefixes.Add(key, p)
		}
		p.uses++
		p.addHolder(t, s.now)
	}
}

// addHolder makes t the first of the holders and drops the last one if there are
// too many.
func (p *prefix) addHolder(t *target, now time.Time) {
	p.removeHolder(t)
	copy(p.holders[1:], p.holders[:maxHolders-1])
	p.holders[0] = holder{target: t, incarnation: t.incarnation, lastUsed: now}
}

// removeHolder removes t and moves the holders behind it up.
func (p *prefix) removeHolder(t *target) {
	for i, h := range p.holders {
		if h.target == t {
			copy(p.holders[i:], p.holders[i+1:])
			p.holders[maxHolders-1] = holder{}
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
			p.addHolder(t, s.now)
		}
	}
	for _, key := range ev.Evicted {
		if p, ok := s.prefixes.Peek(key); ok {
			p.removeHolder(t)
		}
	}
}

// reservationValid reports whether r's target can still take it. A reservation on a
// cold target requires the ownership or a permit, and that the target was cold
// already when r was assigned to it.
func (s *State) reservationValid(r *request) bool {
	t := r.target
	if !s.acceptsWork(t) || t.open(s.now) || t.incarnation != r.incarnation {
		return false
	}
	return !t.cold || !r.cutoff.IsZero() && (s.owns(t) || r.permitFrom != "")
}

// addLeader makes r the leader for those of its blocks that no other request
// computes, so that later requests with the same blocks can wait for it.
func (s *State) addLeader(r *request) {
	for _, key := range r.keys {
		if s.leaders[key] == nil {
			s.leaders[key] = r
		}
	}
}

// removeLeader ends r's role as leader and puts its followers back into the queue.
func (s *State) removeLeader(r *request) {
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

// followLeader lets r wait for another request that computes at least half of r's
// blocks now, and reports whether there is one. Retries don't wait.
func (s *State) followLeader(r *request) bool {
	if r.prompt == nil || r.profile.Policy != specifier.PolicyFull || r.attemptNumber > 0 {
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
		s.recordFollow(r, leader)
		return true
	}
	return false
}

// exportNewBlocks exports those of r's blocks that no store holds yet, if the
// profile exports prompts of this length.
func (s *State) exportNewBlocks(r *request, t *target) {
	if !r.profile.ExportBlocks || r.profile.Policy != specifier.PolicyFull || len(r.keys) < max(1, r.profile.ExportMinBlocks) {
		return
	}
	name, store, ok := s.storeFor(r)
	if !ok || len(r.stored) >= len(r.keys) {
		return
	}
	keys := s.takeUnexported(r)
	if len(keys) == 0 {
		return
	}
	s.startExport(r, Export{
		Target: t.name, TargetAddress: t.spec.Address, Store: name, StoreAddress: store.Address,
		Keys: keys, Timeout: exportTimeout,
	})
}

// exportTimeout bounds one export of a prompt's blocks.
const exportTimeout = 30 * time.Second

// takeUnexported returns r's blocks that no store is known to hold, and marks them
// as exported.
func (s *State) takeUnexported(r *request) []identifier.BlockKey {
	var keys []identifier.BlockKey
	for _, key := range r.keys[len(r.stored):] {
		p, ok := s.prefixes.Get(key)
		if !ok || p.exported {
			continue
		}
		p.exported = true
		keys = append(keys, key)
	}
	return keys
}
