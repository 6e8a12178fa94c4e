// Package caller runs attempts on targets: it sends a prompt to an engine and
// streams the validated tokens, or sends one HTTP request to a plain service.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/propagation"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/dialer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies errors of this package.
type Kind string

// KindConfig reports an incomplete Config.
const KindConfig Kind = "config"

// Error describes an invalid Config.
type Error struct{ failer.Detail[Kind] }

// Transports provides transports that are each bound to one incarnation of a target.
type Transports interface {
	// RoundTripper returns the transport to one incarnation of a target. Its
	// requests are sent at most once and are tracked by the context's SentTracker.
	RoundTripper(dialer.Endpoint) (http.RoundTripper, error)
	// CloseAll closes the idle connections to all targets.
	CloseAll()
}

var _ Transports = (*dialer.Dialer)(nil)

// Config configures a Caller.
type Config struct {
	Transports Transports
	Clock      clockwork.Clock
	// Propagator injects the current span into requests to targets; nil disables this.
	Propagator propagation.TextMapPropagator
}

// Caller runs attempts on targets. It is safe for concurrent use.
type Caller struct {
	cfg Config
	// buffers bounds the memory for responses that are being read.
	buffers *bounder.Budget
}

// maxBufferedBytes bounds the responses that are being read, beyond the first part of each.
const maxBufferedBytes = 64 << 20

// New returns a Caller, or an Error of KindConfig.
func New(cfg Config) (*Caller, error) {
	if cfg.Transports == nil || cfg.Clock == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new caller", Kind: KindConfig, Err: errors.New("transports and clock are required")}}
	}
	if cfg.Propagator == nil {
		cfg.Propagator = propagation.NewCompositeTextMapPropagator()
	}
	return &Caller{cfg: cfg, buffers: bounder.NewBudget(maxBufferedBytes)}, nil
}

// exchange is the HTTP request of one attempt and its response.
type exchange struct {
	start      reducer.Start
	buffers    *bounder.Budget
	transports Transports
	cancel     context.CancelCauseFunc
	// sent tracks whether a byte of the request may have been sent.
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
		return nil, reducer.AttemptFailed{Attempt: start.Attempt, ProvenNotRun: true, Reason: reducer.FailurePermissionExpired, Detail: "the leave to use the target ended before the request was sent"}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	x := &exchange{start: start, buffers: c.buffers, transports: c.cfg.Transports, cancel: cancel, sent: new(dialer.SentTracker)}
	left := start.Deadline.Sub(c.cfg.Clock.Now())
	deadline := c.cfg.Clock.AfterFunc(left, func() { cancel(errDeadline) })
	context.AfterFunc(ctx, func() { deadline.Stop() })
	x.stall = c.cfg.Clock.AfterFunc(stallTimeoutOf(start, left), func() { cancel(errStalled) })
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
	c.cfg.Propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return transport.RoundTrip(req.WithContext(dialer.WithTracker(ctx, x.sent)))
}

// defaultStallTimeout is used when the profile has no stall timeout.
const defaultStallTimeout = 5 * time.Second

func stallTimeoutOf(start reducer.Start, left time.Duration) time.Duration {
	if start.StallTimeout > 0 {
		return start.StallTimeout
	}
	return min(defaultStallTimeout, max(left, time.Millisecond))
}

// resetStallTimer restarts the stall timer after a frame; left is the time to the deadline.
func (x *exchange) resetStallTimer(left time.Duration) { x.stall.Reset(stallTimeoutOf(x.start, left)) }

func (x *exchange) close() {
	x.stall.Stop()
	x.cancel(nil)
	if x.response != nil {
		_ = x.response.Body.Close()
	}
}

// failure converts err to the event for an exchange without a complete response.
func (x *exchange) failure(ctx context.Context, err error, delivered int) reducer.AttemptFailed {
	failed := reducer.AttemptFailed{
		Attempt: x.start.Attempt, ProvenNotRun: !x.sent.Finalise(), Detail: err.Error(),
		Delivered: delivered, Reason: reducer.FailureBroken,
	}
	cause := context.Cause(ctx)
	var dialErr *dialer.Error
	isDialErr := errors.As(err, &dialErr)
	switch {
	case isDialErr && dialErr.Kind == dialer.KindIncarnation:
		failed.Reason = reducer.FailureWrongIncarnation
	case errors.Is(cause, errStalled) || isDialErr && dialErr.Kind == dialer.KindSilent:
		failed.Reason = reducer.FailureStalled
	case errors.Is(cause, errDeadline):
		failed.Reason = reducer.FailureDeadline
	case ctx.Err() != nil:
		failed.Reason = reducer.FailureCallerDisconnected
	case failed.ProvenNotRun:
		failed.Reason = reducer.FailureUnreachable
	}
	if failed.Reason == reducer.FailureStalled {
		// The cause, such as a network partition, may affect the idle connections too.
		x.transports.CloseAll()
	}
	return failed
}

// incarnationOf parses the incarnation header. It returns 0 if it is missing or invalid.
func incarnationOf(h http.Header) identifier.Incarnation {
	n, err := strconv.ParseUint(h.Get(messenger.HeaderIncarnation), 10, 64)
	if err != nil {
		return 0
	}
	return identifier.Incarnation(n)
}
