package reducer

import (
	"maps"
	"slices"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// configuration is the fleet's configuration in force and its indexes.
type configuration struct {
	version uint64
	fleet   specifier.Fleet
	// services lists the names of the services in order.
	services []identifier.Service
	// teamOfKey finds the team of a bearer key's hash.
	teamOfKey map[string]identifier.Team
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
	s.rebuildTargets()
	s.groupHosts()
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

func (s *State) onMembersChanged(ev MembersChanged) {
	s.leaving = make(map[identifier.Target]bool, len(ev.Leaving))
	for _, name := range ev.Leaving {
		s.leaving[name] = true
	}
}

// profileOf returns the profile that a service picks.
func (s *State) profileOf(service identifier.Service) specifier.Profile {
	return s.fleet.Profiles[s.fleet.Services[service].Profile]
}

// takesWork reports whether operators and the membership list let t take new work.
func (s *State) takesWork(t *target) bool {
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
	var names []string
	for name, store := range s.fleet.Stores {
		if store.DataCentre == centre && store.State != specifier.StateOut {
			names = append(names, string(name))
		}
	}
	if len(names) == 0 {
		return "", specifier.Store{}, false
	}
	best := identifier.Store(first(r.keys[0].String(), names))
	return best, s.fleet.Stores[best], true
}
