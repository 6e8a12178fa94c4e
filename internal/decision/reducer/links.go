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

// linking divides the bandwidth of the stores' links among the daemons. One live
// daemon of a store's data centre, chosen by rendezvous hashing, is the link's
// coordinator and assigns time slots on it one after another. A daemon that can't
// reach the coordinator may use a small reserved share of the link.
type linking struct {
	links map[identifier.Store]*link
	// pendingExports holds the exports that wait for a slot, by request.
	pendingExports map[identifier.Request]*pendingExport
}

// pendingExport is an export that waits for a slot on a link.
type pendingExport struct {
	Export
	request RequestLink
	// refusals counts the refused requests for a slot, and retryAt is when to send
	// the next one; zero while one is under way.
	refusals int
	retryAt  time.Time
}

const (
	// exportRetryInterval is the time from a refusal to the next request for a slot.
	exportRetryInterval = 400 * time.Millisecond
	// maxExportRefusals is the number of refusals after which an export is dropped.
	maxExportRefusals = 8
)

// link is the state of one store's link.
type link struct {
	// freeAt is when the last assigned slot ends. Daemons other than the
	// coordinator estimate it from the coordinator's last answer.
	freeAt time.Time
}

const (
	// coordinatedLinkShare is the part of the budget that the coordinator assigns.
	// The rest is divided evenly among all daemons, for transfers without a
	// coordinator.
	coordinatedLinkShare = 0.85
	// maxLinkWait is the longest wait for an import's slot.
	maxLinkWait = 800 * time.Millisecond
	// maxExportWait is the longest wait for an export's slot. It is shorter than
	// that of imports, so that imports take precedence when the link is busy.
	maxExportWait = 500 * time.Millisecond
	// maxPendingExports bounds the exports that wait for a slot.
	maxPendingExports = 64
	// importLatency is the fixed cost of one import.
	importLatency = 5 * time.Millisecond
	// probeTimeout bounds an engine's answer to a probe.
	probeTimeout = 100 * time.Millisecond
)

