// Package caller runs attempts on targets: it sends a prompt to an engine and
// passes on the checked tokens, or makes one HTTP exchange with a plain service.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/dialer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies failures of this package.
type Kind string

// KindConfig reports a missing part of a Config.
const KindConfig Kind = "config"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Transports provides connections that reach one incarnation of a target only.
type Transports interface {
	// RoundTripper returns the transport to one incarnation of a target. Its
	// requests are sent at most once and report to the context's SentTracker.
	RoundTripper(dialer.Endpoint) (http.RoundTripper, error)
	// CloseAll drops the idle connections to all targets.
	CloseAll()
}

var _ Transports = (*dialer.Dialer)(nil)

// Config configures a Caller.
type Config struct {
	Transports Transports
	Clock      clockwork.Clock
}

// Caller runs attempts on targets. It is safe for concurrent use.
type Caller struct {
	cfg Config
}

// New returns a Caller.
func New(cfg Config) (*Caller, error) {
	if cfg.Transports == nil || cfg.Clock == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new caller", Kind: KindConfig, Err: errors.New("transports and clock are needed")}}
	}
	return &Caller{cfg: cfg}, nil
}

// exchange is one attempt's HTTP exchange.
type exchange struct {
	start      reducer.Start
	transports Transports
	cancel     context.CancelCauseFunc
	// sent knows whether a byte of the request may have left.
	sent     *dialer.SentTracker
	stall    clockwork.Timer
	response *http.Response
}

var (
	errStalled  = errors.New("the answer made no progress")
	errDeadline = errors.New("the deadline passed")
)

// open sends req and returns the exchange with its response, or the failure.
func (c *Caller) open(ctx context.Context, start reducer.Start, req *http.Request) (*exchange, reducer.Event) {
	if !start.SendBy.IsZero() && !c.cfg.Clock.Now().Before(start.SendBy) {
		return nil, reducer.AttemptFailed{Attempt: start.Attempt, Proven: true, Reason: reducer.FailureLate, Detail: "the leave to use the target ended before the request was sent"}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	x := &exchange{start: start, transports: c.cfg.Transports, cancel: cancel, sent: new(dialer.SentTracker)}
	left := start.Deadline.Sub(c.cfg.Clock.Now())
	deadline := c.cfg.Clock.AfterFunc(left, func() { cancel(errDeadline) })
	context.AfterFunc(ctx, func() { deadline.Stop() })
	x.stall = c.cfg.Clock.AfterFunc(stallOf(start, left), func() { cancel(errStalled) })
	response, err := c.send(ctx, x, req)
	if err != nil {
		defer x.close()
		return nil, x.failure(ctx, err, 0)
	}
	x.response = response
	return x, nil
}

func (c *Caller) send(ctx context.Context, x *exchange, req *http.Request) (*http.Response, error) {
	endpoint := dialer.Endpoint{Target: x.start.Target, Address: x.start.Address, Incarnation: x.start.Incarnation}
	transport, err := c.cfg.Transports.RoundTripper(endpoint)
	if err != nil {
		return nil, err
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return transport.RoundTrip(req.WithContext(dialer.WithTracker(ctx, x.sent)))
}

// defaultStallTimeout is used when a profile gives none.
const defaultStallTimeout = 5 * time.Second

func stallOf(start reducer.Start, left time.Duration) time.Duration {
	if start.StallTimeout > 0 {
		return start.StallTimeout
	}
	return min(defaultStallTimeout, max(left, time.Millisecond))
}

// progress restarts the stall timer.
func (x *exchange) progress(left time.Duration) { x.stall.Reset(stallOf(x.start, left)) }

func (x *exchange) close() {
	x.stall.Stop()
	x.cancel(nil)
	if x.response != nil {
		_ = x.response.Body.Close()
	}
}

// failure describes why the exchange ended without a whole answer.
func (x *exchange) failure(ctx context.Context, err error, delivered int) reducer.AttemptFailed {
	failed := reducer.AttemptFailed{
		Attempt: x.start.Attempt, Proven: !x.sent.Settle(), Detail: err.Error(),
		Delivered: delivered, Reason: reducer.FailureBroken,
	}
	cause := context.Cause(ctx)
	var own *dialer.Error
	isOwn := errors.As(err, &own)
	switch {
	case isOwn && own.Kind == dialer.KindIncarnation:
		failed.Reason = reducer.FailureIncarnation
	case errors.Is(cause, errStalled) || isOwn && own.Kind == dialer.KindSilent:
		failed.Reason = reducer.FailureStalled
	case errors.Is(cause, errDeadline):
		failed.Reason = reducer.FailureDeadline
	case ctx.Err() != nil:
		failed.Reason = reducer.FailureCaller
	case failed.Proven:
		failed.Reason = reducer.FailureUnreachable
	}
	if failed.Reason == reducer.FailureStalled {
		// What silenced one connection may have silenced those that are idle.
		x.transports.CloseAll()
	}
	return failed
}

// incarnationOf reads the incarnation header; 0 when it is missing.
func incarnationOf(h http.Header) identifier.Incarnation {
	n, err := strconv.ParseUint(h.Get(messenger.HeaderIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return identifier.Incarnation(n)
}
