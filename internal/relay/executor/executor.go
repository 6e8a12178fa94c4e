// Package executor serialises events for the reducer and distributes its effects.
package executor

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/meter"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
)

// logRounding is the precision of durations in the log.
const logRounding = 100 * time.Microsecond

// effectQueueSize bounds the queued effects. It is far more than one event causes.
const effectQueueSize = 1024

// Config configures an Executor.
type Config struct {
	State  *decider.State
	Clock  timer.Clock
	Logger hclog.Logger
	Meter  *meter.Meter
}

// Executor serialises events. It is safe for concurrent use.
type Executor struct {
	cfg Config
	mu  sync.Mutex
	// effects is the queue of effects that belong to no request.
	effects chan decider.Effect
	// waiting maps the numbers of requests that wait for a decision to where it is delivered.
	waiting map[int64]chan decider.Effect
}

// New returns an Executor for the reducer's state.
func New(cfg Config) *Executor {
	return &Executor{cfg: cfg, effects: make(chan decider.Effect, effectQueueSize), waiting: map[int64]chan decider.Effect{}}
}

// Effects returns the queue of effects that belong to no request, for execution.
func (e *Executor) Effects() <-chan decider.Effect { return e.effects }

// Post reduces an event and returns the effect on the event's own request, which is a
// Send, a Wait, a Refuse, a DeliverErrorResponse or nil. It delivers the effects on waiting
// requests to Await, logs log entries and queues all other effects.
func (e *Executor) Post(ev decider.Event) decider.Effect {
	e.mu.Lock()
	effects := e.cfg.State.Reduce(ev, e.cfg.Clock.Now())
	requestEffect := e.deliver(effects)
	e.mu.Unlock()
	e.cfg.Meter.CountEvent(ev)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case decider.Send, decider.Wait, decider.Refuse, decider.DeliverErrorResponse:
		case decider.LogEntry:
			e.log(effect)
		default:
			e.enqueue(effect)
		}
		e.cfg.Meter.CountEffect(effect)
	}
	return requestEffect
}

// deliver delivers the effects on waiting requests, and returns that on the event's own request; mu must
// be held.
func (e *Executor) deliver(effects []decider.Effect) decider.Effect {
	var own decider.Effect
	for _, effect := range effects {
		var number int64
		switch effect := effect.(type) {
		case decider.Send:
			number = effect.Number
		case decider.Refuse:
			number = effect.Number
		case decider.DeliverErrorResponse:
			number = effect.Number
		case decider.Wait:
			if e.waiting[effect.Number] == nil { // Otherwise it goes on waiting.
				e.waiting[effect.Number] = make(chan decider.Effect, 1)
				own = effect
			}
			continue
		default:
			continue
		}
		if decision := e.waiting[number]; decision != nil {
			decision <- effect
			continue
		}
		own = effect
	}
	return own
}

// Await returns the effect on a request for which Post returned a Wait, or nil if ctx ends before.
func (e *Executor) Await(ctx context.Context, number int64) decider.Effect {
	e.mu.Lock()
	decision := e.waiting[number]
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.waiting, number)
	}()
	select {
	case effect := <-decision:
		return effect
	case <-ctx.Done():
		return nil
	}
}

func (e *Executor) log(entry decider.LogEntry) {
	fields := make([]any, 0, len(entry.Fields)+2)
	if entry.Request != "" {
		fields = append(fields, "request-id", entry.Request)
	}
	for _, field := range entry.Fields {
		if d, ok := field.(time.Duration); ok {
			field = d.Round(logRounding).String()
		}
		fields = append(fields, field)
	}
	e.cfg.Logger.Info(entry.Event, fields...)
}

// enqueue never blocks. If the queue is full, it drops the effect, which a later tick
// of the reducer repeats.
func (e *Executor) enqueue(effect decider.Effect) {
	select {
	case e.effects <- effect:
	default:
		e.cfg.Logger.Warn("effect dropped, queue is full")
	}
}

// Ready reports whether the host can serve callers.
func (e *Executor) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.Ready()
}

// Quarantined returns the numbers of parts and of whole requests in quarantine.
func (e *Executor) Quarantined() (parts, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.Quarantined()
}

// LimitedTargets returns the number of targets that have named a limit.
func (e *Executor) LimitedTargets() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.LimitedTargets()
}

// Costs describes what is learned of the costs of requests.
func (e *Executor) Costs() decider.CostStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.Costs()
}

// RolloutShares returns the share of requests that this host sends to the new version, by service with an order.
func (e *Executor) RolloutShares() map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.RolloutShares()
}

// Stores returns the addresses of the stores.
func (e *Executor) Stores() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.Stores()
}

// WatchesPlatform reports whether this host watches the platform itself.
func (e *Executor) WatchesPlatform() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.WatchesPlatform()
}

// PlatformUpdateReceivers returns the hosts to which this host forwards changes of the
// platform's objects.
func (e *Executor) PlatformUpdateReceivers() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.PlatformUpdateReceivers()
}

// FollowsStore reports whether this host polls a store for changes itself.
func (e *Executor) FollowsStore(store netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.FollowsStore(store)
}

// Limits returns the limits for requests, or nil before the first configuration.
func (e *Executor) Limits() *descriptor.Limits {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cfg.State.Limits()
}
