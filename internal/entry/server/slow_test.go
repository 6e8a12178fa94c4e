package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eagerReducer starts each request at once and remembers the failed attempts.
type eagerReducer struct {
	effects chan reducer.Effect
	failed  chan reducer.AttemptFailed
	ended   chan struct{}
}

func (e *eagerReducer) Post(ev reducer.Event) {
	switch ev := ev.(type) {
	case reducer.RequestArrived:
		e.effects <- reducer.Start{Attempt: identifier.Attempt{Request: ev.Request, Number: 1}}
	case reducer.AttemptFailed:
		e.failed <- ev
	}
}

func (e *eagerReducer) Register(identifier.Request) <-chan reducer.Effect { return e.effects }
func (e *eagerReducer) Unregister(identifier.Request)                     {}
func (e *eagerReducer) Ended() <-chan struct{}                            { return e.ended }

// endlessTargets answers with tokens until the caller is gone.
type endlessTargets struct{ caller.Caller }

func (endlessTargets) Generate(_ context.Context, start reducer.Start, _ messenger.GenerateRequest, sink caller.Sink) reducer.Event {
	for offset := 0; ; offset++ {
		if err := sink.Token(offset, "token "); err != nil {
			return reducer.AttemptFailed{Attempt: start.Attempt, Reason: reducer.FailureCaller, Delivered: offset}
		}
	}
}

// pipeListener accepts one connection that buffers nothing.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type noCaches struct{ Caches }

type noClaims struct{ Claims }

// newSlowServer serves an endless answer over a pipe and returns its near end.
func newSlowServer(t *testing.T, red *eagerReducer, registry *prometheus.Registry) net.Conn {
	t.Helper()
	clock := clockwork.NewRealClock()
	count, err := meter.New(meter.Config{Clock: clock, Registerer: registry})
	assert.NilError(t, err)
	spans, err := tracer.New(tracer.Config{Clock: clock})
	assert.NilError(t, err)
	s, err := New(Config{
		Reducer: red, Targets: &endlessTargets{}, Caches: noCaches{}, Claims: noClaims{}, Clock: clock,
		NewRequestID: func() identifier.Request { return "r" }, WriteTimeout: 50 * time.Millisecond,
		Meter: count, Tracer: spans,
	})
	assert.NilError(t, err)
	listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	near, far := net.Pipe()
	listener.conns <- far
	srv := &http.Server{Handler: s}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(listener) }()
	t.Cleanup(func() {
		near.Close()
		srv.Close()
		<-done
	})
	return near
}

// TestCallerThatStopsReadingIsDropped reads a few events of an endless answer
// and then none, and expects the attempt to end.
func TestCallerThatStopsReadingIsDropped(t *testing.T) {
	red := &eagerReducer{effects: make(chan reducer.Effect, 1), failed: make(chan reducer.AttemptFailed, 1), ended: make(chan struct{})}
	registry := prometheus.NewRegistry()
	conn := newSlowServer(t, red, registry)
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
		assert.Equal(t, failed.Reason, reducer.FailureCaller)
		assert.Assert(t, failed.Delivered >= 5)
	case <-time.After(30 * time.Second):
		t.Fatal("the attempt of a caller that doesn't read goes on")
	}
}
