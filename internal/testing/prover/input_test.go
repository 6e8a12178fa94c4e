package prover

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/entry/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// invalidRequest is a request that must be refused.
type invalidRequest struct {
	name, method, path, body string
	// key is the bearer key; if empty, none is sent.
	key     string
	headers map[string]string
	status  int
}

// invalidRequests returns requests that are each invalid in one way.
func invalidRequests() []invalidRequest {
	const completions = "/v1/completions"
	good := `{"model":"label-model","prompt":"x","max-tokens":1}`
	key := teamKey(1)
	pay := "/services/orders" + paymentsPath
	return []invalidRequest{
		{name: "no key", method: "POST", path: completions, body: good, status: 401},
		{name: "unknown key", method: "POST", path: completions, body: good, key: "nobody", status: 401},
		{name: "no body", method: "POST", path: completions, key: key, status: 400},
		{name: "not JSON", method: "POST", path: completions, body: "\x00{", key: key, status: 400},
		{name: "wrong type", method: "POST", path: completions, body: `{"model":7}`, key: key, status: 400},
		{name: "unknown field", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","temper":1}`, key: key, status: 400},
		{name: "trailing data", method: "POST", path: completions, body: good + good, key: key, status: 400},
		{name: "no model", method: "POST", path: completions, body: `{"prompt":"x"}`, key: key, status: 400},
		{name: "no prompt", method: "POST", path: completions, body: `{"model":"label-model"}`, key: key, status: 400},
		{name: "negative tokens", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","max-tokens":-1}`, key: key, status: 400},
		{name: "huge number", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","max-tokens":1e30}`, key: key, status: 400},
		{name: "unknown model", method: "POST", path: completions, body: `{"model":"none","prompt":"x"}`, key: key, status: 400},
		{name: "too many tokens", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","max-tokens":100000}`, key: key, status: 400},
		{name: "body too large", method: "POST", path: completions, body: `{"model":"label-model","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, key: key, status: 413},
		{name: "bad deadline", method: "POST", path: completions, body: good, key: key, headers: map[string]string{messenger.HeaderDeadline: "soon"}, status: 400},
		{name: "negative deadline", method: "POST", path: completions, body: good, key: key, headers: map[string]string{messenger.HeaderDeadline: "-1s"}, status: 400},
		{name: "unknown class", method: "POST", path: completions, body: good, key: key, headers: map[string]string{messenger.HeaderClass: "royal"}, status: 400},
		{name: "wrong method", method: "DELETE", path: completions, key: key, status: 405},
		{name: "unknown path", method: "GET", path: "/v2/completions", key: key, status: 404},
		{name: "unknown service", method: "GET", path: "/services/none/x", key: key, status: 404},
		{name: "payment without key", method: "POST", path: pay, body: "{}", key: key, status: 400},
		{name: "payment with long key", method: "POST", path: pay, body: "{}", key: key, headers: map[string]string{messenger.HeaderIdempotencyKey: strings.Repeat("k", 300)}, status: 400},
		{name: "payment with escaped path", method: "POST", path: "/services/orders/%70ayments", body: "{}", key: key, status: 400},
		{name: "payment on subpath", method: "POST", path: pay + "/7", body: "{}", key: key, status: 400},
		{name: "payment with dot segments", method: "POST", path: "/services/orders/x/../payments", body: "{}", key: key, status: 400},
		{name: "payment with double slash", method: "POST", path: "/services/orders//payments", body: "{}", key: key, status: 400},
	}
}

// TestGuaranteeInvalidRequestsAreRefused checks that invalid requests are refused
// as not run and reach no target, and that the answers contain no team name.
func TestGuaranteeInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{dataCentres: 1, daemons: 1, engines: 1, plainTargets: 1})
	// Don't follow redirects, so that the daemon's own answer is checked.
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, invalid := range invalidRequests() {
		t.Run(invalid.name, func(t *testing.T) {
			req, err := http.NewRequest(invalid.method, "http://"+c.hosts[0].settings.Listen.String()+invalid.path, strings.NewReader(invalid.body))
			assert.NilError(t, err)
			if invalid.key != "" {
				req.Header.Set("Authorization", "Bearer "+invalid.key)
			}
			for name, value := range invalid.headers {
				req.Header.Set(name, value)
			}
			response, err := client.Do(req)
			assert.NilError(t, err)
			raw, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, invalid.status, "%s", raw)
			var body server.ErrorBody
			assert.NilError(t, json.Unmarshal(raw, &body), "%s", raw)
			assert.Equal(t, body.Run, string(messenger.RunStateNotRun))
			assert.Assert(t, body.Kind != "" && body.Message != "" && body.RequestID != "", "%s", raw)
			assert.Assert(t, !bytes.Contains(raw, []byte("caterer-")), "%s", raw)
		})
	}
	s := c.collectStats()
	assert.Assert(t, len(s.runs) == 0 && s.started == 0, "%v", s.runs)
}
