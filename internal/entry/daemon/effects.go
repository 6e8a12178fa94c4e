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

// effectHandler runs the reducer's effects that are not addressed to one request.
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

func newEffectRunner(cfg Config, rec *recorder.Recorder, o *orderer.Orderer, m *meter.Meter, tr *tracer.Tracer) *effectHandler {
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
func (r *effectHandler) Export(e reducer.Export) {
	go func() {
		done := r.orderer.Export(context.Background(), e)
		r.meter.CountBlockBytes(e.Store, meter.DirectionExport, done.Bytes)
		r.post(done)
	}()
}

// ReleaseClaim releases a claim in the background.
func (r *effectHandler) ReleaseClaim(e reducer.ReleaseClaim) { r.claims.releaseAsync(e) }

// ForgetClaim records an unknown outcome in the background.
func (r *effectHandler) ForgetClaim(e reducer.ForgetClaim) { r.claims.forgetAsync(e) }

// Order sends an order to a target in the background. Its effect is read from the
// target's load reports.
func (r *effectHandler) Order(e reducer.Order) {
	go func() {
		if err := r.orderer.Order(context.Background(), e); err != nil {
			r.cfg.Logger.Warn("order not accepted", "target", string(e.Target), "fence", e.Fence, "error", err)
		}
	}()
}

// WantTargets sets the targets that the leaser should own.
func (r *effectHandler) WantTargets(e reducer.WantTargets) {
	r.mu.Lock()
	r.wantedTargets = e.Targets
	r.mu.Unlock()
	r.leaser.SetWanted(e.Targets)
}

// ReadTargets sets the targets that the reader polls, and drops the loads of all others.
func (r *effectHandler) ReadTargets(e reducer.ReadTargets) {
	assignments := make([]reader.Assignment, 0, len(e.Targets))
	kept := map[identifier.Target]bool{}
	for _, t := range e.Targets {
		assignments = append(assignments, reader.Assignment{Target: t.Target, Address: t.Address, Events: t.Model})
		kept[t.Target] = true
	}
	r.reader.SetTargets(assignments)
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.loads, func(name identifier.Target, _ exchanger.Load) bool { return !kept[name] })
	r.publishLocked()
}

// ExpectIncarnation limits connections to one incarnation of a target, or forbids them if
// the incarnation is 0.
func (r *effectHandler) ExpectIncarnation(e reducer.ExpectIncarnation) {
	r.mu.Lock()
	if e.Incarnation == 0 {
		delete(r.expectedIncarnations, e.Target)
	} else {
		r.expectedIncarnations[e.Target] = e.Incarnation
	}
	r.mu.Unlock()
	r.dialer.Close(e.Target)
}

// expectedIncarnation returns the only incarnation of a target that may be used.
func (r *effectHandler) expectedIncarnation(target identifier.Target) (identifier.Incarnation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnation, known := r.expectedIncarnations[target]
	return incarnation, known
}

// RequestPermit asks the owner of a cold target for a permit, in the background.
// After a failed call it returns the permit, which the owner may have granted.
func (r *effectHandler) RequestPermit(e reducer.RequestPermit) {
	askedAt := r.clock.Now()
	go func() {
		settled := reducer.PermitAnswered{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, AskedAt: askedAt}
		reply, err := r.exchanger.Permit(context.Background(), e.Owner, describer.Permit{
			From: r.cfg.Settings.Host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term,
		})
		if err != nil {
			r.ReturnPermit(reducer.ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target})
			settled.RetryAfter = permitErrorRetryAfter
		} else {
			settled.Granted, settled.RetryAfter, settled.Incarnation = reply.Granted, reply.RetryAfter, reply.Incarnation
			settled.Warm, settled.Age = reply.Warm, reply.Age
		}
		r.post(settled)
	}()
}

// permitErrorRetryAfter is the delay before an owner is asked again after a failed call.
const permitErrorRetryAfter = 250 * time.Millisecond

// ReturnPermit returns a permit to the target's owner in the background.
func (r *effectHandler) ReturnPermit(e reducer.ReturnPermit) {
	go func() {
		_, err := r.exchanger.Release(context.Background(), e.Owner, describer.ReleasePermit{
			From: r.cfg.Settings.Host, Target: e.Target, Request: e.Request, Number: e.Number,
		})
		if err != nil {
			r.cfg.Logger.Debug("permit not returned; it expires at the end of its term", "target", string(e.Target), "error", err)
		}
	}()
}

