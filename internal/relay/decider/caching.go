package decider

import (
	"fmt"
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
	// fetchTime bounds a fetch: a longer one costs more than reading the prompt,
	// and frees of outdated parts wait for its end.
	fetchTime = time.Second
	// skewTrusted is how long the targets' clock counts as running like this host's.
	skewTrusted = 10 * time.Second
	// trustFor is how long a host believes in what a store held when it last
	// answered: three times the wait between two answers.
	trustFor = 1500 * time.Millisecond
	// saveAfter is how long nothing is saved to a store that was seen anew: no host
	// that missed its restart may still fetch what is being written again.
	saveAfter = trustFor + fetchTime + 300*time.Millisecond
	// provenParts is how many parts prove to a host that has just started that a store
	// has not: more than hosts that missed a restart can have saved there
	// before they notice, at the rates of the deployments' sheets.
	provenParts = 100
	// relayMargin is how long a message that passes changes on may be on its way.
	relayMargin = 150 * time.Millisecond
	// saveTime is how long a part counts as being saved before it is saved again.
	saveTime = 1500 * time.Millisecond
	// storeFull is the share of a store's memory from which nothing is saved there.
	storeFull = 0.97
	// smallPart is the size, in tokens, up to which parts go to the fast stores:
	// that of the sessions of short prompts, by the deployments' sheets.
	smallPart = 1500
	// slowStore is the delay from which a store's parts are read anew: about the
	// time to read a long part.
	slowStore = 100 * time.Millisecond
	// delayWeight is the weight of one import in a store's delay, delayHalf the
	// time in which the delay of a store that isn't used halves, so that it is tried again.
	delayWeight = 0.25
	delayHalf   = 700 * time.Millisecond
	// betweenDataCentres and betweenRegions are how many times as long transfers of
	// parts take there, by the platform's terms.
	betweenDataCentres = 2
	betweenRegions     = 10
	// freeBatch bounds the parts of one call that frees them.
	freeBatch = 400
	// freeAfter is how long no engine must have had a version before its parts are
	// freed: longer than any fetch.
	freeAfter = fetchTime + 500*time.Millisecond
)

// partKey names a part under its salt.
type partKey struct{ salt, part string }

// directory holds what the stores hold.
type directory struct {
	stores []*store
	// saving holds the parts that are on their way to a store, until when.
	saving map[partKey]time.Time
	// skew is the targets' clock less this host's; known once a store told its clock.
	skew      time.Duration
	skewKnown bool
	skewAt    time.Time
	// relayed is when a store's changes were last passed on to this host.
	relayed map[netip.AddrPort]time.Time
	// lowest holds the oldest version of each model that an engine has.
	lowest map[string]lowestVersion
}

type lowestVersion struct {
	version int
	since   time.Time
}

// store is what is known of one store.
type store struct {
	descriptor.Store
	boot int64
	// alive is true while the store answers and its parts are known.
	alive bool
	// confirmed is when the store was last known to hold what is believed, and
	// bootSeen when its present boot was first seen.
	confirmed time.Time
	bootSeen  time.Time
	held      map[partKey]int
	used      int
	// delay is how much longer than expected imports from the store have taken, as of delayAt.
	delay   time.Duration
	delayAt time.Time
}

func newDirectory() directory {
	return directory{saving: map[partKey]time.Time{}, lowest: map[string]lowestVersion{}, relayed: map[netip.AddrPort]time.Time{}}
}

// noteStores takes over the stores of the configuration.
func (s *State) noteStores() {
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
		list = append(list, &store{Store: *svc.Store, held: map[partKey]int{}})
	}
	slices.SortFunc(list, func(a, b *store) int { return a.Address.Compare(b.Address) })
	s.stores = list
}

func (s *State) storeAt(addr netip.AddrPort) *store {
	i := slices.IndexFunc(s.stores, func(st *store) bool { return st.Address == addr })
	if i < 0 {
		return nil
	}
	return s.stores[i]
}

