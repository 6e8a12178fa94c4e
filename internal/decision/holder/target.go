package holder

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// target is what the daemon knows of one target's owner.
type target struct {
	wanted bool
	// known is true after a read or write that settled the owner's record.
	known bool
	// version is the version of the owner's record, or 0 if there is none.
	version uint64
	owner   Owner
	// fence is the version of the daemon's own record.
	fence uint64
	// reported is the fencing number of the last Gained without a Lost.
	reported uint64
	// created is true when the daemon's own record replaced no other one, so that
	// no earlier owner can have left anything in use.
	created bool
	// wrote is the record of the write in progress; empty for a deletion.
	wrote   Owner
	pending bool
	due     time.Time
}

func (s *State) setWanted(names []identifier.Target, now time.Time) {
	wanted := make(map[identifier.Target]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	for name, t := range s.targets {
		if t.wanted && !wanted[name] {
			// Orders on their way arrive before the target is given up.
			t.wanted = false
			t.due = now.Add(s.cfg.Margin)
		}
	}
	for _, name := range names {
		t := s.targets[name]
		if t == nil {
			t = &target{}
			s.targets[name] = t
		}
		if !t.wanted {
			t.wanted = true
			t.due = now
		}
	}
	s.forgetRivals()
}

// forgetRivals drops what was seen of hosts that no known record names. A host
// that is met again is observed for the whole wait again.
func (s *State) forgetRivals() {
	named := make(map[identifier.Host]bool, len(s.rivals))
	for _, t := range s.targets {
		named[t.owner.Host] = true
	}
	for host, r := range s.rivals {
		if !r.pending && !named[host] {
			delete(s.rivals, host)
		}
	}
}

// owns reports whether the owner's record names the present incarnation.
func (s *State) owns(t *target) bool {
	return t.known && t.version > 0 && t.owner.Host == s.cfg.Host && t.owner.Token == s.self.token
}

// report emits Gained and Lost when the ownership at now differs from the last report.
func (s *State) report(name identifier.Target, t *target, now time.Time) {
	var fence uint64
	if t.wanted && s.owns(t) && s.valid(now) {
		fence = t.fence
	}
	if fence == t.reported {
		return
	}
	if t.reported != 0 {
		s.emit(Lost{Target: name, Fence: t.reported})
	}
	if fence != 0 {
		s.emit(Gained{Target: name, Fence: fence, Created: t.created})
	}
	t.reported = fence
}

// advanceTarget starts the next call for t if one is due.
func (s *State) advanceTarget(name identifier.Target, t *target, now time.Time) {
	switch {
	case t.pending || now.Before(t.due):
	case !t.wanted:
		s.giveUp(name, t)
	case !s.valid(now):
	case !t.known:
		t.pending = true
		s.emit(ReadOwner{Target: name})
	case s.owns(t):
	case t.version == 0:
		s.take(name, t)
	default:
		s.contest(name, t, now)
	}
}

// giveUp deletes the record of a target that is not wanted any more, and
// forgets the target once nothing of this incarnation can be left.
func (s *State) giveUp(name identifier.Target, t *target) {
	switch {
	case !t.known:
		t.pending = true
		s.emit(ReadOwner{Target: name})
	case t.version > 0 && t.owner.Host == s.cfg.Host:
		s.drop(name, t)
	default:
		delete(s.targets, name)
	}
}

// drop deletes the daemon's own record. The record is not trusted from then on,
// since the deletion may take effect at any later time.
func (s *State) drop(name identifier.Target, t *target) {
	t.pending = true
	t.known = false
	t.wrote = Owner{}
	s.dropped = max(s.dropped, t.version)
	s.emit(DeleteOwner{Target: name, Expect: t.version})
}

func (s *State) take(name identifier.Target, t *target) {
	t.pending = true
	t.created = t.version == 0
	t.wrote = Owner{Host: s.cfg.Host, Token: s.self.token}
	s.emit(WriteOwner{Target: name, Owner: t.wrote, Expect: t.version})
}

// contest takes the target if its owner's incarnation is out of force, and
// otherwise looks at the owner and its session again after a pause.
func (s *State) contest(name identifier.Target, t *target, now time.Time) {
	host := t.owner.Host
	if host == s.cfg.Host {
		// The session of this host holds the present incarnation's token.
		s.take(name, t)
		return
	}
	r := s.rival(host)
	if r.gone(t) {
		s.take(name, t)
		return
	}
	if !r.pending {
		r.pending = true
		s.emit(ReadSession{Host: host})
	}
	t.known = false
	t.due = now.Add(s.contestPause(r, now))
}

// contestPause returns the time to the end of the wait, or to the next look.
func (s *State) contestPause(r *rival, now time.Time) time.Duration {
	look := s.renewPause()
	if left := r.seenAt.Add(s.cfg.Wait).Sub(now); r.version > 0 && left > 0 && left < look {
		return left
	}
	return look
}

func (s *State) ownerRead(ev OwnerRead, now time.Time) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	t.pending = false
	switch ev.Outcome {
	case OutcomeOK:
		t.known = true
		t.version = ev.Version
		t.owner = ev.Owner
		t.fence = ev.Version
		t.created = false
		if ev.Version <= s.dropped && ev.Owner.Host == s.cfg.Host {
			// The record may be one that was dropped, so it is written anew.
			t.owner.Token = ""
		}
	case OutcomeMissing:
		t.known = true
		t.version = 0
		t.owner = Owner{}
	default:
		s.retryAt(t, now.Add(s.retryPause()))
	}
}

// retryAt sets the time of the next call for t. A target that is being given
// up keeps a later time.
func (s *State) retryAt(t *target, at time.Time) {
	if t.wanted || at.After(t.due) {
		t.due = at
	}
}

func (s *State) ownerWritten(ev OwnerWritten, now time.Time) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	t.pending = false
	t.known = ev.Outcome == OutcomeOK
	switch {
	case !t.known:
		s.retryAt(t, now.Add(s.retryPause()))
	case t.known && t.wrote == (Owner{}):
		t.version = 0
		t.owner = Owner{}
	case t.known:
		t.version = ev.Version
		t.fence = ev.Version
		t.owner = t.wrote
	}
}
