// Package executor runs the reducer. It applies events one at a time and dispatches
// the resulting effects.
package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindConfig reports a Config that lacks a required field.
	KindConfig Kind = "config"
	// KindStopped reports that the executor has stopped, or that the caller's context
	// ended first.
	KindStopped Kind = "stopped"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// EffectHandler carries out the effects that are not handled by a request's own
// goroutine. Its methods are called from the executor's loop and must not block;
// slow work runs in goroutines that report their results with Executor.Post.
type EffectHandler interface {
	// Export orders an engine to export cache blocks to a store.
	Export(reducer.Export)
	// ReleaseClaim releases the claim of a request that did not run.
	ReleaseClaim(reducer.ReleaseClaim)
	// RecordClaimUnknown records that the outcome of a claimed request is unknown.
	RecordClaimUnknown(reducer.RecordClaimUnknown)
	// Order sends a target the weights that it should have loaded.
	Order(reducer.Order)
	// WantTargets sets the targets that this daemon should own, ReadTargets those
	// whose load it reads, and ExpectIncarnation the only incarnation of a target that
	// connections may reach.
	WantTargets(reducer.WantTargets)
	ReadTargets(reducer.ReadTargets)
	ExpectIncarnation(reducer.ExpectIncarnation)
	// RequestPermit, ReturnPermit and AnswerPermit exchange permits for cold targets
	// with peers; ShareLoad sends peers a changed target load.
	RequestPermit(reducer.RequestPermit)
	ReturnPermit(reducer.ReturnPermit)
	AnswerPermit(reducer.AnswerPermit)
	ShareLoad(reducer.ShareLoad)
	// RequestLink, AnswerLink and ReturnLink exchange time slots on a store's link
	// with peers.
	RequestLink(reducer.RequestLink)
	AnswerLink(reducer.AnswerLink)
	ReturnLink(reducer.ReturnLink)
	// RecordStep records a step of a request for explanations, metrics and traces.
	RecordStep(reducer.RecordStep)
	// Drained is called when no request is left after draining has started.
	Drained()
}

// Config configures an Executor.
type Config struct {
	State         *reducer.State
	Clock         clockwork.Clock
	EffectHandler EffectHandler
	Logger        hclog.Logger
	// TickInterval is the time between Tick events; 0 means DefaultTickInterval.
	TickInterval time.Duration
}

// DefaultTickInterval is the default time between Tick events.
const DefaultTickInterval = 25 * time.Millisecond

// eventQueueSize is the capacity of the event queue. Post blocks when it is full.
const eventQueueSize = 1024

// requestQueueSize is the capacity of each request's effect queue.
const requestQueueSize = 8

// Executor runs one reducer.State. Its methods are safe for concurrent use.
type Executor struct {
	cfg            Config
	inputs         chan input
	done           chan struct{}
	mu             sync.Mutex
	requestEffects map[identifier.Request]chan reducer.Effect
	closeOnce      sync.Once
}

// input is either an event or, if inspect is set, a function that reads the state.
type input struct {
	event   reducer.Event
	inspect func(*reducer.State)
}

// New returns an Executor.
func New(cfg Config) (*Executor, error) {
	if cfg.State == nil || cfg.Clock == nil || cfg.EffectHandler == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new executor", Kind: KindConfig, Err: errors.New("state, clock and effect handler are required")}}
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Executor{
		cfg:            cfg,
		inputs:         make(chan input, eventQueueSize),
		done:           make(chan struct{}),
		requestEffects: map[identifier.Request]chan reducer.Effect{},
	}, nil
}

// Post queues an event for the reducer. Events are dropped after Run has ended.
func (e *Executor) Post(ev reducer.Event) {
	select {
	case e.inputs <- input{event: ev}:
	case <-e.done:
	}
}

// Inspect calls f with the state between two events and waits for it to return.
func (e *Executor) Inspect(ctx context.Context, f func(*reducer.State)) error {
	done := make(chan struct{})
	run := func(s *reducer.State) {
		f(s)
		close(done)
	}
	select {
	case e.inputs <- input{inspect: run}:
	case <-ctx.Done():
		return newStoppedError("inspect", ctx.Err())
	case <-e.done:
		return newStoppedError("inspect", nil)
	}
	select {
	case <-done:
		return nil
	case <-e.done:
		return newStoppedError("inspect", nil)
	}
}

