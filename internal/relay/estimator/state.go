package estimator

import (
	"maps"
	"time"
)

// service returns the state of a service, or nil if there are too many.
func (e *Estimator) service(name string, now time.Time) *service {
	s := e.services[name]
	if s == nil {
		if e.full(len(e.services), maxServices, now) && len(e.services) >= maxServices {
			return nil
		}
		s = &service{}
		e.services[name] = s
	}
	return s
}

// target returns the state of a target, or nil if there are too many.
func (e *Estimator) target(id string, now time.Time) *target {
	t := e.targets[id]
	if t == nil {
		if e.full(len(e.targets), maxTargets, now) && len(e.targets) >= maxTargets {
			return nil
		}
		t = &target{}
		e.targets[id] = t
	}
	return t
}

// team returns the state of a team at a service, or nil if there are too many.
func (e *Estimator) team(key teamKey, now time.Time) *level {
	t := e.teams[key]
	if t == nil {
		if e.full(len(e.teams), maxTeams, now) && len(e.teams) >= maxTeams {
			return nil
		}
		t = &level{}
		e.teams[key] = t
	}
	return t
}

// kind returns the mean of a kind of requests, or nil if there are too many.
func (e *Estimator) kind(key kindKey, now time.Time) *kind {
	k := e.kinds[key]
	if k == nil {
		if e.full(len(e.kinds), maxKinds, now) && len(e.kinds) >= maxKinds {
			return nil
		}
		k = &kind{}
		e.kinds[key] = k
	}
	return k
}

// full reports whether a bound is reached, after an attempt to make room.
func (e *Estimator) full(n, bound int, now time.Time) bool {
	if n < bound {
		return false
	}
	e.sweep(now)
	return true
}

// sweep removes what is unused, at most once in sweepInterval.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.sweptAt) < sweepInterval {
		return
	}
	e.sweptAt = now
	old := func(at time.Time) bool { return now.Sub(at) > retention }
	maps.DeleteFunc(e.services, func(_ string, s *service) bool { return old(s.speed.at) })
	maps.DeleteFunc(e.targets, func(_ string, t *target) bool { return old(t.speed.at) && old(t.pace.latest().at) })
	maps.DeleteFunc(e.teams, func(_ teamKey, t *level) bool { return old(t.at) })
	maps.DeleteFunc(e.kinds, func(_ kindKey, k *kind) bool { return old(k.time.at) })
}
