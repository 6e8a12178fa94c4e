// Package watcher keeps a daemon's configuration at the highest version that
// the platform or a peer has shown. It never goes back to a lower version.
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

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports an incomplete configuration.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// watchingRanks is the number of daemons in each data centre that hold a watch.
const watchingRanks = 2

// Defaults of Config.
const (
	DefaultPollInterval = 30 * time.Second
	DefaultRankInterval = time.Second
)

const (
	// minWatchGap separates the starts of two watches that answer at once.
	minWatchGap = 100 * time.Millisecond
	backoffBase = 250 * time.Millisecond
	backoffMax  = 15 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Store  client.ObjectStore
	Clock  clockwork.Clock
	Jitter *client.Jitter
	Logger hclog.Logger
	// Rank returns this daemon's rendezvous rank, from 0, among the live
	// daemons of its data centre. It is asked again before each watch.
	Rank func() int
	// Adopt takes the value of the object specifier.FleetKey at version. Calls
	// come one at a time with rising versions, and may not call the Watcher.
	Adopt func(version uint64, raw []byte)
	// PollInterval is the mean time between two reads; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// RankInterval is the time between two looks at Rank of a daemon that does
	// not watch; 0 means DefaultRankInterval.
	RankInterval time.Duration
}

// Watcher follows the configuration.
type Watcher struct {
	cfg   Config
	ready chan struct{}

	mu      sync.Mutex
	version uint64
	// asked is true once a first read of the platform has ended in any way.
	asked   bool
	isReady bool
}

// New returns a Watcher, or an Error of KindInvalid.
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

// Ready is closed once a configuration is adopted and the platform has been
// asked for its version. If the platform does not answer, a peer's version is enough.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Version returns the adopted version, or 0.
func (w *Watcher) Version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// Offer hands in a version that a peer has got and reports whether it was
// adopted. Lower and equal versions are ignored.
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

// adopt is called with mu held.
func (w *Watcher) adopt(version uint64, raw []byte) bool {
	higher := version > w.version && raw != nil
	if higher {
		w.version = version
		w.cfg.Adopt(version, raw)
	}
	if w.asked && w.version > 0 && !w.isReady {
		w.isReady = true
		close(w.ready)
	}
	return higher
}

// poll reads the object now and then, and more often until it is ready.
func (w *Watcher) poll(ctx context.Context) error {
	backoff := w.backoff()
	for {
		pause := w.cfg.Jitter.Between(w.cfg.PollInterval*3/4, w.cfg.PollInterval*5/4)
		if err := w.read(ctx); err != nil {
			w.cfg.Logger.Debug("read of the configuration failed", "err", err)
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
	w.asked = true
	w.adopt(o.Version, o.Value)
	return err
}

// watch holds a watch while the daemon's rank asks for it.
func (w *Watcher) watch(ctx context.Context) error {
	backoff := w.backoff()
	for {
		pause := w.cfg.RankInterval
		if w.cfg.Rank() < watchingRanks {
			pause = w.watchOnce(ctx, backoff)
		}
		if err := client.Sleep(ctx, w.cfg.Clock, pause); err != nil {
			return err
		}
	}
}

// watchOnce holds one watch and returns the pause before the next one.
func (w *Watcher) watchOnce(ctx context.Context, backoff *client.Backoff) time.Duration {
	objects, err := w.cfg.Store.Watch(ctx, specifier.FleetKey, w.Version())
	if err != nil {
		w.cfg.Logger.Debug("watch of the configuration failed", "err", err)
		return backoff.Next()
	}
	if w.adoptAll(objects) || len(objects) == 0 {
		backoff.Reset()
		return minWatchGap
	}
	// Objects without a new version would come again at once.
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
