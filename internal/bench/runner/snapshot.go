package runner

import (
	"context"
	"runtime/metrics"
	"strings"
	"syscall"
	"time"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/bench/generator"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// snapshot reads the current counters.
func (r *Runner) snapshot() evaluator.Snapshot {
	s := evaluator.Snapshot{
		At: r.cfg.Clock.Now(), Counts: r.assembly.Counts(), CPU: processCPUTime(),
		ObjectCalls: map[string]int{}, PeerBytes: map[identifier.Host]uint64{},
	}
	for _, c := range r.assembly.Registrar.Counters().Calls {
		s.ObjectCalls[string(c.Op)] += c.Count
	}
	for name, h := range r.assembly.Hosts {
		s.PeerBytes[name] = h.PeerBytes()
	}
	return s
}

// processCPUTime returns the CPU time of this process, or 0 if it is unavailable.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countDuplicateRuns counts the runs after the first of each non-repeatable call.
func (r *Runner) countDuplicateRuns() int {
	runs := map[string]int{}
	for _, p := range r.assembly.Responders {
		for key, n := range p.Stats().Executions {
			if strings.HasPrefix(key, generator.IdempotencyKeyPrefix) {
				runs[key] += n
			}
		}
	}
	extra := 0
	for _, n := range runs {
		extra += n - 1
	}
	return extra
}

const (
	// heapMetric is the heap size in runtime/metrics.
	heapMetric = "/memory/classes/heap/objects:bytes"
	// heapInterval is the interval between two samples of the heap size.
	heapInterval = time.Second
)

// trackPeakHeap samples the heap size until ctx ends and then sends the peak.
func (r *Runner) trackPeakHeap(ctx context.Context) <-chan uint64 {
	peak := make(chan uint64, 1)
	go func() {
		ticker := r.cfg.Clock.NewTicker(heapInterval)
		defer ticker.Stop()
		highest := heapBytes()
		for {
			select {
			case <-ctx.Done():
				peak <- highest
				return
			case <-ticker.Chan():
				highest = max(highest, heapBytes())
			}
		}
	}()
	return peak
}

// heapBytes returns the current heap size.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
