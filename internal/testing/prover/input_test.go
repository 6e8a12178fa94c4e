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

// badRequest is one request that must be refused.
type badRequest struct {
	name, method, path, body string
	// key is the bearer key; empty means none.
	key     string
	headers map[string]string
	status  int
}

// badRequests returns requests that are each wrong in one way.
func badRequests() []badRequest {
	const completions = "/v1/completions"
	good := `{"model":"label-model","prompt":"x","max-tokens":1}`
	key := teamKey(1)
	pay := "/services/orders" + payments
	return []badRequest{
		{name: "no key", method: "POST", path: completions, body: good, status: 401},
		{name: "unknown key", method: "POST", path: completions, body: good, key: "nobody", status: 401},
		{name: "no body", method: "POST", path: completions, key: key, status: 400},
		{name: "not JSON", method: "POST", path: completions, body: "\x00{", key: key, status: 400},
		{name: "wrong type", method: "POST", path: completions, body: `{"model":7}`, key: key, status: 400},
		{name: "unknown field", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","temper":1}`, key: key, status: 400},
		{name: "data behind", method: "POST", path: completions, body: good + good, key: key, status: 400},
		{name: "no model", method: "POST", path: completions, body: `{"prompt":"x"}`, key: key, status: 400},
		{name: "no prompt", method: "POST", path: completions, body: `{"model":"label-model"}`, key: key, status: 400},
		{name: "negative tokens", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","max-tokens":-1}`, key: key, status: 400},
		{name: "huge number", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","max-tokens":1e30}`, key: key, status: 400},
		{name: "unknown model", method: "POST", path: completions, body: `{"model":"none","prompt":"x"}`, key: key, status: 400},
		{name: "too many tokens", method: "POST", path: completions, body: `{"model":"label-model","prompt":"x","max-tokens":100000}`, key: key, status: 400},
		{name: "too long", method: "POST", path: completions, body: `{"model":"label-model","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, key: key, status: 413},
		{name: "bad deadline", method: "POST", path: completions, body: good, key: key, headers: map[string]string{messenger.HeaderDeadline: "soon"}, status: 400},
		{name: "negative deadline", method: "POST", path: completions, body: good, key: key, headers: map[string]string{messenger.HeaderDeadline: "-1s"}, status: 400},
		{name: "unknown class", method: "POST", path: completions, body: good, key: key, headers: map[string]string{messenger.HeaderClass: "royal"}, status: 400},
		{name: "wrong method", method: "DELETE", path: completions, key: key, status: 405},
		{name: "unknown path", method: "GET", path: "/v2/completions", key: key, status: 404},
		{name: "unknown service", method: "GET", path: "/services/none/x", key: key, status: 404},
		{name: "payment without key", method: "POST", path: pay, body: "{}", key: key, status: 400},
		{name: "payment with long key", method: "POST", path: pay, body: "{}", key: key, headers: map[string]string{messenger.HeaderIdempotencyKey: strings.Repeat("k", 300)}, status: 400},
		{name: "hidden payment", method: "POST", path: "/services/orders/%70ayments", body: "{}", key: key, status: 400},
		{name: "payment below", method: "POST", path: pay + "/7", body: "{}", key: key, status: 400},
		{name: "detour to payment", method: "POST", path: "/services/orders/x/../payments", body: "{}", key: key, status: 400},
		{name: "doubled slash to payment", method: "POST", path: "/services/orders//payments", body: "{}", key: key, status: 400},
	}
}

// TestGuaranteeBadInputIsRefused sends malformed requests: each is refused as
// not run, tells no name of a team, and reaches no target.
func TestGuaranteeBadInputIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{centres: 1, daemons: 1, engines: 1, plains: 1})
	// No redirect is followed: the first answer is the one that counts.
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, bad := range badRequests() {
		t.Run(bad.name, func(t *testing.T) {
			req, err := http.NewRequest(bad.method, "http://"+c.hosts[0].settings.Listen.String()+bad.path, strings.NewReader(bad.body))
			assert.NilError(t, err)
			if bad.key != "" {
				req.Header.Set("Authorization", "Bearer "+bad.key)
			}
			for name, value := range bad.headers {
				req.Header.Set(name, value)
			}
			response, err := client.Do(req)
			assert.NilError(t, err)
			raw, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, bad.status, "%s", raw)
			var body server.ErrorBody
			assert.NilError(t, json.Unmarshal(raw, &body), "%s", raw)
			assert.Equal(t, body.Run, string(messenger.RunNot))
			assert.Assert(t, body.Kind != "" && body.Message != "" && body.RequestID != "", "%s", raw)
			assert.Assert(t, !bytes.Contains(raw, []byte("caterer-")), "%s", raw)
		})
	}
	s := c.seen()
	assert.Assert(t, len(s.runs) == 0 && s.started == 0, "%v", s.runs)
}
