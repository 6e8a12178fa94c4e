package holder

import (
	"time"
)

// self is the daemon's own session.
type self struct {
	// life counts the incarnations of this process.
	life  int
	token string
	// version is the session's version, or 0 before its first write is settled.
	version uint64
	// base is the version of the former record that the first write replaces.
	base uint64
	// renewal numbers the last write; sentAt holds the times before each
	// unsettled write and the last settled one.
	renewal uint64
	sentAt  map[uint64]time.Time
	// validFrom is the time before the last write that took effect.
	validFrom time.Time
	// pending is true while a call of the platform runs.
	pending bool
	// mustRead is true when the session must be read before the next write.
	mustRead bool
	due      time.Time
}

func (c *self) until(cfg Config) time.Time { return c.validFrom.Add(cfg.Term - cfg.Margin) }

// valid reports whether the daemon's session is in force at now.
func (s *State) valid(now time.Time) bool {
	return !s.stopped && s.self.version > 0 && now.Before(s.self.until(s.cfg))
}

// advanceSelf renews or creates the session when it is due.
func (s *State) advanceSelf(now time.Time) {
	c := &s.self
	if c.token == "" {
		s.newIncarnation(now)
	}
	if c.pending || now.Before(c.due) {
		return
	}
	c.pending = true
	if c.mustRead {
		s.emit(ReadSession{Host: s.cfg.Host})
		return
	}
	s.writeSelf(now)
}

func (s *State) newIncarnation(now time.Time) {
	life := s.self.life
	s.self = self{life: life, due: now, mustRead: true, sentAt: make(map[uint64]time.Time)}
	s.self.token = s.newToken()
}

func (s *State) writeSelf(now time.Time) {
	c := &s.self
	c.renewal++
	c.forgetLapsed(now, s.cfg.Term)
	c.sentAt[c.renewal] = now
	expect := c.version
	if expect == 0 {
		expect = c.base
	}
	s.emit(WriteSession{
		Host: s.cfg.Host,
		Session: Session{
			Host: s.cfg.Host, DataCentre: s.cfg.DataCentre, Token: c.token,
			Renewal: c.renewal, TermMilliseconds: s.cfg.Term.Milliseconds(),
		},
		Expect: expect,
	})
}

// forgetLapsed drops the times of writes that would be out of force even if they
// took effect now, so that a long outage of the platform leaves no long table.
func (c *self) forgetLapsed(now time.Time, term time.Duration) {
	for n, sent := range c.sentAt {
		if now.Sub(sent) > term {
			delete(c.sentAt, n)
		}
	}
}

// settled takes note that the write numbered renewal has made version.
func (s *State) settled(renewal, version uint64) {
	c := &s.self
	if version <= c.version {
		return
	}
	c.version = version
	if sent, ok := c.sentAt[renewal]; ok {
		c.validFrom = sent
	}
	for n := range c.sentAt {
		if n < renewal {
			delete(c.sentAt, n)
		}
	}
}

func (s *State) selfWritten(ev SessionWritten, now time.Time) {
	c := &s.self
	c.pending = false
	switch ev.Outcome {
	case OutcomeOK:
		s.settled(c.renewal, ev.Version)
		c.mustRead = false
		c.due = c.validFrom.Add(s.renewPause())
	case OutcomeConflict, OutcomeUnknown:
		c.mustRead = true
		c.due = now
	default:
		c.due = now.Add(s.retryPause())
	}
}

func (s *State) selfRead(ev SessionRead, now time.Time) {
	c := &s.self
	c.pending = false
	c.due = now.Add(s.retryPause())
	switch {
	case ev.Outcome == OutcomeMissing && c.version == 0:
		c.base = 0
		c.mustRead = false
		if c.renewal == 0 {
			c.due = now
		}
	case ev.Outcome == OutcomeMissing:
		s.newIncarnation(now)
	case ev.Outcome != OutcomeOK:
	case ev.Session.Token == c.token:
		c.mustRead = false
		if ev.Version > c.version {
			s.settled(ev.Session.Renewal, ev.Version)
			c.due = s.dueAfterRead(now)
		}
	case c.version == 0:
		s.former(ev, now)
	case ev.Version > c.version:
		s.newIncarnation(now)
	}
}

// dueAfterRead returns when to renew after a read that found the daemon's own
// record: at once if its newest write is not in force.
func (s *State) dueAfterRead(now time.Time) time.Time {
	due := s.self.validFrom.Add(s.renewPause())
	if due.Before(now) {
		return now
	}
	return due
}

// former waits until the host's former incarnation is out of force, as any
// other taker does, and then replaces its record.
func (s *State) former(ev SessionRead, now time.Time) {
	c := &s.self
	r := s.observe(ev, now)
	if ev.Session.Token == "" || r.waited(s.cfg, now) {
		c.base = ev.Version
		c.mustRead = false
		c.due = now
		return
	}
	c.due = r.seenAt.Add(s.cfg.Wait)
}
