// Package daemon joins the parts of one daemon into a value that can be run,
// several to a process if need be.
package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindConfig reports faulty settings.
	KindConfig Kind = "config"
	// KindListen reports an address that can't be listened on.
	KindListen Kind = "listen"
	// KindRun reports a part that ended early.
	KindRun Kind = "run"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Config configures a Daemon. All that reaches outside the process is handed in.
type Config struct {
	Settings starter.Settings
	Clock    clockwork.Clock
	Logger   hclog.Logger
	// Seed makes the daemon's random choices repeatable.
	Seed uint64
	// Dial connects to targets, stores and peers.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Listen opens the daemon's own addresses.
	Listen func(address netip.AddrPort) (net.Listener, error)
	// Objects is the platform's object API; nil means an HTTP client to the
	// addresses of the settings.
	Objects client.ObjectStore
}

// withDefaults fills what is missing with the real clock and network.
func (cfg Config) withDefaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Listen == nil {
		cfg.Listen = listenTCP
	}
	return cfg
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Daemon is one daemon.
type Daemon struct {
	cfg   Config
	parts parts
	// aborted is closed by Abort.
	aborted chan struct{}
	abort   sync.Once
}

// New builds a daemon and opens its addresses. It returns an Error.
func New(cfg Config) (*Daemon, error) {
	cfg = cfg.withDefaults()
	d := &Daemon{cfg: cfg, aborted: make(chan struct{})}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(cfg),
		construction,
		fx.Populate(&d.parts),
	)
	if err := app.Err(); err != nil {
		return nil, newError("new daemon", KindConfig, err)
	}
	return d, nil
}

// Ready reports whether the daemon can serve callers.
func (d *Daemon) Ready() bool { return d.parts.Readiness.Ready() }

// PeerBytes returns the bytes exchanged with peers since the start, in both directions.
func (d *Daemon) PeerBytes() uint64 {
	in, out := d.parts.Surroundings.peers.WireBytes()
	return in + out
}

// Run serves until ctx ends, then shuts down gracefully: it stops taking
// requests, lets the running ones end, and stops its parts together.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	for _, part := range d.parts.Runners {
		group.Go(func() error { return part.Run(running) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			return d.shutDown()
		case <-d.aborted:
			return nil
		case <-running.Done():
			return nil
		}
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return newError("run daemon", KindRun, err)
	}
	return nil
}

// Abort ends the daemon at once, as if its process had been killed.
func (d *Daemon) Abort() { d.abort.Do(func() { close(d.aborted) }) }

// shutDown ends the daemon's work in order: it tells the peers and the balancer,
// lets requests end, and gives back what it holds at the platform.
func (d *Daemon) shutDown() error {
	d.parts.Readiness.leave()
	d.parts.Surroundings.announceLeaving()
	grace := d.cfg.Settings.ShutdownGrace.Duration
	ctx, cancel := clockwork.WithTimeout(context.Background(), d.cfg.Clock, grace+lameDuck)
	defer cancel()
	select {
	case <-d.cfg.Clock.After(lameDuck):
	case <-ctx.Done():
	}
	if err := d.parts.Callers.shutDown(ctx); err != nil {
		d.cfg.Logger.Warn("requests were still running at the end of the shutdown's grace", "error", err)
	}
	d.parts.Surroundings.release(ctx)
	return nil
}

// lameDuck is how long a leaving daemon still accepts requests, so that the
// platform's balancer learns of it first.
const lameDuck = 500 * time.Millisecond
