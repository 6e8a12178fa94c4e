package dialer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errBlocked = errors.New("request was given up before its first byte")

// The states of a SentTracker.
const (
	trackerUnsent int32 = iota
	trackerSent
	trackerBlocked
)

// SentTracker tracks whether any byte of a request may have been sent. It is safe
// for concurrent use, and its zero value is ready to use.
type SentTracker struct{ state atomic.Int32 }

// MaybeSent reports whether a byte may have been sent so far. It becomes true just
// before the first write.
func (t *SentTracker) MaybeSent() bool { return t.state.Load() == trackerSent }

// Finalise reports whether a byte may have been sent. If none was, every later
// write of the request fails, so that the result stays true.
func (t *SentTracker) Finalise() bool {
	return !t.state.CompareAndSwap(trackerUnsent, trackerBlocked) && t.MaybeSent()
}

// beforeWrite marks the request as sent. It returns an error if Finalise was
// called before the first write.
func (t *SentTracker) beforeWrite() error {
	if t.state.CompareAndSwap(trackerUnsent, trackerSent) || t.MaybeSent() {
		return nil
	}
	return errBlocked
}

type trackerKey struct{}

// WithTracker returns a context whose request is tracked by t.
func WithTracker(ctx context.Context, t *SentTracker) context.Context {
	return context.WithValue(ctx, trackerKey{}, t)
}

// trackerFrom returns the tracker set by WithTracker, or a new one.
func trackerFrom(ctx context.Context) *SentTracker {
	if t, ok := ctx.Value(trackerKey{}).(*SentTracker); ok {
		return t
	}
	return new(SentTracker)
}

type inactivityTimeoutKey struct{}

// WithInactivityTimeout returns a context whose request uses d instead of
// Config.InactivityTimeout.
func WithInactivityTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, inactivityTimeoutKey{}, d)
}

// inactivityTimeoutOf returns the timeout set by WithInactivityTimeout, or fallback.
func inactivityTimeoutOf(ctx context.Context, fallback time.Duration) time.Duration {
	if d, ok := ctx.Value(inactivityTimeoutKey{}).(time.Duration); ok {
		return d
	}
	return fallback
}
