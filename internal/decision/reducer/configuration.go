package reducer

import (
	"maps"
	"slices"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// configuration is the active fleet configuration with its indexes.
type configuration struct {
	version uint64
	fleet   specifier.Fleet
	// services lists the names of the services in sorted order.
	services []identifier.Service
	// teamOfKey maps the hash of a bearer key to its team.
	teamOfKey map[string]identifier.Team
	// serviceOf maps a model to the first service, by name, that offers it.
	serviceOf map[identifier.Model]identifier.Service
	// profiles maps each service to its profile.
	profiles map[identifier.Service]*specifier.Profile
	// stores lists the names of each data centre's stores that are in service, sorted.
	stores map[identifier.DataCentre][]string
	// leaving holds the targets that are marked as leaving in the membership list.
	leaving map[identifier.Target]bool
}

func newConfiguration() configuration {
	return configuration{
		teamOfKey: map[string]identifier.Team{},
		leaving:   map[identifier.Target]bool{},
	}
}

// Version returns the version of the active configuration, or 0 if there is none yet.
func (s *State) Version() uint64 { return s.version }

// onConfigAdopted activates a configuration if it is newer than the current one.
func (s *State) onConfigAdopted(ev ConfigAdopted) {
	if ev.Version <= s.version {
		return
	}
	s.version = ev.Version
	s.fleet = ev.Fleet
	s.services = slices.Sorted(maps.Keys(s.fleet.Services))
	s.indexTeams()
	s.indexServices()
	s.indexStores()
	s.rebuildTargets()
	s.groupHosts()
	s.pruneUnconfigured()
	s.pruneOrders()
	s.rebindWaiting()
	s.assignTargets()
}

func (s *State) indexTeams() {
	s.teamOfKey = make(map[string]identifier.Team, len(s.fleet.Teams))
	for name, team := range s.fleet.Teams {
		for _, hash := range team.KeyHashes {
			s.teamOfKey[hash] = name
		}
	}
}

func (s *State) indexServices() {
	s.serviceOf = map[identifier.Model]identifier.Service{}
	s.profiles = make(map[identifier.Service]*specifier.Profile, len(s.services))
	for _, name := range s.services {
		service := s.fleet.Services[name]
		profile := s.fleet.Profiles[service.Profile]
		s.profiles[name] = &profile
		for _, model := range service.Models {
			if s.serviceOf[model] == "" {
				s.serviceOf[model] = name
			}
		}
	}
}

func (s *State) indexStores() {
	s.stores = map[identifier.DataCentre][]string{}
	for name, store := range s.fleet.Stores {
		if store.State != specifier.StateOut {
			s.stores[store.DataCentre] = append(s.stores[store.DataCentre], string(name))
		}
	}
	for _, names := range s.stores {
		slices.Sort(names)
	}
}

// pruneUnconfigured removes the entries of teams, stores and services that the
// configuration no longer contains, so that the size of the maps stays bounded by it.
func (s *State) pruneUnconfigured() {
	for name := range s.buckets {
		if _, ok := s.fleet.Teams[name]; !ok {
			delete(s.buckets, name)
		}
	}
	for name := range s.links {
		if _, ok := s.fleet.Stores[name]; !ok {
			delete(s.links, name)
		}
	}
	for service, q := range s.queues {
		for name := range q.virtualFinish {
			if _, ok := s.fleet.Teams[name]; !ok {
				delete(q.virtualFinish, name)
			}
		}
		if _, ok := s.fleet.Services[service]; !ok && len(q.waiting) == 0 {
			delete(s.queues, service)
		}
	}
}

func (s *State) onMembersChanged(ev MembersChanged) {
	s.leaving = make(map[identifier.Target]bool, len(ev.Leaving))
	for _, name := range ev.Leaving {
		s.leaving[name] = true
	}
	for _, t := range s.targets {
		t.acceptsWork = s.shouldAcceptWork(t)
	}
}

// emptyProfile is used for services that the configuration does not contain.
var emptyProfile specifier.Profile

// profileOf returns the profile of a service. The caller must not modify it.
func (s *State) profileOf(service identifier.Service) *specifier.Profile {
	if profile := s.profiles[service]; profile != nil {
		return profile
	}
	return &emptyProfile
}

// acceptsWork reports whether t may get new work, according to operators and the
// membership list.
func (s *State) acceptsWork(t *target) bool { return t.acceptsWork }

// shouldAcceptWork computes the result of acceptsWork from the configuration and the
// membership list.
func (s *State) shouldAcceptWork(t *target) bool {
	if t.spec.State == specifier.StateOut || s.leaving[t.name] {
		return false
	}
	return s.fleet.DataCentres[t.spec.DataCentre].State != specifier.StateOut
}

// storeFor returns the store for r's prefix. It is chosen by rendezvous hashing in
// the data centre of the prefix's home target, so that all daemons choose the same one.
func (s *State) storeFor(r *request) (identifier.Store, specifier.Store, bool) {
	centre := s.cfg.DataCentre
	if home := s.homeOf(r, s.byService[r.service]); home != nil {
		centre = home.spec.DataCentre
	}
	stores := s.stores[centre]
	if len(stores) == 0 {
		return "", specifier.Store{}, false
	}
	best := identifier.Store(placer.First(placer.KeyOfBytes(r.keys[0][:]), stores))
	return best, s.fleet.Stores[best], true
}
