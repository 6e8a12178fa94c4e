package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// admission holds the requests in the daemon and the teams' limits.
type admission struct {
	requests map[identifier.Request]*request
	buckets  map[identifier.Team]*teamBuckets
}

// teamBuckets are one team's token buckets in this daemon.
type teamBuckets struct {
	requests bucket
	tokens   bucket
}

// bucket is a token bucket that is filled at a rate and holds at most burst.
type bucket struct {
	level  float64
	filled time.Time
}

// limitBurst is the time for which a bucket saves up its rate.
const limitBurst = 2 * time.Second

func newAdmission() admission {
	return admission{
		requests: map[identifier.Request]*request{},
		buckets:  map[identifier.Team]*teamBuckets{},
	}
}

// refill adds what has come since the last call, and returns the level.
func (b *bucket) refill(rate float64, now time.Time) float64 {
	burst := rate * limitBurst.Seconds()
	if b.filled.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	return b.level
}

// refusal is why a request is not admitted.
type refusal struct {
	kind       RefusalKind
	message    string
	retryAfter time.Duration
}

func refuse(kind RefusalKind, format string, args ...any) *refusal {
	return &refusal{kind: kind, message: fmt.Sprintf(format, args...)}
}

func (s *State) onRequestArrived(ev RequestArrived) {
	r, no := s.admit(ev)
	if no != nil {
		s.note(ev.Request, StepRefused, "", no.message)
		s.emit(Refuse{Request: ev.Request, Kind: no.kind, Message: no.message, Run: RunNot, RetryAfter: no.retryAfter})
		return
	}
	s.requests[r.id] = r
	s.note(r.id, StepAdmitted, "", fmt.Sprintf("team %s, class %s", r.team, r.class))
	s.earnRetry(r.profile)
	if s.lookupNeeded(r) {
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
		return nil, refuse(RefusalUnauthenticated, "the bearer key is missing or belongs to no team")
	}
	r := &request{id: ev.Request, team: team, arrived: s.now, idempotencyKey: ev.IdempotencyKey, repeatable: true, tried: map[identifier.Target]bool{}}
	if no := s.resolveService(r, ev); no != nil {
		return nil, no
	}
	if no := s.resolveWork(r, ev); no != nil {
		return nil, no
	}
	if no := s.resolveTerms(r, ev); no != nil {
		return nil, no
	}
	if no := s.takeLimit(r); no != nil {
		return nil, no
	}
	if len(s.requests) >= s.cfg.MaxRequests {
		return nil, &refusal{RefusalOverload, "the daemon holds its full number of requests", time.Second}
	}
	return r, nil
}

// resolveService finds the service of a request and checks that its team may use it.
func (s *State) resolveService(r *request, ev RequestArrived) *refusal {
	r.service = ev.Service
	if p, ok := ev.Work.(Prompt); ok && r.service == "" {
		r.service = s.serviceOf[p.Model]
		if r.service == "" {
			return refuse(RefusalInvalid, "no service offers the model %q", p.Model)
		}
	}
	if _, ok := s.fleet.Services[r.service]; !ok {
		return refuse(RefusalUnknownService, "service %q does not exist", r.service)
	}
	allowed := s.fleet.Teams[r.team].Services
	if len(allowed) > 0 && !slices.Contains(allowed, r.service) {
		return refuse(RefusalForbidden, "team %q may not use service %q", r.team, r.service)
	}
	r.profile = s.profileOf(r.service)
	return nil
}

func (s *State) resolveWork(r *request, ev RequestArrived) *refusal {
	service := s.fleet.Services[r.service]
	switch work := ev.Work.(type) {
	case Prompt:
		if service.Kind != specifier.ServiceModel {
			return refuse(RefusalInvalid, "service %q serves no prompts", r.service)
		}
		return s.resolvePrompt(r, work)
	case Call:
		if service.Kind != specifier.ServicePlain {
			return refuse(RefusalInvalid, "service %q serves prompts only", r.service)
		}
		return resolveCall(r, service, work)
	default:
		return refuse(RefusalInvalid, "the request asks for nothing")
	}
}

