// Package scheduler orders functions in virtual time, for simulations.
package scheduler

import (
	"container/heap"
	"time"
)

// Event is a function to run at a time.
type Event struct {
	At  time.Time
	Run func()
	seq int
}

// Queue holds events. Events at the same time come in the order in which they were added. The zero
// Queue is empty and ready to use. It is not safe for concurrent use.
type Queue struct {
	events  eventHeap
	lastSeq int
}

// Add adds a function to run at a time.
func (q *Queue) Add(at time.Time, run func()) {
	q.lastSeq++
	heap.Push(&q.events, Event{At: at, Run: run, seq: q.lastSeq})
}

// Next removes and returns the earliest event that isn't later than a time, or false if there is none.
func (q *Queue) Next(until time.Time) (Event, bool) {
	if len(q.events) == 0 || q.events[0].At.After(until) {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

// eventHeap implements heap.Interface, with the earliest event first.
type eventHeap []Event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].At.Equal(h[j].At) {
		return h[i].seq < h[j].seq
	}
	return h[i].At.Before(h[j].At)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(Event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
