package soaker

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// There is a series of pauses for each seriesInterval of the phase with faults, and at
	// least one.
	seriesInterval = 20 * time.Second
	// maxTakeoverTime bounds the wait for a successor. Hosts take over the lease in turn.
	maxTakeoverTime = 20 * time.Second
	// A series has minSeriesPauses to maxSeriesPauses pauses: each takeover lasts about half as
	// long as the bound for old weights.
	minSeriesPauses, maxSeriesPauses = 3, 4
	// Lease holders are paused for minHolderPause to maxHolderPause, the first one up to
	// maxNamingDelay before new weights are named, each successor up to maxOrderingTime after
	// its first order.
	minHolderPause, maxHolderPause  = 3 * time.Second, 6 * time.Second
	maxNamingDelay, maxOrderingTime = 300 * time.Millisecond, time.Second
)

// pauseSeries draws series of pauses of lease holders. There are no other faults meanwhile, so
// that the bound for old weights holds.
func (s *Soaker) pauseSeries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, math.MaxUint64))
	for range max(1, s.cfg.FaultDuration/seriesInterval) {
		s.pauseHolders(ctx, rng)
		sleep(ctx, recoveryTime)
	}
}

// pauseHolders pauses the host that holds the lease for orders as new weights are named, and
// each successor once it gives orders. In half of the series, the weights are replaced before
// all engines can have them.
func (s *Soaker) pauseHolders(ctx context.Context, rng *rand.Rand) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Float64()*float64(most-least))
	}
	pauses := make([]struct{ after, duration time.Duration }, minSeriesPauses+rng.IntN(maxSeriesPauses-minSeriesPauses+1))
	for i := range pauses {
		pauses[i].after, pauses[i].duration = between(0, maxOrderingTime), between(minHolderPause, maxHolderPause)
	}
	namingDelay, replaceAfter, replaced := between(0, maxNamingDelay), between(minHolderPause, maxHolderPause), rng.IntN(2) == 0

	cl, chk := s.cluster, s.checker
	from := time.Now()
	s.recordEvent("weights named before pauses")
	chk.awaitWeightVersion(cl.engines, cl.publishWeights())
	var g sync.WaitGroup
	for i, p := range pauses {
		h := s.awaitOrder(ctx, from)
		if h == nil {
			break
		}
		if i > 0 {
			sleep(ctx, p.after)
		}
		s.recordEvent("lease holder paused", "host", h.name, "duration", p.duration.String())
		h.pause()
		from = time.Now()
		g.Go(func() {
			sleep(ctx, p.duration)
			h.resume(chk)
		})
		if i > 0 {
			continue
		}
		sleep(ctx, namingDelay)
		s.recordEvent("weights named during pauses")
		cl.publishWeights()
		if replaced {
			g.Go(func() {
				sleep(ctx, replaceAfter)
				s.recordEvent("weights replaced during pauses")
				cl.publishWeights()
			})
		}
	}
	g.Wait()
	chk.awaitWeightVersion(cl.engines, cl.weightVersion())
}

// awaitOrder waits until a host that isn't paused has given the last order, later than from, and
// returns this host. It returns nil if all engines have the named weights, after maxTakeoverTime,
// or when ctx ends.
func (s *Soaker) awaitOrder(ctx context.Context, from time.Time) *host {
	for deadline := time.Now().Add(maxTakeoverTime); time.Now().Before(deadline); {
		o := s.checker.lastOrder()
		for _, h := range s.cluster.hosts {
			if h.name == o.Holder && o.At.After(from) && !h.isPaused() {
				return h
			}
		}
		if len(enginesWithout(s.cluster.engines, s.cluster.weightVersion())) == 0 || !sleep(ctx, stallCheckInterval) {
			return nil
		}
	}
	return nil
}
