package holder

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// rival is what a taker has seen of another host's session.
type rival struct {
	version uint64
	session Session
	// seenAt is when version was first seen.
	seenAt  time.Time
	pending bool
}

// waited reports whether the session was unchanged for the whole wait.
func (r *rival) waited(cfg Config, now time.Time) bool {
	return r.version > 0 && !now.Before(r.seenAt.Add(cfg.Wait))
}

// observe notes a read of a session at now.
func (s *State) observe(ev SessionRead, now time.Time) *rival {
	r := s.rival(ev.Host)
	if ev.Outcome == OutcomeOK && ev.Version > r.version {
		r.version = ev.Version
		r.session = ev.Session
		r.seenAt = now
	}
	return r
}

func (s *State) rival(host identifier.Host) *rival {
	r := s.rivals[host]
	if r == nil {
		r = &rival{}
		s.rivals[host] = r
	}
	return r
}

func (s *State) sessionRead(ev SessionRead, now time.Time) {
	if ev.Host == s.cfg.Host {
		s.selfRead(ev, now)
		return
	}
	r := s.observe(ev, now)
	r.pending = false
	s.hasten(ev.Host, r, now)
	switch {
	case ev.Outcome == OutcomeMissing:
		s.bar(ev.Host, r, 0)
	case ev.Outcome == OutcomeOK && ev.Version == r.version && r.waited(s.cfg, now):
		s.bar(ev.Host, r, r.version)
	}
}

// bar writes a record without a token, after which no renewal of the former
// incarnation can take effect.
func (s *State) bar(host identifier.Host, r *rival, expect uint64) {
	if s.stopped || !s.contested(host) {
		return
	}
	r.pending = true
	s.emit(WriteSession{Host: host, Session: Session{Host: host}, Expect: expect})
}

// contested reports whether a wanted target names host as its owner.
func (s *State) contested(host identifier.Host) bool {
	for _, t := range s.targets {
		if t.wanted && t.version > 0 && t.owner.Host == host {
			return true
		}
	}
	return false
}

func (s *State) sessionWritten(ev SessionWritten, now time.Time) {
	if ev.Host == s.cfg.Host {
		s.selfWritten(ev, now)
		return
	}
	r := s.rival(ev.Host)
	r.pending = false
	if ev.Outcome != OutcomeOK {
		return
	}
	r.version = ev.Version
	r.session = Session{Host: ev.Host}
	r.seenAt = now
	s.hasten(ev.Host, r, now)
}

// hasten looks at once at the targets whose owner is found to be out of force.
func (s *State) hasten(host identifier.Host, r *rival, now time.Time) {
	for _, t := range s.targets {
		if t.wanted && t.owner.Host == host && r.gone(t) {
			t.due = now
		}
	}
}

// gone reports whether the incarnation that owner names is out of force: the
// host's session was barred by this daemon after the owner's record was seen,
// or it was seen with another token after that record was written.
func (r *rival) gone(t *target) bool {
	if r.version == 0 || r.session.Token == t.owner.Token {
		return false
	}
	return r.version > t.version
}
