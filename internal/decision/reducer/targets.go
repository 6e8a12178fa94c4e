package reducer

import (
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// target is the state of one target as this daemon sees it.
type target struct {
	name identifier.Target
	// hash is the hash of name for rendezvous hashing.
	hash placer.Key
	spec specifier.Target
	// local is true for a target of this daemon's data centre.
	local bool
	// acceptsWork is true while operators and the membership list allow new work on it.
	acceptsWork bool
	profile     *specifier.Profile

	// incarnation is 0 until it is first observed.
	incarnation identifier.Incarnation
	cold        bool
	// warmSince is when this daemon first observed the incarnation to be warm.
	warmSince time.Time
	// ramped is true once the ramp-up that began at warmSince is complete.
	ramped bool

	// reportedLoad is the number of running and queued requests in the last load
	// report, reportedQueueTokens its number of queued tokens, and inflightAtReport the
	// value of inflight when the report was applied.
	reportedLoad int
	// reportedQueued is the part of reportedLoad that was queued.
	reportedQueued      int
	reportedQueueTokens int
	inflightAtReport    int
	// observedAt is when the state was last reported or put in doubt. Older reports of
	// the same incarnation are ignored.
	observedAt  time.Time
	prefillRate float64

	// inflight counts this daemon's requests on the target, including imports.
	inflight int
	// permitPending is true while a permit call to the owner is unanswered, and
	// permitRetryAt is the earliest time for the next one.
	permitPending bool
	permitRetryAt time.Time
	// pausedUntil is when this daemon may send prompts to the target again, after
	// the target started one much later than expected.
	pausedUntil time.Time
	// pendingTokens counts the tokens of this daemon's requests that wait for prefill.
	pendingTokens int
	// pendingAtReport is the value of pendingTokens at the last load report, whose queue
	// includes these tokens.
	pendingAtReport int
	// cached is the number of leading blocks of a request that the target is expected
	// to hold, as counted for the request with the sequence number cachedFor.
	// cachedSince is when the target last used them.
	cached      int
	cachedFor   uint64
	cachedSince time.Time
	// missingVersion is the weight version for which the target refused a request.
	// Prompts of that version are not sent to it before missingUntil.
	missingVersion identifier.WeightVersion
	missingUntil   time.Time
	// cacheLifetime is the estimated time for which the target keeps a block cached.
	cacheLifetime time.Duration

	breaker
}

// breaker is the circuit breaker of one target.
type breaker struct {
	failures int
	// openUntil is when the target may be tried again.
	openUntil time.Time
}

const (
	// breakerFailures is the number of consecutive failures that opens the breaker.
	breakerFailures = 3
	// breakerBase is how long the breaker stays open at first. Each further failure
	// doubles it.
	breakerBase = 500 * time.Millisecond
	// maxBreakerWait is the upper bound of that time.
	maxBreakerWait = 8 * time.Second
)

func (b *breaker) recordSuccess() { *b = breaker{} }

// recordFailure counts a failure. Failures while the breaker is open are ignored,
// because they belong to attempts that started before it opened.
func (b *breaker) recordFailure(now time.Time) {
	if b.open(now) {
		return
	}
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	wait := breakerBase << min(b.failures-breakerFailures, 5)
	b.openUntil = now.Add(min(wait, maxBreakerWait))
}

// pausePrompts pauses new prompts to t for a random time around its delay. Daemons don't
// see each other's prompts between two load reports and can build up a long queue
// together; the pause lets it drain.
func (s *State) pausePrompts(t *target, delay time.Duration) {
	if delay <= maxTargetWait {
		return
	}
	pause := time.Duration((0.5 + s.rng.Float64()) * float64(min(delay, maxTargetPause)))
	t.pausedUntil = s.now.Add(pause)
}

// maxTargetPause is the longest delay that pausePrompts bases a pause on.
const maxTargetPause = 2 * time.Second

func (b *breaker) open(now time.Time) bool { return now.Before(b.openUntil) }

// defaultPrefillRate is the assumed prefill rate of a target that has not reported
// one, in tokens per second.
const defaultPrefillRate = 8000

// rate returns the target's prefill rate in tokens per second.
func (t *target) rate() float64 {
	if t.prefillRate > 0 {
		return t.prefillRate
	}
	return defaultPrefillRate
}

// load estimates the current number of requests on the target, including those of
// other daemons.
func (t *target) load() int {
	return max(t.inflight, t.reportedLoad+t.inflight-t.inflightAtReport)
}

// rebuildTargets updates the targets from the configuration. It keeps only those of
// the daemon's own region, since requests are never sent to other regions.
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
		known.acceptsWork = s.shouldAcceptWork(known)
		known.ramped = false
	}
	for _, t := range s.sortedTargets() {
		spec, ok := s.fleet.Targets[t.name]
		if !ok || s.fleet.DataCentres[spec.DataCentre].Region != region {
			delete(s.targets, t.name)
			s.emit(ExpectIncarnation{Target: t.name})
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
	if ev.Incarnation == t.incarnation && asOf.Before(t.observedAt) {
		return
	}
	if s.updateIncarnation(ev.Target, ev.Incarnation, ev.Cold) && s.readsLoadOf(ev.Target) {
		s.announceCold(t)
	}
	t.reportedLoad, t.reportedQueued = ev.Running+ev.Queued, ev.Queued
	t.reportedQueueTokens = ev.QueuedTokens
	t.inflightAtReport = t.inflight
	t.pendingAtReport = t.pendingTokens
	t.observedAt = asOf
	if ev.PrefillTokensPerSecond > 0 {
		t.prefillRate = ev.PrefillTokensPerSecond
	}
	missingBefore := t.missingVersion
	s.checkWeights(t, ev.Loaded)
	after := s.usability(t)
	gained := after.hasCapacity && !before.hasCapacity || missingBefore != t.missingVersion
	s.skipDispatch = !gained && after.cold == before.cold && after.incarnation == before.incarnation
}

// usability is the part of a target's state that decides whether it can take a
// queued request.
type usability struct {
	incarnation identifier.Incarnation
	cold        bool
	hasCapacity bool
}

func (s *State) usability(t *target) usability {
	return usability{incarnation: t.incarnation, cold: t.cold, hasCapacity: s.hasCapacity(t) && s.mayQueue(t)}
}

// onIncarnationObserved applies a state that this daemon observed at the target itself,
// and announces it to the peers if the target turned cold.
func (s *State) onIncarnationObserved(name identifier.Target, incarnation identifier.Incarnation, cold bool) {
	if s.updateIncarnation(name, incarnation, cold) {
		s.announceCold(s.targets[name])
	}
}

// updateIncarnation marks a target as cold when a new incarnation is observed, and
// starts its ramp-up when the incarnation is reported to be warm. It returns true if
// the target turned cold or replaced a known incarnation. It does not announce the
// change itself: forwarding reports of peers would let an old report circulate among them.
func (s *State) updateIncarnation(name identifier.Target, incarnation identifier.Incarnation, cold bool) bool {
	t := s.targets[name]
	if t == nil || incarnation < t.incarnation || incarnation == 0 {
		return false
	}
	changed := false
	if incarnation > t.incarnation {
		changed = t.incarnation != 0
		s.resetIncarnation(t, incarnation)
	}
	if cold && !t.cold {
		t.cold = true
		changed = true
	}
	if !cold && t.cold {
		t.cold = false
		t.warmSince = s.now
		t.ramped = false
	}
	return changed
}

// announceCold announces to the peers that t is cold.
func (s *State) announceCold(t *target) {
	s.emit(ShareLoad{Load: LoadObserved{Target: t.name, Incarnation: t.incarnation, Cold: true}})
}

// readsLoadOf reports whether this daemon polls the target's load itself.
func (s *State) readsLoadOf(name identifier.Target) bool {
	return slices.ContainsFunc(s.readTargets, func(r TargetAddress) bool { return r.Target == name })
}

// resetIncarnation discards the state of a target's earlier incarnation.
func (s *State) resetIncarnation(t *target, incarnation identifier.Incarnation) {
	if t.incarnation != 0 {
		s.confirmCrash(t.name)
	}
	t.incarnation = incarnation
	t.cold = true
	t.reportedLoad, t.reportedQueued, t.reportedQueueTokens, t.inflightAtReport = 0, 0, 0, t.inflight
	t.observedAt = time.Time{}
	t.breaker = breaker{}
	s.dropStalePermits(t)
	s.emit(ExpectIncarnation{Target: t.name, Incarnation: incarnation})
}

func (s *State) onTargetUnreachable(ev TargetUnreachable) {
	if t := s.targets[ev.Target]; t != nil {
		t.recordFailure(s.now)
	}
}

// limit returns how many requests t may currently run: its cold limit, its warm
// limit, or a value between them during the ramp-up.
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

// hasCapacity reports whether this daemon may send t one more request. A cold target
// may be used only by its owner, or with a permit from it. During the ramp-up the
// daemons of the data centre divide the limit evenly.
func (s *State) hasCapacity(t *target) bool {
	if t.cold {
		return s.hasColdCapacity(t)
	}
	limit := s.limit(t)
	if limit < t.spec.WarmLimit && t.inflight*len(s.localHosts) >= limit+len(s.localHosts)-1 {
		return false
	}
	return t.incarnation != 0 && t.load() < limit
}
