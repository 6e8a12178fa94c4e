package decider

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// prefillTimePerToken is the prefill time of one prompt token beside running requests: a
	// chunk of 1,024 tokens takes 9.3 ms, the decode step of the others 6.1 ms and attention to
	// the preceding tokens about 3 ms, by the specification of the engines.
	prefillTimePerToken = 18 * time.Microsecond
	// prefillChunkTokens is how many prompt tokens an engine prefills in one step.
	prefillChunkTokens = 1024
	// firstTokenTime is the time from a prompt's last prefill chunk to its first token.
	firstTokenTime = 8 * time.Millisecond
	// memoryHoldTime is roughly how long a request occupies an engine's memory: the time to
	// prefill and answer a long prompt at the specified speed of the engines.
	memoryHoldTime = 500 * time.Millisecond
	// crossDataCentrePenalty accounts for the round trip to a target in another data centre and
	// the price of the traffic.
	crossDataCentrePenalty = 3 * time.Millisecond
	// distantPenalty applies to targets outside this host's partition, whose known load may be a
	// second old.
	distantPenalty = 40 * time.Millisecond
	// maxDistantSample is how many targets outside this host's partition are considered for a request,
	// unless none of them can take it.
	maxDistantSample = 64
	// runningRequestDelay is how much longer the first ten steps of a response take together for
	// each running request.
	runningRequestDelay = 400 * time.Microsecond
	// defaultServiceTime is the service time of a plain request before any has completed.
	defaultServiceTime = 20 * time.Millisecond
	// oldWeightsGrace is the time since new weights were named after which requests on older
	// weights count for less under the service's objective; oldWeightsPenalty is that loss as a
	// share of the latency goal.
	oldWeightsGrace   = 1300 * time.Millisecond
	oldWeightsPenalty = 0.5
)

// eligible reports whether t may receive requests like r while it works and has room.
func (s *State) eligible(t *target, r *request) bool {
	if t.Draining || t.service == nil || s.isEvacuated(t.DataCentre) || !t.mayRunVersion(r) {
		return false
	}
	return len(r.route.Regions) == 0 || slices.Contains(r.route.Regions, s.cfg.Regions[t.DataCentre])
}

// selectTarget returns the target with the shortest expected time to the first part of the
// response, and that time. It counts the load from all hosts, so that no engine is full while
// others have room. If mayAsk is false, it leaves out targets that need a permit which this host
// doesn't have.
func (s *State) selectTarget(r *request, mayAsk bool) (*target, time.Duration) {
	var best *target
	var shortest time.Duration
	plans := map[importPlanKey]importPlan{}
	var distant distantTargets
	for _, t := range s.near[r.service] {
		if !s.usable(t, r) || !mayAsk && s.needsPermit(t) {
			continue
		}
		load := t.ownLoad
		load.add(t.peerLoad, 1)
		if delay := s.expectedDelay(r, t, load, plans); best == nil || delay < shortest {
			best, shortest = t, delay
		}
	}
	far := s.far[r.service]
	first := 0
	if len(far) > maxDistantSample {
		first = s.rng.IntN(len(far))
	}
	for i := range far {
		if i >= maxDistantSample && distant.picked != nil {
			break
		}
		if t := far[(first+i)%len(far)]; s.usable(t, r) && (mayAsk || !s.needsPermit(t)) {
			load := t.ownLoad
			load.add(t.peerLoad, 1)
			distant.add(t, load, s.rng)
		}
	}
	if t := distant.picked; t != nil {
		load := distant.sum.dividedBy(distant.count)
		load.add(s.meanUnassignedLoad(r.service), 1)
		if delay := s.expectedDelay(r, t, load, plans) + distantPenalty; best == nil || delay < shortest {
			best, shortest = t, delay
		}
	}
	return best, shortest
}

