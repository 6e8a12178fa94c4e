package decider

import (
	"math"
	"net/netip"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// defaultDeadline applies to requests that name no deadline.
	defaultDeadline = 30 * time.Second
	// soonRetry is when to come back after a refusal that a moment can mend: a
	// little over the time in which hosts hear of targets from each other.
	soonRetry = 250 * time.Millisecond
	// retrySpread spreads the return of callers that were refused together.
	retrySpread = 0.3
	// shedAt is the wait at a target, in goals, from which a request is refused: its
	// answer would be late, and would make those behind it late too. The request's
	// own size doesn't count, so that long prompts aren't refused for being long.
	shedAt = 0.7
	// shedSmallAt is the same for prompts of one piece, which delay others little.
	shedSmallAt = 3
	// errorWeight is the weight of one answer in the mean error of predictions, and
	// errorHalf the time in which that halves without answers.
	errorWeight = 0.1
	errorHalf   = time.Second
	// defaultGoal applies to routes without a goal.
	defaultGoal = time.Second
)

// requests holds the requests that this host serves.
type requests struct {
	byNumber map[int64]*request
	late     lateness
}

func newRequests() requests { return requests{byNumber: map[int64]*request{}} }

// request is one attempt of a caller.
type request struct {
	number   int64
	id       string
	route    *descriptor.Route
	team     *descriptor.Team
	service  string
	prompt   *descriptor.Prompt
	arrived  time.Time
	deadline time.Time
	// target has the request now, with work on account; nil between attempts.
	target *target
	work   work
	sent   time.Time
	// predicted is the expected time from sent to the first part of the answer.
	predicted time.Duration
	// sources are the stores that parts are imported from.
	sources []netip.AddrPort
	reading reading
	// begun is true when the caller has a part of the answer.
	begun bool
	// answered is true when a target's own error is kept for the caller, to whom it
	// goes unless another answer has begun.
	answered bool
	tried    map[string]bool
	// offers counts the attempts, runs those that may have run.
	offers, runs int
}

// goal is the time to the answer that earns full credit.
func (r *request) goal() time.Duration {
	if r.route.Goal > 0 {
		return r.route.Goal
	}
	return defaultGoal
}

func (s *State) onRequestArrived(ev RequestArrived) {
	r := &request{number: ev.Number, id: ev.ID, prompt: ev.Prompt, arrived: s.now}
	if kind := s.admit(r, ev); kind != "" {
		s.refuse(r, kind, soonRetry)
		return
	}
	s.byNumber[r.number] = r
	s.earnRetries(r.service)
	s.dispatch(r)
}