// newStoppedError returns an Error of KindStopped.
func newStoppedError(op string, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: KindStopped, Err: err}}
}

// Register returns the channel on which a request's effects are delivered. The
// request's goroutine must carry them out in order.
func (e *Executor) Register(id identifier.Request) <-chan reducer.Effect {
	ch := make(chan reducer.Effect, requestQueueSize)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestEffects[id] = ch
	return ch
}

// Unregister stops the delivery of effects to a request.
func (e *Executor) Unregister(id identifier.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.requestEffects, id)
}

// Done returns a channel that is closed when Run has ended.
func (e *Executor) Done() <-chan struct{} { return e.done }

// Run applies events and ticks until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	defer e.closeOnce.Do(func() { close(e.done) })
	ticker := e.cfg.Clock.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-e.inputs:
			e.process(in)
		case <-ticker.Chan():
			e.process(input{event: reducer.Tick{}})
		}
	}
}

// process runs an inspection, or applies an event and dispatches its effects.
func (e *Executor) process(in input) {
	if in.inspect != nil {
		in.inspect(e.cfg.State)
		return
	}
	for _, effect := range e.cfg.State.Reduce(in.event, e.cfg.Clock.Now()) {
		e.dispatch(effect)
	}
}

// dispatch delivers an effect to its request's goroutine, or to the EffectHandler if
// no request's goroutine handles this kind of effect.
func (e *Executor) dispatch(effect reducer.Effect) {
	switch effect := effect.(type) {
	case reducer.Refuse:
		e.deliver(effect.Request, effect)
	case reducer.Lookup:
		e.deliver(effect.Request, effect)
	case reducer.Import:
		e.deliver(effect.Request, effect)
	case reducer.Start:
		e.deliver(effect.Attempt.Request, effect)
	case reducer.Finish:
		e.deliver(effect.Request, effect)
	case reducer.Claim:
		e.deliver(effect.Request, effect)
	case reducer.RecordAnswer:
		e.deliver(effect.Request, effect)
	case reducer.Replay:
		e.deliver(effect.Request, effect)
	default:
		e.dispatchToHandler(effect)
	}
}

func (e *Executor) dispatchToHandler(effect reducer.Effect) {
	handler := e.cfg.EffectHandler
	switch effect := effect.(type) {
	case reducer.Export:
		handler.Export(effect)
	case reducer.ReleaseClaim:
		handler.ReleaseClaim(effect)
	case reducer.RecordClaimUnknown:
		handler.RecordClaimUnknown(effect)
	case reducer.Order:
		handler.Order(effect)
	case reducer.WantTargets:
		handler.WantTargets(effect)
	case reducer.ReadTargets:
		handler.ReadTargets(effect)
	case reducer.ExpectIncarnation:
		handler.ExpectIncarnation(effect)
	case reducer.RequestPermit:
		handler.RequestPermit(effect)
	case reducer.ReturnPermit:
		handler.ReturnPermit(effect)
	case reducer.AnswerPermit:
		handler.AnswerPermit(effect)
	case reducer.ShareLoad:
		handler.ShareLoad(effect)
	case reducer.RequestLink:
		handler.RequestLink(effect)
	case reducer.AnswerLink:
		handler.AnswerLink(effect)
	case reducer.ReturnLink:
		handler.ReturnLink(effect)
	case reducer.RecordStep:
		handler.RecordStep(effect)
	case reducer.Drained:
		handler.Drained()
	}
}

// deliver queues an effect for its request's goroutine without blocking. A request
// has only a few effects outstanding, so a full queue means that its goroutine no
// longer receives.
func (e *Executor) deliver(id identifier.Request, effect reducer.Effect) {
	e.mu.Lock()
	ch := e.requestEffects[id]
	e.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- effect:
	default:
		e.cfg.Logger.Error("effect dropped: queue of the request is full", "request-id", string(id))
	}
}
