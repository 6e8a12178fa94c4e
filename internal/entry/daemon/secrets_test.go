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

// lockedBuffer is a log that several goroutines write.
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

// sendMarked runs requests of all kinds with marked secrets: answered, resumed,
// refused, malformed, claimed and repeated. It returns their IDs.
func (b *bench) sendMarked() []string {
	b.t.Helper()
	var ids []string
	keep := func(r reply, want int) {
		b.t.Helper()
		assert.Equal(b.t, r.status, want, r.body)
		ids = append(ids, r.id())
	}
	post := func(path, body string, pairs ...string) reply {
		return b.must(http.MethodPost, b.host(0).Callers, path, body, caller(pairs...))
	}
	keep(b.complete(0, words(markedPrompt, 3*testBlock), true, caller()), http.StatusOK)
	reset, refusing, serving := 1, true, false
	for _, e := range b.Engines {
		assert.NilError(b.t, e.Apply(engine.Faults{ResetNext: &reset}))
	}
	keep(b.complete(0, markedPrompt, true, caller()), http.StatusOK)
	for _, e := range b.Engines {
		assert.NilError(b.t, e.Apply(engine.Faults{Refuse: &refusing}))
	}
	keep(b.complete(0, markedPrompt+" refused", false, caller()), http.StatusBadGateway)
	for _, e := range b.Engines {
		assert.NilError(b.t, e.Apply(engine.Faults{Refuse: &serving}))
	}
	keep(b.complete(0, markedPrompt, false, http.Header{"Authorization": {"Bearer " + wrongKey}}), http.StatusUnauthorized)
	keep(post("/v1/completions", `{"model":"no-such-model","prompt":"`+markedPrompt+`"}`), http.StatusBadRequest)
	keep(post("/v1/completions", `{"prompt":{"`+markedPrompt+`":1}}`), http.StatusBadRequest)
	keep(post("/services/orders/payments", markedBody, "Idempotency-Key", markedKey), http.StatusOK)
	keep(post("/services/orders/payments", markedBody, "Idempotency-Key", markedKey), http.StatusOK)
	keep(post("/services/orders/payments", markedBody+"x", "Idempotency-Key", markedKey), http.StatusUnprocessableEntity)
	keep(post("/services/orders/payments", markedBody, "Idempotency-Key", strings.Repeat(markedKey, 20)), http.StatusBadRequest)
	return ids
}

// TestSecretsStayInside runs requests with marked secrets and looks for them in
// the log at its finest level, all spans, the metrics and all that operators see.
func TestSecretsStayInside(t *testing.T) {
	log := &lockedBuffer{}
	spans := tracetest.NewInMemoryExporter()
	b := newBench(t, assembler.Config{
		Plan: testPlan(2), SpanExporter: spans,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: log, JSONFormat: true}),
	})
	ids := b.sendMarked()
	outputs := map[string]string{}
	for _, name := range b.HostNames() {
		h := b.Hosts[name]
		for _, path := range []string{"/metrics", "/operator/v1/status"} {
			outputs[string(name)+path] = b.must(http.MethodGet, h.Operators, path, "", nil).body
		}
		for _, id := range ids {
			outputs[string(name)+" explain "+id] = b.must(http.MethodGet, h.Operators, "/operator/v1/explain/"+id, "", nil).body
		}
	}
	for _, id := range ids {
		b.eventually("the span of "+id, func() bool { return strings.Contains(fmt.Sprintf("%+v", spans.GetSpans()), id) })
	}
	outputs["spans"] = fmt.Sprintf("%+v", spans.GetSpans())
	for _, h := range b.Hosts {
		h.Stop()
	}
	outputs["log"] = log.String()
	assert.Assert(t, strings.Contains(outputs["log"], ids[2]), "the log does not tell of request %s", ids[2])
	for place, output := range outputs {
		assert.Assert(t, output != "", "%s is empty", place)
		for _, secret := range []string{testKey, "marked-prompt", "marked-idempotency", "marked-wrong", "marked-body", "assembly-block-secret"} {
			assert.Assert(t, !strings.Contains(output, secret), "%s has %q:\n%s", place, secret, output)
		}
	}
}

// TestExplainAsksPeers asks the daemon that did not take a request.
func TestExplainAsksPeers(t *testing.T) {
	b := newBench(t, assembler.Config{Plan: testPlan(2)})
	answer := b.complete(0, "how do I dry cardamom", false, caller())
	path := "/operator/v1/explain/" + answer.id()
	own := b.must(http.MethodGet, b.host(0).Operators, path, "", nil)
	assert.Equal(t, own.status, http.StatusOK)
	for _, step := range []string{"admitted", "decided", "attempt", "started", "finished"} {
		assert.Assert(t, strings.Contains(own.body, `"kind":"`+step+`"`), "step %s is missing in %s", step, own.body)
	}
	b.eventually("the peer's answer", func() bool {
		asked := b.must(http.MethodGet, b.host(1).Operators, path, "", nil)
		return asked.body == own.body
	})
	unknown := b.must(http.MethodGet, b.host(1).Operators, "/operator/v1/explain/nothing", "", nil)
	assert.Equal(t, unknown.status, http.StatusNotFound)
}
