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

// outcomeOf returns the text of a span's attribute.
func valueOf(span tracetest.SpanStub, key attribute.Key) string {
	for _, a := range span.Attributes {
		if a.Key == key {
			return a.Value.String()
		}
	}
	return ""
}

// treeOf waits for the end of a request and returns its spans' names in order
// of their starts. Each span must lie below the request's, within its time.
func (b *bench) treeOf(spans *tracetest.InMemoryExporter, id string) ([]string, tracetest.SpanStubs) {
	b.t.Helper()
	var root *tracetest.SpanStub
	b.eventually("the span of request "+id, func() bool {
		for _, span := range spans.GetSpans() {
			if span.Name == tracer.SpanRequest && valueOf(span, tracer.KeyRequest) == id {
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
		assert.Equal(b.t, span.Parent.SpanID(), root.SpanContext.SpanID(), "the parent of %s", span.Name)
		assert.Assert(b.t, !span.StartTime.Before(root.StartTime) && !span.EndTime.After(root.EndTime), "%s lies outside the request", span.Name)
	}
	slices.SortStableFunc(list, func(x, y tracetest.SpanStub) int { return x.StartTime.Compare(y.StartTime) })
	var names []string
	for _, span := range list {
		names = append(names, span.Name)
	}
	return names, list
}

// one returns the only span with a name.
func one(t *testing.T, list tracetest.SpanStubs, name string) tracetest.SpanStub {
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

func TestTraceOfPlainSuccess(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	b := newBench(t, assembler.Config{SpanExporter: spans})
	answer := b.complete(0, "how do I dry cardamom", true, caller("traceparent", callerParent))
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
	names, list := b.treeOf(spans, answer.id())
	assert.DeepEqual(t, names, []string{tracer.SpanRequest, tracer.SpanQueue, tracer.SpanDecision, tracer.SpanAttempt})
	root := one(t, list, tracer.SpanRequest)
	assert.Equal(t, root.SpanContext.TraceID().String(), callerTrace)
	assert.Equal(t, root.Parent.SpanID().String(), "b7ad6b7169203331")
	assert.Equal(t, valueOf(root, tracer.KeyOutcome), "ok")
	decision := one(t, list, tracer.SpanDecision)
	assert.Assert(t, strings.Contains(valueOf(decision, tracer.KeyWhy), "first token expected in"), valueOf(decision, tracer.KeyWhy))
	assert.Equal(t, valueOf(decision, tracer.KeyTarget), valueOf(one(t, list, tracer.SpanAttempt), tracer.KeyTarget))
}

func TestTraceOfClaim(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	b := newBench(t, assembler.Config{SpanExporter: spans})
	header := caller("Idempotency-Key", "payment-1")
	first := b.must(http.MethodPost, b.host(0).Callers, "/services/orders/payments", `{"amount":12}`, header)
	assert.Equal(t, first.status, http.StatusOK, first.body)
	names, list := b.treeOf(spans, first.id())
	assert.DeepEqual(t, names, []string{tracer.SpanRequest, tracer.SpanQueue, tracer.SpanClaim, tracer.SpanQueue, tracer.SpanDecision, tracer.SpanAttempt})
	assert.Equal(t, valueOf(one(t, list, tracer.SpanClaim), tracer.KeyOutcome), "won")
	again := b.must(http.MethodPost, b.host(0).Callers, "/services/orders/payments", `{"amount":12}`, header)
	assert.Equal(t, again.body, first.body)
	names, list = b.treeOf(spans, again.id())
	assert.DeepEqual(t, names[:3], []string{tracer.SpanRequest, tracer.SpanQueue, tracer.SpanClaim})
	assert.Equal(t, valueOf(one(t, list, tracer.SpanClaim), tracer.KeyOutcome), "answered")
	assert.Equal(t, valueOf(one(t, list, tracer.SpanRequest), tracer.KeyOutcome), "replayed")
}

func TestTraceOfRetryAndResume(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	b := newBench(t, assembler.Config{SpanExporter: spans})
	reset := 1
	for _, e := range b.Engines {
		assert.NilError(t, e.Apply(engine.Faults{ResetNext: &reset}))
	}
	answer := b.complete(0, "how do I dry cardamom", true, caller())
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
	assert.Assert(t, strings.Contains(answer.body, `"done":true`), answer.body)
	_, list := b.treeOf(spans, answer.id())
	attempt := one(t, list, tracer.SpanAttempt)
	assert.Equal(t, attempt.Status.Code, codes.Error)
	assert.Equal(t, attempt.Status.Description, "broken")
	var resumes tracetest.SpanStubs
	for _, span := range list {
		if span.Name == tracer.SpanResume {
			resumes = append(resumes, span)
		}
	}
	assert.Equal(t, len(resumes), 2)
	assert.Assert(t, valueOf(resumes[0], tracer.KeyTarget) != valueOf(attempt, tracer.KeyTarget))
	assert.Assert(t, valueOf(resumes[0], tracer.KeyOffset) != "0")
	assert.Equal(t, resumes[1].Status.Code, codes.Unset)
	explained := b.must(http.MethodGet, b.host(0).Operators, "/operator/v1/explain/"+answer.id(), "", nil)
	assert.Assert(t, strings.Contains(explained.body, `"resumed"`), explained.body)
	assert.Assert(t, strings.Contains(explained.body, "attempt 1 failed: broken"), explained.body)
}

// TestTraceOfImport lets a prompt return whose cache is only at the store, since
// all engines were restarted.
func TestTraceOfImport(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	plan := testPlan(1)
	plan.Engine.PrefillTokensPerSecond = 5000
	profile := plan.Fleet.Profiles["shop"]
	profile.StallTimeout = specifier.Duration{Duration: 10 * time.Second}
	plan.Fleet.Profiles["shop"] = profile
	b := newBench(t, assembler.Config{Plan: plan, SpanExporter: spans})
	prompt := words("import", 8*testBlock+10)
	b.eventually("the blocks are at the store", func() bool {
		answer := b.complete(0, prompt, false, caller())
		assert.Equal(t, answer.status, http.StatusOK, answer.body)
		_, list := b.treeOf(spans, answer.id())
		return valueOf(one(t, list, tracer.SpanLookup), tracer.KeyBlocks) == "8"
	})
	for _, e := range b.Engines {
		e.Restart()
	}
	var list tracetest.SpanStubs
	var names []string
	var explained reply
	b.eventually("an import", func() bool {
		answer := b.complete(0, prompt, false, caller())
		names, list = b.treeOf(spans, answer.id())
		explained = b.must(http.MethodGet, b.host(0).Operators, "/operator/v1/explain/"+answer.id(), "", nil)
		return slices.Contains(names, tracer.SpanImport)
	})
	assert.Assert(t, slices.Index(names, tracer.SpanLookup) < slices.Index(names, tracer.SpanDecision), names)
	assert.Assert(t, slices.Index(names, tracer.SpanDecision) < slices.Index(names, tracer.SpanImport), names)
	imported := one(t, list, tracer.SpanImport)
	assert.Equal(t, valueOf(imported, tracer.KeyStore), "store-01")
	assert.Assert(t, valueOf(imported, tracer.KeyBlocks) != "0")
	assert.Assert(t, strings.Contains(explained.body, "blocks of store store-01"), explained.body)
}

// TestTargetsGetTheSpan compares what a target was sent with the span of its attempt.
func TestTargetsGetTheSpan(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	b := newBench(t, assembler.Config{SpanExporter: spans})
	target := newEchoTarget(t)
	b.addTarget("echo", target.address)
	answer := b.must(http.MethodGet, b.host(0).Callers, "/services/echo/stock", "", caller("traceparent", callerParent))
	assert.Equal(t, answer.status, http.StatusOK, answer.body)
	_, list := b.treeOf(spans, answer.id())
	attempt := one(t, list, tracer.SpanAttempt)
	want := fmt.Sprintf("00-%s-%s-01", callerTrace, attempt.SpanContext.SpanID())
	assert.Equal(t, target.last().Get("traceparent"), want)
}

var _ sdktrace.SpanExporter = (*tracetest.InMemoryExporter)(nil)
