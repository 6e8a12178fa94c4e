package daemon_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
)

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

const (
	markedPrompt = "marked-prompt-saffron"
	markedKey    = "marked-idempotency-key"
	wrongKey     = "marked-wrong-team-key"
	markedBody   = "marked-body-turmeric"
)

// sendMarked sends requests that contain marked secrets and are answered, resumed,
// refused, malformed, claimed or repeated. It returns their IDs.
func (f *fixture) sendMarked() []string {
	f.t.Helper()
	var ids []string
	record := func(r reply, want int) {
		f.t.Helper()
		assert.Equal(f.t, r.status, want, r.body)
		ids = append(ids, r.requestID())
	}
	post := func(path, body string, pairs ...string) reply {
		return f.mustDo(http.MethodPost, f.host(0).CallerAddress, path, body, callerHeader(pairs...))
	}
	record(f.complete(0, promptOfLength(markedPrompt, 3*testBlockChars), true, callerHeader()), http.StatusOK)
	reset, refuse, accept := 1, true, false
	for _, e := range f.Engines {
		assert.NilError(f.t, e.Apply(engine.Faults{ResetNext: &reset}))
	}
	record(f.complete(0, markedPrompt, true, callerHeader()), http.StatusOK)
	for _, e := range f.Engines {
		assert.NilError(f.t, e.Apply(engine.Faults{Refuse: &refuse}))
	}
	record(f.complete(0, markedPrompt+" refused", false, callerHeader()), http.StatusBadGateway)
	for _, e := range f.Engines {
		assert.NilError(f.t, e.Apply(engine.Faults{Refuse: &accept}))
	}
	record(f.complete(0, markedPrompt, false, http.Header{"Authorization": {"Bearer " + wrongKey}}), http.StatusUnauthorized)
	record(post("/v1/completions", `{"model":"no-such-model","prompt":"`+markedPrompt+`"}`), http.StatusBadRequest)
	record(post("/v1/completions", `{"prompt":{"`+markedPrompt+`":1}}`), http.StatusBadRequest)
	record(post("/services/orders/payments", markedBody, "Idempotency-Key", markedKey), http.StatusOK)
	record(post("/services/orders/payments", markedBody, "Idempotency-Key", markedKey), http.StatusOK)
	record(post("/services/orders/payments", markedBody+"x", "Idempotency-Key", markedKey), http.StatusUnprocessableEntity)
	record(post("/services/orders/payments", markedBody, "Idempotency-Key", strings.Repeat(markedKey, 20)), http.StatusBadRequest)
	return ids
}

// TestSecretsAreNotExposed guards against prompts, bodies and keys of callers in
// the log at trace level, spans, metrics, status and explanations.
func TestSecretsAreNotExposed(t *testing.T) {
	log := &lockedBuffer{}
	spans := tracetest.NewInMemoryExporter()
	f := newFixture(t, assembler.Config{
		Plan: newTestPlan(2), SpanExporter: spans,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: log, JSONFormat: true}),
	})
	ids := f.sendMarked()
	outputs := map[string]string{}
	for _, name := range f.HostNames() {
		h := f.Hosts[name]
		for _, path := range []string{"/metrics", "/operator/v1/status"} {
			outputs[string(name)+path] = f.mustDo(http.MethodGet, h.OperatorAddress, path, "", nil).body
		}
		for _, id := range ids {
			outputs[string(name)+" explain "+id] = f.mustDo(http.MethodGet, h.OperatorAddress, "/operator/v1/explain/"+id, "", nil).body
		}
	}
	for _, id := range ids {
		f.eventually("the span of "+id, func() bool { return strings.Contains(fmt.Sprintf("%+v", spans.GetSpans()), id) })
	}
	outputs["spans"] = fmt.Sprintf("%+v", spans.GetSpans())
	for _, h := range f.Hosts {
		h.Stop()
	}
	outputs["log"] = log.String()
	assert.Assert(t, strings.Contains(outputs["log"], ids[2]), "the log lacks request %s", ids[2])
	for place, output := range outputs {
		assert.Assert(t, output != "", "%s is empty", place)
		for _, secret := range []string{testKey, "marked-prompt", "marked-idempotency", "marked-wrong", "marked-body", "assembly-block-secret"} {
			assert.Assert(t, !strings.Contains(output, secret), "%s has %q:\n%s", place, secret, output)
		}
	}
}

// TestExplainAsksPeers checks that a daemon explains a request that its peer handled.
func TestExplainAsksPeers(t *testing.T) {
	f := newFixture(t, assembler.Config{Plan: newTestPlan(2)})
	answer := f.complete(0, "how do I dry cardamom", false, callerHeader())
	path := "/operator/v1/explain/" + answer.requestID()
	own := f.mustDo(http.MethodGet, f.host(0).OperatorAddress, path, "", nil)
	assert.Equal(t, own.status, http.StatusOK)
	for _, step := range []string{"admitted", "decided", "attempt", "started", "finished"} {
		assert.Assert(t, strings.Contains(own.body, `"kind":"`+step+`"`), "step %s is missing in %s", step, own.body)
	}
	f.eventually("the peer's answer", func() bool {
		answer := f.mustDo(http.MethodGet, f.host(1).OperatorAddress, path, "", nil)
		return answer.body == own.body
	})
	unknown := f.mustDo(http.MethodGet, f.host(1).OperatorAddress, "/operator/v1/explain/nothing", "", nil)
	assert.Equal(t, unknown.status, http.StatusNotFound)
}
