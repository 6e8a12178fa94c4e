package reducer

import (
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
	"cardamomscale.example/cardamomscale/internal/decision/scorer"
)

// routing holds the known targets.
type routing struct {
	targets   map[identifier.Target]*target
	byService map[identifier.Service][]*target
	// roundRobinCount counts the choices of the round-robin policy.
	roundRobinCount int
}

func newRouting() routing {
	return routing{
		targets:   map[identifier.Target]*target{},
		byService: map[identifier.Service][]*target{},
	}
}

// choice is a target for a request with the plan to serve it there.
type choice struct {
	target *target
	plan   scorer.Plan
	// cached is the number of leading blocks that the target is assumed to hold.
	cached int
	// score is the expected cost; lower is better.
	score time.Duration
	// runnerUp is the next best target, if any.
	runnerUp *target
	// runnerUpMargin is by how much the next best target's score is higher.
	runnerUpMargin time.Duration
}

// tryDispatch starts r's claim, import or attempt, requests a permit, lets r wait
// for another request that computes the same prefix, or refuses r. It returns false
// if r has to stay queued.
func (s *State) tryDispatch(r *request) bool {
	if !r.repeatable && !r.claimed {
		if !s.hasCandidate(r) {
			return false
		}
		s.startClaim(r)
		return true
	}
	if s.followLeader(r) {
		return true
	}
	c, ok := s.choose(r)
	if !ok {
		return s.requestPermit(r)
	}
	if s.now.Add(c.plan.FirstToken).After(r.deadline) {
		s.refuse(r, RefusalDeadline, "no target is expected to give the first token before the deadline", s.retryAfter(r.service))
		return true
	}
	s.recordDecision(r, c)
	s.reserve(r, c)
	if c.plan.ImportBlocks > 0 {
		s.startImport(r)
		return true
	}
	s.startAttempt(r)
	return true
}

// reserve assigns r to the chosen target and counts it there.
func (s *State) reserve(r *request, c choice) {
	r.target = c.target
	r.incarnation = c.target.incarnation
	r.prefillTokens = c.plan.ComputedTokens
	r.expectedFirstToken = s.now.Add(c.plan.FirstToken)
	c.target.inflight++
	c.target.pendingTokens += r.prefillTokens
	s.limitColdUse(r)
}

// release undoes reserve and returns r's permit.
func (s *State) release(r *request) {
	if r.target == nil {
		return
	}
	r.target.inflight--
	s.clearPendingTokens(r)
	s.returnPermit(r)
	r.target = nil
}

// clearPendingTokens subtracts r's tokens from those pending at its target.
func (s *State) clearPendingTokens(r *request) {
	r.target.pendingTokens -= r.prefillTokens
	r.prefillTokens = 0
}

// hasCandidate reports whether some target can take r now, or once its owner has
// granted a permit.
func (s *State) hasCandidate(r *request) bool {
	if _, ok := s.choose(r); ok {
		return true
	}
	return s.permitTarget(r) != nil
}

