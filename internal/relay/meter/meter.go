// Package meter records the relay's Prometheus metrics and serves them.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
)

// Config configures a Meter.
type Config struct {
	// DroppedLines returns the number of dropped log lines. It may be nil.
	DroppedLines func() int64
	// BufferedBytes returns the number of bytes of responses that are held back. It may be nil.
	BufferedBytes func() int64
	// BodyBytes returns the number of bytes of callers' requests that are held. It may be nil.
	BodyBytes func() int64
	// CallerBytes returns the bytes that callers make the host hold, CallerConnections the number of their connections.
	// They may be nil.
	CallerBytes       func() int64
	CallerConnections func() int
	// EndedCallers returns how many connections and requests of callers were ended, by cause. It may be nil.
	EndedCallers func() map[string]int64
	// WatchAges returns the time since the last answer to each watch of the platform, by kind of
	// object. It may be nil.
	WatchAges func() map[string]time.Duration
	// GivenUpCalls returns how many calls of watches were given up as silent, by kind of object. It may be nil.
	GivenUpCalls func() map[string]int64
	// SkippedEntries returns how many entries of the platform couldn't be decoded, by kind of object. It may be
	// nil.
	SkippedEntries func() map[string]int64
	// Quarantined returns the numbers of parts and of whole requests in quarantine. It may be nil.
	Quarantined func() (parts, requests int)
	// LimitedTargets returns the number of targets that have named a limit. It may be nil.
	LimitedTargets func() int
	// Costs describes what is learned of the costs of requests. It may be nil.
	Costs func() decider.CostStats
	// RolloutShares returns the share of requests that go to the new version, by service with an order. It may
	// be nil.
	RolloutShares func() map[string]float64
}

// Meter holds the relay's metrics. It is safe for concurrent use.
type Meter struct {
	registry  *prometheus.Registry
	requests  prometheus.Counter
	unread    prometheus.Counter
	cut       prometheus.Counter
	answers   *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	failures  *prometheus.CounterVec
	bodies    *prometheus.CounterVec
	calls     *prometheus.CounterVec
	firstPart prometheus.Histogram
}

// firstPartBuckets are bucket bounds in seconds, close to the latency goals of routes.
var firstPartBuckets = []float64{.01, .025, .05, .1, .15, .2, .3, .4, .6, 1, 2, 5, 15}

// New returns a Meter with a registry of its own.
func New(cfg Config) *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounter(prometheus.CounterOpts{Name: "cardamom_requests_total", Help: "Requests read."}),
		unread:   prometheus.NewCounter(prometheus.CounterOpts{Name: "cardamom_requests_unread_total", Help: "Requests whose bodies couldn't be read to their end."}),
		cut:      prometheus.NewCounter(prometheus.CounterOpts{Name: "cardamom_requests_cut_total", Help: "Requests cut at the end of the grace period."}),
		answers:  newCounterVec("cardamom_answers_total", "Whole answers of targets, by status.", "status"),
		refusals: newCounterVec("cardamom_refusals_total", "Requests ended by the relay, by kind.", "kind"),
		failures: newCounterVec("cardamom_attempt_failures_total", "Attempts without a whole answer, by reason.", "reason"),
		bodies:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cardamom_answer_bodies_total", Help: "Ends of answers' bodies, by framing and by where the end was."}, []string{"framing", "end"}),
		calls:    newCounterVec("cardamom_calls_total", "Calls to surroundings, by kind.", "kind"),
		firstPart: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cardamom_first_part_seconds", Help: "Time from the request to the first part of its answer.", Buckets: firstPartBuckets,
		}),
	}
	m.registry.MustRegister(m.requests, m.unread, m.cut, m.answers, m.refusals, m.failures, m.bodies, m.calls, m.firstPart)
	if cfg.DroppedLines != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: "cardamom_log_lines_dropped_total", Help: "Lines of the log that were dropped."},
			func() float64 { return float64(cfg.DroppedLines()) },
		))
	}
	if cfg.BufferedBytes != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_buffered_bytes", Help: "Bytes of answers held back, without the first 16 KiB of each."},
			func() float64 { return float64(cfg.BufferedBytes()) },
		))
	}
	if cfg.BodyBytes != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_body_bytes", Help: "Bytes of the bodies of requests, without the first 16 KiB of each."},
			func() float64 { return float64(cfg.BodyBytes()) },
		))
	}
	m.registerCallers(cfg)
	if cfg.WatchAges != nil {
		m.registry.MustRegister(watchAges{cfg.WatchAges})
	}
	if cfg.GivenUpCalls != nil {
		m.registry.MustRegister(countsByKind{givenUpCallsDesc, cfg.GivenUpCalls})
	}
	if cfg.SkippedEntries != nil {
		m.registry.MustRegister(countsByKind{skippedEntriesDesc, cfg.SkippedEntries})
	}
	if cfg.Quarantined != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_quarantined_parts", Help: "Parts of prompts that crash engines, whose requests are refused."},
			func() float64 { parts, _ := cfg.Quarantined(); return float64(parts) },
		), prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_quarantined_requests", Help: "Requests that crash targets and are refused when their callers repeat them."},
			func() float64 { _, requests := cfg.Quarantined(); return float64(requests) },
		))
	}
	if cfg.Costs != nil {
		m.registry.MustRegister(costs{cfg.Costs})
	}
	if cfg.LimitedTargets != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_limited_targets", Help: "Targets that have named a limit on the requests a second from all hosts."},
			func() float64 { return float64(cfg.LimitedTargets()) },
		))
	}
	if cfg.RolloutShares != nil {
		m.registry.MustRegister(rolloutShares{cfg.RolloutShares})
	}
	return m
}

