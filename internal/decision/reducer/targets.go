package reducer

import (
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// target is what the daemon knows of one target.
type target struct {
	name identifier.Target
	// hash is the name's hash for rendezvous hashing.
	hash placer.Key
	spec specifier.Target
	// local is true for a target of this daemon's data centre.
	local bool
	// takes is true while operators and the membership list let it take new work.
	takes   bool
	profile *specifier.Profile

	// incarnation is 0 until the target was heard of.
	incarnation identifier.Incarnation
	cold        bool
	// warmSince is when the incarnation was first known to be warm.
	warmSince time.Time
	// ramped is true once the ramp that began at warmSince has ended.
	ramped bool

	// reported is the number of running and queued requests of the last report,
	// and inflightThen the daemon's own at that time.
	reported      int
	reportedQueue int
	inflightThen  int
	heard         time.Time
	prefillRate   float64

	// inflight counts this daemon's requests on the target, imports included.
	inflight int
	// asking is true while the owner is asked for a permit, and askAfter is when
	// it may be asked again.
	asking   bool
	askAfter time.Time
	// pausedUntil is when the target may get more of this daemon's prompts, after
	// it started one much later than expected.
	pausedUntil time.Time
	// pendingTokens counts this daemon's tokens that wait for prefill there.
	pendingTokens int
	// pendingThen is what pendingTokens was at the last report, which includes it.
	pendingThen int
	// cached counts the leading blocks of the request that cachedFor numbers, and
	// cachedSince is when the target last used them.
	cached      int
	cachedFor   uint64
	cachedSince time.Time
	// lacking is the weight version that the target refused, until lackingUntil.
	lacking      identifier.WeightVersion
	lackingUntil time.Time
	// cacheLifetime is for how long the target is believed to hold a block.
	cacheLifetime time.Duration

	health
}

// health is the circuit breaker of one target.
type health struct {
	failures int
	// openUntil is when a target that failed may be tried again.
	openUntil time.Time
}

const (
	// breakerFailures is the number of failures in a row that opens the breaker.
	breakerFailures = 3
	// breakerBase is the first time for which the breaker stays open.
	breakerBase = 500 * time.Millisecond
	// breakerMax is the longest time for which the breaker stays open.
	breakerMax = 8 * time.Second
)

func (h *health) succeeded() { *h = health{} }

// failed counts a failure. Those that come while the breaker is open belong to
// attempts from before it opened and tell nothing new.
func (h *health) failed(now time.Time) {
	if h.open(now) {
		return
	}
	h.failures++
	if h.failures < breakerFailures {
		return
	}
	wait := breakerBase << min(h.failures-breakerFailures, 5)
	h.openUntil = now.Add(min(wait, breakerMax))
}

// slowed stops new prompts for about as long as the target is behind, so that the
// daemons together drain the queue that they built up without knowing.
func (s *State) slowed(t *target, behind time.Duration) {
	if behind <= maxTargetWait {
		return
	}
	pause := time.Duration((0.5 + s.rng.Float64()) * float64(min(behind, maxTargetPause)))
	t.pausedUntil = s.now.Add(pause)
}

// maxTargetPause bounds the time for which a slow target gets no more prompts.
const maxTargetPause = 2 * time.Second

func (h *health) open(now time.Time) bool { return now.Before(h.openUntil) }

// defaultPrefillRate is the assumed prefill rate of a target that has told none,
// in tokens per second.
const defaultPrefillRate = 8000

// rate returns the target's prefill rate in tokens per second.
func (t *target) rate() float64 {
	if t.prefillRate > 0 {
		return t.prefillRate
	}
	return defaultPrefillRate
}

// load estimates the requests on the target now, those of other daemons included.
func (t *target) load() int {
	return max(t.inflight, t.reported+t.inflight-t.inflightThen)
}

// rebuildTargets brings the known targets in line with the configuration. Only
// those of the daemon's own region are kept, since no work goes to others.
func (s *State) rebuildTargets() {
	region := s.fleet.DataCentres[s.cfg.DataCentre].Region
	for name, spec := range s.fleet.Targets {
		if s.fleet.DataCentres[spec.DataCentre].Region != region {
			continue
		}
		known := s.targets[name]
		if known == nil || known.spec.Address != spec.Address {
			known = &target{name: name, hash: placer.KeyOf(name), cold: true, cacheLifetime: initialCacheLifetime}
			s.targets[name] = known
		}
		known.spec = spec
		known.local = spec.DataCentre == s.cfg.DataCentre
		known.profile = s.profileOf(spec.Service)
		known.takes = s.mayTake(known)
		known.ramped = false
	}
	for _, t := range s.sortedTargets() {
		spec, ok := s.fleet.Targets[t.name]
		if !ok || s.fleet.DataCentres[spec.DataCentre].Region != region {
			delete(s.targets, t.name)
			s.emit(Believe{Target: t.name})
		}
	}
	s.byService = map[identifier.Service][]*target{}
	for _, t := range s.sortedTargets() {
		s.byService[t.spec.Service] = append(s.byService[t.spec.Service], t)
	}
}

func (s *State) onLoadObserved(ev LoadObserved) {
	t := s.targets[ev.Target]
	if t == nil || ev.Incarnation < t.incarnation {
		return
	}
	before := s.usability(t)
	asOf := s.now.Add(-ev.Age)
	if ev.Incarnation == t.incarnation && asOf.Before(t.heard) {
		return
	}
	if s.learn(ev.Target, ev.Incarnation, ev.Cold) && s.reads(ev.Target) {
		s.shareCold(t)
	}
	t.reported = ev.Running + ev.Queued
	t.reportedQueue = ev.QueuedTokens
	t.inflightThen = t.inflight
	t.pendingThen = t.pendingTokens
	t.heard = asOf
	if ev.PrefillTokensPerSecond > 0 {
		t.prefillRate = ev.PrefillTokensPerSecond
	}
	lacked := t.lacking
	s.checkWeights(t, ev.Loaded)
	after := s.usability(t)
	gained := after.room && !before.room || lacked != t.lacking
	s.quiet = !gained && after.cold == before.cold && after.incarnation == before.incarnation
}

// usability is what decides whether a target can take a queued request.
type usability struct {
	incarnation identifier.Incarnation
	cold        bool
	room        bool
}

func (s *State) usability(t *target) usability {
	return usability{incarnation: t.incarnation, cold: t.cold, room: s.hasRoom(t) && s.mayQueue(t)}
}

// onIncarnationSeen takes in what a target itself told this daemon, and passes
// on that it turned cold.
func (s *State) onIncarnationSeen(name identifier.Target, seen identifier.Incarnation, cold bool) {
	if s.learn(name, seen, cold) {
		s.shareCold(s.targets[name])
	}
}

// learn makes a target cold as soon as a new incarnation is seen, and starts its
// ramp when the incarnation says that it is warm. It reports whether the target
// turned cold or changed its incarnation. What peers told is not shared again, so
// that an old report can't go round among them.
func (s *State) learn(name identifier.Target, seen identifier.Incarnation, cold bool) bool {
	t := s.targets[name]
	if t == nil || seen < t.incarnation || seen == 0 {
		return false
	}
	news := false
	if seen > t.incarnation {
		news = t.incarnation != 0
		s.renew(t, seen)
	}
	if cold && !t.cold {
		t.cold = true
		news = true
	}
	if !cold && t.cold {
		t.cold = false
		t.warmSince = s.now
		t.ramped = false
	}
	return news
}

// shareCold tells the peers that t is cold.
func (s *State) shareCold(t *target) {
	s.emit(ShareLoad{Load: LoadObserved{Target: t.name, Incarnation: t.incarnation, Cold: true}})
}

// reads reports whether this daemon reads the target's load itself.
func (s *State) reads(name identifier.Target) bool {
	return slices.ContainsFunc(s.read, func(r TargetAddress) bool { return r.Target == name })
}

// renew forgets what was known of a target's earlier incarnation.
func (s *State) renew(t *target, seen identifier.Incarnation) {
	t.incarnation = seen
	t.cold = true
	t.reported, t.reportedQueue, t.inflightThen = 0, 0, t.inflight
	t.heard = time.Time{}
	t.health = health{}
	s.endPermits(t)
	s.emit(Believe{Target: t.name, Incarnation: seen})
}

func (s *State) onTargetUnreachable(ev TargetUnreachable) {
	if t := s.targets[ev.Target]; t != nil {
		t.failed(s.now)
	}
}

// limit returns how many requests t may run now, by this daemon's knowledge.
func (s *State) limit(t *target) int {
	if t.cold {
		return t.spec.ColdLimit
	}
	if t.ramped {
		return t.spec.WarmLimit
	}
	steps, stepTime := t.profile.RampSteps, t.profile.RampStepTime.Duration
	if steps <= 0 || stepTime <= 0 {
		return t.spec.WarmLimit
	}
	step := min(steps, 1+int(s.now.Sub(t.warmSince)/stepTime))
	t.ramped = step == steps
	return t.spec.ColdLimit + (t.spec.WarmLimit-t.spec.ColdLimit)*step/steps
}

// hasRoom reports whether this daemon may send t one more request. A cold target
// is used by its owner only, or by leave of its owner. During the ramp the
// daemons of the data centre divide the limit evenly.
func (s *State) hasRoom(t *target) bool {
	if t.cold {
		return s.coldRoom(t)
	}
	limit := s.limit(t)
	if limit < t.spec.WarmLimit && t.inflight*len(s.hosts) >= limit+len(s.hosts)-1 {
		return false
	}
	return t.incarnation != 0 && t.load() < limit
}
