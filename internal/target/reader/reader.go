// Package reader reads the load reports and cache events of those targets
// whose reader this daemon is, so that each target is read by one daemon of
// its data centre.
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
	// intervalJitter is the share by which intervals vary.
	intervalJitter = 0.2
	// maxBackoff bounds the wait between reads of a failing target. It stays
	// short, since a target that returns is cold and must be found.
	maxBackoff = 2 * time.Second
)

// Config configures a Reader. Self, Clock, Dial and OnObservation are required.
type Config struct {
	Self  identifier.Host
	Clock clockwork.Clock
	// Dial connects to a target.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// OnObservation takes what is learnt. It is called from many goroutines,
	// and in order for each target's load and for each target's events.
	OnObservation func(observation Observation)
	Logger        hclog.Logger
	// Seed seeds the jitter.
	Seed uint64
	// LoadInterval and EventInterval are the times between reads; Timeout bounds each read.
	LoadInterval  time.Duration
	EventInterval time.Duration
	Timeout       time.Duration
}

// withDefaults returns cfg with defaults in place of zeros, or an Error of KindInvalid.
func (cfg Config) withDefaults() (Config, error) {
	if cfg.Self == "" || cfg.Clock == nil || cfg.Dial == nil || cfg.OnObservation == nil {
		err := errors.New("self, clock, dial and on-observation are required")
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

// Assignment is a target of the daemon's data centre.
type Assignment struct {
	Target  identifier.Target
	Address netip.AddrPort
	// Events is true for engines, which publish cache events.
	Events bool
}

// Reader reads its share of the targets.
type Reader struct {
	cfg    Config
	jitter *jitterer.Jitterer
	// changed asks Run to apply new targets or readers.
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
		changed: make(chan struct{}, 1),
	}, nil
}

// SetTargets sets all targets of the data centre.
func (r *Reader) SetTargets(targets []Assignment) {
	r.mu.Lock()
	r.targets = slices.Clone(targets)
	r.mu.Unlock()
	r.notify()
}

// SetReaders sets the live daemons of the data centre. This daemon is always
// counted among them.
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

// Share returns the targets that this daemon reads.
func (r *Reader) Share() []Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	readers := placer.New(append(slices.Clone(r.readers), r.cfg.Self))
	var share []Assignment
	for _, a := range r.targets {
		if owner, _ := readers.Owner(placer.KeyOf(a.Target)); owner == r.cfg.Self {
			share = append(share, a)
		}
	}
	return share
}

// Run reads the share until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := make(map[Assignment]context.CancelFunc)
	for {
		r.apply(ctx, running, &loops)
		select {
		case <-ctx.Done():
			return nil
		case <-r.changed:
		}
	}
}

// apply starts and stops loops after the share.
func (r *Reader) apply(ctx context.Context, running map[Assignment]context.CancelFunc, loops *sync.WaitGroup) {
	share := r.Share()
	for a, stop := range running {
		if !slices.Contains(share, a) {
			stop()
			delete(running, a)
		}
	}
	for _, a := range share {
		if running[a] != nil {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		running[a] = stop
		source := newSource(r, a)
		loops.Go(func() { source.run(loopCtx) })
	}
}