// registerCallers registers what is known of callers' connections.
func (m *Meter) registerCallers(cfg Config) {
	if cfg.CallerBytes != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_caller_bytes", Help: "Bytes reserved for callers' connections, heads and bodies."},
			func() float64 { return float64(cfg.CallerBytes()) },
		))
	}
	if cfg.CallerConnections != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "cardamom_caller_connections", Help: "Open connections of callers."},
			func() float64 { return float64(cfg.CallerConnections()) },
		))
	}
	if cfg.EndedCallers != nil {
		m.registry.MustRegister(countsByKind{endedCallersDesc, cfg.EndedCallers})
	}
}

// watchAges collects the ages of the watches when metrics are read.
type watchAges struct {
	ages func() map[string]time.Duration
}

var watchAgeDesc = prometheus.NewDesc("cardamom_watch_age_seconds", "Time since the last answer to a watch of the platform, by kind of object.", []string{"kind"}, nil)

// Describe implements prometheus.Collector.
func (w watchAges) Describe(descs chan<- *prometheus.Desc) { descs <- watchAgeDesc }

// Collect implements prometheus.Collector.
func (w watchAges) Collect(metrics chan<- prometheus.Metric) {
	for kind, age := range w.ages() {
		metrics <- prometheus.MustNewConstMetric(watchAgeDesc, prometheus.GaugeValue, age.Seconds(), kind)
	}
}

// rolloutShares collects the shares of new versions when metrics are read.
type rolloutShares struct {
	shares func() map[string]float64
}

var rolloutShareDesc = prometheus.NewDesc("cardamom_rollout_share", "Share of the requests that this host sends to the version of an order, by service.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (r rolloutShares) Describe(descs chan<- *prometheus.Desc) { descs <- rolloutShareDesc }

// Collect implements prometheus.Collector.
func (r rolloutShares) Collect(metrics chan<- prometheus.Metric) {
	for service, share := range r.shares() {
		metrics <- prometheus.MustNewConstMetric(rolloutShareDesc, prometheus.GaugeValue, share, service)
	}
}

// countsByKind collects counters by kind of object when metrics are read.
type countsByKind struct {
	desc   *prometheus.Desc
	counts func() map[string]int64
}

var (
	skippedEntriesDesc = prometheus.NewDesc("cardamom_skipped_entries_total", "Entries of the platform that couldn't be decoded, by kind of object.", []string{"kind"}, nil)
	endedCallersDesc   = prometheus.NewDesc("cardamom_callers_ended_total", "Callers' connections and requests that were ended by a limit, by cause.", []string{"cause"}, nil)
	givenUpCallsDesc   = prometheus.NewDesc("cardamom_watches_given_up_total", "Calls of watches that were given up as silent, by kind of object.", []string{"kind"}, nil)
)

// Describe implements prometheus.Collector.
func (c countsByKind) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// Collect implements prometheus.Collector.
func (c countsByKind) Collect(metrics chan<- prometheus.Metric) {
	for kind, n := range c.counts() {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(n), kind)
	}
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveFirstPart records the time from a request to the first part of its response.
func (m *Meter) ObserveFirstPart(seconds float64) { m.firstPart.Observe(seconds) }

// CountEvent counts requests and their ends, complete responses and failed attempts. It ignores all
// other events.
func (m *Meter) CountEvent(ev decider.Event) {
	switch ev := ev.(type) {
	case decider.RequestArrived:
		m.requests.Inc()
	case decider.RequestUnread:
		m.unread.Inc()
	case decider.CallerDisconnected:
		if ev.Cut {
			m.cut.Inc()
		}
	case decider.AttemptDone:
		m.answers.WithLabelValues(statusClass(ev.Status)).Inc()
		m.countBody(ev.Body, "complete")
	case decider.AttemptFailed:
		m.failures.WithLabelValues(string(ev.Reason)).Inc()
		m.countBody(ev.Body, "broken")
	}
}

// countBody counts a body whose end is the given one unless it is inside an event.
func (m *Meter) countBody(body decider.ReceivedBody, end string) {
	if body.Framing == "" {
		return
	}
	if body.InsideEvent {
		end = "inside-event"
	}
	m.bodies.WithLabelValues(string(body.Framing), end).Inc()
}

// CountEffect counts refusals and calls to other processes. It ignores all other effects.
func (m *Meter) CountEffect(effect decider.Effect) {
	switch effect := effect.(type) {
	case decider.Refuse:
		m.refusals.WithLabelValues(string(effect.Kind)).Inc()
	case decider.Send:
		m.calls.WithLabelValues("send").Inc()
	case decider.Wait:
		m.calls.WithLabelValues("permit").Inc()
	case decider.SendMessage:
		m.calls.WithLabelValues("tell").Inc()
	case decider.KeepQuarantine, decider.DropQuarantine, decider.ClaimTrial:
		m.calls.WithLabelValues("quarantine").Inc()
	case decider.WriteRolloutStatus:
		m.calls.WithLabelValues("rollout").Inc()
	case decider.RenewLease, decider.ReadLease:
		m.calls.WithLabelValues("lease").Inc()
	case decider.GiveOrder:
		m.calls.WithLabelValues("order").Inc()
	case decider.ReadReport:
		m.calls.WithLabelValues("report").Inc()
	case decider.Probe:
		m.calls.WithLabelValues("probe").Inc()
	case decider.FreeParts, decider.ListParts:
		m.calls.WithLabelValues("store").Inc()
	}
}

func statusClass(status int) string {
	switch status / 100 {
	case 2:
		return "2xx"
	case 3:
		return "3xx"
	case 4:
		return "4xx"
	}
	return "5xx"
}
