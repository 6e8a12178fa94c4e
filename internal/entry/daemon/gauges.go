package daemon

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/peer/exchanger"
)

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// labelled adds the daemon's data centre to all metrics that are registered.
func labelled(cfg Config, registry *prometheus.Registry) prometheus.Registerer {
	return prometheus.WrapRegistererWith(prometheus.Labels{"data_centre": string(cfg.Settings.DataCentre)}, registry)
}

// gauges reads the state of the daemon's parts when metrics are collected.
type gauges struct {
	clock    clockwork.Clock
	exec     *executor.Executor
	platform *contact
	secured  *certificates
	peers    *exchanger.Exchanger
	ready    *Readiness
}

var _ prometheus.Collector = (*gauges)(nil)

func newGauge(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(meter.Namespace+"_"+name, help, labels, nil)
}

// The metrics of gauges.
var (
	descQueued       = newGauge("queued_requests", "Requests that wait for a target.", "service")
	descInFlight     = newGauge("in_flight_requests", "Requests in the daemon, those that wait included.")
	descTargets      = newGauge("targets", "Targets of the configuration by data centre of the target and state.", "target_data_centre", "state")
	descBudget       = newGauge("retry_budget", "Retries that may be made now.")
	descVersion      = newGauge("config_version", "Version of the configuration in force.")
	descReady        = newGauge("ready", "1 when the daemon takes requests, else 0.")
	descLivePeers    = newGauge("live_hosts", "Hosts that the daemon hears, itself included.")
	descCalls        = newGauge("platform_calls_total", "Calls of the platform's object API.", "kind")
	descPlatformAge  = newGauge("platform_age_seconds", "Time since the platform last answered; absent before its first answer.")
	descExpiry       = newGauge("certificate_expiry_seconds", "Time until the certificate in use ends; negative afterwards.", "listener")
	descControlBytes = newGauge("control_bytes_total", "Bytes exchanged with other daemons before encryption.", "method", "direction")
	descWireBytes    = newGauge("control_wire_bytes_total", "Bytes exchanged with other daemons on the wire.", "direction")
)

func registerGauges(cfg Config, registry *prometheus.Registry, exec *executor.Executor, platform *contact, secured *certificates, x *exchanger.Exchanger, ready *Readiness) error {
	g := &gauges{clock: cfg.Clock, exec: exec, platform: platform, secured: secured, peers: x, ready: ready}
	if err := labelled(cfg, registry).Register(g); err != nil {
		return newError("register metrics", KindConfig, err)
	}
	return nil
}

// Describe lists the metrics.
func (g *gauges) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		descQueued, descInFlight, descTargets, descBudget, descVersion, descReady, descLivePeers,
		descCalls, descPlatformAge, descExpiry, descControlBytes, descWireBytes,
	} {
		ch <- desc
	}
}

// Collect reads the state of all parts.
func (g *gauges) Collect(ch chan<- prometheus.Metric) {
	g.collectReducer(ch)
	g.collectPlatform(ch)
	g.collectPeers(ch)
	for name, one := range g.secured.named() {
		ch <- gauge(descExpiry, one.Expiry().Sub(g.clock.Now()).Seconds(), name)
	}
	ready := 0.0
	if g.ready.Ready() {
		ready = 1
	}
	ch <- gauge(descReady, ready)
}

func gauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func counter(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
}

// inspectTimeout bounds the wait for the reducer; without its answer its
// metrics are absent.
const inspectTimeout = 2 * time.Second

func (g *gauges) collectReducer(ch chan<- prometheus.Metric) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.clock, inspectTimeout)
	defer cancel()
	answer := make(chan reducer.Status, 1)
	now := g.clock.Now()
	if err := g.exec.Inspect(ctx, func(s *reducer.State) { answer <- s.Status(now) }); err != nil {
		return
	}
	status := <-answer
	ch <- gauge(descInFlight, float64(status.InFlight))
	ch <- gauge(descBudget, status.RetryBudget)
	ch <- gauge(descVersion, float64(status.ConfigVersion))
	ch <- gauge(descLivePeers, float64(len(status.Hosts)))
	for service, n := range status.QueuedBy {
		ch <- gauge(descQueued, float64(n), string(service))
	}
	for key, n := range countTargets(status.Targets) {
		ch <- gauge(descTargets, float64(n), string(key.centre), key.state)
	}
}

// targetGroup is a state of targets in one data centre.
type targetGroup struct {
	centre identifier.DataCentre
	state  string
}

// countTargets counts the targets of each data centre that are out of service,
// cold or warm.
func countTargets(targets []reducer.TargetStatus) map[targetGroup]int {
	counts := map[targetGroup]int{}
	for _, t := range targets {
		state := "warm"
		switch {
		case t.State == specifier.StateOut:
			state = "out"
		case t.Cold:
			state = "cold"
		}
		counts[targetGroup{t.DataCentre, state}]++
	}
	return counts
}

var callNames = [callKinds]string{callGet: "get", callPut: "put", callDelete: "delete", callList: "list", callWatch: "watch"}

func (g *gauges) collectPlatform(ch chan<- prometheus.Metric) {
	for kind, name := range callNames {
		ch <- counter(descCalls, float64(g.platform.calls[kind].Load()), name)
	}
	if last := g.platform.answered.Load(); last != 0 {
		ch <- gauge(descPlatformAge, g.clock.Since(time.Unix(0, last)).Seconds())
	}
}

func (g *gauges) collectPeers(ch chan<- prometheus.Metric) {
	for _, t := range g.peers.Traffic() {
		ch <- counter(descControlBytes, float64(t.In), string(t.Method), "in")
		ch <- counter(descControlBytes, float64(t.Out), string(t.Method), "out")
	}
	in, out := g.peers.WireBytes()
	ch <- counter(descWireBytes, float64(in), "in")
	ch <- counter(descWireBytes, float64(out), "out")
}
