package daemon_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// metrics returns the metrics of the first host in the text format.
func (f *fixture) metrics() string {
	f.t.Helper()
	return f.mustDo(http.MethodGet, f.host(0).OperatorAddress, "/metrics", "", nil).body
}

// TestMetricsCountRequests checks the counts of requests with several outcomes, and
// that teams and text of callers do not become labels.
func TestMetricsCountRequests(t *testing.T) {
	f := newFixture(t, assembler.Config{})
	f.complete(0, "how do I dry cardamom", true, callerHeader())
	f.complete(0, "how do I dry cardamom", false, http.Header{"Authorization": {"Bearer nobody"}})
	f.mustDo(http.MethodPost, f.host(0).CallerAddress, "/services/no-such-service/x", "", callerHeader())
	f.mustDo(http.MethodPost, f.host(0).CallerAddress, "/v1/completions", "{", callerHeader("Cardamom-Class", "made-up"))
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
	f.eventually("the counts", func() bool {
		got = f.metrics()
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
	assert.Assert(t, !strings.Contains(got, "no-such-service"), "text of a caller is a label")
}
