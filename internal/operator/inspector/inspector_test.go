package inspector

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/operator/describer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newInspector(t *testing.T, timeout time.Duration) *Inspector {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	i, err := New(Config{Client: client, Scheme: "http", Timeout: timeout})
	assert.NilError(t, err)
	return i
}

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func TestResponsesAreDecoded(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.EscapedPath() {
		case describer.PathStatus:
			json.NewEncoder(w).Encode(describer.Status{Host: "entry-01", ConfigVersion: 7})
		case describer.PathExplain + "a%2Fb":
			json.NewEncoder(w).Encode(describer.Explanation{RequestID: "a/b"})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	i := newInspector(t, time.Minute)
	status, err := i.Status(context.Background(), addr)
	assert.NilError(t, err)
	assert.Equal(t, status.ConfigVersion, uint64(7))
	explanation, err := i.Explain(context.Background(), addr, "a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(explanation.RequestID), "a/b")
	_, err = i.Explain(context.Background(), addr, "other")
	assertKind(t, err, KindNotFound)
}

func TestErrorKinds(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		timeout time.Duration
		want    Kind
	}{
		{"status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, time.Minute, KindInvalid},
		{"text", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("<html>")) }, time.Minute, KindInvalid},
		{"silence", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 20 * time.Millisecond, KindUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newInspector(t, c.timeout).Status(context.Background(), serve(t, c.handler))
			assertKind(t, err, c.want)
		})
	}
	_, err := New(Config{Scheme: "ftp"})
	assertKind(t, err, KindInvalid)
}

func assertKind(t *testing.T, err error, want Kind) {
	t.Helper()
	var inspectErr *Error
	assert.Assert(t, errors.As(err, &inspectErr))
	assert.Equal(t, inspectErr.Kind, want)
}
