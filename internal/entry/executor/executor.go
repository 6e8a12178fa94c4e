// Package executor runs the reducer: it feeds events in one after another and
// carries out the effects.
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
	// KindConfig reports a missing part of a Config.
	KindConfig Kind = "config"
	// KindStopped reports that the executor no longer runs.
	KindStopped Kind = "stopped"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Surroundings carries out the effects that concern no single request. Its
// methods must not block; slow work goes into goroutines that report back
// through Post.
type Surroundings interface {
	// Export orders an export.
	Export(reducer.Export)
	// ReleaseClaim gives back a claim whose request has left.
	ReleaseClaim(reducer.ReleaseClaim)
	// ForgetClaim notes that the outcome of a claimed request is not known.
	ForgetClaim(reducer.ForgetClaim)
	// Order orders a target to load weights.
	Order(reducer.Order)
	// WantTargets, ReadTargets and Believe set up the work on targets.
	WantTargets(reducer.WantTargets)
	ReadTargets(reducer.ReadTargets)
	Believe(reducer.Believe)
	// AskPermit, ReturnPermit, AnswerPermit and ShareLoad talk to peers.
	AskPermit(reducer.AskPermit)
	ReturnPermit(reducer.ReturnPermit)
	AnswerPermit(reducer.AnswerPermit)
	ShareLoad(reducer.ShareLoad)
	// AskLink, AnswerLink and ReturnLink talk to link keepers.
	AskLink(reducer.AskLink)
	AnswerLink(reducer.AnswerLink)
	ReturnLink(reducer.ReturnLink)
	// Note records a step of a request.
	Note(reducer.Note)
	// Drained reports that no request is left.
	Drained()
}

// Config configures an Executor.
type Config struct {
	State        *reducer.State
	Clock        clockwork.Clock
	Surroundings Surroundings
	Logger       hclog.Logger
	// TickInterval is the time between two Tick events.
	TickInterval time.Duration
}

// DefaultTickInterval is the time between two Tick events.
const DefaultTickInterval = 25 * time.Millisecond

// eventQueue is the number of events that may wait for the reducer.
const eventQueue = 1024

// callEffects is the number of effects that may wait for one request.
const callEffects = 8

// Executor runs one State. Post may be called from any goroutine.
type Executor struct {
	cfg    Config
	inbox  chan input
	ended  chan struct{}
	mu     sync.Mutex
	calls  map[identifier.Request]chan reducer.Effect
	closed sync.Once
}

// input is either an event or a function to run beside the reducer.
type input struct {
	event   reducer.Event
	inspect func(*reducer.State)
}

// New returns an Executor.
func New(cfg Config) (*Executor, error) {
	if cfg.State == nil || cfg.Clock == nil || cfg.Surroundings == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new executor", Kind: KindConfig, Err: errors.New("state, clock and surroundings are needed")}}
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = DefaultTickInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Executor{
		cfg:   cfg,
		inbox: make(chan input, eventQueue),
		ended: make(chan struct{}),
		calls: map[identifier.Request]chan reducer.Effect{},
	}, nil
}

// Post hands an event to the reducer. After Run has ended, events are dropped.
func (e *Executor) Post(ev reducer.Event) {
	select {
	case e.inbox <- input{event: ev}:
	case <-e.ended:
	}
}

// Inspect runs f with the state, between two events, and waits for it.
func (e *Executor) Inspect(ctx context.Context, f func(*reducer.State)) error {
	done := make(chan struct{})
	run := func(s *reducer.State) {
		f(s)
		close(done)
	}
	select {
	case e.inbox <- input{inspect: run}:
	case <-ctx.Done():
		return stopped("inspect", ctx.Err())
	case <-e.ended:
		return stopped("inspect", nil)
	}
	select {
	case <-done:
		return nil
	case <-e.ended:
		return stopped("inspect", nil)
	}
}

func stopped(op string, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: KindStopped, Err: err}}
}

// Register returns the channel of the effects that concern one request. The
// request's goroutine carries them out, one after another.
func (e *Executor) Register(id identifier.Request) <-chan reducer.Effect {
	ch := make(chan reducer.Effect, callEffects)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[id] = ch
	return ch
}

// Unregister ends the delivery of effects to a request.
func (e *Executor) Unregister(id identifier.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.calls, id)
}

// Ended is closed when Run has ended.
func (e *Executor) Ended() <-chan struct{} { return e.ended }

// Run feeds events to the reducer until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	defer e.closed.Do(func() { close(e.ended) })
	ticker := e.cfg.Clock.NewTicker(e.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-e.inbox:
			e.take(in)
		case <-ticker.Chan():
			e.take(input{event: reducer.Tick{}})
		}
	}
}

func (e *Executor) take(in input) {
	if in.inspect != nil {
		in.inspect(e.cfg.State)
		return
	}
	for _, effect := range e.cfg.State.Reduce(in.event, e.cfg.Clock.Now()) {
		e.perform(effect)
	}
}

// perform carries out an effect or hands it to the goroutine of its request.
func (e *Executor) perform(effect reducer.Effect) {
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
		e.performAround(effect)
	}
}

func (e *Executor) performAround(effect reducer.Effect) {
	around := e.cfg.Surroundings
	switch effect := effect.(type) {
	case reducer.Export:
		around.Export(effect)
	case reducer.ReleaseClaim:
		around.ReleaseClaim(effect)
	case reducer.ForgetClaim:
		around.ForgetClaim(effect)
	case reducer.Order:
		around.Order(effect)
	case reducer.WantTargets:
		around.WantTargets(effect)
	case reducer.ReadTargets:
		around.ReadTargets(effect)
	case reducer.Believe:
		around.Believe(effect)
	case reducer.AskPermit:
		around.AskPermit(effect)
	case reducer.ReturnPermit:
		around.ReturnPermit(effect)
	case reducer.AnswerPermit:
		around.AnswerPermit(effect)
	case reducer.ShareLoad:
		around.ShareLoad(effect)
	case reducer.AskLink:
		around.AskLink(effect)
	case reducer.AnswerLink:
		around.AnswerLink(effect)
	case reducer.ReturnLink:
		around.ReturnLink(effect)
	case reducer.Note:
		around.Note(effect)
	case reducer.Drained:
		around.Drained()
	}
}

// deliver hands an effect to its request's goroutine. A request has at most a
// few effects outstanding; a full channel means that its goroutine is lost.
func (e *Executor) deliver(id identifier.Request, effect reducer.Effect) {
	e.mu.Lock()
	ch := e.calls[id]
	e.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- effect:
	default:
		e.cfg.Logger.Error("effects of a request are not taken", "request-id", string(id))
	}
}
