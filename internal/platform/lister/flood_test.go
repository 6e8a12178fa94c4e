package lister

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/flooder"
)

// TestEndlessMembershipListIsRejected guards against a list without end that is cut off and taken
// for a complete one.
func TestEndlessMembershipListIsRejected(t *testing.T) {
	srv := httptest.NewServer(&flooder.Flood{Begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"as-of":"2026-01-01T00:00:00Z","members":[]}`, Repeat: " "})
	defer srv.Close()
	l, err := New(Config{Clock: clockwork.NewRealClock(), Transport: &http.Transport{}, URL: srv.URL, Timeout: 10 * time.Second})
	assert.NilError(t, err)
	_, err = l.Read(t.Context())
	assert.Assert(t, err != nil)
}
