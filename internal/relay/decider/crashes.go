package decider

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// suspicionTime is how long a host waits for a sign that a process has crashed which broke off a
	// request. The entry of a crashed target lapses within it.
	suspicionTime = 5 * time.Second
	// simultaneousCrashes is the time within which several crashes count once for a part: when engines
	// fail together, requests with one part may be at all of them.
	simultaneousCrashes = 250 * time.Millisecond
	// provenTime is how long an answer must have gone on to show that the parts of its prompt don't crash
	// engines.
	provenTime = 2 * time.Second
	// crashCheckInterval is the interval between passes over what is too old to count.
	crashCheckInterval = time.Second
	// crashRetention is how long a crash counts for a suspect without an answer in between.
	crashRetention = 10 * time.Minute
	// crashAnnounceTime is how long a host announces a crash or an answer, which covers two broadcasts.
	crashAnnounceTime = 2*broadcastInterval + minBroadcastInterval
	// maxSuspects bounds the suspects for which crashes are recorded, and maxCrashesOfSuspect the crashes of
	// each.
	maxSuspects         = 1024
	maxCrashesOfSuspect = 8 * fatalCrashes
	// maxExplained bounds the crashes that suspects in quarantine explain, and all whose times are known.
	maxExplained = 256
	// maxCrashesOfRequest is how many targets may break off a request, in all of its repeats, before a host
	// sends it to no further one by itself.
	maxCrashesOfRequest = 2
	// maxAnnouncedCrashes bounds the crashes that are announced at a time, maxCrashReports those in one
	// message, maxReportedParts and maxReportedRequests the suspects of each, and maxAnsweredReports the
	// answers.
	maxAnnouncedCrashes = 64
	maxCrashReports     = 8
	maxReportedParts    = 128
	maxReportedRequests = 32
	maxAnsweredReports  = 64
)

// CrashReport is what a host announces of a process of a target that crashed.
type CrashReport struct {
	Target string `cbor:"1,keyasint"`
	// StartedAt is the start of the process, in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Suspects are the requests that were not answered whole, and the shared parts of their prompts unless
	// the answers had gone on for long.
	Suspects []ReportedSuspect `cbor:"4,keyasint"`
}

// ReportedSuspect is a suspect of a crash.
type ReportedSuspect struct {
	descriptor.Suspect
	// Chain is the number of crashes on a whole request, each of which was known before the next one was
	// sent, up to this crash.
	Chain int `cbor:"8,keyasint,omitempty"`
	// Begun is true for a part if the answers to all requests with it had begun.
	Begun bool `cbor:"9,keyasint,omitempty"`
}