// choose returns the best target with room for r under its profile's policy.
func (s *State) choose(r *request) (choice, bool) {
	candidates := s.byService[r.service]
	switch r.profile.Policy {
	case specifier.PolicyRoundRobin:
		return s.chooseRoundRobin(r, candidates)
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

// usable reports whether this daemon may send r to t now.
func (s *State) usable(t *target, r *request) bool {
	if t.incarnation == 0 || !s.acceptsWork(t) || t.open(s.now) || r.tried[t.name] {
		return false
	}
	if r.prompt != nil && t.inflight > 0 && s.now.Before(t.pausedUntil) {
		return false
	}
	if t.lacksVersion(r, s.now) || !t.local && !r.profile.SpillOver {
		return false
	}
	return s.hasCapacity(t)
}

func (s *State) chooseRoundRobin(r *request, candidates []*target) (choice, bool) {
	for range candidates {
		s.roundRobinCount++
		t := candidates[s.roundRobinCount%len(candidates)]
		if s.usable(t, r) {
			return choice{target: t, plan: s.fullPrefillPlan(r, t)}, true
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
	return choice{target: best, plan: s.fullPrefillPlan(r, best)}, true
}

// remoteLoadPenalty is added to the relative load of targets in other data centres.
const remoteLoadPenalty = 0.25

// chooseByAffinity returns the first usable target in the rendezvous order of the
// prompt's first block.
func (s *State) chooseByAffinity(r *request, candidates []*target) (choice, bool) {
	if len(r.keys) == 0 {
		return s.chooseLeastLoaded(r, candidates)
	}
	best := firstByRendezvous(r, candidates, s.usable)
	if best == nil {
		return choice{}, false
	}
	return choice{target: best, plan: s.fullPrefillPlan(r, best)}, true
}

// firstByRendezvous returns the accepted target with the highest rendezvous weight
// for r's first block, or nil.
func firstByRendezvous(r *request, candidates []*target, accept func(*target, *request) bool) *target {
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

// fullPrefillPlan returns the plan to prefill the whole prompt on t without an import.
func (s *State) fullPrefillPlan(r *request, t *target) scorer.Plan {
	if r.prompt == nil {
		return scorer.Plan{}
	}
	return scorer.Best(scorer.Prompt{Tokens: r.prompt.Tokens, BlockTokens: hasher.BlockTokens}, s.scorerTarget(t, 0), scorer.Link{})
}

// chooseByFirstToken returns the target with the lowest score, which is the expected
// time to the first token plus the weighted prefill time. The score of the prefix's
// home target, the same for all daemons, is lowered for the blocks that it may hold
// without this daemon's knowledge, so that prompts with one prefix go to one target
// unless another holds more.
func (s *State) chooseByFirstToken(r *request, candidates []*target) (choice, bool) {
	s.countCachedBlocks(r)
	home := s.homeOf(r, candidates)
	link := s.scorerLink(r)
	prompt := scorer.Prompt{Tokens: r.prompt.Tokens, BlockTokens: hasher.BlockTokens, StoredBlocks: len(r.stored), ComputeWeight: s.computeWeight(r)}
	var best choice
	for _, t := range candidates {
		if !s.usable(t, r) {
			continue
		}
		cached := s.cachedBlocksOn(t)
		plan := scorer.Best(prompt, s.scorerTarget(t, cached), link)
		score := plan.Score
		if t == home {
			score -= s.homeSavings(r, t, cached)
		}
		best.consider(choice{target: t, plan: plan, cached: cached, score: score})
	}
	if best.target == nil || !s.mayQueue(best.target) {
		return choice{}, false
	}
	r.expectedCached = s.cachedBlocksOn(best.target)
	r.expectedLastUsed = best.target.cachedSince
	r.homeGuessed = best.target == home && r.expectedCached == 0 && len(r.stored) > 0
	return best, true
}

// consider replaces c by other if its score is lower, and keeps the next best one.
func (c *choice) consider(other choice) {
	switch {
	case c.target == nil:
		*c = other
	case other.score < c.score:
		other.runnerUp, other.runnerUpMargin = c.target, c.score-other.score
		*c = other
	case c.runnerUp == nil || other.score-c.score < c.runnerUpMargin:
		c.runnerUp, c.runnerUpMargin = other.target, other.score-c.score
	}
}

// maxTargetWait bounds the time that prompts wait for prefill at a target. Further
// requests wait in the daemon, where they can still go to another target and are
// ordered by team and class.
const maxTargetWait = 400 * time.Millisecond

// newPrefixHomeShare is the share of a new prefix's blocks that later prompts are
// expected to find at the home target. It is also the minimum for stored prefixes.
const newPrefixHomeShare = 0.6

// homeSavings returns the cost that the home target t is expected to save by blocks
// beyond the cached ones that this daemon knows of: blocks of prompts that other
// daemons sent there, and those that later prompts will find there.
func (s *State) homeSavings(r *request, t *target, cached int) time.Duration {
	share := newPrefixHomeShare
	if len(r.stored) > 0 {
		share = max(share, s.homeHitRate)
	}
	unknown := max(0, len(r.keys)-cached)
	tokens := share * float64(unknown*hasher.BlockTokens)
	return time.Duration((1 + s.computeWeight(r)) * tokens / t.rate() * float64(time.Second))
}

// Weights of the prefill time against the time to the first token. Prefill that a
// cache hit would have saved delays other prompts too.
const (
	computeWeightFirstToken = 1.5
	computeWeightService    = 3
)

func (s *State) computeWeight(r *request) float64 {
	if r.profile.Objective == specifier.ObjectiveService {
		return computeWeightService
	}
	return computeWeightFirstToken
}

// homeOf returns the home target of r's prefix: the rendezvous choice for its first
// block, whether it has room or not. All daemons of a region choose the same one if
// requests may go to other data centres.
func (s *State) homeOf(r *request, candidates []*target) *target {
	if len(r.keys) == 0 {
		return nil
	}
	return firstByRendezvous(r, candidates, s.canBeHome)
}

// canBeHome reports whether t may be the home target of r's prefix.
func (s *State) canBeHome(t *target, r *request) bool {
	return s.acceptsWork(t) && (t.local || r.profile.SpillOver)
}

// mayQueue reports whether one more prompt may wait at t. Daemons don't see each
// other's prompts between two load reports, so this daemon assumes that every live
// daemon has as many tokens pending there as itself.
func (s *State) mayQueue(t *target) bool {
	if s.queueWait(t) > maxTargetWait {
		return false
	}
	own := time.Duration(float64(t.pendingTokens) / t.rate() * float64(time.Second))
	return own*time.Duration(len(s.liveHosts)) <= maxTargetWait
}

// queueWait estimates how long a prompt waits at t before its prefill starts.
func (s *State) queueWait(t *target) time.Duration {
	waiting := t.pendingTokens + max(0, t.reportedQueueTokens-t.pendingAtReport)
	return time.Duration(float64(waiting) / t.rate() * float64(time.Second))
}

// runningRequestPenalty is added to a target's score for each of its requests, since
// each slows down the token generation of the others.
const runningRequestPenalty = time.Millisecond

// scorerTarget returns the scorer's description of t.
func (s *State) scorerTarget(t *target, cachedBlocks int) scorer.Target {
	st := scorer.Target{QueueWait: s.queueWait(t), PrefillTokensPerSecond: t.rate(), CachedBlocks: cachedBlocks}
	st.Penalty = time.Duration(t.load()) * runningRequestPenalty
	if !t.local {
		st.Penalty += t.profile.SpillOverPenalty.Duration
	}
	return st
}
