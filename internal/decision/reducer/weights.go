package reducer

import (
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// weightOrders schedules the orders to load weights. The owner of a target compares
// each load report with the configuration and repeats the order for the desired
// weights until the target reports them. This corrects lost orders and orders of an
// earlier owner.
type weightOrders struct {
	// nextOrder is the earliest time for the next order to each target.
	nextOrder map[identifier.Target]time.Time
}

const (
	// orderInterval is the minimum time between two orders to one target.
	orderInterval = time.Second
	// orderTimeout limits the duration of one order.
	orderTimeout = time.Second
	// missingVersionPause is how long prompts are not sent to a target that refused
	// their weight version.
	missingVersionPause = 250 * time.Millisecond
)

func newWeightOrders() weightOrders {
	return weightOrders{nextOrder: map[identifier.Target]time.Time{}}
}

// wantedWeights returns the weights that the targets of a service should load, in
// the order of the service's models.
func (s *State) wantedWeights(service identifier.Service) []Weights {
	var wanted []Weights
	for _, name := range s.fleet.Services[service].Models {
		model := s.fleet.Models[name]
		wanted = append(wanted, Weights{Model: name, Version: model.Version, Adapters: model.Adapters})
	}
	return wanted
}

// checkWeights sends an order to t if its load report lacks wanted weights and this
// daemon owns it.
func (s *State) checkWeights(t *target, loaded []Weights) {
	wanted := s.wantedWeights(t.spec.Service)
	if len(wanted) == 0 || len(loaded) == 0 {
		return
	}
	if !slices.ContainsFunc(wanted, func(w Weights) bool { return !containsWeights(loaded, w) }) {
		t.missingVersion = ""
		return
	}
	if !s.owns(t) || s.now.Before(s.nextOrder[t.name]) {
		return
	}
	s.nextOrder[t.name] = s.now.Add(orderInterval)
	s.emit(Order{Target: t.name, Address: t.spec.Address, Fence: s.owned[t.name].fence, Weights: wanted, Timeout: orderTimeout})
}

// containsWeights reports whether loaded contains the wanted version with all of its
// adapters.
func containsWeights(loaded []Weights, wanted Weights) bool {
	return slices.ContainsFunc(loaded, func(l Weights) bool {
		if l.Model != wanted.Model || l.Version != wanted.Version {
			return false
		}
		return !slices.ContainsFunc(wanted.Adapters, func(a identifier.Adapter) bool { return !slices.Contains(l.Adapters, a) })
	})
}

// recordMissingVersion records that t refused r because of its weight version.
func (s *State) recordMissingVersion(t *target, r *request) {
	t.missingVersion = r.version
	t.missingUntil = s.now.Add(missingVersionPause)
}

// lacksVersion reports whether t recently refused r's weight version.
func (t *target) lacksVersion(r *request, now time.Time) bool {
	return r.prompt != nil && t.missingVersion != "" && t.missingVersion == r.version && now.Before(t.missingUntil)
}

// rebindWaiting switches the requests without a target to the weight versions of the
// active configuration.
func (s *State) rebindWaiting() {
	for _, r := range s.requests {
		if r.phase == phaseQueued || r.phase == phaseLookup || r.phase == phaseFollowing {
			s.rebindVersion(r)
		}
	}
}

// pruneOrders removes the entries of targets that no longer exist.
func (s *State) pruneOrders() {
	for name := range s.nextOrder {
		if s.targets[name] == nil {
			delete(s.nextOrder, name)
		}
	}
}
