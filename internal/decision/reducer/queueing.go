package reducer

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// queueing holds the requests that wait for a target, in one fair queue for
// each service.
type queueing struct {
	queues map[identifier.Service]*fairQueue
}

func newQueueing() queueing {
	return queueing{queues: map[identifier.Service]*fairQueue{}}
}

// fairQueue orders requests by the virtual time at which their team's share of
// the service would start them.
type fairQueue struct {
	waiting requestHeap
	// virtual is the start of the last request taken.
	virtual float64
	// finish is each team's virtual finish of its last queued request.
	finish map[identifier.Team]float64
}

// classCost scales a request's cost by its class, so that a team's important
// requests go before its others.
var classCost = map[identifier.Class]float64{
	identifier.ClassInteractive: 1,
	identifier.ClassStandard:    2,
	identifier.ClassBatch:       8,
}

// requestHeap is a heap of requests by virtual start.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].arrived.Before(h[j].arrived)
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds x, which is a *request.
func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop removes the last request.
func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}

var _ heap.Interface = (*requestHeap)(nil)

func (s *State) queueOf(service identifier.Service) *fairQueue {
	q := s.queues[service]
	if q == nil {
		q = &fairQueue{finish: map[identifier.Team]float64{}}
		s.queues[service] = q
	}
	return q
}

// enqueue puts r into its service's queue, and sheds the least important
// request when the queue is full.
func (s *State) enqueue(r *request) {
	r.phase = phaseQueued
	q := s.queueOf(r.service)
	weight := max(s.fleet.Teams[r.team].Weight, minTeamWeight)
	r.start = max(q.virtual, q.finish[r.team])
	q.finish[r.team] = r.start + r.cost()*classCost[r.class]/weight
	heap.Push(&q.waiting, r)
	if limit := r.profile.QueueLimit; limit > 0 && len(q.waiting) > limit {
		s.shed(q)
	}
}

// requeue puts r back where it was in its service's queue.
func (s *State) requeue(r *request) {
	r.phase = phaseQueued
	heap.Push(&s.queueOf(r.service).waiting, r)
}

// minTeamWeight is the weight of a team whose configuration gives none.
const minTeamWeight = 0.01

// shed refuses the least important queued request: the lowest class first, the
// one with the latest virtual start within it.
func (s *State) shed(q *fairQueue) {
	var worst *request
	for _, r := range q.waiting {
		if worst == nil || lessImportant(r, worst) {
			worst = r
		}
	}
	s.removeQueued(worst)
	message := fmt.Sprintf("the queue of service %q is full", worst.service)
	s.refuse(worst, RefusalOverload, message, s.retryAfter(worst.service))
}

func lessImportant(a, b *request) bool {
	rankA, _ := a.class.Rank()
	rankB, _ := b.class.Rank()
	if rankA != rankB {
		return rankA > rankB
	}
	return a.start > b.start
}

// retryAfter estimates when a shed caller finds room.
func (s *State) retryAfter(service identifier.Service) time.Duration {
	n := len(s.queueOf(service).waiting)
	jitter := time.Duration(s.rng.Int64N(int64(time.Second)))
	return time.Second + time.Duration(n)*10*time.Millisecond + jitter
}

func (s *State) removeQueued(r *request) {
	if r.phase == phaseQueued && r.index >= 0 {
		heap.Remove(&s.queueOf(r.service).waiting, r.index)
	}
}

// expireQueued refuses the requests whose deadline passed before they were sent.
func (s *State) expireQueued() {
	for _, r := range s.expired() {
		s.removeQueued(r)
		s.abandonPreparation(r)
		s.refuse(r, RefusalDeadline, "the deadline passed before a target was free", s.retryAfter(r.service))
	}
}

// expired returns the requests that were not sent before their deadline, in a
// fixed order.
func (s *State) expired() []*request {
	var list []*request
	for _, r := range s.requests {
		if r.phase != phaseRunning && s.now.After(r.deadline) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}

// dispatchDepth is the number of requests at the head of a queue of which any may
// be sent, so that one that waits for its target does not hold up the others.
const dispatchDepth = 16

// dispatch sends queued requests to targets, in the order of their fair shares,
// as far as targets have room.
func (s *State) dispatch() {
	for _, service := range s.services {
		q := s.queues[service]
		if q == nil {
			continue
		}
		s.dispatchQueue(q)
		if len(q.waiting) == 0 && len(q.finish) > 0 {
			clear(q.finish)
		}
	}
}

func (s *State) dispatchQueue(q *fairQueue) {
	var held []*request
	for len(q.waiting) > 0 && len(held) < dispatchDepth {
		r := heap.Pop(&q.waiting).(*request)
		s.allowTried(r)
		if !s.place(r) {
			held = append(held, r)
			continue
		}
		q.virtual = max(q.virtual, r.start)
	}
	for _, r := range held {
		heap.Push(&q.waiting, r)
	}
}

// allowTried lets r go to the targets that it failed at when no other one takes work.
func (s *State) allowTried(r *request) {
	if len(r.tried) == 0 {
		return
	}
	for _, t := range s.byService[r.service] {
		if !r.tried[t.name] && s.takesWork(t) && !t.open(s.now) && t.incarnation != 0 {
			return
		}
	}
	clear(r.tried)
}
