// Package reader periodically reads the load reports and cache events of targets.
// Targets that several daemons share are assigned to one of them by rendezvous
// hashing.
package reader

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/core/jitterer"
	"cardamomscale.example/cardamomscale/internal/decision/placer"
)

// Defaults of Config.
const (
	DefaultLoadInterval  = 250 * time.Millisecond
	DefaultEventInterval = time.Second
	DefaultTimeout       = 500 * time.Millisecond
)

const (
	// intervalJitter is the fraction by which intervals vary.
	intervalJitter = 0.2
	// maxBackoff limits the back-off of reads of a failing target. It is short so
	// that a target which restarts is detected soon, since it is cold.
	maxBackoff = 2 * time.Second
	// maxBufferedBytes bounds the responses that are being read, beyond the first part of each.
	maxBufferedBytes = 64 << 20
)

// Config configures a Reader. Self, Clock, Dial and OnObservation are required.
type Config struct {
	Self  identifier.Host
	Clock clockwork.Clock
	// Dial connects to a target.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// OnObservation is called with the result of each read. Calls are concurrent,
	// but in order for each target's load and for each target's events.
	OnObservation func(observation Observation)
	Logger        hclog.Logger
	// Seed seeds the jitter.
	Seed uint64
	// LoadInterval and EventInterval are the times between reads; Timeout limits each read.
	LoadInterval  time.Duration
	EventInterval time.Duration
	Timeout       time.Duration
}

// withDefaults returns cfg with zero values replaced by defaults, or an Error of KindInvalid.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Self == "" || cfg.Clock == nil || cfg.Dial == nil || cfg.OnObservation == nil {
		err := errors.New("self, clock, dial and observation callback are required")
		return cfg, newError("new reader", KindInvalid, err)
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.LoadInterval == 0 {
		cfg.LoadInterval = DefaultLoadInterval
	}
	if cfg.EventInterval == 0 {
		cfg.EventInterval = DefaultEventInterval
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return cfg, nil
}

// Assignment describes a target to read.
type Assignment struct {
	Target  identifier.Target
	Address netip.AddrPort
	// Events is true for engines, which publish cache events.
	Events bool
}

// Reader reads the targets assigned to this daemon.
type Reader struct {
	cfg    Config
	jitter *jitterer.Jitterer
	// buffers bounds the memory for responses that are being read.
	buffers *bounder.Budget
	// changed signals Run that targets or readers changed.
	changed chan struct{}

	mu      sync.Mutex
	targets []Assignment
	readers []identifier.Host
}

// New returns a Reader, or an Error of KindInvalid.
func New(cfg Config) (*Reader, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Reader{
		cfg:     cfg,
		jitter:  jitterer.New(cfg.Seed),
		buffers: bounder.NewBudget(maxBufferedBytes),
		changed: make(chan struct{}, 1),
	}, nil
}

// SetTargets sets the targets that this daemon shares with those of SetReaders.
func (r *Reader) SetTargets(targets []Assignment) {
	r.mu.Lock()
	r.targets = slices.Clone(targets)
	r.mu.Unlock()
	r.notify()
}

// SetReaders sets the daemons that share the targets. This daemon is always
// included, and reads all targets if there is no other.
func (r *Reader) SetReaders(readers []identifier.Host) {
	r.mu.Lock()
	r.readers = slices.Clone(readers)
	r.mu.Unlock()
	r.notify()
}

func (r *Reader) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// AssignedTargets returns the targets assigned to this daemon.
func (r *Reader) AssignedTargets() []Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	readers := placer.New(append(slices.Clone(r.readers), r.cfg.Self))
	var assigned []Assignment
	for _, a := range r.targets {
		if owner, _ := readers.Owner(placer.KeyOf(a.Target)); owner == r.cfg.Self {
			assigned = append(assigned, a)
		}
	}
	return assigned
}

// Run reads the assigned targets until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := make(map[Assignment]context.CancelFunc)
	for {
		r.updatePollers(ctx, running, &loops)
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		}
	}
}

// updatePollers starts and stops pollers to match the assigned targets.
func (r *Reader) updatePollers(ctx context.Context, running map[Assignment]context.CancelFunc, loops *sync.WaitGroup) {
	assigned := r.AssignedTargets()
	for a, stop := range running {
		if !slices.Contains(assigned, a) {
			stop()
			delete(running, a)
		}
	}
	for _, a := range assigned {
		if running[a] != nil {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		running[a] = stop
		poller := newTargetPoller(r, a)
		loops.Go(func() { poller.run(loopCtx) })
	}
}
