package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
)

// pool is the http.RoundTripper to one endpoint.
type pool struct {
	dialer       *Dialer
	endpoint     Endpoint
	transport    *http.Transport
	confirmation *confirmation
}

var _ http.RoundTripper = (*pool)(nil)

func newPool(d *Dialer, endpoint Endpoint) *pool {
	p := &pool{dialer: d, endpoint: endpoint, confirmation: newConfirmation()}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, endpoint)
			if err != nil {
				return nil, err
			}
			p.confirmation.record(d.cfg.Clock.Now())
			return conn, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.cfg.MaxIdle,
		IdleConnTimeout:     d.cfg.IdleTimeout,

		MaxResponseHeaderBytes: bounder.MaxHeaderBytes,
	}
	return p
}

// retire closes idle connections, and running ones when they become idle.
func (p *pool) retire() {
	p.transport.CloseIdleConnections()
}

// RoundTrip sends r at most once. Its errors are of type Error and report in
// MaybeSent whether a byte of the request may have been sent.
func (p *pool) RoundTrip(r *http.Request) (*http.Response, error) {
	tracker := trackerFrom(r.Context())
	if err := p.confirm(r.Context()); err != nil {
		tracker.Finalise()
		return nil, err
	}
	ctx, cancel := context.WithCancel(r.Context())
	cfg := &p.dialer.cfg
	activity := newActivityTimer(cfg.Clock, cfg.HandshakeTimeout, inactivityTimeoutOf(ctx, cfg.InactivityTimeout), cancel)
	written := newWrittenRequest()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			attachTracker(info.Conn, tracker)
			activity.reset()
		},
		WroteRequest: written.end,
	})
	response, err := p.transport.RoundTrip(preventReplay(r.WithContext(ctx), activity))
	if err == nil {
		err = p.checkStatus(response)
	}
	if err != nil {
		activity.stop()
		cancel()
		return nil, classifyError(r.Context(), activity, tracker, err)
	}
	activity.reset()
	onData := func() {}
	if p.fromIncarnation(response) {
		onData = func() { p.confirmation.record(cfg.Clock.Now()) }
	}
	onData()
	body := response.Body
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		body = &unframedBody{ReadCloser: body, request: written, ctx: ctx}
	}
	response.Body = &responseBody{
		onData:     onData,
		ReadCloser: body,
		activity:   activity,
		tracker:    tracker,
		ctx:        r.Context(),
	}
	return response, nil
}

// maxStatus is the highest status of a response.
const maxStatus = 599

// checkStatus returns an error for a response whose status isn't that of a final response. It closes its connection,
// as it isn't known what follows.
func (p *pool) checkStatus(response *http.Response) error {
	if code := response.StatusCode; code < http.StatusOK || code > maxStatus {
		err := errors.CombineErrors(errors.Newf("%03d is no status of a response", code), response.Body.Close())
		p.retire()
		return err
	}
	return nil
}

// attachTracker attaches a request's tracker to its connection. It must be called
// before the first byte is written.
func attachTracker(conn net.Conn, tracker *SentTracker) {
	if targetConn, ok := conn.(*Conn); ok {
		targetConn.tracker.Store(tracker)
		return
	}
	tracker.state.Store(trackerSent)
}

// preventReplay replaces the body of r so that http.Transport can't resend it.
// The transport would resend some requests on its own.
func preventReplay(r *http.Request, activity *activityTimer) *http.Request {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = io.NopCloser(emptyReader{})
		r.ContentLength = -1
		return r
	}
	r.Body = &requestBody{ReadCloser: r.Body, activity: activity}
	return r
}

// classifyError converts err to an Error and finalises the tracker.
func classifyError(ctx context.Context, activity *activityTimer, tracker *SentTracker, err error) error {
	failure := newError("call target", KindBroken, err)
	var inner *Error
	switch {
	case errors.As(err, &inner):
		failure.Kind = inner.Kind
		failure.Report = inner.Report
	case activity.expired():
		failure.Kind = KindSilent
	case ctx.Err() != nil:
		failure.Kind = KindCancelled
	}
	failure.MaybeSent = tracker.Finalise()
	return failure
}

// activityTimer cancels a request when no byte of it or of its response is
// transferred for the timeout.
type activityTimer struct {
	cancel  context.CancelFunc
	timeout time.Duration

	mu       sync.Mutex
	timer    clockwork.Timer
	stopped  bool
	timedOut bool
}

// newActivityTimer starts a timer, which first waits connect longer for a connection.
func newActivityTimer(clock clockwork.Clock, connect, timeout time.Duration, cancel context.CancelFunc) *activityTimer {
	t := &activityTimer{cancel: cancel, timeout: timeout}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = clock.AfterFunc(connect+timeout, t.expire)
	return t
}

// reset restarts the timeout after data was transferred.
func (t *activityTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.timeout)
	}
}

// expire cancels the request, which closes its connection.
func (t *activityTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	t.timedOut = true
	t.cancel()
}

// stop stops the timer for good.
func (t *activityTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// expired reports whether the timer cancelled the request.
func (t *activityTimer) expired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timedOut
}

// emptyReader is an empty body that http.Transport doesn't recognise as empty.
type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }

// requestBody resets the activity timer on each read of a request's body.
type requestBody struct {
	io.ReadCloser
	activity *activityTimer
}

// Read reads from the request's body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.activity.reset()
	return b.ReadCloser.Read(p)
}

// responseBody resets the activity timer on each read of a response and
// classifies read errors.
type responseBody struct {
	io.ReadCloser
	// onData is called after each read; it records the confirmation if the response
	// is from the pool's incarnation.
	onData   func()
	activity *activityTimer
	tracker  *SentTracker
	ctx      context.Context
}

// Read reads from the response. Its errors other than io.EOF are of type Error.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		b.onData()
		b.activity.reset()
		return n, nil
	case errors.Is(err, io.EOF):
		b.activity.stop()
		return n, io.EOF
	default:
		b.activity.stop()
		return n, classifyError(b.ctx, b.activity, b.tracker, err)
	}
}

// Close closes the response and cancels the request.
func (b *responseBody) Close() error {
	b.activity.stop()
	err := b.ReadCloser.Close()
	b.activity.cancel()
	return err
}
