package recorder

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
)

// stepsPerRequest is the number of steps of a typical request.
const stepsPerRequest = 6

// BenchmarkRecordStep measures adding a step to a full recorder, and the heap per
// request.
func BenchmarkRecordStep(b *testing.B) {
	for _, requests := range []int{512, 2048, 8192} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r, err := New(Config{Clock: clockwork.NewRealClock(), Requests: requests})
			if err != nil {
				b.Fatal(err)
			}
			record := func(i int) {
				r.RecordStep(reducer.RecordStep{
					Request: identifier.Request(fmt.Sprintf("0192f0c1-8c5a-7cc0-a8a1-%012d", i/stepsPerRequest)),
					Step:    reducer.StepDecided, Target: "target-00001",
					Detail: fmt.Sprintf("first token in 12.%dms, import 8 blocks, compute 512 tokens", i),
				})
			}
			for i := range requests * stepsPerRequest {
				record(i)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				record(requests*stepsPerRequest + i)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(requests), "B/request")
			runtime.KeepAlive(r)
		})
	}
}
