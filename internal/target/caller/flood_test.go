package caller

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/standin/flooder"
	"cardamomscale.example/cardamomscale/internal/testing/sampler"
)

const (
	// floodCalls is the number of attempts at once of each kind.
	floodCalls = 48
	// floodHeap bounds the growth of the heap during all these attempts, in bytes: their shared
	// buffers, copies of them as they grow, and garbage.
	floodHeap = 3 * maxBufferedBytes
)

// TestEndlessResponsesHoldMemory guards against a daemon whose memory grows with each attempt at a
// target that sends bytes without end, and against attempts that last until their deadline.
func TestEndlessResponsesHoldMemory(t *testing.T) {
	for name, flood := range map[string]*flooder.Flood{
		"no HTTP":           {Repeat: "bytes "},
		"header lines":      {Begin: "HTTP/1.1 200 OK\r\n", Repeat: "X-A: b\r\n"},
		"slow header lines": {Begin: "HTTP/1.1 200 OK\r\n", Repeat: "X-A: b\r\n", Pause: 10 * time.Millisecond},
		"body":              {Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "bytes "},
		"slow body":         {Begin: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "bytes ", Pause: 10 * time.Millisecond},
		"refusal":           {Begin: "HTTP/1.1 503 Full\r\nCardamom-Run: not-run\r\n\r\n", Repeat: "bytes "},
		"slow refusal":      {Begin: "HTTP/1.1 503 Full\r\nCardamom-Run: not-run\r\n\r\n", Repeat: "bytes ", Pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, flood)
			heapGrowth := sampler.StartHeap()
			began := time.Now()
			var attempts sync.WaitGroup
			for range floodCalls {
				attempts.Go(func() {
					_, ev := f.generate(t)
					_, failed := ev.(reducer.AttemptFailed)
					assert.Check(t, failed, "%+v", ev)
				})
				attempts.Go(func() {
					_, ev := f.call(t)
					_, failed := ev.(reducer.AttemptFailed)
					assert.Check(t, failed, "%+v", ev)
				})
			}
			attempts.Wait()
			assert.Check(t, time.Since(began) < stallTime+time.Second, "attempts lasted for %v", time.Since(began))
			grown := heapGrowth()
			assert.Check(t, grown < floodHeap, "the heap grew by %d MiB", grown>>20)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := flood.Open(); n > 0 {
					return poll.Continue("%d connections are open", n)
				}
				return poll.Success()
			})
		})
	}
}
