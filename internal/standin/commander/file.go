package commander

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/lister"
	"cardamomscale.example/cardamomscale/internal/standin/proxier"
	"cardamomscale.example/cardamomscale/internal/standin/registrar"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/standin/supplier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// StandInKind names the system that a stand-in replaces.
type StandInKind string

// The kinds of stand-in.
const (
	StandInEngine  StandInKind = "engine"
	StandInPlain   StandInKind = "plain"
	StandInStore   StandInKind = "store"
	StandInWeights StandInKind = "weights"
	StandInProxy   StandInKind = "proxy"
	StandInObjects StandInKind = "objects"
	StandInMembers StandInKind = "members"
)

// File lists the stand-ins of one process.
type File struct {
	StandIns []StandIn `json:"stand-ins"`
}

// StandIn is one entry of a File.
type StandIn struct {
	Kind    StandInKind    `json:"kind"`
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	// Control is the address of a proxy's control interface for faults and statistics.
	Control netip.AddrPort `json:"control,omitzero"`
	// Target is the address to which a proxy forwards.
	Target netip.AddrPort `json:"target,omitzero"`
	// Seed seeds the stand-in's random number generator.
	Seed uint64 `json:"seed,omitempty"`
	// Settings overrides defaults of the kind.
	Settings json.RawMessage `json:"settings,omitempty"`
}

// services builds the stand-in and returns a service for each of its addresses.
func (s StandIn) services(cfg Config) ([]service, error) {
	switch s.Kind {
	case StandInEngine:
		return s.engine(cfg)
	case StandInPlain:
		return s.plain(cfg)
	case StandInStore:
		return s.store(cfg)
	case StandInWeights:
		return s.weights(cfg)
	case StandInProxy:
		return s.proxy(cfg)
	case StandInObjects:
		return s.objects(cfg)
	case StandInMembers:
		return s.members(cfg)
	default:
		return nil, newError("build stand-in", KindInvalid, errors.Newf("kind %q of stand-in %q is unknown", s.Kind, s.Name))
	}
}

func (s StandIn) engine(cfg Config) ([]service, error) {
	settings := engine.DefaultSettings()
	if err := s.decode(&settings); err != nil {
		return nil, err
	}
	e, err := engine.New(engine.Config{Settings: settings, Name: identifier.Target(s.Name), Clock: cfg.Clock, Seed: s.Seed})
	return s.oneService(e, err)
}

func (s StandIn) plain(cfg Config) ([]service, error) {
	settings := responder.DefaultSettings()
	if err := s.decode(&settings); err != nil {
		return nil, err
	}
	p, err := responder.New(responder.Config{Settings: settings, Name: identifier.Target(s.Name), Clock: cfg.Clock})
	return s.oneService(p, err)
}

func (s StandIn) store(cfg Config) ([]service, error) {
	settings := storer.DefaultSettings()
	if err := s.decode(&settings); err != nil {
		return nil, err
	}
	h, err := storer.New(storer.Config{Settings: settings, Name: identifier.Store(s.Name), Clock: cfg.Clock})
	return s.oneService(h, err)
}

func (s StandIn) weights(cfg Config) ([]service, error) {
	settings := supplier.DefaultSettings()
	if err := s.decode(&settings); err != nil {
		return nil, err
	}
	w, err := supplier.New(supplier.Config{Settings: settings, Clock: cfg.Clock})
	return s.oneService(w, err)
}

func (s StandIn) proxy(cfg Config) ([]service, error) {
	if err := s.decode(&struct{}{}); err != nil {
		return nil, err
	}
	p, err := proxier.New(proxier.Config{Target: s.Target, Clock: cfg.Clock})
	if err != nil {
		return s.oneService(nil, err)
	}
	control, err := p.Control()
	if err != nil {
		return s.oneService(nil, err)
	}
	return []service{
		{Endpoint: Endpoint{Kind: s.Kind, Name: s.Name, Address: s.Address}, server: p},
		{Endpoint: Endpoint{Kind: s.Kind, Name: s.Name, Address: s.Control, Control: true}, server: control},
	}, nil
}

// objectSettings holds the settings of an object API.
type objectSettings struct {
	// WritesPerSecond and ReadsPerSecond limit all callers together; 0 means no limit.
	WritesPerSecond rate.Limit `json:"writes-per-second"`
	ReadsPerSecond  rate.Limit `json:"reads-per-second"`
}

func (s StandIn) objects(cfg Config) ([]service, error) {
	settings := objectSettings{WritesPerSecond: 400, ReadsPerSecond: 2000}
	if err := s.decode(&settings); err != nil {
		return nil, err
	}
	o, err := registrar.New(registrar.Config{
		Clock: cfg.Clock, Rand: rand.New(rand.NewPCG(s.Seed, s.Seed)),
		WritesPerSecond: settings.WritesPerSecond, ReadsPerSecond: settings.ReadsPerSecond,
	})
	return s.oneService(o, err)
}

// memberSettings holds the settings of a membership list.
type memberSettings struct {
	// Lag is the age of the served list.
	Lag     server.Duration    `json:"lag"`
	Members []messenger.Member `json:"members"`
}

func (s StandIn) members(cfg Config) ([]service, error) {
	var settings memberSettings
	if err := s.decode(&settings); err != nil {
		return nil, err
	}
	m, err := lister.New(lister.Config{Clock: cfg.Clock, Lag: settings.Lag.Duration})
	if err != nil {
		return s.oneService(nil, err)
	}
	for _, member := range settings.Members {
		m.Set(member)
	}
	return s.oneService(m, nil)
}

// oneService wraps srv as the only service of the stand-in, or err if it is set.
func (s StandIn) oneService(srv listenerServer, err error) ([]service, error) {
	if err != nil {
		return nil, newError("build stand-in", KindInvalid, errors.Wrapf(err, "stand-in %q", s.Name))
	}
	return []service{{Endpoint: Endpoint{Kind: s.Kind, Name: s.Name, Address: s.Address}, server: srv}}, nil
}

// decode decodes the settings into v, which holds the defaults.
func (s StandIn) decode(v any) error {
	if len(s.Settings) == 0 {
		return nil
	}
	if err := server.DecodeStrict(bytes.NewReader(s.Settings), v); err != nil {
		return newError("read settings", KindInvalid, errors.Wrapf(err, "stand-in %q", s.Name))
	}
	return nil
}
