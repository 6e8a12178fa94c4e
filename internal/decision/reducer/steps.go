package reducer

import (
	"fmt"
	"time"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
)

// recordDecision records the chosen target, how r gets its cached blocks, and the
// reasons for the choice.
func (s *State) recordDecision(r *request, c choice) {
	step := RecordStep{Request: r.id, Step: StepDecided, Target: c.target.name, Decision: cacheDecision(c), Detail: "least loaded"}
	if r.prompt != nil {
		step.Detail = fmt.Sprintf("first token expected in %s; %d of %d blocks cached, %d stored; import %d blocks, compute %d tokens",
			c.plan.FirstToken.Round(time.Microsecond), c.cached, len(r.keys), len(r.stored), c.plan.ImportBlocks, c.plan.ComputedTokens)
	}
	if c.runnerUp != nil {
		step.Detail += fmt.Sprintf("; next best %s, costlier by %s", c.runnerUp.name, c.runnerUpMargin.Round(time.Microsecond))
	}
	if r.permitFrom != "" {
		step.Detail += fmt.Sprintf("; the target is cold, by leave of its owner %s", r.permitFrom)
	}
	s.emit(step)
}

func cacheDecision(c choice) Decision {
	switch {
	case c.plan.ImportBlocks == 0:
		return DecisionRecompute
	case c.plan.ComputedTokens <= hasher.BlockTokens:
		return DecisionImport
	default:
		return DecisionSplit
	}
}

// recordFollow records that r waits for leader, which computes the same prefix.
func (s *State) recordFollow(r, leader *request) {
	step := RecordStep{Request: r.id, Step: StepDecided, Decision: DecisionFollow, Detail: fmt.Sprintf("waits for request %s, which computes the same prefix", leader.id)}
	if leader.target != nil {
		step.Target = leader.target.name
	}
	s.emit(step)
}

// recordImport records the result of an import.
func (s *State) recordImport(ev ImportDone) {
	detail := fmt.Sprintf("%d blocks of store %s, %d bytes in %s", ev.Blocks, ev.Store, ev.Bytes, ev.Took.Round(time.Microsecond))
	if ev.Failed {
		detail = fmt.Sprintf("import from store %s failed after %s", ev.Store, ev.Took.Round(time.Microsecond))
	}
	s.recordStep(ev.Request, StepImported, ev.Target, detail)
}

// describeAttempt returns the Detail of the step that starts r's current attempt.
func (r *request) describeAttempt() string {
	if r.delivered > 0 {
		return fmt.Sprintf("attempt %d, resumed behind %d tokens", r.attemptNumber, r.delivered)
	}
	return fmt.Sprintf("attempt %d", r.attemptNumber)
}

// describeProgress returns how far r got, for the Detail of a retry after a failed
// attempt.
func (r *request) describeProgress(ev AttemptFailed) string {
	if ev.ProvenNotRun {
		return "it did not run"
	}
	return fmt.Sprintf("the caller has %d tokens", r.delivered)
}
