package decider

import (
	"math"
	"net/netip"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// defaultDeadline applies to requests without a deadline.
	defaultDeadline = 30 * time.Second
	// transientRetryAfter is the Retry-After for refusals with a short-lived cause. It is
	// slightly longer than hosts need to learn of targets from each other.
	transientRetryAfter = 250 * time.Millisecond
	// retryAfterJitter spreads the retries of callers that were refused at the same time.
	retryAfterJitter = 0.3
	// shedThreshold is the wait at a target, as a multiple of the latency goal, above which a
	// request is shed: its response would be late and would delay those queued behind it. The
	// request's own prefill time is left out, so that long prompts aren't shed for their
	// length.
	shedThreshold = 0.7
	// shedThresholdSmall applies to prompts of a single prefill chunk, which delay others
	// little.
	shedThresholdSmall = 3
	// latenessWeight is the weight of one response in the mean lateness, and latenessHalfLife the
	// time in which the mean halves without responses.
	latenessWeight   = 0.1
	latenessHalfLife = time.Second
	// defaultLatencyGoal applies to routes without a goal.
	defaultLatencyGoal = time.Second
)

// requests holds the requests in progress on this host.
type requests struct {
	byNumber map[int64]*request
	lateness latenessMean
}

func newRequests() requests { return requests{byNumber: map[int64]*request{}} }

// request is one call from a caller, over all the targets that it is sent to.
type request struct {
	number int64
	id     string
	// fingerprint is the same for all repeats of the request by its caller.
	fingerprint string
	route       *descriptor.Route
	team        *descriptor.Team
	service     string
	prompt      *descriptor.Prompt
	arrivedAt   time.Time
	deadline    time.Time
	// target is the target the request was last sent to, whose load includes it; nil between
	// sends.
	target *target
	load   targetLoad
	// sent describes the last send, and bodyBytes the request, for the estimate of costs.
	sent      sentCost
	bodyBytes int
	sentAt    time.Time
	// predicted is the expected time from sentAt to the first part of the response.
	predicted time.Duration
	// sources are the stores that cache parts are imported from.
	sources []netip.AddrPort
	misses  cacheMisses
	// responseStarted is true once the caller has received a part of the response.
	responseStarted bool
	// hasErrorResponse is true when an error response of a target is kept. The caller gets it
	// unless another response has started.
	hasErrorResponse bool
	tried            map[string]bool
	// answerBegunAt is when a target began to answer the attempt in progress, zero before, and succeeds is true
	// if it did so with a success. partsProven is true once that has shown that the parts of the prompt don't
	// crash engines. brokenOff counts the attempts that were broken off before.
	answerBegunAt         time.Time
	succeeds, partsProven bool
	brokenOff             int
	// chain is the number of crashes on the same request up to one that the attempt in progress may cause.
	chain int
	// waitUntil is until when the request may wait for a permit; zero if it never did. isRetry is true from
	// the withdrawal of a retry to its use.
	waitUntil time.Time
	isRetry   bool
	// sends counts the times the request was sent to a target, runs those in which it may have
	// run.
	sends, runs int
	versionChoice
}

// latencyGoal is the time to the first part of the response after which the response counts
// for less under the service's objective.
func (r *request) latencyGoal() time.Duration {
	if r.route.Goal > 0 {
		return r.route.Goal
	}
	return defaultLatencyGoal
}

func (s *State) onRequestArrived(ev RequestArrived) {
	r := &request{number: ev.Number, id: ev.ID, fingerprint: ev.Fingerprint, prompt: ev.Prompt, bodyBytes: ev.BodyBytes, arrivedAt: s.now}
	if kind := s.admit(r, ev); kind != "" {
		s.refuse(r, kind, transientRetryAfter)
		return
	}
	s.byNumber[r.number] = r
	s.depositRetry(r.service)
	s.dispatch(r)
}

// admit sets the route, team and service of r, or returns the reason to refuse it.
func (s *State) admit(r *request, ev RequestArrived) RefusalKind {
	if s.requestsClosed {
		return RefusalLeaving
	}
	if s.config == nil {
		return RefusalUnconfigured
	}
	fresh := s.now.Sub(s.configConfirmedAt) < maxConfigAgeToDeny && !s.peersHaveNewerConfig()
	r.route = s.config.Match(ev.Host, ev.Path)
	if r.route == nil {
		return denyIfFresh(fresh, RefusalNoRoute)
	}
	if s.config.KeysRequired && !r.route.Public {
		if s.configIsUnconfirmed() {
			return RefusalUnconfirmed
		}
		if r.team = s.config.Keys[ev.Key]; r.team == nil {
			return denyIfFresh(fresh, RefusalUnknownKey)
		}
	}
	timeout := ev.Timeout
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if r.route.Timeout > 0 {
		timeout = min(timeout, r.route.Timeout)
	}
	r.deadline = s.now.Add(timeout)
	r.service = s.pickService(r.route)
	return ""
}

