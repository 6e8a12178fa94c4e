package decider

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/roller"
)

const (
	// maxRollouts bounds the rollouts in progress.
	maxRollouts = 64
	// versionStartSpread is the time since the start of a service's first target within which others start
	// whose version is in use too, for a host that starts and knows no order. New versions are started later.
	versionStartSpread = 10 * time.Second
	// versionRetention is how long the versions in use of a service stand although none of its targets has one
	// of them and no order names another. Then what is there is in use, as after a change without an order.
	versionRetention = time.Minute
	// versionCheckInterval is the interval between checks for that.
	versionCheckInterval = time.Second
)

// RolloutsListed reports all orders that the platform's store has, in an era.
type RolloutsListed struct {
	Era      int64
	Rollouts []descriptor.Rollout
	// Unreadable are the names of the objects that can't be decoded. What they said before stands.
	Unreadable []string
}

// RolloutStatusWritten reports the outcome of a WriteRolloutStatus.
type RolloutStatusWritten struct {
	Service string
	Status  descriptor.RolloutStatus
	// Era and Revision are those of the object after the write.
	Era, Revision int64
	Err           error
}

// WriteRolloutStatus writes the status of an order if the revision of its object is still the given one.
type WriteRolloutStatus struct {
	Name, Service string
	Revision      int64
	Status        descriptor.RolloutStatus
}

func (RolloutsListed) isEvent()       {}
func (RolloutStatusWritten) isEvent() {}
func (WriteRolloutStatus) isEffect()  {}

// release is what a target's version is to its service.
type release int

const (
	// releaseInUse is for versions that were in use before any order in progress.
	releaseInUse release = iota
	// releaseNew is for the version that an order in progress names.
	releaseNew
	// releaseBarred is for all others, which get no requests.
	releaseBarred
)

// rolling holds the rollouts of services to other versions.
type rolling struct {
	// rollouts holds the order for each service.
	rollouts map[string]*rolloutState
	// lostRollouts holds those that were missing when the store had gone back to a copy, as their counts and
	// ends stand when the order is written again.
	lostRollouts map[string]*rolloutState
	// rolloutsListed is true once the orders were listed, last in rolloutsEra.
	rolloutsListed bool
	rolloutsEra    int64
	// versions holds the versions in use of each service.
	versions map[string]*usedVersions
	// versionsGone is true if a service has no target of a version in use.
	versionsGone      bool
	versionsCheckedAt time.Time
	// rolloutsAdvancedAt is when this host last advanced them as the lease holder, and countsSentAt when it
	// last sent its counts to that.
	rolloutsAdvancedAt, countsSentAt time.Time
}

// usedVersions are the versions of a service that were in use before any order in progress.
type usedVersions struct {
	names map[string]bool
	// goneAt is since when no target has any of them, or zero.
	goneAt time.Time
}

// rolloutState is what is known of one order.
type rolloutState struct {
	descriptor.Rollout
	era int64
	// orderedAt is the time of the order, as this host knows it.
	orderedAt time.Time
	// status is the decision in force. A final phase stands even if the store loses it.
	status descriptor.RolloutStatus
	counts ownCounts
	// confirmation is what the lease holder last sent, valid at confirmedAt.
	confirmation RolloutConfirmation
	confirmedAt  time.Time
	// unconfirmed is true while the old versions are used for lack of a confirmation.
	unconfirmed bool
	rolloutDecision
}

// versionChoice is the choice of a version for a request. The draw is made once, so that repeats and resumed
// streams use the same version as long as the share stays as it is.
type versionChoice struct {
	drawn bool
	draw  float64
	// onNew is true if the request goes to the new version.
	onNew bool
	// version is that of the target to which the request was last sent.
	version string
}

func newRolling() rolling {
	return rolling{rollouts: map[string]*rolloutState{}, lostRollouts: map[string]*rolloutState{}, versions: map[string]*usedVersions{}}
}

// rolloutsKnown reports whether this host knows which versions it may use. After its start, it waits for the lease
// holder, which may rely on counts of the process before until they are too old, and may be about to let the old
// targets stop.
func (s *State) rolloutsKnown() bool {
	if s.cfg.Rollouts == nil {
		return true
	}
	if s.rolloutsListed && s.now.Sub(s.startedAt) < s.cfg.Rollouts.RollbackAfter/2 {
		for _, r := range s.rollouts {
			if r.isActive() && r.status.Share > 0 && s.isUnconfirmed(r) {
				return false
			}
		}
	}
	return s.rolloutsListed
}

