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

// snapshot takes the present counts.
func (r *Runner) snapshot() evaluator.Snapshot {
	s := evaluator.Snapshot{
		At: r.cfg.Clock.Now(), Counts: r.assembly.Counts(), CPU: processTime(),
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

// processTime returns the processor time of this process.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// duplicatePayments counts the runs beyond the first of calls that may not be repeated.
func (r *Runner) duplicatePayments() int {
	runs := map[string]int{}
	for _, p := range r.assembly.Responders {
		for key, n := range p.Stats().Executions {
			if strings.HasPrefix(key, generator.KeyPrefix) {
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
	// heapMetric is the name of the heap's size in runtime/metrics.
	heapMetric = "/memory/classes/heap/objects:bytes"
	// heapInterval is the time between two looks at the heap.
	heapInterval = time.Second
)

// watchHeap looks at the heap until ctx ends and then sends its peak.
func (r *Runner) watchHeap(ctx context.Context) <-chan uint64 {
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

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
