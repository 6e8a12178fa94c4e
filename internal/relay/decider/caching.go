package decider

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// maxFetchTime limits a fetch: a longer one costs more than prefilling the prompt, and
	// outdated parts are only freed after it.
	maxFetchTime = time.Second
	// maxSkewAge is how long a measured clock skew counts; after that the clocks may have
	// drifted.
	maxSkewAge = 10 * time.Second
	// storeStaleAfter is how long the last known content of a store is relied on without
	// confirmation: three times the interval between two answers.
	storeStaleAfter = 1500 * time.Millisecond
	// saveDelayAfterBoot is how long nothing is saved to a store after its restart was noticed.
	// Until then, a host that missed the restart may still fetch what would be written again.
	saveDelayAfterBoot = storeStaleAfter + maxFetchTime + 300*time.Millisecond
	// minPartsOfWarmStore is how many parts show a newly started host that a store hasn't just
	// restarted too. It is more than hosts that missed a restart can save there before they
	// notice, at the request rates specified for the deployments.
	minPartsOfWarmStore = 100
	// maxRelayDelay is the greatest time a relayed message is assumed to be in transit.
	maxRelayDelay = 150 * time.Millisecond
	// saveTimeout is how long a part counts as being saved before another attempt to save it.
	saveTimeout = 1500 * time.Millisecond
	// storeFullShare is the share of a store's memory above which nothing is saved there.
	storeFullShare = 0.97
	// smallPartTokens is the largest size of parts that go to the fast stores: the specified
	// size of sessions of short prompts.
	smallPartTokens = 1500
	// slowStoreDelay is the delay from which engines prefill a store's parts instead of
	// importing them: about the prefill time of a long part.
	slowStoreDelay = 100 * time.Millisecond
	// storeDelayWeight is the weight of one import in a store's mean delay. storeDelayHalfLife
	// is the time in which the mean halves while the store is unused, so that it is tried
	// again.
	storeDelayWeight   = 0.25
	storeDelayHalfLife = 700 * time.Millisecond
	// crossDataCentreFactor and crossRegionFactor are how many times longer transfers of parts
	// take across these boundaries, by the platform's specification.
	crossDataCentreFactor = 2
	crossRegionFactor     = 10
	// freeBatchSize limits how many parts of one salt are freed in one call.
	freeBatchSize = 400
	// freeDelay is how long no engine must have had a version before its parts are freed. It is
	// longer than any fetch.
	freeDelay = maxFetchTime + 500*time.Millisecond
)

// partKey identifies a cache part: its ID is unique within its salt.
type partKey struct{ salt, part string }

// cacheDirectory tracks the content of the stores.
type cacheDirectory struct {
	stores []*store
	// savingUntil holds the parts being saved to a store, and when that counts as failed.
	savingUntil map[partKey]time.Time
	// clockSkew is the targets' clock minus this host's, as of clockSkewAt. It is known once a
	// store has sent its clock.
	clockSkew      time.Duration
	clockSkewKnown bool
	clockSkewAt    time.Time
	// lastRelayedAt is when another host last relayed changes of a store to this host.
	lastRelayedAt map[netip.AddrPort]time.Time
	// partsQueue holds the changes of stores that this host has yet to pass on as an aggregator, and
	// passedOn the boot and the newest change of each store that it has. It does so since
	// partsPassedOnAt.
	partsQueue      map[netip.AddrPort]*queuedParts
	passedOn        map[netip.AddrPort]PartsRelayed
	partsPassedOnAt time.Time
	// oldestVersions holds the oldest version of each model that any engine has.
	oldestVersions map[string]oldestVersion
}

type oldestVersion struct {
	version int
	since   time.Time
}

