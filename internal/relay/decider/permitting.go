package decider

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// permitTimeout is how long a host waits for the answer of a keeper, which may be in another region.
	permitTimeout = maxMessageDelay
	// unansweredPause is how long a host asks for no permits for a target after the keeper didn't answer,
	// and keeperPause after another host said that it isn't the keeper.
	unansweredPause = time.Second
	keeperPause     = 250 * time.Millisecond
	// permitLifetime is how long a permit is valid. Most are used at once, by the request that waits.
	permitLifetime = time.Second
	// permitBurstTime is the time for which a keeper saves up the permits of a target that nobody wants,
	// beyond the first one.
	permitBurstTime = 500 * time.Millisecond
	// maxPermitPause is how long a keeper lets a host wait at most before it asks again. Others may want
	// fewer permits by then.
	maxPermitPause = 2 * time.Second
	// maxAskRate is the rate of permit requests for one target, per second, at which its keeper lets each host
	// wait for a second.
	maxAskRate = 200
	// maxPermits bounds the permits of one answer, and permitBatchTime is for how long they last a host
	// at the rate of its requests.
	maxPermits      = 64
	permitBatchTime = 100 * time.Millisecond
	// countHalfLife is the time in which the counts of recent requests and permit requests halve.
	countHalfLife = 4 * time.Second
	// permitPauseJitter spreads the next permit requests of hosts that got none.
	permitPauseJitter = 0.1
	// sparePause is the time since a host that needed a permit got none in which others get none that they can
	// do without.
	sparePause = time.Second
	// permitDelay is the time to ask another host for a permit.
	permitDelay = 5 * time.Millisecond
	// maxLimitRetryAfter bounds the Retry-After for refusals because of limits.
	maxLimitRetryAfter = 30 * time.Second
)

// PermitRequest asks the keeper of a target for permits.
type PermitRequest struct {
	Target string `cbor:"1,keyasint"`
	// StartedAt is the start of the target's process, in Unix milliseconds.
	StartedAt int64 `cbor:"2,keyasint"`
	// Number identifies the permit request at the host that asks.
	Number uint64 `cbor:"3,keyasint"`
	// Wanted is how many permits the host can use.
	Wanted int `cbor:"4,keyasint"`
	// Spare is true if the host has other targets with room.
	Spare bool `cbor:"5,keyasint,omitempty"`
}

// PermitAnswer answers a PermitRequest.
type PermitAnswer struct {
	Target    string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"`
	Number    uint64 `cbor:"3,keyasint"`
	// Granted is the number of permits. If it is 0, the host is to ask again after Pause.
	Granted int           `cbor:"4,keyasint,omitempty"`
	Pause   time.Duration `cbor:"5,keyasint,omitempty"`
}

// permits holds what concerns the permits for all targets with a limit. One host keeps those of a target
// and hands them out at the target's rate. The others ask it, as many hosts that share one request a
// second could neither divide it in advance nor learn of each request of the others in time.
type permits struct {
	// permitNumber is the number of the last permit request.
	permitNumber uint64
	// waiting holds the requests that wait for a permit.
	waiting []*request
	// comeBackAt is when the next caller that is refused because of limits may come back, by service.
	comeBackAt map[string]time.Time
}

func newPermits() permits { return permits{comeBackAt: map[string]time.Time{}} }

// permitBucket is the state of a target's permits at their keeper.
type permitBucket struct {
	// available is the number of permits at filledAt.
	available float64
	filledAt  time.Time
	// asks counts the permit requests, missedAt is when a host that needed a permit last got none.
	asks     decayingCount
	missedAt time.Time
}

// decayingCount counts recent events. It halves each countHalfLife. The zero decayingCount is ready to use.
type decayingCount struct {
	n  float64
	at time.Time
}

func (c *decayingCount) add(now time.Time) { c.n, c.at = c.value(now)+1, now }

func (c *decayingCount) value(now time.Time) float64 {
	return c.n * math.Exp2(-float64(now.Sub(c.at))/float64(countHalfLife))
}

// perSecond returns the rate of events that would keep the count as it is.
func (c *decayingCount) perSecond(now time.Time) float64 {
	return c.value(now) * math.Ln2 / countHalfLife.Seconds()
}

// ownPermits is the state of a target's permits at a host that uses them.
type ownPermits struct {
	// granted is the number of permits that are left until grantedUntil.
	granted      int
	grantedUntil time.Time
	// asked is the number of the permit request that isn't answered yet, sent at askedAt; 0 if there is none.
	asked   uint64
	askedAt time.Time
	// pausedUntil is when the host may ask again.
	pausedUntil time.Time
	// sent counts the requests to the target.
	sent decayingCount
}

// hasPermit reports whether this host may send a request now.
func (o *ownPermits) hasPermit(now time.Time) bool {
	return o.granted > 0 && now.Before(o.grantedUntil)
}

// mayAsk reports whether this host may ask for permits now.
func (o *ownPermits) mayAsk(now time.Time) bool { return o.asked == 0 && !now.Before(o.pausedUntil) }

