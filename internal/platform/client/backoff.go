package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Jitter is a seeded source of random delays that goroutines may share.
type Jitter struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// NewJitter returns a Jitter that draws from rnd. The caller must no longer use rnd.
func NewJitter(rnd *rand.Rand) *Jitter { return &Jitter{rnd: rnd} }

// Between returns a random duration in [low, high].
func (j *Jitter) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return low + time.Duration(j.rnd.Int64N(int64(high-low)+1))
}

// Token returns 128 random bits as hexadecimal digits.
func (j *Jitter) Token() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return hexToken(j.rnd.Uint64(), j.rnd.Uint64())
}

// Backoff computes exponential back-off with jitter. Its delays are never zero, so
// that retries don't flood a failing platform. It isn't safe for concurrent use.
type Backoff struct {
	// Base is the first delay and Max the longest one, before jitter.
	Base, Max time.Duration
	// Jitter is the source of randomness.
	Jitter *Jitter

	next time.Duration
}

// Next returns a random delay between half and all of the current step, and doubles
// the step.
func (b *Backoff) Next() time.Duration {
	if b.next < b.Base {
		b.next = b.Base
	}
	d := b.Jitter.Between(b.next/2, b.next)
	b.next = min(2*b.next, b.Max)
	return d
}

// Reset makes the next step Base again; it is called after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits for d by clock. It returns the context's error as soon as ctx ends.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a context that is cancelled after d by clock, with the cause
// context.DeadlineExceeded.
func WithTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
