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
	// testBlock is the number of characters of one cache block.
	testBlock = 4096

	// testWait bounds what a test waits for.
	testWait = 30 * time.Second
)

// testPlan is a small fleet: one data centre, two engines, two plain targets and one store.
func testPlan(daemons int) assembler.Plan {
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
	orders.Policy, orders.Weighs = specifier.PolicyLeastLoaded, specifier.WeighsService
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

// bench is a running fleet with a client for callers and operators.
type bench struct {
	*assembler.Assembly
	t      *testing.T
	client *http.Client
	scheme string
}

func newBench(t *testing.T, cfg assembler.Config) *bench {
	t.Helper()
	if cfg.Plan.Daemons == 0 {
		cfg.Plan = testPlan(1)
	}
	cfg.Clock, cfg.Seed = clockwork.NewRealClock(), 7
	a, err := assembler.New(cfg)
	assert.NilError(t, err)
	b := &bench{Assembly: a, t: t, client: &http.Client{Transport: &http.Transport{}}, scheme: "http"}
	t.Cleanup(func() {
		a.Close()
		b.client.CloseIdleConnections()
	})
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	defer cancel()
	assert.NilError(t, a.Apply(ctx, a.Fleet))
	assert.NilError(t, a.StartDaemons(ctx))
	return b
}

// host returns the i-th entry host.
func (b *bench) host(i int) *assembler.Host { return b.Hosts[b.HostNames()[i]] }

// reply is an answer that was read to its end.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) id() string { return r.header.Get(messenger.HeaderRequest) }

func (b *bench) do(method string, address netip.AddrPort, path, body string, header http.Header) (reply, error) {
	req, err := http.NewRequestWithContext(b.t.Context(), method, b.scheme+"://"+address.String()+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	response, err := b.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(raw)}, err
}

// must sends a request that has to be answered.
func (b *bench) must(method string, address netip.AddrPort, path, body string, header http.Header) reply {
	b.t.Helper()
	r, err := b.do(method, address, path, body, header)
	assert.NilError(b.t, err)
	return r
}

// caller returns the headers of a caller of the test's team.
func caller(pairs ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer " + testKey}}
	for i := 0; i+1 < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// complete sends a prompt to the i-th host.
func (b *bench) complete(i int, prompt string, stream bool, header http.Header) reply {
	b.t.Helper()
	body := `{"model":"` + testModel + `","prompt":"` + prompt + `","max-tokens":8`
	if stream {
		body += `,"stream":true`
	}
	return b.must(http.MethodPost, b.host(i).Callers, "/v1/completions", body+"}", header)
}

// eventually waits until done returns true.
func (b *bench) eventually(what string, done func() bool) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(b.t.Context(), testWait)
	defer cancel()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			b.t.Fatalf("%s: not within %v", what, testWait)
		case <-ticker.C:
		}
	}
}

// words returns n characters of a prompt that begins with mark.
func words(mark string, n int) string {
	return (mark + string(bytes.Repeat([]byte(" cardamom"), n/9+1)))[:n]
}
