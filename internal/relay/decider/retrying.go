package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// budgetShare is the part of the hosts' common budget of repeats that is
	// used: a host that restarts begins with a new account.
	budgetShare = 0.7
	// retryParts is the number of parts in which a window's repeats are kept: one
	// more than the window has, as the newest part is not over.
	retryParts = 21
	// maxOffers bounds the targets to which a request is offered.
	maxOffers = 4
	// failingWeight is the weight of one attempt in a target's share of failures.
	failingWeight = 0.1
	// workWeight is the weight of one answer in a service's mean time.
	workWeight = 0.05
	// refusedPause is how long a target is left alone after it refused a request.
	refusedPause = 60 * time.Millisecond
)

// retries holds this host's part of the budget of repeats, by service.
type retries struct{ budgets map[string]*budget }

// budget counts the requests and repeats of the last window in parts of it.
type budget struct {
	requests, repeats [retryParts]int
	// part is the number of the newest part since the start of time.
	part int64
}

// advance forgets what is older than the window.
func (b *budget) advance(now time.Time, window time.Duration) {
	part := now.UnixNano() / int64(window/(retryParts-1))
	for n := max(b.part+1, part-retryParts+1); n <= part; n++ {
		b.requests[n%retryParts], b.repeats[n%retryParts] = 0, 0
	}
	b.part = max(b.part, part)
}

func (b *budget) sums() (requests, repeats int) {
	for i := range retryParts {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return requests, repeats
}

// budgetOf returns the budget of a service as of now.
func (s *State) budgetOf(service string) *budget {
	b := s.budgets[service]
	if b == nil {
		b = &budget{}
		s.budgets[service] = b
	}
	b.advance(s.now, s.cfg.RetryWindow)
	return b
}

// earnRetries adds one request to the budget of its service.
func (s *State) earnRetries(service string) {
	b := s.budgetOf(service)
	b.requests[b.part%retryParts]++
}

// spendRetry takes one repeat from the budget, if there is one. It answers the load
// pattern in which targets refuse or go down all at once: what this host may repeat in
// a window may all be repeated in one moment of it. The sum over all hosts keeps to
// the common budget, as each keeps to its part in every window.
func (s *State) spendRetry(service string) bool {
	b := s.budgetOf(service)
	requests, repeats := b.sums()
	limit := budgetShare * (s.cfg.RetryRatio*float64(requests) + s.cfg.RetrySlack/float64(s.hostCount()))
	if float64(repeats+1) > max(1, limit) {
		return false
	}
	b.repeats[b.part%retryParts]++
	return true
}

func (s *State) onAnswerBegan(ev AnswerBegan) {
	r := s.byNumber[ev.Number]
	if r == nil || r.target == nil {
		return
	}
	if !r.begun {
		s.note("answer began", r.id, "target", r.target.ID, "after", s.now.Sub(r.arrived), "at-target", s.now.Sub(r.sent))
	}
	r.begun = true
	s.learnDelay(r)
	if r.prompt != nil {
		s.late.learn(s.now.Sub(r.sent)-r.predicted, s.now)
	}
	r.target.own.Unread -= r.work.Unread
	r.work.Unread = 0
	s.tellNews()
	s.succeeded(r.target)
	if r.prompt != nil {
		s.learnWeights(r.target, r.prompt.Model, ev.Weights)
	}
}

func (s *State) succeeded(t *target) {
	t.failing *= 1 - failingWeight
	t.downs, t.answered = 0, s.now
}

func (s *State) onAttemptDone(ev AttemptDone) {
	r := s.byNumber[ev.Number]
	if r == nil {
		return
	}
	if t := r.target; t != nil {
		s.succeeded(t)
		if r.prompt == nil {
			took := s.now.Sub(r.sent).Seconds()
			if mean := s.workTime[t.Service]; mean > 0 {
				took = mean + workWeight*(took-mean)
			}
			s.workTime[t.Service] = took
		}
	}
	s.note("done", r.id, "status", ev.Status, "after", s.now.Sub(r.arrived), "offers", r.offers)
	s.release(r)
	delete(s.byNumber, r.number)
}

// onAttemptFailed offers a request elsewhere if it may run there, and refuses it otherwise.
func (s *State) onAttemptFailed(ev AttemptFailed) {
	r := s.byNumber[ev.Number]
	if r == nil {
		return
	}
	t := r.target
	s.release(r)
	r.begun = r.begun || ev.Begun
	r.answered = r.answered || ev.Reason == FailureAnswered
	if !ev.NotRun {
		r.runs++
	}
	if t != nil {
		s.blame(t, r, ev)
		if r.tried == nil {
			r.tried = map[string]bool{}
		}
		r.tried[t.ID] = true
		s.note("attempt failed", r.id, "target", t.ID, "reason", string(ev.Reason), "detail", ev.Detail, "not-run", ev.NotRun, "begun", ev.Begun, "after", s.now.Sub(r.sent))
	}
	if kind := s.noRetry(r, ev); kind != "" {
		s.refuse(r, kind, soonRetry)
		return
	}
	s.dispatch(r)
}

// noRetry returns why r must not be offered again, or "".
func (s *State) noRetry(r *request, ev AttemptFailed) RefusalKind {
	switch {
	case ev.Reason == FailureDeadline || !s.now.Before(r.deadline):
		return RefusalDeadline
	case r.runs > 0 && !r.route.Repeatable():
		return RefusalFailed
	case r.begun && (r.route.Kind != descriptor.KindStream || !r.route.Resumable):
		return RefusalFailed
	case r.runs >= r.route.Attempts || r.offers >= maxOffers:
		return RefusalAttemptsSpent
	case !s.spendRetry(r.service):
		return RefusalRetriesSpent
	}
	return ""
}

// blame takes in what a failure says about its target.
func (s *State) blame(t *target, r *request, ev AttemptFailed) {
	switch ev.Reason {
	case FailureUnreachable, FailureSilent:
		s.markDown(t, ev.Detail)
	case FailureRefused:
		t.changing = s.now.Add(refusedPause)
	case FailureMisdirected:
		if r.prompt == nil {
			s.markDown(t, "another process answered")
			return
		}
		before := t.Weights[r.prompt.Model]
		s.learnWeights(t, r.prompt.Model, ev.Weights)
		if t.Weights[r.prompt.Model] == before {
			t.unsure = true
			s.emit(ReadReport{Target: t.ID, Address: t.Address})
		}
	case FailureBroken, FailureAnswered:
		if s.underOrder(t) {
			return // The order breaks off what runs.
		}
		t.failing += failingWeight * (1 - t.failing)
	}
}
