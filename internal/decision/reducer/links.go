package reducer

import (
	"maps"
	"slices"
	"time"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
	"cardamomscale.example/cardamomscale/internal/decision/scorer"
)

// linking divides the stores' links among the daemons. The first live daemon of
// a store's data centre, its link keeper, hands out times on the link one after
// another. The keeper is a hint: without it, a daemon stays within a small share
// that is its own.
type linking struct {
	links map[identifier.Store]*link
	// waitingExports are the exports for which a time on a link was asked.
	waitingExports map[identifier.Request]*waitingExport
}

// waitingExport is an export that waits for its time on a link.
type waitingExport struct {
	Export
	ask AskLink
	// refused counts the times that it was refused, and again is when to ask again.
	refused int
	again   time.Time
}

const (
	// exportRetry is the time between two questions for one export.
	exportRetry = 400 * time.Millisecond
	// maxExportRefusals is the number of refusals after which an export is given up.
	maxExportRefusals = 8
)

// link is what a daemon knows of one store's link.
type link struct {
	// freeAt is when the times that were handed out end; it is known to the
	// keeper and guessed by the others.
	freeAt time.Time
}

const (
	// dynamicLinkShare is the part of the budget that the keeper hands out. The
	// rest is divided evenly among all daemons for times without a keeper.
	dynamicLinkShare = 0.85
	// maxLinkWait is the longest wait for an import's time on the link.
	maxLinkWait = 800 * time.Millisecond
	// maxExportWait is the longest wait for an export's time. It is shorter than
	// that of imports, so that exports give way when the link is short.
	maxExportWait = 500 * time.Millisecond
	// maxWaitingExports bounds the exports for which a time was asked.
	maxWaitingExports = 64
	// importLatency is the fixed cost of one import order.
	importLatency = 5 * time.Millisecond
	// probeTimeout bounds an engine's answer to a probe.
	probeTimeout = 100 * time.Millisecond
)

func newLinking() linking {
	return linking{
		links:          map[identifier.Store]*link{},
		waitingExports: map[identifier.Request]*waitingExport{},
	}
}

func (s *State) linkOf(name identifier.Store) *link {
	l := s.links[name]
	if l == nil {
		l = &link{}
		s.links[name] = l
	}
	return l
}

// wait returns how long a transfer that is asked for now waits.
func (l *link) wait(now time.Time) time.Duration { return max(0, l.freeAt.Sub(now)) }

// linkBudget returns the rate in bytes per second that all daemons together may use.
func linkBudget(store specifier.Store, share float64) float64 {
	return float64(store.LinkBytesPerSecond) * share
}

// keeperOf returns the daemon that hands out times on a store's link, or "".
func (s *State) keeperOf(name identifier.Store) identifier.Host {
	return identifier.Host(placer.First(placer.KeyOf(name), s.hostNames[s.fleet.Stores[name].DataCentre]))
}

// linkFor describes the link between the store that holds r's blocks and the
// targets. A store that was taken out or removed meanwhile has none.
func (s *State) linkFor(r *request) scorer.Link {
	store, ok := s.fleet.Stores[r.storedAt]
	if len(r.stored) == 0 || !ok || store.State == specifier.StateOut {
		return scorer.Link{}
	}
	wait := s.linkOf(r.storedAt).wait(s.now)
	if wait > maxLinkWait {
		return scorer.Link{}
	}
	return scorer.Link{
		BytesPerSecond: dynamicLinkShare * linkBudget(store, r.profile.LinkShare),
		BlockBytes:     float64(s.blockBytes(r)),
		Latency:        importLatency + wait,
	}
}

func (s *State) blockBytes(r *request) int64 { return s.fleet.Models[r.prompt.Model].BlockBytes }

// startImport asks the target first which of the stored blocks it holds, so that
// time on the link is asked for the missing ones only.
func (s *State) startImport(r *request) {
	r.phase = phaseImporting
	r.probing = true
	s.lead(r)
	s.emit(Import{
		Request: r.id, Target: r.target.name, TargetAddress: r.target.spec.Address,
		Store: r.storedAt, StoreAddress: s.fleet.Stores[r.storedAt].Address, Model: r.prompt.Model, Version: r.version,
		Blocks: r.stored, Probe: true, Timeout: probeTimeout,
	})
}

