package daemon_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// metrics returns what the first host tells the metrics collector.
func (b *bench) metrics() string {
	b.t.Helper()
	return b.must(http.MethodGet, b.host(0).Operators, "/metrics", "", nil).body
}

// TestMetricsCountRequests sends requests of several outcomes and compares the counts.
func TestMetricsCountRequests(t *testing.T) {
	b := newBench(t, assembler.Config{})
	b.complete(0, "how do I dry cardamom", true, caller())
	b.complete(0, "how do I dry cardamom", false, http.Header{"Authorization": {"Bearer nobody"}})
	b.must(http.MethodPost, b.host(0).Callers, "/services/no-such-service/x", "", caller())
	b.must(http.MethodPost, b.host(0).Callers, "/v1/completions", "{", caller("Cardamom-Class", "made-up"))
	want := []string{
		`cardamomscale_requests_total{class="interactive",data_centre="antigua",outcome="ok",service="assistant"} 1`,
		`cardamomscale_requests_total{class="none",data_centre="antigua",outcome="unauthenticated",service="none"} 1`,
		`cardamomscale_requests_total{class="none",data_centre="antigua",outcome="unknown-service",service="none"} 1`,
		`cardamomscale_requests_total{class="none",data_centre="antigua",outcome="invalid",service="none"} 1`,
		`cardamomscale_first_token_seconds_count{class="interactive",data_centre="antigua",service="assistant"} 1`,
		`cardamomscale_token_gap_seconds_count{data_centre="antigua",service="assistant"} 7`,
		`cardamomscale_decisions_total{data_centre="antigua",kind="recompute",service="assistant"} 1`,
		`cardamomscale_prompt_tokens_total{data_centre="antigua",service="assistant",source="computed"} 6`,
		`cardamomscale_queued_requests{data_centre="antigua",service="assistant"} 0`,
		`cardamomscale_in_flight_requests{data_centre="antigua"} 0`,
		`cardamomscale_live_hosts{data_centre="antigua"} 1`,
		`cardamomscale_ready{data_centre="antigua"} 1`,
	}
	var got string
	b.eventually("the counts", func() bool {
		got = b.metrics()
		for _, line := range want {
			if !strings.Contains(got, line+"\n") {
				return false
			}
		}
		return true
	})
	for _, name := range []string{"cardamomscale_platform_calls_total", "cardamomscale_platform_age_seconds", "cardamomscale_control_wire_bytes_total", "go_goroutines", "process_open_fds"} {
		assert.Assert(t, regexp.MustCompile("(?m)^"+name).MatchString(got), "%s is missing", name)
	}
	assert.Assert(t, !strings.Contains(got, "coffee"), "a team is a label")
	assert.Assert(t, !strings.Contains(got, "no-such-service"), "a caller's word is a label")
}
