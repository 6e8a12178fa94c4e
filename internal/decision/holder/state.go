// Package holder decides how a daemon renews its session and which targets it
// owns. It is a pure state machine that takes events with their time and returns
// effects.
//
// A session is a lease that lasts for one term from the time at which its last
// successful renewal was sent. The daemon stops using it a safety margin
// earlier. Other incarnations and hosts replace a session only after they have
// seen its version unchanged for a whole term. A token that is no longer in its
// host's session has therefore expired, and so has each owner's record that
// names it. One renewal keeps any number of targets.
package holder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// Config configures a State.
type Config struct {
	Host       identifier.Host
	DataCentre identifier.DataCentre
	// Nonce is unique to the process; it makes the tokens unique.
	Nonce string
	// Term is how long a session lasts without a renewal.
	Term time.Duration
	// Margin is how long before the session's end the daemon stops using it. It
	// covers the delay of orders and the drift of clocks.
	Margin time.Duration
	// TakeoverDelay is how long a session's version must stay unchanged before
	// another host revokes it. It must be at least Term.
	TakeoverDelay time.Duration
	// MaxUse is how long the requests that an owner admitted may run after another
	// daemon has taken its target over.
	MaxUse time.Duration
	// Jitter is the share, from 0 to 1, by which delays are shortened at random.
	Jitter float64
	// Rand is the source of the jitter; it is not used when Jitter is 0.
	Rand *rand.Rand
}

const (
	renewalsPerTerm = 3
	retriesPerTerm  = 12
)

// State holds the session and the targets of one daemon. It is not safe for
// concurrent use.
type State struct {
	cfg      Config
	own      ownSession
	targets  map[identifier.Target]*target
	observed map[identifier.Host]*observedSession
	// maxDeletedVersion is the highest version of an owner's record that the
	// daemon has asked to delete or to mark as released.
	maxDeletedVersion uint64
	stopped           bool
	effects           []Effect // of the current Reduce
}

// New returns the State of a daemon that has no session yet.
func New(cfg Config) *State {
	return &State{
		cfg:      cfg,
		targets:  make(map[identifier.Target]*target),
		observed: make(map[identifier.Host]*observedSession),
	}
}

// Reduce applies ev at now and returns the effects to execute. All values of
// now must come from one monotonic clock.
func (s *State) Reduce(ev Event, now time.Time) []Effect {
	s.effects = nil
	switch ev := ev.(type) {
	case TimerFired:
	case Wanted:
		s.setWanted(ev.Targets, now)
	case StopRequested:
		s.stop(now)
	case SessionRead:
		s.handleSessionRead(ev, now)
	case SessionWritten:
		s.handleSessionWritten(ev, now)
	case OwnerRead:
		s.handleOwnerRead(ev, now)
	case OwnerWritten:
		s.handleOwnerWritten(ev, now)
	}
	s.advance(now)
	return s.effects
}

// Held returns the fencing token of the target name and the time until which
// the daemon may use it, and whether the daemon may use it at now.
func (s *State) Held(name identifier.Target, now time.Time) (fence uint64, until time.Time, ok bool) {
	t := s.targets[name]
	if t == nil || !t.wanted || !s.owns(t) || !s.sessionValid(now) {
		return 0, time.Time{}, false
	}
	return t.fence, s.own.validUntil(s.cfg), true
}

// advance starts all calls that are due at now and sets the timer for the next.
func (s *State) advance(now time.Time) {
	if s.stopped {
		return
	}
	s.advanceOwnSession(now)
	var next time.Time
	if !s.own.pending {
		next = earliest(next, s.own.nextCallAt, now)
	}
	for _, name := range s.sortedTargets() {
		t := s.targets[name]
		s.reportOwnership(name, t, now)
		s.advanceTarget(name, t, now)
		if !t.pending {
			next = earliest(next, t.nextCallAt, now)
		}
	}
	if s.sessionValid(now) {
		next = earliest(next, s.own.validUntil(s.cfg), now)
	}
	if !next.IsZero() {
		s.emit(SetTimer{Time: next})
	}
}

// earliest returns the earlier of next and t. It ignores a zero next and a t
// that is not after now.
func earliest(next, t, now time.Time) time.Time {
	if !t.After(now) || (!next.IsZero() && next.Before(t)) {
		return next
	}
	return t
}

func (s *State) sortedTargets() []identifier.Target {
	names := make([]identifier.Target, 0, len(s.targets))
	for name := range s.targets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// withJitter shortens d at random by up to the configured share.
func (s *State) withJitter(d time.Duration) time.Duration {
	if s.cfg.Jitter <= 0 {
		return d
	}
	return d - time.Duration(s.cfg.Rand.Float64()*s.cfg.Jitter*float64(d))
}

func (s *State) renewalDelay() time.Duration { return s.withJitter(s.cfg.Term / renewalsPerTerm) }

func (s *State) retryDelay() time.Duration { return s.withJitter(s.cfg.Term / retriesPerTerm) }

// stop ends the session with one call. Other hosts then find no session and can
// take over its targets without waiting for the term.
func (s *State) stop(now time.Time) {
	if s.stopped {
		return
	}
	s.stopped = true
	for _, name := range s.sortedTargets() {
		s.reportOwnership(name, s.targets[name], now)
	}
	if s.own.version > 0 {
		s.emit(DeleteSession{Host: s.cfg.Host, Expect: s.own.version, NotBefore: now.Add(s.cfg.Margin)})
	}
}

func (s *State) newToken() string {
	s.own.incarnation++
	return fmt.Sprintf("%s/%s/%d", s.cfg.Host, s.cfg.Nonce, s.own.incarnation)
}
