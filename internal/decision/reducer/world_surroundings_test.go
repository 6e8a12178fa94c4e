package reducer

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// carryOut performs an effect of host.
func (w *world) carryOut(host identifier.Host, effect Effect) {
	switch e := effect.(type) {
	case Lookup:
		w.lookup(host, e)
	case Import:
		w.importBlocks(host, e)
	case Export:
		w.export(host, e)
	case Claim:
		w.settleClaim(host, e)
	case ReleaseClaim:
		if c := w.claims[w.requests[e.Request].claim]; c != nil && c.request == e.Request && !c.answered && !w.platformDown {
			c.released = true
		}
	case RecordAnswer:
		if c := w.claims[w.requests[e.Request].claim]; c != nil && !w.platformDown {
			c.answered = true
		}
	case ShareLoad:
		for _, other := range w.hosts {
			if other != host && w.reach(w.centre(host), w.centre(other)) {
				w.later(other, e.Load)
			}
		}
	case Start:
		w.deliverStart(host, e)
	case AskLink, AnswerLink, ReturnLink:
		w.carryOutLink(host, effect)
	default:
		w.carryOutPermit(host, effect)
	}
}

// linkCall remembers who asked for a time on a link.
type linkCall struct {
	host identifier.Host
	life int
	ask  AskLink
}

func (w *world) carryOutLink(host identifier.Host, effect Effect) {
	switch e := effect.(type) {
	case AskLink:
		if !w.reach(w.centre(host), w.centre(e.Owner)) || w.oneIn(8, "link ask") {
			w.later(host, LinkSettled{Request: e.Request, Store: e.Store, Export: e.Export, Failed: true})
			return
		}
		w.linkCalls = append(w.linkCalls, linkCall{host: host, life: w.processes[host].life, ask: e})
		w.later(e.Owner, LinkAsked{Call: uint64(len(w.linkCalls) - 1), Store: e.Store, Bytes: e.Bytes, Share: e.Share, Export: e.Export})
	case AnswerLink:
		call := w.linkCalls[e.Call]
		w.laterIf(w.processes[call.host].life == call.life, call.host, LinkSettled{
			Request: call.ask.Request, Store: call.ask.Store, Export: call.ask.Export, Granted: e.Granted, Wait: e.Wait,
		})
	case ReturnLink:
		w.later(e.Owner, LinkReturned{Store: e.Store, Bytes: e.Bytes, Share: e.Share})
	}
}

func (w *world) carryOutPermit(host identifier.Host, effect Effect) {
	switch e := effect.(type) {
	case AskPermit:
		w.askPermit(host, e)
	case AnswerPermit:
		w.answerPermit(e)
	case ReturnPermit:
		if w.reach(w.centre(host), w.centre(e.Owner)) && !w.oneIn(8, "return lost") {
			w.feed(e.Owner, PermitReturned{From: host, Target: e.Target, Request: e.Request, Number: e.Number})
		}
	}
}

// permitCall remembers who asked.
type permitCall struct {
	host  identifier.Host
	life  int
	ask   AskPermit
	asked time.Time
	done  bool
}

// askPermit brings a question to its owner. The question or its answer may be
// lost; the asker then returns what it may have got.
func (w *world) askPermit(host identifier.Host, e AskPermit) {
	w.permitCalls = append(w.permitCalls, permitCall{host: host, life: w.processes[host].life, ask: e, asked: w.now})
	call := uint64(len(w.permitCalls) - 1)
	failed := !w.reach(w.centre(host), w.centre(e.Owner))
	if failed || w.oneIn(6, "ask times out") {
		w.permitCalls[call].done = true
		w.later(host, PermitSettled{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, RetryAfter: permitRetry, Asked: w.now})
		w.pending = append(w.pending, parcel{host: host, effect: ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target}})
	}
	if !failed {
		w.later(e.Owner, PermitAsked{Call: call, From: host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term})
	}
}

func (w *world) answerPermit(e AnswerPermit) {
	call := &w.permitCalls[e.Call]
	if call.done || w.processes[call.host].life != call.life {
		return
	}
	call.done = true
	w.later(call.host, PermitSettled{
		Owner: call.ask.Owner, Request: call.ask.Request, Number: call.ask.Number, Target: call.ask.Target,
		Granted: e.Granted, RetryAfter: e.RetryAfter, Incarnation: e.Incarnation, Asked: call.asked,
		Warm: e.Warm, Age: e.Age,
	})
}

