// Package leaser runs the session and the ownerships of one daemon on the
// platform. The decisions are made by the holder package.
package leaser

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/holder"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports an incomplete configuration.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Prefixes of the keys of sessions and owners.
const (
	SessionPrefix = "session/"
	OwnerPrefix   = "owner/"
)

// Defaults of Config.
const (
	DefaultTerm   = 10 * time.Second
	DefaultMargin = 2 * time.Second
)

// jitterShare is the share by which pauses are shortened at random.
const jitterShare = 0.1

// Event reports a change of ownership: Gained or Lost.
type Event interface{ event() }

// Gained reports that this daemon owns Target since Since.
type Gained struct {
	Target identifier.Target
	// Fence is the fencing number for orders.
	Fence uint64
	Since time.Time
	// Created is true when no earlier owner can have left the target in use.
	Created bool
}

// Lost reports that this daemon does not own Target any more since Since.
type Lost struct {
	Target identifier.Target
	Fence  uint64
	Since  time.Time
}

func (Gained) event() {}
func (Lost) event()   {}

// Config configures a Leaser.
type Config struct {
	Store      client.ObjectStore
	Host       identifier.Host
	DataCentre identifier.DataCentre
	Clock      clockwork.Clock
	// Term is how long a session lasts without a renewal; it is the same for
	// all daemons. 0 means DefaultTerm.
	Term time.Duration
	// Margin is how much earlier the holder stops; 0 means DefaultMargin.
	Margin time.Duration
	// Rand makes tokens and jitter; its seed differs in each process.
	Rand   *rand.Rand
	Logger hclog.Logger
	// Notify takes changes of ownership one at a time. It may not call the Leaser.
	Notify func(Event)
}

// Leaser holds the session and ownerships of one daemon.
type Leaser struct {
	cfg Config

	mu    sync.Mutex
	state *holder.State
	// queue holds the events that wait for Run.
	queue  []holder.Event
	queued chan struct{}
}

// New returns a Leaser, or an Error of KindInvalid.
func New(cfg Config) (*Leaser, error) {
	if cfg.Term <= 0 {
		cfg.Term = DefaultTerm
	}
	if cfg.Margin <= 0 {
		cfg.Margin = DefaultMargin
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if err := validate(cfg); err != nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new leaser", Kind: KindInvalid, Err: err}}
	}
	return &Leaser{
		cfg:    cfg,
		queued: make(chan struct{}, 1),
		state: holder.New(holder.Config{
			Host: cfg.Host, DataCentre: cfg.DataCentre, Nonce: client.NewJitter(cfg.Rand).Token(),
			Term: cfg.Term, Margin: cfg.Margin, TakeoverDelay: cfg.Term, Jitter: jitterShare, Rand: cfg.Rand,
		}),
	}, nil
}

func validate(cfg Config) error {
	switch {
	case cfg.Store == nil || cfg.Clock == nil || cfg.Rand == nil || cfg.Notify == nil:
		return errors.New("store, clock, source of randomness or notify is not set")
	case cfg.Host == "":
		return errors.New("host is not set")
	case cfg.Margin >= cfg.Term/2:
		return errors.Newf("margin %v is not under half of the term %v", cfg.Margin, cfg.Term)
	}
	return nil
}

// Want replaces the set of targets that this daemon should own. It acquires
// and keeps them and gives up all others.
func (l *Leaser) Want(targets []identifier.Target) {
	l.push(holder.Wanted{Targets: append([]identifier.Target{}, targets...)})
}

// Held returns the fencing number of t and the time until which it may be
// used, and whether it may be used now.
func (l *Leaser) Held(t identifier.Target) (fence uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Held(t, l.cfg.Clock.Now())
}

// Release gives up all targets at once, waits for the margin and ends the
// session, so that others need not wait for the term. The Leaser does nothing
// after it. It returns the error of the context or the platform; the session
// then ends with its term.
func (l *Leaser) Release(ctx context.Context) error {
	for _, e := range l.reduce(holder.StopRequested{}) {
		if e, ok := e.(holder.DeleteSession); ok {
			return l.endSession(ctx, e)
		}
	}
	return nil
}

func (l *Leaser) endSession(ctx context.Context, e holder.DeleteSession) error {
	if err := client.Sleep(ctx, l.cfg.Clock, e.NotBefore.Sub(l.cfg.Clock.Now())); err != nil {
		return err
	}
	return l.cfg.Store.Delete(ctx, sessionKey(e.Host), e.Expect)
}

// Run holds the session and the wanted targets until ctx ends. It returns the
// context's error.
func (l *Leaser) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := l.cfg.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		var ev holder.Event = holder.TimerFired{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
		case <-l.queued:
			ev = l.pop()
		}
		if ev == nil {
			continue
		}
		for _, e := range l.reduce(ev) {
			l.execute(ctx, &calls, timer, e)
		}
	}
}

// reduce applies ev and reports changes of ownership in order.
func (l *Leaser) reduce(ev holder.Event) []holder.Effect {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	effects := l.state.Reduce(ev, now)
	for _, e := range effects {
		switch e := e.(type) {
		case holder.Gained:
			l.cfg.Notify(Gained{Target: e.Target, Fence: e.Fence, Since: now, Created: e.Created})
		case holder.Lost:
			l.cfg.Notify(Lost{Target: e.Target, Fence: e.Fence, Since: now})
		}
	}
	return effects
}

