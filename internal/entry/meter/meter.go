// Package meter provides the daemon's request metrics. All labels have a bounded
// number of values: the configured services, stores and classes, and the kinds of
// outcomes. Teams, targets and requests are not used as labels.
package meter

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindConfig reports a Config that lacks a required field.
	KindConfig Kind = "config"
	// KindRegister reports metrics that cannot be registered, such as duplicates.
	KindRegister Kind = "register"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Outcome is how a request ended: one of the constants below, or the kind of its
// refusal.
type Outcome string

// The outcomes other than refusals. OutcomeReplayed means that the recorded answer
// of an earlier request with the same idempotency key was sent.
const (
	OutcomeOK       Outcome = "ok"
	OutcomeReplayed Outcome = "replayed"
	// OutcomeCallerGone means that the caller disconnected or read too slowly.
	OutcomeCallerGone Outcome = "caller-gone"
)

// Direction is the direction of a transfer of cache blocks, as seen by the target.
type Direction string

// The directions.
const (
	DirectionImport Direction = "import"
	DirectionExport Direction = "export"
)

// labelNone is the service and class label of requests that were not admitted.
const labelNone = "none"

// Config configures a Meter.
type Config struct {
	Clock      clockwork.Clock
	Registerer prometheus.Registerer
}

// Meter records metrics of requests. It is safe for concurrent use.
type Meter struct {
	clock      clockwork.Clock
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
	decisions  *prometheus.CounterVec
	retries    *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	blockBytes *prometheus.CounterVec

	mu     sync.Mutex
	active map[identifier.Request]*Request
}

// New registers the metrics and returns a Meter.
func New(cfg Config) (*Meter, error) {
	if cfg.Clock == nil || cfg.Registerer == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new meter", Kind: KindConfig, Err: errors.New("clock and registerer are required")}}
	}
	m := &Meter{
		clock:      cfg.Clock,
		requests:   newCounter("requests_total", "Requests that have ended.", "service", "class", "outcome"),
		duration:   newHistogram("request_seconds", "Time from a request's arrival to the end of its answer.", firstBucket, "service", "class", "outcome"),
		firstToken: newHistogram("first_token_seconds", "Time from a prompt's arrival to its first token.", firstBucket, "service", "class"),
		tokenGap:   newHistogram("token_gap_seconds", "Time between two tokens of one answer.", firstGapBucket, "service"),
		decisions:  newCounter("decisions_total", "Decisions on how a request gets its prompt's cache.", "service", "kind"),
		retries:    newCounter("retries_total", "Attempts that failed and were followed by another.", "service", "kind", "reason"),
		tokens:     newCounter("prompt_tokens_total", "Prompt tokens by what they came from.", "service", "source"),
		blockBytes: newCounter("store_bytes_total", "Bytes of cache blocks moved by this daemon's orders.", "store", "direction"),
		active:     map[identifier.Request]*Request{},
	}
	for _, c := range []prometheus.Collector{m.requests, m.duration, m.firstToken, m.tokenGap, m.decisions, m.retries, m.tokens, m.blockBytes} {
		if err := cfg.Registerer.Register(c); err != nil {
			return nil, &Error{failer.Detail[Kind]{Op: "new meter", Kind: KindRegister, Err: err}}
		}
	}
	return m, nil
}

// Namespace is the prefix of all metric names.
const Namespace = "cardamomscale"

// Histogram buckets: upper bounds of the first ones in seconds, the factor between
// adjacent bounds, and the number of buckets.
const (
	firstBucket    = 0.005
	firstGapBucket = 0.001
	bucketFactor   = 2
	bucketCount    = 14
)

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, first float64, labels ...string) *prometheus.HistogramVec {
	buckets := prometheus.ExponentialBuckets(first, bucketFactor, bucketCount)
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Begin starts the metrics of a request that has just arrived. The caller must call
// End on the result.
func (m *Meter) Begin(id identifier.Request) *Request {
	r := &Request{meter: m, id: id, arrived: m.clock.Now(), service: labelNone, class: labelNone}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active[id] = r
	return r
}

func (m *Meter) find(id identifier.Request) *Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[id]
}

func (m *Meter) remove(id identifier.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.active, id)
}

// RecordStep counts the steps that concern metrics: admission, decisions and retries.
// Steps of requests that have ended are ignored.
func (m *Meter) RecordStep(e reducer.RecordStep) {
	switch e.Step {
	case reducer.StepAdmitted, reducer.StepDecided, reducer.StepRetried, reducer.StepResumed:
	default:
		return
	}
	r := m.find(e.Request)
	if r == nil {
		return
	}
	if e.Step == reducer.StepAdmitted {
		r.setLabels(string(e.Service), string(e.Class))
		return
	}
	service, _ := r.labels()
	switch e.Step {
	case reducer.StepDecided:
		m.decisions.WithLabelValues(service, string(e.Decision)).Inc()
	default:
		m.retries.WithLabelValues(service, string(e.Step), string(e.Reason)).Inc()
	}
}

// CountBlockBytes counts the bytes of cache blocks transferred from or to a store.
func (m *Meter) CountBlockBytes(store identifier.Store, direction Direction, bytes int64) {
	if bytes > 0 {
		m.blockBytes.WithLabelValues(string(store), string(direction)).Add(float64(bytes))
	}
}

// Prompt is the number of a prompt's tokens by source. Cached includes the tokens
// of the blocks that were imported for this request.
type Prompt struct {
	Tokens         int
	Cached         int
	ImportedBlocks int
}

func (m *Meter) countPrompt(service string, p Prompt) {
	cached := min(p.Cached, p.Tokens)
	imported := min(p.ImportedBlocks*hasher.BlockTokens, cached)
	m.tokens.WithLabelValues(service, "imported").Add(float64(imported))
	m.tokens.WithLabelValues(service, "cached").Add(float64(cached - imported))
	m.tokens.WithLabelValues(service, "computed").Add(float64(p.Tokens - cached))
}
