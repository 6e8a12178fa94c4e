package holder

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// observedSession is the last known state of another host's session, or of this
// host's previous incarnation.
type observedSession struct {
	version uint64
	session Session
	// unchangedSince is when version was first seen.
	unchangedSince time.Time
	// pending is true while a call for the session is in progress.
	pending bool
}

// expired reports whether the session was unchanged for the takeover delay.
func (o *observedSession) expired(cfg Config, now time.Time) bool {
	return o.version > 0 && !now.Before(o.unchangedSince.Add(cfg.TakeoverDelay))
}

// observe records the result of a read, unless it is older than what is known.
func (s *State) observe(ev SessionRead, now time.Time) *observedSession {
	o := s.observedSession(ev.Host)
	if ev.Outcome == OutcomeOK && ev.Version > o.version {
		o.version = ev.Version
		o.session = ev.Session
		o.unchangedSince = now
	}
	return o
}

func (s *State) observedSession(host identifier.Host) *observedSession {
	o := s.observed[host]
	if o == nil {
		o = &observedSession{}
		s.observed[host] = o
	}
	return o
}

func (s *State) handleSessionRead(ev SessionRead, now time.Time) {
	if ev.Host == s.cfg.Host {
		s.handleOwnSessionRead(ev, now)
		return
	}
	o := s.observe(ev, now)
	o.pending = false
	s.scheduleTakeovers(ev.Host, o, now)
	switch {
	case ev.Outcome == OutcomeMissing:
		s.revokeSession(ev.Host, o, 0)
	case ev.Outcome == OutcomeOK && ev.Version == o.version && o.expired(s.cfg, now):
		s.revokeSession(ev.Host, o, o.version)
	}
}

// revokeSession writes a record without a token, so that no further renewal of
// the session can take effect.
func (s *State) revokeSession(host identifier.Host, o *observedSession, expect uint64) {
	if s.stopped || !s.hostOwnsWantedTarget(host) {
		return
	}
	o.pending = true
	s.emit(WriteSession{Host: host, Session: Session{Host: host}, Expect: expect})
}

// hostOwnsWantedTarget reports whether a wanted target names host as its owner.
func (s *State) hostOwnsWantedTarget(host identifier.Host) bool {
	for _, t := range s.targets {
		if t.wanted && t.version > 0 && t.owner.Host == host {
			return true
		}
	}
	return false
}

func (s *State) handleSessionWritten(ev SessionWritten, now time.Time) {
	if ev.Host == s.cfg.Host {
		s.handleOwnSessionWritten(ev, now)
		return
	}
	o := s.observedSession(ev.Host)
	o.pending = false
	if ev.Outcome != OutcomeOK {
		return
	}
	o.version = ev.Version
	o.session = Session{Host: ev.Host}
	o.unchangedSince = now
	s.scheduleTakeovers(ev.Host, o, now)
}

// scheduleTakeovers schedules an immediate takeover of host's wanted targets whose
// owner's session has expired.
func (s *State) scheduleTakeovers(host identifier.Host, o *observedSession, now time.Time) {
	for _, t := range s.targets {
		if t.wanted && t.owner.Host == host && o.ownerExpired(t) {
			t.nextCallAt = now
		}
	}
}

// ownerExpired reports whether the session of t's owner has expired: this daemon
// revoked it after it had read the owner's record, or the session was seen with
// another token after that record was written.
func (o *observedSession) ownerExpired(t *target) bool {
	if o.version == 0 || o.session.Token == t.owner.Token {
		return false
	}
	return o.version > t.version
}