// onPartsChanged keeps account of a store. After a restart or a gap nothing is
// believed until the whole list was read.
func (s *State) onPartsChanged(ev PartsChanged) {
	st := s.storeAt(ev.Store)
	if st == nil {
		return
	}
	s.takeParts(st, ev)
	s.relay(ev)
}

// learnSkew takes in how far the targets' clock was ahead of this host's when an answer
// arrived. The answer was on its way for a while, so that the largest difference is
// the best, unless it is old.
func (s *State) learnSkew(skew time.Duration) {
	if !s.skewKnown || skew > s.skew || s.now.Sub(s.skewAt) > skewTrusted {
		s.skew, s.skewKnown, s.skewAt = skew, true, s.now
	}
}

// takeParts takes changes over into what is known of a store.
func (s *State) takeParts(st *store, ev PartsChanged) {
	if !ev.Changes.Clock.IsZero() {
		s.learnSkew(ev.Changes.Clock.Sub(s.now))
	}
	if ev.Changes.Boot != st.boot || ev.Changes.Lost || ev.Whole {
		if st.boot != ev.Changes.Boot || !ev.Whole {
			s.note("store restarted or changes lost", "", "store", ev.Store, "boot", ev.Changes.Boot, "before", st.boot, "parts", len(st.held))
		}
		if st.boot != ev.Changes.Boot {
			st.bootSeen = s.now
			if st.boot == 0 && len(ev.Changes.Changes) >= provenParts {
				st.bootSeen = s.now.Add(-saveAfter)
			}
		}
		st.boot, st.used = ev.Changes.Boot, 0
		clear(st.held)
	}
	if !st.alive {
		s.note("store answers", "", "store", ev.Store, "boot", st.boot)
	}
	st.alive = true
	if ev.AsOf.After(st.confirmed) {
		st.confirmed = ev.AsOf
	}
	if ev.Changes.Lost && !ev.Whole {
		s.emit(ListParts{Store: ev.Store})
		return
	}
	for _, c := range ev.Changes.Changes {
		s.changePart(st, c)
	}
}

func (s *State) changePart(st *store, c descriptor.PartChange) {
	key := partKey{c.Salt, c.Part}
	st.used -= st.held[key]
	delete(st.held, key)
	if c.Held {
		st.held[key] = c.Tokens
		st.used += c.Tokens
		delete(s.saving, key)
	}
}

func (s *State) onStoreLost(ev StoreLost) {
	st := s.storeAt(ev.Store)
	if st == nil {
		return
	}
	if st.alive {
		st.alive = false
		s.note("store lost", "", "store", ev.Store, "parts", len(st.held), "confirmed", s.now.Sub(st.confirmed))
	}
	// Each failure is passed on, so that the others needn't ask the store themselves.
	if to := s.receivers(ev.Store.String()); len(to) > 0 {
		s.emit(TellParts{To: to, Parts: PartsTold{Store: ev.Store, Lost: true}})
	}
}

// salt keeps the parts of each model, version and isolated team apart.
func (r *request) salt(version int) string {
	salt := fmt.Sprintf("%s:%d", r.prompt.Model, version)
	if r.team != nil && r.team.Isolated {
		salt += ":" + r.team.Name
	}
	return salt
}

// saltVersion returns the model and version of a salt; version 0 for a foreign one.
func saltVersion(salt string) (string, int) {
	model, rest, _ := strings.Cut(salt, ":")
	number, _, _ := strings.Cut(rest, ":")
	version, err := strconv.Atoi(number)
	if err != nil {
		return "", 0 // Not a salt of this project: its parts are nobody's here.
	}
	return model, version
}

// holder returns a store that holds a part in whole, the fastest first. It answers
// the load pattern in which a store's link is slow or full: its parts are read anew
// until it has caught up.
func (s *State) holder(key partKey, tokens int) *store {
	var best *store
	for _, st := range s.stores {
		if s.trusted(st) && st.held[key] >= tokens && tokens > 0 && (best == nil || st.FirstByte < best.FirstByte) && !s.slow(st) {
			best = st
		}
	}
	return best
}

