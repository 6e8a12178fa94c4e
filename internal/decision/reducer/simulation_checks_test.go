package reducer

import (
	"fmt"
	"slices"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// checkEffect checks an effect at the time when a State emits it.
func (sim *simulation) checkEffect(host identifier.Host, p *daemonProcess, effect Effect) {
	switch e := effect.(type) {
	case Refuse:
		sim.recordEnd(p, e.Request, false)
		sim.checkRefusal(e)
	case Finish:
		sim.recordEnd(p, e.Request, true)
		if sim.requests[e.Request].runs == 0 {
			sim.t.Fatalf("request %s finished without a run", e.Request)
		}
	case Replay:
		sim.recordEnd(p, e.Request, true)
		if sim.keyRuns[sim.requests[e.Request].claim] != 1 {
			sim.t.Fatalf("request %s is answered with a replay, but its key did not run once", e.Request)
		}
	case Start:
		sim.checkTargetAllowed(host, p, e.Target)
		sim.checkStart(p, e)
	case Import:
		sim.checkTargetAllowed(host, p, e.Target)
		sim.checkImport(e)
	case WantTargets:
		p.wantedTargets = e.Targets
		sim.releaseUnwanted(host, p)
	case Drained:
		sim.checkDrained(host, p)
	}
}

// checkQueues fails if a request is queued although a target could take it. Prompts
// may wait for a target whose own queue is long.
func (sim *simulation) checkQueues(host identifier.Host, s *State) {
	for service, q := range s.queues {
		targets := s.byService[service]
		if len(q.waiting) > dispatchDepth || slices.ContainsFunc(targets, func(t *target) bool { return s.queueWait(t) > maxTargetWait }) {
			continue
		}
		for _, r := range q.waiting {
			for _, t := range targets {
				if s.usable(t, r) {
					sim.t.Fatalf("%s: request %s waits while %s is free", host, r.id, t.name)
				}
			}
		}
	}
}

func (sim *simulation) checkRefusal(e Refuse) {
	r := sim.requests[e.Request]
	if e.Run == RunStateNotRun && r.runs > 0 {
		sim.t.Fatalf("request %s was refused as not-run after %d runs: %s", e.Request, r.runs, e.Message)
	}
	r.notRun = e.Run == RunStateNotRun
	r.refusal = e.Message
}

// checkTargetAllowed fails if a daemon sends new work to a target that is out or
// leaving according to the daemon's own configuration and membership.
func (sim *simulation) checkTargetAllowed(host identifier.Host, p *daemonProcess, name identifier.Target) {
	if p.outTargets[name] || p.leavingTargets[name] {
		sim.t.Fatalf("%s sends work to %s, which it knows to be out or leaving", host, name)
	}
}

// checkStart checks the retry budget, the team, and the scope of a prompt's blocks.
func (sim *simulation) checkStart(p *daemonProcess, e Start) {
	if e.Attempt.Number > 1 {
		p.retries++
		budget := maxRetryBudget + float64(p.admitted)*sim.fleet.Profiles["lunch"].RetryBudget
		if float64(p.retries) > budget {
			sim.t.Fatalf("%d retries after %d requests", p.retries, p.admitted)
		}
	}
	r := sim.requests[e.Attempt.Request]
	if r.team != e.Team {
		sim.t.Fatalf("request %s of team %s is sent as team %s", e.Attempt.Request, r.team, e.Team)
	}
	if e.Version == "" {
		return
	}
	sim.checkKeys(r, e.Version, e.Keys)
	if e.ResumeOffset > 0 && r.startedVersion != string(e.Version) {
		sim.t.Fatalf("request %s resumed with weight version %s after %s", e.Attempt.Request, e.Version, r.startedVersion)
	}
	r.startedVersion = string(e.Version)
}

// checkKeys fails if keys don't match the request's team, text and weight version, or if
// the version is older than the one configured when the request arrived.
func (sim *simulation) checkKeys(r *requestModel, version identifier.WeightVersion, keys []identifier.BlockKey) {
	var n int
	if _, err := fmt.Sscanf(string(version), "v%d", &n); err != nil || n < r.weightVersion {
		sim.t.Fatalf("a request that arrived with weight version v%d uses %s", r.weightVersion, version)
	}
	want := sim.keyer.Keys(hasher.Scope{Team: r.team, Model: "m", Version: version}, r.digests)
	if len(keys) > len(want) || !slices.Equal(keys, want[:len(keys)]) {
		sim.t.Fatalf("a request of team %s with weight version %s uses blocks of another scope", r.team, version)
	}
}

func (sim *simulation) checkImport(e Import) {
	var keys []identifier.BlockKey
	for _, block := range e.Blocks {
		keys = append(keys, block.Key)
	}
	sim.checkKeys(sim.requests[e.Request], e.Version, keys)
}

func (sim *simulation) checkDrained(host identifier.Host, p *daemonProcess) {
	if p.drained || !p.draining {
		sim.t.Fatalf("%s reports Drained twice or without a drain", host)
	}
	if len(p.open) > 0 {
		sim.t.Fatalf("%s reports Drained with %d open requests", host, len(p.open))
	}
	p.drained = true
	p.wantedTargets = nil
	sim.releaseUnwanted(host, p)
	p.exitAt = sim.now.Add(2 * simSendMargin)
}

func (sim *simulation) recordEnd(p *daemonProcess, id identifier.Request, answered bool) {
	r := sim.requests[id]
	r.ends++
	r.answered = answered
	if r.ends > 1 {
		sim.t.Fatalf("request %s ended %d times", id, r.ends)
	}
	delete(p.open, id)
}
