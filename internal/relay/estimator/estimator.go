// Package estimator learns how much work requests cost at targets from the answers that a host sees. It reads
// no clock and does no I/O.
package estimator

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxServices, maxTargets, maxTeams and maxKinds bound the state. Beyond them, what is known of the whole
	// service applies.
	maxServices = 256
	maxTargets  = 4096
	maxTeams    = 2048
	maxKinds    = 2048
	// sweepInterval is the interval between removals of what is unused for retention, while a bound is reached.
	sweepInterval = time.Second
	retention     = time.Minute
	// priorTargetWeight and priorTeamWeight are the numbers of answers at which what was learned about one target
	// or team counts as much as what is known of all.
	priorTargetWeight = 1
	priorTeamWeight   = 4
	// certainWeight is the number of recent answers of a service from which its figures are certain.
	certainWeight = 8
	// maxTime bounds the times of answers that are learned from.
	maxTime = 10 * time.Minute
	// maxEvents bounds the events of one answer.
	maxEvents = 1 << 20
	// maxAbove and maxBelow limit how far one answer may differ from the expectation, as a factor. Cold starts
	// and weight loads take a second, tens of times as long as an answer.
	maxAbove = 4
	maxBelow = 1.0 / 8
	// minOwnShare is the share of the time to the first part that must be due to the tokens of a prompt itself for
	// the answer to say what its team's tokens cost.
	minOwnShare = 0.1
)

// Request describes what is known of a request before it is sent.
type Request struct {
	Service, Route, Team string
	// PrefillTokens is the number of prompt tokens that the target must read; 0 for plain services.
	PrefillTokens int
	// MaxOutput is a claim of the caller. It only bounds the expected output.
	MaxOutput int
	BodyBytes int
}

// Outcome describes an answer.
type Outcome struct {
	Request
	Target string
	// Queued is the number of prompt tokens that were ahead of the request at the target when it was sent.
	Queued int
	// Running is the number of requests that ran there.
	Running int
	// FirstPart is the time from sending to the first part.
	FirstPart time.Duration
	Total     time.Duration
	// Events is the number of events of a stream, or 0 if unknown.
	Events int
	// Success is false for error responses and broken answers, which say nothing of the cost.
	Success bool
}

// Cost is the expected work of a request at a target.
type Cost struct {
	// Prefill, FirstPart and Total are the request's own times, on an idle target.
	Prefill, FirstPart, Total time.Duration
	// PerToken and PerRunning are the additional times for each prompt token ahead and each running request.
	PerToken, PerRunning time.Duration
	// Work is the request's own time at a target of the service's usual speed and pace.
	Work time.Duration
	// Speed is how many times longer than there work now takes at the target.
	Speed float64
	// Certain is false until enough answers were seen.
	Certain bool
}

// Prior holds the expectations before any answer was seen.
type Prior struct {
	// PerToken, FirstToken and PerRunning apply to prompts: the time to the first part is the sum of the
	// times for the tokens ahead and its own, the constant FirstToken, and PerRunning for each running request.
	PerToken, FirstToken, PerRunning time.Duration
	// Output is the time from the first to the last part of the answer to a prompt, Plain that of plain requests.
	Output, Plain time.Duration
	// Events is the number of events of the answer to a prompt.
	Events float64
}

// Config configures an Estimator.
type Config struct{ Prior Prior }

// Estimator learns the costs of requests. It is not safe for concurrent use.
type Estimator struct {
	cfg      Config
	services map[string]*service
	targets  map[string]*target
	teams    map[teamKey]*level
	kinds    map[kindKey]*kind
	sweptAt  time.Time
	// last is the common part of the cost that was asked for last.
	last common
}

// service holds what is known of all targets of a service.
type service struct {
	fit   fit
	speed level
	// teams is the mean of the logarithms of the teams' factors. Only the differences between teams count, as
	// what they have in common is that of the service.
	teams float64
}

// teamFactor returns how many times longer the tokens of a team take than the number that it claims would.
func (s *service) teamFactor(team *level, now time.Time) float64 {
	if team == nil || team.weight == 0 {
		return 1
	}
	weight := team.decayed(now)
	return math.Exp((team.log - s.teams) * weight / (weight + priorTeamWeight))
}

// target holds what is known of one target.
type target struct {
	speed level
	// relative is the logarithm of its speed relative to that of the service over some tens of answers. What is
	// learned of the service from its answers is corrected by that: speeds themselves follow a change of all
	// targets at different times.
	relative float64
	pace     paces
}

type teamKey struct{ service, team string }

// kind holds what is known of similar requests: the time of the answer, for prompts from its first part, and the
// events.
type kind struct{ time, events mean }