func newLinking() linking {
	return linking{
		links:          map[identifier.Store]*link{},
		pendingExports: map[identifier.Request]*pendingExport{},
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

// wait returns the time until the next free slot.
func (l *link) wait(now time.Time) time.Duration { return max(0, l.freeAt.Sub(now)) }

// linkBudget returns the rate in bytes per second that all daemons together may use
// on a store's link.
func linkBudget(store specifier.Store, share float64) float64 {
	return float64(store.LinkBytesPerSecond) * share
}

// linkCoordinator returns the daemon that assigns the slots of a store's link, or ""
// if no daemon of the store's data centre is live.
func (s *State) linkCoordinator(name identifier.Store) identifier.Host {
	return identifier.Host(placer.First(placer.KeyOf(name), s.hostNamesByCentre[s.fleet.Stores[name].DataCentre]))
}

// scorerLink returns the scorer's description of the link of the store that holds
// r's blocks. It is zero, which excludes an import, if the link is too busy or the
// store was taken out of service or removed since the lookup.
func (s *State) scorerLink(r *request) scorer.Link {
	store, ok := s.fleet.Stores[r.storedIn]
	if len(r.stored) == 0 || !ok || store.State == specifier.StateOut {
		return scorer.Link{}
	}
	wait := s.linkOf(r.storedIn).wait(s.now)
	if wait > maxLinkWait {
		return scorer.Link{}
	}
	return scorer.Link{
		BytesPerSecond: coordinatedLinkShare * linkBudget(store, r.profile.LinkShare),
		BlockBytes:     float64(s.blockBytes(r)),
		Latency:        importLatency + wait,
	}
}

func (s *State) blockBytes(r *request) int64 { return s.fleet.Models[r.prompt.Model].BlockBytes }

// startImport first probes which of the stored blocks the target already holds, so
// that the slot covers only the missing ones.
func (s *State) startImport(r *request) {
	r.phase = phaseImporting
	r.probing = true
	s.addLeader(r)
	s.emit(Import{
		Request: r.id, Target: r.target.name, TargetAddress: r.target.spec.Address,
		Store: r.storedIn, StoreAddress: s.fleet.Stores[r.storedIn].Address, Model: r.prompt.Model, Version: r.version,
		Blocks: r.stored, Probe: true, Timeout: probeTimeout,
	})
}

// onProbeDone starts r if its target holds all stored blocks, and requests a slot
// for the others otherwise. After a failed probe all blocks count as missing.
func (s *State) onProbeDone(r *request, ev ImportDone) {
	r.probing = false
	held := ev.Blocks
	if ev.Failed {
		held = 0
	}
	missing := len(r.stored) - held
	if !ev.Failed {
		s.updateHomeHitRate(r, float64(held)/float64(max(1, len(r.stored))))
	}
	switch {
	case !s.reservationValid(r):
		s.prefillInstead(r)
	case missing <= 0:
		s.startAttempt(r)
	default:
		r.importBytes = int64(missing) * s.blockBytes(r)
		s.requestLink(RequestLink{Request: r.id, Store: ev.Store, Bytes: r.importBytes, Share: r.profile.LinkShare})
	}
}

// startExport requests a slot for the export of r's blocks, or drops the export if
// too many are pending.
func (s *State) startExport(r *request, e Export) {
	if len(s.pendingExports) >= maxPendingExports {
		s.clearExported(e)
		return
	}
	bytes := int64(len(e.Keys)) * s.blockBytes(r)
	req := RequestLink{Request: r.id, Store: e.Store, Bytes: bytes, Share: r.profile.LinkShare, Export: true}
	s.pendingExports[r.id] = &pendingExport{Export: e, request: req}
	s.requestLink(req)
}

// clearExported unmarks the blocks of a dropped export, so that a later request can
// export them.
func (s *State) clearExported(e Export) {
	for _, key := range e.Keys {
		if p, ok := s.prefixes.Peek(key); ok {
			p.exported = false
		}
	}
}

// requestLink requests a slot from the link's coordinator, or assigns it at once if
// this daemon is the coordinator.
func (s *State) requestLink(req RequestLink) {
	req.Coordinator = s.linkCoordinator(req.Store)
	if req.Coordinator == "" {
		s.onLinkAnswered(LinkAnswered{Request: req.Request, Store: req.Store, Export: req.Export, Failed: true})
		return
	}
	if req.Coordinator != s.cfg.Host {
		s.emit(req)
		return
	}
	wait, granted := s.reserveLink(req.Store, req.Bytes, req.Share, req.Export)
	s.onLinkAnswered(LinkAnswered{Request: req.Request, Store: req.Store, Export: req.Export, Granted: granted, Wait: wait})
}

// reserveLink assigns the next slot of a link to a transfer and returns the wait
// until it starts, or false if the wait would be too long.
func (s *State) reserveLink(name identifier.Store, bytes int64, share float64, export bool) (time.Duration, bool) {
	store, ok := s.fleet.Stores[name]
	if !ok || share <= 0 || share > 1 {
		return 0, false
	}
	l := s.linkOf(name)
	wait := l.wait(s.now)
	if wait > maxLinkWait || export && wait > maxExportWait {
		return wait, false
	}
	rate := coordinatedLinkShare * linkBudget(store, share)
	l.freeAt = s.now.Add(wait + time.Duration(float64(bytes)/rate*float64(time.Second)))
	return wait, true
}

func (s *State) onLinkRequested(ev LinkRequested) {
	wait, granted := s.reserveLink(ev.Store, ev.Bytes, ev.Share, ev.Export)
	s.emit(AnswerLink{Call: ev.Call, Granted: granted, Wait: wait})
}

// onLinkReturned frees the part of a slot that a transfer did not use, or extends
// the assigned time if the transfer used more.
func (s *State) onLinkReturned(ev LinkReturned) {
	store, ok := s.fleet.Stores[ev.Store]
	if !ok || ev.Share <= 0 {
		return
	}
	l := s.linkOf(ev.Store)
	unused := time.Duration(float64(ev.Bytes) / (coordinatedLinkShare * linkBudget(store, ev.Share)) * float64(time.Second))
	if l.freeAt.Before(s.now) {
		l.freeAt = s.now
	}
	l.freeAt = l.freeAt.Add(-unused)
}

// onLinkAnswered starts the transfer that requested a slot, or goes on without the
// transfer if it was refused one.
func (s *State) onLinkAnswered(ev LinkAnswered) {
	if s.linkCoordinator(ev.Store) != s.cfg.Host && !ev.Failed {
		s.linkOf(ev.Store).freeAt = s.now.Add(ev.Wait)
	}
	if ev.Export {
		s.onExportLinkAnswered(ev)
		return
	}
	r := s.requests[ev.Request]
	if r == nil || r.phase != phaseImporting || r.importing || r.probing {
		return
	}
	rate, ok := s.transferRate(ev, r.profile.LinkShare)
	if !ok || !s.reservationValid(r) {
		s.prefillInstead(r)
		return
	}
	r.importing = true
	s.emitImport(r, ev, rate)
}

// transferRate returns the permitted rate of a transfer in bytes per second, or
// false if the slot was refused or the store no longer exists.
func (s *State) transferRate(ev LinkAnswered, share float64) (int64, bool) {
	store, known := s.fleet.Stores[ev.Store]
	budget := linkBudget(store, share)
	switch {
	case !known:
		return 0, false
	case ev.Granted:
		return int64(coordinatedLinkShare * budget), true
	case ev.Failed:
		return int64((1 - coordinatedLinkShare) * budget / float64(len(s.liveHosts))), true
	default:
		return 0, false
	}
}

func (s *State) emitImport(r *request, ev LinkAnswered, rate int64) {
	store := s.fleet.Stores[ev.Store]
	s.emit(Import{
		Request: r.id, Target: r.target.name, TargetAddress: r.target.spec.Address,
		Store: ev.Store, StoreAddress: store.Address,
		Model: r.prompt.Model, Version: r.version,
		Blocks: r.stored, BytesPerSecond: rate, Delay: ev.Wait, Timeout: earlier(r.deadline, r.cutoff).Sub(s.now),
	})
}

// prefillInstead skips r's import: r starts and its target computes the whole
// prompt, or r is queued again if the target can no longer take it.
func (s *State) prefillInstead(r *request) {
	r.stored = nil
	if !s.reservationValid(r) {
		s.removeLeader(r)
		s.release(r)
		s.requeue(r)
		return
	}
	r.target.pendingTokens -= r.prefillTokens
	r.prefillTokens = s.fullPrefillPlan(r, r.target).ComputedTokens
	r.target.pendingTokens += r.prefillTokens
	s.startAttempt(r)
}

func (s *State) onExportLinkAnswered(ev LinkAnswered) {
	pending, ok := s.pendingExports[ev.Request]
	if !ok {
		return
	}
	if !ev.Granted {
		s.postponeExport(ev.Request, pending)
		return
	}
	delete(s.pendingExports, ev.Request)
	rate, _ := s.transferRate(ev, pending.request.Share)
	pending.BytesPerSecond, pending.Delay = rate, ev.Wait
	s.emit(pending.Export)
}

// postponeExport schedules the next request for a slot, or drops the export after
// too many refusals.
func (s *State) postponeExport(id identifier.Request, pending *pendingExport) {
	pending.refusals++
	if pending.refusals >= maxExportRefusals {
		delete(s.pendingExports, id)
		s.clearExported(pending.Export)
		return
	}
	pending.retryAt = s.now.Add(exportRetryInterval)
}

// retryExports requests slots again for the exports that are due, in order of their
// request IDs to keep the reducer deterministic.
func (s *State) retryExports() {
	if len(s.pendingExports) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.pendingExports)) {
		pending := s.pendingExports[id]
		if pending != nil && !pending.retryAt.IsZero() && !s.now.Before(pending.retryAt) {
			pending.retryAt = time.Time{}
			s.requestLink(pending.request)
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
			s.onProbeDone(r, ev)
		}
		return
	}
	s.returnUnusedLink(ev.Store, r.importBytes-ev.Bytes, r.profile.LinkShare)
	r.importing = false
	r.imported = ev.Blocks
	s.recordImport(ev)
	if ev.Failed {
		s.prefillInstead(r)
		return
	}
	if !s.reservationValid(r) {
		s.removeLeader(r)
		s.release(r)
		s.requeue(r)
		return
	}
	s.startAttempt(r)
}

// returnUnusedLink reports the bytes that a transfer did not use to the link's
// coordinator. They are negative if it used more.
func (s *State) returnUnusedLink(name identifier.Store, bytes int64, share float64) {
	coordinator := s.linkCoordinator(name)
	switch {
	case bytes == 0 || coordinator == "":
	case coordinator == s.cfg.Host:
		s.onLinkReturned(LinkReturned{Store: name, Bytes: bytes, Share: share})
	default:
		s.emit(ReturnLink{Coordinator: coordinator, Store: name, Bytes: bytes, Share: share})
	}
}

func (s *State) onExportDone(ev ExportDone) {
	share := s.profileOf(s.fleet.Targets[ev.Target].Service).LinkShare
	unused := int64(ev.Requested-ev.Blocks) * s.exportBlockBytes(ev)
	s.returnUnusedLink(ev.Store, unused, share)
}

// exportBlockBytes returns the mean size of an export's blocks, or 0 if none was
// exported.
func (s *State) exportBlockBytes(ev ExportDone) int64 {
	if ev.Blocks > 0 {
		return ev.Bytes / int64(ev.Blocks)
	}
	return 0
}