// onProbed starts r if its target holds all stored blocks, and asks for a time on
// the link otherwise. Without an answer all blocks count as missing.
func (s *State) onProbed(r *request, ev ImportDone) {
	r.probing = false
	held := ev.Blocks
	if ev.Failed {
		held = 0
	}
	missing := len(r.stored) - held
	if !ev.Failed {
		s.learnHomeHits(r, float64(held)/float64(max(1, len(r.stored))))
	}
	switch {
	case !s.stillUsable(r):
		s.skipImport(r)
	case missing <= 0:
		s.start(r)
	default:
		r.importBytes = int64(missing) * s.blockBytes(r)
		s.askLink(AskLink{Request: r.id, Store: ev.Store, Bytes: r.importBytes, Share: r.profile.LinkShare})
	}
}

// startExport asks for a time on the link for an export after r.
func (s *State) startExport(r *request, e Export) {
	if len(s.waitingExports) >= maxWaitingExports {
		s.dropExport(e)
		return
	}
	bytes := int64(len(e.Keys)) * s.blockBytes(r)
	ask := AskLink{Request: r.id, Store: e.Store, Bytes: bytes, Share: r.profile.LinkShare, Export: true}
	s.waitingExports[r.id] = &waitingExport{Export: e, ask: ask}
	s.askLink(ask)
}

// dropExport forgets that the blocks of an export that was not made are kept.
func (s *State) dropExport(e Export) {
	for _, key := range e.Keys {
		if p, ok := s.prefixes.Peek(key); ok {
			p.kept = false
		}
	}
}

// askLink asks the keeper, or decides at once when this daemon is the keeper.
func (s *State) askLink(ask AskLink) {
	ask.Owner = s.keeperOf(ask.Store)
	if ask.Owner == "" {
		s.onLinkSettled(LinkSettled{Request: ask.Request, Store: ask.Store, Export: ask.Export, Failed: true})
		return
	}
	if ask.Owner != s.cfg.Host {
		s.emit(ask)
		return
	}
	wait, granted := s.handOut(ask.Store, ask.Bytes, ask.Share, ask.Export)
	s.onLinkSettled(LinkSettled{Request: ask.Request, Store: ask.Store, Export: ask.Export, Granted: granted, Wait: wait})
}

// handOut gives a time on a link to a transfer and returns how long it waits.
func (s *State) handOut(name identifier.Store, bytes int64, share float64, export bool) (time.Duration, bool) {
	store, ok := s.fleet.Stores[name]
	if !ok || share <= 0 || share > 1 {
		return 0, false
	}
	l := s.linkOf(name)
	wait := l.wait(s.now)
	if wait > maxLinkWait || export && wait > maxExportWait {
		return wait, false
	}
	rate := dynamicLinkShare * linkBudget(store, share)
	l.freeAt = s.now.Add(wait + time.Duration(float64(bytes)/rate*float64(time.Second)))
	return wait, true
}

func (s *State) onLinkAsked(ev LinkAsked) {
	wait, granted := s.handOut(ev.Store, ev.Bytes, ev.Share, ev.Export)
	s.emit(AnswerLink{Call: ev.Call, Granted: granted, Wait: wait})
}

// onLinkReturned shortens the times handed out by what a transfer did not use, or
// prolongs them by what it used beyond its own.
func (s *State) onLinkReturned(ev LinkReturned) {
	store, ok := s.fleet.Stores[ev.Store]
	if !ok || ev.Share <= 0 {
		return
	}
	l := s.linkOf(ev.Store)
	unused := time.Duration(float64(ev.Bytes) / (dynamicLinkShare * linkBudget(store, ev.Share)) * float64(time.Second))
	if l.freeAt.Before(s.now) {
		l.freeAt = s.now
	}
	l.freeAt = l.freeAt.Add(-unused)
}

// onLinkSettled starts the transfer that waits for its time on the link, or does
// without it.
func (s *State) onLinkSettled(ev LinkSettled) {
	if s.keeperOf(ev.Store) != s.cfg.Host && !ev.Failed {
		s.linkOf(ev.Store).freeAt = s.now.Add(ev.Wait)
	}
	if ev.Export {
		s.settleExport(ev)
		return
	}
	r := s.requests[ev.Request]
	if r == nil || r.phase != phaseImporting || r.importing || r.probing {
		return
	}
	rate, ok := s.transferRate(ev, r.profile.LinkShare)
	if !ok || !s.stillUsable(r) {
		s.skipImport(r)
		return
	}
	r.importing = true
	s.emitImport(r, ev, rate)
}

