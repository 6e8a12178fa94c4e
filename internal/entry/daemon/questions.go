package daemon

import "sync"

// questions are the calls of peers that wait for the reducer's answer.
type questions[A any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan A
}

func newQuestions[A any]() *questions[A] {
	return &questions[A]{waiting: map[uint64]chan A{}}
}

// expect registers a question and returns its number and where the answer comes.
func (q *questions[A]) expect() (uint64, <-chan A) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	ch := make(chan A, 1)
	q.waiting[q.last] = ch
	return q.last, ch
}

// answer hands over the answer to a question that still waits.
func (q *questions[A]) answer(call uint64, a A) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ch := q.waiting[call]; ch != nil {
		ch <- a
		delete(q.waiting, call)
	}
}

// forget gives up a question.
func (q *questions[A]) forget(call uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, call)
}