func (l *Leaser) push(ev holder.Event) {
	l.mu.Lock()
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	l.signal()
}

func (l *Leaser) signal() {
	select {
	case l.queued <- struct{}{}:
	default:
	}
}

// pop returns the next waiting event, or nil.
func (l *Leaser) pop() holder.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	ev := l.queue[0]
	l.queue = l.queue[1:]
	if len(l.queue) > 0 {
		l.signal()
	}
	return ev
}

// execute runs one effect. Calls of the platform run beside the loop and hand
// their results back as events.
func (l *Leaser) execute(ctx context.Context, calls *sync.WaitGroup, timer clockwork.Timer, e holder.Effect) {
	if wake, ok := e.(holder.SetTimer); ok {
		timer.Reset(wake.Time.Sub(l.cfg.Clock.Now()))
		return
	}
	call := l.callOf(e)
	if call == nil {
		return
	}
	calls.Add(1)
	go func() {
		defer calls.Done()
		l.push(call(ctx))
	}()
}

// callOf returns the call of the platform that e asks for, or nil.
func (l *Leaser) callOf(e holder.Effect) func(context.Context) holder.Event {
	switch e := e.(type) {
	case holder.ReadSession:
		return func(ctx context.Context) holder.Event { return l.readSession(ctx, e) }
	case holder.WriteSession:
		return func(ctx context.Context) holder.Event { return l.writeSession(ctx, e) }
	case holder.ReadOwner:
		return func(ctx context.Context) holder.Event { return l.readOwner(ctx, e) }
	case holder.WriteOwner:
		return func(ctx context.Context) holder.Event { return l.writeOwner(ctx, e) }
	case holder.DeleteOwner:
		return func(ctx context.Context) holder.Event { return l.deleteOwner(ctx, e) }
	default:
		return nil
	}
}

func sessionKey(host identifier.Host) string { return SessionPrefix + string(host) }

func ownerKey(t identifier.Target) string { return OwnerPrefix + string(t) }

func (l *Leaser) readSession(ctx context.Context, e holder.ReadSession) holder.Event {
	var session holder.Session
	version, outcome := l.read(ctx, sessionKey(e.Host), &session)
	return holder.SessionRead{Host: e.Host, Outcome: outcome, Version: version, Session: session}
}

func (l *Leaser) writeSession(ctx context.Context, e holder.WriteSession) holder.Event {
	version, outcome := l.write(ctx, sessionKey(e.Host), e.Session, e.Expect)
	return holder.SessionWritten{Host: e.Host, Outcome: outcome, Version: version}
}

func (l *Leaser) readOwner(ctx context.Context, e holder.ReadOwner) holder.Event {
	var owner holder.Owner
	version, outcome := l.read(ctx, ownerKey(e.Target), &owner)
	return holder.OwnerRead{Target: e.Target, Outcome: outcome, Version: version, Owner: owner}
}

func (l *Leaser) writeOwner(ctx context.Context, e holder.WriteOwner) holder.Event {
	version, outcome := l.write(ctx, ownerKey(e.Target), e.Owner, e.Expect)
	return holder.OwnerWritten{Target: e.Target, Outcome: outcome, Version: version}
}

func (l *Leaser) deleteOwner(ctx context.Context, e holder.DeleteOwner) holder.Event {
	err := l.cfg.Store.Delete(ctx, ownerKey(e.Target), e.Expect)
	return holder.OwnerWritten{Target: e.Target, Outcome: l.outcomeOf(err)}
}

// read reads the record under key into v. A damaged record counts as a failed read.
func (l *Leaser) read(ctx context.Context, key string, v any) (uint64, holder.Outcome) {
	o, err := l.cfg.Store.Get(ctx, key)
	if client.IsKind(err, client.KindNotFound) {
		return 0, holder.OutcomeMissing
	}
	if err == nil {
		err = json.Unmarshal(o.Value, v)
	}
	if err != nil {
		l.cfg.Logger.Debug("read failed", "key", key, "err", err)
		return 0, holder.OutcomeFailed
	}
	return o.Version, holder.OutcomeOK
}

func (l *Leaser) write(ctx context.Context, key string, v any, expect uint64) (uint64, holder.Outcome) {
	value, err := json.Marshal(v)
	if err != nil {
		l.cfg.Logger.Error("record cannot be encoded", "key", key, "err", err)
		return 0, holder.OutcomeFailed
	}
	o, err := l.cfg.Store.Put(ctx, key, value, expect)
	return o.Version, l.outcomeOf(err)
}

func (l *Leaser) outcomeOf(err error) holder.Outcome {
	if err != nil {
		l.cfg.Logger.Debug("write failed", "err", err)
	}
	switch client.KindOf(err) {
	case "":
		return holder.OutcomeOK
	case client.KindConflict, client.KindNotFound:
		return holder.OutcomeConflict
	case client.KindUnknown:
		return holder.OutcomeUnknown
	default:
		return holder.OutcomeFailed
	}
}
