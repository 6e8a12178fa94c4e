package reducer

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// owning holds which targets this daemon owns and the permits it gave for them.
type owning struct {
	// live are all live daemons that are heard, this one included.
	live []identifier.Host
	// hosts are the live daemons of the data centre, this one included.
	hosts []identifier.Host
	// hostNames are the live daemons of each data centre as text, for rendezvous hashing.
	hostNames map[identifier.DataCentre][]string
	owned     map[identifier.Target]*ownership
	// asked holds the questions for permits that have no answer yet.
	asked map[permitKey]bool
	// wanted and read are the targets that the last effects named.
	wanted []identifier.Target
	read   []TargetAddress
	// lingering is true while a target that another daemon should own is still in use.
	lingering bool
}

// ownership is the right to say who uses a cold target.
type ownership struct {
	fence uint64
	// until is when the right ends unless it is renewed; zero while it is lost.
	until time.Time
	// usable is when permits of earlier owners have ended.
	usable time.Time
	// permits outlive a loss of the right, which may come back under the same fence.
	permits map[permitKey]permit
}

// permitKey names one permit of a peer, or one place of this daemon.
type permitKey struct {
	host    identifier.Host
	request identifier.Request
	number  int
}

// permit is a place on a cold target that may be in use.
type permit struct {
	until time.Time
	// incarnation is the only one of the target that the request can reach.
	incarnation identifier.Incarnation
}

func newOwning(self identifier.Host) owning {
	return owning{
		live:  []identifier.Host{self},
		hosts: []identifier.Host{self},
		owned: map[identifier.Target]*ownership{},
		asked: map[permitKey]bool{},
	}
}

func (s *State) onPeersChanged(ev PeersChanged) {
	hosts := slices.Clone(ev.Hosts)
	if !slices.Contains(hosts, s.cfg.Host) {
		hosts = append(hosts, s.cfg.Host)
	}
	slices.Sort(hosts)
	if slices.Equal(hosts, s.live) {
		return
	}
	s.live = hosts
	s.groupHosts()
	s.assignTargets()
}

// groupHosts sorts the live daemons by their data centres.
func (s *State) groupHosts() {
	s.hosts = nil
	s.hostNames = map[identifier.DataCentre][]string{}
	for _, host := range s.live {
		centre := s.fleet.Hosts[host].DataCentre
		if host == s.cfg.Host {
			centre = s.cfg.DataCentre
		}
		s.hostNames[centre] = append(s.hostNames[centre], string(host))
		if centre == s.cfg.DataCentre {
			s.hosts = append(s.hosts, host)
		}
	}
}

// assignTargets states which targets this daemon owns and reads: those of its
// data centre for which it is first among the live daemons.
func (s *State) assignTargets() {
	s.lingering = false
	var wanted []identifier.Target
	var read []TargetAddress
	for _, t := range s.sortedTargets() {
		if t.spec.DataCentre != s.cfg.DataCentre {
			continue
		}
		if s.expectedOwner(t) != s.cfg.Host {
			if s.usesCold(t) {
				s.lingering = true
				wanted = append(wanted, t.name)
			}
			continue
		}
		wanted = append(wanted, t.name)
		model := s.fleet.Services[t.spec.Service].Kind == specifier.ServiceModel
		read = append(read, TargetAddress{Target: t.name, Address: t.spec.Address, Model: model})
	}
	if !slices.Equal(wanted, s.wanted) {
		s.wanted = wanted
		s.emit(WantTargets{Targets: wanted})
	}
	if !slices.Equal(read, s.read) {
		s.read = read
		s.emit(ReadTargets{Targets: read})
	}
}

// usesCold reports whether this daemon owns the cold target t and has requests
// or permits on it. Such a target is not given up, so that its next owner finds
// nothing in use.
func (s *State) usesCold(t *target) bool {
	own := s.owned[t.name]
	return own != nil && !own.until.IsZero() && t.cold && t.inflight+len(own.permits) > 0
}

