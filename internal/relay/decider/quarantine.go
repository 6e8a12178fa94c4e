package decider

import (
	"maps"
	"slices"
	"time"
)

const (
	// fatalCrashes is the number of crashes without an answer in between after which requests with a part
	// are refused.
	fatalCrashes = 3
	// minTrialInterval is the time from the last crash to the first request that may try a quarantined
	// part, and trialBackoff the factor from each trial to the next, up to maxTrialInterval.
	minTrialInterval = 10 * time.Second
	trialBackoff     = 4
	maxTrialInterval = time.Hour
	// trialStagger is the time after which one host more may try a part, as no request with it may come
	// to the first ones. It exceeds the time in which hosts learn of a trial.
	trialStagger = time.Second
	// trialNewsTime is how long a host that has started or resumed waits for news of others before it
	// tries a part.
	trialNewsTime = 2*broadcastInterval + maxMessageDelay
	// quarantineRetention is how long a part stays in quarantine without a crash or trial.
	quarantineRetention = 2 * time.Hour
	// maxQuarantined bounds the parts in quarantine.
	maxQuarantined = 64
	// listedAnswerAge is the age up to which an answer outweighs that the platform's store lists a part:
	// its crashes took longer.
	listedAnswerAge = (fatalCrashes - 1) * simultaneousCrashes
	// quarantineKeepers is how many hosts write a part to the platform's store, and keepInterval the
	// shortest interval between their attempts.
	quarantineKeepers = 2
	keepInterval      = time.Second
)

// QuarantinedPart is what a host announces of a part in quarantine.
type QuarantinedPart struct {
	ModelPart
	// FirstAge and LastAge are the times since the first and the last crash that count, or since the last
	// trial if that was later.
	FirstAge time.Duration `cbor:"3,keyasint,omitempty"`
	LastAge  time.Duration `cbor:"4,keyasint,omitempty"`
	// Trials is the number of requests that were let through.
	Trials int `cbor:"5,keyasint,omitempty"`
}

// quarantine holds the parts that crash engines. Requests with them are refused, but for a trial now
// and then. An answer ends the quarantine of a part.
type quarantine struct {
	quarantined map[ModelPart]*quarantinedPart
	// quarantineCheckedAt is when old entries were last dropped.
	quarantineCheckedAt time.Time
}

type quarantinedPart struct {
	firstAt, lastAt time.Time
	trials          int
	// kept is true once the platform's store has the part, which was last listed at listedRevision of
	// listedEra; 0 if never. keepTriedAt is when this host last wrote it.
	kept                      bool
	listedEra, listedRevision int64
	keepTriedAt               time.Time
}

func newQuarantine() quarantine { return quarantine{quarantined: map[ModelPart]*quarantinedPart{}} }

// quarantineFatalParts quarantines those of some parts on which enough engines have crashed. If that
// holds for several, only those at the most crashes are to blame: a part that sound requests have too
// is at no more of them than the one at fault.
func (s *State) quarantineFatalParts(parts []ModelPart) {
	var fatal []ModelPart
	most := 0
	for _, part := range parts {
		list := s.crashes[part]
		if len(list) < fatalCrashes {
			continue
		}
		n := len(crashedProcesses(list))
		if n > most {
			fatal, most = nil, n
		}
		if n == most {
			fatal = append(fatal, part)
		}
	}
	lists := make([][]partCrash, len(fatal))
	for i, part := range fatal {
		lists[i] = s.crashes[part]
	}
	for i, part := range fatal {
		first, last := lists[i][0].at, lists[i][len(lists[i])-1].at
		processes := crashedProcesses(lists[i])
		var crashed []string
		for _, process := range processes {
			crashed = append(crashed, process.target)
		}
		s.log("part quarantined", "", "part", part.String(), "crashed", crashed, "within", last.Sub(first))
		s.addQuarantine(part, &quarantinedPart{firstAt: first, lastAt: last})
		for _, process := range processes {
			s.explainCrash(process)
		}
		s.broadcast()
	}
}