// AnswerPermit passes the reducer's answer to the pending call of a peer.
func (r *effectHandler) AnswerPermit(e reducer.AnswerPermit) { r.pendingPermits.resolve(e.Call, e) }

// ShareLoad publishes a target's new state to peers without waiting for its next report.
func (r *effectHandler) ShareLoad(e reducer.ShareLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.loads[e.Load.Target]
	if known.Incarnation > e.Load.Incarnation {
		return
	}
	r.loads[e.Load.Target] = exchanger.Load{
		TargetLoad: describer.TargetLoad{
			Target: e.Load.Target, Incarnation: e.Load.Incarnation, Cold: e.Load.Cold,
			Running: int32(e.Load.Running), Queued: int32(e.Load.Queued),
		},
		AsOf: r.clock.Now(),
	}
	r.publishLocked()
}

// RecordStep adds a step of a request to the recorder, the metrics and the trace.
func (r *effectHandler) RecordStep(n reducer.RecordStep) {
	r.recorder.Note(n)
	r.meter.Note(n)
	r.tracer.Note(n)
}

// Drained signals that no request is left.
func (r *effectHandler) Drained() { close(r.drainDone) }

// handleObservation posts an observation of the reader to the reducer and
// publishes new loads to peers.
func (r *effectHandler) handleObservation(o reader.Observation) {
	switch o := o.(type) {
	case reader.LoadObserved:
		r.handleLoad(o)
	case reader.TargetUnreachable:
		r.post(reducer.TargetUnreachable{Target: o.Target})
	case reader.CacheChanged:
		ev := reducer.CacheObserved{Target: o.Target, Gap: o.Gap}
		for _, change := range o.Events {
			if change.Evicted {
				ev.Evicted = append(ev.Evicted, change.Key)
			} else {
				ev.Stored = append(ev.Stored, change.Key)
			}
		}
		r.post(ev)
	}
}

func (r *effectHandler) handleLoad(o reader.LoadObserved) {
	report := o.Report
	r.post(reducer.LoadObserved{
		Target: report.Target, Incarnation: report.Incarnation, Cold: report.Cold,
		Running: report.Running, Queued: report.Queued, QueuedTokens: report.QueuedTokens,
		PrefillTokensPerSecond: report.PrefillTokensPerSecond, Age: r.clock.Since(o.At),
		Loaded: loadedWeights(report.Weights),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[report.Target] = exchanger.Load{
		TargetLoad: describer.TargetLoad{
			Target: report.Target, Incarnation: report.Incarnation, Cold: report.Cold,
			Running: int32(report.Running), Queued: int32(report.Queued), QueuedTokens: int32(report.QueuedTokens),
			PrefillTokensPerSecond: float32(report.PrefillTokensPerSecond), Sequence: o.Sequence,
		},
		AsOf: o.At,
	}
	r.publishLocked()
}

func loadedWeights(list []messenger.LoadedWeights) []reducer.Weights {
	loaded := make([]reducer.Weights, 0, len(list))
	for _, w := range list {
		loaded = append(loaded, reducer.Weights{Model: w.Model, Version: w.Version, Adapters: w.Adapters})
	}
	return loaded
}

// publishLocked publishes the current state to peers.
func (r *effectHandler) publishLocked() {
	names := slices.Sorted(maps.Keys(r.loads))
	state := exchanger.State{ConfigVersion: r.configVersion, Leaving: r.leaving, Membership: r.membership}
	for _, name := range names {
		state.Loads = append(state.Loads, r.loads[name])
	}
	r.exchanger.Publish(state)
}

func (r *effectHandler) setConfigVersion(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion = version
	r.publishLocked()
}

func (r *effectHandler) setMembership(m describer.Membership) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership = m
	r.publishLocked()
}

func (r *effectHandler) announceLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.publishLocked()
}

// drainAndRelease waits until no request is left or ctx ends, then releases the
// ownerships of targets.
func (r *effectHandler) drainAndRelease(ctx context.Context) {
	r.post(reducer.DrainStarted{})
	select {
	case <-r.drainDone:
	case <-ctx.Done():
	}
	r.releaseTargets(ctx)
	if err := r.leaser.Release(ctx); err != nil {
		r.cfg.Logger.Warn("ownerships not released; they expire at the end of their term", "error", err)
	}
}
