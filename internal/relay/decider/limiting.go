package decider

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// minLimit is the lowest limit that hosts keep to, in requests a second. At a lower one they would
	// hardly send anything whose answer tells when it ends.
	minLimit = 0.2
	// simultaneousAnswers is the time within which the order of answers to different hosts is unknown.
	simultaneousAnswers = maxMessageDelay
	// limitAnnounceTime is how long a host announces a change of a limit, which covers two broadcasts.
	limitAnnounceTime = 2*broadcastInterval + minBroadcastInterval
	// maxAnnouncedLimits bounds the limits in one message, each of some 50 bytes. If there are more, they
	// are announced in turn.
	maxAnnouncedLimits = 256
	// limitTrialInterval is the time since the last answer of a target with a limit after which requests
	// prefer it, as only an answer shows that the limit has changed.
	limitTrialInterval = 3 * time.Second
	// limitCheckInterval is the interval between passes over the limits of targets that aren't listed.
	limitCheckInterval = time.Second
)

// AnnouncedLimit is what a host announces of a target's limit.
type AnnouncedLimit struct {
	Target string `cbor:"1,keyasint"`
	// StartedAt is the start of the target's process, in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
	// PerSecond is the limit, or infinite if the target names none any more.
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the answer that showed it.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Host and Boot are the process of the host that got the answer, and Number numbers its answers.
	Host   string `cbor:"5,keyasint"`
	Boot   int64  `cbor:"6,keyasint"`
	Number uint64 `cbor:"7,keyasint"`
}

// answerID identifies an answer that a host got, over all hosts.
type answerID struct {
	host   string
	boot   int64
	number uint64
}

// limiting holds the limits that targets have named: the requests a second that they take from all hosts
// together. A request to such a target needs a permit.
type limiting struct {
	// limits holds what the newest process of each target has named.
	limits map[string]*limit
	// limitAnswers numbers the answers of this host that show a limit or its end.
	limitAnswers uint64
	// nextAnnouncedLimit is the first target to announce next if there are too many for one message.
	nextAnnouncedLimit string
	limitsCheckedAt    time.Time
	permits
}

// limit is what one process of a target has named, and the permits of this host for it.
type limit struct {
	process processID
	// perSecond is infinite once an answer has shown that there is no limit any more. That is kept to
	// outweigh older news.
	perSecond float64
	// answer is the answer that showed it, answeredAt its time, which for that of another host is an
	// estimate.
	answer        answerID
	answeredAt    time.Time
	announceUntil time.Time
	permitBucket
	ownPermits
}

func newLimiting() limiting {
	return limiting{limits: map[string]*limit{}, permits: newPermits()}
}

func (l *limit) named() bool { return !math.IsInf(l.perSecond, 1) }

// rate returns the requests a second that hosts may send.
func (l *limit) rate() float64 { return max(l.perSecond, minLimit) }

// limitOf returns the limit that the process of t names, or nil if it names none.
func (s *State) limitOf(t *target) *limit {
	if l := s.limits[t.ID]; l != nil && l.process == t.processID() && l.named() {
		return l
	}
	return nil
}

// LimitedTargets returns the number of targets that name a limit.
func (s *State) LimitedTargets() int {
	n := 0
	for _, t := range s.targets {
		if s.limitOf(t) != nil {
			n++
		}
	}
	return n
}

// observeLimit records what an answer to this host says about a limit.
func (s *State) observeLimit(process processID, said descriptor.RateLimit) {
	perSecond := said.PerSecond
	switch said.Kind {
	case descriptor.LimitNamed:
	case descriptor.LimitNone:
		if s.limits[process.target] == nil {
			return
		}
		perSecond = math.Inf(1)
	case descriptor.LimitInvalid:
		s.log("limit can't be read", "", "target", process.target)
		return
	default:
		return
	}
	s.limitAnswers++
	news := limit{process: process, perSecond: perSecond, answer: answerID{s.cfg.Host, s.cfg.Boot, s.limitAnswers}, answeredAt: s.now}
	if s.updateLimit(news) {
		s.broadcast()
	}
}

// applyAnnouncedLimits records the limits that a peer announced.
func (s *State) applyAnnouncedLimits(m Message) {
	if !s.messageAgesReliable(s.now) {
		return
	}
	for _, a := range m.Limits {
		t := s.targets[a.Target]
		process := processID{a.Target, a.StartedAt}
		if t == nil || t.processID() != process || math.IsNaN(a.PerSecond) {
			continue // It is announced again.
		}
		news := limit{process: process, perSecond: a.PerSecond, answer: answerID{a.Host, a.Boot, a.Number}, answeredAt: s.now.Add(-a.Age)}
		if s.updateLimit(news) {
			s.passOn()
		}
	}
}

