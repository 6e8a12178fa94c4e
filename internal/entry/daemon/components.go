package daemon

import (
	"context"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/certifier"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/recorder"
	"cardamomscale.example/cardamomscale/internal/entry/server"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
	"cardamomscale.example/cardamomscale/internal/peer/exchanger"
	"cardamomscale.example/cardamomscale/internal/target/caller"
	"cardamomscale.example/cardamomscale/internal/target/dialer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
	"cardamomscale.example/cardamomscale/internal/target/orderer"
	"cardamomscale.example/cardamomscale/internal/target/reader"
)

// runner is a component that runs until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// components are the parts of a daemon that Daemon uses directly.
type components struct {
	fx.In

	Readiness    *Readiness
	Effects      *effectHandler
	Transports   *transports
	Dialer       *dialer.Dialer
	SpanProvider *tracer.Provider
	Registry     *prometheus.Registry
	Callers      *callerServer
	Runners      []runner
}

// componentOptions provides all components of a daemon.
var componentOptions = fx.Options(platformOptions, fx.Provide(
	newReadiness,
	newSecrets,
	newCertificates,
	newTransports,
	newRegistry,
	newMeter,
	newSpanProvider,
	newTracer,
	newExplainer,
	newReducerState,
	newRecorder,
	newOrderer,
	newEffectHandler,
	newPeerHandler,
	newExecutor,
	newDialer,
	newReader,
	newExchanger,
	newCaller,
	newServer,
	newCallerServer,
	newOperatorServer,
), fx.Invoke(registerStateCollector))

// secrets are the keys that all daemons share.
type secrets struct {
	block []byte
	claim []byte
}

func newSecrets(cfg Config) (*secrets, error) {
	files := cfg.Settings.Secrets
	block := []byte(files.BlockSecret)
	if files.BlockKeyFile != "" {
		raw, err := os.ReadFile(files.BlockKeyFile)
		if err != nil {
			return nil, newError("read block key", KindConfig, err)
		}
		block = raw
	}
	claim := block
	if files.ClaimKeyFile != "" {
		raw, err := os.ReadFile(files.ClaimKeyFile)
		if err != nil {
			return nil, newError("read claim key", KindConfig, err)
		}
		claim = raw
	}
	return &secrets{block: block, claim: claim}, nil
}

func newMeter(cfg Config, registry *prometheus.Registry) (*meter.Meter, error) {
	return meter.New(meter.Config{Clock: cfg.Clock, Registerer: withDataCentreLabel(cfg, registry)})
}

func newSpanProvider(cfg Config) (*tracer.Provider, error) {
	settings := cfg.Settings.Trace
	return tracer.NewProvider(tracer.ProviderConfig{
		Host: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre, Exporter: cfg.SpanExporter,
		Endpoint: settings.Endpoint, File: settings.File, Ratio: settings.Ratio,
	})
}

func newTracer(cfg Config, provider *tracer.Provider) (*tracer.Tracer, error) {
	return tracer.New(tracer.Config{Clock: cfg.Clock, Provider: provider.TracerProvider()})
}

func newReducerState(cfg Config, keys *secrets) *reducer.State {
	return reducer.New(reducer.Config{
		Host: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre,
		Seed: cfg.Seed, BlockSecret: keys.block, MaxRequests: cfg.Settings.Limits.MaxInFlight,
	})
}

func newRecorder(cfg Config) (*recorder.Recorder, error) {
	return recorder.New(recorder.Config{Clock: cfg.Clock})
}

func newOrderer(cfg Config, t *transports) (*orderer.Orderer, error) {
	return orderer.New(orderer.Config{Transport: t.open(), Clock: cfg.Clock, Propagator: tracer.Propagator()})
}

func newExecutor(cfg Config, state *reducer.State, effects *effectHandler) (*executor.Executor, error) {
	exec, err := executor.New(executor.Config{State: state, Clock: cfg.Clock, EffectHandler: effects, Logger: cfg.Logger.Named("executor")})
	if err != nil {
		return nil, err
	}
	effects.post = exec.Post
	return exec, nil
}

// newDialer depends on the executor because load reports are posted to it.
func newDialer(cfg Config, effects *effectHandler, exec *executor.Executor) (*dialer.Dialer, error) {
	d, err := dialer.New(dialer.Config{
		Clock: cfg.Clock, Dial: cfg.Dial, ExpectedIncarnation: effects.expectedIncarnation,
		OnReport: func(r messenger.LoadReport) {
			exec.Post(reducer.IncarnationObserved{Target: r.Target, Incarnation: r.Incarnation, Cold: r.Cold})
		},
	})
	effects.dialer = d
	return d, err
}

func newReader(cfg Config, effects *effectHandler, _ *executor.Executor) (*reader.Reader, error) {
	r, err := reader.New(reader.Config{
		Self: cfg.Settings.Host, Clock: cfg.Clock, Dial: cfg.Dial, OnObservation: effects.handleObservation,
		Logger: cfg.Logger.Named("reader"), Seed: cfg.Seed, LoadInterval: cfg.Settings.LoadReportInterval.Duration,
	})
	effects.reader = r
	return r, err
}

func newExchanger(cfg Config, effects *effectHandler, p *peerHandler, certs *certificates, _ *executor.Executor) (*exchanger.Exchanger, error) {
	listener, err := cfg.Listen(cfg.Settings.PeerListen)
	if err != nil {
		return nil, newError("listen for peers", KindListen, err)
	}
	xcfg := exchanger.Config{
		Self: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre, Clock: cfg.Clock,
		Listener: listener, Dial: cfg.Dial, Peers: p.heartbeatPeers, Handler: p,
		Logger: cfg.Logger.Named("peers"), Seed: cfg.Seed, Interval: cfg.Settings.HeartbeatInterval.Duration,
	}
	if certs.peers != nil {
		xcfg.ClientTLS = certs.peers.ClientConfig(certifier.RoleDaemon)
		xcfg.ServerTLS = certs.peers.ServerConfig(certifier.RoleDaemon)
		xcfg.HostOf = certifier.HostOf
	}
	x, err := exchanger.New(xcfg)
	effects.exchanger = x
	return x, err
}

func newCaller(cfg Config, d *dialer.Dialer) (*caller.Caller, error) {
	return caller.New(caller.Config{Transports: d, Clock: cfg.Clock, Propagator: tracer.Propagator()})
}

func newServer(cfg Config, exec *executor.Executor, targets *caller.Caller, caches *orderer.Orderer, claims *claimRegistry, ready *Readiness, m *meter.Meter, tr *tracer.Tracer) (*server.Server, error) {
	return server.New(server.Config{
		Reducer: exec, Targets: targets, Caches: caches, Claims: claims, Clock: cfg.Clock,
		Logger: cfg.Logger.Named("server"), NewRequestID: newRequestID, Ready: ready.Ready,
		MaxBodyBytes: cfg.Settings.Limits.MaxBodyBytes, WriteTimeout: cfg.Settings.Limits.WriteTimeout.Duration,
		Meter: m, Tracer: tr,
	})
}