// store holds the state of one store as known to this host.
type store struct {
	descriptor.Store
	boot int64
	// next identifies the change that follows the last one known; 0 if unknown. listedAt is when this
	// host last asked for the whole content because it knew nothing of the store.
	next     int64
	listedAt time.Time
	// alive is true while the store answers and its content is known.
	alive bool
	// confirmedAt is the last time at which parts was known to be correct, and bootSeenAt the
	// time the current boot was first seen.
	confirmedAt time.Time
	bootSeenAt  time.Time
	parts       map[partKey]int
	// partsBySalt counts parts by salt.
	partsBySalt map[string]int
	usedTokens  int
	// delay is the mean time by which imports from the store exceeded the prediction, as of
	// delayUpdatedAt.
	delay          time.Duration
	delayUpdatedAt time.Time
}

func newCacheDirectory() cacheDirectory {
	return cacheDirectory{
		savingUntil: map[partKey]time.Time{}, oldestVersions: map[string]oldestVersion{}, lastRelayedAt: map[netip.AddrPort]time.Time{},
		partsQueue: map[netip.AddrPort]*queuedParts{}, passedOn: map[netip.AddrPort]PartsRelayed{},
	}
}

// updateStores adopts the stores of the configuration and keeps the state of known ones.
func (s *State) updateStores() {
	var list []*store
	for _, svc := range s.config.Services {
		if svc.Store == nil {
			continue
		}
		i := slices.IndexFunc(s.stores, func(st *store) bool { return st.Address == svc.Store.Address })
		if i >= 0 {
			s.stores[i].Store = *svc.Store
			list = append(list, s.stores[i])
			continue
		}
		list = append(list, &store{Store: *svc.Store, parts: map[partKey]int{}, partsBySalt: map[string]int{}})
	}
	slices.SortFunc(list, func(a, b *store) int { return a.Address.Compare(b.Address) })
	s.stores = list
}

func (s *State) storeByAddress(addr netip.AddrPort) *store {
	i := slices.IndexFunc(s.stores, func(st *store) bool { return st.Address == addr })
	if i < 0 {
		return nil
	}
	return s.stores[i]
}

// onPartsChanged updates the content of a store and relays the changes to other hosts.
func (s *State) onPartsChanged(ev PartsChanged) {
	st := s.storeByAddress(ev.Store)
	if st == nil {
		return
	}
	s.applyPartChanges(st, ev)
	s.relayPartChanges(st, ev)
}

// observeClockSkew records how far the targets' clock was ahead of this host's when an answer
// arrived. Transit makes this too small, so the largest recent value is kept.
func (s *State) observeClockSkew(skew time.Duration) {
	if !s.clockSkewKnown || skew > s.clockSkew || s.now.Sub(s.clockSkewAt) > maxSkewAge {
		s.clockSkew, s.clockSkewKnown, s.clockSkewAt = skew, true, s.now
	}
}

// applyPartChanges updates the content of st. A restart of the store or a gap in the changes drops
// all recorded parts. After a gap, the rest of the changes is ignored and the complete list is
// requested.
func (s *State) applyPartChanges(st *store, ev PartsChanged) {
	if !ev.Changes.Clock.IsZero() {
		s.observeClockSkew(ev.Changes.Clock.Sub(s.now))
	}
	if ev.Changes.Boot != st.boot || ev.Changes.ChangesLost || ev.Whole {
		if st.boot != ev.Changes.Boot || !ev.Whole {
			s.log("store restarted or changes lost", "", "store", ev.Store, "boot", ev.Changes.Boot, "before", st.boot, "parts", len(st.parts))
		}
		if st.boot != ev.Changes.Boot {
			st.bootSeenAt = s.now
			if st.boot == 0 && len(ev.Changes.Changes) >= minPartsOfWarmStore {
				st.bootSeenAt = s.now.Add(-saveDelayAfterBoot)
			}
		}
		st.boot, st.next, st.usedTokens = ev.Changes.Boot, 0, 0
		clear(st.parts)
		clear(st.partsBySalt)
	}
	if !st.alive {
		s.log("store answers", "", "store", ev.Store, "boot", st.boot)
	}
	st.alive = true
	if ev.AsOf.After(st.confirmedAt) {
		st.confirmedAt = ev.AsOf
	}
	if ev.Changes.ChangesLost && !ev.Whole {
		s.emit(ListParts{Store: ev.Store})
		return
	}
	st.next = max(st.next, ev.Changes.Next)
	for _, c := range ev.Changes.Changes {
		s.applyPartChange(st, c)
	}
}

