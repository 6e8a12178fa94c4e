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

// TestWatchPassesSilence leaves the first watch without an answer and answers
// the one that is sent beside it.
func TestWatchPassesSilence(t *testing.T) {
	var calls atomic.Int32
	silent := make(chan struct{})
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			<-silent
			return
		}
		_, _ = w.Write([]byte(`[{"key":"config/fleet","version":7}]`))
	}))
	defer platform.Close()
	defer close(silent)
	clock := clockwork.NewFakeClock()
	c, err := NewHTTPClient(HTTPConfig{
		Address: netip.MustParseAddrPort(platform.Listener.Addr().String()), Clock: clock,
		WatchWait: time.Second, WatchSilence: time.Second,
	})
	assert.NilError(t, err)
	defer c.Close()
	done := make(chan []Object, 1)
	go func() {
		objects, _ := c.Watch(context.Background(), "config/fleet", 6)
		done <- objects
	}()
	// The ticker of the silence and the timeout of the first call.
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
	clock.Advance(2 * time.Second)
	objects := <-done
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, objects[0].Version, uint64(7))
	assert.Equal(t, calls.Load(), int32(2))
}
