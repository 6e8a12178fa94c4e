package client

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/flooder"
)

// TestEndlessAnswersOfThePlatformAreRejected guards against an answer without end that is cut off
// and taken for a complete one. A write that got it may have taken effect.
func TestEndlessAnswersOfThePlatformAreRejected(t *testing.T) {
	object := &flooder.Flood{Begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"key":"a","version":7}`, Repeat: " "}
	list := &flooder.Flood{Begin: "HTTP/1.1 200 OK\r\n\r\n[]", Repeat: " "}
	for _, flood := range []*flooder.Flood{object, list} {
		srv := httptest.NewServer(flood)
		defer srv.Close()
		c, err := NewHTTPClient(HTTPConfig{Address: srv.Listener.Addr().(*net.TCPAddr).AddrPort(), Clock: clockwork.NewRealClock(), Timeout: 10 * time.Second})
		assert.NilError(t, err)
		defer c.Close()
		if flood == list {
			_, err = c.List(t.Context(), "a")
			assert.Check(t, err != nil)
			continue
		}
		_, err = c.Get(t.Context(), "a")
		assert.Check(t, err != nil)
		_, err = c.Put(t.Context(), "a", nil, 0)
		assert.Equal(t, KindOf(err), KindUnknown)
	}
}