func (s *State) applyPartChange(st *store, c descriptor.PartChange) {
	key := partKey{c.Salt, c.Part}
	st.remove(key)
	if c.Held {
		st.parts[key] = c.Tokens
		st.partsBySalt[key.salt]++
		st.usedTokens += c.Tokens
		delete(s.savingUntil, key)
	}
}

// remove removes a part from the known content, if it is there.
func (st *store) remove(key partKey) {
	tokens, ok := st.parts[key]
	if !ok {
		return
	}
	delete(st.parts, key)
	st.usedTokens -= tokens
	if st.partsBySalt[key.salt]--; st.partsBySalt[key.salt] == 0 {
		delete(st.partsBySalt, key.salt)
	}
}

func (s *State) onStoreLost(ev StoreLost) {
	st := s.storeByAddress(ev.Store)
	if st == nil {
		return
	}
	if st.alive {
		st.alive = false
		s.log("store lost", "", "store", ev.Store, "parts", len(st.parts), "confirmed", s.now.Sub(st.confirmedAt))
	}
	// Relay each failure, so that the other hosts needn't call the store themselves.
	s.relay(PartsRelayed{Store: ev.Store, Lost: true})
}

// salt returns the cache salt, which separates models, versions and scopes.
func (s *State) salt(r *request, version int) string {
	salt := r.prompt.Model + ":" + strconv.Itoa(version)
	if scope := s.scope(r); scope != "" {
		salt += ":" + scope
	}
	return salt
}

// parseSalt returns the model, version and scope of a salt, or version 0 if it has another format.
func parseSalt(salt string) (model string, version int, scope string) {
	model, rest, _ := strings.Cut(salt, ":")
	number, scope, _ := strings.Cut(rest, ":")
	version, err := strconv.Atoi(number)
	if err != nil {
		return "", 0, "" // Written by other software: its parts are left alone.
	}
	return model, version, scope
}

// fastestSource returns the fastest store that holds a whole part, or nil, also while none may be imported. It skips stores
// whose link is slow or saturated until their delay has decayed; their parts are prefilled.
func (s *State) fastestSource(key partKey, tokens int) *store {
	if !s.mayImport() {
		return nil
	}
	var best *store
	for _, st := range s.stores {
		if s.isFresh(st) && st.parts[key] >= tokens && tokens > 0 && (best == nil || st.TransferLatency < best.TransferLatency) && !s.isSlow(st) {
			best = st
		}
	}
	return best
}

// isSlow reports whether imports from st are too late to be worth while.
func (s *State) isSlow(st *store) bool {
	return st.delay >= slowStoreDelay && s.relativeDelay(st) >= slowStoreDelay
}

// relativeDelay returns how much longer imports from st take than those from the least delayed
// store.
func (s *State) relativeDelay(st *store) time.Duration {
	smallest := st.decayedDelay(s.now)
	for _, other := range s.stores {
		if other.alive {
			smallest = min(smallest, other.decayedDelay(s.now))
		}
	}
	return st.decayedDelay(s.now) - smallest
}

func (st *store) decayedDelay(now time.Time) time.Duration {
	halves := float64(now.Sub(st.delayUpdatedAt)) / float64(storeDelayHalfLife)
	return time.Duration(float64(st.delay) * math.Exp2(-halves))
}

// observeStoreDelay records how much later than predicted a response with imported parts
// began.
func (s *State) observeStoreDelay(r *request) {
	late := max(0, s.now.Sub(r.sentAt)-r.predicted)
	for _, addr := range r.sources {
		st := s.storeByAddress(addr)
		if st == nil {
			continue
		}
		before := s.relativeDelay(st)
		st.delay = st.decayedDelay(s.now) + time.Duration(storeDelayWeight*float64(late-st.decayedDelay(s.now)))
		st.delayUpdatedAt = s.now
		if after := s.relativeDelay(st); (after >= slowStoreDelay) != (before >= slowStoreDelay) {
			s.log("store's delay", r.id, "store", addr, "delay", after, "before", before, "slow", after >= slowStoreDelay)
		}
	}
	r.sources = nil
}

