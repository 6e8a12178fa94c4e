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

// headerRecorder is a plain target that records the headers of requests.
type headerRecorder struct {
	address netip.AddrPort

	mu     sync.Mutex
	header http.Header
}

func newHeaderRecorder(t *testing.T) *headerRecorder {
	hr := &headerRecorder{}
	srv := httptest.NewServer(hr)
	t.Cleanup(srv.Close)
	hr.address = netip.MustParseAddrPort(srv.Listener.Addr().String())
	return hr
}

func (hr *headerRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(messenger.HeaderIncarnation, "1")
	if r.URL.Path == messenger.PathLoad {
		_, _ = w.Write([]byte(`{"target":"echo-01","incarnation":1}`))
		return
	}
	hr.mu.Lock()
	hr.header = maps.Clone(r.Header)
	hr.mu.Unlock()
	_, _ = w.Write([]byte("ok"))
}

// lastHeader returns the headers of the last request.
func (hr *headerRecorder) lastHeader() http.Header {
	hr.mu.Lock()
	defer hr.mu.Unlock()
	return hr.header
}

// addPlainTarget adds a plain service with one target and waits until the daemon
// serves it.
func (f *fixture) addPlainTarget(service identifier.Service, address netip.AddrPort) {
	f.t.Helper()
	fleet := f.Fleet.Clone()
	fleet.Services[service] = specifier.Service{Kind: specifier.ServicePlain, Profile: "orders", Class: identifier.ClassStandard}
	fleet.Targets[identifier.Target(service+"-01")] = specifier.Target{
		Service: service, DataCentre: "antigua", Address: address, State: specifier.StateIn, ColdLimit: 2, WarmLimit: 8,
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), testTimeout)
	defer cancel()
	assert.NilError(f.t, f.Apply(ctx, fleet))
	f.eventually("the new service is served", func() bool {
		answer := f.mustDo(http.MethodGet, f.host(0).CallerAddress, "/services/"+string(service)+"/ping", "", callerHeader())
		return answer.status == http.StatusOK
	})
}
