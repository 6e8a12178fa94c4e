package reducer

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// ownershipState holds the targets that this daemon owns and the permits that it
// granted for them.
type ownershipState struct {
	// liveHosts lists the live daemons of all data centres, including this one.
	liveHosts []identifier.Host
	// localHosts lists the live daemons of this data centre, including this one.
	localHosts []identifier.Host
	// hostNamesByCentre lists the live daemons of each data centre as strings, for
	// rendezvous hashing.
	hostNamesByCentre map[identifier.DataCentre][]string
	owned             map[identifier.Target]*ownership
	// pendingPermits holds the permit calls that have not been answered yet.
	pendingPermits map[permitKey]bool
	// wantedTargets and readTargets are the targets of the last WantTargets and ReadTargets.
	wantedTargets []identifier.Target
	readTargets   []TargetAddress
	// handoverPending is true while this daemon keeps a target that another daemon
	// should own, because it may still be in use.
	handoverPending bool
}

// ownership is a lease on a target. The holder decides who may use the target while
// it is cold, and orders its weights.
type ownership struct {
	fence uint64
	// heldUntil is when the lease expires unless it is renewed; zero while it is lost.
	heldUntil time.Time
	// admittedUntil is when all requests and permits that were admitted before the loss
	// of the lease have ended.
	admittedUntil time.Time
	// usableFrom is when all permits of earlier owners have expired.
	usableFrom time.Time
	// permits is kept when the lease is lost, because the daemon may regain it under
	// the same fencing token.
	permits map[permitKey]permit
}

// permitKey identifies a permit of a peer, or a slot that a request of this daemon
// occupies.
type permitKey struct {
	host    identifier.Host
	request identifier.Request
	number  int
}

// permit is a slot on a cold target that may be in use.
type permit struct {
	until time.Time
	// incarnation is the only incarnation of the target that the request may reach.
	incarnation identifier.Incarnation
}

func newOwnershipState(self identifier.Host) ownershipState {
	return ownershipState{
		liveHosts:      []identifier.Host{self},
		localHosts:     []identifier.Host{self},
		owned:          map[identifier.Target]*ownership{},
		pendingPermits: map[permitKey]bool{},
	}
}

func (s *State) onPeersChanged(ev PeersChanged) {
	hosts := slices.Clone(ev.Hosts)
	if !slices.Contains(hosts, s.cfg.Host) {
		hosts = append(hosts, s.cfg.Host)
	}
	slices.Sort(hosts)
	if slices.Equal(hosts, s.liveHosts) {
		return
	}
	s.liveHosts = hosts
	s.groupHosts()
	s.assignTargets()
}

// groupHosts groups the live daemons by data centre.
func (s *State) groupHosts() {
	s.localHosts = nil
	s.hostNamesByCentre = map[identifier.DataCentre][]string{}
	for _, host := range s.liveHosts {
		centre := s.fleet.Hosts[host].DataCentre
		if host == s.cfg.Host {
			centre = s.cfg.DataCentre
		}
		s.hostNamesByCentre[centre] = append(s.hostNamesByCentre[centre], string(host))
		if centre == s.cfg.DataCentre {
			s.localHosts = append(s.localHosts, host)
		}
	}
}

// assignTargets determines which targets this daemon should own and read: those of
// its data centre for which it is first in the rendezvous order of the live daemons.
func (s *State) assignTargets() {
	s.handoverPending = false
	var wanted []identifier.Target
	var read []TargetAddress
	for _, t := range s.sortedTargets() {
		if t.spec.DataCentre != s.cfg.DataCentre {
			continue
		}
		if s.expectedOwner(t) != s.cfg.Host {
			if s.coldInUse(t) || s.inTakeoverWait(t) {
				s.handoverPending = true
				wanted = append(wanted, t.name)
			}
			continue
		}
		wanted = append(wanted, t.name)
		model := s.fleet.Services[t.spec.Service].Kind == specifier.ServiceModel
		read = append(read, TargetAddress{Target: t.name, Address: t.spec.Address, Model: model})
	}
	if !slices.Equal(wanted, s.wantedTargets) {
		s.wantedTargets = wanted
		s.emit(WantTargets{Targets: wanted})
	}
	if !slices.Equal(read, s.readTargets) {
		s.readTargets = read
		s.emit(ReadTargets{Targets: read})
	}
}

// coldInUse reports whether requests or permits that this daemon admitted as the owner
// of the cold target t may be in use, even if the lease is lost. Such a target is not
// released, so that the next owner starts with an unused target.
func (s *State) coldInUse(t *target) bool {
	own := s.owned[t.name]
	return own != nil && t.cold && t.inflight+len(own.permits) > 0
}

// inTakeoverWait reports whether permits of an earlier owner may be in use on the cold
// target t. The next owner would not wait for them if the target was released.
func (s *State) inTakeoverWait(t *target) bool {
	own := s.owned[t.name]
	return own != nil && t.cold && s.now.Before(own.usableFrom)
}