// planImport returns how much of r's prompt t can import: the leading shared parts that stores
// hold.
func (s *State) planImport(r *request, t *target) importPlan {
	var plan importPlan
	salt := s.salt(r, t.Weights[r.prompt.Model])
	for _, part := range r.prompt.Shared() {
		st := s.fastestSource(partKey{salt, part.ID}, part.Tokens)
		if st == nil {
			break
		}
		plan.tokens += part.Tokens
		plan.duration += s.transferTime(st, t, part.Tokens)
	}
	return plan
}

// transferTime returns how long a store takes to send tokens to an engine. Engines near the
// store are preferred because they use less of its link, which can saturate when all prompts
// import at once.
func (s *State) transferTime(st *store, t *target, tokens int) time.Duration {
	if st.LinkMbps <= 0 || t.service == nil || t.service.Engine == nil {
		return st.TransferLatency
	}
	const bitsPerMegabit = 1e6
	seconds := float64(tokens) * float64(t.service.Engine.TokenBytes) * 8 / (st.LinkMbps * bitsPerMegabit)
	took := time.Duration(seconds * float64(time.Second))
	switch {
	case s.cfg.Regions[st.DataCentre] != s.cfg.Regions[t.DataCentre]:
		took *= crossRegionFactor
	case st.DataCentre != t.DataCentre:
		took *= crossDataCentreFactor
	}
	return st.TransferLatency + took
}

// cacheMisses counts the shared tokens that an engine must prefill, by reason: their store is
// slow, they are still being saved, or no store holds them.
type cacheMisses struct{ slowStore, beingSaved, notStored int }

// planCacheTransfers sets the stores from which t imports the shared parts of r, and those it
// saves the others to.
func (s *State) planCacheTransfers(r *request, t *target, send *Send) {
	version := t.Weights[r.prompt.Model]
	send.Weights = version
	send.Salt = s.salt(r, version)
	plan := s.planImport(r, t)
	r.load.PrefillTokens = max(0, r.prompt.Tokens-plan.tokens)
	r.load.MemoryTokens = r.prompt.Tokens + r.prompt.MaxOutput
	r.misses = cacheMisses{}
	send.Sources = make([]netip.AddrPort, len(r.prompt.Parts))
	send.Sinks = make([]netip.AddrPort, len(r.prompt.Parts))
	for i, part := range r.prompt.Shared() {
		key := partKey{send.Salt, part.ID}
		if st := s.fastestSource(key, part.Tokens); st != nil {
			send.Sources[i] = st.Address
			if !slices.Contains(r.sources, st.Address) {
				r.sources = append(r.sources, st.Address)
			}
			continue
		}
		switch {
		case s.isStored(key):
			r.misses.slowStore += part.Tokens
		case !s.now.After(s.savingUntil[key]):
			r.misses.beingSaved += part.Tokens
		default:
			r.misses.notStored += part.Tokens
			if st := s.sinkFor(key, part.Tokens, i); st != nil {
				send.Sinks[i] = st.Address
				s.savingUntil[key] = s.now.Add(saveTimeout)
			}
		}
	}
	if s.clockSkewKnown {
		send.SourceUntil = s.now.Add(s.clockSkew + maxFetchTime)
	}
}

// isFresh reports whether the known content of st is recent enough to rely on.
func (s *State) isFresh(st *store) bool {
	return st.alive && s.now.Sub(st.confirmedAt) < storeStaleAfter
}

// isStored reports whether any store, slow ones included, holds the part.
func (s *State) isStored(key partKey) bool {
	return slices.ContainsFunc(s.stores, func(st *store) bool { return s.isFresh(st) && st.parts[key] > 0 })
}