// kindKey identifies similar requests. Route and team are empty and class is 0 in the means over several kinds.
type kindKey struct {
	service, route, team string
	class                int
}

// New returns an Estimator. Zero figures of the prior are replaced by one microsecond.
func New(cfg Config) *Estimator {
	for _, d := range []*time.Duration{&cfg.Prior.PerToken, &cfg.Prior.FirstToken, &cfg.Prior.PerRunning, &cfg.Prior.Output, &cfg.Prior.Plain} {
		*d = max(*d, time.Microsecond)
	}
	return &Estimator{cfg: cfg, services: map[string]*service{}, targets: map[string]*target{}, teams: map[teamKey]*level{}, kinds: map[kindKey]*kind{}}
}

// sizeClass classifies requests by size, in powers of two. The size of the body can't be understated.
func (r *Request) sizeClass() int {
	if r.BodyBytes > 0 {
		return bits.Len(uint(r.BodyBytes))
	}
	return bits.Len(uint(max(0, r.PrefillTokens)))
}

// kindKeys returns the kinds of r from the widest to the narrowest.
func (r *Request) kindKeys() [4]kindKey {
	class := r.sizeClass()
	return [4]kindKey{
		{service: r.Service}, {service: r.Service, route: r.Route},
		{service: r.Service, route: r.Route, class: class}, {service: r.Service, route: r.Route, class: class, team: r.Team},
	}
}

// Observe learns from an answer. It ignores those without success.
func (e *Estimator) Observe(o Outcome, now time.Time) {
	if !o.Success || o.Total <= 0 || o.Total > maxTime || o.FirstPart < 0 || o.FirstPart > o.Total {
		return
	}
	e.last.at = time.Time{}
	svc, t := e.service(o.Service, now), e.target(o.Target, now)
	if svc == nil || t == nil {
		return
	}
	sent := now.Add(-o.Total)
	relative := e.relativeSpeed(svc, t, now)
	common := svc.speed.factor(now)
	rest := o.Total
	if o.PrefillTokens > 0 {
		e.observeFirstPart(&o, svc, t, relative, t.pace.between(sent, sent.Add(o.FirstPart), now), now)
		rest -= o.FirstPart
	}
	pace := t.pace.between(now.Add(-rest), now, now)
	scale := relative * pace
	if o.PrefillTokens <= 0 {
		scale *= t.pace.waitFactor(o.Running)
	}
	base := e.kindTime(&o.Request, now)
	ratio := rest.Seconds() / (base * scale * common)
	if o.PrefillTokens <= 0 {
		svc.speed.observe(ratio, followHalfLife, now)
		t.speed.observe(rest.Seconds()/(base*pace*t.pace.waitFactor(o.Running)*t.speed.factor(now)), followHalfLife, now)
	}
	seconds := base * common * clamp(ratio, maxBelow, maxAbove)
	for _, key := range o.kindKeys() {
		if k := e.kind(key, now); k != nil {
			k.time.observe(seconds, now)
			if o.Events > 0 {
				k.events.observe(float64(min(o.Events, maxEvents)), now)
			}
		}
	}
}

// observeFirstPart learns from the time to the first part of the answer to a prompt, at a target of a relative speed
// and under a pace.
func (e *Estimator) observeFirstPart(o *Outcome, svc *service, t *target, relative, pace float64, now time.Time) {
	team := e.team(teamKey{o.Service, o.Team}, now)
	own := float64(o.PrefillTokens) * svc.teamFactor(team, now)
	x := e.cfg.Prior.terms(own+float64(max(0, o.Queued)), max(0, o.Running))
	theta := svc.fit.solve(now)
	base := x.times(theta)
	speed := relative * svc.speed.factor(now)
	actual := o.FirstPart.Seconds() / pace
	ratio := actual / (base * speed)
	if ownTime := own * theta[0] * e.cfg.Prior.PerToken.Seconds(); team != nil && ownTime > minOwnShare*base {
		team.observe(clamp(1+(ratio-1)*base/ownTime, maxBelow, maxAbove), teamHalfLife, now)
		svc.teams += teamMeanShare * (team.log - svc.teams)
	}
	svc.fit.observe(x, base*svc.speed.factor(now)*clamp(ratio, maxBelow, maxAbove), now)
	svc.speed.observe(ratio, followHalfLife, now)
	t.speed.observe(actual/(base*t.speed.factor(now)), followHalfLife, now)
}

// relativeSpeed returns how many times longer than at the usual target of the service work takes at t, apart from
// its pace.
func (e *Estimator) relativeSpeed(svc *service, t *target, now time.Time) float64 {
	common := svc.speed.factor(now)
	t.relative += relativeShare * (math.Log(t.speed.factorOver(common, priorTargetWeight, now)/common) - t.relative)
	return math.Exp(t.relative)
}

