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
)

// pool is the transport to one endpoint.
type pool struct {
	dialer    *Dialer
	endpoint  Endpoint
	transport *http.Transport
	evidence  *evidence
}

var _ http.RoundTripper = (*pool)(nil)

func newPool(d *Dialer, endpoint Endpoint) *pool {
	p := &pool{dialer: d, endpoint: endpoint, evidence: newEvidence()}
	p.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, endpoint)
			if err != nil {
				return nil, err
			}
			p.evidence.note(d.cfg.Clock.Now())
			return conn, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: d.cfg.MaxIdle,
		IdleConnTimeout:     d.cfg.IdleTimeout,
	}
	return p
}

// retire closes the idle connections and those that become idle.
func (p *pool) retire() {
	p.transport.CloseIdleConnections()
}

// RoundTrip sends r once. Its errors are of type Error and say whether a byte
// may have left; when they deny it, none will leave later.
func (p *pool) RoundTrip(r *http.Request) (*http.Response, error) {
	tracker := trackerOf(r.Context())
	if err := p.confirm(r.Context()); err != nil {
		tracker.Settle()
		return nil, err
	}
	ctx, cancel := context.WithCancel(r.Context())
	cfg := &p.dialer.cfg
	x := newExchange(cfg.Clock, cfg.HandshakeTimeout, silenceOf(ctx, cfg.Silence), cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			track(info.Conn, tracker)
			x.moved()
		},
	})
	answer, err := p.transport.RoundTrip(once(r.WithContext(ctx), x))
	if err != nil {
		x.end()
		cancel()
		return nil, fail(r.Context(), x, tracker, err)
	}
	x.moved()
	seen := func() {}
	if p.shows(answer) {
		seen = func() { p.evidence.note(cfg.Clock.Now()) }
	}
	seen()
	answer.Body = &answerBody{
		seen:       seen,
		ReadCloser: answer.Body,
		exchange:   x,
		tracker:    tracker,
		ctx:        r.Context(),
	}
	return answer, nil
}

// track attaches a request's tracker to its connection before the first byte is written.
func track(conn net.Conn, tracker *SentTracker) {
	if pinned, ok := conn.(*Conn); ok {
		pinned.tracker.Store(tracker)
		return
	}
	tracker.state.Store(trackerSent)
}

// once makes r impossible to replay, since the transport would repeat some
// requests on its own.
func once(r *http.Request, x *exchange) *http.Request {
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = io.NopCloser(eof{})
		r.ContentLength = -1
		return r
	}
	r.Body = &requestBody{ReadCloser: r.Body, exchange: x}
	return r
}

// fail classifies the failure of a request.
func fail(ctx context.Context, x *exchange, tracker *SentTracker, err error) error {
	failure := newError("call target", KindBroken, err)
	var inner *Error
	switch {
	case errors.As(err, &inner):
		failure.Kind = inner.Kind
		failure.Report = inner.Report
	case x.wasSilent():
		failure.Kind = KindSilent
	case ctx.Err() != nil:
		failure.Kind = KindCancelled
	}
	failure.MaybeSent = tracker.Settle()
	return failure
}

// exchange watches one request and its answer for silence.
type exchange struct {
	cancel  context.CancelFunc
	silence time.Duration

	mu     sync.Mutex
	timer  clockwork.Timer
	ended  bool
	silent bool
}

// newExchange begins to wait for a sign of life; first bounds the wait for a connection.
func newExchange(clock clockwork.Clock, first, silence time.Duration, cancel context.CancelFunc) *exchange {
	x := &exchange{cancel: cancel, silence: silence}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timer = clock.AfterFunc(first+silence, x.expire)
	return x
}

// moved records a sign of life.
func (x *exchange) moved() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.ended {
		x.timer.Reset(x.silence)
	}
}

// expire ends the request for its silence, which closes its connection.
func (x *exchange) expire() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return
	}
	x.ended = true
	x.silent = true
	x.cancel()
}

// end stops the watch.
func (x *exchange) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	x.timer.Stop()
}

// wasSilent reports whether the request ended for its silence.
func (x *exchange) wasSilent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.silent
}

// eof is an empty body that the transport can't recognise as such.
type eof struct{}

// Read returns io.EOF.
func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// requestBody reports each read of a request's body as a sign of life.
type requestBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read reads from the request's body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.exchange.moved()
	return b.ReadCloser.Read(p)
}

// answerBody watches the reads of an answer and classifies their errors.
type answerBody struct {
	io.ReadCloser
	// seen notes that bytes came from the expected incarnation.
	seen     func()
	exchange *exchange
	tracker  *SentTracker
	ctx      context.Context
}

// Read reads from the answer. Its errors other than io.EOF are of type Error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		b.seen()
		b.exchange.moved()
		return n, nil
	case errors.Is(err, io.EOF):
		b.exchange.end()
		return n, io.EOF
	default:
		b.exchange.end()
		return n, fail(b.ctx, b.exchange, b.tracker, err)
	}
}

// Close ends the answer.
func (b *answerBody) Close() error {
	b.exchange.end()
	err := b.ReadCloser.Close()
	b.exchange.cancel()
	return err
}
