package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
	"cardamomscale.example/cardamomscale/internal/decision/scorer"
)

// routing holds the targets and chooses among them.
type routing struct {
	targets   map[identifier.Target]*target
	byService map[identifier.Service][]*target
	// turn counts the choices of the round-robin policy.
	turn int
}

func newRouting() routing {
	return routing{
		targets:   map[identifier.Target]*target{},
		byService: map[identifier.Service][]*target{},
	}
}

// choice is a target for a request and how to use it.
type choice struct {
	target *target
	plan   scorer.Plan
	// cached is the number of leading blocks that the target is believed to hold.
	cached int
	// score is the expected cost; lower is better.
	score time.Duration
	// second is the next best target, if there was one, and behind is by how much
	// its score is higher.
	second *target
	behind time.Duration
}

// place moves a queued request on: to its target, to its claim, or behind
// another request that computes the same prefix. It returns false when no target
// has room.
func (s *State) place(r *request) bool {
	if !r.repeatable && !r.claimed {
		if !s.placeable(r) {
			return false
		}
		s.startClaim(r)
		return true
	}
	if s.follow(r) {
		return true
	}
	c, ok := s.choose(r)
	if !ok {
		return s.askForPermit(r)
	}
	if s.now.Add(c.plan.FirstToken).After(r.deadline) {
		s.refuse(r, RefusalDeadline, "no target is expected to give the first token before the deadline", s.retryAfter(r.service))
		return true
	}
	s.noteDecision(r, c)
	s.reserve(r, c)
	if c.plan.ImportBlocks > 0 {
		s.startImport(r)
		return true
	}
	s.start(r)
	return true
}

// reserve takes a place on the chosen target.
func (s *State) reserve(r *request, c choice) {
	r.target = c.target
	r.incarnation = c.target.incarnation
	r.computing = c.plan.ComputedTokens
	r.expected = s.now.Add(c.plan.FirstToken)
	c.target.inflight++
	c.target.pendingTokens += r.computing
	s.boundColdUse(r)
}

// release gives back r's place on its target.
func (s *State) release(r *request) {
	if r.target == nil {
		return
	}
	r.target.inflight--
	s.prefilled(r)
	s.returnPermit(r)
	r.target = nil
}

// prefilled takes r's tokens off those that wait for prefill.
func (s *State) prefilled(r *request) {
	r.target.pendingTokens -= r.computing
	r.computing = 0
}

// placeable reports whether some target could take r now, or after its owner's leave.
func (s *State) placeable(r *request) bool {
	if _, ok := s.choose(r); ok {
		return true
	}
	return s.askable(r) != nil
}

// choose returns the best target with room for r under its profile's policy.
func (s *State) choose(r *request) (choice, bool) {
	candidates := s.byService[r.service]
	switch r.profile.Policy {
	case specifier.PolicyRoundRobin:
		return s.chooseInTurn(r, candidates)
	case specifier.PolicyLeastLoaded:
		return s.chooseLeastLoaded(r, candidates)
	case specifier.PolicyAffinity:
		return s.chooseByAffinity(r, candidates)
	default:
		if r.call != nil {
			return s.chooseLeastLoaded(r, candidates)
		}
		return s.chooseByFirstToken(r, candidates)
	}
}

// usable reports whether t can take r now.
func (s *State) usable(t *target, r *request) bool {
	if t.incarnation == 0 || !s.takesWork(t) || t.open(s.now) || r.tried[t.name] {
		return false
	}
	if r.prompt != nil && t.inflight > 0 && s.now.Before(t.pausedUntil) {
		return false
	}
	if t.lacks(r, s.now) || !t.local && !r.profile.SpillOver {
		return false
	}
	return s.hasRoom(t)
}

func (s *State) chooseInTurn(r *request, candidates []*target) (choice, bool) {
	for range candidates {
		s.turn++
		t := candidates[s.turn%len(candidates)]
		if s.usable(t, r) {
			return choice{target: t, plan: s.plainPlan(r, t)}, true
		}
	}
	return choice{}, false
}

