// Package jitterer adds random jitter to intervals and back-off delays, so that
// daemons do not act in lockstep.
package jitterer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Jitterer draws delays from a seeded random source. It is safe for concurrent use.
type Jitterer struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Jitterer with the given seed.
func New(seed uint64) *Jitterer {
	return &Jitterer{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Spread returns a random duration between d*(1-share) and d*(1+share).
func (j *Jitterer) Spread(d time.Duration, share float64) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	offset := (2*j.rng.Float64() - 1) * share
	return time.Duration(float64(d) * (1 + offset))
}

// Backoff returns the delay after a number of consecutive failures. The delay
// doubles from base with each failure up to limit; the result is drawn from the
// upper half of it.
func (j *Jitterer) Backoff(base, limit time.Duration, failures int) time.Duration {
	wait := base
	for i := 1; i < failures && wait < limit; i++ {
		wait *= 2
	}
	wait = min(wait, limit)
	j.mu.Lock()
	defer j.mu.Unlock()
	return wait/2 + time.Duration(j.rng.Float64()*float64(wait/2))
}

// Uint64 returns a random number.
func (j *Jitterer) Uint64() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rng.Uint64()
}
