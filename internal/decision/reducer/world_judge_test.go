package reducer

import (
	"fmt"
	"slices"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// judge checks an effect at the moment when a State decides it.
func (w *world) judge(host identifier.Host, p *process, effect Effect) {
	switch e := effect.(type) {
	case Refuse:
		w.end(p, e.Request, false)
		w.judgeRefusal(e)
	case Finish:
		w.end(p, e.Request, true)
		if w.requests[e.Request].runs == 0 {
			w.t.Fatalf("request %s finished without a run", e.Request)
		}
	case Replay:
		w.end(p, e.Request, true)
		if w.keyRuns[w.requests[e.Request].claim] != 1 {
			w.t.Fatalf("request %s got the answer of a run that never was", e.Request)
		}
	case Start:
		w.judgeUse(host, p, e.Target)
		w.judgeStart(p, e)
	case Import:
		w.judgeUse(host, p, e.Target)
		w.judgeImport(e)
	case WantTargets:
		p.wants = e.Targets
		w.giveUp(host, p)
	case Drained:
		w.judgeDrained(host, p)
	}
}

// judgeQueues fails when a request waits although a target could take it. Prompts
// may wait for a target whose own queue is long.
func (w *world) judgeQueues(host identifier.Host, s *State) {
	for service, q := range s.queues {
		targets := s.byService[service]
		if len(q.waiting) > dispatchDepth || slices.ContainsFunc(targets, func(t *target) bool { return s.queueWait(t) > maxTargetWait }) {
			continue
		}
		for _, r := range q.waiting {
			for _, t := range targets {
				if s.usable(t, r) {
					w.t.Fatalf("%s: request %s waits while %s is free", host, r.id, t.name)
				}
			}
		}
	}
}

func (w *world) judgeRefusal(e Refuse) {
	r := w.requests[e.Request]
	if e.Run == RunNot && r.runs > 0 {
		w.t.Fatalf("request %s was refused as not-run after %d runs: %s", e.Request, r.runs, e.Message)
	}
	r.notRun = e.Run == RunNot
	r.refusal = e.Message
}

// judgeUse fails when a daemon gives new work to a target that it was told to leave alone.
func (w *world) judgeUse(host identifier.Host, p *process, name identifier.Target) {
	if p.knowsOut[name] || p.knowsLeaving[name] {
		w.t.Fatalf("%s gives work to %s, which it knows to be out or leaving", host, name)
	}
}

// judgeStart checks the scope of a prompt's blocks and the retry budget.
func (w *world) judgeStart(p *process, e Start) {
	if e.Attempt.Number > 1 {
		p.retries++
		budget := maxRetrySavings + float64(p.admitted)*w.fleet.Profiles["lunch"].RetryBudget
		if float64(p.retries) > budget {
			w.t.Fatalf("%d retries after %d requests", p.retries, p.admitted)
		}
	}
	r := w.requests[e.Attempt.Request]
	if r.team != e.Team {
		w.t.Fatalf("request %s of team %s is sent for team %s", e.Attempt.Request, r.team, e.Team)
	}
	if e.Version == "" {
		return
	}
	w.judgeKeys(r, e.Version, e.Keys)
	if e.ResumeOffset > 0 && r.started != string(e.Version) {
		w.t.Fatalf("request %s went on with version %s after %s", e.Attempt.Request, e.Version, r.started)
	}
	r.started = string(e.Version)
}

// judgeKeys fails when keys are not those of the request's own team, text and version.
func (w *world) judgeKeys(r *requestModel, version identifier.WeightVersion, keys []identifier.BlockKey) {
	var n int
	if _, err := fmt.Sscanf(string(version), "v%d", &n); err != nil || n < r.weights {
		w.t.Fatalf("a request that arrived under weights v%d uses %s", r.weights, version)
	}
	own := w.keyer.Keys(hasher.Scope{Team: r.team, Model: "m", Version: version}, r.digests)
	if len(keys) > len(own) || !slices.Equal(keys, own[:len(keys)]) {
		w.t.Fatalf("a request of team %s under %s names blocks of another scope", r.team, version)
	}
}

func (w *world) judgeImport(e Import) {
	var keys []identifier.BlockKey
	for _, block := range e.Blocks {
		keys = append(keys, block.Key)
	}
	w.judgeKeys(w.requests[e.Request], e.Version, keys)
}

func (w *world) judgeDrained(host identifier.Host, p *process) {
	if p.drained || !p.draining {
		w.t.Fatalf("%s says more than once that it is drained, or unasked", host)
	}
	if len(p.open) > 0 {
		w.t.Fatalf("%s says that it is drained with %d requests open", host, len(p.open))
	}
	p.drained = true
	p.wants = nil
	w.giveUp(host, p)
	p.endsAt = w.now.Add(2 * worldMargin)
}

func (w *world) end(p *process, id identifier.Request, answered bool) {
	r := w.requests[id]
	r.ends++
	r.answered = answered
	if r.ends > 1 {
		w.t.Fatalf("request %s ended %d times", id, r.ends)
	}
	delete(p.open, id)
}