// AnsweredSuspect states that a target answered a request with a suspect.
type AnsweredSuspect struct {
	descriptor.Suspect
	// Age is the time since the answer.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// crashHistory relates crashes of targets to what they were about to answer. What crashes targets is at all
// of their crashes, and is never answered. What sound requests have too is cleared by the next answer to
// one of these that ends well, or a part by one that goes on for long.
type crashHistory struct {
	// broken holds what this host knows of targets that have broken off requests, by target.
	broken map[string]*brokenTarget
	// unproven holds answers that look complete but may have been cut off by a crash, by target.
	unproven map[string]*unprovenAnswers
	// crashes holds the crashes of each suspect since it was last answered, in the order of their times.
	crashes map[descriptor.Suspect][]suspectCrash
	// partAnswers and requestAnswers hold when suspects were last answered.
	partAnswers, requestAnswers recentAnswers
	// crashedAt holds when processes crashed, whatever the suspects.
	crashedAt map[processID]time.Time
	// explained holds the processes that crashed on a suspect in quarantine, and since when that is known.
	// Others at these crashes aren't suspected for it.
	explained map[processID]time.Time
	// reports holds the crashes to announce, and clearances the answers.
	reports    map[processID]*announcedCrash
	clearances map[descriptor.Suspect]announcedAnswer
	// crashesCheckedAt is when what is too old was last dropped.
	crashesCheckedAt time.Time
}

// processID identifies a process of a target.
type processID struct {
	target    string
	startedAt int64
}

func (t *target) processID() processID { return processID{t.ID, t.StartedAt.UnixMilli()} }

// suspectCrash is a crash of a process that was about to answer a request with a suspect.
type suspectCrash struct {
	process processID
	at      time.Time
	// chain and begun are those of the ReportedSuspect.
	chain int
	begun bool
}

// crashSuspect is a suspect of one crash.
type crashSuspect struct {
	descriptor.Suspect
	chain int
	begun bool
}

// brokenTarget holds the requests that one process broke off.
type brokenTarget struct {
	process processID
	address netip.AddrPort
	// at is the time of the first of them.
	at       time.Time
	suspects []crashSuspect
	// crashed is true once the process is known to have crashed.
	crashed bool
}

type announcedCrash struct {
	at, until time.Time
	suspects  []crashSuspect
}

type announcedAnswer struct{ at, until time.Time }

func newCrashHistory() crashHistory {
	return crashHistory{
		broken: map[string]*brokenTarget{}, unproven: map[string]*unprovenAnswers{}, crashes: map[descriptor.Suspect][]suspectCrash{}, crashedAt: map[processID]time.Time{}, explained: map[processID]time.Time{},
		partAnswers: newRecentAnswers(), requestAnswers: newRecentAnswers(),
		reports: map[processID]*announcedCrash{}, clearances: map[descriptor.Suspect]announcedAnswer{},
	}
}

// countCrashes returns how many crashes of a suspect count. When targets fail together for another reason,
// requests with it may be at all of them, so the next crash on a part counts after simultaneousCrashes, and one
// on a whole request if its host knew of the crash before when it sent the request.
func countCrashes(x descriptor.Suspect, list []suspectCrash) int {
	if x.IsRequest() {
		return min(longestChain(list), len(list))
	}
	n := 0
	var last time.Time
	for _, c := range list {
		if n == 0 || c.at.Sub(last) >= simultaneousCrashes {
			n, last = n+1, c.at
		}
	}
	return n
}

// longestChain returns the length of the longest chain of crashes of which each was known before the next
// request was sent.
func longestChain(list []suspectCrash) int {
	longest := 0
	for _, c := range list {
		longest = max(longest, c.chain)
	}
	return longest
}

// mayBeChance reports whether a part may have been at crashes by chance: answers with it had begun at some of
// them, of which many are under way at an engine. Then one crash more is needed, and half of all crashes
// meanwhile.
func (s *State) mayBeChance(x descriptor.Suspect, list []suspectCrash) bool {
	if x.IsRequest() {
		return false
	}
	unbegun := slices.DeleteFunc(slices.Clone(list), func(c suspectCrash) bool { return c.begun })
	if countCrashes(x, unbegun) >= fatalCrashes {
		return false
	}
	if countCrashes(x, list) == fatalCrashes {
		return true
	}
	first, last, all := list[0].at, list[len(list)-1].at, 0
	for _, at := range s.crashedAt {
		if !at.Before(first) && !at.After(last) {
			all++
		}
	}
	return 2*len(list) < all
}

// knownChain returns the longest chain of crashes on r, or the same request, that this host knows as it sends
// r. Of its suspicions only that by r itself counts, as several targets may have failed together.
func (s *State) knownChain(r *request) int {
	x, ok := r.suspect()
	if !ok {
		return 0
	}
	longest := longestChain(s.crashes[x])
	if r.brokenOff > 0 {
		longest = max(longest, r.chain)
	}
	return longest
}

// addSuspects adds suspects of one crash to a list, within the bounds of a report.
func addSuspects(list, added []crashSuspect) []crashSuspect {
	parts, requests := 0, 0
	for _, x := range list {
		if x.IsRequest() {
			requests++
		} else {
			parts++
		}
	}
	for _, x := range added {
		if i := slices.IndexFunc(list, func(known crashSuspect) bool { return known.Suspect == x.Suspect }); i >= 0 {
			list[i].chain, list[i].begun = max(list[i].chain, x.chain), list[i].begun && x.begun
			continue
		}
		switch {
		case x.IsRequest() && requests < maxReportedRequests:
			requests++
		case !x.IsRequest() && parts < maxReportedParts:
			parts++
		default:
			continue
		}
		list = append(list, x)
	}
	return list
}

// suspectCrash records that t broke off r, and finds out whether t has crashed. The parts of a prompt that has
// been answered for long are no suspects.
func (s *State) suspectCrash(t *target, r *request, ev AttemptFailed) {
	if ev.NotRun || ev.Reason != FailureBroken || s.isUpdating(t) {
		return
	}
	r.brokenOff++
	var suspects []crashSuspect
	if x, ok := r.suspect(); ok {
		suspects = append(suspects, crashSuspect{Suspect: x, chain: r.chain})
	}
	if !r.partsProven {
		for _, part := range sharedParts(r.prompt) {
			suspects = append(suspects, crashSuspect{Suspect: part, begun: !r.answerBegunAt.IsZero()})
		}
	}
	if len(suspects) == 0 {
		return
	}
	b := s.broken[t.ID]
	if b == nil || b.process != t.processID() {
		b = &brokenTarget{process: t.processID(), address: t.Address, at: s.now}
		s.broken[t.ID] = b
		defer s.probeSuspect(t, b)
	}
	b.suspects = addSuspects(b.suspects, suspects)
	if b.crashed || t.down {
		s.confirmCrash(t.ID)
	}
}

// probeSuspect probes a target that broke off a request, unless it is known to have crashed. A plain target
// counts the probe towards its limit.
func (s *State) probeSuspect(t *target, b *brokenTarget) {
	path := t.probePath()
	if !b.crashed && (path == "" || s.takePermitForProbe(t)) {
		s.emit(Probe{Target: t.ID, StartedAt: t.StartedAt, Address: t.Address, Path: path})
	}
}

// confirmCrash records that a target which broke off requests has ended. It does nothing if it broke
// off none.
func (s *State) confirmCrash(id string) {
	b := s.broken[id]
	if u := s.unproven[id]; u != nil {
		delete(s.unproven, id)
		if b = u.addTo(b, s.now); b != nil {
			s.broken[id] = b
		}
	}
	if b == nil {
		return
	}
	if !b.crashed {
		var parts, requests []string
		for _, x := range b.suspects {
			if x.IsRequest() {
				requests = append(requests, x.String())
			} else {
				parts = append(parts, x.Part)
			}
		}
		s.log("target crashed", "", "target", id, "parts", parts, "requests", requests, "confirmed-after", s.now.Sub(b.at))
	}
	b.crashed = true
	s.recordCrash(b.process, b.at, b.suspects, true)
}

// confirmReplaced records the crash of a target at whose address another one has started.
func (s *State) confirmReplaced(id string, address netip.AddrPort) {
	for other, b := range s.broken {
		if other != id && b.address == address && !b.crashed {
			s.confirmCrash(other)
		}
	}
}

// onSuspectProbed records whether a target that broke off requests has crashed. It returns whether
// that took the target out of use.
func (s *State) onSuspectProbed(ev ProbeAnswered) bool {
	b, t := s.broken[ev.Target], s.targets[ev.Target]
	switch {
	case b == nil || b.crashed || ev.Inconclusive && !ev.Alive:
		return false
	case ev.Alive:
		s.log("target runs on after it broke off requests", "", "target", ev.Target, "after", s.now.Sub(b.at))
		delete(s.broken, ev.Target)
	case t != nil && !t.down:
		s.markDown(t, "it broke off requests and answers no probe")
		return true
	default:
		s.confirmCrash(ev.Target)
	}
	return false
}

// hasCrashed reports whether targets have broken off r, and others of its caller's repeats before it was
// sent, so often that this host doesn't repeat it.
func (r *request) hasCrashed() bool {
	return r.brokenOff >= maxCrashesOfRequest || r.brokenOff > 0 && r.chain >= maxCrashesOfRequest
}

// recordCrash records the crash of a process for what it was about to answer. If announce is true, this
// host announces it to others.
func (s *State) recordCrash(process processID, at time.Time, suspects []crashSuspect, announce bool) {
	if _, known := s.crashedAt[process]; !known {
		if len(s.crashedAt) >= maxExplained {
			clear(s.crashedAt)
		}
		s.crashedAt[process] = at
	}
	for _, x := range suspects {
		if answeredAt := s.lastAnswered(x.Suspect); answeredAt.After(at) {
			s.announceAnswer(x.Suspect, answeredAt, true)
			continue
		}
		if q := s.quarantined[x.Suspect]; q != nil {
			q.lastAt = latest(q.lastAt, at)
			s.explainCrash(process)
			continue
		}
		s.addSuspectCrash(x, process, at)
	}
	s.quarantineFatal(suspects)
	if announce {
		s.announceCrash(process, at, suspects)
	}
}

// addSuspectCrash records a crash of a process for a suspect, unless one in quarantine explains it.
func (s *State) addSuspectCrash(x crashSuspect, process processID, at time.Time) {
	if _, explained := s.explained[process]; explained {
		return
	}
	list, known := s.crashes[x.Suspect]
	if !known && len(s.crashes) >= maxSuspects {
		s.dropLeastSuspect()
	}
	if i := slices.IndexFunc(list, func(c suspectCrash) bool { return c.process == process }); i >= 0 {
		list[i].chain, list[i].begun = max(list[i].chain, x.chain), list[i].begun && x.begun
		return
	}
	list = append(list, suspectCrash{process, at, x.chain, x.begun})
	slices.SortFunc(list, func(a, b suspectCrash) int { return a.at.Compare(b.at) })
	s.crashes[x.Suspect] = list[max(0, len(list)-maxCrashesOfSuspect):]
}

// explainCrash drops the crash of a process from all suspects, as one in quarantine explains it.
func (s *State) explainCrash(process processID) {
	if _, explained := s.explained[process]; explained {
		return
	}
	if len(s.explained) >= maxExplained {
		clear(s.explained)
	}
	s.explained[process] = s.now
	for x, list := range s.crashes {
		s.setCrashes(x, slices.DeleteFunc(list, func(c suspectCrash) bool { return c.process == process }))
	}
}

func (s *State) setCrashes(x descriptor.Suspect, list []suspectCrash) {
	if len(list) == 0 {
		delete(s.crashes, x)
		return
	}
	s.crashes[x] = list
}

// dropLeastSuspect drops the suspect at the fewest crashes, of several the one whose last crash is the
// oldest.
func (s *State) dropLeastSuspect() {
	var least descriptor.Suspect
	for x, list := range s.crashes {
		best := s.crashes[least]
		if best == nil || len(list) < len(best) || len(list) == len(best) && list[len(list)-1].at.Before(best[len(best)-1].at) {
			least = x
		}
	}
	delete(s.crashes, least)
}

// clearParts clears the parts of the prompt of r, as its answer has ended well or has gone on for long.
func (s *State) clearParts(r *request) {
	if r.partsProven {
		return
	}
	r.partsProven = true
	for _, part := range sharedParts(r.prompt) {
		s.clearSuspect(part, s.now)
	}
}

// clearLongAnswers clears the parts of prompts whose answers have gone on for provenTime.
func (s *State) clearLongAnswers() {
	for _, r := range s.byNumber {
		if r.target != nil && r.succeeds && s.now.Sub(r.answerBegunAt) >= provenTime {
			s.clearParts(r)
		}
	}
}

// clearSuspect records that a request with a suspect was answered, so that earlier crashes don't count.
func (s *State) clearSuspect(x descriptor.Suspect, at time.Time) {
	answers := s.answersOf(x)
	if !at.After(answers.last(x)) {
		return
	}
	answers.record(x, at)
	list, suspected := s.crashes[x]
	if !suspected && s.quarantined[x] == nil {
		return
	}
	crashes := countCrashes(x, list)
	s.setCrashes(x, slices.DeleteFunc(list, func(c suspectCrash) bool { return !c.at.After(at) }))
	if s.liftQuarantine(x, at) || suspected {
		s.announceAnswer(x, at, x.IsRequest() || crashes >= fatalCrashes-1)
	}
}

// answersOf returns the record of answers that includes x. Most requests are answered once only, and must
// not displace what is known of parts.
func (s *State) answersOf(x descriptor.Suspect) *recentAnswers {
	if x.IsRequest() {
		return &s.requestAnswers
	}
	return &s.partAnswers
}

// lastAnswered returns when a request with a suspect was last answered, or zero if unknown.
func (s *State) lastAnswered(x descriptor.Suspect) time.Time { return s.answersOf(x).last(x) }

// announceCrash lets this host announce a crash, with what others have announced of it.
func (s *State) announceCrash(process processID, at time.Time, suspects []crashSuspect) {
	r := s.reports[process]
	if r == nil {
		if len(s.reports) >= maxAnnouncedCrashes {
			return // So many crashes at a time have another cause.
		}
		r = &announcedCrash{at: at}
		s.reports[process] = r
	}
	before := len(r.suspects)
	r.suspects = addSuspects(r.suspects, suspects)
	if len(r.suspects) > before {
		r.until = s.now.Add(crashAnnounceTime)
		s.broadcast()
	}
}

// announceAnswer lets this host announce that a suspect was answered, as others may suspect it too. If
// urgent is false, the next regular broadcast will do.
func (s *State) announceAnswer(x descriptor.Suspect, at time.Time, urgent bool) {
	if !at.After(s.clearances[x].at) {
		return
	}
	if _, known := s.clearances[x]; !known && len(s.clearances) >= maxAnsweredReports {
		return // Hosts that suspect it clear it by their own answers.
	}
	s.clearances[x] = announcedAnswer{at, s.now.Add(crashAnnounceTime)}
	if urgent {
		s.broadcast()
	}
}

// announcedCrashes returns the crashes and answers to announce.
func (s *State) announcedCrashes() (crashes []CrashReport, answers []AnsweredSuspect) {
	for process, r := range s.reports {
		if !s.now.Before(r.until) || len(crashes) >= maxCrashReports {
			continue
		}
		report := CrashReport{Target: process.target, StartedAt: process.startedAt, Age: s.now.Sub(r.at)}
		for _, x := range r.suspects {
			report.Suspects = append(report.Suspects, ReportedSuspect{x.Suspect, x.chain, x.begun})
		}
		crashes = append(crashes, report)
	}
	for x, a := range s.clearances {
		if s.now.Before(a.until) {
			answers = append(answers, AnsweredSuspect{x, s.now.Sub(a.at)})
		}
	}
	return crashes, answers
}

// applyAnnouncedCrashes records the crashes and answers that a peer announced. Answers come first, as
// they may clear what was at an earlier crash.
func (s *State) applyAnnouncedCrashes(m Message) {
	if !s.messageAgesReliable(s.now) {
		return
	}
	passOn := (len(m.Answered) > 0 || len(m.Crashes) > 0) && s.isAggregator()
	for _, a := range m.Answered {
		at := s.now.Add(-a.Age - maxMessageDelay)
		if passOn {
			s.announceAnswer(a.Suspect, at, true)
		}
		s.clearSuspect(a.Suspect, at)
	}
	for _, c := range m.Crashes {
		var suspects []crashSuspect
		for _, x := range c.Suspects[:min(len(c.Suspects), maxReportedParts+maxReportedRequests)] {
			if x.IsValid() {
				suspects = append(suspects, crashSuspect{x.Suspect, x.Chain, x.Begun})
			}
		}
		s.recordCrash(processID{c.Target, c.StartedAt}, s.now.Add(-c.Age), addSuspects(nil, suspects), passOn)
	}
}

// expireCrashes drops what is too old to count.
func (s *State) expireCrashes() {
	if s.now.Sub(s.crashesCheckedAt) < crashCheckInterval {
		return
	}
	s.crashesCheckedAt = s.now
	s.clearLongAnswers()
	maps.DeleteFunc(s.broken, func(_ string, b *brokenTarget) bool { return s.now.Sub(b.at) > suspicionTime })
	maps.DeleteFunc(s.unproven, func(_ string, u *unprovenAnswers) bool { return u.isOver(s.now) })
	maps.DeleteFunc(s.crashes, func(_ descriptor.Suspect, list []suspectCrash) bool {
		return s.now.Sub(list[len(list)-1].at) > crashRetention
	})
	maps.DeleteFunc(s.crashedAt, func(_ processID, at time.Time) bool { return s.now.Sub(at) > crashRetention })
	maps.DeleteFunc(s.explained, func(_ processID, at time.Time) bool { return s.now.Sub(at) > crashRetention })
	maps.DeleteFunc(s.reports, func(_ processID, r *announcedCrash) bool { return s.now.Sub(r.until) > crashAnnounceTime })
	maps.DeleteFunc(s.clearances, func(_ descriptor.Suspect, a announcedAnswer) bool { return s.now.Sub(a.until) > crashAnnounceTime })
}