// peersHaveNewerConfig reports whether a peer has recently announced a newer configuration than the one in
// force. The platform's store may have gone back to a copy without it before this host started.
func (s *State) peersHaveNewerConfig() bool {
	return s.peerConfig > s.config.Version && s.now.Sub(s.peerConfigAt) < maxConfigAgeToDeny
}

// denyIfFresh returns kind if the configuration is fresh enough for a permanent refusal.
func denyIfFresh(fresh bool, kind RefusalKind) RefusalKind {
	if fresh {
		return kind
	}
	return RefusalUnconfirmed
}

// pickService picks one of the route's services at random by weight.
func (s *State) pickService(route *descriptor.Route) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	remaining := s.rng.Float64() * total
	for _, share := range route.Shares {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

// dispatch sends r to the best target, lets it wait for a permit, or refuses it.
func (s *State) dispatch(r *request) {
	quarantined := s.quarantinedSuspectsOf(r)
	if wait := s.waitForTrial(quarantined); wait > 0 {
		s.refuseQuarantined(r, quarantined, wait)
		return
	}
	if !s.claimTrials(quarantined) {
		if !s.wait(r, "trial") {
			s.refuseQuarantined(r, quarantined, claimInterval)
		}
		return
	}
	// Each pass takes one target out of the choice, as permits for it are being asked for or used up.
	for {
		c := s.chooseWithVersion(r, quarantined, true)
		switch {
		case c.target == nil:
			s.refuseWithoutTarget(r)
			return
		case c.retryAfter > 0:
			r.predicted = c.predicted
			if !s.waitForAnswer(r) {
				s.refuse(r, RefusalOverload, c.retryAfter)
			}
			return
		case s.needsPermit(c.target):
			if c = s.obtainPermit(r, c, quarantined); c.waits {
				return
			}
		}
		if c.target != nil {
			s.recordTrial(r, quarantined)
			s.send(r, c.target, c.predicted)
			return
		}
	}
}

// refuseQuarantined refuses r for suspects that are in quarantine until the next trial.
func (s *State) refuseQuarantined(r *request, suspects []descriptor.Suspect, wait time.Duration) {
	kind := RefusalQuarantined
	if suspects[0].IsRequest() {
		kind = RefusalRequestQuarantined
	}
	s.refuse(r, kind, max(transientRetryAfter, wait))
}

// choice is where a request may be sent.
type choice struct {
	// target is nil if there is none.
	target *target
	// predicted is the expected time to the first part of the response.
	predicted time.Duration
	// retryAfter is above 0 if the request must be shed.
	retryAfter time.Duration
	// waits is true if the request waits for a permit.
	waits bool
	// checksLimit is true if the target is preferred to others because its limit may have changed.
	checksLimit bool
}

// choose chooses the best target for r. If mayAsk is false, it leaves out those that need a permit which this
// host doesn't have.
func (s *State) choose(r *request, quarantined []descriptor.Suspect, mayAsk bool) choice {
	var c choice
	c.target, c.predicted = s.selectTarget(r, mayAsk)
	switch {
	case c.target == nil:
		return c
	case len(quarantined) > 0:
		c.target, c.predicted = s.leastLoadedTarget(r, mayAsk)
	case mayAsk:
		if t, predicted := s.targetWithOldLimit(r); t != nil && s.shedRetryAfter(r, t, predicted) == 0 {
			c.target, c.predicted, c.checksLimit = t, predicted, true
		}
	}
	if !r.responseStarted { // A stream that has started is never shed: the caller already has a part of it.
		c.retryAfter = s.shedRetryAfter(r, c.target, c.predicted)
	}
	return c
}

// obtainPermit asks for a permit for the target of c. Unless this host keeps it, r goes to another target that
// has room, so that the permit is for a later request, or waits for the answer. The choice has no target if
// that of c can't be had.
func (s *State) obtainPermit(r *request, c choice, quarantined []descriptor.Suspect) choice {
	var other choice
	if !c.checksLimit {
		other = s.chooseWithVersion(r, quarantined, false)
	}
	hasOther := other.target != nil && other.retryAfter == 0
	l := s.limitOf(c.target)
	s.askPermit(c.target, l, hasOther || c.checksLimit)
	switch {
	case l.hasPermit(s.now):
		return c
	case hasOther:
		return other
	case l.asked != 0 && s.wait(r, "permit"):
		return choice{waits: true}
	}
	return choice{}
}

// refuseWithoutTarget refuses r as no target can take it, unless one may get a permit in a moment.
func (s *State) refuseWithoutTarget(r *request) {
	if s.waitForAnswer(r) {
		return
	}
	if retryAfter, limited := s.limitRetryAfter(r); limited {
		s.refuse(r, RefusalLimited, retryAfter)
		return
	}
	s.refuse(r, RefusalNoTarget, s.retryAfter(r))
}

// retryAfter returns when the caller of a request that can't be sent may return: when the first
// target wants requests again if all that could run it are paused.
func (s *State) retryAfter(r *request) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	for _, t := range s.byService[r.service] {
		if t.down || !s.eligible(t, r) {
			continue
		}
		soonest = min(soonest, t.pausedUntil.Sub(s.now))
	}
	if soonest == math.MaxInt64 {
		return transientRetryAfter
	}
	return max(transientRetryAfter, soonest)
}

