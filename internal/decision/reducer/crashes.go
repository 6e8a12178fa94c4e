package reducer

import (
	"fmt"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

const (
	// fatalCrashes is the number of targets that must have crashed on a request, without an answer in between,
	// for its repeats to be refused.
	fatalCrashes = 3
	// maxRepeatedCrashes is the number of crashes after which the daemon doesn't retry the request.
	maxRepeatedCrashes = 2
	// maxTrials bounds the requests that are let through later, the first one trialInterval after the last
	// crash, the next one trialBackoff times as long after that.
	maxTrials     = 2
	trialInterval = 10 * time.Second
	trialBackoff  = 4
	// suspicionTime is how long a daemon waits for a target that broke off a request to show by another
	// incarnation that it has crashed.
	suspicionTime = time.Minute
	// crashRetention is how long crashes count without an answer, and quarantineRetention how long repeats
	// are refused at most.
	crashRetention      = 10 * time.Minute
	quarantineRetention = 24 * time.Hour
	// maxSuspects bounds the requests for which crashes are recorded.
	maxSuspects = 1024
)

// crashes relates crashes of targets to the requests that they ran. A request that crashes targets comes
// again from its team and is never answered.
type crashes struct {
	// brokenOff holds the requests that a process broke off, by target.
	brokenOff map[identifier.Target]*brokenProcess
	suspects  map[suspect]*suspectRecord
}

// suspect identifies a request whenever its team repeats it.
type suspect struct {
	team        identifier.Team
	fingerprint string
}

type brokenProcess struct {
	incarnation identifier.Incarnation
	at          time.Time
	// chains holds the length of the chain of crashes that each request may end.
	chains map[suspect]int
}

type suspectRecord struct {
	crashes int
	// chain is the length of the longest chain of crashes of which each was known before the request was sent
	// again, as several targets may fail together for another reason.
	chain  int
	lastAt time.Time
	trials int
}

func newCrashes() crashes {
	return crashes{brokenOff: map[identifier.Target]*brokenProcess{}, suspects: map[suspect]*suspectRecord{}}
}

// count returns how many crashes count.
func (r *suspectRecord) count() int { return min(r.crashes, r.chain) }

// isFatal reports whether repeats of the request are refused.
func (r *suspectRecord) isFatal() bool { return r.count() >= fatalCrashes }

func (r *suspectRecord) retention() time.Duration {
	if r.isFatal() {
		return quarantineRetention
	}
	return crashRetention
}

// suspect returns r as a suspect, or false if it has no fingerprint.
func (r *request) suspect() (suspect, bool) {
	x := suspect{team: r.team}
	switch {
	case r.prompt != nil:
		x.fingerprint = r.prompt.Fingerprint
	case r.call != nil:
		x.fingerprint = r.call.Fingerprint
	}
	return x, x.fingerprint != ""
}

// recordOf returns what is known of the crashes on r, or nil.
func (s *State) recordOf(r *request) *suspectRecord {
	x, ok := r.suspect()
	record := s.suspects[x]
	if !ok || record == nil {
		return nil
	}
	if s.now.Sub(record.lastAt) > record.retention() {
		delete(s.suspects, x)
		return nil
	}
	return record
}

// knownCrashes returns how many crashes on r count. Those that are only suspected don't, as targets may break
// off answers and run on.
func (s *State) knownCrashes(r *request) int {
	record := s.recordOf(r)
	if record == nil {
		return 0
	}
	return record.count()
}

// checkQuarantine returns why r is refused, or nil. If a trial is due it lets r through as one.
func (s *State) checkQuarantine(r *request) *refusal {
	record := s.recordOf(r)
	if record == nil || !record.isFatal() {
		return nil
	}
	wait := quarantineRetention - s.now.Sub(record.lastAt)
	if record.trials < maxTrials {
		interval := trialInterval
		for range record.trials {
			interval *= trialBackoff
		}
		wait = record.lastAt.Add(interval).Sub(s.now)
	}
	if wait <= 0 {
		record.trials++
		record.lastAt = s.now
		return nil
	}
	return &refusal{RefusalQuarantined, fmt.Sprintf("%d targets crashed on this request", record.crashes), wait}
}

// recordSend records which crashes on r are known as it is sent.
func (s *State) recordSend(r *request) {
	known := 0
	if record := s.recordOf(r); record != nil {
		known = record.chain
	}
	if r.brokenOff {
		known = max(known, r.chain)
	}
	r.chain, r.sentTo = known+1, r.target.incarnation
}

// suspectCrash records that t broke off r. Another incarnation of t shows later that it has crashed.
func (s *State) suspectCrash(t *target, r *request) {
	r.brokenOff = true
	x, ok := r.suspect()
	if !ok {
		return
	}
	b := s.brokenOff[t.name]
	if b == nil || b.incarnation != r.sentTo {
		b = &brokenProcess{incarnation: r.sentTo, at: s.now, chains: map[suspect]int{}}
		s.brokenOff[t.name] = b
	}
	b.chains[x] = max(b.chains[x], r.chain)
	if t.incarnation > b.incarnation {
		s.confirmCrash(t.name)
	}
}

// confirmCrash records that the process of a target which broke off requests has crashed.
func (s *State) confirmCrash(name identifier.Target) {
	b := s.brokenOff[name]
	if b == nil {
		return
	}
	delete(s.brokenOff, name)
	if s.now.Sub(b.at) > suspicionTime {
		return
	}
	for x, chain := range b.chains {
		record := s.suspects[x]
		if record == nil {
			if len(s.suspects) >= maxSuspects {
				s.dropLeastSuspect()
			}
			record = &suspectRecord{}
			s.suspects[x] = record
		}
		record.crashes++
		record.chain, record.lastAt = max(record.chain, chain), s.now
	}
}

// dropLeastSuspect drops the suspect at the fewest crashes, of several the one whose last crash is the
// oldest.
func (s *State) dropLeastSuspect() {
	var least suspect
	for x, record := range s.suspects {
		best := s.suspects[least]
		if best == nil || record.crashes < best.crashes || record.crashes == best.crashes && record.lastAt.Before(best.lastAt) {
			least = x
		}
	}
	delete(s.suspects, least)
}

// clearSuspect records that r was answered whole.
func (s *State) clearSuspect(r *request) {
	if x, ok := r.suspect(); ok {
		delete(s.suspects, x)
	}
}
