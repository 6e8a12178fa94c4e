package orderer

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/standin/flooder"
)

// TestEndlessAnswersOfTargetsAreRejected guards against an answer without end to an order or a
// transfer that is cut off and taken for a complete one.
func TestEndlessAnswersOfTargetsAreRejected(t *testing.T) {
	srv := httptest.NewServer(&flooder.Flood{Begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"accepted":true,"blocks":[],"bytes":1}`, Repeat: " "})
	defer srv.Close()
	o, err := New(Config{Transport: &http.Transport{}, Clock: clockwork.NewRealClock()})
	assert.NilError(t, err)
	addr := srv.Listener.Addr().(*net.TCPAddr).AddrPort()
	const timeout = 10 * time.Second
	began := time.Now()
	assert.Check(t, o.Order(t.Context(), reducer.Order{Address: addr, Timeout: timeout}) != nil)
	assert.Check(t, o.Export(t.Context(), reducer.Export{TargetAddress: addr, Timeout: timeout}).Failed)
	assert.Check(t, o.Import(t.Context(), reducer.Import{TargetAddress: addr, Timeout: timeout}).Failed)
	assert.Check(t, time.Since(began) < timeout/2, "returned after %v", time.Since(began))
	assert.Equal(t, o.buffers.Used(), int64(0))
}