// sinkFor returns the store to save a part to. All hosts choose the same one by rendezvous
// hashing, so that no part is stored twice. Small parts and those at the start of a prompt go
// to the fast stores, the others to the large ones.
func (s *State) sinkFor(key partKey, tokens, index int) *store {
	var best *store
	var bestRank uint64
	for _, st := range s.stores {
		if !s.isFresh(st) || s.now.Sub(st.bootSeenAt) < saveDelayAfterBoot || float64(st.usedTokens+tokens) > storeFullShare*float64(st.CapacityTokens) {
			continue
		}
		rank := xxh3.HashString(st.Address.String() + "|" + key.salt + "|" + key.part)
		if s.isPreferredSink(st, tokens, index) {
			rank |= 1 << 63
		} else {
			rank &^= 1 << 63
		}
		if best == nil || rank > bestRank {
			best, bestRank = st, rank
		}
	}
	return best
}

// isPreferredSink reports whether st is of the kind, fast or large, that suits the part.
func (s *State) isPreferredSink(st *store, tokens, index int) bool {
	fastest := st.TransferLatency
	for _, other := range s.stores {
		fastest = min(fastest, other.TransferLatency)
	}
	return (st.TransferLatency == fastest) == (index == 0 || tokens <= smallPartTokens)
}

// freeOutdatedParts drops the parts of versions that no engine has had for longer than a fetch
// takes, and frees them at the stores if this host holds the lease. No engine reads such parts
// again, as each request names the only version that may run it.
func (s *State) freeOutdatedParts() {
	for model, oldest := range s.computeOldestVersions() {
		if known := s.oldestVersions[model]; known.version != oldest {
			s.oldestVersions[model] = oldestVersion{oldest, s.now}
			continue
		}
		if s.now.Sub(s.oldestVersions[model].since) < freeDelay {
			continue
		}
		for _, st := range s.stores {
			s.freePartsOf(st, func(partModel string, version int, _ string) bool { return partModel == model && version < oldest })
		}
	}
}

// computeOldestVersions returns the oldest version of each model that any engine has, or had
// when it left the list recently.
func (s *State) computeOldestVersions() map[string]int {
	oldest := map[string]int{}
	include := func(weights map[string]int) {
		for model, version := range weights {
			if known, ok := oldest[model]; !ok || version < known {
				oldest[model] = version
			}
		}
	}
	for _, t := range s.targets {
		include(t.Weights)
	}
	for id, d := range s.departed {
		switch since := s.now.Sub(d.at); {
		case since > departureMemory:
			delete(s.departed, id)
		case since <= departedRetention:
			include(d.weights)
		}
	}
	return oldest
}

// listStores lists the content of all stores after this host has taken the lease, to find the
// outdated parts that no host freed while there was no holder.
func (s *State) listStores() {
	for _, st := range s.stores {
		if st.alive {
			s.emit(ListParts{Store: st.Address})
		}
	}
}

// partsWithSalt returns the IDs of up to limit parts with a salt.
func (st *store) partsWithSalt(salt string, limit int) []string {
	var parts []string
	for key := range st.parts {
		if key.salt == salt && len(parts) < limit {
			parts = append(parts, key.part)
		}
	}
	return parts
}

// freePartsOf drops the parts of st whose model, version and scope are outdated, and frees them at the store if
// this host holds the lease.
func (s *State) freePartsOf(st *store, outdated func(model string, version int, scope string) bool) {
	if !st.alive {
		return
	}
	for salt := range st.partsBySalt {
		if model, version, scope := parseSalt(salt); version == 0 || !outdated(model, version, scope) {
			continue
		}
		parts := st.partsWithSalt(salt, freeBatchSize)
		for _, part := range parts {
			s.applyPartChange(st, descriptor.PartChange{Salt: salt, Part: part})
		}
		if !s.holdsLease() {
			continue
		}
		s.log("outdated parts freed", "", "store", st.Address, "salt", salt, "parts", len(parts))
		s.emit(FreeParts{Store: st.Address, Boot: st.boot, Salt: salt, Parts: parts})
	}
}
