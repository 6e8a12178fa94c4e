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

// runner is a part that runs until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// parts are what a Daemon runs.
type parts struct {
	fx.In

	Readiness    *Readiness
	Surroundings *surroundings
	Transports   *transports
	Dialer       *dialer.Dialer
	Spans        *tracer.Provider
	Registry     *prometheus.Registry
	Callers      *callers
	Runners      []runner
}

// construction provides the parts of a daemon.
var construction = fx.Options(platformConstruction, fx.Provide(
	newReadiness,
	newSecrets,
	newCertificates,
	newTransports,
	newRegistry,
	newMeter,
	newSpans,
	newTracer,
	newExplainer,
	newState,
	newRecorder,
	newOrderer,
	newSurroundings,
	newPeers,
	newExecutor,
	newDialer,
	newReader,
	newExchanger,
	newCaller,
	newServer,
	newCallers,
	newOperators,
), fx.Invoke(registerGauges))

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
	return meter.New(meter.Config{Clock: cfg.Clock, Registerer: labelled(cfg, registry)})
}

func newSpans(cfg Config) (*tracer.Provider, error) {
	settings := cfg.Settings.Trace
	return tracer.NewProvider(tracer.ProviderConfig{
		Host: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre, Exporter: cfg.SpanExporter,
		Endpoint: settings.Endpoint, File: settings.File, Ratio: settings.Ratio,
	})
}

func newTracer(cfg Config, spans *tracer.Provider) (*tracer.Tracer, error) {
	return tracer.New(tracer.Config{Clock: cfg.Clock, Provider: spans.Spans()})
}

func newState(cfg Config, keys *secrets) *reducer.State {
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

func newExecutor(cfg Config, state *reducer.State, around *surroundings) (*executor.Executor, error) {
	exec, err := executor.New(executor.Config{State: state, Clock: cfg.Clock, Surroundings: around, Logger: cfg.Logger.Named("executor")})
	if err != nil {
		return nil, err
	}
	around.post = exec.Post
	return exec, nil
}

// newDialer depends on the executor, so that reports find the reducer bound.
func newDialer(cfg Config, around *surroundings, exec *executor.Executor) (*dialer.Dialer, error) {
	d, err := dialer.New(dialer.Config{
		Clock: cfg.Clock, Dial: cfg.Dial, Expect: around.expect,
		OnReport: func(r messenger.LoadReport) {
			exec.Post(reducer.IncarnationSeen{Target: r.Target, Incarnation: r.Incarnation, Cold: r.Cold})
		},
	})
	around.dialer = d
	return d, err
}

func newReader(cfg Config, around *surroundings, _ *executor.Executor) (*reader.Reader, error) {
	r, err := reader.New(reader.Config{
		Self: cfg.Settings.Host, Clock: cfg.Clock, Dial: cfg.Dial, OnObservation: around.observe,
		Logger: cfg.Logger.Named("reader"), Seed: cfg.Seed, LoadInterval: cfg.Settings.LoadReportInterval.Duration,
	})
	around.reader = r
	return r, err
}

func newExchanger(cfg Config, around *surroundings, p *peers, secured *certificates, _ *executor.Executor) (*exchanger.Exchanger, error) {
	listener, err := cfg.Listen(cfg.Settings.PeerListen)
	if err != nil {
		return nil, newError("listen for peers", KindListen, err)
	}
	exchange := exchanger.Config{
		Self: cfg.Settings.Host, DataCentre: cfg.Settings.DataCentre, Clock: cfg.Clock,
		Listener: listener, Dial: cfg.Dial, Peers: p.wanted, Handler: p,
		Logger: cfg.Logger.Named("peers"), Seed: cfg.Seed, Interval: cfg.Settings.HeartbeatInterval.Duration,
	}
	if secured.peers != nil {
		exchange.ClientTLS = secured.peers.ClientConfig(certifier.RoleDaemon)
		exchange.ServerTLS = secured.peers.ServerConfig(certifier.RoleDaemon)
		exchange.HostOf = certifier.HostOf
	}
	x, err := exchanger.New(exchange)
	around.peers = x
	return x, err
}

func newCaller(cfg Config, d *dialer.Dialer) (*caller.Caller, error) {
	return caller.New(caller.Config{Transports: d, Clock: cfg.Clock, Propagator: tracer.Propagator()})
}

func newServer(cfg Config, exec *executor.Executor, targets *caller.Caller, caches *orderer.Orderer, held *claims, ready *Readiness, count *meter.Meter, spans *tracer.Tracer) (*server.Server, error) {
	return server.New(server.Config{
		Reducer: exec, Targets: targets, Caches: caches, Claims: held, Clock: cfg.Clock,
		Logger: cfg.Logger.Named("server"), NewRequestID: newRequestID, Ready: ready.Ready,
		MaxBodyBytes: cfg.Settings.Limits.MaxBodyBytes, WriteTimeout: cfg.Settings.Limits.WriteTimeout.Duration,
		Meter: count, Tracer: spans,
	})
}
