package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// admission holds the daemon's admitted requests and the teams' rate limiters.
type admission struct {
	requests map[identifier.Request]*request
	buckets  map[identifier.Team]*teamBuckets
}

// teamBuckets limits the requests and the tokens per second of one team.
type teamBuckets struct {
	requests tokenBucket
	tokens   tokenBucket
}

// tokenBucket is refilled at a fixed rate, up to burstDuration's worth of it. Its
// level may be negative.
type tokenBucket struct {
	level      float64
	refilledAt time.Time
}

// burstDuration is the time in which an empty bucket fills up.
const burstDuration = 2 * time.Second

func newAdmission() admission {
	return admission{
		requests: map[identifier.Request]*request{},
		buckets:  map[identifier.Team]*teamBuckets{},
	}
}

// refill adds what has accrued since the last call and returns the new level.
func (b *tokenBucket) refill(rate float64, now time.Time) float64 {
	burst := rate * burstDuration.Seconds()
	if b.refilledAt.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	return b.level
}

// refusal says why a request is not admitted.
type refusal struct {
	kind       RefusalKind
	message    string
	retryAfter time.Duration
}

func newRefusal(kind RefusalKind, format string, args ...any) *refusal {
	return &refusal{kind: kind, message: fmt.Sprintf(format, args...)}
}

func (s *State) onRequestArrived(ev RequestArrived) {
	r, denied := s.admit(ev)
	if denied != nil {
		s.recordStep(ev.Request, StepRefused, "", string(denied.kind)+": "+denied.message)
		s.emit(Refuse{Request: ev.Request, Kind: denied.kind, Message: denied.message, Run: RunStateNotRun, RetryAfter: denied.retryAfter})
		return
	}
	s.requests[r.id] = r
	s.emit(RecordStep{
		Request: r.id, Step: StepAdmitted, Service: r.service, Class: r.class,
		Detail: fmt.Sprintf("team %s, service %s, class %s", r.team, r.service, r.class),
	})
	s.creditRetry(r.profile)
	if s.needsLookup(r) {
		s.startLookup(r)
		return
	}
	s.enqueue(r)
}

func (s *State) admit(ev RequestArrived) (*request, *refusal) {
	if s.version == 0 {
		return nil, &refusal{RefusalNotReady, "the daemon has no configuration yet", time.Second}
	}
	team, ok := s.teamOfKey[ev.KeyHash]
	if !ok {
		return nil, newRefusal(RefusalUnauthenticated, "the bearer key is missing or belongs to no team")
	}
	r := &request{id: ev.Request, team: team, arrived: s.now, idempotencyKey: ev.IdempotencyKey, repeatable: true, tried: map[identifier.Target]bool{}}
	if denied := s.resolveService(r, ev); denied != nil {
		return nil, denied
	}
	if denied := s.resolveWork(r, ev); denied != nil {
		return nil, denied
	}
	if denied := s.resolveClassAndDeadline(r, ev); denied != nil {
		return nil, denied
	}
	if denied := s.checkQuarantine(r); denied != nil {
		return nil, denied
	}
	if denied := s.chargeTeam(r); denied != nil {
		return nil, denied
	}
	if len(s.requests) >= s.cfg.MaxRequests {
		return nil, &refusal{RefusalOverload, "the daemon holds its full number of requests", time.Second}
	}
	return r, nil
}

// resolveService sets the service of a request, by its model if the caller named
// no service, and checks that the team may use it.
func (s *State) resolveService(r *request, ev RequestArrived) *refusal {
	r.service = ev.Service
	if p, ok := ev.Work.(Prompt); ok && r.service == "" {
		r.service = s.serviceOf[p.Model]
		if r.service == "" {
			return newRefusal(RefusalInvalid, "no service offers the model %q", p.Model)
		}
	}
	if _, ok := s.fleet.Services[r.service]; !ok {
		return newRefusal(RefusalUnknownService, "service %q does not exist", r.service)
	}
	allowed := s.fleet.Teams[r.team].Services
	if len(allowed) > 0 && !slices.Contains(allowed, r.service) {
		return newRefusal(RefusalForbidden, "team %q may not use service %q", r.team, r.service)
	}
	r.profile = s.profileOf(r.service)
	return nil
}

func (s *State) resolveWork(r *request, ev RequestArrived) *refusal {
	service := s.fleet.Services[r.service]
	switch work := ev.Work.(type) {
	case Prompt:
		if service.Kind != specifier.ServiceModel {
			return newRefusal(RefusalInvalid, "service %q serves no prompts", r.service)
		}
		return s.resolvePrompt(r, work)
	case Call:
		if service.Kind != specifier.ServicePlain {
			return newRefusal(RefusalInvalid, "service %q serves prompts only", r.service)
		}
		return resolveCall(r, service, work)
	default:
		return newRefusal(RefusalInvalid, "the request asks for nothing")
	}
}

