package decider

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

const (
	// retryBudgetShare is the share of the hosts' common retry budget that is used. It is below
	// 1 because a host that restarts loses its count of retries.
	retryBudgetShare = 0.7
	// retryBuckets is the number of buckets in which a window's requests and retries are
	// counted. It is one more than the window covers, as the newest bucket is incomplete.
	retryBuckets = 21
	// maxSends limits how many targets a request is sent to.
	maxSends = 4
	// failureRateWeight is the weight of one attempt in a target's failure rate.
	failureRateWeight = 0.1
	// serviceTimeWeight is the weight of one request in a service's mean service time.
	serviceTimeWeight = 0.05
	// refusalPause is how long a target gets no requests after it refused one without
	// Retry-After.
	refusalPause = 60 * time.Millisecond
)

// retries holds this host's share of the retry budget of each service.
type retries struct{ retryBudgets map[string]*retryBudget }

// retryBudget counts requests and retries over a sliding window of buckets.
type retryBudget struct {
	requests, retries [retryBuckets]int
	// bucket is the number of the newest bucket since the Unix epoch.
	bucket int64
}

// advance clears the buckets that have left the window.
func (b *retryBudget) advance(now time.Time, window time.Duration) {
	bucket := now.UnixNano() / int64(window/(retryBuckets-1))
	for n := max(b.bucket+1, bucket-retryBuckets+1); n <= bucket; n++ {
		b.requests[n%retryBuckets], b.retries[n%retryBuckets] = 0, 0
	}
	b.bucket = max(b.bucket, bucket)
}

func (b *retryBudget) totals() (requests, retries int) {
	for i := range retryBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests, retries
}

// retryBudgetOf returns the retry budget of a service, advanced to the current time.
func (s *State) retryBudgetOf(service string) *retryBudget {
	b := s.retryBudgets[service]
	if b == nil {
		b = &retryBudget{}
		s.retryBudgets[service] = b
	}
	b.advance(s.now, s.cfg.RetryWindow)
	return b
}

// depositRetry counts one request, which earns its service a fraction of a retry.
func (s *State) depositRetry(service string) {
	b := s.retryBudgetOf(service)
	b.requests[b.bucket%retryBuckets]++
}

// tryWithdrawRetry takes one retry from the budget if any is left. The whole budget of a window
// may be spent at once, as is needed when many targets refuse or go down together. The retries
// of all hosts stay within the common budget because each host keeps to its share in every
// window.
func (s *State) tryWithdrawRetry(service string) bool {
	b := s.retryBudgetOf(service)
	requests, retries := b.totals()
	limit := retryBudgetShare * (s.cfg.RetryRatio*float64(requests) + s.cfg.RetrySlack/float64(s.hostCount()))
	if limit < 1 && s.rankFor(service) < int(retryBudgetShare*s.cfg.RetrySlack) {
		limit = 1 // There are more hosts than retries, so some have one and the others none.
	}
	if float64(retries+1) > limit {
		return false
	}
	b.retries[b.bucket%retryBuckets]++
	return true
}

// returnRetry returns a retry that was just withdrawn and not used.
func (s *State) returnRetry(service string) {
	b := s.retryBudgetOf(service)
	b.retries[b.bucket%retryBuckets]--
}

func (s *State) onResponseStarted(ev ResponseStarted) {
	r := s.byNumber[ev.Number]
	if r == nil || r.target == nil {
		return
	}
	if !r.responseStarted {
		s.log("answer began", r.id, "target", r.target.ID, "after", s.now.Sub(r.arrivedAt), "at-target", s.now.Sub(r.sentAt))
	}
	r.responseStarted, r.answerBegunAt, r.succeeds = true, s.now, !ev.Unsuccessful
	s.observeStoreDelay(r)
	s.proveAnswers(r.target, r.sentAt)
	s.observePace(r, ev.Pace)
	if r.prompt != nil {
		s.lateness.observe(s.now.Sub(r.sentAt)-r.predicted, s.now)
	}
	r.target.ownLoad.PrefillTokens -= r.load.PrefillTokens
	r.load.PrefillTokens = 0
	s.sendLowerLoadToNeighbours()
	s.recordSuccess(r.target)
	if r.prompt != nil {
		s.observeWeights(r.target, r.prompt.Model, ev.Weights)
	}
}

// logFields returns the fields that describe b in the log, or none if there was no response.
func (b ReceivedBody) logFields() []any {
	if b.Framing == "" {
		return nil
	}
	return []any{"framing", string(b.Framing), "bytes", b.Bytes, "inside-event", b.InsideEvent}
}

