package generator

import "container/heap"

// visit is the next prompt of a family. It is due when that many prompts were drawn.
type visit struct {
	family int
	due    float64
}

// visitHeap is a min-heap of visits by the time they are due.
type visitHeap []visit

var _ heap.Interface = (*visitHeap)(nil)

// Len returns the number of visits.
func (s visitHeap) Len() int { return len(s) }

// Less orders visits by time. The family breaks ties, so that the order is deterministic.
func (s visitHeap) Less(i, j int) bool {
	if s[i].due != s[j].due {
		return s[i].due < s[j].due
	}
	return s[i].family < s[j].family
}

// Swap exchanges two visits.
func (s visitHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds a visit.
func (s *visitHeap) Push(v any) { *s = append(*s, v.(visit)) }

// Pop removes the last visit.
func (s *visitHeap) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
