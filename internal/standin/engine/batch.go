package engine

import (
	"time"
)

// schedule starts queued runs while there is capacity, and the next decode
// step. The caller holds mu.
func (e *Engine) schedule() {
	if e.frozen {
		return
	}
	for e.prefilling == nil && len(e.decoding) < e.cfg.RunningLimit && e.queue.len() > 0 {
		e.startPrefill(e.queue.pop())
	}
	e.scheduleStep()
}

// startPrefill starts the prefill of a run that was removed from the queue, or
// ends the run if its weights were unloaded meanwhile. The caller holds mu.
func (e *Engine) startPrefill(r *run) {
	if !e.weights.has(r.req.Model, r.req.Adapter, r.req.WeightVersion) {
		e.endRunLocked(r, endWrongVersion)
		return
	}
	n := e.cache.pinPrefix(r.req.Blocks, r.weightsKey())
	r.pinned = r.req.Blocks[:n]
	r.cachedTokens = min(n*e.cfg.BlockTokens, max(0, r.req.PromptTokens-1))
	r.phase = phasePrefill
	e.prefilling = r
	e.countStart(r)
	tokens := r.req.PromptTokens - r.cachedTokens + r.req.ResumeOffset
	seconds := float64(tokens) / e.cfg.PrefillTokensPerSecond * e.slowFactor
	duration := time.Duration(seconds * float64(time.Second))
	r.prefillTimer = e.cfg.Clock.AfterFunc(duration, func() { e.onPrefillDone(r) })
}

// countStart updates the statistics for a run that starts its prefill. The
// caller holds mu.
func (e *Engine) countStart(r *run) {
	r.started = true
	e.stats.Runs[r.req.RequestID]++
	e.stats.Started++
	e.stats.StartedSinceMark++
	if r.req.Generated != "" && r.req.Generated != r.answer.Text(r.req.ResumeOffset) {
		e.stats.MismatchedResumes++
	}
}

// onPrefillDone starts the decode of r when its prefill timer fires, or defers
// it until the engine is no longer frozen.
func (e *Engine) onPrefillDone(r *run) {
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
	e.recordLoad()
}

// startDecode adds the blocks of a prefilled run to the cache and produces its
// first token. The caller holds mu.
func (e *Engine) startDecode(r *run) {
	e.prefilling = nil
	e.stats.PrefilledTokens += int64(r.req.PromptTokens - r.cachedTokens + r.req.ResumeOffset)
	e.stats.CachedTokens += int64(r.cachedTokens)
	held := len(r.pinned)
	r.pinned = r.req.Blocks[:held+e.cache.insertUntilFull(r.req.Blocks[held:], r.weightsKey())]
	r.phase = phaseDecode
	e.decoding[r] = struct{}{}
	e.produceToken(r)
}

// produceToken produces the next token of r and ends r after its last token. The
// caller holds mu.
func (e *Engine) produceToken(r *run) {
	if r.produced < r.req.MaxTokens {
		r.produced++
		e.stats.GeneratedTokens++
	}
	if r.produced >= r.req.MaxTokens {
		e.endRunLocked(r, endDone)
		return
	}
	r.notify()
}

// scheduleStep starts the timer of the next decode step, which decodes all
// running streams as one batch. The caller holds mu.
func (e *Engine) scheduleStep() {
	if e.stepScheduled || len(e.decoding) == 0 {
		return
	}
	e.stepScheduled = true
	slowdown := 1 + e.cfg.BatchSlowdown*float64(len(e.decoding)-1)
	seconds := slowdown * e.slowFactor / e.cfg.DecodeTokensPerSecond
	e.cfg.Clock.AfterFunc(time.Duration(seconds*float64(time.Second)), e.decodeStep)
}

// decodeStep produces one token for each stream of the batch.
func (e *Engine) decodeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepScheduled = false
	if e.frozen {
		return
	}
	before := len(e.decoding)
	for r := range e.decoding {
		e.produceToken(r)
	}
	e.schedule()
	if len(e.decoding) != before {
		e.recordLoad()
	}
}

// unfreeze continues the runs that were stalled by a freeze. The caller holds mu.
func (e *Engine) unfreeze() {
	if e.prefilling != nil && e.prefilling.prefilled {
		e.startDecode(e.prefilling)
	}
	e.schedule()
}

// endRunLocked ends a run and releases its timers, cache blocks and ticket. The
// caller holds mu and calls schedule afterwards.
func (e *Engine) endRunLocked(r *run, reason endReason) {
	switch r.phase {
	case phaseQueued:
		if r.index >= 0 {
			e.queue.remove(r)
		}
	case phasePrefill:
		r.prefillTimer.Stop()
		e.prefilling = nil
	case phaseDecode:
		delete(e.decoding, r)
	case phaseEnded:
		return
	}
	r.phase = phaseEnded
	r.endReason = reason
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	if e.runs[r.attemptID()] == r {
		delete(e.runs, r.attemptID())
	}
	e.cache.unpin(r.pinned)
	r.pinned = nil
	e.warmer.End(r.ticket, reason == endDone)
	r.notify()
}

// endRun ends a run that has not ended yet and schedules the next ones.
func (e *Engine) endRun(r *run, reason endReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.phase == phaseEnded {
		return
	}
	e.endRunLocked(r, reason)
	e.schedule()
	e.recordLoad()
}

// resetLocked discards all runs and the cache. The caller holds mu, has started a
// new incarnation and resets the connections afterwards.
func (e *Engine) resetLocked() {
	for r := range e.decoding {
		e.endRunLocked(r, endRestart)
	}
	if e.prefilling != nil {
		e.endRunLocked(e.prefilling, endRestart)
	}
	for e.queue.len() > 0 {
		e.endRunLocked(e.queue.waiting[0], endRestart)
	}
	e.cache.clear()
	e.events.reset()
	e.frozen = false
	e.reports.Reset(e.cfg.Clock.Now(), e.loadReport())
}
