package reducer

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// execute carries out an effect that host emitted.
func (sim *simulation) execute(host identifier.Host, effect Effect) {
	switch e := effect.(type) {
	case Lookup:
		sim.lookUpBlocks(host, e)
	case Import:
		sim.importBlocks(host, e)
	case Export:
		sim.exportBlocks(host, e)
	case Claim:
		sim.resolveClaim(host, e)
	case ReleaseClaim:
		if c := sim.claims[sim.requests[e.Request].claim]; c != nil && c.request == e.Request && !c.answered && !sim.platformDown {
			c.released = true
		}
	case RecordAnswer:
		if c := sim.claims[sim.requests[e.Request].claim]; c != nil && !sim.platformDown {
			c.answered = true
		}
	case ShareLoad:
		for _, other := range sim.hosts {
			if other != host && sim.connected(sim.dataCentreOf(host), sim.dataCentreOf(other)) {
				sim.sendEvent(other, e.Load)
			}
		}
	case Start:
		sim.deliverStart(host, e)
	case RequestLink, AnswerLink, ReturnLink:
		sim.executeLink(host, effect)
	default:
		sim.executePermit(host, effect)
	}
}

// linkCall is a RequestLink that another daemon answers.
type linkCall struct {
	host       identifier.Host
	generation int
	request    RequestLink
}

func (sim *simulation) executeLink(host identifier.Host, effect Effect) {
	switch e := effect.(type) {
	case RequestLink:
		if !sim.connected(sim.dataCentreOf(host), sim.dataCentreOf(e.Coordinator)) || sim.oneIn(8, "link call fails") {
			sim.sendEvent(host, LinkAnswered{Request: e.Request, Store: e.Store, Export: e.Export, Failed: true})
			return
		}
		sim.linkCalls = append(sim.linkCalls, linkCall{host: host, generation: sim.processes[host].generation, request: e})
		sim.sendEvent(e.Coordinator, LinkRequested{Call: uint64(len(sim.linkCalls) - 1), Store: e.Store, Bytes: e.Bytes, Share: e.Share, Export: e.Export})
	case AnswerLink:
		call := sim.linkCalls[e.Call]
		sim.sendEventIf(sim.processes[call.host].generation == call.generation, call.host, LinkAnswered{
			Request: call.request.Request, Store: call.request.Store, Export: call.request.Export, Granted: e.Granted, Wait: e.Wait,
		})
	case ReturnLink:
		sim.sendEvent(e.Coordinator, LinkReturned{Store: e.Store, Bytes: e.Bytes, Share: e.Share})
	}
}

func (sim *simulation) executePermit(host identifier.Host, effect Effect) {
	switch e := effect.(type) {
	case RequestPermit:
		sim.requestPermit(host, e)
	case AnswerPermit:
		sim.answerPermit(e)
	case ReturnPermit:
		if sim.connected(sim.dataCentreOf(host), sim.dataCentreOf(e.Owner)) && !sim.oneIn(8, "return lost") {
			sim.handleEvent(e.Owner, PermitReturned{From: host, Target: e.Target, Request: e.Request, Number: e.Number})
		}
	}
}

// permitCall is a RequestPermit that another daemon answers.
type permitCall struct {
	host       identifier.Host
	generation int
	request    RequestPermit
	sentAt     time.Time
	done       bool
}

// requestPermit sends a permit call to the owner. If the call or its answer is lost, the
// caller returns the permit that it may have been granted.
func (sim *simulation) requestPermit(host identifier.Host, e RequestPermit) {
	sim.permitCalls = append(sim.permitCalls, permitCall{host: host, generation: sim.processes[host].generation, request: e, sentAt: sim.now})
	call := uint64(len(sim.permitCalls) - 1)
	failed := !sim.connected(sim.dataCentreOf(host), sim.dataCentreOf(e.Owner))
	if failed || sim.oneIn(6, "permit call times out") {
		sim.permitCalls[call].done = true
		sim.sendEvent(host, PermitAnswered{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, RetryAfter: permitRetryDelay, CalledAt: sim.now})
		sim.messages = append(sim.messages, message{host: host, effect: ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target}})
	}
	if !failed {
		sim.sendEvent(e.Owner, PermitRequested{Call: call, From: host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term})
	}
}