func (s *State) recordSuccess(t *target) {
	t.failureRate *= 1 - failureRateWeight
	t.downCount, t.lastAnsweredAt = 0, s.now
}

func (s *State) onAttemptDone(ev AttemptDone) {
	r := s.byNumber[ev.Number]
	if r == nil {
		return
	}
	if t := r.target; t != nil {
		s.recordSuccess(t)
		s.countAnswer(r, ev.Status >= firstServerError)
		s.recordRun(r, t, ev.Body)
		s.observeCost(r, ev)
		if r.succeeds {
			s.clearParts(r)
		}
		if r.prompt == nil {
			serviceTime := s.now.Sub(r.sentAt).Seconds()
			if mean := s.meanServiceTime[t.Service]; mean > 0 {
				serviceTime = mean + serviceTimeWeight*(serviceTime-mean)
			}
			s.meanServiceTime[t.Service] = serviceTime
		}
	}
	s.log("done", r.id, append([]any{"status", ev.Status, "after", s.now.Sub(r.arrivedAt), "offers", r.sends}, ev.Body.logFields()...)...)
	s.release(r)
	delete(s.byNumber, r.number)
}

// onAttemptFailed sends the request to another target if it may run there, and refuses it
// otherwise.
func (s *State) onAttemptFailed(ev AttemptFailed) {
	r := s.byNumber[ev.Number]
	if r == nil {
		return
	}
	t := r.target
	s.release(r)
	r.responseStarted = r.responseStarted || ev.ResponseStarted
	r.hasErrorResponse = r.hasErrorResponse || ev.Reason == FailureErrorResponse
	if !ev.NotRun {
		r.runs++
	}
	if t != nil {
		s.recordFailure(t, r, ev)
		if isBadAnswer(ev) {
			s.countAnswer(r, true)
		}
		if ev.Reason == FailureErrorResponse {
			s.recordRun(r, t, ev.Body)
		}
		s.suspectCrash(t, r, ev)
		if r.tried == nil {
			r.tried = map[string]bool{}
		}
		r.tried[t.ID] = true
		fields := []any{"target", t.ID, "reason", string(ev.Reason), "detail", ev.Detail, "not-run", ev.NotRun, "begun", ev.ResponseStarted, "after", s.now.Sub(r.sentAt)}
		s.log("attempt failed", r.id, append(fields, ev.Body.logFields()...)...)
	}
	if kind := s.retryRefusal(r, ev); kind != "" {
		s.refuse(r, kind, s.retryAfter(r))
		return
	}
	r.isRetry = true
	s.dispatch(r)
}

// retryRefusal returns the reason why r must not be retried, or "".
func (s *State) retryRefusal(r *request, ev AttemptFailed) RefusalKind {
	switch {
	case s.requestsEnded && !r.responseStarted:
		return RefusalLeaving
	case ev.Reason == FailureDeadline || !s.now.Before(r.deadline):
		return RefusalDeadline
	case r.runs > 0 && !r.route.Repeatable():
		return RefusalFailed
	case r.responseStarted && (r.route.Kind != descriptor.KindStream || !r.route.Resumable):
		return RefusalFailed
	case r.runs >= r.route.Attempts || r.sends >= maxSends || r.hasCrashed():
		return RefusalAttemptsSpent
	case !s.tryWithdrawRetry(r.service):
		return RefusalRetriesSpent
	}
	return ""
}

// recordFailure updates the state of t after a failed attempt.
func (s *State) recordFailure(t *target, r *request, ev AttemptFailed) {
	switch ev.Reason {
	case FailureUnreachable, FailureSilent:
		s.markDown(t, ev.Detail)
	case FailureRefused:
		t.pausedUntil = latest(t.pausedUntil, s.now.Add(refusalPause))
	case FailureMisdirected:
		if r.prompt == nil {
			s.markDown(t, "another process answered")
			return
		}
		before := t.Weights[r.prompt.Model]
		s.observeWeights(t, r.prompt.Model, ev.Weights)
		if t.Weights[r.prompt.Model] == before {
			t.weightsUnknown = true
			s.emit(ReadReport{Target: t.ID, StartedAt: t.StartedAt, Address: t.Address})
		}
	case FailureBroken, FailureErrorResponse:
		if s.isUpdating(t) {
			return // The weights order interrupted the attempt.
		}
		t.failureRate += failureRateWeight * (1 - t.failureRate)
	}
}
