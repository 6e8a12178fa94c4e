package generator

import "container/heap"

// visit is the next prompt of a family. due is the number of drawn prompts at which it
// is due.
type visit struct {
	family int
	due    float64
}

// visitHeap is a min-heap of visits by the time they are due.
type visitHeap []visit

var _ heap.Interface = (*visitHeap)(nil)

// Len returns the number of visits.
func (h visitHeap) Len() int { return len(h) }

// Less orders visits by time. The family breaks ties, so that the order is deterministic.
func (h visitHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].family < h[j].family
}

// Swap exchanges two visits.
func (h visitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a visit.
func (h *visitHeap) Push(v any) { *h = append(*h, v.(visit)) }

// Pop removes the last visit.
func (h *visitHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
