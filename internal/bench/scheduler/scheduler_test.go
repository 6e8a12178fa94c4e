package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEventsComeInOrder guards against events that overtake earlier ones, or those added before at the
// same time.
func TestEventsComeInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	var q Queue
	var got []int
	for i, after := range []time.Duration{3, 1, 2, 1, 5} {
		q.Add(start.Add(after*time.Second), func() { got = append(got, i) })
	}
	for ev, ok := q.Next(start.Add(3 * time.Second)); ok; ev, ok = q.Next(start.Add(3 * time.Second)) {
		ev.Run()
	}
	assert.DeepEqual(t, got, []int{1, 3, 2, 0})
	_, ok := q.Next(start.Add(4 * time.Second))
	assert.Assert(t, !ok)
}
