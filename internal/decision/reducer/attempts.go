package reducer

import (
	"fmt"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// attempts holds the retry budget, which all requests of the daemon share.
type attempts struct {
	// retryBudget is the remaining budget.
	retryBudget float64
}

// maxRetryBudget bounds the retry budget that can accumulate.
const maxRetryBudget = 10

func newAttempts() attempts { return attempts{retryBudget: maxRetryBudget} }

// creditRetry adds a new request's share to the retry budget.
func (s *State) creditRetry(profile *specifier.Profile) {
	s.retryBudget = min(maxRetryBudget, s.retryBudget+profile.RetryBudget)
}

// spendRetry takes one retry from the budget and reports whether there was one.
func (s *State) spendRetry() bool {
	if s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	return true
}

// startAttempt sends the next attempt of r to its reserved target.
func (s *State) startAttempt(r *request) {
	r.phase = phaseRunning
	r.attemptNumber++
	r.started = false
	s.recordSend(r)
	s.addLeader(r)
	s.recordStep(r.id, StepAttempt, r.target.name, r.describeAttempt())
	rank, _ := r.class.Rank()
	s.emit(Start{
		Attempt: r.attempt(), Team: r.team, Target: r.target.name, Address: r.target.spec.Address,
		Incarnation: r.target.incarnation, SendBy: r.sendBy, Deadline: earlier(r.deadline, r.cutoff),
		StallTimeout: r.profile.StallTimeout.Duration,
		Priority:     len(identifier.Classes()) - rank,
		Version:      r.version, Keys: r.keys, ResumeOffset: r.delivered,
	})
}

// earlier returns the earlier of t and limit, or t if limit is zero.
func earlier(t, limit time.Time) time.Time {
	if limit.IsZero() || t.Before(limit) {
		return t
	}
	return limit
}

// runningRequest returns the request of a if a is its current attempt, or nil.
func (s *State) runningRequest(a identifier.Attempt) *request {
	r := s.requests[a.Request]
	if r == nil || r.phase != phaseRunning || r.attemptNumber != a.Number {
		return nil
	}
	return r
}

func (s *State) onResponseStarted(ev ResponseStarted) {
	r := s.runningRequest(ev.Attempt)
	if r == nil || r.started {
		return
	}
	r.started = true
	s.onTargetAnswered(r.target, ev.Incarnation)
	s.clearPendingTokens(r)
	if r.prompt != nil {
		s.pausePrompts(r.target, s.now.Sub(r.expectedFirstToken))
	}
	s.adjustCacheLifetime(r, ev.CachedTokens)
	s.dropMissingBlocks(r, ev.CachedTokens)
	s.recordCached(r, r.target)
	if r.prompt != nil {
		// The target can't evict the blocks before the answer ends, because they
		// are in use, so this is the time to export them.
		s.exportNewBlocks(r, r.target)
	}
	s.removeLeader(r)
	s.recordStep(r.id, StepStarted, r.target.name, fmt.Sprintf("%d tokens from cache", ev.CachedTokens))
}

// onTargetAnswered records that t answered as the given incarnation.
func (s *State) onTargetAnswered(t *target, seen identifier.Incarnation) {
	if seen > t.incarnation {
		s.onIncarnationObserved(t.name, seen, true)
	}
	t.recordSuccess()
}

func (s *State) onAttemptDone(ev AttemptDone) {
	r := s.runningRequest(ev.Attempt)
	if r == nil {
		return
	}
	t := r.target
	s.onTargetAnswered(t, ev.Incarnation)
	s.clearSuspect(r)
	s.removeLeader(r)
	s.release(r)
	if r.claimed {
		s.emit(RecordAnswer{Request: r.id})
	}
	s.recordStep(r.id, StepFinished, t.name, fmt.Sprintf("after %d attempts, %d answer tokens", r.attemptNumber, ev.Tokens))
	s.emit(Finish{Request: r.id})
	s.removeRequest(r)
}

func (s *State) onAttemptFailed(ev AttemptFailed) {
	r := s.runningRequest(ev.Attempt)
	if r == nil {
		return
	}
	t := r.target
	s.recordFailure(t, ev)
	if ev.Reason == FailureBroken && !ev.ProvenNotRun {
		s.suspectCrash(t, r)
	}
	s.removeLeader(r)
	if !ev.ProvenNotRun {
		s.keepSlot(r)
	}
	s.release(r)
	r.phase = phaseQueued
	r.heapIndex = -1
	r.mayHaveRun = r.mayHaveRun || !ev.ProvenNotRun
	r.delivered = max(r.delivered, ev.Delivered)
	if ev.Reason == FailureCallerDisconnected {
		s.dropClaim(r)
		s.removeRequest(r)
		return
	}
	s.retryOrRefuse(r, t, ev)
}

// recordFailure updates the incarnation, circuit breaker and pause of a target after
// a failed attempt.
func (s *State) recordFailure(t *target, ev AttemptFailed) {
	if ev.Incarnation > t.incarnation {
		s.onIncarnationObserved(t.name, ev.Incarnation, true)
	}
	switch ev.Reason {
	case FailureUnreachable, FailureBroken, FailureStalled:
		if ev.Reason == FailureStalled && ev.Delivered == 0 {
			s.pausePrompts(t, maxTargetPause)
		}
		t.recordFailure(s.now)
		s.suspectCold(t, ev)
	}
}

// suspectCold treats a target as cold after a lost connection, because it may have
// restarted. A later report or handshake of the same incarnation ends this.
func (s *State) suspectCold(t *target, ev AttemptFailed) {
	if ev.Reason == FailureStalled || t.cold {
		return
	}
	t.cold = true
	t.observedAt = s.now
}

func (s *State) retryOrRefuse(r *request, t *target, ev AttemptFailed) {
	if why := s.checkRetry(r, ev); why != "" {
		kind := RefusalTargetFailed
		if ev.Reason == FailureDeadline {
			kind = RefusalDeadline
		}
		s.refuse(r, kind, fmt.Sprintf("target %q: %s: %s (%s)", t.name, ev.Reason, ev.Detail, why), retryAfterFailure)
		return
	}
	switch ev.Reason {
	case FailureWrongIncarnation:
	case FailureVersion:
		s.recordMissingVersion(t, r)
	default:
		r.tried[t.name] = true
	}
	if len(r.tried) >= len(s.byService[r.service]) {
		clear(r.tried)
	}
	s.rebindVersion(r)
	step := StepRetried
	if r.delivered > 0 {
		step = StepResumed
	}
	s.emit(RecordStep{
		Request: r.id, Step: step, Target: t.name, Reason: ev.Reason,
		Detail: fmt.Sprintf("attempt %d failed: %s, %s", r.attemptNumber, ev.Reason, r.describeProgress(ev)),
	})
	s.requeue(r)
}

// retryAfterFailure is the back-off for callers after a failed target.
const retryAfterFailure = time.Second

// checkRetry returns why r must not be retried, or "" after taking the retry from the
// budget. A retry because the target only lacked the weight version is free.
func (s *State) checkRetry(r *request, ev AttemptFailed) string {
	switch {
	case ev.Reason == FailureDeadline || !s.now.Before(r.deadline):
		return "the deadline passed"
	case !r.repeatable && !ev.ProvenNotRun:
		return "it may have run and must not run twice"
	case ev.Reason == FailureVersion && ev.ProvenNotRun && r.delivered == 0:
		return ""
	case r.attemptNumber >= max(1, r.profile.MaxAttempts):
		return fmt.Sprintf("after %d attempts", r.attemptNumber)
	case r.brokenOff && s.knownCrashes(r) >= maxRepeatedCrashes:
		return "targets have crashed on the same request"
	case !s.spendRetry():
		return "the retry budget is used up"
	}
	return ""
}

func (s *State) onCallerDisconnected(ev CallerDisconnected) {
	r := s.requests[ev.Request]
	if r == nil || r.phase == phaseRunning {
		return
	}
	s.removeQueued(r)
	s.abortPreparation(r)
	s.dropClaim(r)
	s.removeRequest(r)
}

// abortPreparation releases what is reserved for a request that was not sent yet.
func (s *State) abortPreparation(r *request) {
	s.removeLeader(r)
	if r.importing {
		s.keepSlot(r)
	}
	s.release(r)
	r.heapIndex = -1
}

// refuse ends r without a complete answer.
func (s *State) refuse(r *request, kind RefusalKind, message string, retryAfter time.Duration) {
	run := r.runState()
	s.dropClaim(r)
	s.recordStep(r.id, StepRefused, "", string(kind)+": "+message)
	s.emit(Refuse{Request: r.id, Kind: kind, Message: message, Run: run, RetryAfter: retryAfter})
	s.removeRequest(r)
}

// removeRequest deletes r from the daemon's state.
func (s *State) removeRequest(r *request) {
	if r.leader != nil {
		r.leader.followers = removeFrom(r.leader.followers, r)
	}
	delete(s.requests, r.id)
}

func removeFrom(list []*request, r *request) []*request {
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

// claimTimeout bounds the time to settle a claim. After it the caller is refused
// with a back-off instead of waiting until the deadline.
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
	s.recordStep(r.id, StepClaimed, "", string(ev.Outcome))
	switch ev.Outcome {
	case ClaimWon:
		r.claimed = true
		s.requeue(r)
	case ClaimAnswered:
		s.emit(Replay{Request: r.id})
		s.removeRequest(r)
	case ClaimHeld:
		r.mayHaveRun = true
		s.refuse(r, RefusalClaimed, "a request with this Idempotency-Key was sent before and its outcome is not known", claimRetryAfter)
	case ClaimAnswerLost:
		r.ranBefore = true
		s.refuse(r, RefusalClaimed, "a request with this Idempotency-Key ran before; its answer was too large to record", 0)
	case ClaimMismatch:
		s.refuse(r, RefusalKeyMismatch, "the Idempotency-Key was used for a different request", 0)
	case ClaimUnsettled:
		s.refuse(r, RefusalClaimUnsettled, "the claim could not be settled at the platform; nothing was sent", claimRetryAfter)
	}
}

// claimRetryAfter is the back-off for callers whose claim failed.
const claimRetryAfter = 2 * time.Second

// dropClaim releases r's claim if r has not run, and records its outcome as unknown if r
// may have run.
func (s *State) dropClaim(r *request) {
	if r.claimed && !r.mayHaveRun {
		s.emit(ReleaseClaim{Request: r.id, Team: r.team, IdempotencyKey: r.idempotencyKey})
	}
	if r.claimed && r.mayHaveRun {
		s.emit(RecordClaimUnknown{Request: r.id})
	}
	r.claimed = false
}
