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

// withDataCentreLabel returns a registerer that labels all metrics with the
// daemon's data centre.
func withDataCentreLabel(cfg Config, registry *prometheus.Registry) prometheus.Registerer {
	return prometheus.WrapRegistererWith(prometheus.Labels{"data_centre": string(cfg.Settings.DataCentre)}, registry)
}

// stateCollector is a Prometheus collector that reads the state of the daemon's
// components at each scrape.
type stateCollector struct {
	clock     clockwork.Clock
	exec      *executor.Executor
	platform  *monitoredStore
	certs     *certificates
	exchanger *exchanger.Exchanger
	readiness *Readiness
}

var _ prometheus.Collector = (*stateCollector)(nil)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(meter.Namespace+"_"+name, help, labels, nil)
}

// The metrics of stateCollector.
var (
	descQueuedRequests    = newDesc("queued_requests", "Requests that wait for a target.", "service")
	descInFlight          = newDesc("in_flight_requests", "Requests in the daemon, those that wait included.")
	descTargets           = newDesc("targets", "Targets of the configuration by data centre of the target and state.", "target_data_centre", "state")
	descRetryBudget       = newDesc("retry_budget", "Retries that may be made now.")
	descConfigVersion     = newDesc("config_version", "Version of the configuration in force.")
	descReady             = newDesc("ready", "1 when the daemon takes requests, else 0.")
	descLiveHosts         = newDesc("live_hosts", "Hosts that the daemon hears, itself included.")
	descPlatformCalls     = newDesc("platform_calls_total", "Calls of the platform's object API.", "kind")
	descPlatformAge       = newDesc("platform_age_seconds", "Time since the platform last answered; absent before its first answer.")
	descCertificateExpiry = newDesc("certificate_expiry_seconds", "Time until the certificate in use ends; negative afterwards.", "listener")
	descControlBytes      = newDesc("control_bytes_total", "Bytes exchanged with other daemons before encryption.", "method", "direction")
	descWireBytes         = newDesc("control_wire_bytes_total", "Bytes exchanged with other daemons on the wire.", "direction")
)

func registerStateCollector(cfg Config, registry *prometheus.Registry, exec *executor.Executor, store *monitoredStore, certs *certificates, x *exchanger.Exchanger, ready *Readiness) error {
	c := &stateCollector{clock: cfg.Clock, exec: exec, platform: store, certs: certs, exchanger: x, readiness: ready}
	if err := withDataCentreLabel(cfg, registry).Register(c); err != nil {
		return newError("register metrics", KindConfig, err)
	}
	return nil
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		descQueuedRequests, descInFlight, descTargets, descRetryBudget, descConfigVersion, descReady, descLiveHosts,
		descPlatformCalls, descPlatformAge, descCertificateExpiry, descControlBytes, descWireBytes,
	} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	c.collectReducer(ch)
	c.collectPlatform(ch)
	c.collectPeers(ch)
	for name, cert := range c.certs.byListener() {
		ch <- newGauge(descCertificateExpiry, cert.Expiry().Sub(c.clock.Now()).Seconds(), name)
	}
	ready := 0.0
	if c.readiness.Ready() {
		ready = 1
	}
	ch <- newGauge(descReady, ready)
}

func newGauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func newCounter(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
}

// reducerInspectTimeout limits the wait for the reducer. When it is exceeded, the
// scrape lacks the reducer's metrics.
const reducerInspectTimeout = 2 * time.Second

func (c *stateCollector) collectReducer(ch chan<- prometheus.Metric) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), c.clock, reducerInspectTimeout)
	defer cancel()
	answer := make(chan reducer.Status, 1)
	now := c.clock.Now()
	if err := c.exec.Inspect(ctx, func(s *reducer.State) { answer <- s.Status(now) }); err != nil {
		return
	}
	status := <-answer
	ch <- newGauge(descInFlight, float64(status.InFlight))
	ch <- newGauge(descRetryBudget, status.RetryBudget)
	ch <- newGauge(descConfigVersion, float64(status.ConfigVersion))
	ch <- newGauge(descLiveHosts, float64(len(status.Hosts)))
	for service, n := range status.QueuedBy {
		ch <- newGauge(descQueuedRequests, float64(n), string(service))
	}
	for key, n := range countTargets(status.Targets) {
		ch <- newGauge(descTargets, float64(n), string(key.dataCentre), key.state)
	}
}

// targetCountKey is a data centre and a state of targets: warm, cold or out.
type targetCountKey struct {
	dataCentre identifier.DataCentre
	state      string
}

// countTargets counts the targets of each data centre that are out of service,
// cold or warm.
func countTargets(targets []reducer.TargetStatus) map[targetCountKey]int {
	counts := map[targetCountKey]int{}
	for _, t := range targets {
		state := "warm"
		switch {
		case t.State == specifier.StateOut:
			state = "out"
		case t.Cold:
			state = "cold"
		}
		counts[targetCountKey{t.DataCentre, state}]++
	}
	return counts
}

var callKindNames = [numCallKinds]string{callGet: "get", callPut: "put", callDelete: "delete", callList: "list", callWatch: "watch"}

func (c *stateCollector) collectPlatform(ch chan<- prometheus.Metric) {
	for kind, name := range callKindNames {
		ch <- newCounter(descPlatformCalls, float64(c.platform.calls[kind].Load()), name)
	}
	if last := c.platform.lastAnswer.Load(); last != 0 {
		ch <- newGauge(descPlatformAge, c.clock.Since(time.Unix(0, last)).Seconds())
	}
}

func (c *stateCollector) collectPeers(ch chan<- prometheus.Metric) {
	for _, t := range c.exchanger.Traffic() {
		ch <- newCounter(descControlBytes, float64(t.In), string(t.Method), "in")
		ch <- newCounter(descControlBytes, float64(t.Out), string(t.Method), "out")
	}
	in, out := c.exchanger.WireBytes()
	ch <- newCounter(descWireBytes, float64(in), "in")
	ch <- newCounter(descWireBytes, float64(out), "out")
}
