package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/recorder"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
	"cardamomscale.example/cardamomscale/internal/peer/describer"
	"cardamomscale.example/cardamomscale/internal/peer/exchanger"
	"cardamomscale.example/cardamomscale/internal/target/dialer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
	"cardamomscale.example/cardamomscale/internal/target/orderer"
	"cardamomscale.example/cardamomscale/internal/target/reader"
)

// effectHandler carries out the reducer's effects that no request's own goroutine
// handles.
// The components that post events to the reducer are set after construction.
type effectHandler struct {
	cfg      Config
	recorder *recorder.Recorder
	orderer  *orderer.Orderer
	meter    *meter.Meter
	tracer   *tracer.Tracer
	clock    clockwork.Clock

	post           func(reducer.Event)
	dialer         *dialer.Dialer
	reader         *reader.Reader
	exchanger      *exchanger.Exchanger
	leaser         targetLeaser
	claims         *claimRegistry
	drainDone      chan struct{}
	pendingPermits *pendingCalls[reducer.AnswerPermit]
	pendingLinks   *pendingCalls[reducer.AnswerLink]

	mu                   sync.Mutex
	expectedIncarnations map[identifier.Target]identifier.Incarnation
	loads                map[identifier.Target]exchanger.Load
	wantedTargets        []identifier.Target
	configVersion        uint64
	membership           describer.Membership
	leaving              bool
}

// targetLeaser acquires and releases the ownership of targets.
type targetLeaser interface {
	SetWanted(targets []identifier.Target)
	Held(target identifier.Target) (fence uint64, until time.Time, ok bool)
	Release(ctx context.Context) error
}

var _ executor.EffectHandler = (*effectHandler)(nil)

func newEffectHandler(cfg Config, rec *recorder.Recorder, o *orderer.Orderer, m *meter.Meter, tr *tracer.Tracer) *effectHandler {
	return &effectHandler{
		cfg: cfg, recorder: rec, orderer: o, meter: m, tracer: tr, clock: cfg.Clock,
		drainDone:            make(chan struct{}),
		expectedIncarnations: map[identifier.Target]identifier.Incarnation{},
		loads:                map[identifier.Target]exchanger.Load{},
		pendingPermits:       newPendingCalls[reducer.AnswerPermit](),
		pendingLinks:         newPendingCalls[reducer.AnswerLink](),
	}
}

// Export orders an engine to export blocks, in the background.
func (h *effectHandler) Export(e reducer.Export) {
	go func() {
		done := h.orderer.Export(context.Background(), e)
		h.meter.CountBlockBytes(e.Store, meter.DirectionExport, done.Bytes)
		h.post(done)
	}()
}

// ReleaseClaim releases a claim in the background.
func (h *effectHandler) ReleaseClaim(e reducer.ReleaseClaim) { h.claims.releaseAsync(e) }

// RecordClaimUnknown records an unknown outcome in the background.
func (h *effectHandler) RecordClaimUnknown(e reducer.RecordClaimUnknown) {
	h.claims.recordUnknownAsync(e)
}

// Order sends an order to a target in the background. Whether the weights are
// loaded shows in the target's load reports.
func (h *effectHandler) Order(e reducer.Order) {
	go func() {
		if err := h.orderer.Order(context.Background(), e); err != nil {
			h.cfg.Logger.Warn("order not accepted", "target", string(e.Target), "fence", e.Fence, "error", err)
		}
	}()
}

// WantTargets sets the targets that the leaser should own.
func (h *effectHandler) WantTargets(e reducer.WantTargets) {
	h.mu.Lock()
	h.wantedTargets = e.Targets
	h.mu.Unlock()
	h.leaser.SetWanted(e.Targets)
}

// ReadTargets sets the targets that the reader polls, and drops the loads of all others.
func (h *effectHandler) ReadTargets(e reducer.ReadTargets) {
	assignments := make([]reader.Assignment, 0, len(e.Targets))
	kept := map[identifier.Target]bool{}
	for _, t := range e.Targets {
		assignments = append(assignments, reader.Assignment{Target: t.Target, Address: t.Address, Events: t.Model})
		kept[t.Target] = true
	}
	h.reader.SetTargets(assignments)
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.loads, func(name identifier.Target, _ exchanger.Load) bool { return !kept[name] })
	h.publishLocked()
}

// ExpectIncarnation limits connections to one incarnation of a target, or forbids
// them if the incarnation is 0.
func (h *effectHandler) ExpectIncarnation(e reducer.ExpectIncarnation) {
	h.mu.Lock()
	if e.Incarnation == 0 {
		delete(h.expectedIncarnations, e.Target)
	} else {
		h.expectedIncarnations[e.Target] = e.Incarnation
	}
	h.mu.Unlock()
	h.dialer.Close(e.Target)
}

// expectedIncarnation returns the only incarnation of a target that may be used.
func (h *effectHandler) expectedIncarnation(target identifier.Target) (identifier.Incarnation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	incarnation, known := h.expectedIncarnations[target]
	return incarnation, known
}

// RequestPermit requests a permit from the owner of a cold target, in the background.
// After a failed call it returns the permit, which the owner may have granted.
func (h *effectHandler) RequestPermit(e reducer.RequestPermit) {
	askedAt := h.clock.Now()
	go func() {
		answer := reducer.PermitAnswered{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, CalledAt: askedAt}
		reply, err := h.exchanger.Permit(context.Background(), e.Owner, describer.Permit{
			From: h.cfg.Settings.Host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term,
		})
		if err != nil {
			h.ReturnPermit(reducer.ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target})
			answer.RetryAfter = permitErrorRetryAfter
		} else {
			answer.Granted, answer.RetryAfter, answer.Incarnation = reply.Granted, reply.RetryAfter, reply.Incarnation
			answer.Warm, answer.Age = reply.Warm, reply.Age
		}
		h.post(answer)
	}()
}

