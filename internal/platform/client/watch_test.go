package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// TestWatchSendsSecondRequestWhenOverdue guards against a Watch that hangs on a dead
// connection: the platform never responds to the first request, but to the second one.
func TestWatchSendsSecondRequestWhenOverdue(t *testing.T) {
	var calls atomic.Int32
	release := make(chan struct{})
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			<-release
			return
		}
		_, _ = w.Write([]byte(`[{"key":"config/fleet","version":7}]`))
	}))
	defer platform.Close()
	defer close(release)
	clock := clockwork.NewFakeClock()
	c, err := NewHTTPClient(HTTPConfig{
		Address: netip.MustParseAddrPort(platform.Listener.Addr().String()), Clock: clock,
		WatchWait: time.Second, WatchHedgeDelay: time.Second,
	})
	assert.NilError(t, err)
	defer c.Close()
	done := make(chan []Object, 1)
	go func() {
		objects, _ := c.Watch(context.Background(), "config/fleet", 6)
		done <- objects
	}()
	// Wait for the ticker of Watch and the timeout of the first request.
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(2 * time.Second)
	objects := <-done
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, objects[0].Version, uint64(7))
	assert.Equal(t, calls.Load(), int32(2))
}