// updateLimit records a limit unless a newer answer is known. It returns whether the limit has changed.
func (s *State) updateLimit(news limit) bool {
	l := s.limits[news.process.target]
	if l == nil || l.process.startedAt < news.process.startedAt {
		if !news.named() {
			return false
		}
		l = &limit{process: news.process, perSecond: math.Inf(1), permitBucket: permitBucket{filledAt: s.now}}
		s.limits[news.process.target] = l
	}
	if l.process != news.process {
		return false
	}
	if !l.isOutdatedBy(news) {
		if l.answeredAt.Sub(news.answeredAt) > simultaneousAnswers && l.perSecond != news.perSecond {
			l.announceUntil = s.now.Add(limitAnnounceTime) // Another host doesn't know it yet.
		}
		return false
	}
	before := l.perSecond
	l.perSecond, l.answer, l.answeredAt = news.perSecond, news.answer, news.answeredAt
	if before == l.perSecond {
		return false
	}
	l.announceUntil = s.now.Add(limitAnnounceTime)
	if l.named() {
		s.log("target limited", "", "target", l.process.target, "per-second", l.perSecond, "answered", l.answer.host, "age", s.now.Sub(l.answeredAt))
	} else {
		s.log("target no longer limited", "", "target", l.process.target, "before", before, "answered", l.answer.host, "age", s.now.Sub(l.answeredAt))
		s.dispatchWaiting()
	}
	return true
}

// isOutdatedBy reports whether another answer is newer. Of two answers to different hosts at about the same
// time, the one with the lower limit counts.
func (l *limit) isOutdatedBy(news limit) bool {
	switch newer := news.answeredAt.Sub(l.answeredAt); {
	case news.answer == l.answer:
		return false
	case news.answer.host == l.answer.host && news.answer.boot == l.answer.boot:
		return news.answer.number > l.answer.number
	case newer.Abs() <= simultaneousAnswers:
		return news.perSecond < l.perSecond
	default:
		return newer > 0
	}
}

// announcedLimits returns the limits to announce: changes, and with a regular message all that are named.
// Most hosts of a large fleet announce only what their own answers show, as aggregators pass it on.
func (s *State) announcedLimits(regular bool) []AnnouncedLimit {
	if len(s.limits) == 0 {
		return nil
	}
	all := !s.isLarge() || s.isAggregator()
	var changed, named []string
	for id, l := range s.limits {
		own := l.answer.host == s.cfg.Host
		switch {
		case !all && !own:
		case s.now.Before(l.announceUntil):
			changed = append(changed, id)
		case regular && l.named():
			named = append(named, id)
		}
	}
	slices.Sort(changed)
	slices.Sort(named)
	if i, _ := slices.BinarySearch(named, s.nextAnnouncedLimit); i > 0 {
		named = append(named[i:], named[:i]...)
	}
	ids := append(changed, named...)
	if len(ids) > maxAnnouncedLimits {
		s.nextAnnouncedLimit = ids[maxAnnouncedLimits]
		ids = ids[:maxAnnouncedLimits]
	}
	announced := make([]AnnouncedLimit, len(ids))
	for i, id := range ids {
		announced[i] = s.announcedLimit(s.limits[id])
	}
	return announced
}

// sendLimits sends the limits that are known to a host that has just started.
func (s *State) sendLimits(host string) {
	limits := s.namedLimits()
	h, listed := s.hosts[host]
	if len(limits) == 0 || !listed {
		return
	}
	m := s.newMessage()
	m.LoadsUnchanged, m.Limits = true, limits
	s.emit(SendMessage{To: []netip.AddrPort{h.Address}, Message: m})
}

// namedLimits returns the limits that are named, up to the number that fits into a message.
func (s *State) namedLimits() []AnnouncedLimit {
	var list []AnnouncedLimit
	for _, l := range s.limits {
		if l.named() && len(list) < maxAnnouncedLimits {
			list = append(list, s.announcedLimit(l))
		}
	}
	return list
}

func (s *State) announcedLimit(l *limit) AnnouncedLimit {
	return AnnouncedLimit{
		Target: l.process.target, StartedAt: l.process.startedAt, PerSecond: l.perSecond, Age: s.now.Sub(l.answeredAt),
		Host: l.answer.host, Boot: l.answer.boot, Number: l.answer.number,
	}
}

// targetWithOldLimit returns the target with a limit that has answered nobody for the longest time and could
// answer r within its goal, with the expected time to the first part of the response, or nil if there is none
// for which that is long. A request waits for the permit of one such target at most.
func (s *State) targetWithOldLimit(r *request) (*target, time.Duration) {
	if len(s.limits) == 0 {
		return nil, 0
	}
	var oldest *target
	var delay time.Duration
	since := s.now.Add(-limitTrialInterval)
	plans := map[importPlanKey]importPlan{}
	for _, t := range s.byService[r.service] {
		l := s.limitOf(t)
		if l == nil || l.answeredAt.After(since) || !s.usable(t, r) || !r.waitUntil.IsZero() && !l.hasPermit(s.now) {
			continue
		}
		load := t.ownLoad
		load.add(t.peerLoad, 1)
		if expected := s.expectedDelay(r, t, load, plans); expected < r.latencyGoal() {
			oldest, delay, since = t, expected, l.answeredAt
		}
	}
	return oldest, delay
}

// expireLimits removes the limits of targets that haven't been listed for long. An entry may lapse and
// return.
func (s *State) expireLimits() {
	if s.now.Sub(s.limitsCheckedAt) < limitCheckInterval {
		return
	}
	s.limitsCheckedAt = s.now
	maps.DeleteFunc(s.limits, func(id string, l *limit) bool {
		return s.targets[id] == nil && s.now.Sub(l.answeredAt) > noticeRetention
	})
}