// settleClaim decides a claim as the platform does. The write of an unsettled
// claim may have taken effect, in which case its daemon releases it.
func (w *world) settleClaim(host identifier.Host, e Claim) {
	name := claimName(e.Team, e.IdempotencyKey)
	known := w.claims[name]
	free := known == nil || known.released
	outcome := ClaimHeld
	switch {
	case w.platformDown:
		outcome = ClaimUnsettled
	case free && w.oneIn(8, "claim's answer lost"):
		w.claims[name] = &claimModel{request: e.Request}
		outcome = ClaimUnsettled
		w.pending = append(w.pending, parcel{host: host, effect: ReleaseClaim{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey}})
	case free:
		w.claims[name] = &claimModel{request: e.Request}
		outcome = ClaimWon
	case known.answered:
		outcome = ClaimAnswered
	}
	w.later(host, ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
}

func claimName(team identifier.Team, key string) string { return string(team) + "/" + key }

// lookup answers with the leading blocks that a store holds.
func (w *world) lookup(host identifier.Host, e Lookup) {
	done := LookupDone{Request: e.Request, Store: e.Store}
	if w.oneIn(6, "lookup") {
		done.Failed = true
		w.later(host, done)
		return
	}
	for _, key := range e.Keys {
		if _, ok := w.stores[e.Store][key]; !ok {
			break
		}
		done.Blocks = append(done.Blocks, StoredBlock{Key: key, Generation: 1})
	}
	if w.oneIn(6, "foreign block") {
		for _, key := range slices.SortedFunc(maps.Keys(w.stores[e.Store]), func(a, b identifier.BlockKey) int { return bytes.Compare(a[:], b[:]) }) {
			done.Blocks = append(done.Blocks, StoredBlock{Key: key, Generation: 1})
		}
	}
	w.later(host, done)
}

// importBlocks copies blocks from a store to a target.
func (w *world) importBlocks(host identifier.Host, e Import) {
	engine := w.targets[e.Target]
	done := ImportDone{Request: e.Request, Target: e.Target, Store: e.Store, Probe: e.Probe}
	done.Failed = !engine.versions[e.Version] || !w.reach(w.centre(host), w.fleet.Targets[e.Target].DataCentre) || w.oneIn(4, "import")
	if e.Probe {
		for done.Blocks < len(e.Blocks) && !done.Failed {
			if _, ok := engine.cache[e.Blocks[done.Blocks].Key]; !ok {
				break
			}
			done.Blocks++
		}
		w.later(host, done)
		return
	}
	for _, block := range e.Blocks {
		if from, ok := w.stores[e.Store][block.Key]; ok && !done.Failed {
			engine.cache[block.Key] = from
			done.Blocks++
			done.Bytes += w.fleet.Models[e.Model].BlockBytes
		}
	}
	w.later(host, done)
}

// export copies blocks from a target to a store.
func (w *world) export(host identifier.Host, e Export) {
	for _, key := range e.Keys {
		if block, ok := w.targets[e.Target].cache[key]; ok {
			w.stores[e.Store][key] = block
		}
	}
	w.later(host, ExportDone{Target: e.Target, Store: e.Store, Asked: len(e.Keys), Blocks: len(e.Keys)})
}

// deliverStart lets a request reach its target, or not.
func (w *world) deliverStart(host identifier.Host, e Start) {
	engine := w.targets[e.Target]
	fail := AttemptFailed{Attempt: e.Attempt, Proven: true, Reason: FailureUnreachable}
	switch {
	case !e.SendBy.IsZero() && !w.now.Before(e.SendBy):
		fail.Reason = FailureLate
	case !w.now.Before(e.Deadline):
		fail.Reason = FailureDeadline
	case !w.reach(w.centre(host), w.fleet.Targets[e.Target].DataCentre):
	case e.Incarnation != engine.incarnation:
		fail.Reason = FailureIncarnation
		w.later(host, IncarnationSeen{Target: e.Target, Incarnation: engine.incarnation, Cold: engine.cold})
	case e.Version != "" && !engine.versions[e.Version]:
		fail.Reason = FailureVersion
	case !w.oneIn(10, "dial"):
		w.run(host, e, engine)
		return
	}
	w.later(host, fail)
}

// run lets a target take a request in.
func (w *world) run(host identifier.Host, e Start, engine *engineModel) {
	engine.running[e.Attempt] = e.Deadline
	r := w.requests[e.Attempt.Request]
	r.runs++
	r.sent = &e
	if r.notRun {
		w.t.Fatalf("request %s ran after it was refused as not-run", e.Attempt.Request)
	}
	if r.claim != "" {
		w.keyRuns[r.claim]++
		if w.keyRuns[r.claim] > 1 {
			w.t.Fatalf("key %s ran %d times", r.claim, w.keyRuns[r.claim])
		}
	}
	if limit := w.fleet.Targets[e.Target].ColdLimit; engine.cold && len(engine.running) > limit {
		w.t.Fatalf("%s is cold and runs %d requests, its limit is %d", e.Target, len(engine.running), limit)
	}
	own := blockModel{team: e.Team, version: e.Version}
	for _, key := range e.Keys {
		if block, ok := engine.cache[key]; ok && block != own {
			w.t.Fatalf("request %s of %v reads a block of %v", e.Attempt.Request, own, block)
		}
		engine.cache[key] = own
	}
	w.later(host, runEnd{start: e, life: w.processes[host].life})
}

// runEnd is the model's own event: the moment at which a run ends or its
// connection does.
type runEnd struct {
	start Start
	life  int
}

func (runEnd) isEvent() {}

func isRunEnd(ev Event) bool {
	_, ok := ev.(runEnd)
	return ok
}

// finishRun ends a run and tells its daemon. After a lost connection the target
// goes on until the deadline that it was given.
func (w *world) finishRun(host identifier.Host, end runEnd) {
	e := end.start
	engine := w.targets[e.Target]
	_, running := engine.running[e.Attempt]
	same := running && engine.incarnation == e.Incarnation
	told := w.processes[host].life == end.life
	switch {
	case same && w.oneIn(5, "connection lost"):
		reason := []FailureReason{FailureStalled, FailureBroken}[rapid.IntRange(0, 1).Draw(w.t, "reason")]
		w.laterIf(told, host, AttemptFailed{Attempt: e.Attempt, Reason: reason, Delivered: rapid.IntRange(0, 2).Draw(w.t, "delivered")})
	case !same:
		w.laterIf(told, host, AttemptFailed{Attempt: e.Attempt, Reason: FailureBroken, Incarnation: engine.incarnation})
	default:
		delete(engine.running, e.Attempt)
		w.laterIf(told, host, AttemptStarted{Attempt: e.Attempt, Incarnation: engine.incarnation})
		w.laterIf(told, host, AttemptDone{Attempt: e.Attempt, Incarnation: engine.incarnation, Tokens: 1})
	}
}

func (w *world) laterIf(ok bool, host identifier.Host, ev Event) {
	if ok {
		w.later(host, ev)
	}
}
