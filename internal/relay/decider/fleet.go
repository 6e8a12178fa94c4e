package decider

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// missingGrace is how long a target that is missing from the list after a gap in the
	// changes stays in use: entries that lapsed in an outage return within two seconds on this
	// platform.
	missingGrace = 2 * time.Second
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
	// target that left the list.
	departedRetention = 10 * time.Second
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
	targets           map[string]*target
	// byService lists the targets of each service, sorted by ID.
	byService            map[string][]*target
	evacuatedDataCentres map[string]bool
	// departed holds the weights of targets that recently left the list.
	departed map[string]departure
	// meanServiceTime is the mean service time of each plain service, in seconds.
	meanServiceTime map[string]float64
}

// departure records the weights of a target that left the list, and until when they count.
type departure struct {
	weights map[string]int
	until   time.Time
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
}

func (l *targetLoad) add(o targetLoad, sign int) {
	l.Requests += sign * o.Requests
	l.PrefillTokens += sign * o.PrefillTokens
	l.MemoryTokens += sign * o.MemoryTokens
	l.Pinned += sign * o.Pinned
}

// target holds the state of a target as known to this host.
type target struct {
	descriptor.Target
	service *descriptor.Service
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
	// missingSince is when the target was first missing from a complete list, or zero.
	missingSince time.Time
	// weightsUnknown is true when the target's weights must be read before it is used again.
	weightsUnknown bool
	// weightsChangedAt is when this host last learned of new weights of the target.
	weightsChangedAt time.Time
	// pausedUntil is the time until which the target gets no requests after it refused one, as
	// engines do while they change weights: that of its Retry-After, if it gave any.
	pausedUntil time.Time
	// failureRate is the moving average of failed attempts at the target, between 0 and 1.
	failureRate float64
}

func newFleet() fleet {
	return fleet{
		targets: map[string]*target{}, byService: map[string][]*target{}, evacuatedDataCentres: map[string]bool{},
		departed: map[string]departure{}, meanServiceTime: map[string]float64{},
	}
}

func (s *State) onConfigListed(ev ConfigListed) {
	if s.config != nil && ev.Config.Version < s.config.Version {
		s.log("old configuration ignored", "", "version", ev.Config.Version, "in-force", s.config.Version)
		return
	}
	if s.config == nil || ev.Config.Version > s.config.Version {
		s.config = ev.Config
		s.updateStores()
		for _, t := range s.targets {
			t.service = s.config.Services[t.Service]
		}
		s.log("configuration in force", "", "version", ev.Config.Version, "routes", len(ev.Config.Routes), "services", len(ev.Config.Services))
	}
}

func (s *State) onConfigConfirmed(ev ConfigConfirmed) {
	if !ev.FromPeer || s.messageAgesReliable() {
		s.confirmConfig(ev.AsOf)
	}
}

func (s *State) confirmConfig(asOf time.Time) {
	if asOf.After(s.configConfirmedAt) {
		s.configConfirmedAt = asOf
	}
}

func (s *State) onTargetsListed(ev TargetsListed) {
	for i := range ev.Targets {
		s.updateTarget(&ev.Targets[i])
	}
	for _, id := range ev.Removed {
		if ev.AfterOutage {
			s.markMissing(id)
		} else {
			s.removeTarget(id, "removed from the list")
		}
	}
	if ev.Whole {
		s.markUnlistedMissing(ev.Targets)
	}
	s.indexTargets()
}

func (s *State) updateTarget(listed *descriptor.Target) {
	desc := s.withNotice(listed)
	t := s.targets[desc.ID]
	switch {
	case t == nil:
		t = &target{Target: *desc}
		s.targets[desc.ID] = t
		for _, p := range s.peerByHost {
			t.peerLoad.add(p.loads[desc.ID], 1)
		}
		s.log("target added", "", "target", desc.ID, "service", desc.Service, "address", desc.Address, "data-centre", desc.DataCentre, "cold", desc.ColdFor, "draining", desc.Draining)
	case desc.StartedAt.Before(t.StartedAt):
		return
	case !t.EqualExceptCold(desc):
		s.log("target changed", "", "target", desc.ID, "draining", desc.Draining, "cold", desc.ColdFor, "restarted", desc.StartedAt.After(t.StartedAt), "weights", desc.Weights)
		s.mergeTarget(t, desc)
	}
	t.missingSince = time.Time{}
	t.pausedUntil = latest(t.pausedUntil, s.noticeOf(t.ID, t.StartedAt).pausedUntil)
	t.weightsUnknown = t.weightsUnknown && len(desc.Weights) == 0
	if desc.ColdFor > 0 {
		t.coldUntil = s.now.Add(desc.ColdFor)
	}
	if s.config != nil {
		t.service = s.config.Services[t.Service]
	}
}

