package reducer

import (
	"maps"
	"slices"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// configuration is the fleet's configuration in force and its indexes.
type configuration struct {
	version uint64
	fleet   specifier.Fleet
	// services lists the names of the services in order.
	services []identifier.Service
	// teamOfKey finds the team of a bearer key's hash.
	teamOfKey map[string]identifier.Team
	// serviceOf finds the first service, by name, that offers a model.
	serviceOf map[identifier.Model]identifier.Service
	// profiles finds the profile that each service picks.
	profiles map[identifier.Service]*specifier.Profile
	// stores lists the names of each data centre's stores that take blocks, in order.
	stores map[identifier.DataCentre][]string
	// leaving holds the targets that the membership list calls leaving.
	leaving map[identifier.Target]bool
}

func newConfiguration() configuration {
	return configuration{
		teamOfKey: map[string]identifier.Team{},
		leaving:   map[identifier.Target]bool{},
	}
}

// Version returns the version of the configuration in force, or 0 before the first.
func (s *State) Version() uint64 { return s.version }

// onConfigAdopted puts a version in force unless it is not newer than the present one.
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
	s.forgetUnconfigured()
	s.forgetOrders()
	s.rebindQueued()
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

// forgetUnconfigured drops what is kept of teams and stores that the
// configuration has no more, so that no table outgrows it.
func (s *State) forgetUnconfigured() {
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
		for name := range q.finish {
			if _, ok := s.fleet.Teams[name]; !ok {
				delete(q.finish, name)
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
		t.takes = s.mayTake(t)
	}
}

// noProfile is the profile of a service that does not exist.
var noProfile specifier.Profile

// profileOf returns the profile that a service picks. It must not be changed.
func (s *State) profileOf(service identifier.Service) *specifier.Profile {
	if profile := s.profiles[service]; profile != nil {
		return profile
	}
	return &noProfile
}

// takesWork reports whether operators and the membership list let t take new work.
func (s *State) takesWork(t *target) bool { return t.takes }

// mayTake computes what takesWork reports.
func (s *State) mayTake(t *target) bool {
	if t.spec.State == specifier.StateOut || s.leaving[t.name] {
		return false
	}
	return s.fleet.DataCentres[t.spec.DataCentre].State != specifier.StateOut
}

// storeFor returns the store that keeps r's prefix: one in the data centre of the
// prefix's home target, so that all daemons ask the same one.
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
