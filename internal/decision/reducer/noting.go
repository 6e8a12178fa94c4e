package reducer

import (
	"fmt"
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
)

// noteDecision notes where r goes, how it gets its cache, and what spoke for it.
func (s *State) noteDecision(r *request, c choice) {
	n := Note{Request: r.id, Step: StepDecided, Target: c.target.name, Decision: decisionOf(c), Detail: "least loaded"}
	if r.prompt != nil {
		n.Detail = fmt.Sprintf("first token expected in %s; %d of %d blocks cached, %d stored; import %d blocks, compute %d tokens",
			c.plan.FirstToken.Round(time.Microsecond), c.cached, len(r.keys), len(r.stored), c.plan.ImportBlocks, c.plan.ComputedTokens)
	}
	if c.second != nil {
		n.Detail += fmt.Sprintf("; next best %s, costlier by %s", c.second.name, c.behind.Round(time.Microsecond))
	}
	if r.permitFrom != "" {
		n.Detail += fmt.Sprintf("; the target is cold, by leave of its owner %s", r.permitFrom)
	}
	s.emit(n)
}

func decisionOf(c choice) Decision {
	switch {
	case c.plan.ImportBlocks == 0:
		return DecisionRecompute
	case c.plan.ComputedTokens <= hasher.BlockTokens:
		return DecisionImport
	default:
		return DecisionSplit
	}
}

// noteFollow notes that r waits for another request's prefix.
func (s *State) noteFollow(r, leader *request) {
	n := Note{Request: r.id, Step: StepDecided, Decision: DecisionFollow, Detail: fmt.Sprintf("waits for request %s, which computes the same prefix", leader.id)}
	if leader.target != nil {
		n.Target = leader.target.name
	}
	s.emit(n)
}

// noteImport notes what an import brought.
func (s *State) noteImport(ev ImportDone) {
	detail := fmt.Sprintf("%d blocks of store %s, %d bytes in %s", ev.Blocks, ev.Store, ev.Bytes, ev.Took.Round(time.Microsecond))
	if ev.Failed {
		detail = fmt.Sprintf("import from store %s failed after %s", ev.Store, ev.Took.Round(time.Microsecond))
	}
	s.note(ev.Request, StepImported, ev.Target, detail)
}

// describeAttempt describes r's next attempt.
func (r *request) describeAttempt() string {
	if r.delivered > 0 {
		return fmt.Sprintf("attempt %d, resumed behind %d tokens", r.number, r.delivered)
	}
	return fmt.Sprintf("attempt %d", r.number)
}

// describeProgress describes what a failed attempt left behind.
func (r *request) describeProgress(ev AttemptFailed) string {
	if ev.Proven {
		return "it did not run"
	}
	return fmt.Sprintf("the caller has %d tokens", r.delivered)
}