// use uses up a permit.
func (o *ownPermits) use(now time.Time) {
	o.granted--
	o.sent.add(now)
}

// wanted returns how many permits this host asks for: for one request, and for those of a moment.
func (o *ownPermits) wanted(now time.Time) int {
	return min(1+int(o.sent.perSecond(now)*permitBatchTime.Seconds()), maxPermits)
}

// mayGetPermit reports whether t may be chosen by its limit: it has none, or this host has a permit or may
// ask for one.
func (s *State) mayGetPermit(t *target) bool {
	l := s.limitOf(t)
	return l == nil || l.hasPermit(s.now) || l.mayAsk(s.now)
}

// needsPermit reports whether this host has to ask for a permit before it sends a request to t.
func (s *State) needsPermit(t *target) bool {
	l := s.limitOf(t)
	return l != nil && !l.hasPermit(s.now)
}

// takePermitForProbe reports whether this host may check the health of t, which t counts as a request. If it
// has no permit, it asks for one.
func (s *State) takePermitForProbe(t *target) bool {
	l := s.limitOf(t)
	if l == nil {
		return true
	}
	if !l.hasPermit(s.now) && l.mayAsk(s.now) {
		s.askPermit(t, l, false)
	}
	if !l.hasPermit(s.now) {
		return false
	}
	l.use(s.now)
	return true
}

// keeperOf returns the host that keeps the permits of t: a live one of its data centre if there is any. Of
// hosts that differ much in processor time, a capable one is taken.
func (s *State) keeperOf(t *target) string {
	keeper, best := s.cfg.Host, uint64(math.MaxUint64)
	consider := func(host string) {
		if !s.isLive(host, peerTimeout) {
			return
		}
		rank := xxh3.HashString(host+"|permits|"+t.ID) >> 1
		if h := s.hosts[host]; 2*h.Cores < s.mostCores[h.DataCentre] {
			rank |= 1 << 63
		}
		if rank < best {
			keeper, best = host, rank
		}
	}
	for _, host := range s.byDataCentre[t.DataCentre] {
		consider(host)
	}
	if best == math.MaxUint64 {
		for host := range s.hosts {
			consider(host)
		}
	}
	return keeper
}

// liveShare returns the share of hosts that this host hears. After a cut, the keepers of both sides
// together give out no more permits than one did before.
func (s *State) liveShare() float64 {
	live := 1
	for host := range s.hosts {
		if host != s.cfg.Host && s.isLive(host, peerTimeout) {
			live++
		}
	}
	return min(1, float64(live)/float64(s.hostCount()))
}

// askPermit asks for permits for t, and answers at once if this host keeps them.
func (s *State) askPermit(t *target, l *limit, spare bool) {
	s.permitNumber++
	ask := PermitRequest{Target: t.ID, StartedAt: l.process.startedAt, Number: s.permitNumber, Wanted: l.wanted(s.now), Spare: spare}
	l.asked, l.askedAt = ask.Number, s.now
	keeper := s.keeperOf(t)
	if keeper == s.cfg.Host {
		s.applyPermitAnswer(s.answerPermitRequest(ask))
		return
	}
	m := s.newMessage()
	m.LoadsUnchanged, m.PermitRequests, m.Limits = true, []PermitRequest{ask}, []AnnouncedLimit{s.announcedLimit(l)}
	s.emit(SendMessage{To: []netip.AddrPort{s.hosts[keeper].Address}, Message: m})
}

// answerPermitRequests answers the permit requests of a peer.
func (s *State) answerPermitRequests(m Message) {
	h, ok := s.hosts[m.Host]
	if !ok || len(m.PermitRequests) == 0 {
		return // The peer asks again once this host has listed it.
	}
	reply := s.newMessage()
	reply.LoadsUnchanged = true
	for _, ask := range m.PermitRequests {
		answer := s.answerPermitRequest(ask)
		if answer.Granted > 0 {
			s.log("permits granted", "", "target", ask.Target, "peer", m.Host, "wanted", ask.Wanted, "granted", answer.Granted, "left", s.limits[ask.Target].available)
		}
		reply.PermitAnswers = append(reply.PermitAnswers, answer)
	}
	s.emit(SendMessage{To: []netip.AddrPort{h.Address}, Message: reply})
}

// answerPermitRequest gives out the permits of a target that this host keeps.
func (s *State) answerPermitRequest(ask PermitRequest) PermitAnswer {
	answer := PermitAnswer{Target: ask.Target, StartedAt: ask.StartedAt, Number: ask.Number, Pause: keeperPause}
	t := s.targets[ask.Target]
	if t == nil || t.StartedAt.UnixMilli() != ask.StartedAt || s.keeperOf(t) != s.cfg.Host {
		return answer
	}
	l := s.limitOf(t)
	if l == nil {
		return answer // This host announces what it knows.
	}
	rate := l.rate() * s.liveShare()
	l.fill(s.now, rate)
	l.asks.add(s.now)
	if !ask.Spare || s.now.Sub(l.missedAt) >= sparePause {
		answer.Granted = min(ask.Wanted, int(l.available))
	}
	if answer.Granted > 0 {
		l.available -= float64(answer.Granted)
		answer.Pause = 0
		return answer
	}
	if !ask.Spare {
		l.missedAt = s.now
	}
	answer.Pause = time.Duration((1 + permitPauseJitter*s.rng.Float64()) * float64(l.pause(s.now, rate)))
	return answer
}

