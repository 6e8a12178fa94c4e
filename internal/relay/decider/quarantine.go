package decider

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// fatalCrashes is the number of crashes without an answer in between after which requests with a
	// suspect are refused.
	fatalCrashes = 3
	// partRetention is how long a part stays in quarantine without a crash or trial, and requestRetention a
	// whole request.
	partRetention    = 2 * time.Hour
	requestRetention = 24 * time.Hour
	// maxQuarantined bounds the suspects in quarantine.
	maxQuarantined = 64
	// listedAnswerAge is the age up to which an answer outweighs that the platform's store lists a suspect:
	// its crashes took longer.
	listedAnswerAge = (fatalCrashes - 1) * simultaneousCrashes
	// quarantineKeepers is how many hosts write a suspect to the platform's store, and keepInterval the
	// shortest interval between their attempts.
	quarantineKeepers = 2
	keepInterval      = time.Second
)

// QuarantinedSuspect is what a host announces of a suspect in quarantine.
type QuarantinedSuspect struct {
	descriptor.Suspect
	// FirstAge and LastAge are the times since the first and the last crash that count, or since the last
	// trial if that was later.
	FirstAge time.Duration `cbor:"3,keyasint,omitempty"`
	LastAge  time.Duration `cbor:"4,keyasint,omitempty"`
	// Trials is the number of requests that were let through.
	Trials int `cbor:"5,keyasint,omitempty"`
}

// quarantine holds what crashes targets. Requests with it are refused, but for a few trials. An answer ends
// the quarantine of a suspect.
type quarantine struct {
	quarantined map[descriptor.Suspect]*quarantinedSuspect
	// quarantineCheckedAt is when old entries were last dropped.
	quarantineCheckedAt time.Time
}

type quarantinedSuspect struct {
	firstAt, lastAt time.Time
	trials          int
	trialClaim
	// kept is true once the platform's store has the suspect, which was last listed at listedRevision of
	// listedEra; 0 if never. keepTriedAt is when this host last wrote it.
	kept                      bool
	listedEra, listedRevision int64
	keepTriedAt               time.Time
}

func newQuarantine() quarantine {
	return quarantine{quarantined: map[descriptor.Suspect]*quarantinedSuspect{}}
}

// quarantineFatal quarantines those of some suspects on which enough targets have crashed. If that holds for
// several, only those at the most crashes are to blame: what sound requests have too is at no more of them
// than what is at fault. A whole request is blamed rather than its parts, as these are in other requests.
func (s *State) quarantineFatal(suspects []crashSuspect) {
	var fatal []descriptor.Suspect
	most := 0
	for _, x := range suspects {
		list := s.crashes[x.Suspect]
		if countCrashes(x.Suspect, list) < fatalCrashes || s.mayBeChance(x.Suspect, list) {
			continue
		}
		narrower := len(fatal) > 0 && x.IsRequest() && !fatal[0].IsRequest()
		switch wider := len(fatal) > 0 && !x.IsRequest() && fatal[0].IsRequest(); {
		case len(list) > most || len(list) == most && narrower:
			fatal, most = []descriptor.Suspect{x.Suspect}, len(list)
		case len(list) == most && !wider:
			fatal = append(fatal, x.Suspect)
		}
	}
	lists := make([][]suspectCrash, len(fatal))
	for i, x := range fatal {
		lists[i] = slices.Clone(s.crashes[x])
	}
	for i, x := range fatal {
		first, last := lists[i][0].at, lists[i][len(lists[i])-1].at
		var crashed []string
		for _, c := range lists[i] {
			crashed = append(crashed, c.process.target)
		}
		s.log(x.Kind()+" quarantined", "", x.Kind(), x.String(), "crashed", crashed, "within", last.Sub(first))
		s.addQuarantine(x, &quarantinedSuspect{firstAt: first, lastAt: last})
		for _, c := range lists[i] {
			s.explainCrash(c.process)
		}
		s.broadcast()
	}
}

// addQuarantine adds a suspect. If there are too many, it replaces the one whose last crash is the oldest.
func (s *State) addQuarantine(x descriptor.Suspect, q *quarantinedSuspect) {
	for len(s.quarantined) >= maxQuarantined {
		var oldest descriptor.Suspect
		for p, other := range s.quarantined {
			if o := s.quarantined[oldest]; o == nil || other.lastAt.Before(o.lastAt) {
				oldest = p
			}
		}
		s.dropQuarantine(oldest, "too many suspects are in quarantine")
	}
	s.quarantined[x] = q
}

// adoptQuarantine adds a suspect that others have found to crash targets.
func (s *State) adoptQuarantine(x descriptor.Suspect, q *quarantinedSuspect) {
	for _, c := range slices.Clone(s.crashes[x]) {
		s.explainCrash(c.process)
	}
	s.addQuarantine(x, q)
	s.passOn()
}

// dropQuarantine ends the quarantine of a suspect, in the platform's store too.
func (s *State) dropQuarantine(x descriptor.Suspect, reason string) {
	q := s.quarantined[x]
	delete(s.quarantined, x)
	s.log("quarantine lifted", "", x.Kind(), x.String(), "why", reason, "trials", q.trials, "after", s.now.Sub(q.firstAt))
	if q.kept && s.keepsQuarantine(x) {
		s.emit(DropQuarantine{x})
	}
}

