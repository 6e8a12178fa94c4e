// Package assembler runs stand-ins and daemons in one process on loopback
// addresses, for the demo, the load tool and end-to-end tests.
package assembler

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/config/starter"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/entry/daemon"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/standin/supplier"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindPlan reports an invalid plan.
	KindPlan Kind = "plan"
	// KindStart reports a component that failed to start or wasn't ready in time.
	KindStart Kind = "start"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// Config configures an Assembly.
type Config struct {
	Plan   Plan
	Clock  clockwork.Clock
	Logger hclog.Logger
	Seed   uint64
	// Adjust modifies the settings of each daemon before it starts; it may be nil.
	Adjust func(*starter.Settings)
	// SpanExporter receives the daemons' spans; nil means the exporter of the settings.
	SpanExporter sdktrace.SpanExporter
	// CertificateInterval is the interval at which daemons check their TLS files for
	// changes; 0 means their default.
	CertificateInterval time.Duration
}

// Assembly is a set of stand-ins and of daemons that use them as back ends.
type Assembly struct {
	cfg Config

	Fleet      specifier.Fleet
	Registrar  *registrar.Registrar
	Supplier   *supplier.Supplier
	Engines    map[identifier.Target]*engine.Engine
	Responders map[identifier.Target]*responder.Responder
	Stores     map[identifier.Store]*storer.Storer
	Hosts      map[identifier.Host]*Host

	ObjectAddress netip.AddrPort
	// MemberAddress is the address of a membership list for the daemons. The zero
	// value means that the configuration names all hosts.
	MemberAddress netip.AddrPort

	// Network makes the daemons' outgoing connections.
	Network *Network

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Host is one entry host with its daemon.
type Host struct {
	Name       identifier.Host
	DataCentre identifier.DataCentre
	// CallerAddress, PeerAddress and OperatorAddress are the daemon's listen addresses.
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort

	mu     sync.Mutex
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
	// reserved holds listeners that keep the addresses for the first daemon.
	reserved map[netip.AddrPort]net.Listener
}

// New starts the stand-ins but no daemons. Close stops everything.
func New(cfg Config) (*Assembly, error) {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if len(cfg.Plan.DataCentres) == 0 {
		return nil, newError("new assembly", KindPlan, errors.New("the plan has no data centre"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Assembly{
		cfg: cfg, ctx: ctx, cancel: cancel, Fleet: cfg.Plan.Fleet,
		Engines:    map[identifier.Target]*engine.Engine{},
		Responders: map[identifier.Target]*responder.Responder{},
		Stores:     map[identifier.Store]*storer.Storer{},
		Hosts:      map[identifier.Host]*Host{},
		Network:    newNetwork(),
	}
	if err := a.build(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// build starts the stand-ins and chooses the daemons' addresses.
func (a *Assembly) build() error {
	a.Fleet.DataCentres = map[identifier.DataCentre]specifier.DataCentre{}
	a.Fleet.Hosts = map[identifier.Host]specifier.Host{}
	a.Fleet.Targets = map[identifier.Target]specifier.Target{}
	a.Fleet.Stores = map[identifier.Store]specifier.Store{}
	for _, name := range a.cfg.Plan.DataCentres {
		a.Fleet.DataCentres[name] = specifier.DataCentre{Region: a.cfg.Plan.Region, State: specifier.StateIn}
	}
	steps := []func() error{a.buildPlatform, a.buildStores, a.buildEngines, a.buildResponders, a.buildHosts}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// server is implemented by all stand-ins.
type server interface {
	Serve(ctx context.Context, ln net.Listener) error
}

// startServer serves s on a free loopback port.
func (a *Assembly) startServer(s server) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, newError("listen", KindStart, err)
	}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		if err := s.Serve(a.ctx, ln); err != nil && a.ctx.Err() == nil {
			a.cfg.Logger.Error("stand-in stopped unexpectedly", "address", ln.Addr().String(), "error", err)
		}
	}()
	return addressOf(ln), nil
}

func addressOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// dataCentreFor returns the data centre of the i-th component of a kind, round-robin.
func (a *Assembly) dataCentreFor(i int) identifier.DataCentre {
	return a.cfg.Plan.DataCentres[i%len(a.cfg.Plan.DataCentres)]
}

func (a *Assembly) buildStores() error {
	for i := range a.cfg.Plan.Stores {
		name := identifier.Store(fmt.Sprintf("store-%02d", i+1))
		s, err := storer.New(storer.Config{Settings: a.cfg.Plan.Store, Name: name, Clock: a.cfg.Clock})
		if err != nil {
			return newError("build store", KindPlan, err)
		}
		address, err := a.startServer(s)
		if err != nil {
			return err
		}
		a.Stores[name] = s
		a.Network.setLocation(address, a.dataCentreFor(i))
		a.Fleet.Stores[name] = specifier.Store{
			DataCentre: a.dataCentreFor(i), Address: address,
			LinkBytesPerSecond: a.cfg.Plan.Store.LinkBytesPerSecond, State: specifier.StateIn,
		}
	}
	return nil
}

func (a *Assembly) buildEngines() error {
	for i := range a.cfg.Plan.Engines {
		name := identifier.Target(fmt.Sprintf("engine-%02d", i+1))
		e, err := engine.New(engine.Config{
			Settings: a.cfg.Plan.Engine, Name: name, Clock: a.cfg.Clock,
			Seed: a.cfg.Seed + uint64(i), Loader: a.Supplier,
		})
		if err != nil {
			return newError("build engine", KindPlan, err)
		}
		address, err := a.startServer(e)
		if err != nil {
			return err
		}
		a.Engines[name] = e
		a.Network.setLocation(address, a.dataCentreFor(i))
		a.Fleet.Targets[name] = specifier.Target{
			Service: a.cfg.Plan.ModelService, DataCentre: a.dataCentreFor(i), Address: address, State: specifier.StateIn,
			ColdLimit: a.cfg.Plan.Engine.ColdLimit, WarmLimit: a.cfg.Plan.WarmLimit, ChecksFence: a.cfg.Plan.Engine.ChecksFence,
		}
	}
	return nil
}

func (a *Assembly) buildResponders() error {
	for i := range a.cfg.Plan.Responders {
		name := identifier.Target(fmt.Sprintf("plain-%02d", i+1))
		p, err := responder.New(responder.Config{Settings: a.cfg.Plan.Responder, Name: name, Clock: a.cfg.Clock})
		if err != nil {
			return newError("build plain service", KindPlan, err)
		}
		address, err := a.startServer(p)
		if err != nil {
			return err
		}
		a.Responders[name] = p
		a.Network.setLocation(address, a.dataCentreFor(i))
		a.Fleet.Targets[name] = specifier.Target{
			Service: a.cfg.Plan.PlainService, DataCentre: a.dataCentreFor(i), Address: address, State: specifier.StateIn,
			ColdLimit: a.cfg.Plan.Responder.ColdLimit, WarmLimit: a.cfg.Plan.PlainLimit,
		}
	}
	return nil
}

// buildHosts adds the entry hosts and reserves their daemons' addresses.
func (a *Assembly) buildHosts() error {
	for i := range a.cfg.Plan.Daemons {
		h := &Host{reserved: map[netip.AddrPort]net.Listener{}, Name: identifier.Host(fmt.Sprintf("entry-%02d", i+1)), DataCentre: a.dataCentreFor(i)}
		for _, address := range []*netip.AddrPort{&h.CallerAddress, &h.PeerAddress, &h.OperatorAddress} {
			if err := h.reserve(address); err != nil {
				return err
			}
		}
		a.Hosts[h.Name] = h
		a.Network.setLocation(h.PeerAddress, h.DataCentre)
		a.Fleet.Hosts[h.Name] = specifier.Host{DataCentre: h.DataCentre, State: specifier.StateIn, Peer: h.PeerAddress}
	}
	return nil
}

// HostNames returns the names of the entry hosts, sorted.
func (a *Assembly) HostNames() []identifier.Host { return slices.Sorted(maps.Keys(a.Hosts)) }

// Close stops the daemons and the stand-ins.
func (a *Assembly) Close() {
	for _, h := range a.Hosts {
		h.Kill()
		h.closeReserved()
	}
	a.cancel()
	for _, e := range a.Engines {
		e.Close()
	}
	a.wg.Wait()
}

// startTimeout bounds the wait for the daemons to become ready.
const startTimeout = 20 * time.Second
