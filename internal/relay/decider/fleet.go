package decider

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// minProbeBackoff and maxProbeBackoff limit the back-off between probes of a target that is
	// down.
	minProbeBackoff = 150 * time.Millisecond
	maxProbeBackoff = time.Second
	// coldAfterDown is how long a target that was unreachable counts as cold. By then its next
	// heartbeat has reported whether it is.
	coldAfterDown = 1300 * time.Millisecond
	// revokeMargin is subtracted from RevokeAfter, so that a revoked key is out of use in time.
	revokeMargin = 700 * time.Millisecond
	// maxColdSenders is how many hosts send to one cold target. Each may save up one request
	// beyond the rate, and the platform allows five.
	maxColdSenders = 5
	// departedRetention is how long hosts that are cut off from the platform may keep using a
	// target that left the list. Until then its weights count.
	departedRetention = 10 * time.Second
	// departureMemory is how long a target that left the list is remembered. It exceeds the age
	// of a copy to which the platform's store goes back, and the outage before.
	departureMemory = time.Minute
	// copiedEntryGrace is how long a target that had left or was draining isn't used when a copy
	// lists it as ready. By then it has written again, or its entry has lapsed, which takes three
	// of its heartbeats.
	copiedEntryGrace = 5 * time.Second
	// lostEvacuationGrace is how long a data centre stays out of use after the platform's store
	// went back to a copy that doesn't list it. By then operators have written its entry again.
	lostEvacuationGrace = 5 * time.Second
	// rewriteTime is how long operators need to write again what the platform's store lost when
	// it went back to a copy.
	rewriteTime = 2 * time.Second
	// lostConfigGrace is how long a configuration that the store lost is expected to be written
	// again.
	lostConfigGrace = 10 * time.Second
	// weightsDeadlineMargin is subtracted from WeightsWithin. It covers the queueing time of a
	// request at its engine.
	weightsDeadlineMargin = time.Second
	// maxConfigAgeToDeny is the greatest age of the configuration at which a route or key is
	// refused permanently: within this time, a new version must be in force.
	maxConfigAgeToDeny = 2 * time.Second
)

// fleet holds the configuration and what is known of the targets.
type fleet struct {
	config *descriptor.Config
	// configConfirmedAt is the latest time at which the configuration was known to be the
	// newest.
	configConfirmedAt time.Time
	// configAnsweredAt is the same by the platform's answers to this host only.
	configAnsweredAt time.Time
	// configRefreshAt is when this host last asked for a newer configuration that a peer has.
	configRefreshAt time.Time
	// peerConfig is the highest version that a peer announced, last at peerConfigAt.
	peerConfig   int64
	peerConfigAt time.Time
	// listedConfigVersion is the version that the platform's store listed last. It is older than
	// the one in force if the store went back to a copy and lost that one.
	listedConfigVersion int64
	// configEra is the store's era at the last confirmation, and configEraAt when this host
	// learned of it; zero for the era at its start.
	configEra   int64
	configEraAt time.Time
	targets     map[string]*target
	// downTargets are those that don't answer.
	downTargets map[string]*target
	// byService lists the targets of each service, sorted by ID.
	byService map[string][]*target
	// evacuatedDataCentres maps the data centres that are out of use to the time until which
	// they are, or zero as long as they are listed.
	evacuatedDataCentres map[string]time.Time
	// evacuationsEra is the era of the platform's store in which they were last listed.
	evacuationsEra int64
	// targetsEra is the era of the platform's store in which the targets were last listed.
	targetsEra int64
	// departed holds the targets that recently left the list.
	departed map[string]departure
	// meanServiceTime is the mean service time of each plain service, in seconds.
	meanServiceTime map[string]float64
}

// departure records a target that left the list.
type departure struct {
	at time.Time
	// era is the era of the platform's store at that time.
	era       int64
	startedAt time.Time
	weights   map[string]int
}

