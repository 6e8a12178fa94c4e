// Package sampler measures the memory of a test's process.
package sampler

import (
	"runtime"
	"time"
)

// interval is the time between two samples.
const interval = 5 * time.Millisecond

// StartHeap starts to sample the heap. The function that it returns ends that and returns the
// largest growth, in bytes, with garbage that wasn't collected yet.
func StartHeap() func() int64 {
	runtime.GC()
	before := heap()
	done, largest := make(chan struct{}), make(chan int64)
	go func() {
		var grown int64
		for {
			grown = max(grown, heap()-before)
			select {
			case <-done:
				largest <- grown
				return
			case <-time.After(interval):
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-largest
	}
}

func heap() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
