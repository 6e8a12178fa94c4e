package tracer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordRequest traces one request with a provider of cfg and exports its spans.
func recordRequest(t *testing.T, cfg ProviderConfig, header http.Header) {
	t.Helper()
	p, err := NewProvider(cfg)
	assert.NilError(t, err)
	tr, err := New(Config{Clock: clockwork.NewRealClock(), Provider: p.TracerProvider()})
	assert.NilError(t, err)
	_, r := tr.Begin(context.Background(), "r-1", header)
	r.End("ok", true)
	assert.NilError(t, p.Close())
}

// TestSpansAppendedToFile checks that a second provider doesn't overwrite the spans
// of the first.
func TestSpansAppendedToFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	for range 2 {
		recordRequest(t, ProviderConfig{Host: "entry-01", File: path, Ratio: 1}, http.Header{})
	}
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(text), `"Name":"request"`), 2, string(text))
}

func TestSpansSentToCollector(t *testing.T) {
	bodies := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		bodies <- r.URL.Path + " " + string(raw)
	}))
	defer collector.Close()
	recordRequest(t, ProviderConfig{Host: "entry-01", Endpoint: netip.MustParseAddrPort(collector.Listener.Addr().String()), Ratio: 1}, http.Header{})
	body := <-bodies
	assert.Assert(t, strings.HasPrefix(body, "/v1/traces "), body)
	assert.Assert(t, strings.Contains(body, "r-1") && strings.Contains(body, "entry-01"), body)
}

// retainingExporter keeps its spans after shutdown.
type retainingExporter struct{ *tracetest.InMemoryExporter }

func (retainingExporter) Shutdown(context.Context) error { return nil }

// TestCallerSamplingOverridesRatio checks that the sampled flag of a caller's
// traceparent takes precedence over the configured ratio.
func TestCallerSamplingOverridesRatio(t *testing.T) {
	cases := []struct {
		name, parent string
		ratio        float64
		want         int
	}{
		{"no parent, ratio 0", "", 0, 0},
		{"no parent, ratio 1", "", 1, 1},
		{"parent sampled", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 0, 1},
		{"parent not sampled", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spans := retainingExporter{tracetest.NewInMemoryExporter()}
			header := http.Header{}
			if c.parent != "" {
				header.Set("traceparent", c.parent)
			}
			recordRequest(t, ProviderConfig{Exporter: spans, Ratio: c.ratio}, header)
			assert.Equal(t, len(spans.GetSpans()), c.want)
		})
	}
}

func TestNewProviderReportsUnopenableFile(t *testing.T) {
	_, err := NewProvider(ProviderConfig{File: filepath.Join(t.TempDir(), "no-folder", "spans.json")})
	assert.ErrorContains(t, err, "trace.file")
}