// leastLoadedTarget returns the target at which the fewest requests are in progress, and the expected
// time to the first part of the response. It takes mayAsk like selectTarget.
func (s *State) leastLoadedTarget(r *request, mayAsk bool) (*target, time.Duration) {
	var best *target
	var least targetLoad
	for _, t := range s.byService[r.service] {
		load := t.ownLoad
		load.add(t.peerLoad, 1)
		if s.usable(t, r) && (mayAsk || !s.needsPermit(t)) && (best == nil || load.Requests < least.Requests) {
			best, least = t, load
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, s.expectedDelay(r, best, least, map[importPlanKey]importPlan{})
}

// distantTargets collects the targets outside this host's partition. Their loads arrive too
// late to choose by: the one that looks idle would be chosen by all other hosts too. One of
// them is picked at random, and is assumed to have the mean load of all.
type distantTargets struct {
	count  int
	sum    targetLoad
	picked *target
}

func (d *distantTargets) add(t *target, load targetLoad, rng *rand.Rand) {
	d.count++
	d.sum.add(load, 1)
	if rng.IntN(d.count) == 0 {
		d.picked = t
	}
}

// expectedDelay returns the time until the response to r begins at t under the given load, plus
// penalties for distance and failures. It caches import plans in plans.
func (s *State) expectedDelay(r *request, t *target, load targetLoad, plans map[importPlanKey]importPlan) time.Duration {
	var delay time.Duration
	if t.service.Engine != nil && r.prompt != nil {
		key := importPlanKey{t.Weights[r.prompt.Model], t.DataCentre}
		plan, ok := plans[key]
		if !ok {
			plan = s.planImport(r, t)
			plans[key] = plan
		}
		delay = s.expectedPromptDelay(r, t, load, plan)
	} else {
		delay = s.expectedPlainDelay(r, t, load)
	}
	if t.DataCentre != s.cfg.DataCentre {
		delay += crossDataCentrePenalty
	}
	if s.needsPermit(t) {
		delay += permitDelay
	}
	return delay + time.Duration(t.failureRate*float64(r.latencyGoal()))
}

func (s *State) expectedPlainDelay(r *request, t *target, load targetLoad) time.Duration {
	if s.isPaced(t) {
		return s.learnedPlainDelay(r, t, load)
	}
	serviceTime := defaultServiceTime
	if mean := s.meanServiceTime[t.Service]; mean > 0 {
		serviceTime = time.Duration(mean * float64(time.Second))
	}
	slots := max(1, t.Slots)
	utilisation := float64(load.Requests) / float64(slots)
	delay := time.Duration(utilisation * float64(runningRequestDelay))
	if waiting := load.Requests + 1 - slots; waiting > 0 {
		delay += serviceTime * time.Duration(waiting) / time.Duration(slots)
	}
	return delay
}

// expectedPromptDelay adds up the time to prefill r and the tokens queued before it, to import
// cached parts, and to wait for memory and a slot.
func (s *State) expectedPromptDelay(r *request, t *target, load targetLoad, plan importPlan) time.Duration {
	if s.isPaced(t) {
		return s.learnedPromptDelay(r, t, load, plan) + s.oldWeightsDelay(r, t)
	}
	delay := time.Duration(load.PrefillTokens+r.prompt.Tokens-plan.tokens) * prefillTimePerToken
	delay += firstTokenTime + plan.duration + time.Duration(load.Requests)*runningRequestDelay
	engine := t.service.Engine
	if excess := load.MemoryTokens + r.prompt.Tokens + r.prompt.MaxOutput - engine.MemoryTokens; excess > 0 && engine.MemoryTokens > 0 {
		delay += time.Duration(float64(memoryHoldTime) * float64(excess) / float64(engine.MemoryTokens))
	}
	if waiting := load.Requests + 1 - engine.Slots; waiting > 0 {
		delay += memoryHoldTime * time.Duration(waiting) / time.Duration(max(1, engine.Slots))
	}
	return delay + s.oldWeightsDelay(r, t)
}

// oldWeightsDelay returns the penalty for a target whose weights were replaced.
func (s *State) oldWeightsDelay(r *request, t *target) time.Duration {
	if s.sinceReplaced(t, r.prompt.Model) > oldWeightsGrace {
		return time.Duration(oldWeightsPenalty * float64(r.latencyGoal()))
	}
	return 0
}

// tokensToPrefill returns how many prompt tokens of r t can't import and must prefill.
func (s *State) tokensToPrefill(r *request, t *target) int {
	return r.prompt.Tokens - s.planImport(r, t).tokens
}

// ownPromptTime returns the part of the expected delay that is due to r itself.
func (s *State) ownPromptTime(r *request, t *target) time.Duration {
	if s.isPaced(t) {
		return s.learnedOwnTime(r, t)
	}
	if r.prompt == nil {
		return 0
	}
	plan := s.planImport(r, t)
	return firstTokenTime + plan.duration + time.Duration(r.prompt.Tokens-plan.tokens)*prefillTimePerToken
}

// importPlanKey identifies engines that share an import plan: same weights, same data centre.
type importPlanKey struct {
	version    int
	dataCentre string
}

// importPlan is the number of prompt tokens an engine can import, and the time that takes.
type importPlan struct {
	tokens   int
	duration time.Duration
}
