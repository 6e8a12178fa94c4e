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

// surroundings carries out the effects that concern no single request. The
// parts that need the reducer's events are bound after construction.
type surroundings struct {
	cfg      Config
	recorder *recorder.Recorder
	orderer  *orderer.Orderer
	meter    *meter.Meter
	tracer   *tracer.Tracer
	clock    clockwork.Clock

	post    func(reducer.Event)
	dialer  *dialer.Dialer
	reader  *reader.Reader
	peers   *exchanger.Exchanger
	owners  owners
	claims  *claims
	drained chan struct{}
	permits *questions[reducer.AnswerPermit]
	links   *questions[reducer.AnswerLink]

	mu         sync.Mutex
	believed   map[identifier.Target]identifier.Incarnation
	loads      map[identifier.Target]exchanger.Load
	wanted     []identifier.Target
	version    uint64
	membership describer.Membership
	leaving    bool
}

// owners is the daemon's part in the ownership of targets.
type owners interface {
	Want(targets []identifier.Target)
	Held(target identifier.Target) (fence uint64, until time.Time, ok bool)
	Release(ctx context.Context) error
}

var _ executor.Surroundings = (*surroundings)(nil)

func newSurroundings(cfg Config, rec *recorder.Recorder, ord *orderer.Orderer, count *meter.Meter, spans *tracer.Tracer) *surroundings {
	return &surroundings{
		cfg: cfg, recorder: rec, orderer: ord, meter: count, tracer: spans, clock: cfg.Clock,
		drained:  make(chan struct{}),
		believed: map[identifier.Target]identifier.Incarnation{},
		loads:    map[identifier.Target]exchanger.Load{},
		permits:  newQuestions[reducer.AnswerPermit](),
		links:    newQuestions[reducer.AnswerLink](),
	}
}

// Export orders an export in the background.
func (s *surroundings) Export(e reducer.Export) {
	go func() {
		done := s.orderer.Export(context.Background(), e)
		s.meter.Moved(e.Store, meter.DirectionExport, done.Bytes)
		s.post(done)
	}()
}

// ReleaseClaim gives back a claim in the background.
func (s *surroundings) ReleaseClaim(e reducer.ReleaseClaim) { s.claims.releaseLater(e) }

// ForgetClaim notes an unknown outcome in the background.
func (s *surroundings) ForgetClaim(e reducer.ForgetClaim) { s.claims.forgetLater(e) }

// Order orders a target in the background. Whether it took effect shows in the
// target's reports.
func (s *surroundings) Order(e reducer.Order) {
	go func() {
		if err := s.orderer.Order(context.Background(), e); err != nil {
			s.cfg.Logger.Warn("an order was not taken", "target", string(e.Target), "fence", e.Fence, "error", err)
		}
	}()
}

// WantTargets tells the leaser which targets to own.
func (s *surroundings) WantTargets(e reducer.WantTargets) {
	s.mu.Lock()
	s.wanted = e.Targets
	s.mu.Unlock()
	s.owners.Want(e.Targets)
}

// ReadTargets tells the reader which targets to read, and forgets the loads of others.
func (s *surroundings) ReadTargets(e reducer.ReadTargets) {
	assignments := make([]reader.Assignment, 0, len(e.Targets))
	kept := map[identifier.Target]bool{}
	for _, t := range e.Targets {
		assignments = append(assignments, reader.Assignment{Target: t.Target, Address: t.Address, Events: t.Model})
		kept[t.Target] = true
	}
	s.reader.SetTargets(assignments)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.loads, func(name identifier.Target, _ exchanger.Load) bool { return !kept[name] })
	s.publishLocked()
}

// Believe limits connections to one incarnation of a target, or to none.
func (s *surroundings) Believe(e reducer.Believe) {
	s.mu.Lock()
	if e.Incarnation == 0 {
		delete(s.believed, e.Target)
	} else {
		s.believed[e.Target] = e.Incarnation
	}
	s.mu.Unlock()
	s.dialer.Close(e.Target)
}

// expect returns the incarnation that the reducer believes in.
func (s *surroundings) expect(target identifier.Target) (identifier.Incarnation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation, known := s.believed[target]
	return incarnation, known
}

// AskPermit asks a cold target's owner in the background.
func (s *surroundings) AskPermit(e reducer.AskPermit) {
	asked := s.clock.Now()
	go func() {
		settled := reducer.PermitSettled{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target, Asked: asked}
		reply, err := s.peers.Permit(context.Background(), e.Owner, describer.Permit{
			From: s.cfg.Settings.Host, Target: e.Target, Request: e.Request, Number: e.Number, Term: e.Term,
		})
		if err != nil {
			s.ReturnPermit(reducer.ReturnPermit{Owner: e.Owner, Request: e.Request, Number: e.Number, Target: e.Target})
			settled.RetryAfter = permitRetryAfterError
		} else {
			settled.Granted, settled.RetryAfter, settled.Incarnation = reply.Granted, reply.RetryAfter, reply.Incarnation
			settled.Warm, settled.Age = reply.Warm, reply.Age
		}
		s.post(settled)
	}()
}

