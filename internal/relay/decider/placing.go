package decider

import (
	"math/rand/v2"
	"time"
)

const (
	// readToken is the time to read one prompt token beside running requests: a
	// piece of 1,024 tokens takes 9.3 ms, the step of the others 6.1 ms and the
	// attention to what is before it about 3 ms, by the deployments' sheets.
	readToken = 18 * time.Microsecond
	// pieceTokens is how many prompt tokens an engine reads in one step.
	pieceTokens = 1024
	// firstStep is the time from a prompt's last piece to its first token.
	firstStep = 8 * time.Millisecond
	// holdTime is about how long a request occupies an engine's memory: the time
	// to read and answer a long prompt, by the deployments' sheets.
	holdTime = 500 * time.Millisecond
	// farCost is what a target of another data centre must be faster to be
	// chosen: the way there and back, and the price of the bytes.
	farCost = 3 * time.Millisecond
	// distantCost is what a target outside the neighbourhood must be faster to be
	// chosen: its load is known a second late.
	distantCost = 40 * time.Millisecond
	// runningCost is how much longer a step takes for each running request, over
	// the first ten steps of an answer.
	runningCost = 400 * time.Microsecond
	// defaultWork is the time of a plain answer before one was measured.
	defaultWork = 20 * time.Millisecond
	// oldWeightsFrom is when requests on older weights begin to lose credit, and
	// oldWeightsCost the part of the goal that this is worth.
	oldWeightsFrom = 1300 * time.Millisecond
	oldWeightsCost = 0.5
)

// place returns the target with the shortest expected time to the first part of
// an answer, and that time. It answers the load pattern in which some engines are
// full while others have room: the work on its way from all hosts counts.
func (s *State) place(r *request) (*target, time.Duration) {
	var best *target
	var least time.Duration
	plans := map[planKey]importPlan{}
	var far distantTargets
	for _, t := range s.byService[r.service] {
		if !s.usable(t, r) {
			continue
		}
		load := t.own
		load.add(t.others, 1)
		if s.distant[t.ID] {
			far.add(t, load, s.rng)
			continue
		}
		if cost := s.expected(r, t, load, plans); best == nil || cost < least {
			best, least = t, cost
		}
	}
	if t := far.pick; t != nil {
		if cost := s.expected(r, t, far.mean(), plans) + distantCost; best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best, least
}

// distantTargets are those outside the neighbourhood. Their loads are known too late
// to choose by: the one that looks free is what all other hosts choose too. One of
// them is drawn, and expected to have the mean load of all.
type distantTargets struct {
	n    int
	sum  work
	pick *target
}

func (d *distantTargets) add(t *target, load work, rng *rand.Rand) {
	d.n++
	d.sum.add(load, 1)
	if rng.IntN(d.n) == 0 {
		d.pick = t
	}
}

func (d *distantTargets) mean() work {
	return work{Requests: d.sum.Requests / d.n, Unread: d.sum.Unread / d.n, Memory: d.sum.Memory / d.n}
}

// expected is the time until r's answer begins at t with a load, with penalties for
// what is worse than time. It adds the import plan of t's like to plans.
func (s *State) expected(r *request, t *target, load work, plans map[planKey]importPlan) time.Duration {
	var cost time.Duration
	if t.service.Engine != nil && r.prompt != nil {
		at := planKey{t.Weights[r.prompt.Model], t.DataCentre}
		plan, ok := plans[at]
		if !ok {
			plan = s.importable(r, t)
			plans[at] = plan
		}
		cost = s.expectedPrompt(r, t, load, plan)
	} else {
		cost = s.expectedPlain(t, load)
	}
	if t.DataCentre != s.cfg.DataCentre {
		cost += farCost
	}
	return cost + time.Duration(t.failing*float64(r.goal()))
}

func (s *State) expectedPlain(t *target, load work) time.Duration {
	each := defaultWork
	if mean := s.workTime[t.Service]; mean > 0 {
		each = time.Duration(mean * float64(time.Second))
	}
	slots := max(1, t.Slots)
	busy := float64(load.Requests) / float64(slots)
	cost := time.Duration(busy * float64(runningCost))
	if waiting := load.Requests + 1 - slots; waiting > 0 {
		cost += each * time.Duration(waiting) / time.Duration(slots)
	}
	return cost
}

// expectedPrompt sums up the time to read what is before r and r itself, to
// import what stores hold, and to wait for memory and a slot.
func (s *State) expectedPrompt(r *request, t *target, load work, plan importPlan) time.Duration {
	cost := time.Duration(load.Unread+r.prompt.Tokens-plan.tokens) * readToken
	cost += firstStep + plan.time + time.Duration(load.Requests)*runningCost
	engine := t.service.Engine
	if over := load.Memory + r.prompt.Tokens + r.prompt.MaxOutput - engine.MemoryTokens; over > 0 && engine.MemoryTokens > 0 {
		cost += time.Duration(float64(holdTime) * float64(over) / float64(engine.MemoryTokens))
	}
	if waiting := load.Requests + 1 - engine.Slots; waiting > 0 {
		cost += holdTime * time.Duration(waiting) / time.Duration(max(1, engine.Slots))
	}
	if s.outdated(t, r.prompt.Model) && s.now.Sub(s.namedAt[r.prompt.Model]) > oldWeightsFrom {
		cost += time.Duration(oldWeightsCost * float64(r.goal()))
	}
	return cost
}

// unread is how many tokens of r's prompt t must read.
func (s *State) unread(r *request, t *target) int {
	return r.prompt.Tokens - s.importable(r, t).tokens
}

// ownTime is the part of the expected time that r itself takes.
func (s *State) ownTime(r *request, t *target) time.Duration {
	if r.prompt == nil {
		return 0
	}
	plan := s.importable(r, t)
	return firstStep + plan.time + time.Duration(r.prompt.Tokens-plan.tokens)*readToken
}

func (s *State) outdated(t *target, model string) bool { return t.Weights[model] < s.wanted[model] }

// planKey names the engines that can import the same in the same time.
type planKey struct {
	version    int
	dataCentre string
}

// importPlan is what an engine can import of a prompt.
type importPlan struct {
	tokens int
	time   time.Duration
}