// targetLoad is the load on a target from one or several hosts.
type targetLoad struct {
	// Requests counts requests, PrefillTokens the prompt tokens still to prefill, and
	// MemoryTokens the tokens that occupy cache memory.
	Requests      int `cbor:"1,keyasint,omitempty"`
	PrefillTokens int `cbor:"2,keyasint,omitempty"`
	MemoryTokens  int `cbor:"3,keyasint,omitempty"`
	// Pinned counts the requests that couldn't resume at another target if interrupted.
	Pinned int `cbor:"4,keyasint,omitempty"`
	// WorkMicros is the expected work of plain requests in microseconds, at targets of services that state
	// the pace of their machines.
	WorkMicros int `cbor:"5,keyasint,omitempty"`
}

func (l *targetLoad) add(o targetLoad, sign int) {
	l.Requests += sign * o.Requests
	l.PrefillTokens += sign * o.PrefillTokens
	l.MemoryTokens += sign * o.MemoryTokens
	l.Pinned += sign * o.Pinned
	l.WorkMicros += sign * o.WorkMicros
}

func (l targetLoad) dividedBy(n int) targetLoad {
	return targetLoad{Requests: l.Requests / n, PrefillTokens: l.PrefillTokens / n, MemoryTokens: l.MemoryTokens / n, Pinned: l.Pinned / n, WorkMicros: l.WorkMicros / n}
}

// target holds the state of a target as known to this host.
type target struct {
	descriptor.Target
	service *descriptor.Service
	// release is what the target's version is to its service.
	release release
	// ownLoad is the load from this host's requests, peerLoad that from its peers.
	ownLoad, peerLoad targetLoad
	coldUntil         time.Time
	// coldAllowance is the token bucket of requests that this host may send while the target is
	// cold, as of coldAllowanceAt.
	coldAllowance   float64
	coldAllowanceAt time.Time
	// down is true while the target doesn't answer; nextProbeAt is the time of the next probe.
	down        bool
	downCount   int
	nextProbeAt time.Time
	// lastAnsweredAt is when the target last answered this host.
	lastAnsweredAt time.Time
	// missingUntil is the time until which the target stays in use although its entry lapsed, or
	// zero.
	missingUntil time.Time
	// weightsUnknown is true when the target's weights must be read before it is used again.
	weightsUnknown bool
	// weightsChangedAt is when this host last learned of new weights of the target.
	weightsChangedAt time.Time
	// pausedUntil is the time until which the target gets no requests after it refused one, as
	// engines do while they change weights: that of its Retry-After, if it gave any.
	pausedUntil time.Time
	// entryEra is the era of the platform's store in which the target was last listed.
	entryEra int64
	// copiedUntil is the time until which the target isn't used because only a copy to which the
	// store went back says that it is in use.
	copiedUntil time.Time
	// failureRate is the moving average of failed attempts at the target, between 0 and 1.
	failureRate float64
}

func newFleet() fleet {
	return fleet{
		targets: map[string]*target{}, downTargets: map[string]*target{}, byService: map[string][]*target{}, evacuatedDataCentres: map[string]time.Time{},
		departed: map[string]departure{}, meanServiceTime: map[string]float64{},
	}
}

func (s *State) onConfigListed(ev ConfigListed) {
	s.listedConfigVersion = ev.Config.Version
	if s.config != nil && ev.Config.Version < s.config.Version {
		s.log("old configuration ignored", "", "version", ev.Config.Version, "in-force", s.config.Version)
		return
	}
	if s.config == nil || ev.Config.Version > s.config.Version {
		before := s.config
		s.config = ev.Config
		s.updateStores()
		s.updateScopes(before)
		for _, t := range s.targets {
			t.service = s.config.Services[t.Service]
		}
		s.log("configuration in force", "", "version", ev.Config.Version, "routes", len(ev.Config.Routes), "services", len(ev.Config.Services))
	}
}

// onConfigConfirmed ignores confirmations of a store that may lack configurations because it went
// back to a copy.
func (s *State) onConfigConfirmed(ev ConfigConfirmed) {
	if ev.Era != s.configEra {
		s.configEra = ev.Era
		if s.config != nil && !s.configConfirmedAt.IsZero() {
			s.configEraAt = s.now
			s.log("configuration may be lost", "", "era", ev.Era, "in-force", s.config.Version, "listed", s.listedConfigVersion)
		}
	}
	grace := rewriteTime
	if s.config != nil && s.listedConfigVersion < s.config.Version {
		grace = lostConfigGrace
	}
	if ev.AsOf.Sub(s.configEraAt) < grace {
		return
	}
	switch {
	case !ev.FromPeer:
		s.configAnsweredAt = latest(s.configAnsweredAt, ev.AsOf)
		s.confirmConfig(ev.AsOf)
	case s.messageAgesReliable(ev.ReceivedAt):
		s.confirmConfig(ev.AsOf)
	}
}

