package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A reset connection must cancel its handler, new connections must fail while they
// are refused, and Serve must not return before its handlers.
func TestServerResetsConnectionsAndWaitsForHandlers(t *testing.T) {
	entered := make(chan struct{}, 1)
	left := make(chan struct{}, 1)
	s, err := New(Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-r.Context().Done()
			left <- struct{}{}
		}
	})})
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	failed := make(chan error, 1)
	wait := func() {
		_, err := client.Post("http://"+ln.Addr().String()+"/wait", "text/plain", strings.NewReader(""))
		failed <- err
	}
	go wait()
	<-entered
	assert.Equal(t, s.ResetConnections(), 1)
	<-left
	assert.Assert(t, <-failed != nil)

	s.SetRefuseConnections(true)
	_, err = client.Get("http://" + ln.Addr().String())
	assert.Assert(t, err != nil)
	s.SetRefuseConnections(false)
	go wait()
	<-entered
	cancel()
	assert.NilError(t, <-served)
	assert.Equal(t, len(left), 1)
	assert.Assert(t, <-failed != nil)
}

func TestDecodeStrict(t *testing.T) {
	type message struct {
		Time Duration `json:"time"`
	}
	tests := map[string]string{
		`{"time": "2s"}`:    "",
		`{"other": 1}`:      `unknown field "other"`,
		`{"time": "2s"} {}`: "more than one JSON value",
		`{"time": "x"}`:     `duration "x"`,
	}
	for text, want := range tests {
		var m message
		err := DecodeStrict(io.Reader(strings.NewReader(text)), &m)
		if want == "" {
			assert.NilError(t, err)
			assert.Equal(t, m.Time.Seconds(), 2.0)
			continue
		}
		assert.ErrorContains(t, err, want)
	}
}
