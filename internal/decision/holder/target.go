package holder

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// target tracks the ownership of one target.
type target struct {
	wanted bool
	// recordKnown is true after a read or write with a definite result, until the
	// record must be read again.
	recordKnown bool
	// version is the version of the owner's record, or 0 if there is none.
	version uint64
	owner   Owner
	// mustRewrite is true when a delayed deletion may still remove the daemon's own
	// record, which must then be written again with a new version before use.
	mustRewrite bool
	// fence is the fencing token, which is the version of the daemon's own record.
	fence uint64
	// reportedFence is the fencing token of the last Gained without a Lost.
	reportedFence uint64
	// created is true when the daemon's own record replaced no other one, so that
	// no earlier owner can have left the target in use.
	created bool
	// inUseUntil is when no request that an earlier owner admitted can run any more;
	// zero if there is no earlier owner.
	inUseUntil time.Time
	// pendingOwner is the record of the write in progress; empty for a deletion.
	pendingOwner Owner
	// pending is true while a call to the platform is in progress.
	pending    bool
	nextCallAt time.Time
}

// setWanted acquires the targets in names and releases all others.
func (s *State) setWanted(names []identifier.Target, now time.Time) {
	wanted := make(map[identifier.Target]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	for name, t := range s.targets {
		if t.wanted && !wanted[name] {
			// Wait until the orders that were already sent have arrived.
			t.wanted = false
			t.nextCallAt = now.Add(s.cfg.Margin)
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
			t.nextCallAt = now
		}
	}
	s.pruneObserved()
}

// pruneObserved drops the sessions of hosts that no known owner's record names.
// If such a host turns up again, the whole takeover delay applies again.
func (s *State) pruneObserved() {
	named := make(map[identifier.Host]bool, len(s.observed))
	for _, t := range s.targets {
		named[t.owner.Host] = true
	}
	for host, o := range s.observed {
		if !o.pending && !named[host] {
			delete(s.observed, host)
		}
	}
}

// owns reports whether the owner's record names the current incarnation and can be used.
func (s *State) owns(t *target) bool {
	return t.recordKnown && s.wroteOwner(t) && !t.mustRewrite
}

// wroteOwner reports whether the owner's record names the current incarnation.
func (s *State) wroteOwner(t *target) bool {
	return t.version > 0 && t.owner.Host == s.cfg.Host && t.owner.Token == s.own.token
}

// reportOwnership emits Gained and Lost if the ownership at now differs from
// the last report.
func (s *State) reportOwnership(name identifier.Target, t *target, now time.Time) {
	var fence uint64
	if t.wanted && s.owns(t) && s.sessionValid(now) {
		fence = t.fence
	}
	if fence == t.reportedFence {
		return
	}
	if t.reportedFence != 0 {
		s.emit(Lost{Target: name, Fence: t.reportedFence})
	}
	if fence != 0 {
		s.emit(Gained{Target: name, Fence: fence, Created: t.created})
	}
	t.reportedFence = fence
}

// advanceTarget starts the next call for t if one is due.
func (s *State) advanceTarget(name identifier.Target, t *target, now time.Time) {
	switch {
	case t.pending || now.Before(t.nextCallAt):
	case !t.wanted:
		s.releaseTarget(name, t, now)
	case !s.sessionValid(now):
	case !t.recordKnown:
		t.pending = true
		s.emit(ReadOwner{Target: name})
	case s.owns(t):
	case t.version == 0:
		s.writeOwner(name, t)
	default:
		s.takeOverIfExpired(name, t, now)
	}
}

// releaseTarget deletes the daemon's own record of a target that is no longer wanted,
// and then stops tracking the target. If an earlier owner or incarnation may have left
// the target in use, a record stays, so that the next owner takes the target over.
func (s *State) releaseTarget(name identifier.Target, t *target, now time.Time) {
	switch {
	case !t.recordKnown:
		t.pending = true
		s.emit(ReadOwner{Target: name})
	case s.wroteOwner(t) && now.Before(t.inUseUntil):
		s.markReleased(name, t)
	case s.wroteOwner(t):
		s.deleteOwner(name, t)
	default:
		delete(s.targets, name)
	}
}

// deleteOwner deletes the host's record of a target. The deletion may take
// effect at any later time, so the record must be read or written again before use.
func (s *State) deleteOwner(name identifier.Target, t *target) {
	s.startRelease(t, Owner{})
	s.emit(DeleteOwner{Target: name, Expect: t.version})
}

// markReleased replaces the host's record of a target by one that any host may take over
// at once. Like a deletion, the write may take effect at any later time.
func (s *State) markReleased(name identifier.Target, t *target) {
	s.startRelease(t, Owner{Host: s.cfg.Host, Token: releasedToken})
	s.emit(WriteOwner{Target: name, Owner: t.pendingOwner, Expect: t.version})
}

// startRelease records that the target's record is about to be replaced by owner.
func (s *State) startRelease(t *target, owner Owner) {
	t.pending = true
	t.recordKnown = false
	t.pendingOwner = owner
	s.maxDeletedVersion = max(s.maxDeletedVersion, t.version)
}

// writeOwner makes this incarnation the owner if the record is still the known one.
func (s *State) writeOwner(name identifier.Target, t *target) {
	t.pending = true
	t.created = t.version == 0
	t.pendingOwner = Owner{Host: s.cfg.Host, Token: s.own.token}
	s.emit(WriteOwner{Target: name, Owner: t.pendingOwner, Expect: t.version})
}

// takeOverIfExpired takes over the target if its owner's session has expired.
// Otherwise it reads the session and checks the owner again later.
func (s *State) takeOverIfExpired(name identifier.Target, t *target, now time.Time) {
	host := t.owner.Host
	if host == s.cfg.Host || t.owner.Token == releasedToken {
		// The record names an earlier incarnation, which this session has replaced, or
		// an owner that has released the target.
		s.writeOwner(name, t)
		return
	}
	o := s.observedSession(host)
	if o.ownerExpired(t) {
		s.writeOwner(name, t)
		return
	}
	if !o.pending {
		o.pending = true
		s.emit(ReadSession{Host: host})
	}
	t.recordKnown = false
	t.nextCallAt = now.Add(s.takeoverCheckDelay(o, now))
}

// takeoverCheckDelay returns the time to the next check of the owner, which is
// at the latest when the takeover delay ends.
func (s *State) takeoverCheckDelay(o *observedSession, now time.Time) time.Duration {
	delay := s.renewalDelay()
	if left := o.unchangedSince.Add(s.cfg.TakeoverDelay).Sub(now); o.version > 0 && left > 0 && left < delay {
		return left
	}
	return delay
}

func (s *State) handleOwnerRead(ev OwnerRead, now time.Time) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	t.pending = false
	switch ev.Outcome {
	case OutcomeOK:
		t.recordKnown = true
		if ev.Version != t.version {
			t.inUseUntil = now.Add(s.cfg.MaxUse)
		}
		t.version = ev.Version
		t.owner = ev.Owner
		t.fence = ev.Version
		t.created = false
		t.mustRewrite = ev.Version <= s.maxDeletedVersion && ev.Owner.Host == s.cfg.Host
	case OutcomeMissing:
		t.recordKnown = true
		t.version = 0
		t.owner = Owner{}
	default:
		s.retryAt(t, now.Add(s.retryDelay()))
	}
}

// retryAt sets the time of the next call for t. If t is being released and its
// next call is later, it keeps that time.
func (s *State) retryAt(t *target, at time.Time) {
	if t.wanted || at.After(t.nextCallAt) {
		t.nextCallAt = at
	}
}

func (s *State) handleOwnerWritten(ev OwnerWritten, now time.Time) {
	t := s.targets[ev.Target]
	if t == nil {
		return
	}
	t.pending = false
	t.recordKnown = ev.Outcome == OutcomeOK
	switch {
	case !t.recordKnown:
		s.retryAt(t, now.Add(s.retryDelay()))
	case t.recordKnown && t.pendingOwner == (Owner{}):
		t.version = 0
		t.owner = Owner{}
	case t.recordKnown:
		t.version = ev.Version
		t.fence = ev.Version
		t.owner = t.pendingOwner
		t.mustRewrite = false
		t.inUseUntil = time.Time{}
		if !t.created {
			t.inUseUntil = now.Add(s.cfg.MaxUse)
		}
	}
}