// kindTime returns the expected total time, or for prompts that from the first to the last part, in seconds. Each
// kind with few answers is assumed to be like the wider one.
func (e *Estimator) kindTime(r *Request, now time.Time) float64 {
	seconds := e.cfg.Prior.Plain.Seconds()
	if r.PrefillTokens > 0 {
		seconds = e.cfg.Prior.Output.Seconds()
	}
	for _, key := range r.kindKeys() {
		if k := e.kinds[key]; k != nil {
			seconds = k.time.over(seconds, now)
		}
	}
	return seconds
}

// Output returns the expected number of events of the answer to a prompt. It depends on past answers, and on
// claims only in that it is never above MaxOutput.
func (e *Estimator) Output(r Request, now time.Time) int {
	events := e.cfg.Prior.Events
	for _, key := range r.kindKeys() {
		if k := e.kinds[key]; k != nil && k.events.weight > 0 {
			events = k.events.over(events, now)
		}
	}
	return max(0, min(r.MaxOutput, int(math.Ceil(events))))
}

// confirmedPace returns the pace of t. One that is faster than usual counts as far as there were answers.
func (t *target) confirmedPace(now time.Time) float64 {
	pace := t.pace.at(now)
	if pace >= 1 {
		return pace
	}
	weight := t.speed.decayed(now)
	return 1 + (pace-1)*weight/(weight+priorTargetWeight)
}

// ObservePace learns what a target says of itself. Figures out of range are clamped. Older news than the last are
// ignored.
func (e *Estimator) ObservePace(id string, p Pace, now time.Time) {
	if t := e.target(id, now); t != nil && now.After(t.pace.latest().at) {
		t.pace.observe(p, now)
	}
}

// Forget drops what is known of a target whose process was replaced.
func (e *Estimator) Forget(id string) { delete(e.targets, id) }

// common is the part of a request's cost that is the same at all targets.
type common struct {
	request Request
	at      time.Time
	// theta are the factors of the fit, speed and team those of the service and the team.
	theta       terms
	speed, team float64
	// kind is the expected time of such answers in seconds, for prompts from the first part.
	kind    float64
	certain bool
}

// commonCost returns the part of a request's cost that is the same at all targets. The last one is kept, as the
// targets of one request are compared at one time.
func (e *Estimator) commonCost(r *Request, now time.Time) *common {
	if e.last.request == *r && e.last.at.Equal(now) {
		return &e.last
	}
	c := common{request: *r, at: now, theta: unit, speed: 1, team: 1, kind: e.kindTime(r, now)}
	if svc := e.services[r.Service]; svc != nil {
		c.speed, c.theta = svc.speed.factor(now), svc.fit.solve(now)
		c.certain = svc.speed.decayed(now) >= certainWeight
		if r.PrefillTokens > 0 {
			c.team = svc.teamFactor(e.teams[teamKey{r.Service, r.Team}], now)
		}
	}
	e.last = c
	return &e.last
}

// Cost returns the expected work of a request at a target.
func (e *Estimator) Cost(r Request, id string, now time.Time) Cost {
	common, prior := e.commonCost(&r, now), &e.cfg.Prior
	speed := common.speed
	if t := e.targets[id]; t != nil {
		speed = t.speed.factorOver(common.speed, priorTargetWeight, now) * t.confirmedPace(now)
	}
	c := Cost{
		Speed: speed / common.speed, Certain: common.certain,
		PerToken: scaled(prior.PerToken, common.theta[0]*speed), PerRunning: scaled(prior.PerRunning, common.theta[2]*speed),
	}
	work := common.kind * common.speed
	if r.PrefillTokens > 0 {
		c.Prefill = scaled(prior.PerToken, common.theta[0]*speed*common.team*float64(r.PrefillTokens))
		c.FirstPart = c.Prefill + scaled(prior.FirstToken, common.theta[1]*speed)
		work += c.FirstPart.Seconds() / c.Speed
	}
	c.Total = c.FirstPart + seconds(common.kind*speed)
	if r.PrefillTokens <= 0 {
		c.FirstPart = c.Total
	}
	c.Work = seconds(work)
	return c
}

// scaled multiplies a duration, bounded by maxTime.
func scaled(d time.Duration, by float64) time.Duration { return seconds(d.Seconds() * by) }

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(min(s, maxTime.Seconds()) * float64(time.Second)))
}

func clamp(x, low, high float64) float64 { return max(low, min(high, x)) }

// Size returns the number of targets, teams and kinds of requests that something is known of.
func (e *Estimator) Size() (targets, teams, kinds int) {
	return len(e.targets), len(e.teams), len(e.kinds)
}
