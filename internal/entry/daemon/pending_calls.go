package daemon

import "sync"

// pendingCalls are the calls of peers that wait for an answer of the reducer.
type pendingCalls[A any] struct {
	mu      sync.Mutex
	lastID  uint64
	replies map[uint64]chan A
}

func newPendingCalls[A any]() *pendingCalls[A] {
	return &pendingCalls[A]{replies: map[uint64]chan A{}}
}

// register adds a call and returns its ID and the channel that receives the answer.
func (p *pendingCalls[A]) register() (uint64, <-chan A) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	ch := make(chan A, 1)
	p.replies[p.lastID] = ch
	return p.lastID, ch
}

// resolve sends the answer to a call unless the call was cancelled.
func (p *pendingCalls[A]) resolve(call uint64, a A) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.replies[call]; ch != nil {
		ch <- a
		delete(p.replies, call)
	}
}

// cancel removes a call.
func (p *pendingCalls[A]) cancel(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, call)
}
