package reader

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/flooder"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// TestEndlessReportsAreRejected guards against reports and events without end that are cut off and
// taken for complete ones.
func TestEndlessReportsAreRejected(t *testing.T) {
	srv := httptest.NewServer(&flooder.Flood{Begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"target":"a","incarnation":1}`, Repeat: " "})
	defer srv.Close()
	r, err := New(Config{
		Self: "h", Clock: clockwork.NewRealClock(), OnObservation: func(Observation) {}, Timeout: 10 * time.Second,
		Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
	})
	assert.NilError(t, err)
	p := newTargetPoller(r, Assignment{Target: "a", Address: srv.Listener.Addr().(*net.TCPAddr).AddrPort(), Events: true})
	defer p.transport.CloseIdleConnections()
	assert.Check(t, p.get(t.Context(), messenger.PathLoad, &messenger.LoadReport{}) != nil)
	assert.Check(t, p.get(t.Context(), messenger.PathEvents, &messenger.CacheEvents{}) != nil)
	assert.Equal(t, r.buffers.Used(), int64(0))
}
