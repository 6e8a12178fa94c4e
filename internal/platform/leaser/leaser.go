// Package leaser renews the session of one daemon on the platform and acquires and
// releases its targets there. It executes the decisions of package holder.
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

// Key prefixes of the records of sessions and owners.
const (
	SessionPrefix = "session/"
	OwnerPrefix   = "owner/"
)

// Defaults of Config.
const (
	DefaultTerm   = 10 * time.Second
	DefaultMargin = 2 * time.Second
)

// jitterShare is the share by which delays are shortened at random.
const jitterShare = 0.1

// Event reports a change of ownership: Gained or Lost.
type Event interface{ isEvent() }

// Gained reports that this daemon has owned Target since Since.
type Gained struct {
	Target identifier.Target
	// Fence is the fencing token for orders.
	Fence uint64
	Since time.Time
	// Created is true when no earlier owner can have left the target in use.
	Created bool
}

// Lost reports that this daemon has not owned Target since Since.
type Lost struct {
	Target identifier.Target
	Fence  uint64
	Since  time.Time
}

func (Gained) isEvent() {}
func (Lost) isEvent()   {}

// Config configures a Leaser.
type Config struct {
	Store      client.ObjectStore
	Host       identifier.Host
	DataCentre identifier.DataCentre
	Clock      clockwork.Clock
	// Term is how long a session lasts without a renewal. All daemons must use the
	// same term. 0 means DefaultTerm.
	Term time.Duration
	// Margin is how long before the session's end the daemon stops using it. 0
	// means DefaultMargin.
	Margin time.Duration
	// MaxUse is how long the requests that an owner admitted may run after another
	// daemon has taken its target over.
	MaxUse time.Duration
	// Rand is the source of tokens and jitter. Its seed must differ between processes.
	Rand   *rand.Rand
	Logger hclog.Logger
	// Notify receives changes of ownership one at a time. It must not call the Leaser.
	Notify func(Event)
}

// Leaser renews the session of one daemon and owns targets under it.
type Leaser struct {
	cfg Config

	mu    sync.Mutex
	state *holder.State
	// queue holds the events for Run, which receives from queueReady while it is
	// not empty.
	queue      []holder.Event
	queueReady chan struct{}
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
		cfg:        cfg,
		queueReady: make(chan struct{}, 1),
		state: holder.New(holder.Config{
			Host: cfg.Host, DataCentre: cfg.DataCentre, Nonce: client.NewJitter(cfg.Rand).Token(),
			Term: cfg.Term, Margin: cfg.Margin, TakeoverDelay: cfg.Term, MaxUse: cfg.MaxUse, Jitter: jitterShare, Rand: cfg.Rand,
		}),
	}, nil
}

func validate(cfg Config) error {
	switch {
	case cfg.Store == nil || cfg.Clock == nil || cfg.Rand == nil || cfg.Notify == nil:
		return errors.New("store, clock, rand or notify is not set")
	case cfg.Host == "":
		return errors.New("host is not set")
	case cfg.MaxUse <= 0:
		return errors.New("the longest use is not set")
	case cfg.Margin >= cfg.Term/2:
		return errors.Newf("margin %v must be less than half of the term %v", cfg.Margin, cfg.Term)
	}
	return nil
}

// SetWanted replaces the set of targets that this daemon should own. Run acquires
// them and releases all others.
func (l *Leaser) SetWanted(targets []identifier.Target) {
	l.enqueue(holder.Wanted{Targets: append([]identifier.Target{}, targets...)})
}

// Held returns the fencing token of t and the time until which this daemon may
// use it, and whether it may use it now.
func (l *Leaser) Held(t identifier.Target) (fence uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Held(t, l.cfg.Clock.Now())
}

// Release stops using all targets at once, waits for the margin and deletes the
// session, so that other daemons need not wait for the term. The Leaser does
// nothing after it. If the context ends or the platform fails, Release returns
// the error and the session ends with its term.
func (l *Leaser) Release(ctx context.Context) error {
	for _, e := range l.reduce(holder.StopRequested{}) {
		if e, ok := e.(holder.DeleteSession); ok {
			return l.deleteSession(ctx, e)
		}
	}
	return nil
}

func (l *Leaser) deleteSession(ctx context.Context, e holder.DeleteSession) error {
	if err := client.Sleep(ctx, l.cfg.Clock, e.NotBefore.Sub(l.cfg.Clock.Now())); err != nil {
		return err
	}
	return l.cfg.Store.Delete(ctx, sessionKey(e.Host), e.Expect)
}

// Run renews the session and acquires and releases targets until ctx ends, and
// returns the error of ctx.
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
		case <-l.queueReady:
			ev = l.dequeue()
		}
		if ev == nil {
			continue
		}
		for _, e := range l.reduce(ev) {
			l.execute(ctx, &calls, timer, e)
		}
	}
}

// reduce applies ev and calls Notify for changes of ownership in order. It
// returns the effects to execute.
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

func (l *Leaser) enqueue(ev holder.Event) {
	l.mu.Lock()
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	l.signalQueue()
}

func (l *Leaser) signalQueue() {
	select {
	case l.queueReady <- struct{}{}:
	default:
	}
}

// dequeue returns the next waiting event, or nil.
func (l *Leaser) dequeue() holder.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	ev := l.queue[0]
	l.queue = l.queue[1:]
	if len(l.queue) > 0 {
		l.signalQueue()
	}
	return ev
}

// execute sets the timer or starts a call to the platform in a goroutine, which
// enqueues the result as an event.
func (l *Leaser) execute(ctx context.Context, calls *sync.WaitGroup, timer clockwork.Timer, e holder.Effect) {
	if wake, ok := e.(holder.SetTimer); ok {
		timer.Reset(wake.Time.Sub(l.cfg.Clock.Now()))
		return
	}
	call := l.platformCall(e)
	if call == nil {
		return
	}
	calls.Add(1)
	go func() {
		defer calls.Done()
		l.enqueue(call(ctx))
	}()
}

// platformCall returns the call to the platform for e, or nil if there is none.
func (l *Leaser) platformCall(e holder.Effect) func(context.Context) holder.Event {
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
	return holder.OwnerWritten{Target: e.Target, Outcome: l.writeOutcome(err)}
}

// read decodes the record under key into v. A record that cannot be decoded counts
// as a failed read.
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
	return o.Version, l.writeOutcome(err)
}

func (l *Leaser) writeOutcome(err error) holder.Outcome {
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
