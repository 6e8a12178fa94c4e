package engine

import (
	"time"
)

// schedule starts whatever can start now. Like all methods of this file it
// runs under mu.
func (e *Engine) schedule() {
	if e.frozen {
		return
	}
	for e.prefilling == nil && len(e.decoding) < e.cfg.RunningLimit && e.queue.len() > 0 {
		e.begin(e.queue.pop())
	}
	e.armStep()
}

// begin starts the prefill of a run that has left the queue.
func (e *Engine) begin(r *run) {
	if !e.weights.has(r.req.Model, r.req.Adapter, r.req.WeightVersion) {
		e.finish(r, endingWrongVersion)
		return
	}
	n := e.cache.pinChain(r.req.Blocks, r.weights())
	r.pinned = r.req.Blocks[:n]
	r.cachedTokens = min(n*e.cfg.BlockTokens, max(0, r.req.PromptTokens-1))
	r.phase = phasePrefill
	e.prefilling = r
	e.countStart(r)
	tokens := r.req.PromptTokens - r.cachedTokens + r.req.ResumeOffset
	seconds := float64(tokens) / e.cfg.PrefillTokensPerSecond * e.slow
	wait := time.Duration(seconds * float64(time.Second))
	r.prefill = e.cfg.Clock.AfterFunc(wait, func() { e.prefillDone(r) })
}

func (e *Engine) countStart(r *run) {
	r.started = true
	e.stats.Runs[r.req.RequestID]++
	e.stats.Started++
	e.stats.StartedSinceMark++
	if r.req.Generated != "" && r.req.Generated != r.answer.Text(r.req.ResumeOffset) {
		e.stats.MismatchedResumes++
	}
}

// prefillDone runs when the prefill's time has passed.
func (e *Engine) prefillDone(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.phase != phasePrefill {
		return
	}
	if e.frozen {
		r.prefilled = true
		return
	}
	e.startDecode(r)
	e.schedule()
	e.record()
}

// startDecode makes the run's blocks usable and produces its first token.
func (e *Engine) startDecode(r *run) {
	e.prefilling = nil
	e.stats.PrefilledTokens += int64(r.req.PromptTokens - r.cachedTokens + r.req.ResumeOffset)
	e.stats.CachedTokens += int64(r.cachedTokens)
	held := len(r.pinned)
	r.pinned = r.req.Blocks[:held+e.cache.insertChain(r.req.Blocks[held:], r.weights())]
	r.phase = phaseDecode
	e.decoding[r] = struct{}{}
	e.produce(r)
}

// produce computes the next token of r and ends r behind the last one.
func (e *Engine) produce(r *run) {
	if r.produced < r.req.MaxTokens {
		r.produced++
		e.stats.GeneratedTokens++
	}
	if r.produced >= r.req.MaxTokens {
		e.finish(r, endingDone)
		return
	}
	r.notify()
}

// armStep sets the timer of the next decode step, which all streams share.
func (e *Engine) armStep() {
	if e.stepping || len(e.decoding) == 0 {
		return
	}
	e.stepping = true
	stretch := 1 + e.cfg.BatchSlowdown*float64(len(e.decoding)-1)
	seconds := stretch * e.slow / e.cfg.DecodeTokensPerSecond
	e.cfg.Clock.AfterFunc(time.Duration(seconds*float64(time.Second)), e.step)
}

// step produces one token of each stream.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepping = false
	if e.frozen {
		return
	}
	before := len(e.decoding)
	for r := range e.decoding {
		e.produce(r)
	}
	e.schedule()
	if len(e.decoding) != before {
		e.record()
	}
}

// thaw goes on after a freeze.
func (e *Engine) thaw() {
	if e.prefilling != nil && e.prefilling.prefilled {
		e.startDecode(e.prefilling)
	}
	e.schedule()
}

// finish ends a run for a reason and frees what it holds. The caller calls schedule.
func (e *Engine) finish(r *run, reason ending) {
	switch r.phase {
	case phaseQueued:
		if r.index >= 0 {
			e.queue.remove(r)
		}
	case phasePrefill:
		r.prefill.Stop()
		e.prefilling = nil
	case phaseDecode:
		delete(e.decoding, r)
	case phaseEnded:
		return
	}
	r.phase = phaseEnded
	r.ending = reason
	if r.deadline != nil {
		r.deadline.Stop()
	}
	if e.runs[r.attempt()] == r {
		delete(e.runs, r.attempt())
	}
	e.cache.unpin(r.pinned)
	r.pinned = nil
	e.warmer.End(r.ticket, reason == endingDone)
	r.notify()
}

// end ends a run from outside the scheduler.
func (e *Engine) end(r *run, reason ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.phase == phaseEnded {
		return
	}
	e.finish(r, reason)
	e.schedule()
	e.record()
}

// restart loses all runs and the cache. The caller has begun a new
// incarnation and cuts the connections afterwards.
func (e *Engine) restart() {
	for r := range e.decoding {
		e.finish(r, endingCut)
	}
	if e.prefilling != nil {
		e.finish(e.prefilling, endingCut)
	}
	for e.queue.len() > 0 {
		e.finish(e.queue.waiting[0], endingCut)
	}
	e.cache.clear()
	e.events.reset()
	e.frozen = false
	e.reports.Reset(e.cfg.Clock.Now(), e.load())
}
