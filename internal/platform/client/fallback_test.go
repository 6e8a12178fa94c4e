package client

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func newClientAt(t *testing.T, l net.Listener) *HTTPClient {
	t.Helper()
	c, err := NewHTTPClient(HTTPConfig{Address: l.Addr().(*net.TCPAddr).AddrPort(), Clock: clockwork.NewRealClock(), Timeout: time.Second})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// TestUnreachableAddressEndsCalls guards against calls that fail although another address of the
// platform answers. An answer, also an error, is final.
func TestUnreachableAddressEndsCalls(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		if r.Method == http.MethodPut {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, err := w.Write([]byte(`{"key":"a","version":7}`))
		assert.Check(t, err)
	}))
	defer srv.Close()
	f, err := NewFallback(newClientAt(t, closed), newClientAt(t, srv.Listener))
	assert.NilError(t, err)
	got, err := f.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(7))
	_, err = f.Put(t.Context(), "a", nil, 0)
	assert.Equal(t, KindOf(err), KindUnknown)
	assert.Equal(t, calls, 2)
	_, err = NewFallback()
	assert.Equal(t, KindOf(err), KindInvalid)
}