// permitErrorRetryAfter is the delay before an owner is called again after a failed call.
const permitErrorRetryAfter = 250 * time.Millisecond

// ReturnPermit returns a permit to the target's owner in the background.
func (h *effectHandler) ReturnPermit(e reducer.ReturnPermit) {
	go func() {
		_, err := h.exchanger.Release(context.Background(), e.Owner, describer.ReleasePermit{
			From: h.cfg.Settings.Host, Target: e.Target, Request: e.Request, Number: e.Number,
		})
		if err != nil {
			h.cfg.Logger.Debug("permit not returned; it expires at the end of its term", "target", string(e.Target), "error", err)
		}
	}()
}

// AnswerPermit passes the reducer's answer to the pending call of a peer.
func (h *effectHandler) AnswerPermit(e reducer.AnswerPermit) { h.pendingPermits.resolve(e.Call, e) }

// ShareLoad publishes a target's new state to peers without waiting for its next report.
func (h *effectHandler) ShareLoad(e reducer.ShareLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.loads[e.Load.Target]
	if known.Incarnation > e.Load.Incarnation {
		return
	}
	h.loads[e.Load.Target] = exchanger.Load{
		TargetLoad: describer.TargetLoad{
			Target: e.Load.Target, Incarnation: e.Load.Incarnation, Cold: e.Load.Cold,
			Running: int32(e.Load.Running), Queued: int32(e.Load.Queued),
		},
		AsOf: h.clock.Now(),
	}
	h.publishLocked()
}

// RecordStep adds a step of a request to the recorder, the metrics and the trace.
func (h *effectHandler) RecordStep(e reducer.RecordStep) {
	h.recorder.RecordStep(e)
	h.meter.RecordStep(e)
	h.tracer.RecordStep(e)
}

// Drained signals that no request is left.
func (h *effectHandler) Drained() { close(h.drainDone) }

// handleObservation posts an observation of the reader to the reducer and
// publishes new loads to peers.
func (h *effectHandler) handleObservation(o reader.Observation) {
	switch o := o.(type) {
	case reader.LoadObserved:
		h.handleLoad(o)
	case reader.TargetUnreachable:
		h.post(reducer.TargetUnreachable{Target: o.Target})
	case reader.CacheChanged:
		ev := reducer.CacheObserved{Target: o.Target, Gap: o.Gap}
		for _, change := range o.Events {
			if change.Evicted {
				ev.Evicted = append(ev.Evicted, change.Key)
			} else {
				ev.Stored = append(ev.Stored, change.Key)
			}
		}
		h.post(ev)
	}
}

func (h *effectHandler) handleLoad(o reader.LoadObserved) {
	report := o.Report
	h.post(reducer.LoadObserved{
		Target: report.Target, Incarnation: report.Incarnation, Cold: report.Cold,
		Running: report.Running, Queued: report.Queued, QueuedTokens: report.QueuedTokens,
		PrefillTokensPerSecond: report.PrefillTokensPerSecond, Age: h.clock.Since(o.At),
		Loaded: loadedWeights(report.Weights),
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads[report.Target] = exchanger.Load{
		TargetLoad: describer.TargetLoad{
			Target: report.Target, Incarnation: report.Incarnation, Cold: report.Cold,
			Running: int32(report.Running), Queued: int32(report.Queued), QueuedTokens: int32(report.QueuedTokens),
			PrefillTokensPerSecond: float32(report.PrefillTokensPerSecond), Sequence: o.Sequence,
		},
		AsOf: o.At,
	}
	h.publishLocked()
}

func loadedWeights(list []messenger.LoadedWeights) []reducer.Weights {
	loaded := make([]reducer.Weights, 0, len(list))
	for _, w := range list {
		loaded = append(loaded, reducer.Weights{Model: w.Model, Version: w.Version, Adapters: w.Adapters})
	}
	return loaded
}

// publishLocked passes the current state to the exchanger, which sends it to peers.
func (h *effectHandler) publishLocked() {
	names := slices.Sorted(maps.Keys(h.loads))
	state := exchanger.State{ConfigVersion: h.configVersion, Leaving: h.leaving, Membership: h.membership}
	for _, name := range names {
		state.Loads = append(state.Loads, h.loads[name])
	}
	h.exchanger.Publish(state)
}

func (h *effectHandler) setConfigVersion(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion = version
	h.publishLocked()
}

func (h *effectHandler) setMembership(m describer.Membership) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.membership = m
	h.publishLocked()
}

func (h *effectHandler) announceLeaving() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.publishLocked()
}

// drainAndRelease waits until no request is left or ctx ends, then releases the
// ownerships of targets.
func (h *effectHandler) drainAndRelease(ctx context.Context) {
	h.post(reducer.DrainStarted{})
	select {
	case <-h.drainDone:
	case <-ctx.Done():
	}
	h.releaseTargets(ctx)
	if err := h.leaser.Release(ctx); err != nil {
		h.cfg.Logger.Warn("ownerships not released; they expire at the end of their term", "error", err)
	}
}
