package follower

import (
	"context"
	"sync"
)

// newestEra is the newest known era of the platform's store. The store doesn't answer a watch from
// a revision that it has given out again until there is a change, so a watch may learn of a new era
// only from the answers to other calls.
type newestEra struct {
	mu  sync.Mutex
	era int64
	// risen is closed and replaced when era rises.
	risen chan struct{}
}

// observe records an era and returns the newest one.
func (e *newestEra) observe(era int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.era {
		e.era = era
		close(e.risen)
		e.risen = make(chan struct{})
	}
	return e.era
}

func (e *newestEra) current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// untilRisen returns a context that ends with ctx or once an era newer than the given one is known.
func (e *newestEra) untilRisen(ctx context.Context, era int64) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	newest, risen := e.era, e.risen
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if newest > era {
		cancel()
	}
	go func() {
		select {
		case <-risen:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// ObserveEra records an era of the platform's store that another component or host has seen.
func (f *Follower) ObserveEra(era int64) { f.newest.observe(era) }
