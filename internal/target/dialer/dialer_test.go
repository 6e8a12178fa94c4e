package dialer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/flooder"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
	"cardamomscale.example/cardamomscale/internal/testing/sampler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTarget serves load reports and counts its connections and other requests.
type fakeTarget struct {
	server      *httptest.Server
	incarnation atomic.Uint64
	calls       atomic.Int32
	conns       atomic.Int32
	// handle serves everything except load reports.
	handle http.HandlerFunc
	// flood, if set, replaces the load reports.
	flood atomic.Pointer[flooder.Flood]
}

func newFakeTarget(t *testing.T, handle http.HandlerFunc) *fakeTarget {
	f := &fakeTarget{handle: handle}
	f.incarnation.Store(1)
	f.server = httptest.NewUnstartedServer(f)
	f.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			f.conns.Add(1)
		}
	}
	f.server.Start()
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	incarnation := f.incarnation.Load()
	w.Header().Set(messenger.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	if flood := f.flood.Load(); flood != nil && r.URL.Path == messenger.PathLoad {
		flood.ServeHTTP(w, r)
		return
	}
	if r.URL.Path == messenger.PathLoad {
		report := messenger.LoadReport{Target: "t1", Incarnation: identifier.Incarnation(incarnation)}
		json.NewEncoder(w).Encode(report)
		return
	}
	f.calls.Add(1)
	f.handle(w, r)
}

func (f *fakeTarget) address() netip.AddrPort {
	return netip.MustParseAddrPort(f.server.Listener.Addr().String())
}

// fixture is a Dialer that records its reports and connections.
type fixture struct {
	*Dialer
	clock    *clockwork.FakeClock
	expected atomic.Uint64
	mu       sync.Mutex
	reports  []messenger.LoadReport
	conns    []net.Conn
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.expected.Store(1)
	d, err := New(Config{
		Clock: f.clock,
		Dial:  f.dial,
		ExpectedIncarnation: func(identifier.Target) (identifier.Incarnation, bool) {
			n := f.expected.Load()
			return identifier.Incarnation(n), n > 0
		},
		OnReport: func(report messenger.LoadReport) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reports = append(f.reports, report)
		},
	})
	assert.NilError(t, err)
	f.Dialer = d
	t.Cleanup(d.CloseAll)
	return f
}

func (f *fixture) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.conns = append(f.conns, conn)
	}
	return conn, err
}

func (f *fixture) call(t *testing.T, target *fakeTarget, method string, body io.Reader) (string, error) {
	t.Helper()
	endpoint := Endpoint{Target: "t1", Address: target.address(), Incarnation: identifier.Incarnation(f.expected.Load())}
	rt, err := f.RoundTripper(endpoint)
	assert.NilError(t, err)
	return callThrough(context.Background(), t, rt, method, body)
}