func (s *State) resolvePrompt(r *request, p Prompt) *refusal {
	model, ok := s.fleet.Models[p.Model]
	if !ok {
		return newRefusal(RefusalInvalid, "model %q does not exist", p.Model)
	}
	if p.Adapter != "" && !slices.Contains(model.Adapters, p.Adapter) {
		return newRefusal(RefusalInvalid, "model %q has no adapter %q", p.Model, p.Adapter)
	}
	if model.MaxPromptTokens > 0 && p.Tokens > model.MaxPromptTokens {
		return newRefusal(RefusalTooLarge, "the prompt has %d tokens, model %q takes at most %d", p.Tokens, p.Model, model.MaxPromptTokens)
	}
	if model.MaxOutputTokens > 0 && p.MaxTokens > model.MaxOutputTokens {
		return newRefusal(RefusalInvalid, "max-tokens is %d, model %q gives at most %d", p.MaxTokens, p.Model, model.MaxOutputTokens)
	}
	r.prompt = &p
	s.bindVersion(r)
	return nil
}

// readOnlyMethods holds the HTTP methods that change nothing at a target, so that
// they may be repeated on any path.
var readOnlyMethods = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true}

func resolveCall(r *request, service specifier.Service, c Call) *refusal {
	for _, prefix := range service.NonRepeatable {
		if strings.HasPrefix(c.Path, prefix) && !readOnlyMethods[c.Method] {
			r.repeatable = false
		}
	}
	if !r.repeatable && r.idempotencyKey == "" {
		return newRefusal(RefusalKeyMissing, "a %s of %q runs at most once and needs an Idempotency-Key", c.Method, c.Path)
	}
	r.call = &c
	return nil
}

// resolveClassAndDeadline sets the class and the deadline, from the defaults of
// the service and its profile where the caller gave none.
func (s *State) resolveClassAndDeadline(r *request, ev RequestArrived) *refusal {
	r.class = ev.Class
	if r.class == "" {
		r.class = s.fleet.Services[r.service].Class
	}
	if r.class == "" {
		r.class = identifier.ClassStandard
	}
	if _, ok := r.class.Rank(); !ok {
		return newRefusal(RefusalInvalid, "class %q does not exist, want one of %v", r.class, identifier.Classes())
	}
	timeout := ev.Timeout
	if timeout == 0 {
		timeout = r.profile.DefaultDeadline.Duration
	}
	if timeout < 0 {
		return newRefusal(RefusalInvalid, "the deadline %s is negative", timeout)
	}
	if longest := r.profile.MaxDeadline.Duration; longest > 0 {
		timeout = min(timeout, longest)
	}
	r.deadline = s.now.Add(timeout)
	return nil
}

// chargeTeam takes the request's cost out of its team's buckets, or returns a
// refusal if one of them is used up.
func (s *State) chargeTeam(r *request) *refusal {
	team := s.fleet.Teams[r.team]
	if team.RequestsPerSecond == 0 && team.TokensPerSecond == 0 {
		return nil
	}
	b := s.buckets[r.team]
	if b == nil {
		b = &teamBuckets{}
		s.buckets[r.team] = b
	}
	share := s.teamLimitShare()
	if denied := checkBucket(&b.requests, team.RequestsPerSecond*share, 1, s.now, "requests"); denied != nil {
		return denied
	}
	if denied := checkBucket(&b.tokens, team.TokensPerSecond*share, r.cost(), s.now, "tokens"); denied != nil {
		return denied
	}
	b.requests.level--
	b.tokens.level -= r.cost()
	return nil
}

// checkBucket refuses a cost that b does not cover. A full bucket covers any cost
// and goes negative, so that a request larger than the burst can still pass.
func checkBucket(b *tokenBucket, rate, cost float64, now time.Time, unit string) *refusal {
	if rate == 0 {
		return nil
	}
	level := b.refill(rate, now)
	burst := rate * burstDuration.Seconds()
	if level >= min(cost, burst) {
		return nil
	}
	denied := newRefusal(RefusalTeamLimit, "the team's limit on %s per second is used up", unit)
	denied.retryAfter = time.Duration((min(cost, burst) - level) / rate * float64(time.Second))
	return denied
}

// teamLimitShare returns this daemon's part of the teams' limits, which are
// divided evenly among the configured hosts.
func (s *State) teamLimitShare() float64 { return 1 / float64(max(1, len(s.fleet.Hosts))) }
