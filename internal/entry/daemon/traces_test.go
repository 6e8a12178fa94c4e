package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
)

// attributeOf returns the value of a span's attribute as text.
func attributeOf(span tracetest.SpanStub, key attribute.Key) string {
	for _, a := range span.Attributes {
		if a.Key == key {
			return a.Value.String()
		}
	}
	return ""
}

// spansOf waits for the end of a request and returns the names and the spans of
// its trace, sorted by start. Each must be a child of the request's span and lie
// within its time.
func (f *fixture) spansOf(spans *tracetest.InMemoryExporter, id string) ([]string, tracetest.SpanStubs) {
	f.t.Helper()
	var root *tracetest.SpanStub
	f.eventually("the span of request "+id, func() bool {
		for _, span := range spans.GetSpans() {
			if span.Name == tracer.SpanRequest && attributeOf(span, tracer.KeyRequest) == id {
				root = &span
				return true
			}
		}
		return false
	})
	var list tracetest.SpanStubs
	for _, span := range spans.GetSpans() {
		if span.SpanContext.TraceID() != root.SpanContext.TraceID() {
			continue
		}
		list = append(list, span)
		if span.Name == tracer.SpanRequest {
			continue
		}
		assert.Equal(f.t, span.Parent.SpanID(), root.SpanContext.SpanID(), "the parent of %s", span.Name)
		assert.Assert(f.t, !span.StartTime.Before(root.StartTime) && !span.EndTime.After(root.EndTime), "%s lies outside the request", span.Name)
	}
	slices.SortStableFunc(list, func(x, y tracetest.SpanStub) int { return x.StartTime.Compare(y.StartTime) })
	var names []string
	for _, span := range list {
		names = append(names, span.Name)
	}
	return names, list
}

// onlySpan returns the span with a name and fails unless there is exactly one.
func onlySpan(t *testing.T, list tracetest.SpanStubs, name string) tracetest.SpanStub {
	t.Helper()
	var found tracetest.SpanStubs
	for _, span := range list {
		if span.Name == name {
			found = append(found, span)
		}
	}
	assert.Equal(t, len(found), 1, "spans named %s", name)
	return found[0]
}

const (
	callerTrace  = "0af7651916cd43dd8448eb211c80319c"
	callerParent = "00-" + callerTrace + "-b7ad6b7169203331-01"
)

// TestTraceOfSuccess checks the spans of a request that succeeds at once, and that
// they continue the caller's trace.
func TestTraceOfSuccess(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	f := newFixture(t, assembler.Config{SpanExporter: spans})
	answer := f.complete(0, "how do I dry cardamom", true, callerHeader("traceparent", callerParent))
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
	names, list := f.spansOf(spans, answer.requestID())
	assert.DeepEqual(t, names, []string{tracer.SpanRequest, tracer.SpanQueue, tracer.SpanDecision, tracer.SpanAttempt})
	root := onlySpan(t, list, tracer.SpanRequest)
	assert.Equal(t, root.SpanContext.TraceID().String(), callerTrace)
	assert.Equal(t, root.Parent.SpanID().String(), "b7ad6b7169203331")
	assert.Equal(t, attributeOf(root, tracer.KeyOutcome), "ok")
	decision := onlySpan(t, list, tracer.SpanDecision)
	assert.Assert(t, strings.Contains(attributeOf(decision, tracer.KeyWhy), "first token expected in"), attributeOf(decision, tracer.KeyWhy))
	assert.Equal(t, attributeOf(decision, tracer.KeyTarget), attributeOf(onlySpan(t, list, tracer.SpanAttempt), tracer.KeyTarget))
}

// TestTraceOfClaim checks that the spans of a claimed request and of its retry show
// the outcome of the claim.
func TestTraceOfClaim(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	f := newFixture(t, assembler.Config{SpanExporter: spans})
	header := callerHeader("Idempotency-Key", "payment-1")
	first := f.mustDo(http.MethodPost, f.host(0).CallerAddress, "/services/orders/payments", `{"amount":12}`, header)
	assert.Equal(t, first.status, http.StatusOK, first.body)
	names, list := f.spansOf(spans, first.requestID())
	assert.DeepEqual(t, names, []string{tracer.SpanRequest, tracer.SpanQueue, tracer.SpanClaim, tracer.SpanQueue, tracer.SpanDecision, tracer.SpanAttempt})
	assert.Equal(t, attributeOf(onlySpan(t, list, tracer.SpanClaim), tracer.KeyOutcome), "won")
	again := f.mustDo(http.MethodPost, f.host(0).CallerAddress, "/services/orders/payments", `{"amount":12}`, header)
	assert.Equal(t, again.body, first.body)
	names, list = f.spansOf(spans, again.requestID())
	assert.DeepEqual(t, names[:3], []string{tracer.SpanRequest, tracer.SpanQueue, tracer.SpanClaim})
	assert.Equal(t, attributeOf(onlySpan(t, list, tracer.SpanClaim), tracer.KeyOutcome), "answered")
	assert.Equal(t, attributeOf(onlySpan(t, list, tracer.SpanRequest), tracer.KeyOutcome), "replayed")
}