// admit finds the route, team and service of r, or returns why it is refused.
func (s *State) admit(r *request, ev RequestArrived) RefusalKind {
	if s.config == nil {
		return RefusalUnconfigured
	}
	fresh := s.now.Sub(s.confirmed) < denyFresh
	r.route = s.config.Match(ev.Host, ev.Path)
	if r.route == nil {
		return deny(fresh, RefusalNoRoute)
	}
	if s.config.Teams && !r.route.Public {
		if s.now.Sub(s.confirmed) > s.cfg.RevokeAfter-confirmMargin {
			return RefusalUnconfirmed
		}
		if r.team = s.config.Keys[ev.Key]; r.team == nil {
			return deny(fresh, RefusalKey)
		}
	}
	wait := ev.Deadline
	if wait <= 0 {
		wait = defaultDeadline
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	r.deadline = s.now.Add(wait)
	r.service = s.pickService(r.route)
	return ""
}

// deny returns kind if the configuration is fresh enough to refuse for good.
func deny(fresh bool, kind RefusalKind) RefusalKind {
	if fresh {
		return kind
	}
	return RefusalUnconfirmed
}

// pickService draws one of the route's services by weight.
func (s *State) pickService(route *descriptor.Route) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	at := s.rng.Float64() * total
	for _, share := range route.Shares {
		if at -= share.Weight; at < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

// dispatch sends r to the best target, or refuses it at once.
func (s *State) dispatch(r *request) {
	best, predicted := s.place(r)
	if best == nil {
		s.refuse(r, RefusalNoTarget, soonRetry)
		return
	}
	// Of a begun stream the caller has a part already: what is left is never shed.
	if tooLate := s.shed(r, best, predicted); tooLate > 0 && !r.begun {
		r.predicted = predicted
		s.refuse(r, RefusalOverload, tooLate)
		return
	}
	s.send(r, best, predicted)
}

// shed answers the load pattern in which more prompts arrive than the engines can
// read: each one that is let in makes those behind it late. How much later than
// predicted answers come counts as wait. It returns when the caller should come
// back, or 0 if r is to be served.
func (s *State) shed(r *request, t *target, predicted time.Duration) time.Duration {
	at := shedAt
	if r.prompt == nil || s.unread(r, t) <= pieceTokens {
		at = shedSmallAt
	}
	limit := time.Duration(at * float64(r.goal()))
	wait := predicted - s.ownTime(r, t) + s.late.aged(s.now)
	if wait <= limit && s.now.Add(predicted).Before(r.deadline) {
		return 0
	}
	return wait - limit + soonRetry
}

// lateness is the mean time by which answers to prompts come later than predicted.
type lateness struct {
	mean time.Duration
	at   time.Time
}

func (l *lateness) aged(now time.Time) time.Duration {
	return time.Duration(float64(l.mean) * math.Exp2(-float64(now.Sub(l.at))/float64(errorHalf)))
}

func (l *lateness) learn(late time.Duration, now time.Time) {
	mean := l.aged(now)
	l.mean, l.at = max(0, mean+time.Duration(errorWeight*float64(late-mean))), now
}

// send hands r to a target and puts its work on account.
func (s *State) send(r *request, t *target, predicted time.Duration) {
	r.target = t
	r.offers++
	r.sent, r.predicted, r.sources = s.now, predicted, nil
	out := Send{
		Number: r.number, Target: t.ID, Address: t.Address, Service: t.Service, Deadline: r.deadline,
		Urgency: r.urgency(), Repeatable: r.route.Repeatable(), Stream: r.route.Kind == descriptor.KindStream,
	}
	if r.team != nil {
		out.Team = r.team.Name
	}
	r.work = work{Requests: 1}
	if !r.movable() {
		r.work.Bound = 1
	}
	if r.prompt != nil {
		s.planCache(r, t, &out)
	}
	t.own.add(r.work, 1)
	if s.cold(t) {
		t.coldTokens--
	}
	s.note("sent", r.id, "route", r.route.Name, "config", s.config.Version, "target", t.ID, "attempt", r.offers, "predicted", predicted,
		"own", t.own.Requests, "others", t.others.Requests, "unread", t.own.Unread+t.others.Unread, "memory", t.own.Memory+t.others.Memory,
		"weights", out.Weights, "read", r.work.Unread, "read-slow", r.reading.slow, "read-saving", r.reading.saving, "read-unknown", r.reading.unknown)
	s.emit(out)
	s.tellNews()
}

// urgency is the team's rank if it has one, else the route's.
func (r *request) urgency() int {
	if r.team != nil && r.team.Priority >= 0 {
		return r.team.Priority
	}
	return r.route.Priority
}

// movable reports whether r may go on elsewhere after the attempt that begins now.
func (r *request) movable() bool {
	return r.route.Kind == descriptor.KindStream && r.route.Resumable && r.runs+1 < r.route.Attempts
}

// release takes r's work off its target.
func (s *State) release(r *request) {
	if r.target == nil {
		return
	}
	t, bound := r.target, r.work.Bound > 0
	t.own.add(r.work, -1)
	r.work = work{}
	r.target = nil
	s.tellNews()
	if bound && s.now.Before(s.ordered[t.ID]) {
		s.tellOrderer() // The order waits for it.
	}
}

// refuse ends r without an answer of a target.
func (s *State) refuse(r *request, kind RefusalKind, retryAfter time.Duration) {
	s.release(r)
	delete(s.byNumber, r.number)
	if r.answered && !r.begun {
		s.note("done with an error of a target", r.id, "kind", string(kind), "offers", r.offers, "after", s.now.Sub(r.arrived))
		s.emit(Deliver{Number: r.number})
		return
	}
	spread := time.Duration(s.rng.Float64() * retrySpread * float64(retryAfter))
	out := Refuse{Number: r.number, Kind: kind, NotRun: r.runs == 0, RetryAfter: retryAfter + spread}
	s.note("refused", r.id, "kind", string(kind), "not-run", out.NotRun, "offers", r.offers, "predicted", r.predicted, "lateness", s.late.aged(s.now), "waited", s.now.Sub(r.arrived), "retry-after", out.RetryAfter,
		"config-age", s.now.Sub(s.confirmed), "usable-targets", s.countUsable(r))
	s.emit(out)
}

func (s *State) countUsable(r *request) int {
	n := 0
	for _, t := range s.byService[r.service] {
		if s.usable(t, r) {
			n++
		}
	}
	return n
}

func (s *State) onCallerLeft(ev CallerLeft) {
	r := s.byNumber[ev.Number]
	if r == nil {
		return
	}
	s.note("caller left", r.id, "begun", r.begun, "offers", r.offers, "after", s.now.Sub(r.arrived))
	s.release(r)
	delete(s.byNumber, r.number)
}
