// Package tracer records OpenTelemetry spans for requests and their hops. Spans
// carry names, counts and reasons, but no keys, prompts or answers.
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
	// KindConfig reports an invalid Config or ProviderConfig.
	KindConfig Kind = "config"
	// KindExport reports spans that could not be exported.
	KindExport Kind = "export"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Span names.
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

// Attribute keys.
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

// instrumentationName is the instrumentation scope of all spans.
const instrumentationName = "cardamomscale.example/cardamomscale"

// Config configures a Tracer.
type Config struct {
	Clock clockwork.Clock
	// Provider creates the spans; nil disables tracing.
	Provider trace.TracerProvider
}

// Tracer records the spans of requests. It is safe for concurrent use.
type Tracer struct {
	clock      clockwork.Clock
	otelTracer trace.Tracer
	propagator propagation.TextMapPropagator

	mu       sync.Mutex
	requests map[identifier.Request]*Request
}

// New returns a Tracer.
func New(cfg Config) (*Tracer, error) {
	if cfg.Clock == nil {
		return nil, newError("new tracer", KindConfig, errors.New("clock is required"))
	}
	if cfg.Provider == nil {
		cfg.Provider = noop.NewTracerProvider()
	}
	return &Tracer{
		clock: cfg.Clock, otelTracer: cfg.Provider.Tracer(instrumentationName), propagator: Propagator(),
		requests: map[identifier.Request]*Request{},
	}, nil
}

// Propagator returns the propagator of trace contexts between processes, which uses
// the W3C traceparent and tracestate headers. Baggage is not propagated.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// Request records the spans of one request. It is safe for concurrent use.
type Request struct {
	tracer *Tracer
	id     identifier.Request
	ctx    context.Context
	span   trace.Span

	mu sync.Mutex
	// queueSpan is the span of the current wait for a target; nil while not waiting.
	queueSpan trace.Span
	ended     bool
}

// Begin starts the span of a request, as a child of the caller's span if header
// carries one. The caller must call End on the result. The returned context carries
// the span.
func (t *Tracer) Begin(ctx context.Context, id identifier.Request, header http.Header) (context.Context, *Request) {
	ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
	ctx, span := t.otelTracer.Start(ctx, SpanRequest, trace.WithSpanKind(trace.SpanKindServer), t.timestamp(), trace.WithAttributes(KeyRequest.String(string(id))))
	r := &Request{tracer: t, id: id, ctx: ctx, span: span}
	if span.IsRecording() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.requests[id] = r
	}
	return ctx, r
}

// timestamp returns the clock's time as an option for spans and events.
func (t *Tracer) timestamp() trace.SpanEventOption { return trace.WithTimestamp(t.clock.Now()) }

// RecordStep records a step of a request. Steps of requests that are not sampled or
// have ended are ignored.
func (t *Tracer) RecordStep(e reducer.RecordStep) {
	t.mu.Lock()
	r := t.requests[e.Request]
	t.mu.Unlock()
	if r != nil {
		r.recordStep(e)
	}
}

func (r *Request) recordStep(e reducer.RecordStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	switch e.Step {
	case reducer.StepAdmitted:
		r.span.SetAttributes(KeyService.String(string(e.Service)), KeyClass.String(string(e.Class)))
		r.startQueueSpanLocked()
	case reducer.StepDecided:
		r.recordDecisionLocked(e)
	case reducer.StepRetried, reducer.StepResumed:
		r.span.AddEvent(string(e.Step), r.tracer.timestamp(), trace.WithAttributes(KeyTarget.String(string(e.Target)), KeyReason.String(string(e.Reason))))
		r.startQueueSpanLocked()
	case reducer.StepClaimed:
		r.startQueueSpanLocked()
	case reducer.StepRefused:
		r.endQueueSpanLocked()
	}
}

// startQueueSpanLocked starts the span of a wait for a target, unless the request
// is waiting already.
func (r *Request) startQueueSpanLocked() {
	if r.queueSpan == nil {
		_, r.queueSpan = r.tracer.otelTracer.Start(r.ctx, SpanQueue, r.tracer.timestamp())
	}
}

func (r *Request) endQueueSpanLocked() {
	if r.queueSpan != nil {
		r.queueSpan.End(r.tracer.timestamp())
		r.queueSpan = nil
	}
}

// recordDecisionLocked records a routing decision. It ends the wait, except for a
// request that follows another one, which continues to wait.
func (r *Request) recordDecisionLocked(e reducer.RecordStep) {
	if e.Decision != reducer.DecisionFollow {
		r.endQueueSpanLocked()
	}
	_, span := r.tracer.otelTracer.Start(r.ctx, SpanDecision, r.tracer.timestamp(), trace.WithAttributes(
		KeyDecision.String(string(e.Decision)), KeyTarget.String(string(e.Target)), KeyWhy.String(e.Detail),
	))
	span.End(r.tracer.timestamp())
}

// StartClaim ends the current wait and starts the span of a claim.
func (r *Request) StartClaim(ctx context.Context) (context.Context, *Span) {
	r.mu.Lock()
	r.endQueueSpanLocked()
	r.mu.Unlock()
	return r.Start(ctx, SpanClaim)
}

// Start starts a child of the span in ctx.
func (r *Request) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, *Span) {
	ctx, span := r.tracer.otelTracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), r.tracer.timestamp(), trace.WithAttributes(attributes...))
	return ctx, &Span{tracer: r.tracer, span: span}
}

// End ends the request's spans. If the answer is not complete, outcome becomes the
// error status of the request's span.
func (r *Request) End(outcome string, complete bool) {
	r.tracer.mu.Lock()
	delete(r.tracer.requests, r.id)
	r.tracer.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.endQueueSpanLocked()
	r.span.SetAttributes(KeyOutcome.String(outcome))
	if !complete {
		r.span.SetStatus(codes.Error, outcome)
	}
	r.span.End(r.tracer.timestamp())
}

// Span is the span of one hop, such as a call to a target or a store.
type Span struct {
	tracer *Tracer
	span   trace.Span
}

// End ends the span. A non-empty failure becomes its error status.
func (s *Span) End(failure string, attributes ...attribute.KeyValue) {
	s.span.SetAttributes(attributes...)
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End(s.tracer.timestamp())
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}

// exportTimeout bounds the export of the remaining spans when a Provider is closed.
const exportTimeout = 5 * time.Second