// anyColdInUse reports whether any owned target is cold and in use.
func (s *State) anyColdInUse() bool {
	for name := range s.owned {
		if t := s.targets[name]; t != nil && s.coldInUse(t) {
			return true
		}
	}
	return false
}

func (s *State) sortedTargets() []*target {
	list := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *target) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

func (s *State) onOwnershipChanged(ev OwnershipChanged) {
	own := s.owned[ev.Target]
	if !ev.Held {
		if own != nil && !own.heldUntil.IsZero() {
			own.heldUntil = time.Time{}
			own.admittedUntil = s.now.Add(TakeoverWait)
		}
		return
	}
	if own == nil {
		own = &ownership{permits: map[permitKey]permit{}}
		s.owned[ev.Target] = own
	}
	if ev.Fence < own.fence {
		return
	}
	if own.fence != ev.Fence && ev.TakenOver {
		own.usableFrom = s.now.Add(TakeoverWait)
	}
	own.fence = ev.Fence
	own.heldUntil = ev.Until
}

// owns reports whether this daemon may currently decide who uses t. Ownership ends
// as soon as the daemon decides to release the target, because the next owner finds
// no lease record and does not wait.
func (s *State) owns(t *target) bool {
	own := s.owned[t.name]
	return own != nil && s.now.Before(own.heldUntil) && slices.Contains(s.wantedTargets, t.name) && !s.drained
}

// hasColdCapacity reports whether this daemon, as the owner, may admit one more
// request to the cold target t.
func (s *State) hasColdCapacity(t *target) bool {
	own := s.owned[t.name]
	if own == nil || !s.owns(t) || s.now.Before(own.usableFrom) || t.incarnation == 0 {
		return false
	}
	return t.inflight+len(own.permits) < t.spec.ColdLimit
}

const (
	// maxColdUse is the longest time that one request may use a cold target.
	maxColdUse = 30 * time.Second
	// permitRetryDelay is the delay before a refused peer requests a permit again.
	permitRetryDelay = 100 * time.Millisecond
	// permitGrace covers the network delay of a permit's answer and of the request.
	permitGrace = time.Second
	// TakeoverWait is the time after which nothing can run any more that an earlier
	// owner admitted.
	TakeoverWait = maxColdUse + permitGrace
)

// limitColdUse sets the latest time at which r may be sent to its reserved target,
// and the time at which it must end there, if the target is cold.
func (s *State) limitColdUse(r *request) {
	r.sendBy, r.cutoff = time.Time{}, time.Time{}
	if !r.target.cold {
		return
	}
	r.cutoff = s.now.Add(maxColdUse)
	if own := s.owned[r.target.name]; own != nil {
		r.sendBy = own.heldUntil
	}
}

// permitTarget returns a cold target whose owner can be asked for a permit for r, or
// nil. Targets of this data centre are preferred.
func (s *State) permitTarget(r *request) *target {
	var remote *target
	for _, t := range s.byService[r.service] {
		if !s.mayRequestPermit(t, r) {
			continue
		}
		if t.spec.DataCentre == s.cfg.DataCentre {
			return t
		}
		if remote == nil {
			remote = t
		}
	}
	return remote
}

// mayRequestPermit reports whether t's owner can be asked for a permit for r now.
func (s *State) mayRequestPermit(t *target, r *request) bool {
	if !t.cold || t.incarnation == 0 || t.permitPending || s.now.Before(t.permitRetryAt) || t.open(s.now) || r.tried[t.name] {
		return false
	}
	if t.spec.DataCentre != s.cfg.DataCentre && !r.profile.SpillOver {
		return false
	}
	owner := s.expectedOwner(t)
	return s.acceptsWork(t) && owner != s.cfg.Host && owner != ""
}

// expectedOwner returns the live daemon that should own t, or "" if t's data centre
// has no live daemon.
func (s *State) expectedOwner(t *target) identifier.Host {
	return identifier.Host(placer.First(placer.KeyOf(t.name), s.hostNamesByCentre[t.spec.DataCentre]))
}

// requestPermit requests a permit for r from the owner of a cold target. It returns
// false if there is no such target.
func (s *State) requestPermit(r *request) bool {
	t := s.permitTarget(r)
	if t == nil {
		return false
	}
	t.permitPending = true
	r.permitRequests++
	s.pendingPermits[permitKey{s.cfg.Host, r.id, r.permitRequests}] = true
	r.phase = phasePermit
	term := min(r.deadline.Sub(s.now), maxColdUse)
	s.emit(RequestPermit{Owner: s.expectedOwner(t), Request: r.id, Number: r.permitRequests, Target: t.name, Term: term})
	return true
}