func callThrough(ctx context.Context, t *testing.T, rt http.RoundTripper, method string, body io.Reader) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://target/x", body)
	assert.NilError(t, err)
	r.Header.Set(messenger.HeaderIdempotencyKey, "k1")
	response, err := rt.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func asError(t *testing.T, err error) *Error {
	t.Helper()
	var failure *Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

func echo(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	w.Write(append([]byte("got "), data...))
}

func TestRequestsShareConnection(t *testing.T) {
	target := newFakeTarget(t, echo)
	f := newFixture(t)
	for range 3 {
		got, err := f.call(t, target, http.MethodPost, strings.NewReader("body"))
		assert.NilError(t, err)
		assert.Equal(t, got, "got body")
	}
	got, err := f.call(t, target, http.MethodPost, nil)
	assert.NilError(t, err)
	assert.Equal(t, got, "got ")
	got, err = f.call(t, target, http.MethodGet, nil)
	assert.NilError(t, err)
	assert.Equal(t, got, "got ")
	assert.Equal(t, target.conns.Load(), int32(1))
	assert.Equal(t, len(f.reports), 1)
}

// TestRestartedTargetReceivesNoRequest guards against sending a request that was
// admitted for the previous incarnation to a target's restarted, cold process.
func TestRestartedTargetReceivesNoRequest(t *testing.T) {
	target := newFakeTarget(t, echo)
	f := newFixture(t)
	_, err := f.call(t, target, http.MethodPost, strings.NewReader("body"))
	assert.NilError(t, err)

	// A restarted process closes its connections and has a new incarnation.
	target.server.CloseClientConnections()
	target.incarnation.Store(2)
	var failure *Error
	check := func(poll.LogT) poll.Result {
		// The transport may try the closed connection first.
		_, err := f.call(t, target, http.MethodPost, strings.NewReader("body"))
		failure = asError(t, err)
		if failure.Kind == KindIncarnation {
			return poll.Success()
		}
		return poll.Continue("kind %s", failure.Kind)
	}
	poll.WaitOn(t, check, poll.WithDelay(time.Millisecond))
	assert.Assert(t, !failure.MaybeSent)
	assert.Equal(t, failure.Report.Incarnation, identifier.Incarnation(2))
	assert.Equal(t, target.calls.Load(), int32(1))
	assert.Equal(t, f.reports[len(f.reports)-1].Incarnation, identifier.Incarnation(2))

	f.expected.Store(2)
	_, err = f.call(t, target, http.MethodPost, strings.NewReader("body"))
	assert.NilError(t, err)
}

func TestUnexpectedIncarnationIsRefused(t *testing.T) {
	f := newFixture(t)
	for _, expected := range []uint64{0, 2} {
		f.expected.Store(expected)
		_, err := f.RoundTripper(Endpoint{Target: "t1", Incarnation: 1})
		assert.Equal(t, asError(t, err).Kind, KindIncarnation)
	}
}

func TestOldRoundTripperKeepsItsIncarnation(t *testing.T) {
	target := newFakeTarget(t, echo)
	f := newFixture(t)
	old, err := f.RoundTripper(Endpoint{Target: "t1", Address: target.address(), Incarnation: 1})
	assert.NilError(t, err)
	target.incarnation.Store(2)
	f.expected.Store(2)
	_, err = f.call(t, target, http.MethodPost, nil)
	assert.NilError(t, err)

	_, err = callThrough(context.Background(), t, old, http.MethodPost, strings.NewReader("admitted for 1"))
	failure := asError(t, err)
	assert.Equal(t, failure.Kind, KindIncarnation)
	assert.Assert(t, !failure.MaybeSent)
	assert.Equal(t, target.calls.Load(), int32(1))
}

func TestInvalidHandshakes(t *testing.T) {
	tests := []struct {
		name     string
		response string
	}{
		{"garbage", "hello\r\n\r\n"},
		{"status", "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{"no JSON", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxx"},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 31\r\n\r\n" + `{"target":"t1","incarnation":1}`},
		{"other target", "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + `{"target":"t2","incarnation":1}`},
		{"trailing bytes", "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + `{"target":"t1","incarnation":1}` + "more"},
		{"header contradicts body", "HTTP/1.1 200 OK\r\nCardamom-Incarnation: 2\r\nContent-Length: 31\r\n\r\n" + `{"target":"t1","incarnation":1}`},
		{"end of file", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, err := New(Config{
				Clock: clockwork.NewFakeClock(),
				Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						buf := make([]byte, 1<<10)
						far.Read(buf)
						io.WriteString(far, test.response)
						far.Close()
					}()
					return near, nil
				},
				ExpectedIncarnation: func(identifier.Target) (identifier.Incarnation, bool) { return 1, true },
			})
			assert.NilError(t, err)
			_, err = d.DialContext(context.Background(), Endpoint{Target: "t1", Incarnation: 1})
			failure := asError(t, err)
			assert.Equal(t, failure.Kind, KindHandshake)
			assert.Assert(t, !failure.MaybeSent)
		})
	}
}

func TestSilentHandshakeTimesOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	near, far := net.Pipe()
	defer far.Close()
	d, err := New(Config{
		Clock:               clock,
		Dial:                func(context.Context, netip.AddrPort) (net.Conn, error) { return near, nil },
		ExpectedIncarnation: func(identifier.Target) (identifier.Incarnation, bool) { return 1, true },
	})
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := d.DialContext(context.Background(), Endpoint{Target: "t1", Incarnation: 1})
		done <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(context.Background(), 1))
	clock.Advance(DefaultHandshakeTimeout)
	assert.Equal(t, asError(t, <-done).Kind, KindHandshake)
}

// await advances the clock until done has a result.
func (f *fixture) await(t *testing.T, done <-chan error) error {
	t.Helper()
	var result error
	check := func(poll.LogT) poll.Result {
		select {
		case result = <-done:
			return poll.Success()
		default:
			f.clock.Advance(DefaultInactivityTimeout / 10)
			return poll.Continue("request has not ended")
		}
	}
	poll.WaitOn(t, check, poll.WithDelay(5*time.Millisecond))
	return result
}