// liftQuarantine ends the quarantine of a suspect that was answered after the first crash. It returns
// whether it was in quarantine.
func (s *State) liftQuarantine(x descriptor.Suspect, answeredAt time.Time) bool {
	q := s.quarantined[x]
	if q == nil || !answeredAt.After(q.firstAt) {
		return false
	}
	s.dropQuarantine(x, "a request with it was answered")
	return true
}

// quarantinedSuspectsOf returns what is in quarantine of r: the request, or parts of its prompt.
func (s *State) quarantinedSuspectsOf(r *request) []descriptor.Suspect {
	if len(s.quarantined) == 0 {
		return nil
	}
	var list []descriptor.Suspect
	if x, ok := r.suspect(); ok && s.quarantined[x] != nil {
		list = append(list, x)
	}
	for _, part := range sharedParts(r.prompt) {
		if s.quarantined[part] != nil {
			list = append(list, part)
		}
	}
	return list
}

// keepsQuarantine reports whether this host writes a suspect to the platform's store.
func (s *State) keepsQuarantine(x descriptor.Suspect) bool {
	return s.roleRank("quarantine|"+x.String()) < quarantineKeepers
}

// keepQuarantine writes the suspects to the platform's store that it lacks.
func (s *State) keepQuarantine() {
	for x, q := range s.quarantined {
		if q.kept || s.now.Sub(q.keepTriedAt) < keepInterval || !s.keepsQuarantine(x) {
			continue
		}
		q.keepTriedAt = s.now
		s.emit(KeepQuarantine{descriptor.KeptSuspect{Suspect: x, Trials: q.claimedTrials(x)}})
	}
}

// expireQuarantine lifts the quarantine of suspects that were not tried for long.
func (s *State) expireQuarantine() {
	if s.now.Sub(s.quarantineCheckedAt) < crashCheckInterval {
		return
	}
	s.quarantineCheckedAt = s.now
	for x, q := range maps.Clone(s.quarantined) {
		if s.now.Sub(q.lastAt) > quarantineRetention(x) {
			s.dropQuarantine(x, "no request with it was tried for long")
		}
	}
}

// quarantineRetention is how long x stays in quarantine without a crash or trial.
func quarantineRetention(x descriptor.Suspect) time.Duration {
	if x.IsRequest() {
		return requestRetention
	}
	return partRetention
}

func (s *State) onQuarantineKept(ev QuarantineKept) {
	if ev.Err != nil {
		s.log("failed to keep quarantine", "", ev.Suspect.Kind(), ev.Suspect.String(), "error", ev.Err.Error())
		return
	}
	if q := s.quarantined[ev.Suspect]; q != nil {
		q.kept = true
	}
}

// onQuarantineListed quarantines what other hosts have written to the platform's store, as before this host
// started or while it doesn't hear them. It lifts the quarantine of what others have removed from there.
func (s *State) onQuarantineListed(ev QuarantineListed) {
	listed := make(map[descriptor.Suspect]bool, len(ev.Suspects))
	for _, kept := range ev.Suspects {
		x := kept.Suspect
		listed[x] = true
		if s.quarantined[x] == nil && s.now.Sub(s.lastAnswered(x)) > listedAnswerAge {
			s.log(x.Kind()+" quarantined", "", x.Kind(), x.String(), "listed", true, "trials", kept.Trials)
			s.adoptQuarantine(x, &quarantinedSuspect{firstAt: s.now, lastAt: s.now, trials: kept.Trials})
		}
		if q := s.quarantined[x]; q != nil {
			q.kept, q.listedEra, q.listedRevision = true, ev.Era, ev.Revision
			s.learnTrials(q, kept.Trials, s.now)
		}
	}
	for x, q := range maps.Clone(s.quarantined) {
		if listed[x] || q.listedRevision == 0 {
			continue
		}
		q.kept = false
		if q.listedEra == ev.Era && ev.Revision > q.listedRevision {
			s.clearSuspect(x, s.now)
		}
	}
}

// announcedQuarantine returns what is in quarantine for a message.
func (s *State) announcedQuarantine() []QuarantinedSuspect {
	var list []QuarantinedSuspect
	for x, q := range s.quarantined {
		list = append(list, QuarantinedSuspect{x, s.now.Sub(q.firstAt), s.now.Sub(q.lastAt), q.trials})
	}
	return list
}

// applyQuarantine adopts what a peer has in quarantine, unless it was answered since.
func (s *State) applyQuarantine(m Message) {
	for _, a := range m.Quarantined[:min(len(m.Quarantined), maxQuarantined)] {
		x := a.Suspect
		if !x.IsValid() {
			continue // Hosts of an earlier build know no whole requests, and pass them on like this.
		}
		firstAt, lastAt := s.now.Add(-a.FirstAge), s.now.Add(-a.LastAge)
		if answeredAt := s.lastAnswered(x); answeredAt.After(firstAt) && s.messageAgesReliable(s.now) {
			s.announceAnswer(x, answeredAt, true)
			continue
		}
		q := s.quarantined[x]
		if q == nil {
			s.log(x.Kind()+" quarantined", "", x.Kind(), x.String(), "peer", m.Host, "trials", a.Trials)
			s.adoptQuarantine(x, &quarantinedSuspect{firstAt: firstAt, lastAt: lastAt, trials: a.Trials})
			continue
		}
		s.learnTrials(q, a.Trials, lastAt)
		if a.Trials == q.trials {
			q.lastAt = latest(q.lastAt, lastAt)
		}
	}
}

// Quarantined returns the numbers of parts and of whole requests in quarantine.
func (s *State) Quarantined() (parts, requests int) {
	for x := range s.quarantined {
		if x.IsRequest() {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests
}