func (sim *simulation) answerPermit(e AnswerPermit) {
	call := &sim.permitCalls[e.Call]
	if call.done || sim.processes[call.host].generation != call.generation {
		return
	}
	call.done = true
	sim.sendEvent(call.host, PermitAnswered{
		Owner: call.request.Owner, Request: call.request.Request, Number: call.request.Number, Target: call.request.Target,
		Granted: e.Granted, RetryAfter: e.RetryAfter, Incarnation: e.Incarnation, CalledAt: call.sentAt,
		Warm: e.Warm, Age: e.Age,
	})
}

// resolveClaim decides a claim as the platform does. An unsettled claim may have been
// written; its daemon then releases it.
func (sim *simulation) resolveClaim(host identifier.Host, e Claim) {
	name := claimName(e.Team, e.IdempotencyKey)
	known := sim.claims[name]
	free := known == nil || known.released
	outcome := ClaimHeld
	switch {
	case sim.platformDown:
		outcome = ClaimUnsettled
	case free && sim.oneIn(8, "claim's answer lost"):
		sim.claims[name] = &claimModel{request: e.Request}
		outcome = ClaimUnsettled
		sim.messages = append(sim.messages, message{host: host, effect: ReleaseClaim{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey}})
	case free:
		sim.claims[name] = &claimModel{request: e.Request}
		outcome = ClaimWon
	case known.answered:
		outcome = ClaimAnswered
	}
	sim.sendEvent(host, ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
}

func claimName(team identifier.Team, key string) string { return string(team) + "/" + key }

// lookUpBlocks answers a Lookup with the leading blocks that a store holds, sometimes
// followed by unrelated ones.
func (sim *simulation) lookUpBlocks(host identifier.Host, e Lookup) {
	done := LookupDone{Request: e.Request, Store: e.Store}
	if sim.oneIn(6, "lookup") {
		done.Failed = true
		sim.sendEvent(host, done)
		return
	}
	for _, key := range e.Keys {
		if _, ok := sim.stores[e.Store][key]; !ok {
			break
		}
		done.Blocks = append(done.Blocks, StoredBlock{Key: key, Generation: 1})
	}
	if sim.oneIn(6, "foreign block") {
		for _, key := range slices.SortedFunc(maps.Keys(sim.stores[e.Store]), func(a, b identifier.BlockKey) int { return bytes.Compare(a[:], b[:]) }) {
			done.Blocks = append(done.Blocks, StoredBlock{Key: key, Generation: 1})
		}
	}
	sim.sendEvent(host, done)
}

// importBlocks copies blocks from a store to a target.
func (sim *simulation) importBlocks(host identifier.Host, e Import) {
	engine := sim.targets[e.Target]
	done := ImportDone{Request: e.Request, Target: e.Target, Store: e.Store, Probe: e.Probe}
	done.Failed = !engine.versions[e.Version] || !sim.connected(sim.dataCentreOf(host), sim.fleet.Targets[e.Target].DataCentre) || sim.oneIn(4, "import")
	if e.Probe {
		for done.Blocks < len(e.Blocks) && !done.Failed {
			if _, ok := engine.cache[e.Blocks[done.Blocks].Key]; !ok {
				break
			}
			done.Blocks++
		}
		sim.sendEvent(host, done)
		return
	}
	for _, block := range e.Blocks {
		if from, ok := sim.stores[e.Store][block.Key]; ok && !done.Failed {
			engine.cache[block.Key] = from
			done.Blocks++
			done.Bytes += sim.fleet.Models[e.Model].BlockBytes
		}
	}
	sim.sendEvent(host, done)
}

// exportBlocks copies blocks from a target to a store.
func (sim *simulation) exportBlocks(host identifier.Host, e Export) {
	for _, key := range e.Keys {
		if block, ok := sim.targets[e.Target].cache[key]; ok {
			sim.stores[e.Store][key] = block
		}
	}
	sim.sendEvent(host, ExportDone{Target: e.Target, Store: e.Store, Requested: len(e.Keys), Blocks: len(e.Keys)})
}

// deliverStart sends a request to its target, or fails the attempt as not run.
func (sim *simulation) deliverStart(host identifier.Host, e Start) {
	engine := sim.targets[e.Target]
	fail := AttemptFailed{Attempt: e.Attempt, ProvenNotRun: true, Reason: FailureUnreachable}
	switch {
	case !e.SendBy.IsZero() && !sim.now.Before(e.SendBy):
		fail.Reason = FailurePermissionExpired
	case !sim.now.Before(e.Deadline):
		fail.Reason = FailureDeadline
	case !sim.connected(sim.dataCentreOf(host), sim.fleet.Targets[e.Target].DataCentre):
	case e.Incarnation != engine.incarnation:
		fail.Reason = FailureWrongIncarnation
		sim.sendEvent(host, IncarnationObserved{Target: e.Target, Incarnation: engine.incarnation, Cold: engine.cold})
	case e.Version != "" && !engine.versions[e.Version]:
		fail.Reason = FailureVersion
	case !sim.oneIn(10, "dial"):
		sim.startRun(host, e, engine)
		return
	}
	sim.sendEvent(host, fail)
}

// startRun runs a request on a target, and checks the guarantees that concern runs.
func (sim *simulation) startRun(host identifier.Host, e Start, engine *engineModel) {
	engine.running[e.Attempt] = e.Deadline
	r := sim.requests[e.Attempt.Request]
	r.runs++
	r.lastSent = &e
	if r.notRun {
		sim.t.Fatalf("request %s ran after it was refused as not-run", e.Attempt.Request)
	}
	if r.claim != "" {
		sim.keyRuns[r.claim]++
		if sim.keyRuns[r.claim] > 1 {
			sim.t.Fatalf("idempotency key %s ran %d times", r.claim, sim.keyRuns[r.claim])
		}
	}
	if limit := sim.fleet.Targets[e.Target].ColdLimit; engine.cold && len(engine.running) > limit {
		sim.t.Fatalf("%s is cold and runs %d requests, its limit is %d", e.Target, len(engine.running), limit)
	}
	scope := blockModel{team: e.Team, version: e.Version}
	for _, key := range e.Keys {
		if block, ok := engine.cache[key]; ok && block != scope {
			sim.t.Fatalf("request %s of %v reads a block of %v", e.Attempt.Request, scope, block)
		}
		engine.cache[key] = scope
	}
	sim.sendEvent(host, runEnd{start: e, generation: sim.processes[host].generation})
}

// runEnd is an event of the simulation itself: a run ends or its connection is lost.
type runEnd struct {
	start      Start
	generation int
}

func (runEnd) isEvent() {}

func isRunEnd(ev Event) bool {
	_, ok := ev.(runEnd)
	return ok
}

// finishRun ends a run and notifies its daemon. If the connection is lost, the target
// continues until the deadline of the attempt.
func (sim *simulation) finishRun(host identifier.Host, end runEnd) {
	e := end.start
	engine := sim.targets[e.Target]
	_, running := engine.running[e.Attempt]
	same := running && engine.incarnation == e.Incarnation
	daemonRuns := sim.processes[host].generation == end.generation
	switch {
	case same && sim.oneIn(5, "connection lost"):
		reason := []FailureReason{FailureStalled, FailureBroken}[rapid.IntRange(0, 1).Draw(sim.t, "reason")]
		sim.sendEventIf(daemonRuns, host, AttemptFailed{Attempt: e.Attempt, Reason: reason, Delivered: rapid.IntRange(0, 2).Draw(sim.t, "delivered")})
	case !same:
		sim.sendEventIf(daemonRuns, host, AttemptFailed{Attempt: e.Attempt, Reason: FailureBroken, Incarnation: engine.incarnation})
	default:
		delete(engine.running, e.Attempt)
		sim.sendEventIf(daemonRuns, host, ResponseStarted{Attempt: e.Attempt, Incarnation: engine.incarnation})
		sim.sendEventIf(daemonRuns, host, AttemptDone{Attempt: e.Attempt, Incarnation: engine.incarnation, Tokens: 1})
	}
}

func (sim *simulation) sendEventIf(ok bool, host identifier.Host, ev Event) {
	if ok {
		sim.sendEvent(host, ev)
	}
}
