// Package holder decides how a daemon holds its session and owns targets. It
// is a pure state machine: it is handed events with the time and returns effects.
//
// A daemon's session lasts for a term from before the request of its last
// renewal was sent; the daemon stops a margin earlier. Nobody but the session's
// incarnation replaces it before having seen its version unchanged for a whole
// term. A token that is not in the host's session any more is therefore out of
// force, and so is each owner's record that names it. One renewal keeps any
// number of targets.
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
	// Margin is how much earlier than the session's end the holder stops. It
	// covers the delay of orders and the drift of clocks.
	Margin time.Duration
	// Wait is how long a taker sees a session's version unchanged before it
	// bars the session. It must be at least Term.
	Wait time.Duration
	// Jitter is the share, from 0 to 1, by which pauses are shortened at random.
	Jitter float64
	// Rand is the source of the jitter; it is not used when Jitter is 0.
	Rand *rand.Rand
}

const (
	// renewalsPerTerm is the number of renewals in one term.
	renewalsPerTerm = 3
	// retriesPerTerm is the number of repeated calls in one term.
	retriesPerTerm = 12
)

// State is the state of one daemon. It is used by one goroutine.
type State struct {
	cfg     Config
	self    self
	targets map[identifier.Target]*target
	rivals  map[identifier.Host]*rival
	// dropped is the highest version of an owner's record that was given up.
	dropped uint64
	stopped bool
	// effects collects the effects of one Reduce.
	effects []Effect
}

// New returns the State of a daemon that has no session yet.
func New(cfg Config) *State {
	return &State{
		cfg:     cfg,
		targets: make(map[identifier.Target]*target),
		rivals:  make(map[identifier.Host]*rival),
	}
}

// Reduce applies ev at now and returns what is to be done. Values of now come
// from one monotonic clock.
func (s *State) Reduce(ev Event, now time.Time) []Effect {
	s.effects = nil
	switch ev := ev.(type) {
	case Woken:
	case Wanted:
		s.setWanted(ev.Targets, now)
	case Stopped:
		s.stop(now)
	case SessionRead:
		s.sessionRead(ev, now)
	case SessionWritten:
		s.sessionWritten(ev, now)
	case OwnerRead:
		s.ownerRead(ev, now)
	case OwnerWritten:
		s.ownerWritten(ev, now)
	}
	s.advance(now)
	return s.effects
}

// Held returns the fencing number of t and the time until which it may be
// used, and whether it may be used at now.
func (s *State) Held(t identifier.Target, now time.Time) (fence uint64, until time.Time, ok bool) {
	tt := s.targets[t]
	if tt == nil || !tt.wanted || !s.owns(tt) || !s.valid(now) {
		return 0, time.Time{}, false
	}
	return tt.fence, s.self.until(s.cfg), true
}

// advance starts all that is due at now and asks to be woken for the next.
func (s *State) advance(now time.Time) {
	if s.stopped {
		return
	}
	s.advanceSelf(now)
	var next time.Time
	if !s.self.pending {
		next = earliest(next, s.self.due, now)
	}
	for _, name := range s.sortedTargets() {
		t := s.targets[name]
		s.report(name, t, now)
		s.advanceTarget(name, t, now)
		if !t.pending {
			next = earliest(next, t.due, now)
		}
	}
	if s.valid(now) {
		next = earliest(next, s.self.until(s.cfg), now)
	}
	if !next.IsZero() {
		s.emit(WakeAt{Time: next})
	}
}

// earliest returns the earlier of next and t, without times that are past. A
// zero next stands for none.
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

// pause returns d shortened by the jitter.
func (s *State) pause(d time.Duration) time.Duration {
	if s.cfg.Jitter <= 0 {
		return d
	}
	return d - time.Duration(s.cfg.Rand.Float64()*s.cfg.Jitter*float64(d))
}

func (s *State) renewPause() time.Duration { return s.pause(s.cfg.Term / renewalsPerTerm) }

func (s *State) retryPause() time.Duration { return s.pause(s.cfg.Term / retriesPerTerm) }

// stop ends the session with one call. Takers see that the session is gone
// and need not wait.
func (s *State) stop(now time.Time) {
	if s.stopped {
		return
	}
	s.stopped = true
	for _, name := range s.sortedTargets() {
		s.report(name, s.targets[name], now)
	}
	if s.self.version > 0 {
		s.emit(DeleteSession{Host: s.cfg.Host, Expect: s.self.version, NotBefore: now.Add(s.cfg.Margin)})
	}
}

func (s *State) newToken() string {
	s.self.life++
	return fmt.Sprintf("%s/%s/%d", s.cfg.Host, s.cfg.Nonce, s.self.life)
}