// slow reports whether st's imports come too late.
func (s *State) slow(st *store) bool { return st.delay >= slowStore && s.delayOf(st) >= slowStore }

// delayOf is how much longer imports from st take than those of the store that is least delayed.
func (s *State) delayOf(st *store) time.Duration {
	least := st.aged(s.now)
	for _, other := range s.stores {
		if other.alive {
			least = min(least, other.aged(s.now))
		}
	}
	return st.aged(s.now) - least
}

func (st *store) aged(now time.Time) time.Duration {
	halves := float64(now.Sub(st.delayAt)) / float64(delayHalf)
	return time.Duration(float64(st.delay) * math.Exp2(-halves))
}

// learnDelay takes in how much later than predicted an answer began that imported
// parts from stores.
func (s *State) learnDelay(r *request) {
	late := max(0, s.now.Sub(r.sent)-r.predicted)
	for _, addr := range r.sources {
		st := s.storeAt(addr)
		if st == nil {
			continue
		}
		before := s.delayOf(st)
		st.delay = st.aged(s.now) + time.Duration(delayWeight*float64(late-st.aged(s.now)))
		st.delayAt = s.now
		if now := s.delayOf(st); (now >= slowStore) != (before >= slowStore) {
			s.note("store's delay", r.id, "store", addr, "delay", now, "before", before, "slow", now >= slowStore)
		}
	}
	r.sources = nil
}

// importable returns what t can import of r's prompt: the leading shared parts that
// stores hold.
func (s *State) importable(r *request, t *target) importPlan {
	var plan importPlan
	salt := r.salt(t.Weights[r.prompt.Model])
	for _, part := range r.prompt.Shared() {
		st := s.holder(partKey{salt, part.ID}, part.Tokens)
		if st == nil {
			break
		}
		plan.tokens += part.Tokens
		plan.time += s.transferTime(st, t, part.Tokens)
	}
	return plan
}

// transferTime is how long a store needs to send tokens to an engine. It answers the
// load pattern in which all prompts import at once and the stores' links are full:
// engines near the store take less of them.
func (s *State) transferTime(st *store, t *target, tokens int) time.Duration {
	if st.LinkMbps <= 0 || t.service == nil || t.service.Engine == nil {
		return st.FirstByte
	}
	const bitsPerMegabit = 1e6
	seconds := float64(tokens) * float64(t.service.Engine.TokenBytes) * 8 / (st.LinkMbps * bitsPerMegabit)
	took := time.Duration(seconds * float64(time.Second))
	switch {
	case s.cfg.Regions[st.DataCentre] != s.cfg.Regions[t.DataCentre]:
		took *= betweenRegions
	case st.DataCentre != t.DataCentre:
		took *= betweenDataCentres
	}
	return st.FirstByte + took
}

// reading counts the shared tokens that an engine reads, by why they aren't
// imported: their store is slow, they are on their way to a store, or no store has them.
type reading struct{ slow, saving, unknown int }

// planCache says where t imports r's shared parts from and saves them to.
func (s *State) planCache(r *request, t *target, out *Send) {
	version := t.Weights[r.prompt.Model]
	out.Weights = version
	out.Salt = r.salt(version)
	plan := s.importable(r, t)
	r.work.Unread = max(0, r.prompt.Tokens-plan.tokens)
	r.work.Memory = r.prompt.Tokens + r.prompt.MaxOutput
	r.reading = reading{}
	out.Sources = make([]netip.AddrPort, len(r.prompt.Parts))
	out.Sinks = make([]netip.AddrPort, len(r.prompt.Parts))
	for i, part := range r.prompt.Shared() {
		key := partKey{out.Salt, part.ID}
		if st := s.holder(key, part.Tokens); st != nil {
			out.Sources[i] = st.Address
			if !slices.Contains(r.sources, st.Address) {
				r.sources = append(r.sources, st.Address)
			}
			continue
		}
		switch {
		case s.held(key):
			r.reading.slow += part.Tokens
		case !s.now.After(s.saving[key]):
			r.reading.saving += part.Tokens
		default:
			r.reading.unknown += part.Tokens
			if st := s.home(key, part.Tokens, i); st != nil {
				out.Sinks[i] = st.Address
				s.saving[key] = s.now.Add(saveTime)
			}
		}
	}
	if s.skewKnown {
		out.SourceUntil = s.now.Add(s.skew + fetchTime)
	}
}