func (r *rolloutState) isActive() bool { return r.status.Phase == descriptor.RolloutActive }

func (s *State) onRolloutsListed(ev RolloutsListed) {
	if s.cfg.Rollouts == nil {
		return
	}
	wentBack := s.rolloutsListed && ev.Era != s.rolloutsEra
	s.rolloutsListed, s.rolloutsEra = true, ev.Era
	list := slices.SortedFunc(slices.Values(ev.Rollouts), func(a, b descriptor.Rollout) int { return strings.Compare(a.Name, b.Name) })
	listed := map[string]bool{}
	var ignored []string
	for _, order := range list {
		if listed[order.Service] || len(listed) >= maxRollouts {
			ignored = append(ignored, order.Name)
			continue
		}
		listed[order.Service] = true
		s.applyRollout(order, ev.Era)
	}
	if len(ignored) > 0 {
		s.log("rollouts ignored, too many or for the same service", "", "count", len(ignored), "first", ignored[0])
	}
	for service, r := range s.rollouts {
		if !listed[service] && !slices.Contains(ev.Unreadable, r.Name) {
			s.log("rollout removed", "", "service", service, "to", r.To, "phase", string(r.status.Phase), "share", r.status.Share)
			delete(s.rollouts, service)
			if wentBack {
				s.lostRollouts[service] = r
			}
		}
	}
	s.updateVersions()
}

// applyRollout records an order and its status. Another version begins a new rollout.
func (s *State) applyRollout(order descriptor.Rollout, era int64) {
	r := s.rollouts[order.Service]
	if lost := s.lostRollouts[order.Service]; r == nil && lost != nil && lost.To == order.To {
		r = lost
		s.rollouts[order.Service] = r
	}
	delete(s.lostRollouts, order.Service)
	if r == nil || r.To != order.To {
		r = &rolloutState{orderedAt: s.now, status: descriptor.RolloutStatus{To: order.To, Phase: descriptor.RolloutActive}}
		r.roller = roller.New(roller.Config{CanaryShare: s.cfg.Rollouts.CanaryShare, CanarySlack: s.cfg.Rollouts.CanarySlack, RollbackAfter: s.cfg.Rollouts.RollbackAfter})
		s.rollouts[order.Service] = r
		s.log("rollout ordered", "", "service", order.Service, "to", order.To, "within", order.Within, "service-known", s.knowsService(order.Service))
	}
	if era < r.era || era == r.era && order.Revision < r.Revision {
		return // This host has written a newer status.
	}
	r.Rollout, r.era = order, era
	s.adoptStatus(r, order.Status)
}

func (s *State) knowsService(name string) bool {
	return s.config != nil && s.config.Services[name] != nil
}

// adoptStatus applies the status that the store has for r, or nil if it has none.
func (s *State) adoptStatus(r *rolloutState, stored *descriptor.RolloutStatus) {
	if stored != nil && stored.To != r.To {
		s.applyEarlierStatus(r, stored)
		stored = nil
	}
	r.Status = stored
	switch {
	case !r.isActive():
		return // The store may have gone back to a copy.
	case stored == nil:
		r.status.Share = 0
		return
	}
	r.orderedAt = earliest(r.orderedAt, s.now.Add(-stored.Elapsed))
	if len(stored.From) > 0 {
		s.setVersionsInUse(r.Service, stored.From)
	}
	if stored.Phase != r.status.Phase || stored.Share != r.status.Share {
		s.log("rollout status", "", "service", r.Service, "to", r.To, "phase", string(stored.Phase), "share", stored.Share, "reason", stored.Reason, "elapsed", stored.Elapsed, "requests", stored.Requests, "exposed", stored.Exposed)
	}
	r.status = *stored
	switch stored.Phase {
	case descriptor.RolloutComplete:
		s.setVersionsInUse(r.Service, []string{r.To})
	case descriptor.RolloutReverted:
		s.dropVersionInUse(r.Service, r.To)
	}
}

