package decider

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// missingGrace is how long a target stays in use that is missing from the
	// list after a gap in its changes: entries that lapsed in an outage are back
	// within two seconds, by the platform's terms.
	missingGrace = 2 * time.Second
	// firstDown and longestDown bound the pause before a failed target is probed.
	firstDown   = 150 * time.Millisecond
	longestDown = time.Second
	// coldAfterDown is how long a target that was unreachable counts as cold: the
	// time until its next heartbeat tells whether it is.
	coldAfterDown = 1300 * time.Millisecond
	// confirmMargin is kept from the time when a revoked key must be out of use.
	confirmMargin = 700 * time.Millisecond
	// coldUsers is the number of hosts that use one cold target: each may save up
	// one request beyond the rate, and the platform allows five.
	coldUsers = 5
	// departedFor is how long hosts that are cut off from the platform may go on to
	// use a target that left the list.
	departedFor = 10 * time.Second
	// weightsMargin covers the wait of a request at its engine, and the time until
	// the named version was heard of.
	weightsMargin = time.Second
	// denyFresh is how fresh the configuration must be to refuse a route or key
	// for good: the time in which a new version must be in force.
	denyFresh = 2 * time.Second
)

// fleet holds the configuration and the targets.
type fleet struct {
	config *descriptor.Config
	// confirmed is when the configuration was known to be the newest.
	confirmed time.Time
	targets   map[string]*target
	// byService lists the targets of each service in the order of their IDs.
	byService map[string][]*target
	evacuated map[string]bool
	// departed holds the weights of targets that left the list lately.
	departed map[string]departure
	// wanted maps models to their named versions, namedAt to when these were heard of.
	wanted  map[string]int
	namedAt map[string]time.Time
	// workTime is the mean time of an answer by service, in seconds.
	workTime map[string]float64
}

// departure is what a target had that left the list, and until when it counts.
type departure struct {
	weights map[string]int
	until   time.Time
}

// work is what a target has to do for one or several hosts.
type work struct {
	// Requests counts requests, Unread prompt tokens that are still to be read,
	// Memory tokens of cache memory in use.
	Requests int `cbor:"1,keyasint,omitempty"`
	Unread   int `cbor:"2,keyasint,omitempty"`
	Memory   int `cbor:"3,keyasint,omitempty"`
	// Bound counts requests that couldn't go on elsewhere if they were broken off.
	Bound int `cbor:"4,keyasint,omitempty"`
}

func (w *work) add(o work, sign int) {
	w.Requests += sign * o.Requests
	w.Unread += sign * o.Unread
	w.Memory += sign * o.Memory
	w.Bound += sign * o.Bound
}

// target is what is known of a target.
type target struct {
	descriptor.Target
	service *descriptor.Service
	// own is the work of this host's requests, others that of the peers.
	own, others work
	coldUntil   time.Time
	// coldTokens are the requests that this host may send while the target is cold.
	coldTokens float64
	coldAt     time.Time
	// down is true while the target doesn't answer; probeAt is when to ask again.
	down    bool
	downs   int
	probeAt time.Time
	// answered is when the target last answered this host.
	answered time.Time
	// missing is when the target was first missing from a whole list, or zero.
	missing time.Time
	// unsure is true when the target's weights must be read before it is used.
	unsure bool
	// weightsAt is when the target was last found to have new weights.
	weightsAt time.Time
	// changing is until when the target is left alone for an order.
	changing time.Time
	// failing is the recent share of attempts that the target failed.
	failing float64
}

func newFleet() fleet {
	return fleet{
		targets: map[string]*target{}, byService: map[string][]*target{}, evacuated: map[string]bool{},
		departed: map[string]departure{},
		wanted:   map[string]int{}, namedAt: map[string]time.Time{}, workTime: map[string]float64{},
	}
}