// configIsUnconfirmed reports whether the configuration may have been replaced longer ago than hosts may use it.
func (s *State) configIsUnconfirmed() bool {
	return s.now.Sub(s.configConfirmedAt) > s.cfg.RevokeAfter-revokeMargin
}

func (s *State) confirmConfig(asOf time.Time) {
	s.configConfirmedAt = latest(s.configConfirmedAt, asOf)
}

func (s *State) onTargetsListed(ev TargetsListed) {
	s.targetsEra = ev.Era
	for i := range ev.Targets {
		s.updateTarget(&ev.Targets[i], ev.Whole)
	}
	for _, id := range ev.Removed {
		s.onTargetRemoved(id, ev.ReturnUntil)
	}
	if ev.Whole {
		s.removeUnlisted(ev)
	}
	s.indexTargets()
}

// updateTarget adds or updates a target. Its entry is a new one unless it is from a list.
func (s *State) updateTarget(listed *descriptor.Target, fromList bool) {
	desc := s.withNotice(listed)
	t := s.targets[desc.ID]
	switch {
	case t == nil:
		s.confirmReplaced(desc.ID, desc.Address)
		t = &target{Target: *desc}
		s.targets[desc.ID] = t
		if s.hadLeft(desc) {
			s.holdBack(t, "it had left")
		}
		s.addKnownPeerLoad(t)
		s.log("target added", "", "target", desc.ID, "service", desc.Service, "address", desc.Address, "data-centre", desc.DataCentre, "cold", desc.ColdFor, "draining", desc.Draining)
	case desc.StartedAt.Before(t.StartedAt):
		return
	case !t.EqualExceptCold(desc):
		if s.wasDraining(t, desc) {
			s.holdBack(t, "it was draining")
		}
		s.log("target changed", "", "target", desc.ID, "draining", desc.Draining, "cold", desc.ColdFor, "restarted", desc.StartedAt.After(t.StartedAt), "weights", desc.Weights)
		s.mergeTarget(t, desc)
	}
	t.missingUntil = time.Time{}
	t.entryEra = s.targetsEra
	if !fromList {
		t.copiedUntil = time.Time{}
	}
	t.pausedUntil = latest(t.pausedUntil, s.noticeOf(t.ID, t.StartedAt).pausedUntil)
	t.weightsUnknown = t.weightsUnknown && len(desc.Weights) == 0
	if desc.ColdFor > 0 {
		t.coldUntil = s.now.Add(desc.ColdFor)
	}
	if s.config != nil {
		t.service = s.config.Services[t.Service]
	}
}

// holdBack keeps t out of use for a while because only the copy to which the platform's store went
// back says that it is in use. If it is, it stays listed or writes again.
func (s *State) holdBack(t *target, reason string) {
	t.copiedUntil = s.now.Add(copiedEntryGrace)
	s.log("target held back", "", "target", t.ID, "why", reason, "era", s.targetsEra)
}

// hadLeft reports whether the process of desc left before the store went back to the copy that
// lists it.
func (s *State) hadLeft(desc *descriptor.Target) bool {
	d, ok := s.departed[desc.ID]
	return ok && d.era < s.targetsEra && !desc.StartedAt.After(d.startedAt)
}

// wasDraining reports whether the process of desc drained before the store went back to the copy in
// which it is ready.
func (s *State) wasDraining(t *target, desc *descriptor.Target) bool {
	return t.Draining && !desc.Draining && t.entryEra < s.targetsEra && desc.StartedAt.Equal(t.StartedAt)
}