// shedRetryAfter prevents a queue from building up when prompts arrive faster than engines can
// prefill them, which would make every later response late too. The recent lateness of
// responses counts as additional wait. It returns the Retry-After if r must be shed, and 0
// otherwise.
func (s *State) shedRetryAfter(r *request, t *target, predicted time.Duration) time.Duration {
	threshold := shedThreshold
	if r.prompt == nil || s.tokensToPrefill(r, t) <= prefillChunkTokens {
		threshold = shedThresholdSmall
	}
	limit := time.Duration(threshold * float64(r.latencyGoal()))
	wait := predicted - s.ownPromptTime(r, t) + s.lateness.decayed(s.now)
	if wait <= limit && s.now.Add(predicted).Before(r.deadline) {
		return 0
	}
	return wait - limit + transientRetryAfter
}

// latenessMean is the mean time by which responses to prompts begin later than predicted. It
// decays exponentially.
type latenessMean struct {
	mean      time.Duration
	updatedAt time.Time
}

func (l *latenessMean) decayed(now time.Time) time.Duration {
	return time.Duration(float64(l.mean) * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(latenessHalfLife)))
}

func (l *latenessMean) observe(late time.Duration, now time.Time) {
	mean := l.decayed(now)
	l.mean, l.updatedAt = max(0, mean+time.Duration(latenessWeight*float64(late-mean))), now
}

// send sends r to t and adds its load to t.
func (s *State) send(r *request, t *target, predicted time.Duration) {
	r.target, r.isRetry = t, false
	r.sends++
	r.sentAt, r.predicted, r.sources = s.now, predicted, nil
	r.answerBegunAt, r.succeeds, r.partsProven = time.Time{}, false, false
	r.chain = 1 + s.knownChain(r)
	out := Send{
		Number: r.number, Target: t.ID, StartedAt: t.StartedAt, Address: t.Address, Service: t.Service, Deadline: r.deadline,
		Urgency: r.urgency(), Repeatable: r.route.Repeatable(), Stream: r.route.Kind == descriptor.KindStream,
	}
	if r.team != nil {
		out.Team = r.team.Name
	}
	l := s.limitOf(t)
	if l != nil {
		out.Limited = true
		l.use(s.now)
	}
	r.load = targetLoad{Requests: 1}
	if !r.canResumeElsewhere() {
		r.load.Pinned = 1
	}
	if r.prompt != nil {
		s.planCacheTransfers(r, t, &out)
	}
	cost := s.costOfSend(r, t)
	t.ownLoad.add(r.load, 1)
	if s.isCold(t) {
		t.coldAllowance--
	}
	fields := []any{"route", r.route.Name, "team", out.Team, "fingerprint", r.fingerprint, "config", s.config.Version, "target", t.ID, "attempt", r.sends, "predicted", predicted, "left", r.deadline.Sub(s.now),
		"own", t.ownLoad.Requests, "others", t.peerLoad.Requests, "unread", t.ownLoad.PrefillTokens + t.peerLoad.PrefillTokens, "memory", t.ownLoad.MemoryTokens + t.peerLoad.MemoryTokens,
		"weights", out.Weights, "read", r.load.PrefillTokens, "read-slow", r.misses.slowStore, "read-saving", r.misses.beingSaved, "read-unknown", r.misses.notStored}
	s.countSent(r, t)
	fields = append(fields, s.sentVersion(r)...)
	if l != nil {
		fields = append(fields, "limit", l.perSecond)
	}
	fields = append(fields, cost...)
	if r.prompt != nil {
		fields = append(fields, "parts", describeParts(r.prompt, out.Sources))
	}
	if r.prompt != nil && s.hasOutdatedWeights(t, r.prompt.Model) {
		fields = append(fields, "weights-named", s.desiredWeights[r.prompt.Model], "since-named", s.now.Sub(s.replacement(t, r.prompt.Model).notBefore))
	}
	s.log("sent", r.id, fields...)
	s.emit(out)
	s.sendLoadToNeighbours()
}