// TestTraceOfRetryAndResume checks that each attempt at a stream that breaks has a
// span of its own and that resumed attempts have an offset.
func TestTraceOfRetryAndResume(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	f := newFixture(t, assembler.Config{SpanExporter: spans})
	reset := 1
	for _, e := range f.Engines {
		assert.NilError(t, e.Apply(engine.Faults{ResetNext: &reset}))
	}
	answer := f.complete(0, "how do I dry cardamom", true, callerHeader())
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
	assert.Assert(t, strings.Contains(answer.body, `"done":true`), answer.body)
	_, list := f.spansOf(spans, answer.requestID())
	attempt := onlySpan(t, list, tracer.SpanAttempt)
	assert.Equal(t, attempt.Status.Code, codes.Error)
	assert.Equal(t, attempt.Status.Description, "broken")
	var resumes tracetest.SpanStubs
	for _, span := range list {
		if span.Name == tracer.SpanResume {
			resumes = append(resumes, span)
		}
	}
	assert.Equal(t, len(resumes), 2)
	assert.Assert(t, attributeOf(resumes[0], tracer.KeyTarget) != attributeOf(attempt, tracer.KeyTarget))
	assert.Assert(t, attributeOf(resumes[0], tracer.KeyOffset) != "0")
	assert.Equal(t, resumes[1].Status.Code, codes.Unset)
	explained := f.mustDo(http.MethodGet, f.host(0).OperatorAddress, "/operator/v1/explain/"+answer.requestID(), "", nil)
	assert.Assert(t, strings.Contains(explained.body, `"resumed"`), explained.body)
	assert.Assert(t, strings.Contains(explained.body, "attempt 1 failed: broken"), explained.body)
}

// TestTraceOfImport repeats a prompt whose blocks only the store has, since all
// engines were restarted.
func TestTraceOfImport(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	plan := newTestPlan(1)
	plan.Engine.PrefillTokensPerSecond = 5000
	profile := plan.Fleet.Profiles["shop"]
	profile.StallTimeout = specifier.Duration{Duration: 10 * time.Second}
	plan.Fleet.Profiles["shop"] = profile
	f := newFixture(t, assembler.Config{Plan: plan, SpanExporter: spans})
	prompt := promptOfLength("import", 8*testBlockChars+10)
	f.eventually("the blocks are at the store", func() bool {
		answer := f.complete(0, prompt, false, callerHeader())
		assert.Equal(t, answer.status, http.StatusOK, answer.body)
		_, list := f.spansOf(spans, answer.requestID())
		return attributeOf(onlySpan(t, list, tracer.SpanLookup), tracer.KeyBlocks) == "8"
	})
	for _, e := range f.Engines {
		e.Restart()
	}
	var list tracetest.SpanStubs
	var names []string
	var explained reply
	f.eventually("an import", func() bool {
		answer := f.complete(0, prompt, false, callerHeader())
		names, list = f.spansOf(spans, answer.requestID())
		explained = f.mustDo(http.MethodGet, f.host(0).OperatorAddress, "/operator/v1/explain/"+answer.requestID(), "", nil)
		return slices.Contains(names, tracer.SpanImport)
	})
	assert.Assert(t, slices.Index(names, tracer.SpanLookup) < slices.Index(names, tracer.SpanDecision), names)
	assert.Assert(t, slices.Index(names, tracer.SpanDecision) < slices.Index(names, tracer.SpanImport), names)
	imported := onlySpan(t, list, tracer.SpanImport)
	assert.Equal(t, attributeOf(imported, tracer.KeyStore), "store-01")
	assert.Assert(t, attributeOf(imported, tracer.KeyBlocks) != "0")
	assert.Assert(t, strings.Contains(explained.body, "blocks of store store-01"), explained.body)
}

// TestTargetReceivesTraceparent checks that a target receives the span of its
// attempt as parent.
func TestTargetReceivesTraceparent(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	f := newFixture(t, assembler.Config{SpanExporter: spans})
	target := newHeaderRecorder(t)
	f.addPlainTarget("echo", target.address)
	answer := f.mustDo(http.MethodGet, f.host(0).CallerAddress, "/services/echo/stock", "", callerHeader("traceparent", callerParent))
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
	_, list := f.spansOf(spans, answer.requestID())
	attempt := onlySpan(t, list, tracer.SpanAttempt)
	want := fmt.Sprintf("00-%s-%s-01", callerTrace, attempt.SpanContext.SpanID())
	assert.Equal(t, target.lastHeader().Get("traceparent"), want)
}

var _ sdktrace.SpanExporter = (*tracetest.InMemoryExporter)(nil)