func (s *State) resolvePrompt(r *request, p Prompt) *refusal {
	model, ok := s.fleet.Models[p.Model]
	if !ok {
		return refuse(RefusalInvalid, "model %q does not exist", p.Model)
	}
	if p.Adapter != "" && !slices.Contains(model.Adapters, p.Adapter) {
		return refuse(RefusalInvalid, "model %q has no adapter %q", p.Model, p.Adapter)
	}
	if model.MaxPromptTokens > 0 && p.Tokens > model.MaxPromptTokens {
		return refuse(RefusalTooLarge, "the prompt has %d tokens, model %q takes at most %d", p.Tokens, p.Model, model.MaxPromptTokens)
	}
	if model.MaxOutputTokens > 0 && p.MaxTokens > model.MaxOutputTokens {
		return refuse(RefusalInvalid, "max-tokens is %d, model %q gives at most %d", p.MaxTokens, p.Model, model.MaxOutputTokens)
	}
	r.prompt = &p
	s.bindVersion(r)
	return nil
}

// readOnly holds the methods that never change anything at a target.
var readOnly = map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true}

func resolveCall(r *request, service specifier.Service, c Call) *refusal {
	for _, prefix := range service.NonRepeatable {
		if strings.HasPrefix(c.Path, prefix) && !readOnly[c.Method] {
			r.repeatable = false
		}
	}
	if !r.repeatable && r.idempotencyKey == "" {
		return refuse(RefusalKeyMissing, "a %s of %q runs at most once and needs an Idempotency-Key", c.Method, c.Path)
	}
	r.call = &c
	return nil
}

// resolveTerms settles the class and the deadline.
func (s *State) resolveTerms(r *request, ev RequestArrived) *refusal {
	r.class = ev.Class
	if r.class == "" {
		r.class = s.fleet.Services[r.service].Class
	}
	if r.class == "" {
		r.class = identifier.ClassStandard
	}
	if _, ok := r.class.Rank(); !ok {
		return refuse(RefusalInvalid, "class %q does not exist, want one of %v", r.class, identifier.Classes())
	}
	timeout := ev.Timeout
	if timeout == 0 {
		timeout = r.profile.DefaultDeadline.Duration
	}
	if timeout < 0 {
		return refuse(RefusalInvalid, "the deadline %s is negative", timeout)
	}
	if longest := r.profile.MaxDeadline.Duration; longest > 0 {
		timeout = min(timeout, longest)
	}
	r.deadline = s.now.Add(timeout)
	return nil
}

// takeLimit takes the request's cost out of its team's buckets.
func (s *State) takeLimit(r *request) *refusal {
	team := s.fleet.Teams[r.team]
	if team.RequestsPerSecond == 0 && team.TokensPerSecond == 0 {
		return nil
	}
	b := s.buckets[r.team]
	if b == nil {
		b = &teamBuckets{}
		s.buckets[r.team] = b
	}
	share := s.limitShare()
	if no := checkBucket(&b.requests, team.RequestsPerSecond*share, 1, s.now, "requests"); no != nil {
		return no
	}
	if no := checkBucket(&b.tokens, team.TokensPerSecond*share, r.cost(), s.now, "tokens"); no != nil {
		return no
	}
	b.requests.level--
	b.tokens.level -= r.cost()
	return nil
}

// checkBucket refuses when b holds nothing. A bucket may go into debt, so that
// a request that is larger than the burst can pass.
func checkBucket(b *bucket, rate, cost float64, now time.Time, what string) *refusal {
	if rate == 0 {
		return nil
	}
	level := b.refill(rate, now)
	burst := rate * limitBurst.Seconds()
	if level >= min(cost, burst) {
		return nil
	}
	no := refuse(RefusalTeamLimit, "the team's limit on %s per second is used up", what)
	no.retryAfter = time.Duration((min(cost, burst) - level) / rate * float64(time.Second))
	return no
}

// limitShare is this daemon's part of the teams' limits.
func (s *State) limitShare() float64 { return 1 / float64(max(1, len(s.fleet.Hosts))) }
