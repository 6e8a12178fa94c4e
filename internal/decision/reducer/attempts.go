package reducer

import (
	"fmt"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// attempts holds the retry budget.
type attempts struct {
	// retries is the number of retries that may be made now.
	retries float64
}

// maxRetrySavings bounds the retries that quiet times save up.
const maxRetrySavings = 10

func newAttempts() attempts { return attempts{retries: maxRetrySavings} }

// earnRetry adds one request's share to the retry budget.
func (s *State) earnRetry(profile *specifier.Profile) {
	s.retries = min(maxRetrySavings, s.retries+profile.RetryBudget)
}

// spendRetry takes one retry out of the budget.
func (s *State) spendRetry() bool {
	if s.retries < 1 {
		return false
	}
	s.retries--
	return true
}

// start sends r to its reserved target.
func (s *State) start(r *request) {
	r.phase = phaseRunning
	r.number++
	r.started = false
	s.lead(r)
	s.note(r.id, StepAttempt, r.target.name, r.describeAttempt())
	rank, _ := r.class.Rank()
	s.emit(Start{
		Attempt: r.attempt(), Team: r.team, Target: r.target.name, Address: r.target.spec.Address,
		Incarnation: r.target.incarnation, SendBy: r.sendBy, Deadline: earlier(r.deadline, r.cutoff),
		StallTimeout: r.profile.StallTimeout.Duration,
		Priority:     len(identifier.Classes()) - rank,
		Version:      r.version, Keys: r.keys, ResumeOffset: r.delivered,
	})
}

// earlier returns the earlier of two times; a zero limit counts as none.
func earlier(t, limit time.Time) time.Time {
	if limit.IsZero() || t.Before(limit) {
		return t
	}
	return limit
}

// running returns the request of a, if a is its present attempt.
func (s *State) running(a identifier.Attempt) *request {
	r := s.requests[a.Request]
	if r == nil || r.phase != phaseRunning || r.number != a.Number {
		return nil
	}
	return r
}

func (s *State) onAttemptStarted(ev AttemptStarted) {
	r := s.running(ev.Attempt)
	if r == nil || r.started {
		return
	}
	r.started = true
	s.onAnswerFrom(r.target, ev.Incarnation)
	s.prefilled(r)
	if r.prompt != nil {
		s.slowed(r.target, s.now.Sub(r.expected))
	}
	s.learnLifetime(r, ev.CachedTokens)
	s.correct(r, ev.CachedTokens)
	s.remember(r, r.target)
	if r.prompt != nil {
		// The blocks are in use until the answer ends, so that none is evicted
		// before it is exported.
		s.keep(r, r.target)
	}
	s.unlead(r)
	s.note(r.id, StepStarted, r.target.name, fmt.Sprintf("%d tokens from cache", ev.CachedTokens))
}

// onAnswerFrom notes that t answered under the given incarnation.
func (s *State) onAnswerFrom(t *target, seen identifier.Incarnation) {
	if seen > t.incarnation {
		s.onIncarnationSeen(t.name, seen, true)
	}
	t.succeeded()
}

func (s *State) onAttemptDone(ev AttemptDone) {
	r := s.running(ev.Attempt)
	if r == nil {
		return
	}
	t := r.target
	s.onAnswerFrom(t, ev.Incarnation)
	s.unlead(r)
	s.release(r)
	if r.claimed {
		s.emit(RecordAnswer{Request: r.id})
	}
	s.note(r.id, StepFinished, t.name, fmt.Sprintf("after %d attempts, %d answer tokens", r.number, ev.Tokens))
	s.emit(Finish{Request: r.id})
	s.forget(r)
}

func (s *State) onAttemptFailed(ev AttemptFailed) {
	r := s.running(ev.Attempt)
	if r == nil {
		return
	}
	t := r.target
	s.blame(t, ev)
	s.unlead(r)
	if !ev.Proven {
		s.keepPlace(r)
	}
	s.release(r)
	r.phase = phaseQueued
	r.index = -1
	r.mayHaveRun = r.mayHaveRun || !ev.Proven
	r.delivered = max(r.delivered, ev.Delivered)
	if ev.Reason == FailureCaller {
		s.giveBackClaim(r)
		s.forget(r)
		return
	}
	s.retryOrRefuse(r, t, ev)
}

// blame updates what is known of a target after a failed attempt.
func (s *State) blame(t *target, ev AttemptFailed) {
	if ev.Incarnation > t.incarnation {
		s.onIncarnationSeen(t.name, ev.Incarnation, true)
	}
	switch ev.Reason {
	case FailureUnreachable, FailureBroken, FailureStalled:
		if ev.Reason == FailureStalled && ev.Delivered == 0 {
			s.slowed(t, maxTargetPause)
		}
		t.failed(s.now)
		s.suspectCold(t, ev)
	}
}

// suspectCold treats a target as cold after a reset, until a report or a
// handshake shows that the same incarnation still runs.
func (s *State) suspectCold(t *target, ev AttemptFailed) {
	if ev.Reason == FailureStalled || t.cold {
		return
	}
	t.cold = true
	t.heard = s.now
}

func (s *State) retryOrRefuse(r *request, t *target, ev AttemptFailed) {
	if why := s.noRetry(r, ev); why != "" {
		kind := RefusalTargetFailed
		if ev.Reason == FailureDeadline {
			kind = RefusalDeadline
		}
		s.refuse(r, kind, fmt.Sprintf("target %q: %s: %s (%s)", t.name, ev.Reason, ev.Detail, why), retryAfterFailure)
		return
	}
	switch ev.Reason {
	case FailureIncarnation:
	case FailureVersion:
		s.noteLacking(t, r)
	default:
		r.tried[t.name] = true
	}
	if len(r.tried) >= len(s.byService[r.service]) {
		clear(r.tried)
	}
	s.rebind(r)
	step := StepRetried
	if r.delivered > 0 {
		step = StepResumed
	}
	s.emit(Note{
		Request: r.id, Step: step, Target: t.name, Reason: ev.Reason,
		Detail: fmt.Sprintf("attempt %d failed: %s, %s", r.number, ev.Reason, r.describeProgress(ev)),
	})
	s.requeue(r)
}

// retryAfterFailure is when a caller should come back after a failed target.
const retryAfterFailure = time.Second

// noRetry returns why r must not be tried again, or "".
func (s *State) noRetry(r *request, ev AttemptFailed) string {
	switch {
	case ev.Reason == FailureDeadline || !s.now.Before(r.deadline):
		return "the deadline passed"
	case !r.repeatable && !ev.Proven:
		return "it may have run and must not run twice"
	case ev.Reason == FailureVersion && ev.Proven && r.delivered == 0:
		return ""
	case r.number >= max(1, r.profile.MaxAttempts):
		return fmt.Sprintf("after %d attempts", r.number)
	case !s.spendRetry():
		return "the retry budget is used up"
	}
	return ""
}

func (s *State) onCallerGone(ev CallerGone) {
	r := s.requests[ev.Request]
	if r == nil || r.phase == phaseRunning {
		return
	}
	s.removeQueued(r)
	s.abandonPreparation(r)
	s.giveBackClaim(r)
	s.forget(r)
}

// abandonPreparation undoes what r holds before it was sent.
func (s *State) abandonPreparation(r *request) {
	s.unlead(r)
	if r.importing {
		s.keepPlace(r)
	}
	s.release(r)
	r.index = -1
}

// refuse ends r without a whole answer.
func (s *State) refuse(r *request, kind RefusalKind, message string, retryAfter time.Duration) {
	run := r.runState()
	s.giveBackClaim(r)
	s.note(r.id, StepRefused, "", string(kind)+": "+message)
	s.emit(Refuse{Request: r.id, Kind: kind, Message: message, Run: run, RetryAfter: retryAfter})
	s.forget(r)
}

// forget ends the daemon's knowledge of r.
func (s *State) forget(r *request) {
	if r.leader != nil {
		r.leader.followers = without(r.leader.followers, r)
	}
	delete(s.requests, r.id)
}

func without(list []*request, r *request) []*request {
	for i, other := range list {
		if other == r {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (s *State) startClaim(r *request) {
	s.removeQueued(r)
	r.phase = phaseClaiming
	s.emit(Claim{
		Request: r.id, Team: r.team, IdempotencyKey: r.idempotencyKey,
		Fingerprint: r.call.Fingerprint, Deadline: earlier(r.deadline, s.now.Add(claimTimeout)),
	})
}

// claimTimeout bounds the settling of a claim. A caller whose claim does not
// settle within it is told so at once, and when to come back.
const claimTimeout = 1500 * time.Millisecond

func (s *State) onClaimSettled(ev ClaimSettled) {
	r := s.requests[ev.Request]
	if r != nil && r.claimed {
		return
	}
	if r == nil || r.phase != phaseClaiming {
		if ev.Outcome == ClaimWon {
			s.emit(ReleaseClaim{Request: ev.Request, Team: ev.Team, IdempotencyKey: ev.IdempotencyKey})
		}
		return
	}
	s.note(r.id, StepClaimed, "", string(ev.Outcome))
	switch ev.Outcome {
	case ClaimWon:
		r.claimed = true
		s.requeue(r)
	case ClaimAnswered:
		s.emit(Replay{Request: r.id})
		s.forget(r)
	case ClaimHeld:
		r.mayHaveRun = true
		s.refuse(r, RefusalClaimed, "a request with this Idempotency-Key was sent before and its outcome is not known", claimRetry)
	case ClaimAnswerLost:
		r.ran = true
		s.refuse(r, RefusalClaimed, "a request with this Idempotency-Key ran before; its answer was too large to record", 0)
	case ClaimMismatch:
		s.refuse(r, RefusalKeyMismatch, "the Idempotency-Key was used for a different request", 0)
	case ClaimUnsettled:
		s.refuse(r, RefusalClaimUnsettled, "the claim could not be settled at the platform; nothing was sent", claimRetry)
	}
}

// claimRetry is when a caller should repeat a request whose claim failed.
const claimRetry = 2 * time.Second

// giveBackClaim releases the claim of a request that has not run.
func (s *State) giveBackClaim(r *request) {
	if r.claimed && !r.mayHaveRun {
		s.emit(ReleaseClaim{Request: r.id, Team: r.team, IdempotencyKey: r.idempotencyKey})
	}
	if r.claimed && r.mayHaveRun {
		s.emit(ForgetClaim{Request: r.id})
	}
	r.claimed = false
}