// fill adds the permits of the time since the last call.
func (b *permitBucket) fill(now time.Time, rate float64) {
	if !b.filledAt.IsZero() {
		most := 1 + rate*permitBurstTime.Seconds()
		b.available = min(most, b.available+rate*now.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
}

// pause returns the time until the next permit, more if many hosts ask.
func (b *permitBucket) pause(now time.Time, rate float64) time.Duration {
	next := min(max(0, 1-b.available)/rate, maxPermitPause.Seconds())
	return time.Duration(max(next, b.asks.perSecond(now)/maxAskRate) * float64(time.Second))
}

// applyPermitAnswers records the answers of a keeper, and decides on the requests that wait.
func (s *State) applyPermitAnswers(m Message) {
	if len(m.PermitAnswers) == 0 {
		return
	}
	for _, answer := range m.PermitAnswers {
		s.applyPermitAnswer(answer)
	}
	s.dispatchWaiting()
}

// applyPermitAnswer records the answer to a permit request of this host. A late one doesn't count, as what it
// grants may have been meant for a time that is over.
func (s *State) applyPermitAnswer(answer PermitAnswer) {
	l := s.limits[answer.Target]
	if l == nil || l.asked != answer.Number || l.process.startedAt != answer.StartedAt || s.now.Sub(l.askedAt) > 2*permitTimeout {
		return
	}
	l.asked = 0
	if answer.Granted > 0 {
		l.granted, l.grantedUntil = answer.Granted, s.now.Add(permitLifetime)
		return
	}
	l.pausedUntil = s.now.Add(answer.Pause)
}

// expirePermitRequests ends the wait for answers that are overdue.
func (s *State) expirePermitRequests() {
	overdue := false
	for _, l := range s.limits {
		if l.asked != 0 && s.now.Sub(l.askedAt) >= permitTimeout {
			overdue = true
			l.asked, l.pausedUntil = 0, s.now.Add(unansweredPause)
			s.log("permit request unanswered", "", "target", l.process.target)
		}
	}
	overdue = overdue || slices.ContainsFunc(s.waiting, func(r *request) bool { return !s.now.Before(r.waitUntil) })
	if overdue {
		s.dispatchWaiting()
	}
}

// forgetPermits drops the permits of this host, and those that it keeps, after a suspension: others have
// kept them meanwhile.
func (s *State) forgetPermits() {
	for _, l := range s.limits {
		l.permitBucket = permitBucket{}
		l.granted = 0
	}
}

// wait lets r wait for a permit, or the claim of a trial, unless it has waited long enough.
func (s *State) wait(r *request, what string) bool {
	if r.waitUntil.IsZero() {
		r.waitUntil = s.now.Add(permitTimeout)
	}
	if !s.now.Before(r.waitUntil) {
		return false
	}
	s.waiting = append(s.waiting, r)
	s.log("waits for a "+what, r.id, "for", r.waitUntil.Sub(s.now), "waited", s.now.Sub(r.arrivedAt))
	s.emit(Wait{Number: r.number})
	return true
}

// waitForAnswer lets r wait if a target that could run it may get a permit by a request under way.
func (s *State) waitForAnswer(r *request) bool {
	for _, t := range s.byService[r.service] {
		if l := s.limitOf(t); l != nil && l.asked != 0 && s.usableWithPermit(t, r) {
			return s.wait(r, "permit")
		}
	}
	return false
}

// dispatchWaiting decides again on all requests that wait for a permit, in the order of their arrival.
func (s *State) dispatchWaiting() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		if s.byNumber[r.number] == r {
			s.dispatch(r)
		}
	}
}

// limitRetryAfter returns when the caller of a request may come back that could run only at targets whose
// permits are used up, or false if there are others. Callers are spread over the time to come by the rate at
// which this host gets permits.
func (s *State) limitRetryAfter(r *request) (time.Duration, bool) {
	perSecond, next := 0.0, s.now.Add(maxLimitRetryAfter)
	for _, t := range s.byService[r.service] {
		l := s.limitOf(t)
		switch {
		case !s.usableWithPermit(t, r):
		case l == nil:
			return 0, false
		default:
			perSecond += min(l.rate(), max(l.sent.perSecond(s.now), l.rate()/float64(s.hostCount())))
			next = earliest(next, latest(l.pausedUntil, s.now.Add(permitTimeout)))
		}
	}
	if perSecond == 0 {
		return 0, false
	}
	at := latest(next, s.comeBackAt[r.service])
	s.comeBackAt[r.service] = earliest(at.Add(time.Duration(float64(time.Second)/perSecond)), s.now.Add(maxLimitRetryAfter))
	return at.Sub(s.now), true
}