// applyEarlierStatus learns the versions in use from the status of the order before r.
func (s *State) applyEarlierStatus(r *rolloutState, earlier *descriptor.RolloutStatus) {
	switch {
	case earlier.Phase == descriptor.RolloutComplete:
		s.setVersionsInUse(r.Service, []string{earlier.To})
	case len(earlier.From) > 0:
		s.setVersionsInUse(r.Service, earlier.From)
	case earlier.Phase == descriptor.RolloutReverted:
		s.dropVersionInUse(r.Service, earlier.To)
	}
}

func (s *State) setVersionsInUse(service string, versions []string) {
	u := &usedVersions{names: map[string]bool{}}
	for _, v := range versions {
		u.names[v] = true
	}
	s.versions[service] = u
}

// dropVersionInUse removes a version unless it is the only one.
func (s *State) dropVersionInUse(service, version string) {
	if u := s.versions[service]; u != nil && len(u.names) > 1 {
		delete(u.names, version)
	}
}

// oldVersions returns the versions that were in use before r, sorted.
func (s *State) oldVersions(r *rolloutState) []string {
	u := s.versions[r.Service]
	if u == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(u.names)), func(v string) bool { return v == r.To })
}

// updateVersions learns which versions are in use, and determines which targets may get requests. It does
// nothing on platforms without rollouts.
func (s *State) updateVersions() {
	if s.cfg.Rollouts == nil {
		return
	}
	for service := range s.byService {
		if s.versions[service] == nil {
			s.versions[service] = &usedVersions{}
		}
	}
	s.versionsGone = false
	for service, u := range s.versions {
		s.learnVersions(service, u)
	}
	startedAt := s.newestStarts()
	for _, t := range s.targets {
		before := t.release
		t.release = s.releaseOf(t)
		if newest, ok := startedAt[t.Address]; ok && newest.After(t.StartedAt) {
			t.release = releaseBarred
		}
		if t.release == releaseBarred && before != releaseBarred {
			s.log("target barred", "", "target", t.ID, "service", t.Service, "version", t.Version)
		}
	}
}

// newestStarts returns the start of the newest process at each address while there are rollouts. Old targets
// stop without draining then, and others may get their addresses before their entries lapse.
func (s *State) newestStarts() map[netip.AddrPort]time.Time {
	starts := map[netip.AddrPort]time.Time{}
	if len(s.rollouts) == 0 {
		return starts
	}
	for _, t := range s.targets {
		starts[t.Address] = latest(starts[t.Address], t.StartedAt)
	}
	return starts
}

// learnVersions takes the versions of a service's targets as those in use if none are known, or if no target
// has had any of them for long and no order explains that.
func (s *State) learnVersions(service string, u *usedVersions) {
	list := s.byService[service]
	if slices.ContainsFunc(list, func(t *target) bool { return u.names[t.Version] }) {
		u.goneAt = time.Time{}
		return
	}
	r := s.rollouts[service]
	if len(u.names) > 0 {
		s.versionsGone = true
		if u.goneAt.IsZero() {
			u.goneAt = s.now
		}
		if r != nil || s.now.Sub(u.goneAt) < versionRetention {
			return
		}
	}
	var first time.Time
	isOld := func(t *target) bool { return t.Version != "" && (r == nil || t.Version != r.To) }
	for _, t := range list {
		if isOld(t) && (first.IsZero() || t.StartedAt.Before(first)) {
			first = t.StartedAt
		}
	}
	names := map[string]bool{}
	for _, t := range list {
		if isOld(t) && t.StartedAt.Sub(first) <= versionStartSpread {
			names[t.Version] = true
		}
	}
	if len(names) == 0 && len(u.names) == 0 && r != nil && len(list) > 0 {
		names[r.To] = true // The order names what is in use.
	}
	if len(names) > 0 {
		u.names, u.goneAt = names, time.Time{}
	}
}

// isOnlyVersion reports whether the version of r is the only one in use. There is nothing to shift then.
func (s *State) isOnlyVersion(r *rolloutState) bool {
	u := s.versions[r.Service]
	return u != nil && len(u.names) == 1 && u.names[r.To]
}