// crashedProcesses returns the processes of all crashes.
func crashedProcesses(list []partCrash) []processID {
	var processes []processID
	for _, c := range list {
		processes = append(processes, c.processes...)
	}
	return processes
}

// addQuarantine adds a part. If there are too many, it replaces the one whose last crash is the oldest.
func (s *State) addQuarantine(part ModelPart, q *quarantinedPart) {
	for len(s.quarantined) >= maxQuarantined {
		var oldest ModelPart
		for p, other := range s.quarantined {
			if o := s.quarantined[oldest]; o == nil || other.lastAt.Before(o.lastAt) {
				oldest = p
			}
		}
		s.dropQuarantine(oldest, "too many parts are in quarantine")
	}
	s.quarantined[part] = q
}

// adoptQuarantine adds a part that others have found to crash engines.
func (s *State) adoptQuarantine(part ModelPart, q *quarantinedPart) {
	for _, process := range crashedProcesses(s.crashes[part]) {
		s.explainCrash(process)
	}
	s.addQuarantine(part, q)
	s.passOn()
}

// dropQuarantine ends the quarantine of a part, in the platform's store too.
func (s *State) dropQuarantine(part ModelPart, reason string) {
	q := s.quarantined[part]
	delete(s.quarantined, part)
	s.log("quarantine lifted", "", "part", part.String(), "why", reason, "trials", q.trials, "after", s.now.Sub(q.firstAt))
	if q.kept && s.keepsQuarantine(part) {
		s.emit(DropQuarantine{part})
	}
}

// liftQuarantine ends the quarantine of a part that was answered after the first crash. It returns
// whether the part was in quarantine.
func (s *State) liftQuarantine(part ModelPart, answeredAt time.Time) bool {
	q := s.quarantined[part]
	if q == nil || !answeredAt.After(q.firstAt) {
		return false
	}
	s.dropQuarantine(part, "a request with it was answered")
	return true
}

// quarantinedPartsOf returns the parts of r that are in quarantine. A stream that the caller has a part
// of has none, as engines have answered it.
func (s *State) quarantinedPartsOf(r *request) []ModelPart {
	if r.prompt == nil || len(s.quarantined) == 0 || r.responseStarted {
		return nil
	}
	return slices.DeleteFunc(sharedParts(r.prompt), func(part ModelPart) bool { return s.quarantined[part] == nil })
}

// waitForTrial returns how long this host must wait until it may send a request with parts that are in
// quarantine, or 0 if it may now. Others may do so before.
func (s *State) waitForTrial(parts []ModelPart) time.Duration {
	var wait time.Duration
	for _, part := range parts {
		q := s.quarantined[part]
		due := q.lastAt.Add(trialInterval(q.trials)).Sub(s.now)
		rank := s.rankIn(s.orderFor("trial|"+part.String()), peerTimeout)
		if due+time.Duration(rank)*trialStagger > 0 {
			wait = max(wait, due, trialStagger)
		}
	}
	if sinceNews := s.now.Sub(latest(s.startedAt, s.resumedAt)); len(parts) > 0 && sinceNews < trialNewsTime {
		wait = max(wait, trialNewsTime-sinceNews) // Others may have tried the parts meanwhile.
	}
	return wait
}

// trialInterval returns the time from the last crash or trial to the next trial.
func trialInterval(trials int) time.Duration {
	interval := minTrialInterval
	for range trials {
		interval = min(trialBackoff*interval, maxTrialInterval)
	}
	return interval
}

// recordTrial records that r is sent although it has parts in quarantine.
func (s *State) recordTrial(r *request, parts []ModelPart) {
	for _, part := range parts {
		q := s.quarantined[part]
		q.trials++
		q.lastAt = s.now
		s.log("trial of a quarantined part", r.id, "part", part.String(), "trials", q.trials)
	}
	if len(parts) > 0 {
		s.broadcast()
	}
}

