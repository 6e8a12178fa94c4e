// Package watcher keeps a daemon's configuration at the highest version received from
// the platform or a peer. It never goes back to a lower version.
package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid reports an incomplete configuration.
const KindInvalid Kind = "invalid"

// Error is the type of all errors of this package.
type Error struct{ failer.Detail[Kind] }

// watchersPerDataCentre is the number of daemons per data centre that watch the
// configuration; the others only poll it.
const watchersPerDataCentre = 2

// Defaults of Config.
const (
	DefaultPollInterval = 30 * time.Second
	DefaultRankInterval = time.Second
)

const (
	// minWatchInterval is the pause after a watch, in case the platform answers watches
	// immediately.
	minWatchInterval = 100 * time.Millisecond
	backoffBase      = 250 * time.Millisecond
	backoffMax       = 15 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Store  client.ObjectStore
	Clock  clockwork.Clock
	Jitter *client.Jitter
	Logger hclog.Logger
	// Rank returns this daemon's rendezvous rank, from 0, among the live daemons of its
	// data centre. It is called before each watch.
	Rank func() int
	// Adopt is called with each new value of the object specifier.FleetKey, one call at
	// a time and with rising versions. It must not call the Watcher.
	Adopt func(version uint64, raw []byte)
	// PollInterval is the mean time between two reads; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// RankInterval is how often a daemon that doesn't watch calls Rank; 0 means
	// DefaultRankInterval.
	RankInterval time.Duration
}

// Watcher follows the configuration.
type Watcher struct {
	cfg   Config
	ready chan struct{}

	mu      sync.Mutex
	version uint64
	// platformRead is true once a first read from the platform has succeeded or failed.
	platformRead bool
	isReady      bool
}

// New returns a Watcher, or an Error of KindInvalid if cfg lacks a required field.
func New(cfg Config) (*Watcher, error) {
	if cfg.Store == nil || cfg.Clock == nil || cfg.Jitter == nil || cfg.Rank == nil || cfg.Adopt == nil {
		return nil, &Error{failer.Detail[Kind]{
			Op: "new watcher", Kind: KindInvalid, Err: errors.New("store, clock, jitter, rank or adopt is not set"),
		}}
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.RankInterval <= 0 {
		cfg.RankInterval = DefaultRankInterval
	}
	return &Watcher{cfg: cfg, ready: make(chan struct{})}, nil
}

// Ready returns a channel that is closed once a configuration has been adopted and a
// first read from the platform has ended. If that read failed, a peer's version is
// enough.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Version returns the adopted version, or 0 if there is none.
func (w *Watcher) Version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// Offer adopts a version received from a peer if it is higher than the current one,
// and reports whether it did.
func (w *Watcher) Offer(version uint64, raw []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.adopt(version, raw)
}

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.poll(ctx) })
	group.Go(func() error { return w.watch(ctx) })
	return group.Wait()
}

// adopt adopts a version if it is higher than the current one. The caller must hold mu.
func (w *Watcher) adopt(version uint64, raw []byte) bool {
	higher := version > w.version && raw != nil
	if higher {
		w.version = version
		w.cfg.Adopt(version, raw)
	}
	if w.platformRead && w.version > 0 && !w.isReady {
		w.isReady = true
		close(w.ready)
	}
	return higher
}

// poll reads the configuration at every PollInterval, and with back-off after failures.
func (w *Watcher) poll(ctx context.Context) error {
	backoff := w.backoff()
	for {
		pause := w.cfg.Jitter.Between(w.cfg.PollInterval*3/4, w.cfg.PollInterval*5/4)
		if err := w.read(ctx); err != nil {
			w.cfg.Logger.Debug("reading the configuration failed", "err", err)
			pause = backoff.Next()
		} else {
			backoff.Reset()
		}
		if err := client.Sleep(ctx, w.cfg.Clock, pause); err != nil {
			return err
		}
	}
}

func (w *Watcher) read(ctx context.Context) error {
	o, err := w.cfg.Store.Get(ctx, specifier.FleetKey)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platformRead = true
	w.adopt(o.Version, o.Value)
	return err
}

// watch keeps a watch open while the daemon's rank is below watchersPerDataCentre.
func (w *Watcher) watch(ctx context.Context) error {
	backoff := w.backoff()
	for {
		pause := w.cfg.RankInterval
		if w.cfg.Rank() < watchersPerDataCentre {
			pause = w.watchOnce(ctx, backoff)
		}
		if err := client.Sleep(ctx, w.cfg.Clock, pause); err != nil {
			return err
		}
	}
}

// watchOnce sends one watch, waits for its result, and returns the pause before the
// next one.
func (w *Watcher) watchOnce(ctx context.Context, backoff *client.Backoff) time.Duration {
	objects, err := w.cfg.Store.Watch(ctx, specifier.FleetKey, w.Version())
	if err != nil {
		w.cfg.Logger.Debug("watching the configuration failed", "err", err)
		return backoff.Next()
	}
	if w.adoptAll(objects) || len(objects) == 0 {
		backoff.Reset()
		return minWatchInterval
	}
	// The next watch would immediately return the same objects again.
	return backoff.Next()
}

func (w *Watcher) adoptAll(objects []client.Object) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	adopted := false
	for _, o := range objects {
		if o.Key == specifier.FleetKey && w.adopt(o.Version, o.Value) {
			adopted = true
		}
	}
	return adopted
}

func (w *Watcher) backoff() *client.Backoff {
	return &client.Backoff{Base: backoffBase, Max: backoffMax, Jitter: w.cfg.Jitter}
}