// describeParts lists the shared parts of a prompt for the log, each with the store that it is imported
// from, if any.
func describeParts(p *descriptor.Prompt, sources []netip.AddrPort) string {
	var b strings.Builder
	for i, part := range p.Shared() {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(part.ID)
		if sources[i].IsValid() {
			b.WriteByte('@')
			b.WriteString(sources[i].String())
		}
	}
	return b.String()
}

// urgency returns the team's priority if it has one, and the route's otherwise.
func (r *request) urgency() int {
	if r.team != nil && r.team.Priority >= 0 {
		return r.team.Priority
	}
	return r.route.Priority
}

// canResumeElsewhere reports whether r can resume at another target if the attempt about to start
// is aborted.
func (r *request) canResumeElsewhere() bool {
	return r.route.Kind == descriptor.KindStream && r.route.Resumable && r.runs+1 < r.route.Attempts
}

// release removes the load of r from its target.
func (s *State) release(r *request) {
	if r.target == nil {
		return
	}
	t, pinned := r.target, r.load.Pinned > 0
	t.ownLoad.add(r.load, -1)
	r.load = targetLoad{}
	r.target = nil
	s.sendLowerLoadToNeighbours()
	if pinned && s.now.Before(s.updatingUntil[t.ID]) {
		s.sendLoadToLeaseHolder() // The weights order may be waiting for this request.
	}
}

// forget ends r, and returns the retry that it hasn't used.
func (s *State) forget(r *request) {
	if r.isRetry {
		s.returnRetry(r.service)
	}
	s.release(r)
	delete(s.byNumber, r.number)
}

// refuse ends r with a refusal, or with the kept error response if there is one.
func (s *State) refuse(r *request, kind RefusalKind, retryAfter time.Duration) {
	s.forget(r)
	if r.hasErrorResponse && !r.responseStarted {
		s.log("done with an error of a target", r.id, "kind", string(kind), "offers", r.sends, "after", s.now.Sub(r.arrivedAt))
		s.emit(DeliverErrorResponse{Number: r.number})
		return
	}
	jitter := time.Duration(s.rng.Float64() * retryAfterJitter * float64(retryAfter))
	out := Refuse{Number: r.number, Kind: kind, NotRun: r.runs == 0, RetryAfter: retryAfter + jitter}
	s.log("refused", r.id, "kind", string(kind), "not-run", out.NotRun, "offers", r.sends, "predicted", r.predicted, "lateness", s.lateness.decayed(s.now), "waited", s.now.Sub(r.arrivedAt), "retry-after", out.RetryAfter,
		"config-age", s.now.Sub(s.configConfirmedAt), "usable-targets", s.countUsableTargets(r))
	s.emit(out)
}

func (s *State) countUsableTargets(r *request) int {
	n := 0
	for _, t := range s.byService[r.service] {
		if s.usable(t, r) {
			n++
		}
	}
	return n
}

func (s *State) onCallerDisconnected(ev CallerDisconnected) {
	r := s.byNumber[ev.Number]
	if r == nil {
		return
	}
	event := "caller left"
	if ev.Cut {
		event = "cut at the end of the grace period"
	}
	s.log(event, r.id, "begun", r.responseStarted, "offers", r.sends, "after", s.now.Sub(r.arrivedAt), "stopping", s.stopping)
	s.forget(r)
}

func (s *State) onRequestUnread(ev RequestUnread) {
	s.log("request not read", ev.ID, "received", ev.Received, "cause", string(ev.Cause), "detail", ev.Detail, "stopping", s.stopping)
	kind, ok := map[UnreadCause]RefusalKind{UnreadLeaving: RefusalLeaving, UnreadNoMemory: RefusalMemory}[ev.Cause]
	if ok {
		s.refuse(&request{number: ev.Number, id: ev.ID, arrivedAt: s.now}, kind, transientRetryAfter)
	}
}
