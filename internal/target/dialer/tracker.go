package dialer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errSettled = errors.New("request was given up before its first byte")

// The states of a SentTracker.
const (
	trackerUnsent int32 = iota
	trackerSent
	trackerSettled
)

// SentTracker decides whether any byte of one request may have left. It is
// safe for concurrent use, and its zero value is ready.
type SentTracker struct{ state atomic.Int32 }

// MaybeSent reports whether a byte may have left so far. It turns true just
// before the first write.
func (t *SentTracker) MaybeSent() bool { return t.state.Load() == trackerSent }

// Settle ends the question: it returns whether a byte may have left, and if
// none has, it makes every later write of the request fail.
func (t *SentTracker) Settle() bool {
	return !t.state.CompareAndSwap(trackerUnsent, trackerSettled) && t.MaybeSent()
}

// beforeWrite marks the request as sent, or returns an error after Settle.
func (t *SentTracker) beforeWrite() error {
	if t.state.CompareAndSwap(trackerUnsent, trackerSent) || t.MaybeSent() {
		return nil
	}
	return errSettled
}

type trackerKey struct{}

// WithTracker returns a context whose request reports to t.
func WithTracker(ctx context.Context, t *SentTracker) context.Context {
	return context.WithValue(ctx, trackerKey{}, t)
}

// trackerOf returns the tracker of WithTracker, or a new one.
func trackerOf(ctx context.Context) *SentTracker {
	if t, ok := ctx.Value(trackerKey{}).(*SentTracker); ok {
		return t
	}
	return new(SentTracker)
}

type silenceKey struct{}

// WithSilence returns a context whose request may go without a byte in either
// direction for d in place of Config.Silence.
func WithSilence(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, silenceKey{}, d)
}

// silenceOf returns the time of WithSilence, or preset.
func silenceOf(ctx context.Context, preset time.Duration) time.Duration {
	if d, ok := ctx.Value(silenceKey{}).(time.Duration); ok {
		return d
	}
	return preset
}
