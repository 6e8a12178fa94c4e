package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
	"cardamomscale.example/cardamomscale/internal/target/caller"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
	"cardamomscale.example/cardamomscale/internal/testing/piper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// immediateReducer starts each request when it arrives and reports failed attempts.
type immediateReducer struct {
	effects chan reducer.Effect
	failed  chan reducer.AttemptFailed
	done    chan struct{}
}

func (r *immediateReducer) Post(ev reducer.Event) {
	switch ev := ev.(type) {
	case reducer.RequestArrived:
		r.effects <- reducer.Start{Attempt: identifier.Attempt{Request: ev.Request, Number: 1}}
	case reducer.AttemptFailed:
		r.failed <- ev
	}
}

func (r *immediateReducer) Register(identifier.Request) <-chan reducer.Effect { return r.effects }
func (r *immediateReducer) Unregister(identifier.Request)                     {}
func (r *immediateReducer) Done() <-chan struct{}                             { return r.done }

// endlessTargets generates tokens until writing to the caller fails.
type endlessTargets struct{ caller.Caller }

func (endlessTargets) Generate(_ context.Context, start reducer.Start, _ messenger.GenerateRequest, sink caller.Sink) reducer.Event {
	for offset := 0; ; offset++ {
		if err := sink.Token(offset, "token "); err != nil {
			return reducer.AttemptFailed{Attempt: start.Attempt, Reason: reducer.FailureCallerDisconnected, Delivered: offset}
		}
	}
}

type unusedCaches struct{ Caches }

type unusedClaims struct{ Claims }

// serveEndlessAnswer starts a server with endless answers and a short write timeout on
// one end of a pipe and returns the other end.
func serveEndlessAnswer(t *testing.T, red *immediateReducer, registry *prometheus.Registry) net.Conn {
	t.Helper()
	clock := clockwork.NewRealClock()
	requestMeter, err := meter.New(meter.Config{Clock: clock, Registerer: registry})
	assert.NilError(t, err)
	requestTracer, err := tracer.New(tracer.Config{Clock: clock})
	assert.NilError(t, err)
	s, err := New(Config{
		Reducer: red, Targets: &endlessTargets{}, Caches: unusedCaches{}, Claims: unusedClaims{}, Clock: clock,
		NewRequestID: func() identifier.Request { return "r" }, WriteTimeout: 50 * time.Millisecond,
		Meter: requestMeter, Tracer: requestTracer,
	})
	assert.NilError(t, err)
	listener := piper.New(netip.AddrPort{})
	srv := &http.Server{Handler: s}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(listener) }()
	clientConn, err := listener.Dial(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() {
		clientConn.Close()
		srv.Close()
		<-done
	})
	return clientConn
}

// TestAttemptEndsWhenCallerStopsReading reads a few events of an endless answer and
// then stops reading without closing the connection. The write timeout must end the
// attempt; otherwise it would occupy its target as long as the caller stays connected.
func TestAttemptEndsWhenCallerStopsReading(t *testing.T) {
	red := &immediateReducer{effects: make(chan reducer.Effect, 1), failed: make(chan reducer.AttemptFailed, 1), done: make(chan struct{})}
	registry := prometheus.NewRegistry()
	conn := serveEndlessAnswer(t, red, registry)
	body := `{"model":"m","prompt":"p","stream":true}`
	_, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	lines := bufio.NewReader(conn)
	for events := 0; events < 5; {
		line, err := lines.ReadString('\n')
		assert.NilError(t, err)
		if strings.HasPrefix(line, "data: ") {
			events++
		}
	}
	select {
	case failed := <-red.failed:
		assert.Equal(t, failed.Reason, reducer.FailureCallerDisconnected)
		assert.Assert(t, failed.Delivered >= 5)
	case <-time.After(30 * time.Second):
		t.Fatal("the attempt did not end although the caller stopped reading")
	}
}