// keepsQuarantine reports whether this host writes a part to the platform's store.
func (s *State) keepsQuarantine(part ModelPart) bool {
	return s.roleRank("quarantine|"+part.String()) < quarantineKeepers
}

// keepQuarantine writes the parts to the platform's store that it lacks.
func (s *State) keepQuarantine() {
	for part, q := range s.quarantined {
		if q.kept || s.now.Sub(q.keepTriedAt) < keepInterval || !s.keepsQuarantine(part) {
			continue
		}
		q.keepTriedAt = s.now
		s.emit(KeepQuarantine{part})
	}
}

// expireQuarantine lifts the quarantine of parts that were not seen for long.
func (s *State) expireQuarantine() {
	if s.now.Sub(s.quarantineCheckedAt) < crashCheckInterval {
		return
	}
	s.quarantineCheckedAt = s.now
	for part, q := range maps.Clone(s.quarantined) {
		if s.now.Sub(q.lastAt) > quarantineRetention {
			s.dropQuarantine(part, "no request with it was tried for long")
		}
	}
}

func (s *State) onQuarantineKept(ev QuarantineKept) {
	if ev.Err != nil {
		s.log("failed to keep quarantine", "", "part", ev.Part.String(), "error", ev.Err.Error())
		return
	}
	if q := s.quarantined[ev.Part]; q != nil {
		q.kept = true
	}
}

// onQuarantineListed quarantines the parts that other hosts have written to the platform's store, as
// before this host started or while it doesn't hear them. It lifts the quarantine of those that others
// have removed from there.
func (s *State) onQuarantineListed(ev QuarantineListed) {
	listed := make(map[ModelPart]bool, len(ev.Parts))
	for _, part := range ev.Parts {
		listed[part] = true
		if s.quarantined[part] == nil && s.now.Sub(s.lastAnsweredPart(part)) > listedAnswerAge {
			s.log("part quarantined", "", "part", part.String(), "listed", true)
			s.adoptQuarantine(part, &quarantinedPart{firstAt: s.now, lastAt: s.now})
		}
		if q := s.quarantined[part]; q != nil {
			q.kept, q.listedEra, q.listedRevision = true, ev.Era, ev.Revision
		}
	}
	for part, q := range maps.Clone(s.quarantined) {
		if listed[part] || q.listedRevision == 0 {
			continue
		}
		q.kept = false
		if q.listedEra == ev.Era && ev.Revision > q.listedRevision {
			s.clearPart(part, s.now)
		}
	}
}

// announcedQuarantine returns the parts in quarantine for a message.
func (s *State) announcedQuarantine() []QuarantinedPart {
	var list []QuarantinedPart
	for part, q := range s.quarantined {
		list = append(list, QuarantinedPart{part, s.now.Sub(q.firstAt), s.now.Sub(q.lastAt), q.trials})
	}
	return list
}

// applyQuarantine adopts the parts that a peer has in quarantine, unless one was answered since.
func (s *State) applyQuarantine(m Message) {
	for _, a := range m.Quarantined[:min(len(m.Quarantined), maxQuarantined)] {
		firstAt, lastAt := s.now.Add(-a.FirstAge), s.now.Add(-a.LastAge)
		if answeredAt := s.lastAnsweredPart(a.ModelPart); answeredAt.After(firstAt) && s.messageAgesReliable(s.now) {
			s.announceAnswer(a.ModelPart, answeredAt, true)
			continue
		}
		q := s.quarantined[a.ModelPart]
		if q == nil {
			s.log("part quarantined", "", "part", a.String(), "peer", m.Host, "trials", a.Trials)
			s.adoptQuarantine(a.ModelPart, &quarantinedPart{firstAt: firstAt, lastAt: lastAt, trials: a.Trials})
			continue
		}
		if a.Trials > q.trials {
			q.trials = a.Trials
			s.passOn()
		}
		if a.Trials == q.trials {
			q.lastAt = latest(q.lastAt, lastAt)
		}
	}
}

// Quarantined returns the number of parts in quarantine.
func (s *State) Quarantined() int { return len(s.quarantined) }