func (s *State) onConfigListed(ev ConfigListed) {
	if s.config != nil && ev.Config.Version < s.config.Version {
		s.note("old configuration ignored", "", "version", ev.Config.Version, "in-force", s.config.Version)
		return
	}
	if s.config == nil || ev.Config.Version > s.config.Version {
		s.config = ev.Config
		s.noteStores()
		for _, t := range s.targets {
			t.service = s.config.Services[t.Service]
		}
		s.note("configuration in force", "", "version", ev.Config.Version, "routes", len(ev.Config.Routes), "services", len(ev.Config.Services))
	}
}

func (s *State) onConfigConfirmed(ev ConfigConfirmed) {
	if !ev.Told || s.agesKnown() {
		s.confirm(ev.AsOf)
	}
}

func (s *State) confirm(asOf time.Time) {
	if asOf.After(s.confirmed) {
		s.confirmed = asOf
	}
}

func (s *State) onTargetsListed(ev TargetsListed) {
	for i := range ev.Targets {
		s.updateTarget(&ev.Targets[i])
	}
	for _, id := range ev.Removed {
		if ev.Lapsing {
			s.markMissing(id)
		} else {
			s.removeTarget(id, "removed from the list")
		}
	}
	if ev.Whole {
		s.markUnlisted(ev.Targets)
	}
	s.sortTargets()
}

func (s *State) updateTarget(d *descriptor.Target) {
	t := s.targets[d.ID]
	switch {
	case t == nil:
		t = &target{Target: *d}
		s.targets[d.ID] = t
		for _, p := range s.heard {
			t.others.add(p.work[d.ID], 1)
		}
		s.note("target added", "", "target", d.ID, "service", d.Service, "address", d.Address, "data-centre", d.DataCentre, "cold", d.ColdFor, "draining", d.Draining)
	case d.Born.Before(t.Born):
		return
	case !t.SameAs(d):
		s.note("target changed", "", "target", d.ID, "draining", d.Draining, "cold", d.ColdFor, "restarted", d.Born.After(t.Born), "weights", d.Weights)
		s.mergeTarget(t, d)
	}
	t.missing = time.Time{}
	t.unsure = t.unsure && len(d.Weights) == 0
	if d.ColdFor > 0 {
		t.coldUntil = s.now.Add(d.ColdFor)
	}
	if s.config != nil {
		t.service = s.config.Services[t.Service]
	}
}

// mergeTarget takes over a newer description. A process that goes on never goes
// back to older weights, so an older version in the description is a late one.
func (s *State) mergeTarget(t *target, d *descriptor.Target) {
	weights := maps.Clone(d.Weights)
	if d.Born.Equal(t.Born) {
		for model, version := range t.Weights {
			if weights == nil {
				weights = map[string]int{}
			}
			weights[model] = max(weights[model], version)
		}
	} else {
		t.down, t.downs, t.failing = false, 0, 0
	}
	t.Target = *d
	t.Weights = weights
}

