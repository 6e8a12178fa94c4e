package decider

import (
	"maps"
	"math"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/estimator"
)

const (
	// pacedFor is how long a service counts as one whose targets state the pace of their machines after the
	// last statement.
	pacedFor = time.Minute
	// defaultOutputTokens is the expected output of a prompt before any answer was seen.
	defaultOutputTokens = 256
	// invalidPaceInterval is the interval between log lines about paces that can't be read.
	invalidPaceInterval = 10 * time.Second
	// costErrorWeight is the weight of one answer in the mean error of the expected costs.
	costErrorWeight = 0.02
	// maxCostRatio bounds how much one answer counts in these means.
	maxCostRatio = 5
)

// costing holds what is learned of the costs of requests to services whose targets state the pace of their
// machines. Requests to all other services are estimated with constants.
type costing struct {
	estimator *estimator.Estimator
	// pacedUntil maps these services to the time until which they count as such.
	pacedUntil map[string]time.Time
	// invalidPaceAt is when a pace that can't be read was last logged.
	invalidPaceAt time.Time
	// costError is the mean difference between the expected and the actual time of answers as a share of the
	// former, actualTime and expectedTime are the means of the times in seconds. All are 0 before the first
	// answer.
	costError, actualTime, expectedTime float64
	// unannounced holds the last pace of each target that stated one to this host since the last message to
	// its neighbours.
	unannounced map[string]statedPace
	// constant is true if all costs are estimated with constants.
	constant bool
}

func newCosting(cfg Config) costing {
	return costing{
		constant: cfg.ConstantCosts, pacedUntil: map[string]time.Time{}, unannounced: map[string]statedPace{},
		estimator: estimator.New(estimator.Config{Prior: estimator.Prior{
			PerToken: prefillTimePerToken, FirstToken: firstTokenTime, PerRunning: runningRequestDelay,
			Output: memoryHoldTime, Plain: defaultServiceTime, Events: defaultOutputTokens,
		}}),
	}
}

// sentCost is what was known of the cost of a request when it was sent.
type sentCost struct {
	request estimator.Request
	// startedAt identifies the process that it was sent to, and learns is false if nothing is learned from its
	// answer.
	startedAt time.Time
	learns    bool
	// queued and running are the prompt tokens and requests that were there, and waits the expected time for
	// imports, memory and a slot.
	queued, running int
	waits           time.Duration
	// expected is the expected time to the end of the answer.
	expected time.Duration
}

// isPaced reports whether the costs of requests at t are estimated from past answers.
func (s *State) isPaced(t *target) bool {
	return len(s.pacedUntil) > 0 && s.now.Before(s.pacedUntil[t.Service])
}

// readsPrompt reports whether t is an engine that must read the prompt of r.
func (r *request) readsPrompt(t *target) bool {
	return r.prompt != nil && t.service != nil && t.service.Engine != nil
}

// costRequest describes r with a number of prompt tokens that its target must read.
func (r *request) costRequest(tokens int) estimator.Request {
	c := estimator.Request{Service: r.service, Route: r.route.Name, BodyBytes: r.bodyBytes, PrefillTokens: max(0, tokens)}
	if r.team != nil {
		c.Team = r.team.Name
	}
	if r.prompt != nil {
		c.MaxOutput = r.prompt.MaxOutput
	}
	return c
}

// promptCost returns the expected cost of r at the engine t, which imports parts by plan.
func (s *State) promptCost(r *request, t *target, plan importPlan) estimator.Cost {
	return s.estimator.Cost(r.costRequest(max(1, r.prompt.Tokens-plan.tokens)), t.ID, s.now)
}

// learnedPromptDelay is like expectedPromptDelay with the learned costs and the pace of t.
func (s *State) learnedPromptDelay(r *request, t *target, load targetLoad, plan importPlan) time.Duration {
	c := s.promptCost(r, t, plan)
	return c.FirstPart + plan.duration + time.Duration(load.PrefillTokens)*c.PerToken + time.Duration(load.Requests)*c.PerRunning + s.learnedWait(r, t, load, c)
}

// learnedWait returns the expected time that r waits for memory and a slot of the engine t.
func (s *State) learnedWait(r *request, t *target, load targetLoad, c estimator.Cost) time.Duration {
	engine := t.service.Engine
	var wait time.Duration
	if excess := load.MemoryTokens + s.memoryTokens(r) - engine.MemoryTokens; excess > 0 && engine.MemoryTokens > 0 {
		wait += time.Duration(float64(c.Total) * float64(excess) / float64(engine.MemoryTokens))
	}
	if waiting := load.Requests + 1 - engine.Slots; waiting > 0 {
		wait += c.Total * time.Duration(waiting) / time.Duration(max(1, engine.Slots))
	}
	return wait
}

// memoryTokens returns the memory that r is expected to occupy. The output is the usual one of such requests, as
// callers may claim any maximum.
func (s *State) memoryTokens(r *request) int {
	return r.prompt.Tokens + s.estimator.Output(r.costRequest(r.prompt.Tokens), s.now)
}

// learnedPlainDelay is like expectedPlainDelay with the learned costs and the pace of t. It includes the time of r
// itself, which differs between targets.
func (s *State) learnedPlainDelay(r *request, t *target, load targetLoad) time.Duration {
	c := s.estimator.Cost(r.costRequest(0), t.ID, s.now)
	slots := max(1, t.Slots)
	delay := c.Total + time.Duration(float64(load.Requests)/float64(slots)*float64(runningRequestDelay))
	if waiting := load.Requests + 1 - slots; waiting > 0 {
		work := c.Work
		if load.Requests > 0 && load.WorkMicros > 0 {
			work = time.Duration(load.WorkMicros) * time.Microsecond / time.Duration(load.Requests)
		}
		delay += time.Duration(float64(work) * c.Speed * float64(waiting) / float64(slots))
	}
	return delay
}

