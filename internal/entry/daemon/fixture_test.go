package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
	"cardamomscale.example/cardamomscale/internal/standin/responder"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testKey     = "team-key-marked-secret"
	testModel   = "shop-assistant"
	testVersion = "2026-11"
	// testBlockChars is the number of characters of one cache block.
	testBlockChars = 4096

	// testTimeout limits each wait of a test.
	testTimeout = 30 * time.Second
)

// newTestPlan returns a small fleet: one data centre, two engines, two plain
// targets and one store.
func newTestPlan(daemons int) assembler.Plan {
	e := engine.DefaultSettings()
	e.PrefillTokensPerSecond, e.DecodeTokensPerSecond = 100_000, 1000
	e.WarmTime, e.WarmRequests = server.Duration{Duration: 10 * time.Millisecond}, 1
	e.LoadLag = server.Duration{Duration: 10 * time.Millisecond}
	e.EventDropShare = 0
	e.Weights = []messenger.LoadedWeights{{Model: testModel, Version: testVersion}}
	p := responder.DefaultSettings()
	p.ServiceTime = server.Duration{Duration: time.Millisecond}
	p.WarmTime, p.WarmRequests = server.Duration{Duration: 10 * time.Millisecond}, 1
	profile := specifier.DefaultProfile()
	profile.DefaultDeadline = specifier.Duration{Duration: 20 * time.Second}
	profile.RampStepTime = specifier.Duration{Duration: 10 * time.Millisecond}
	orders := profile
	orders.Policy, orders.Objective = specifier.PolicyLeastLoaded, specifier.ObjectiveService
	return assembler.Plan{
		Region: "gt-central", DataCentres: []identifier.DataCentre{"antigua"},
		Daemons: daemons, Engines: 2, Responders: 2, Stores: 1,
		Engine: e, Responder: p, Store: storer.DefaultSettings(),
		Fleet: specifier.Fleet{
			Profiles: map[identifier.Profile]specifier.Profile{"shop": profile, "orders": orders},
			Services: map[identifier.Service]specifier.Service{
				"assistant": {Kind: specifier.ServiceModel, Profile: "shop", Models: []identifier.Model{testModel}, Class: identifier.ClassInteractive},
				"orders":    {Kind: specifier.ServicePlain, Profile: "orders", NonRepeatable: []string{"/payments"}, Class: identifier.ClassStandard},
			},
			Teams:  map[identifier.Team]specifier.Team{"coffee": {KeyHashes: []string{hasher.HashKey(testKey)}, Weight: 1}},
			Models: map[identifier.Model]specifier.Model{testModel: {Version: testVersion, MaxPromptTokens: 32768, MaxOutputTokens: 2048, BlockBytes: 1 << 20}},
		},
		ModelService: "assistant", PlainService: "orders",
		WarmLimit: e.RunningLimit, PlainLimit: p.RunningLimit,
		Heartbeat: 50 * time.Millisecond, LoadInterval: 50 * time.Millisecond, SessionTerm: 6 * time.Second,
	}
}

// fixture is a running fleet with a client for callers and operators.
type fixture struct {
	*assembler.Assembly
	t      *testing.T
	client *http.Client
	scheme string
}

func newFixture(t *testing.T, cfg assembler.Config) *fixture {
	t.Helper()
	if cfg.Plan.Daemons == 0 {
		cfg.Plan = newTestPlan(1)
	}
	cfg.Clock, cfg.Seed = clockwork.NewRealClock(), 7
	a, err := assembler.New(cfg)
	assert.NilError(t, err)
	f := &fixture{Assembly: a, t: t, client: &http.Client{Transport: &http.Transport{}}, scheme: "http"}
	t.Cleanup(func() {
		a.Close()
		f.client.CloseIdleConnections()
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.NilError(t, a.Apply(ctx, a.Fleet))
	assert.NilError(t, a.StartDaemons(ctx))
	return f
}

// host returns the i-th host, in order of names.
func (f *fixture) host(i int) *assembler.Host { return f.Hosts[f.HostNames()[i]] }

// reply is a response with its whole body.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) requestID() string { return r.header.Get(messenger.HeaderRequest) }

func (f *fixture) do(method string, address netip.AddrPort, path, body string, header http.Header) (reply, error) {
	req, err := http.NewRequestWithContext(f.t.Context(), method, f.scheme+"://"+address.String()+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	response, err := f.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(raw)}, err
}

// mustDo sends a request and fails the test if no response arrives.
func (f *fixture) mustDo(method string, address netip.AddrPort, path, body string, header http.Header) reply {
	f.t.Helper()
	r, err := f.do(method, address, path, body, header)
	assert.NilError(f.t, err)
	return r
}

// callerHeader returns the test team's credentials and the given pairs of header
// names and values.
func callerHeader(pairs ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer " + testKey}}
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// complete sends a completion request to the i-th host.
func (f *fixture) complete(i int, prompt string, stream bool, header http.Header) reply {
	f.t.Helper()
	body := `{"model":"` + testModel + `","prompt":"` + prompt + `","max-tokens":8`
	if stream {
		body += `,"stream":true`
	}
	return f.mustDo(http.MethodPost, f.host(i).CallerAddress, "/v1/completions", body+"}", header)
}

// eventually polls cond until it returns true.
func (f *fixture) eventually(what string, cond func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), testTimeout)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("%s: condition not met within %v", what, testTimeout)
		case <-ticker.C:
		}
	}
}

// promptOfLength returns a prompt of n characters that begins with prefix.
func promptOfLength(prefix string, n int) string {
	return (prefix + string(bytes.Repeat([]byte(" cardamom"), n/9+1)))[:n]
}