// mergeTarget replaces the description of t with a newer one. A running process never goes back
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
		t.down, t.downCount, t.failureRate = false, 0, 0
		t.pausedUntil = time.Time{}
	}
	t.Target = *desc
	t.Weights = weights
}

func (s *State) markUnlistedMissing(listed []descriptor.Target) {
	present := make(map[string]bool, len(listed))
	for i := range listed {
		present[listed[i].ID] = true
	}
	for id := range s.targets {
		if !present[id] {
			s.markMissing(id)
		}
	}
}

// markMissing starts the grace period after which a missing target is removed.
func (s *State) markMissing(id string) {
	if t := s.targets[id]; t != nil && t.missingSince.IsZero() {
		t.missingSince = s.now
		s.log("target missing after a gap", "", "target", id)
	}
}

// expireMissing removes the targets whose grace period is over.
func (s *State) expireMissing() {
	for id, t := range s.targets {
		if !t.missingSince.IsZero() && s.now.Sub(t.missingSince) > missingGrace {
			s.removeTarget(id, "missing after a gap")
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
	s.departed[id] = departure{t.Weights, s.now.Add(departedRetention)}
	delete(s.updates, id)
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
	s.computePartition()
}

func (s *State) onEvacuationsListed(ev EvacuationsListed) {
	clear(s.evacuatedDataCentres)
	for _, dc := range ev.DataCentres {
		s.evacuatedDataCentres[dc] = true
	}
	s.log("data centres out", "", "data-centres", ev.DataCentres)
}

// eligible reports whether t may receive requests like r while it works and has room.
func (s *State) eligible(t *target, r *request) bool {
	if t.Draining || t.service == nil || s.evacuatedDataCentres[t.DataCentre] {
		return false
	}
	return len(r.route.Regions) == 0 || slices.Contains(r.route.Regions, s.cfg.Regions[t.DataCentre])
}

// usable reports whether t may receive r now.
func (s *State) usable(t *target, r *request) bool {
	switch {
	case !s.eligible(t, r), t.down, t.weightsUnknown, r.tried[t.ID]:
		return false
	case s.now.Before(t.pausedUntil), s.isUpdating(t), r.prompt != nil && s.weightsExpired(t, r.prompt.Model):
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
}

// markDown takes t out of use until it answers a probe.
func (s *State) markDown(t *target, reason string) {
	if t.down {
		return
	}
	t.down = true
	t.downCount++
	t.nextProbeAt = s.now.Add(min(maxProbeBackoff, minProbeBackoff<<min(t.downCount-1, 4)))
	s.log("target down", "", "target", t.ID, "why", reason, "downs", t.downCount)
	s.broadcast()
}

// probeDownTargets probes the targets that are down and due. One that wants no requests for a
// while gets no probe either.
func (s *State) probeDownTargets() {
	for _, t := range s.targets {
		if !t.down || s.now.Before(t.nextProbeAt) || s.now.Before(t.pausedUntil) {
			continue
		}
		t.nextProbeAt = s.now.Add(maxProbeBackoff)
		path := ""
		if t.service != nil && t.service.Engine == nil {
			path = t.service.HealthPath
		}
		s.emit(Probe{Target: t.ID, StartedAt: t.StartedAt, Address: t.Address, Path: path})
	}
}

func (s *State) onProbeAnswered(ev ProbeAnswered) {
	t := s.targets[ev.Target]
	if t == nil || !t.down {
		return
	}
	if !ev.Alive {
		t.downCount++
		t.nextProbeAt = s.now.Add(min(maxProbeBackoff, minProbeBackoff<<min(t.downCount-1, 4)))
		return
	}
	t.down, t.lastAnsweredAt = false, s.now
	t.coldUntil = latest(t.coldUntil, s.now.Add(coldAfterDown))
	s.log("target up", "", "target", t.ID, "downs", t.downCount)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
