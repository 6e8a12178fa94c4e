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

// NewJitter returns a Jitter over rnd, which it uses alone from then on.
func NewJitter(rnd *rand.Rand) *Jitter { return &Jitter{rnd: rnd} }

// Between returns a random duration from low up to high.
func (j *Jitter) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return low + time.Duration(j.rnd.Int64N(int64(high-low)+1))
}

// Token returns 128 random bits in hexadecimal digits.
func (j *Jitter) Token() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return hexToken(j.rnd.Uint64(), j.rnd.Uint64())
}

// Backoff yields growing, jittered delays between repeated calls. The zero
// delay is never returned, so that a failing platform sees no storm. It is
// used by one goroutine.
type Backoff struct {
	// Base and Max bound the delay before jitter.
	Base, Max time.Duration
	// Jitter is the source of randomness.
	Jitter *Jitter

	next time.Duration
}

// Next returns a delay between half and all of the present step and doubles the step.
func (b *Backoff) Next() time.Duration {
	if b.next < b.Base {
		b.next = b.Base
	}
	d := b.Jitter.Between(b.next/2, b.next)
	b.next = min(2*b.next, b.Max)
	return d
}

// Reset starts again from the base after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Sleep waits for d by clock and returns early with the context's error.
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

// WithTimeout returns a context that ends after d by clock with the cause
// context.DeadlineExceeded.
func WithTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
