package caller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/dialer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// attemptTime is the time until the deadline of attempts under test, stallTime their time
	// without progress.
	attemptTime = 8 * time.Second
	stallTime   = time.Second
)

// fixture is a Caller with a target that answers load reports, and all else with a handler.
type fixture struct {
	*Caller
	address netip.AddrPort
}

func newFixture(t *testing.T, handler http.Handler) *fixture {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != messenger.PathLoad {
			handler.ServeHTTP(w, r)
			return
		}
		assert.Check(t, json.NewEncoder(w).Encode(messenger.LoadReport{Target: "t", Incarnation: 1}))
	}))
	t.Cleanup(srv.Close)
	d, err := dialer.New(dialer.Config{
		Clock: clockwork.NewRealClock(),
		Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
		ExpectedIncarnation: func(identifier.Target) (identifier.Incarnation, bool) { return 1, true },
	})
	assert.NilError(t, err)
	t.Cleanup(d.CloseAll)
	c, err := New(Config{Transports: d, Clock: clockwork.NewRealClock()})
	assert.NilError(t, err)
	return &fixture{Caller: c, address: srv.Listener.Addr().(*net.TCPAddr).AddrPort()}
}

func (f *fixture) start() reducer.Start {
	return reducer.Start{
		Attempt: identifier.Attempt{Request: "r", Number: 1}, Target: "t", Address: f.address, Incarnation: 1,
		Deadline: time.Now().Add(attemptTime), StallTimeout: stallTime,
	}
}

// generate runs a prompt and returns the number of tokens and the last event.
func (f *fixture) generate(t *testing.T) (int, reducer.Event) {
	sink := &countingSink{}
	ev := f.Generate(t.Context(), f.start(), messenger.GenerateRequest{RequestID: "r"}, sink)
	return sink.tokens, ev
}

// call sends a call to a plain service and returns its response and the event.
func (f *fixture) call(t *testing.T) (Response, reducer.Event) {
	return f.Call(t.Context(), f.start(), Call{Method: http.MethodPost, PathQuery: "/pay", Body: []byte("body")})
}

// frames are the complete frames of a response with two tokens.
var frames = []string{
	`{"request-id":"r","attempt":1,"offset":0,"token":"a","incarnation":1}` + "\n",
	`{"request-id":"r","attempt":1,"offset":1,"token":"b","incarnation":1}` + "\n",
	`{"request-id":"r","attempt":1,"offset":2,"done":true,"incarnation":1}` + "\n",
}

// unframed answers with a body that has neither a length nor chunks, and then closes the
// connection or resets it.
func unframed(t *testing.T, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
		assert.Check(t, err)
		if reset {
			time.Sleep(20 * time.Millisecond) // Lets the bytes arrive before the reset.
			assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
		}
		assert.Check(t, conn.Close())
	}
}
