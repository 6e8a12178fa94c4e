package reducer

import (
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// owning holds which targets this daemon owns and the permits it gave for them.
type owning struct {
	// hosts are the live daemons of the data centre, this one included.
	hosts []identifier.Host
	owned map[identifier.Target]*ownership
}

// ownership is the right to say who uses a cold target.
type ownership struct {
	fence uint64
	// usable is when permits of earlier owners have ended.
	usable  time.Time
	permits map[permitKey]time.Time
}

// permitKey names one permit of a peer.
type permitKey struct {
	host    identifier.Host
	request identifier.Request
}

func newOwning(self identifier.Host) owning {
	return owning{
		hosts: []identifier.Host{self},
		owned: map[identifier.Target]*ownership{},
	}
}

func (s *State) onPeersChanged(ev PeersChanged) {
	hosts := slices.Clone(ev.Hosts)
	if !slices.Contains(hosts, s.cfg.Host) {
		hosts = append(hosts, s.cfg.Host)
	}
	slices.Sort(hosts)
	if slices.Equal(hosts, s.hosts) {
		return
	}
	s.hosts = hosts
	s.assignTargets()
}

// assignTargets states which targets this daemon owns and reads: those of its
// data centre for which it is first among the live daemons.
func (s *State) assignTargets() {
	members := make([]string, len(s.hosts))
	for i, host := range s.hosts {
		members[i] = string(host)
	}
	var wanted []identifier.Target
	var read []TargetAddress
	for _, t := range s.sortedTargets() {
		if t.spec.DataCentre != s.cfg.DataCentre {
			continue
		}
		if first(string(t.name), members) == string(s.cfg.Host) {
			wanted = append(wanted, t.name)
			model := s.fleet.Services[t.spec.Service].Kind == specifier.ServiceModel
			read = append(read, TargetAddress{Target: t.name, Address: t.spec.Address, Model: model})
		}
	}
	s.emit(WantTargets{Targets: wanted})
	s.emit(ReadTargets{Targets: read})
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
	if !ev.Held {
		delete(s.owned, ev.Target)
		return
	}
	s.owned[ev.Target] = &ownership{
		fence:   ev.Fence,
		usable:  s.now.Add(ev.Quarantine),
		permits: map[permitKey]time.Time{},
	}
}

// coldRoom reports whether this daemon, as the owner, may put one more request
// on the cold target t.
func (s *State) coldRoom(t *target) bool {
	own := s.owned[t.name]
	if own == nil || s.now.Before(own.usable) || t.incarnation == 0 {
		return false
	}
	return t.inflight+len(own.permits) < t.spec.ColdLimit
}

func (s *State) onPermitAsked(ev PermitAsked) {
	t, own := s.targets[ev.Target], s.owned[ev.Target]
	if t == nil || own == nil || !t.cold || !s.takesWork(t) || !s.coldRoom(t) {
		s.emit(AnswerPermit{Call: ev.Call, RetryAfter: permitRetry})
		return
	}
	own.permits[permitKey{ev.From, ev.Request}] = s.now.Add(ev.Term + permitMargin)
	s.emit(AnswerPermit{Call: ev.Call, Granted: true})
}

const (
	// permitRetry is when a refused peer should ask again.
	permitRetry = 100 * time.Millisecond
	// permitMargin covers the travel of a permit's answer and of the request.
	permitMargin = time.Second
)

func (s *State) onPermitReturned(ev PermitReturned) {
	if own := s.owned[ev.Target]; own != nil {
		delete(own.permits, permitKey{ev.From, ev.Request})
	}
}

func (s *State) onPermitSettled(ev PermitSettled) {
	r := s.requests[ev.Request]
	if r == nil || r.phase != phasePermit {
		return
	}
	s.requeue(r)
}

func (s *State) expirePermits() {
	for _, own := range s.owned {
		for key, until := range own.permits {
			if s.now.After(until) {
				delete(own.permits, key)
			}
		}
	}
}