// learnedOwnTime returns the part of the expected delay at t that is due to r itself.
func (s *State) learnedOwnTime(r *request, t *target) time.Duration {
	if !r.readsPrompt(t) {
		return s.estimator.Cost(r.costRequest(0), t.ID, s.now).Total
	}
	plan := s.planImport(r, t)
	return s.promptCost(r, t, plan).FirstPart + plan.duration
}

// costOfSend records the expected cost of r, which is about to be sent to t, in its load. The tokens of a team
// count by what they are found to cost. It returns the fields for the log.
func (s *State) costOfSend(r *request, t *target) []any {
	r.sent = sentCost{startedAt: t.StartedAt}
	if !s.isPaced(t) {
		return nil
	}
	load := t.ownLoad
	load.add(t.peerLoad, 1)
	sent := sentCost{startedAt: t.StartedAt, queued: load.PrefillTokens, running: load.Requests}
	sent.learns = !r.responseStarted && !s.isCold(t) && !s.isUpdating(t) // A resumed stream needs less work.
	sent.request = r.costRequest(0)
	var c estimator.Cost
	if r.readsPrompt(t) {
		plan := s.planImport(r, t)
		sent.request = r.costRequest(max(1, r.prompt.Tokens-plan.tokens))
		c = s.promptCost(r, t, plan)
		sent.waits = plan.duration + s.learnedWait(r, t, load, c)
		if c.PerToken > 0 {
			r.load.PrefillTokens = int(min(c.Prefill/c.PerToken, math.MaxInt32))
		}
		r.load.MemoryTokens = s.memoryTokens(r)
		sent.expected = s.learnedPromptDelay(r, t, load, plan) + c.Total - c.FirstPart
	} else {
		c = s.estimator.Cost(sent.request, t.ID, s.now)
		r.load.WorkMicros = int(c.Work.Microseconds())
		sent.expected = s.learnedPlainDelay(r, t, load)
	}
	r.sent = sent
	return []any{"cost", c.Total}
}

// observePace records what the target of r says about its machine.
func (s *State) observePace(r *request, said descriptor.Pace) {
	t := r.target
	if s.constant || said == (descriptor.Pace{}) {
		return
	}
	if said.Invalid {
		if s.now.Sub(s.invalidPaceAt) >= invalidPaceInterval {
			s.invalidPaceAt = s.now
			s.log("pace can't be read", r.id, "target", t.ID)
		}
		return
	}
	if said.Percent <= 0 || !r.sent.startedAt.Equal(t.StartedAt) {
		return
	}
	s.recordPace(t, estimator.Pace{Running: said.Running, Waiting: said.Waiting, Slots: said.Slots, Percent: said.Percent}, s.now)
	if len(s.unannounced) < maxAnnouncedPaces {
		s.unannounced[t.ID] = statedPace{said.Percent, said.Slots, s.now}
	}
}

// recordPace records a pace that t stated at a time.
func (s *State) recordPace(t *target, said estimator.Pace, at time.Time) {
	if !s.isPaced(t) {
		maps.DeleteFunc(s.pacedUntil, func(_ string, until time.Time) bool { return !s.now.Before(until) })
		s.log("service states its pace", "", "service", t.Service, "target", t.ID, "percent", said.Percent)
	}
	s.pacedUntil[t.Service] = at.Add(pacedFor)
	s.estimator.ObservePace(t.ID, said, at)
}

// observeCost learns from the complete answer to r.
func (s *State) observeCost(r *request, ev AttemptDone) {
	t, sent := r.target, r.sent
	if !sent.learns || !sent.startedAt.Equal(t.StartedAt) || t.weightsChangedAt.After(r.sentAt) || r.answerBegunAt.IsZero() {
		return
	}
	total, first := s.now.Sub(r.sentAt), r.answerBegunAt.Sub(r.sentAt)
	success := r.succeeds && ev.Status >= 200 && ev.Status < 300
	if success && sent.expected > 0 {
		ratio := min(maxCostRatio, float64(total)/float64(sent.expected))
		s.actualTime += costErrorWeight * (total.Seconds() - s.actualTime)
		s.expectedTime += costErrorWeight * (sent.expected.Seconds() - s.expectedTime)
		s.costError += costErrorWeight * (math.Abs(ratio-1) - s.costError)
	}
	if first < 2*sent.waits {
		return // Most of the time may have been spent on waiting, which says little of the cost.
	}
	s.estimator.Observe(estimator.Outcome{
		Request: sent.request, Target: t.ID, Queued: sent.queued, Running: sent.running,
		FirstPart: first - sent.waits, Total: total - sent.waits, Events: ev.Events, Success: success,
	}, s.now)
}

// CostStats describes what is learned of the costs of requests.
type CostStats struct {
	// Services is the number of services whose targets state the pace of their machines, Targets and Kinds those
	// of targets and kinds of requests that something is known of.
	Services, Targets, Kinds int
	// Error is the mean difference between the expected and the actual time of answers, as a share of the former,
	// and Ratio the mean actual time divided by the mean expected one.
	Error, Ratio float64
}

// Costs describes what is learned of the costs of requests.
func (s *State) Costs() CostStats {
	stats := CostStats{Error: s.costError, Ratio: s.actualTime / max(s.expectedTime, math.SmallestNonzeroFloat64)}
	for _, until := range s.pacedUntil {
		if s.now.Before(until) {
			stats.Services++
		}
	}
	stats.Targets, _, stats.Kinds = s.estimator.Size()
	return stats
}
