package reducer

import (
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// weighing holds the orders to load weights. The owner of a target compares each
// of its reports with the configuration and orders the wanted end state again
// until the target shows it, so that a lost order or one of an earlier owner is
// made good.
type weighing struct {
	// orderAfter is when each target may be sent another order.
	orderAfter map[identifier.Target]time.Time
}

const (
	// orderInterval is the time between two orders to one target.
	orderInterval = time.Second
	// orderTimeout bounds one order.
	orderTimeout = time.Second
	// versionPause is for how long a target that lacks a weight version is left
	// alone by prompts of that version.
	versionPause = 250 * time.Millisecond
)

func newWeighing() weighing {
	return weighing{orderAfter: map[identifier.Target]time.Time{}}
}

// wantedWeights returns the weights that the targets of a service are to have, in
// the order of the service's models.
func (s *State) wantedWeights(service identifier.Service) []Weights {
	var wanted []Weights
	for _, name := range s.fleet.Services[service].Models {
		model := s.fleet.Models[name]
		wanted = append(wanted, Weights{Model: name, Version: model.Version, Adapters: model.Adapters})
	}
	return wanted
}

// checkWeights orders a target that this daemon owns to load what its report lacks.
func (s *State) checkWeights(t *target, loaded []Weights) {
	wanted := s.wantedWeights(t.spec.Service)
	if len(wanted) == 0 || len(loaded) == 0 {
		return
	}
	if !slices.ContainsFunc(wanted, func(w Weights) bool { return !contains(loaded, w) }) {
		t.lacking = ""
		return
	}
	if !s.owns(t) || s.now.Before(s.orderAfter[t.name]) {
		return
	}
	s.orderAfter[t.name] = s.now.Add(orderInterval)
	s.emit(Order{Target: t.name, Address: t.spec.Address, Fence: s.owned[t.name].fence, Weights: wanted, Timeout: orderTimeout})
}

// contains reports whether the wanted weights are among the loaded ones.
func contains(loaded []Weights, wanted Weights) bool {
	return slices.ContainsFunc(loaded, func(l Weights) bool {
		if l.Model != wanted.Model || l.Version != wanted.Version {
			return false
		}
		return !slices.ContainsFunc(wanted.Adapters, func(a identifier.Adapter) bool { return !slices.Contains(l.Adapters, a) })
	})
}

// noteLacking remembers that t refused r for its weight version.
func (s *State) noteLacking(t *target, r *request) {
	t.lacking = r.version
	t.lackingUntil = s.now.Add(versionPause)
}

// lacks reports whether t is known to lack r's weight version.
func (t *target) lacks(r *request, now time.Time) bool {
	return r.prompt != nil && t.lacking != "" && t.lacking == r.version && now.Before(t.lackingUntil)
}

// rebindQueued moves the requests that no target has been chosen for to the
// weight versions in force.
func (s *State) rebindQueued() {
	for _, r := range s.requests {
		if r.phase == phaseQueued || r.phase == phaseLookup || r.phase == phaseFollowing {
			s.rebind(r)
		}
	}
}

// forgetOrders drops what is kept of targets that the configuration has no more.
func (s *State) forgetOrders() {
	for name := range s.orderAfter {
		if s.targets[name] == nil {
			delete(s.orderAfter, name)
		}
	}
}
