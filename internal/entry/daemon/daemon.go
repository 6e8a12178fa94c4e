// Package daemon assembles the components of a daemon. A process can run several
// daemons, as tests do.
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
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindConfig reports invalid settings.
	KindConfig Kind = "config"
	// KindListen reports an address that can't be listened on.
	KindListen Kind = "listen"
	// KindRun reports a failure while the daemon runs.
	KindRun Kind = "run"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Config configures a Daemon. Its functions and interfaces provide all access
// to the outside, so that tests can replace it.
type Config struct {
	Settings starter.Settings
	Clock    clockwork.Clock
	Logger   hclog.Logger
	// Seed makes the daemon's random choices reproducible.
	Seed uint64
	// Dial connects to targets, stores, peers and the platform.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Listen opens the daemon's own addresses.
	Listen func(address netip.AddrPort) (net.Listener, error)
	// SpanExporter receives the spans; nil means the exporter of the settings.
	SpanExporter sdktrace.SpanExporter
	// CertificateInterval is the interval at which the TLS files are checked for
	// changes; 0 means certifier.DefaultInterval.
	CertificateInterval time.Duration
	// Objects is the platform's object API; nil means an HTTP client to the
	// addresses of the settings.
	Objects client.ObjectStore
}

// withDefaults returns cfg with the real clock and network and no logger where
// nothing is set.
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

// Daemon is one daemon: it serves callers, exchanges state with its peers and
// reads the load of targets.
type Daemon struct {
	cfg        Config
	components components
	// aborted is closed by Abort.
	aborted   chan struct{}
	abortOnce sync.Once
}

// New builds a daemon and opens its listeners. Errors are of type *Error.
func New(cfg Config) (*Daemon, error) {
	cfg = cfg.withDefaults()
	d := &Daemon{cfg: cfg, aborted: make(chan struct{})}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(cfg),
		componentOptions,
		fx.Populate(&d.components),
	)
	if err := app.Err(); err != nil {
		return nil, newError("new daemon", KindConfig, err)
	}
	return d, nil
}

// Ready reports whether the daemon can serve callers.
func (d *Daemon) Ready() bool { return d.components.Readiness.Ready() }

// PeerBytes returns the number of bytes sent to and received from peers since the start.
func (d *Daemon) PeerBytes() uint64 {
	in, out := d.components.Effects.exchanger.WireBytes()
	return in + out
}

// Run serves until ctx ends, then shuts down gracefully: it stops accepting
// requests, waits for those in flight, and stops all components.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	for _, c := range d.components.Runners {
		group.Go(func() error { return c.Run(runCtx) })
	}
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			return d.shutdown()
		case <-d.aborted:
			return nil
		case <-runCtx.Done():
			return nil
		}
	})
	err := group.Wait()
	d.components.Dialer.CloseAll()
	d.components.Transports.closeIdle()
	if closeErr := d.components.SpanProvider.Close(); closeErr != nil {
		d.cfg.Logger.Warn("last spans lost", "error", closeErr)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return newError("run daemon", KindRun, err)
	}
	return nil
}

// Abort stops the daemon without a graceful shutdown, as if its process had been killed.
func (d *Daemon) Abort() { d.abortOnce.Do(func() { close(d.aborted) }) }

// shutdown announces to peers and the platform's load balancer that the daemon
// leaves, waits for requests in flight, and releases the daemon's leases.
func (d *Daemon) shutdown() error {
	d.components.Readiness.markLeaving()
	d.components.Effects.announceLeaving()
	grace := d.cfg.Settings.ShutdownGrace.Duration
	ctx, cancel := clockwork.WithTimeout(context.Background(), d.cfg.Clock, grace+drainDelay)
	defer cancel()
	select {
	case <-d.cfg.Clock.After(drainDelay):
	case <-ctx.Done():
	}
	if err := d.components.Callers.shutdown(ctx); err != nil {
		d.cfg.Logger.Warn("requests still running at the end of the shutdown grace period", "error", err)
	}
	d.components.Effects.drainAndRelease(ctx)
	return nil
}

// drainDelay is how long a leaving daemon still accepts requests, so that the
// platform's load balancer can stop sending them first.
const drainDelay = 500 * time.Millisecond
