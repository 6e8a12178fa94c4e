package decider

import (
	"net/netip"
	"time"
)

// maxUnproven bounds the unproven answers of one target. Those of a busy target are proven by the next
// answer.
const maxUnproven = 64

// unprovenAnswers holds the requests whose answers ended with their connection, which looks the same whether
// their process has completed them or crashed. A later sign of life of the process shows that it answered
// them.
type unprovenAnswers struct {
	process processID
	address netip.AddrPort
	answers []unprovenAnswer
}

type unprovenAnswer struct {
	crashSuspect
	at time.Time
}

// recordRun clears r as a suspect, as t has run it and answered it whole.
func (s *State) recordRun(r *request, t *target, body ReceivedBody) {
	s.proveAnswers(t, r.sentAt)
	x, ok := r.suspect()
	if !ok {
		return
	}
	if body.Framing != FramingConnection {
		s.clearSuspect(x, s.now)
		return
	}
	u := s.unproven[t.ID]
	if u == nil || u.process != t.processID() {
		u = &unprovenAnswers{process: t.processID(), address: t.Address}
		s.unproven[t.ID] = u
	}
	if len(u.answers) >= maxUnproven {
		u.answers = u.answers[1:]
	}
	u.answers = append(u.answers, unprovenAnswer{crashSuspect{Suspect: x, chain: r.chain}, s.now})
}

// proveAnswers records that the process of t lived at a time, so that it had completed its answers before.
func (s *State) proveAnswers(t *target, aliveAt time.Time) {
	u := s.unproven[t.ID]
	if u == nil || u.process != t.processID() {
		return
	}
	var left []unprovenAnswer
	for _, a := range u.answers {
		if aliveAt.After(a.at) {
			s.clearSuspect(a.Suspect, a.at)
		} else {
			left = append(left, a)
		}
	}
	if u.answers = left; len(left) == 0 {
		delete(s.unproven, t.ID)
	}
}

// addTo returns b, or a new brokenTarget, with the suspects of the answers that are recent at now. It
// returns b if there are none.
func (u *unprovenAnswers) addTo(b *brokenTarget, now time.Time) *brokenTarget {
	for _, a := range u.answers {
		if now.Sub(a.at) > suspicionTime {
			continue
		}
		if b == nil || b.process != u.process {
			b = &brokenTarget{process: u.process, address: u.address, at: a.at}
		}
		b.at = earliest(b.at, a.at)
		b.suspects = addSuspects(b.suspects, []crashSuspect{a.crashSuspect})
	}
	return b
}

// isOver reports whether all answers are too old to be suspected at now.
func (u *unprovenAnswers) isOver(now time.Time) bool {
	return now.Sub(u.answers[len(u.answers)-1].at) > suspicionTime
}