func (s *State) chooseLeastLoaded(r *request, candidates []*target) (choice, bool) {
	var best *target
	bestLoad := 0.0
	for _, t := range candidates {
		if !s.usable(t, r) {
			continue
		}
		load := float64(t.load()) / float64(max(1, s.limit(t)))
		if !t.local {
			load += remoteLoadPenalty
		}
		if best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	if best == nil {
		return choice{}, false
	}
	return choice{target: best, plan: s.plainPlan(r, best)}, true
}

// remoteLoadPenalty is the share of load that a target of another data centre
// counts as more loaded.
const remoteLoadPenalty = 0.25

// chooseByAffinity takes the first target with room in the rendezvous order of
// the prompt's first block.
func (s *State) chooseByAffinity(r *request, candidates []*target) (choice, bool) {
	if len(r.keys) == 0 {
		return s.chooseLeastLoaded(r, candidates)
	}
	best := firstOf(r, candidates, s.usable)
	if best == nil {
		return choice{}, false
	}
	return choice{target: best, plan: s.plainPlan(r, best)}, true
}

// firstOf returns the first accepted target in the rendezvous order of r's first
// block, or nil.
func firstOf(r *request, candidates []*target, accept func(*target, *request) bool) *target {
	key := placer.KeyOfBytes(r.keys[0][:])
	var best *target
	var bestWeight uint64
	for _, t := range candidates {
		if !accept(t, r) {
			continue
		}
		if w := placer.Weight(key, t.hash); best == nil || w > bestWeight {
			best, bestWeight = t, w
		}
	}
	return best
}

// plainPlan computes the whole prompt on t.
func (s *State) plainPlan(r *request, t *target) scorer.Plan {
	if r.prompt == nil {
		return scorer.Plan{}
	}
	return scorer.Best(scorer.Prompt{Tokens: r.prompt.Tokens, BlockTokens: hasher.BlockTokens}, s.scored(t, 0), scorer.Link{})
}

// chooseByFirstToken takes the target with the shortest expected time to the
// first token. The prefix's home is the same for all daemons; unless another
// target is known to hold more of the prompt, the home is expected to hold a
// part of it, so that prompts with one prefix meet on one target.
func (s *State) chooseByFirstToken(r *request, candidates []*target) (choice, bool) {
	s.countCached(r)
	home := s.homeOf(r, candidates)
	link := s.linkFor(r)
	prompt := scorer.Prompt{Tokens: r.prompt.Tokens, BlockTokens: hasher.BlockTokens, StoredBlocks: len(r.stored), ComputeWeight: s.computeWeight(r)}
	var best choice
	for _, t := range candidates {
		if !s.usable(t, r) {
			continue
		}
		cached := s.cachedOn(t)
		plan := scorer.Best(prompt, s.scored(t, cached), link)
		score := plan.Score
		if t == home {
			score -= s.homeAdvantage(r, t, cached)
		}
		best.offer(choice{target: t, plan: plan, cached: cached, score: score})
	}
	if best.target == nil || !s.mayQueue(best.target) {
		return choice{}, false
	}
	r.believed = s.cachedOn(best.target)
	r.believedSince = best.target.cachedSince
	r.guessed = best.target == home && r.believed == 0 && len(r.stored) > 0
	return best, true
}

// offer takes other in place of c if its score is lower, and keeps the next best.
func (c *choice) offer(other choice) {
	switch {
	case c.target == nil:
		*c = other
	case other.score < c.score:
		other.second, other.behind = c.target, c.score-other.score
		*c = other
	case c.second == nil || other.score-c.score < c.behind:
		c.second, c.behind = other.target, other.score-c.score
	}
}

// maxTargetWait is the longest queue of prompts that is built up at a target.
// Beyond it a request waits in the daemon, where it can still go elsewhere, and
// where its place depends on its team and class.
const maxTargetWait = 400 * time.Millisecond

// newPrefixAdvantage is the share of a prompt's blocks that its home target is
// expected to save later prompts, when nothing of it was stored yet.
const newPrefixAdvantage = 0.6

// homeAdvantage is what the home target is expected to save by blocks that this
// daemon does not know it to hold, because other daemons sent them, or that later
// prompts will find there.
func (s *State) homeAdvantage(r *request, t *target, cached int) time.Duration {
	share := newPrefixAdvantage
	if len(r.stored) > 0 {
		share = max(share, s.homeHits)
	}
	unknown := max(0, len(r.keys)-cached)
	tokens := share * float64(unknown*hasher.BlockTokens)
	return time.Duration((1 + s.computeWeight(r)) * tokens / t.rate() * float64(time.Second))
}

// Weights of computed work against the time to the first token. Work that is
// computed again delays other prompts too.
const (
	computeWeightFirstToken = 1.5
	computeWeightService    = 3
)

func (s *State) computeWeight(r *request) float64 {
	if r.profile.Weighs == specifier.WeighsService {
		return computeWeightService
	}
	return computeWeightFirstToken
}

// homeOf returns the rendezvous choice for r's first block, whether it has room
// or not. All daemons of a region choose the same one, if work may go to other
// data centres.
func (s *State) homeOf(r *request, candidates []*target) *target {
	if len(r.keys) == 0 {
		return nil
	}
	return firstOf(r, candidates, s.mayBeHome)
}

// mayBeHome reports whether t may be the home of r's prefix.
func (s *State) mayBeHome(t *target, r *request) bool {
	return s.takesWork(t) && (t.local || r.profile.SpillOver)
}

// mayQueue reports whether one more prompt may wait at t. Between two reports the
// daemons don't see each other's prompts, so that each may have a second one
// waiting only if a second one of all daemons would fit.
func (s *State) mayQueue(t *target) bool {
	if s.queueWait(t) > maxTargetWait {
		return false
	}
	own := time.Duration(float64(t.pendingTokens) / t.rate() * float64(time.Second))
	return own*time.Duration(len(s.live)) <= maxTargetWait
}

// queueWait estimates how long a prompt waits at t before its prefill starts.
func (s *State) queueWait(t *target) time.Duration {
	waiting := t.pendingTokens + max(0, t.reportedQueue-t.pendingThen)
	return time.Duration(float64(waiting) / t.rate() * float64(time.Second))
}

// runningCost is what each request that runs on a target adds to its score, since
// it slows down the others' tokens.
const runningCost = time.Millisecond

// scored describes t to the scorer.
func (s *State) scored(t *target, cachedBlocks int) scorer.Target {
	st := scorer.Target{QueueWait: s.queueWait(t), PrefillTokensPerSecond: t.rate(), CachedBlocks: cachedBlocks}
	st.Penalty = time.Duration(t.load()) * runningCost
	if !t.local {
		st.Penalty += t.profile.SpillOverPenalty.Duration
	}
	return st
}