func TestSilentTargetTimesOut(t *testing.T) {
	tests := []struct {
		name   string
		handle http.HandlerFunc
	}{
		{"no response header", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"half a body", func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			started := make(chan struct{})
			target := newFakeTarget(t, func(w http.ResponseWriter, r *http.Request) {
				// The server detects the connection's end only after the body is read.
				io.Copy(io.Discard, r.Body)
				close(started)
				test.handle(w, r)
			})
			f := newFixture(t)
			done := make(chan error, 1)
			go func() {
				_, err := f.call(t, target, http.MethodPost, nil)
				done <- err
			}()
			<-started
			failure := asError(t, f.await(t, done))
			assert.Equal(t, failure.Kind, KindSilent)
			assert.Assert(t, failure.MaybeSent)
		})
	}
}

// TestCancelBeforeFirstByteSendsNothing guards against a request reported as
// unsent being written once the dial completes in the background.
func TestCancelBeforeFirstByteSendsNothing(t *testing.T) {
	f := newFixture(t)
	near, far := net.Pipe()
	defer far.Close()
	f.cfg.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return near, nil }
	rt, err := f.RoundTripper(Endpoint{Target: "t1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	tracker := new(SentTracker)
	go func() {
		// The handshake's request arrives but is never answered.
		far.Read(make([]byte, 1<<10))
		cancel()
	}()
	_, err = callThrough(WithTracker(ctx, tracker), t, rt, http.MethodPost, strings.NewReader("x"))
	failure := asError(t, err)
	assert.Equal(t, failure.Kind, KindCancelled)
	assert.Assert(t, !failure.MaybeSent && !tracker.MaybeSent())
	assert.ErrorIs(t, tracker.beforeWrite(), errBlocked)
	near.Close()
}

// TestRequestsAreNotReplayed guards against http.Transport silently resending a
// request after a reused connection closes, so that the target runs it twice.
func TestRequestsAreNotReplayed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			target := newFakeTarget(t, nil)
			target.handle = func(w http.ResponseWriter, r *http.Request) {
				if target.calls.Load() == 1 {
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					conn.Close()
				}
			}
			f := newFixture(t)
			_, err := f.call(t, target, method, nil)
			assert.NilError(t, err)
			_, err = f.call(t, target, method, nil)
			assert.Assert(t, asError(t, err).MaybeSent)
			assert.Equal(t, target.calls.Load(), int32(2))
		})
	}
}

func TestCloseDropsIdleConnections(t *testing.T) {
	target := newFakeTarget(t, echo)
	f := newFixture(t)
	_, err := f.call(t, target, http.MethodPost, nil)
	assert.NilError(t, err)
	f.Close("t1")
	_, err = f.call(t, target, http.MethodPost, nil)
	assert.NilError(t, err)
	assert.Equal(t, target.conns.Load(), int32(2))
}

// TestTrackerFinalisesOnce guards against a race in which Finalise reports the
// request as unsent while its first write still succeeds.
func TestTrackerFinalisesOnce(t *testing.T) {
	for range 200 {
		tracker := new(SentTracker)
		written := make(chan bool, 1)
		go func() { written <- tracker.beforeWrite() == nil }()
		maybe := tracker.Finalise()
		assert.Equal(t, <-written, maybe)
		assert.Equal(t, tracker.Finalise(), maybe)
	}
}

func TestNewRejectsIncompleteConfig(t *testing.T) {
	_, err := New(Config{})
	assert.Equal(t, asError(t, err).Kind, KindInvalid)
}

// TestEndlessReportIsRejected guards against a report without end that is read into memory before
// a request is sent.
func TestEndlessReportIsRejected(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n"} {
		target := newFakeTarget(t, echo)
		f := newFixture(t)
		call := func() error {
			rt, err := f.RoundTripper(Endpoint{Target: "t1", Address: target.address(), Incarnation: 1})
			assert.NilError(t, err)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target.server.URL+"/x", nil)
			assert.NilError(t, err)
			response, err := rt.RoundTrip(r)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			return response.Body.Close()
		}
		assert.NilError(t, call())
		flood := &flooder.Flood{Begin: begin, Repeat: "X-A: b\r\n"}
		target.flood.Store(flood)
		f.clock.Advance(2 * maxConfirmationAge)
		heapGrowth := sampler.StartHeap()
		assert.Assert(t, !asError(t, call()).MaybeSent)
		grown := heapGrowth()
		assert.Check(t, grown < 16*maxReportBytes, "the heap grew by %d MiB", grown>>20)
		assert.Equal(t, target.calls.Load(), int32(1))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if flood.Open() > 0 {
				return poll.Continue("the connection is open")
			}
			return poll.Success()
		})
	}
}