func (s *State) markUnlisted(listed []descriptor.Target) {
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

// markMissing lets a target go unless its entry comes back soon.
func (s *State) markMissing(id string) {
	if t := s.targets[id]; t != nil && t.missing.IsZero() {
		t.missing = s.now
		s.note("target missing after a gap", "", "target", id)
	}
}

// expireMissing removes targets that were missing for too long.
func (s *State) expireMissing() {
	for id, t := range s.targets {
		if !t.missing.IsZero() && s.now.Sub(t.missing) > missingGrace {
			s.removeTarget(id, "missing after a gap")
			s.sortTargets()
		}
	}
}

func (s *State) removeTarget(id, why string) {
	t := s.targets[id]
	if t == nil {
		return
	}
	delete(s.targets, id)
	s.departed[id] = departure{t.Weights, s.now.Add(departedFor)}
	delete(s.jobs, id)
	s.note("target removed", "", "target", id, "why", why)
}

func (s *State) sortTargets() {
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
	s.divide()
}

func (s *State) onEvacuationsListed(ev EvacuationsListed) {
	clear(s.evacuated)
	for _, dc := range ev.DataCentres {
		s.evacuated[dc] = true
	}
	s.note("data centres out", "", "data-centres", ev.DataCentres)
}

func (s *State) onWeightsNamed(ev WeightsNamed) {
	if ev.Version <= s.wanted[ev.Model] {
		return
	}
	s.wanted[ev.Model] = ev.Version
	s.namedAt[ev.Model] = s.now
	s.note("weights named", "", "model", ev.Model, "version", ev.Version)
}

// usable reports whether t may get requests of a route now.
func (s *State) usable(t *target, r *request) bool {
	switch {
	case t.Draining, t.down, t.unsure, s.evacuated[t.DataCentre], t.service == nil, r.tried[t.ID]:
		return false
	case s.now.Before(t.changing), s.underOrder(t), r.prompt != nil && s.expired(t, r.prompt.Model):
		return false
	case len(r.route.Regions) > 0 && !slices.Contains(r.route.Regions, s.cfg.Regions[t.DataCentre]):
		return false
	case t.service.MaxConnections > 0 && t.own.Requests >= s.connectionShare(t.service):
		return false
	}
	return !s.cold(t) || s.coldRoom(t)
}

// expired reports whether t has older weights for so long that a request which is
// sent now could begin too late.
func (s *State) expired(t *target, model string) bool {
	return s.outdated(t, model) && s.now.Sub(s.namedAt[model]) > s.cfg.WeightsWithin-weightsMargin
}

// connectionShare is the number of connections to one target that this host may use.
func (s *State) connectionShare(svc *descriptor.Service) int {
	const spare = 0.9 // Connections of hosts that are gone close late.
	return max(1, int(spare*float64(svc.MaxConnections)/float64(s.hostCount())))
}

func (s *State) cold(t *target) bool { return t.service.ColdRate > 0 && s.now.Before(t.coldUntil) }

// coldRoom reports whether this host may send one more request to the cold
// target t: a few hosts have an equal share of the rate each, and save up one
// request, so that the sum over all hosts stays in the target's bounds.
func (s *State) coldRoom(t *target) bool {
	if s.rankFor(t.ID) >= coldUsers {
		return false
	}
	rate := t.service.ColdRate / float64(min(coldUsers, s.hostCount()))
	if s.now.After(t.coldAt) {
		t.coldTokens = min(1, t.coldTokens+rate*s.now.Sub(t.coldAt).Seconds())
		t.coldAt = s.now
	}
	return t.coldTokens >= 1
}

// learnWeights takes in the version that t itself told.
func (s *State) learnWeights(t *target, model string, version int) {
	if version == 0 || model == "" || version <= t.Weights[model] {
		return
	}
	if t.Weights == nil {
		t.Weights = map[string]int{}
	}
	t.Weights[model], t.weightsAt = version, s.now
	s.note("target has new weights", "", "target", t.ID, "model", model, "version", version)
}

// markDown takes a target out of use until it answers a probe.
func (s *State) markDown(t *target, why string) {
	if t.down {
		return
	}
	t.down = true
	t.downs++
	t.probeAt = s.now.Add(min(longestDown, firstDown<<min(t.downs-1, 4)))
	s.note("target down", "", "target", t.ID, "why", why, "downs", t.downs)
	s.tellAll()
}

// probeDown asks targets that are down whether they answer again.
func (s *State) probeDown() {
	for _, t := range s.targets {
		if !t.down || s.now.Before(t.probeAt) {
			continue
		}
		t.probeAt = s.now.Add(longestDown)
		path := ""
		if t.service != nil && t.service.Engine == nil {
			path = t.service.Health
		}
		s.emit(Probe{Target: t.ID, Address: t.Address, Path: path})
	}
}

func (s *State) onProbeAnswered(ev ProbeAnswered) {
	t := s.targets[ev.Target]
	if t == nil || !t.down {
		return
	}
	if !ev.Alive {
		t.downs++
		t.probeAt = s.now.Add(min(longestDown, firstDown<<min(t.downs-1, 4)))
		return
	}
	t.down, t.answered = false, s.now
	t.coldUntil = later(t.coldUntil, s.now.Add(coldAfterDown))
	s.note("target up", "", "target", t.ID, "downs", t.downs)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