// mergeTarget replaces the description of t with another one. A running process never goes back
// to older weights, so a lower version in desc is stale and is ignored.
func (s *State) mergeTarget(t *target, desc *descriptor.Target) {
	weights := maps.Clone(desc.Weights)
	if desc.StartedAt.Equal(t.StartedAt) {
		for model, version := range t.Weights {
			if weights == nil {
				weights = map[string]int{}
			}
			weights[model] = max(weights[model], version)
		}
	} else {
		s.confirmCrash(t.ID)
		s.setDown(t, false)
		t.downCount, t.failureRate = 0, 0
		s.estimator.Forget(t.ID)
		t.pausedUntil = time.Time{}
	}
	t.Target = *desc
	t.Weights = weights
}

func (s *State) removeUnlisted(ev TargetsListed) {
	present := make(map[string]bool, len(ev.Targets))
	for i := range ev.Targets {
		present[ev.Targets[i].ID] = true
	}
	for id := range s.targets {
		if !present[id] {
			s.onTargetRemoved(id, ev.ReturnUntil)
		}
	}
}

// onTargetRemoved removes a target that is not in the list any more. After an outage it does so
// only if the target is still missing at returnUntil.
func (s *State) onTargetRemoved(id string, returnUntil time.Time) {
	if !s.now.Before(returnUntil) {
		s.removeTarget(id, "removed from the list")
		return
	}
	if t := s.targets[id]; t != nil && t.missingUntil.IsZero() {
		t.missingUntil = returnUntil
		s.log("target missing after an outage", "", "target", id, "for", returnUntil.Sub(s.now))
	}
}

// graceEnded reports whether t didn't return after an outage in time.
func (s *State) graceEnded(t *target) bool {
	return !t.missingUntil.IsZero() && !s.now.Before(t.missingUntil)
}

// expireMissing removes the targets that didn't return after an outage.
func (s *State) expireMissing() {
	for id, t := range s.targets {
		if s.graceEnded(t) {
			s.removeTarget(id, "missing after an outage")
			s.indexTargets()
		}
	}
}

func (s *State) removeTarget(id, reason string) {
	t := s.targets[id]
	if t == nil {
		return
	}
	delete(s.targets, id)
	delete(s.downTargets, id)
	s.estimator.Forget(id)
	s.departed[id] = departure{s.now, s.targetsEra, t.StartedAt, t.Weights}
	delete(s.updates, id)
	if t.Draining {
		delete(s.unproven, id) // It has completed its answers before it ended.
	}
	s.confirmCrash(id)
	s.expireNotices()
	s.log("target removed", "", "target", id, "why", reason)
}

func (s *State) indexTargets() {
	clear(s.byService)
	for _, t := range s.targets {
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *target) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	s.updateVersions()
	s.computePartition()
}

// onEvacuationsListed keeps data centres out of use for a while if they are missing only from the
// copy to which the platform's store went back.
func (s *State) onEvacuationsListed(ev EvacuationsListed) {
	wentBack := ev.Era != s.evacuationsEra
	s.evacuationsEra = ev.Era
	before := s.evacuatedDataCentres
	s.evacuatedDataCentres = map[string]time.Time{}
	for dc, until := range before {
		if wentBack {
			until = s.now.Add(lostEvacuationGrace)
		}
		if until.After(s.now) {
			s.evacuatedDataCentres[dc] = until
		}
	}
	for _, dc := range ev.DataCentres {
		s.evacuatedDataCentres[dc] = time.Time{}
	}
	s.log("data centres out", "", "data-centres", ev.DataCentres, "unlisted", len(s.evacuatedDataCentres)-len(ev.DataCentres))
}

// isEvacuated reports whether a data centre is out of use.
func (s *State) isEvacuated(dc string) bool {
	until, ok := s.evacuatedDataCentres[dc]
	return ok && (until.IsZero() || s.now.Before(until))
}

// usable reports whether t may receive r now, or as soon as this host has got a permit.
func (s *State) usable(t *target, r *request) bool {
	return s.mayGetPermit(t) && s.usableWithPermit(t, r)
}