// coldInUse reports whether any owned target is cold and in use.
func (s *State) coldInUse() bool {
	for name := range s.owned {
		if t := s.targets[name]; t != nil && s.usesCold(t) {
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
		if own != nil {
			own.until = time.Time{}
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
		own.usable = s.now.Add(maxColdUse + permitMargin)
	}
	own.fence = ev.Fence
	own.until = ev.Until
}

// owns reports whether this daemon may say now who uses t. A target that it
// gives up is owned no more from the moment when that is decided, since its next
// owner finds no record and does not wait.
func (s *State) owns(t *target) bool {
	own := s.owned[t.name]
	return own != nil && s.now.Before(own.until) && slices.Contains(s.wanted, t.name) && !s.drained
}

// coldRoom reports whether this daemon, as the owner, may put one more request
// on the cold target t.
func (s *State) coldRoom(t *target) bool {
	own := s.owned[t.name]
	if own == nil || !s.owns(t) || s.now.Before(own.usable) || t.incarnation == 0 {
		return false
	}
	return t.inflight+len(own.permits) < t.spec.ColdLimit
}

const (
	// maxColdUse is the longest time that one request may use a cold target. A
	// new owner waits for it before it uses a target that it took over.
	maxColdUse = 30 * time.Second
	// permitRetry is when a refused peer should ask again.
	permitRetry = 100 * time.Millisecond
	// permitMargin covers the travel of a permit's answer and of the request.
	permitMargin = time.Second
)

// boundColdUse limits how late r may be sent to its reserved target and how long
// it may run there, while the target is cold.
func (s *State) boundColdUse(r *request) {
	r.sendBy, r.cutoff = time.Time{}, time.Time{}
	if !r.target.cold {
		return
	}
	r.cutoff = s.now.Add(maxColdUse)
	if own := s.owned[r.target.name]; own != nil {
		r.sendBy = own.until
	}
}

// askable returns a cold target whose owner may give leave to run r there, or
// nil. Targets of the own data centre go first.
func (s *State) askable(r *request) *target {
	var remote *target
	for _, t := range s.byService[r.service] {
		if !s.mayAsk(t, r) {
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

// mayAsk reports whether t's owner may be asked for leave to run r.
func (s *State) mayAsk(t *target, r *request) bool {
	if !t.cold || t.incarnation == 0 || t.asking || s.now.Before(t.askAfter) || t.open(s.now) || r.tried[t.name] {
		return false
	}
	if t.spec.DataCentre != s.cfg.DataCentre && !r.profile.SpillOver {
		return false
	}
	owner := s.expectedOwner(t)
	return s.takesWork(t) && owner != s.cfg.Host && owner != ""
}

// expectedOwner returns the live daemon that should own t, or "" when none of
// t's data centre is heard.
func (s *State) expectedOwner(t *target) identifier.Host {
	return identifier.Host(placer.First(placer.KeyOf(t.name), s.hostNames[t.spec.DataCentre]))
}

// askForPermit asks a cold target's owner for leave to run r there, and reports
// whether there is one to ask.
func (s *State) askForPermit(r *request) bool {
	t := s.askable(r)
	if t == nil {
		return false
	}
	t.asking = true
	r.asks++
	s.asked[permitKey{s.cfg.Host, r.id, r.asks}] = true
	r.phase = phasePermit
	term := min(r.deadline.Sub(s.now), maxColdUse)
	s.emit(AskPermit{Owner: s.expectedOwner(t), Request: r.id, Number: r.asks, Target: t.name, Term: term})
	return true
}

func (s *State) onPermitAsked(ev PermitAsked) {
	t, own := s.targets[ev.Target], s.owned[ev.Target]
	if t != nil && own != nil && !t.cold && s.owns(t) {
		s.emit(AnswerPermit{Call: ev.Call, RetryAfter: permitRetry, Warm: true, Incarnation: t.incarnation, Age: s.now.Sub(t.heard)})
		return
	}
	if t == nil || !s.takesWork(t) || !s.hasRoom(t) {
		s.emit(AnswerPermit{Call: ev.Call, RetryAfter: permitRetry})
		return
	}
	if own != nil {
		until := s.now.Add(min(ev.Term, maxColdUse) + permitMargin)
		own.permits[permitKey{ev.From, ev.Request, ev.Number}] = permit{until, t.incarnation}
	}
	s.emit(AnswerPermit{Call: ev.Call, Granted: true, Incarnation: t.incarnation})
}

func (s *State) onPermitReturned(ev PermitReturned) {
	if own := s.owned[ev.Target]; own != nil {
		delete(own.permits, permitKey{ev.From, ev.Request, ev.Number})
	}
}

// onPermitSettled starts the request if its owner gave leave, and puts it back
// into the queue otherwise.
func (s *State) onPermitSettled(ev PermitSettled) {
	question := permitKey{s.cfg.Host, ev.Request, ev.Number}
	if !s.asked[question] {
		return
	}
	delete(s.asked, question)
	t := s.targets[ev.Target]
	if t != nil {
		t.asking = false
		if !ev.Granted {
			t.askAfter = s.now.Add(max(ev.RetryAfter, permitRetry))
		}
	}
	if ev.Granted {
		s.learn(ev.Target, ev.Incarnation, true)
	}
	if ev.Warm {
		s.onOwnerWarm(t, ev)
	}
	r := s.requests[ev.Request]
	waiting := r != nil && r.phase == phasePermit && r.asks == ev.Number
	if ev.Granted && (!waiting || !s.permitUsable(t, ev)) {
		s.emit(ReturnPermit{Owner: ev.Owner, Request: ev.Request, Number: ev.Number, Target: ev.Target})
	}
	switch {
	case !waiting:
		return
	case !ev.Granted || !s.permitUsable(t, ev):
		s.requeue(r)
	default:
		s.startPermitted(r, t, ev)
	}
}

// onOwnerWarm ends the suspicion that t has turned cold, if its owner has read
// a later report of the same incarnation.
func (s *State) onOwnerWarm(t *target, ev PermitSettled) {
	asOf := ev.Asked.Add(-ev.Age)
	if t == nil || ev.Incarnation != t.incarnation || !asOf.After(t.heard) {
		return
	}
	t.heard = asOf
	s.onIncarnationSeen(t.name, ev.Incarnation, false)
}

// permitUsable reports whether a granted permit still fits what is known of t.
func (s *State) permitUsable(t *target, ev PermitSettled) bool {
	return t != nil && s.takesWork(t) && ev.Incarnation == t.incarnation && s.now.Before(ev.Asked.Add(maxColdUse))
}

func (s *State) startPermitted(r *request, t *target, ev PermitSettled) {
	c := choice{target: t, plan: s.plainPlan(r, t)}
	s.reserve(r, c)
	r.permitFrom = ev.Owner
	s.noteDecision(r, c)
	r.cutoff = earlier(r.deadline, ev.Asked.Add(maxColdUse))
	r.sendBy = r.cutoff
	s.start(r)
}

// returnPermit tells the owner that r no longer uses its permit.
func (s *State) returnPermit(r *request) {
	if r.permitFrom == "" {
		return
	}
	s.emit(ReturnPermit{Owner: r.permitFrom, Request: r.id, Number: r.asks, Target: r.target.name})
	r.permitFrom = ""
}

// keepPlace counts r's place on a cold target as used until its attempt ends by
// itself, because the target may still run it.
func (s *State) keepPlace(r *request) {
	if r.cutoff.IsZero() || r.target.incarnation != r.incarnation {
		return
	}
	if r.permitFrom != "" {
		r.permitFrom = "" // The owner's record of the permit ends by its term.
		return
	}
	if own := s.owned[r.target.name]; own != nil {
		until := earlier(r.deadline, r.cutoff).Add(permitMargin)
		own.permits[permitKey{s.cfg.Host, r.id, r.number}] = permit{until, r.incarnation}
	}
}

// endPermits forgets the permits for earlier incarnations of t, which run nothing any more.
func (s *State) endPermits(t *target) {
	own := s.owned[t.name]
	if own == nil {
		return
	}
	maps.DeleteFunc(own.permits, func(_ permitKey, p permit) bool { return p.incarnation < t.incarnation })
}

// expirePermits forgets the permits that no daemon can still use, and the lost
// ownerships that have none left.
func (s *State) expirePermits() {
	for name, own := range s.owned {
		maps.DeleteFunc(own.permits, func(_ permitKey, p permit) bool { return s.now.After(p.until) })
		if own.until.IsZero() && len(own.permits) == 0 && !s.now.Before(own.usable) {
			delete(s.owned, name)
		}
	}
}
