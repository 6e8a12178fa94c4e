package reducer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/scorer"
)

// caching holds what the daemon believes of the targets' caches and of the
// stores. It is a hint only: engines and stores check each block themselves.
type caching struct {
	prefixes *simplelru.LRU[identifier.BlockKey, *prefix]
	// leaders finds the request that computes a block at the moment.
	leaders map[identifier.BlockKey]*request
	links   map[identifier.Store]*link
}

// prefix is what is known of one block.
type prefix struct {
	// holders are the targets believed to have the block in their cache.
	holders []identifier.Target
	// uses counts the requests that had the block.
	uses int
	// kept is true once the block was exported to a store.
	kept bool
}

// link is this daemon's use of one store's link.
type link struct {
	// transfers counts the imports and exports in progress.
	transfers int
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
		links:    map[identifier.Store]*link{},
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

// cachedBlocks returns, for each target, how many of r's leading blocks it is
// believed to hold.
func (s *State) cachedBlocks(r *request) map[identifier.Target]int {
	held := map[identifier.Target]int{}
	for i := len(r.keys) - 1; i >= 0; i-- {
		p, ok := s.prefixes.Get(r.keys[i])
		if !ok {
			continue
		}
		for _, name := range p.holders {
			if held[name] == 0 {
				held[name] = i + 1
			}
		}
	}
	return held
}

// correct takes back what the daemon believed of the target's cache beyond the
// blocks that the target really had.
func (s *State) correct(r *request, cachedTokens int) {
	had := cachedTokens / hasher.BlockTokens
	for i := had; i < len(r.keys); i++ {
		if p, ok := s.prefixes.Peek(r.keys[i]); ok {
			p.drop(r.target.name)
		}
	}
}

// remember notes that t holds r's blocks now.
func (s *State) remember(r *request, name identifier.Target) {
	for _, key := range r.keys {
		p, ok := s.prefixes.Get(key)
		if !ok {
			p = &prefix{}
			s.prefixes.Add(key, p)
		}
		p.uses++
		p.hold(name)
	}
}

// hold puts name first among the holders.
func (p *prefix) hold(name identifier.Target) {
	p.drop(name)
	p.holders = append([]identifier.Target{name}, p.holders...)
	if len(p.holders) > maxHolders {
		p.holders = p.holders[:maxHolders]
	}
}

func (p *prefix) drop(name identifier.Target) {
	for i, holder := range p.holders {
		if holder == name {
			p.holders = append(p.holders[:i:i], p.holders[i+1:]...)
			return
		}
	}
}

func (s *State) forgetCacheOf(name identifier.Target) {
	for _, p := range s.prefixes.Values() {
		p.drop(name)
	}
}

func (s *State) onCacheObserved(ev CacheObserved) {
	for _, key := range ev.Stored {
		if p, ok := s.prefixes.Peek(key); ok {
			p.hold(ev.Target)
		}
	}
	for _, key := range ev.Evicted {
		if p, ok := s.prefixes.Peek(key); ok {
			p.drop(ev.Target)
		}
	}
}

// linkFor describes the free share of the link between r's store and the targets.
func (s *State) linkFor(r *request) scorer.Link {
	if len(r.stored) == 0 {
		return scorer.Link{}
	}
	name, store, ok := s.storeFor(r)
	if !ok {
		return scorer.Link{}
	}
	return scorer.Link{
		BytesPerSecond: float64(s.linkRate(name, store, r.profile)),
		BlockBytes:     float64(s.fleet.Models[r.prompt.Model].BlockBytes),
		Latency:        importLatency,
	}
}

// importLatency is the fixed cost of one import order.
const importLatency = 5 * time.Millisecond

// linkRate returns the rate that one more transfer of this daemon may use, in
// bytes per second. The profile's share of the link is divided evenly among the
// live daemons, so that together they stay within it.
func (s *State) linkRate(name identifier.Store, store specifier.Store, profile specifier.Profile) int64 {
	share := float64(store.LinkBytesPerSecond) * profile.LinkShare / float64(len(s.live))
	return int64(share / float64(s.linkOf(name).transfers+1))
}

func (s *State) linkOf(name identifier.Store) *link {
	l := s.links[name]
	if l == nil {
		l = &link{}
		s.links[name] = l
	}
	return l
}

func (s *State) startImport(r *request, c choice) {
	name, store, _ := s.storeFor(r)
	rate := s.linkRate(name, store, r.profile)
	s.linkOf(name).transfers++
	r.phase = phaseImporting
	s.lead(r)
	s.emit(Import{
		Request: r.id, Target: c.target.name, TargetAddress: c.target.spec.Address,
		Store: name, StoreAddress: store.Address,
		Model: r.prompt.Model, Version: r.version,
		Blocks: r.stored, BytesPerSecond: rate, Timeout: r.deadline.Sub(s.now),
	})
}

func (s *State) onImportDone(ev ImportDone) {
	s.linkOf(ev.Store).transfers--
	r := s.requests[ev.Request]
	if r == nil || r.phase != phaseImporting {
		return
	}
	s.noteImport(ev)
	if ev.Failed {
		r.stored = nil
	}
	if !s.stillUsable(r) {
		s.unlead(r)
		s.release(r)
		s.requeue(r)
		return
	}
	s.start(r)
}

// stillUsable reports whether r's reserved target can still take it.
func (s *State) stillUsable(r *request) bool {
	t := r.target
	if !s.takesWork(t) || t.open(s.now) {
		return false
	}
	return !t.cold || s.owns(t) || r.permitFrom != ""
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
	rate := s.linkRate(name, store, r.profile)
	s.linkOf(name).transfers++
	s.emit(Export{
		Target: t.name, TargetAddress: t.spec.Address, Store: name, StoreAddress: store.Address,
		Keys: keys, BytesPerSecond: rate, Timeout: exportTimeout,
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

func (s *State) onExportDone(ev ExportDone) {
	s.linkOf(ev.Store).transfers--
}
