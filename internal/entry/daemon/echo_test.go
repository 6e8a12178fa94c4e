package daemon_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// echoTarget is a plain target that remembers the headers it was sent.
type echoTarget struct {
	address netip.AddrPort

	mu     sync.Mutex
	header http.Header
}

func newEchoTarget(t *testing.T) *echoTarget {
	e := &echoTarget{}
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	e.address = netip.MustParseAddrPort(srv.Listener.Addr().String())
	return e
}

func (e *echoTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(messenger.HeaderIncarnation, "1")
	if r.URL.Path == messenger.PathLoad {
		_, _ = w.Write([]byte(`{"target":"echo-01","incarnation":1}`))
		return
	}
	e.mu.Lock()
	e.header = maps.Clone(r.Header)
	e.mu.Unlock()
	_, _ = w.Write([]byte("ok"))
}

// last returns the headers of the latest call.
func (e *echoTarget) last() http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.header
}

// addTarget adds a plain service with one target and waits until it is in force.
func (b *bench) addTarget(service identifier.Service, address netip.AddrPort) {
	b.t.Helper()
	fleet := b.Fleet.Clone()
	fleet.Services[service] = specifier.Service{Kind: specifier.ServicePlain, Profile: "orders", Class: identifier.ClassStandard}
	fleet.Targets[identifier.Target(service+"-01")] = specifier.Target{
		Service: service, DataCentre: "antigua", Address: address, State: specifier.StateIn, ColdLimit: 2, WarmLimit: 8,
	}
	ctx, cancel := context.WithTimeout(b.t.Context(), testWait)
	defer cancel()
	assert.NilError(b.t, b.Apply(ctx, fleet))
	b.eventually("the new service is in force", func() bool {
		answer := b.must(http.MethodGet, b.host(0).Callers, "/services/"+string(service)+"/ping", "", caller())
		return answer.status == http.StatusOK
	})
}
