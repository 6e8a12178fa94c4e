package generator

import "container/heap"

// visit is the next return of a family. Its time is counted in prompts.
type visit struct {
	family int
	at     float64
}

// schedule is a heap of visits, the earliest first.
type schedule []visit

var _ heap.Interface = (*schedule)(nil)

// Len returns the number of visits.
func (s schedule) Len() int { return len(s) }

// Less orders by time and then by family.
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].family < s[j].family
}

// Swap exchanges two visits.
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds a visit.
func (s *schedule) Push(v any) { *s = append(*s, v.(visit)) }

// Pop removes the last visit.
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
