// Package tracer records a span for each hop of a request. Spans carry names,
// counts and reasons, but no keys, prompts or answers.
package tracer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindConfig reports a faulty Config.
	KindConfig Kind = "config"
	// KindExport reports spans that could not be handed over.
	KindExport Kind = "export"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// The names of spans.
const (
	SpanRequest  = "request"
	SpanQueue    = "queue"
	SpanDecision = "decision"
	SpanClaim    = "claim"
	SpanLookup   = "lookup"
	SpanImport   = "import"
	SpanProbe    = "probe"
	SpanAttempt  = "attempt"
	SpanResume   = "resume"
)

// The keys of attributes.
const (
	KeyRequest  = attribute.Key("cardamom.request-id")
	KeyService  = attribute.Key("cardamom.service")
	KeyClass    = attribute.Key("cardamom.class")
	KeyOutcome  = attribute.Key("cardamom.outcome")
	KeyTarget   = attribute.Key("cardamom.target")
	KeyStore    = attribute.Key("cardamom.store")
	KeyDecision = attribute.Key("cardamom.decision")
	KeyWhy      = attribute.Key("cardamom.why")
	KeyAttempt  = attribute.Key("cardamom.attempt")
	KeyOffset   = attribute.Key("cardamom.resume-offset")
	KeyBlocks   = attribute.Key("cardamom.blocks")
	KeyBytes    = attribute.Key("cardamom.bytes")
	KeyReason   = attribute.Key("cardamom.reason")
)

// instrumentation names the source of the spans.
const instrumentation = "cardamomscale.example/cardamomscale"

// Config configures a Tracer.
type Config struct {
	Clock clockwork.Clock
	// Provider makes the spans; nil means that none are recorded.
	Provider trace.TracerProvider
}

// Tracer records spans. It is safe for concurrent use.
type Tracer struct {
	clock      clockwork.Clock
	spans      trace.Tracer
	propagator propagation.TextMapPropagator

	mu       sync.Mutex
	requests map[identifier.Request]*Request
}

// New returns a Tracer.
func New(cfg Config) (*Tracer, error) {
	if cfg.Clock == nil {
		return nil, newError("new tracer", KindConfig, errors.New("a clock is needed"))
	}
	if cfg.Provider == nil {
		cfg.Provider = noop.NewTracerProvider()
	}
	return &Tracer{
		clock: cfg.Clock, spans: cfg.Provider.Tracer(instrumentation), propagator: Propagator(),
		requests: map[identifier.Request]*Request{},
	}, nil
}

// Propagator returns the form in which spans are named between processes, that
// of the W3C trace context. Baggage isn't passed on.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// Request is the trace of one request.
type Request struct {
	tracer *Tracer
	id     identifier.Request
	ctx    context.Context
	span   trace.Span

	mu sync.Mutex
	// queue is the span of the present wait, if there is one.
	queue trace.Span
	ended bool
}

// Begin starts the span of a request below the caller's, which header names if
// any. End must be called. The returned context carries the span.
func (t *Tracer) Begin(ctx context.Context, id identifier.Request, header http.Header) (context.Context, *Request) {
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
	ctx, span := t.spans.Start(ctx, SpanRequest, trace.WithSpanKind(trace.SpanKindServer), t.at(), trace.WithAttributes(KeyRequest.String(string(id))))
	r := &Request{tracer: t, id: id, ctx: ctx, span: span}
	if span.IsRecording() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.requests[id] = r
	}
	return ctx, r
}

// at returns the present time as an option of any span or event.
func (t *Tracer) at() trace.SpanEventOption { return trace.WithTimestamp(t.clock.Now()) }

// Note records a step of a request.
func (t *Tracer) Note(n reducer.Note) {
	t.mu.Lock()
	r := t.requests[n.Request]
	t.mu.Unlock()
	if r != nil {
		r.note(n)
	}
}

func (r *Request) note(n reducer.Note) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	switch n.Step {
	case reducer.StepAdmitted:
		r.span.SetAttributes(KeyService.String(string(n.Service)), KeyClass.String(string(n.Class)))
		r.waitLocked()
	case reducer.StepDecided:
		r.decideLocked(n)
	case reducer.StepRetried, reducer.StepResumed:
		r.span.AddEvent(string(n.Step), r.tracer.at(), trace.WithAttributes(KeyTarget.String(string(n.Target)), KeyReason.String(string(n.Reason))))
		r.waitLocked()
	case reducer.StepClaimed:
		r.waitLocked()
	case reducer.StepRefused:
		r.endQueueLocked()
	}
}

// waitLocked starts the span of a wait for a target.
func (r *Request) waitLocked() {
	if r.queue == nil {
		_, r.queue = r.tracer.spans.Start(r.ctx, SpanQueue, r.tracer.at())
	}
}

func (r *Request) endQueueLocked() {
	if r.queue != nil {
		r.queue.End(r.tracer.at())
		r.queue = nil
	}
}

// decideLocked records a decision. A request that follows another still waits.
func (r *Request) decideLocked(n reducer.Note) {
	if n.Decision != reducer.DecisionFollow {
		r.endQueueLocked()
	}
	_, span := r.tracer.spans.Start(r.ctx, SpanDecision, r.tracer.at(), trace.WithAttributes(
		KeyDecision.String(string(n.Decision)), KeyTarget.String(string(n.Target)), KeyWhy.String(n.Detail),
	))
	span.End(r.tracer.at())
}

// StartClaim starts the span of a claim, which ends the wait before it.
func (r *Request) StartClaim(ctx context.Context) (context.Context, *Span) {
	r.mu.Lock()
	r.endQueueLocked()
	r.mu.Unlock()
	return r.Start(ctx, SpanClaim)
}

// Start starts a span below the one that ctx carries.
func (r *Request) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, *Span) {
	ctx, span := r.tracer.spans.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), r.tracer.at(), trace.WithAttributes(attributes...))
	return ctx, &Span{tracer: r.tracer, span: span}
}

// End ends the request's spans.
func (r *Request) End(outcome string, whole bool) {
	r.tracer.mu.Lock()
	delete(r.tracer.requests, r.id)
	r.tracer.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.endQueueLocked()
	r.span.SetAttributes(KeyOutcome.String(outcome))
	if !whole {
		r.span.SetStatus(codes.Error, outcome)
	}
	r.span.End(r.tracer.at())
}

// Span is one hop of a request.
type Span struct {
	tracer *Tracer
	span   trace.Span
}

// End ends the hop. A failure that isn't empty says why it came to nothing.
func (s *Span) End(failure string, attributes ...attribute.KeyValue) {
	s.span.SetAttributes(attributes...)
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End(s.tracer.at())
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// exportTimeout bounds the handing over of the last spans.
const exportTimeout = 5 * time.Second
