package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// budgetShare is the part of the hosts' common budget of repeats that is
	// used: a host that restarts begins with a new account.
	budgetShare = 0.7
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
type retries struct{ saved map[string]float64 }

// earnRetries adds one request's share to the budget of its service.
func (s *State) earnRetries(service string) {
	limit := budgetShare * s.cfg.RetrySlack / float64(s.hostCount())
	if s.saved == nil {
		s.saved = map[string]float64{}
	}
	saved, ok := s.saved[service]
	if !ok {
		saved = limit
	}
	s.saved[service] = min(max(1, limit), saved+budgetShare*s.cfg.RetryRatio)
}

func (s *State) spendRetry(service string) bool {
	if s.saved[service] < 1 {
		return false
	}
	s.saved[service]--
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
		t.failing += failingWeight * (1 - t.failing)
	}
}
