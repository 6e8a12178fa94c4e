package holder

import (
	"time"
)

// ownSession is the daemon's own session.
type ownSession struct {
	// incarnation numbers the sessions of this process. A session that is lost
	// is followed by a new one with another token.
	incarnation int
	token       string
	// version is the session's version, or 0 before its first write is confirmed.
	version uint64
	// previousVersion is the version of the previous incarnation's record,
	// which the first write replaces, or 0 if there is none.
	previousVersion uint64
	// renewal numbers the last write. sentAt holds the times at which the
	// unconfirmed writes and the last confirmed one were sent.
	renewal uint64
	sentAt  map[uint64]time.Time
	// validFrom is when the last write that took effect was sent.
	validFrom time.Time
	// pending is true while a call to the platform is in progress.
	pending bool
	// mustRead is true when the session must be read before the next write.
	mustRead   bool
	nextCallAt time.Time
}

// validUntil returns when the daemon must stop using the session, which is a
// safety margin before its term ends.
func (o *ownSession) validUntil(cfg Config) time.Time { return o.validFrom.Add(cfg.Term - cfg.Margin) }

// sessionValid reports whether the daemon may rely on its session at now.
func (s *State) sessionValid(now time.Time) bool {
	return !s.stopped && s.own.version > 0 && now.Before(s.own.validUntil(s.cfg))
}

// advanceOwnSession reads, creates or renews the session when a call is due.
func (s *State) advanceOwnSession(now time.Time) {
	own := &s.own
	if own.token == "" {
		s.startIncarnation(now)
	}
	if own.pending || now.Before(own.nextCallAt) {
		return
	}
	own.pending = true
	if own.mustRead {
		s.emit(ReadSession{Host: s.cfg.Host})
		return
	}
	s.writeOwnSession(now)
}

func (s *State) startIncarnation(now time.Time) {
	incarnation := s.own.incarnation
	s.own = ownSession{incarnation: incarnation, nextCallAt: now, mustRead: true, sentAt: make(map[uint64]time.Time)}
	s.own.token = s.newToken()
}

func (s *State) writeOwnSession(now time.Time) {
	own := &s.own
	own.renewal++
	own.dropExpiredSendTimes(now, s.cfg.Term)
	own.sentAt[own.renewal] = now
	expect := own.version
	if expect == 0 {
		expect = own.previousVersion
	}
	s.emit(WriteSession{
		Host: s.cfg.Host,
		Session: Session{
			Host: s.cfg.Host, DataCentre: s.cfg.DataCentre, Token: own.token,
			Renewal: own.renewal, TermMilliseconds: s.cfg.Term.Milliseconds(),
		},
		Expect: expect,
	})
}

// dropExpiredSendTimes drops the times of writes whose term has passed even if
// they take effect now. This bounds sentAt during an outage of the platform.
func (o *ownSession) dropExpiredSendTimes(now time.Time, term time.Duration) {
	for n, sent := range o.sentAt {
		if now.Sub(sent) > term {
			delete(o.sentAt, n)
		}
	}
}

// confirmWrite records that the write numbered renewal created version.
func (s *State) confirmWrite(renewal, version uint64) {
	own := &s.own
	if version <= own.version {
		return
	}
	own.version = version
	if sent, ok := own.sentAt[renewal]; ok {
		own.validFrom = sent
	}
	for n := range own.sentAt {
		if n < renewal {
			delete(own.sentAt, n)
		}
	}
}

func (s *State) handleOwnSessionWritten(ev SessionWritten, now time.Time) {
	own := &s.own
	own.pending = false
	switch ev.Outcome {
	case OutcomeOK:
		s.confirmWrite(own.renewal, ev.Version)
		own.mustRead = false
		own.nextCallAt = own.validFrom.Add(s.renewalDelay())
	case OutcomeConflict, OutcomeUnknown:
		own.mustRead = true
		own.nextCallAt = now
	default:
		own.nextCallAt = now.Add(s.retryDelay())
	}
}

func (s *State) handleOwnSessionRead(ev SessionRead, now time.Time) {
	own := &s.own
	own.pending = false
	own.nextCallAt = now.Add(s.retryDelay())
	switch {
	case ev.Outcome == OutcomeMissing && own.version == 0:
		own.previousVersion = 0
		own.mustRead = false
		if own.renewal == 0 {
			own.nextCallAt = now
		}
	case ev.Outcome == OutcomeMissing:
		s.startIncarnation(now)
	case ev.Outcome != OutcomeOK:
	case ev.Session.Token == own.token:
		own.mustRead = false
		if ev.Version > own.version {
			s.confirmWrite(ev.Session.Renewal, ev.Version)
			own.nextCallAt = s.nextRenewal(now)
		}
	case own.version == 0:
		s.awaitPreviousIncarnation(ev, now)
	case ev.Version > own.version:
		s.startIncarnation(now)
	}
}

// nextRenewal returns when to renew after a read that found the daemon's own
// record: at once if the regular time of the renewal has passed.
func (s *State) nextRenewal(now time.Time) time.Time {
	due := s.own.validFrom.Add(s.renewalDelay())
	if due.Before(now) {
		return now
	}
	return due
}

// awaitPreviousIncarnation replaces the record of the host's previous
// incarnation once that session has expired, which takes as long as the takeover
// of another host's session.
func (s *State) awaitPreviousIncarnation(ev SessionRead, now time.Time) {
	own := &s.own
	o := s.observe(ev, now)
	if ev.Session.Token == "" || o.expired(s.cfg, now) {
		own.previousVersion = ev.Version
		own.mustRead = false
		own.nextCallAt = now
		return
	}
	own.nextCallAt = o.unchangedSince.Add(s.cfg.TakeoverDelay)
}
