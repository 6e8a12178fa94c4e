package engine

import "container/heap"

// queue orders the waiting runs by priority and then by arrival. Engine.mu
// guards it.
type queue struct{ waiting runHeap }

func (q *queue) push(r *run) { heap.Push(&q.waiting, r) }

func (q *queue) pop() *run { return heap.Pop(&q.waiting).(*run) }

func (q *queue) remove(r *run) { heap.Remove(&q.waiting, r.index) }

func (q *queue) len() int { return len(q.waiting) }

// tokens counts the prompt tokens of the waiting runs.
func (q *queue) tokens() int {
	n := 0
	for _, r := range q.waiting {
		n += r.req.PromptTokens
	}
	return n
}

// runHeap implements heap.Interface and maintains the index of each run.
type runHeap []*run

var _ heap.Interface = (*runHeap)(nil)

// Len returns the number of runs.
func (h runHeap) Len() int { return len(h) }

// Less reports whether run i starts before run j.
func (h runHeap) Less(i, j int) bool {
	if h[i].req.Priority != h[j].req.Priority {
		return h[i].req.Priority > h[j].req.Priority
	}
	return h[i].arrival < h[j].arrival
}

// Swap exchanges two runs.
func (h runHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a run.
func (h *runHeap) Push(x any) {
	r := x.(*run)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop removes the last run.
func (h *runHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	r.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