// trusted reports whether st surely holds what is believed.
func (s *State) trusted(st *store) bool { return st.alive && s.now.Sub(st.confirmed) < trustFor }

// held reports whether any store holds a part, also one that is slow.
func (s *State) held(key partKey) bool {
	return slices.ContainsFunc(s.stores, func(st *store) bool { return s.trusted(st) && st.held[key] > 0 })
}

// home returns the store that a part is saved to. All hosts choose the same one,
// so that parts aren't kept twice: small parts and those that start a prompt go
// to the fast stores, the others to the large ones.
func (s *State) home(key partKey, tokens, index int) *store {
	var best *store
	var bestRank uint64
	for _, st := range s.stores {
		if !s.trusted(st) || s.now.Sub(st.bootSeen) < saveAfter || float64(st.used+tokens) > storeFull*float64(st.Tokens) {
			continue
		}
		rank := xxh3.HashString(st.Address.String() + "|" + key.salt + "|" + key.part)
		if s.preferred(st, tokens, index) {
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

// preferred reports whether st is of the right kind for a part.
func (s *State) preferred(st *store, tokens, index int) bool {
	fastest := st.FirstByte
	for _, other := range s.stores {
		fastest = min(fastest, other.FirstByte)
	}
	return (st.FirstByte == fastest) == (index == 0 || tokens <= smallPart)
}

// freeOutdated forgets the parts of versions that no engine has had any more for
// longer than a fetch takes, and frees them if this host is in office. No engine
// reads such parts again: each request names the only version that may run it.
func (s *State) freeOutdated() {
	for model, lowest := range s.lowestVersions() {
		if known := s.lowest[model]; known.version != lowest {
			s.lowest[model] = lowestVersion{lowest, s.now}
			continue
		}
		if s.now.Sub(s.lowest[model].since) < freeAfter {
			continue
		}
		for _, st := range s.stores {
			s.freeFrom(st, model, lowest)
		}
	}
}

// lowestVersions returns the oldest version of each model that an engine has, or
// had when it left the list not long ago.
func (s *State) lowestVersions() map[string]int {
	lowest := map[string]int{}
	count := func(weights map[string]int) {
		for model, version := range weights {
			if known, ok := lowest[model]; !ok || version < known {
				lowest[model] = version
			}
		}
	}
	for _, t := range s.targets {
		count(t.Weights)
	}
	for id, d := range s.departed {
		if s.now.After(d.until) {
			delete(s.departed, id)
			continue
		}
		count(d.weights)
	}
	return lowest
}

// findOutdated lists all stores, for a host that has just taken the lease: what
// should have been freed while nobody was in office is known to none.
func (s *State) findOutdated() {
	for _, st := range s.stores {
		if st.alive {
			s.emit(ListParts{Store: st.Address})
		}
	}
}

// freeFrom frees the parts of a store that were made by older versions of a model.
func (s *State) freeFrom(st *store, model string, lowest int) {
	if !st.alive {
		return
	}
	bySalt := map[string][]string{}
	for key := range st.held {
		of, version := saltVersion(key.salt)
		if of == model && version < lowest && len(bySalt[key.salt]) < freeBatch {
			bySalt[key.salt] = append(bySalt[key.salt], key.part)
		}
	}
	for salt, parts := range bySalt {
		for _, part := range parts {
			s.changePart(st, descriptor.PartChange{Salt: salt, Part: part})
		}
		if !s.inOffice() {
			continue
		}
		s.note("outdated parts freed", "", "store", st.Address, "salt", salt, "parts", len(parts))
		s.emit(FreeParts{Store: st.Address, Boot: st.boot, Salt: salt, Parts: parts})
	}
}