// releaseOf returns what the version of t is to its service.
func (s *State) releaseOf(t *target) release {
	r, u := s.rollouts[t.Service], s.versions[t.Service]
	switch {
	case t.Version == "":
		return releaseInUse
	case r != nil && r.status.Phase == descriptor.RolloutComplete:
		if t.Version != r.To {
			return releaseBarred
		}
		return releaseInUse
	case r != nil && t.Version == r.To && !s.isOnlyVersion(r):
		if r.isActive() {
			return releaseNew
		}
		return releaseBarred
	case u != nil && u.names[t.Version]:
		return releaseInUse
	}
	return releaseBarred
}

// mayRunVersion reports whether t may get r by its version.
func (t *target) mayRunVersion(r *request) bool {
	switch t.release {
	case releaseNew:
		return r.onNew
	case releaseBarred:
		return false
	}
	return !r.onNew
}

// shareInForce returns the share of requests that this host sends to the new version of r: none without a
// recent confirmation of the lease holder.
func (s *State) shareInForce(r *rolloutState) float64 {
	c := r.confirmation
	switch {
	case r.status.Phase == descriptor.RolloutComplete:
		return 1
	case !r.isActive():
		return 0
	case s.isUnconfirmed(r):
		return 0
	case s.holdsLease():
		return r.decidedShare()
	case c.Reverted:
		return 0
	case c.Era < r.era || c.Era == r.era && c.Revision < r.Revision:
		return r.status.Share // The store has a newer status than the holder had sent.
	}
	return c.Share
}

// isUnconfirmed reports whether this host has heard too little of the lease holder to use the new version of r,
// or too little of the platform's store if it holds the lease.
func (s *State) isUnconfirmed(r *rolloutState) bool {
	confirmedAt := r.confirmedAt
	if s.holdsLease() {
		confirmedAt = s.renewedAt
	}
	return s.now.Sub(confirmedAt) > s.cfg.Rollouts.RollbackAfter/2
}

// assignVersion decides whether req goes to the new version of r.
func (s *State) assignVersion(req *request, r *rolloutState) {
	if r == nil || !r.isActive() || s.isOnlyVersion(r) {
		req.onNew = false
		return
	}
	if !req.drawn {
		req.drawn, req.draw = true, s.rng.Float64()
	}
	req.onNew = req.draw < s.shareInForce(r)
}

// chooseWithVersion is like choose for the version of req. If no target of it can take req, another version
// may serve it.
func (s *State) chooseWithVersion(req *request, quarantined []descriptor.Suspect, mayAsk bool) choice {
	r := s.rollouts[req.service]
	s.assignVersion(req, r)
	c := s.choose(req, quarantined, mayAsk)
	if r == nil || c.target != nil && c.retryAfter == 0 || !s.mayUseOtherVersion(req, r) {
		return c
	}
	req.onNew = !req.onNew
	if other := s.choose(req, quarantined, mayAsk); other.target != nil && other.retryAfter == 0 {
		return other
	}
	req.onNew = !req.onNew
	return c
}

// mayUseOtherVersion reports whether the other version may serve req. Old versions always may, unless the
// rollout is closing and they may stop at any time. The new one may if the old ones are gone and this host has
// no news.
func (s *State) mayUseOtherVersion(req *request, r *rolloutState) bool {
	switch {
	case !r.isActive():
		return false
	case req.onNew:
		return !s.isClosing(r)
	}
	return s.isUnconfirmed(r) && r.status.Share > 0 && s.slotsUp(r.Service, releaseInUse) == 0
}

// isClosing reports whether this host sends no more requests to the old versions of r.
func (s *State) isClosing(r *rolloutState) bool {
	if s.holdsLease() {
		return !r.closingAt.IsZero()
	}
	return r.confirmation.Closing && s.shareInForce(r) == 1
}

// slotsUp returns the slots of the targets of a service that are in order.
func (s *State) slotsUp(service string, rel release) int {
	n := 0
	for _, t := range s.byService[service] {
		if t.release == rel && !t.down && !t.Draining && !s.isEvacuated(t.DataCentre) && !s.graceEnded(t) {
			n += max(1, t.Slots)
		}
	}
	return n
}

// RolloutShares returns the share of requests that this host sends to the new version, by service with an order.
func (s *State) RolloutShares() map[string]float64 {
	shares := make(map[string]float64, len(s.rollouts))
	for service, r := range s.rollouts {
		shares[service] = s.shareInForce(r)
	}
	return shares
}