// usableWithPermit is like usable for a host that has all permits.
func (s *State) usableWithPermit(t *target, r *request) bool {
	switch {
	case !s.eligible(t, r), t.down, t.weightsUnknown, r.tried[t.ID]:
		return false
	case s.now.Before(t.pausedUntil), s.now.Before(t.copiedUntil), s.graceEnded(t):
		return false
	case s.isUpdating(t), r.prompt != nil && s.weightsExpired(t, r.prompt.Model):
		return false
	case t.service.MaxConnections > 0 && t.ownLoad.Requests >= s.connectionShare(t.service):
		return false
	}
	return !s.isCold(t) || s.mayUseColdTarget(t)
}

// connectionShare returns how many connections to one target this host may use.
func (s *State) connectionShare(svc *descriptor.Service) int {
	const spare = 0.9 // Connections of hosts that have left are closed late.
	return max(1, int(spare*float64(svc.MaxConnections)/float64(s.hostCount())))
}

func (s *State) isCold(t *target) bool { return t.service.ColdRate > 0 && s.now.Before(t.coldUntil) }

// mayUseColdTarget reports whether this host may send a request to the cold target t. A few
// hosts share the rate equally and may each save up one request, so that the requests of all
// hosts stay within the target's limit.
func (s *State) mayUseColdTarget(t *target) bool {
	if s.rankFor(t.ID) >= maxColdSenders {
		return false
	}
	rate := t.service.ColdRate / float64(min(maxColdSenders, s.hostCount()))
	if s.now.After(t.coldAllowanceAt) {
		t.coldAllowance = min(1, t.coldAllowance+rate*s.now.Sub(t.coldAllowanceAt).Seconds())
		t.coldAllowanceAt = s.now
	}
	return t.coldAllowance >= 1
}

// observeWeights records the version that t itself reported. Older versions are stale.
func (s *State) observeWeights(t *target, model string, version int) {
	if version == 0 || model == "" || version <= t.Weights[model] {
		return
	}
	if t.Weights == nil {
		t.Weights = map[string]int{}
	}
	t.Weights[model], t.weightsChangedAt = version, s.now
	s.log("target has new weights", "", "target", t.ID, "model", model, "version", version)
	s.passOn()
}

// markDown takes t out of use until it answers a probe.
func (s *State) markDown(t *target, reason string) {
	if t.down {
		return
	}
	s.setDown(t, true)
	t.downCount++
	t.nextProbeAt = s.now.Add(min(maxProbeBackoff, minProbeBackoff<<min(t.downCount-1, 4)))
	s.log("target down", "", "target", t.ID, "why", reason, "downs", t.downCount)
	s.confirmCrash(t.ID)
	s.broadcast()
}

// probeDownTargets probes the targets that are down and due. One that wants no requests for a
// while gets no probe either.
func (s *State) probeDownTargets() {
	for _, t := range s.downTargets {
		if s.now.Before(t.nextProbeAt) || s.now.Before(t.pausedUntil) {
			continue
		}
		path := t.probePath()
		if path != "" && !s.takePermitForProbe(t) {
			continue
		}
		t.nextProbeAt = s.now.Add(maxProbeBackoff)
		s.emit(Probe{Target: t.ID, StartedAt: t.StartedAt, Address: t.Address, Path: path})
	}
}

// probePath returns the path of health checks, or "" for an engine, whose report is read.
func (t *target) probePath() string {
	if t.service == nil || t.service.Engine != nil {
		return ""
	}
	return t.service.HealthPath
}

func (s *State) onProbeAnswered(ev ProbeAnswered) {
	t := s.targets[ev.Target]
	if ev.Alive && t != nil {
		s.proveAnswers(t, s.now)
	}
	if s.onSuspectProbed(ev) {
		return
	}
	if t == nil || !t.down {
		return
	}
	if !ev.Alive {
		t.downCount++
		t.nextProbeAt = s.now.Add(min(maxProbeBackoff, minProbeBackoff<<min(t.downCount-1, 4)))
		return
	}
	s.setDown(t, false)
	t.lastAnsweredAt = s.now
	t.coldUntil = latest(t.coldUntil, s.now.Add(coldAfterDown))
	s.log("target up", "", "target", t.ID, "downs", t.downCount)
}

// setDown records whether t is down.
func (s *State) setDown(t *target, down bool) {
	t.down = down
	if down {
		s.downTargets[t.ID] = t
	} else {
		delete(s.downTargets, t.ID)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
