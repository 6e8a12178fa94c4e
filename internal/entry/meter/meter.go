// Package meter counts what the daemon does with requests. All labels have few
// values: services, stores and classes of the configuration and the kinds of
// outcomes, but no team, target or request.
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
	// KindConfig reports a missing part of a Config.
	KindConfig Kind = "config"
	// KindRegister reports metrics that are registered already.
	KindRegister Kind = "register"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Outcome says how a request ended: one of the constants below, or the kind of
// its refusal.
type Outcome string

// The outcomes other than refusals.
const (
	OutcomeOK       Outcome = "ok"
	OutcomeReplayed Outcome = "replayed"
	// OutcomeCallerGone means that the caller left or took too long to read.
	OutcomeCallerGone Outcome = "caller-gone"
)

// Direction is that of cache blocks between targets and stores.
type Direction string

// The directions.
const (
	DirectionImport Direction = "import"
	DirectionExport Direction = "export"
)

// none is the service and the class of requests that were not admitted.
const none = "none"

// Config configures a Meter.
type Config struct {
	Clock      clockwork.Clock
	Registerer prometheus.Registerer
}

// Meter counts requests. It is safe for concurrent use.
type Meter struct {
	clock      clockwork.Clock
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstToken *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
	decisions  *prometheus.CounterVec
	retries    *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	blocks     *prometheus.CounterVec

	mu      sync.Mutex
	running map[identifier.Request]*Request
}

// New returns a Meter whose metrics are registered.
func New(cfg Config) (*Meter, error) {
	if cfg.Clock == nil || cfg.Registerer == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new meter", Kind: KindConfig, Err: errors.New("clock and registerer are needed")}}
	}
	m := &Meter{
		clock:      cfg.Clock,
		requests:   newCounter("requests_total", "Requests that have ended.", "service", "class", "outcome"),
		duration:   newHistogram("request_seconds", "Time from a request's arrival to the end of its answer.", firstBucket, "service", "class", "outcome"),
		firstToken: newHistogram("first_token_seconds", "Time from a prompt's arrival to its first token.", firstBucket, "service", "class"),
		tokenGap:   newHistogram("token_gap_seconds", "Time between two tokens of one answer.", gapBucket, "service"),
		decisions:  newCounter("decisions_total", "Decisions on how a request gets its prompt's cache.", "service", "kind"),
		retries:    newCounter("retries_total", "Attempts that failed and were followed by another.", "service", "kind", "reason"),
		tokens:     newCounter("prompt_tokens_total", "Prompt tokens by what they came from.", "service", "source"),
		blocks:     newCounter("store_bytes_total", "Bytes of cache blocks moved by this daemon's orders.", "store", "direction"),
		running:    map[identifier.Request]*Request{},
	}
	for _, c := range []prometheus.Collector{m.requests, m.duration, m.firstToken, m.tokenGap, m.decisions, m.retries, m.tokens, m.blocks} {
		if err := cfg.Registerer.Register(c); err != nil {
			return nil, &Error{failer.Detail[Kind]{Op: "new meter", Kind: KindRegister, Err: err}}
		}
	}
	return m, nil
}

// Namespace begins the name of each metric.
const Namespace = "cardamomscale"

// Sizes of the histograms: the first bucket in seconds, the factor between two
// buckets, and their number.
const (
	firstBucket  = 0.005
	gapBucket    = 0.001
	bucketFactor = 2
	bucketCount  = 14
)

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, first float64, labels ...string) *prometheus.HistogramVec {
	buckets := prometheus.ExponentialBuckets(first, bucketFactor, bucketCount)
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: Namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Begin counts a request that has arrived. Its End must be called.
func (m *Meter) Begin(id identifier.Request) *Request {
	r := &Request{meter: m, id: id, arrived: m.clock.Now(), service: none, class: none}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[id] = r
	return r
}

func (m *Meter) find(id identifier.Request) *Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[id]
}

func (m *Meter) remove(id identifier.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, id)
}

// Note counts a step of a request.
func (m *Meter) Note(n reducer.Note) {
	switch n.Step {
	case reducer.StepAdmitted, reducer.StepDecided, reducer.StepRetried, reducer.StepResumed:
	default:
		return
	}
	r := m.find(n.Request)
	if r == nil {
		return
	}
	if n.Step == reducer.StepAdmitted {
		r.admit(string(n.Service), string(n.Class))
		return
	}
	service, _ := r.labels()
	switch n.Step {
	case reducer.StepDecided:
		m.decisions.WithLabelValues(service, string(n.Decision)).Inc()
	default:
		m.retries.WithLabelValues(service, string(n.Step), string(n.Reason)).Inc()
	}
}

// Moved counts bytes of cache blocks.
func (m *Meter) Moved(store identifier.Store, direction Direction, bytes int64) {
	if bytes > 0 {
		m.blocks.WithLabelValues(string(store), string(direction)).Add(float64(bytes))
	}
}

// Prompt says where a prompt's tokens came from. Cached are all that the target
// had when it began, those that were imported for this request included.
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