func (s *State) onPermitRequested(ev PermitRequested) {
	t, own := s.targets[ev.Target], s.owned[ev.Target]
	if t != nil && own != nil && !t.cold && s.owns(t) {
		s.emit(AnswerPermit{Call: ev.Call, RetryAfter: permitRetryDelay, Warm: true, Incarnation: t.incarnation, Age: s.now.Sub(t.observedAt)})
		return
	}
	if t == nil || !s.acceptsWork(t) || !s.hasCapacity(t) {
		s.emit(AnswerPermit{Call: ev.Call, RetryAfter: permitRetryDelay})
		return
	}
	if own != nil {
		until := s.now.Add(min(ev.Term, maxColdUse) + permitGrace)
		own.permits[permitKey{ev.From, ev.Request, ev.Number}] = permit{until, t.incarnation}
	}
	s.emit(AnswerPermit{Call: ev.Call, Granted: true, Incarnation: t.incarnation})
}

func (s *State) onPermitReturned(ev PermitReturned) {
	if own := s.owned[ev.Target]; own != nil {
		delete(own.permits, permitKey{ev.From, ev.Request, ev.Number})
	}
}

// onPermitAnswered starts the request if the permit was granted and is still valid,
// and requeues it otherwise. A granted permit that can't be used is returned.
func (s *State) onPermitAnswered(ev PermitAnswered) {
	key := permitKey{s.cfg.Host, ev.Request, ev.Number}
	if !s.pendingPermits[key] {
		return
	}
	delete(s.pendingPermits, key)
	t := s.targets[ev.Target]
	if t != nil {
		t.permitPending = false
		if !ev.Granted {
			t.permitRetryAt = s.now.Add(max(ev.RetryAfter, permitRetryDelay))
		}
	}
	if ev.Granted {
		s.updateIncarnation(ev.Target, ev.Incarnation, true)
	}
	if ev.Warm {
		s.clearColdSuspicion(t, ev)
	}
	r := s.requests[ev.Request]
	waiting := r != nil && r.phase == phasePermit && r.permitRequests == ev.Number
	if ev.Granted && (!waiting || !s.permitUsable(t, ev)) {
		s.emit(ReturnPermit{Owner: ev.Owner, Request: ev.Request, Number: ev.Number, Target: ev.Target})
	}
	switch {
	case !waiting:
		return
	case !ev.Granted || !s.permitUsable(t, ev):
		s.requeue(r)
	default:
		s.startWithPermit(r, t, ev)
	}
}

// clearColdSuspicion marks t as warm again if its owner has a later load report of
// the same incarnation. A broken response may have marked it as cold.
func (s *State) clearColdSuspicion(t *target, ev PermitAnswered) {
	asOf := ev.CalledAt.Add(-ev.Age)
	if t == nil || ev.Incarnation != t.incarnation || !asOf.After(t.observedAt) {
		return
	}
	t.observedAt = asOf
	s.onIncarnationObserved(t.name, ev.Incarnation, false)
}

// permitUsable reports whether a granted permit is still valid for t.
func (s *State) permitUsable(t *target, ev PermitAnswered) bool {
	return t != nil && s.acceptsWork(t) && ev.Incarnation == t.incarnation && s.now.Before(ev.CalledAt.Add(maxColdUse))
}

func (s *State) startWithPermit(r *request, t *target, ev PermitAnswered) {
	c := choice{target: t, plan: s.fullPrefillPlan(r, t)}
	s.reserve(r, c)
	r.permitFrom = ev.Owner
	s.recordDecision(r, c)
	r.cutoff = earlier(r.deadline, ev.CalledAt.Add(maxColdUse))
	r.sendBy = r.cutoff
	s.startAttempt(r)
}

// returnPermit returns r's permit, if it has one, to the owner.
func (s *State) returnPermit(r *request) {
	if r.permitFrom == "" {
		return
	}
	s.emit(ReturnPermit{Owner: r.permitFrom, Request: r.id, Number: r.permitRequests, Target: r.target.name})
	r.permitFrom = ""
}

// keepSlot keeps r's slot on a cold target occupied until the deadline of its
// attempt, because the target may still be running it.
func (s *State) keepSlot(r *request) {
	if r.cutoff.IsZero() || r.target.incarnation != r.incarnation {
		return
	}
	if r.permitFrom != "" {
		r.permitFrom = "" // The permit expires at its owner.
		return
	}
	if own := s.owned[r.target.name]; own != nil {
		until := earlier(r.deadline, r.cutoff).Add(permitGrace)
		own.permits[permitKey{s.cfg.Host, r.id, r.attemptNumber}] = permit{until, r.incarnation}
	}
}

// dropStalePermits removes the permits for earlier incarnations of t, which no
// longer run anything.
func (s *State) dropStalePermits(t *target) {
	own := s.owned[t.name]
	if own == nil {
		return
	}
	maps.DeleteFunc(own.permits, func(_ permitKey, p permit) bool { return p.incarnation < t.incarnation })
}

// expirePermits removes expired permits, and lost ownerships under which nothing can
// run any more.
func (s *State) expirePermits() {
	for name, own := range s.owned {
		maps.DeleteFunc(own.permits, func(_ permitKey, p permit) bool { return s.now.After(p.until) })
		if own.heldUntil.IsZero() && len(own.permits) == 0 && !s.now.Before(own.admittedUntil) && !s.now.Before(own.usableFrom) {
			delete(s.owned, name)
		}
	}
}