// transferRate returns the rate of a transfer in bytes per second, and false when
// it may not be made.
func (s *State) transferRate(ev LinkSettled, share float64) (int64, bool) {
	store, known := s.fleet.Stores[ev.Store]
	budget := linkBudget(store, share)
	switch {
	case !known:
		return 0, false
	case ev.Granted:
		return int64(dynamicLinkShare * budget), true
	case ev.Failed:
		return int64((1 - dynamicLinkShare) * budget / float64(len(s.live))), true
	default:
		return 0, false
	}
}

func (s *State) emitImport(r *request, ev LinkSettled, rate int64) {
	store := s.fleet.Stores[ev.Store]
	s.emit(Import{
		Request: r.id, Target: r.target.name, TargetAddress: r.target.spec.Address,
		Store: ev.Store, StoreAddress: store.Address,
		Model: r.prompt.Model, Version: r.version,
		Blocks: r.stored, BytesPerSecond: rate, After: ev.Wait, Timeout: earlier(r.deadline, r.cutoff).Sub(s.now),
	})
}

// skipImport lets r compute what it can't import.
func (s *State) skipImport(r *request) {
	r.stored = nil
	if !s.stillUsable(r) {
		s.unlead(r)
		s.release(r)
		s.requeue(r)
		return
	}
	r.target.pendingTokens -= r.computing
	r.computing = s.plainPlan(r, r.target).ComputedTokens
	r.target.pendingTokens += r.computing
	s.start(r)
}

func (s *State) settleExport(ev LinkSettled) {
	w, ok := s.waitingExports[ev.Request]
	if !ok {
		return
	}
	if !ev.Granted {
		s.postponeExport(ev.Request, w)
		return
	}
	delete(s.waitingExports, ev.Request)
	rate, _ := s.transferRate(ev, w.ask.Share)
	w.BytesPerSecond, w.After = rate, ev.Wait
	s.emit(w.Export)
}

// postponeExport asks again later, or gives the export up.
func (s *State) postponeExport(id identifier.Request, w *waitingExport) {
	w.refused++
	if w.refused >= maxExportRefusals {
		delete(s.waitingExports, id)
		s.dropExport(w.Export)
		return
	}
	w.again = s.now.Add(exportRetry)
}

// retryExports asks again for the exports that were refused, in a fixed order.
func (s *State) retryExports() {
	if len(s.waitingExports) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.waitingExports)) {
		w := s.waitingExports[id]
		if w != nil && !w.again.IsZero() && !s.now.Before(w.again) {
			w.again = time.Time{}
			s.askLink(w.ask)
		}
	}
}

func (s *State) onImportDone(ev ImportDone) {
	r := s.requests[ev.Request]
	if r == nil || r.phase != phaseImporting {
		return
	}
	if ev.Probe {
		if r.probing {
			s.onProbed(r, ev)
		}
		return
	}
	s.returnLink(ev.Store, r.importBytes-ev.Bytes, r.profile.LinkShare)
	r.importing = false
	r.imported = ev.Blocks
	s.noteImport(ev)
	if ev.Failed {
		s.skipImport(r)
		return
	}
	if !s.stillUsable(r) {
		s.unlead(r)
		s.release(r)
		s.requeue(r)
		return
	}
	s.start(r)
}

// returnLink gives the keeper back what a transfer did not use.
func (s *State) returnLink(name identifier.Store, bytes int64, share float64) {
	keeper := s.keeperOf(name)
	switch {
	case bytes == 0 || keeper == "":
	case keeper == s.cfg.Host:
		s.onLinkReturned(LinkReturned{Store: name, Bytes: bytes, Share: share})
	default:
		s.emit(ReturnLink{Owner: keeper, Store: name, Bytes: bytes, Share: share})
	}
}

func (s *State) onExportDone(ev ExportDone) {
	share := s.profileOf(s.fleet.Targets[ev.Target].Service).LinkShare
	unused := int64(ev.Asked-ev.Blocks) * s.exportBlockBytes(ev)
	s.returnLink(ev.Store, unused, share)
}

// exportBlockBytes returns the size of one block of an export.
func (s *State) exportBlockBytes(ev ExportDone) int64 {
	if ev.Blocks > 0 {
		return ev.Bytes / int64(ev.Blocks)
	}
	return 0
}