// permitRetryAfterError is when to ask an owner again that gave no answer.
const permitRetryAfterError = 250 * time.Millisecond

// ReturnPermit tells the owner in the background that a permit is free.
func (s *surroundings) ReturnPermit(e reducer.ReturnPermit) {
	go func() {
		_, err := s.peers.Release(context.Background(), e.Owner, describer.ReleasePermit{
			From: s.cfg.Settings.Host, Target: e.Target, Request: e.Request, Number: e.Number,
		})
		if err != nil {
			s.cfg.Logger.Debug("a permit was not returned; it ends by its term", "target", string(e.Target), "error", err)
		}
	}()
}

// AnswerPermit hands the reducer's answer to the waiting call of a peer.
func (s *surroundings) AnswerPermit(e reducer.AnswerPermit) { s.permits.answer(e.Call, e) }

// ShareLoad passes a target's new state on to peers at once.
func (s *surroundings) ShareLoad(e reducer.ShareLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.loads[e.Load.Target]
	if known.Incarnation > e.Load.Incarnation {
		return
	}
	s.loads[e.Load.Target] = exchanger.Load{
		TargetLoad: describer.TargetLoad{
			Target: e.Load.Target, Incarnation: e.Load.Incarnation, Cold: e.Load.Cold,
			Running: int32(e.Load.Running), Queued: int32(e.Load.Queued),
		},
		AsOf: s.clock.Now(),
	}
	s.publishLocked()
}

// Note keeps, counts and traces a step of a request.
func (s *surroundings) Note(n reducer.Note) {
	s.recorder.Note(n)
	s.meter.Note(n)
	s.tracer.Note(n)
}

// Drained reports that no request is left.
func (s *surroundings) Drained() { close(s.drained) }

// observe passes on what the reader learnt, to the reducer and to the peers.
func (s *surroundings) observe(o reader.Observation) {
	switch o := o.(type) {
	case reader.Observed:
		s.observeLoad(o)
	case reader.Unreachable:
		s.post(reducer.TargetUnreachable{Target: o.Target})
	case reader.CacheChanged:
		ev := reducer.CacheObserved{Target: o.Target, Gap: o.Gap}
		for _, change := range o.Events {
			if change.Evicted {
				ev.Evicted = append(ev.Evicted, change.Key)
			} else {
				ev.Stored = append(ev.Stored, change.Key)
			}
		}
		s.post(ev)
	}
}

func (s *surroundings) observeLoad(o reader.Observed) {
	r := o.Report
	s.post(reducer.LoadObserved{
		Target: r.Target, Incarnation: r.Incarnation, Cold: r.Cold,
		Running: r.Running, Queued: r.Queued, QueuedTokens: r.QueuedTokens,
		PrefillTokensPerSecond: r.PrefillTokensPerSecond, Age: s.clock.Since(o.At),
		Loaded: loadedOf(r.Weights),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads[r.Target] = exchanger.Load{
		TargetLoad: describer.TargetLoad{
			Target: r.Target, Incarnation: r.Incarnation, Cold: r.Cold,
			Running: int32(r.Running), Queued: int32(r.Queued), QueuedTokens: int32(r.QueuedTokens),
			PrefillTokensPerSecond: float32(r.PrefillTokensPerSecond), Sequence: o.Sequence,
		},
		AsOf: o.At,
	}
	s.publishLocked()
}

func loadedOf(list []messenger.LoadedWeights) []reducer.Weights {
	loaded := make([]reducer.Weights, 0, len(list))
	for _, w := range list {
		loaded = append(loaded, reducer.Weights{Model: w.Model, Version: w.Version, Adapters: w.Adapters})
	}
	return loaded
}

// publishLocked gives the peers the present state.
func (s *surroundings) publishLocked() {
	names := slices.Sorted(maps.Keys(s.loads))
	state := exchanger.State{ConfigVersion: s.version, Leaving: s.leaving, Membership: s.membership}
	for _, name := range names {
		state.Loads = append(state.Loads, s.loads[name])
	}
	s.peers.Publish(state)
}

func (s *surroundings) setVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.publishLocked()
}

func (s *surroundings) setMembership(m describer.Membership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membership = m
	s.publishLocked()
}

func (s *surroundings) announceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.publishLocked()
}

// release waits until no request is left and gives back the ownerships.
func (s *surroundings) release(ctx context.Context) {
	s.post(reducer.DrainStarted{})
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
	s.giveUpTargets(ctx)
	if err := s.owners.Release(ctx); err != nil {
		s.cfg.Logger.Warn("ownerships were not given back; they end by their term", "error", err)
	}
}
