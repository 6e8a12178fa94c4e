package reducer

import (
	"container/heap"
	"fmt"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// queueing holds the requests that wait for a target, in one weighted fair queue
// for each service.
type queueing struct {
	queues map[identifier.Service]*fairQueue
}

func newQueueing() queueing {
	return queueing{queues: map[identifier.Service]*fairQueue{}}
}

// fairQueue implements start-time fair queueing: requests are ordered by the
// virtual time at which their team's share of the service would start them.
type fairQueue struct {
	waiting requestHeap
	// virtualTime is the latest virtual start of a dispatched request.
	virtualTime float64
	// virtualFinish is the virtual finish time of each team's last request.
	virtualFinish map[identifier.Team]float64
}

// classCostFactor scales a request's cost by its class, in favour of a team's more
// important requests: those of a lower class use up more of the team's share.
var classCostFactor = map[identifier.Class]float64{
	identifier.ClassInteractive: 1,
	identifier.ClassStandard:    2,
	identifier.ClassBatch:       8,
}

// requestHeap is a heap of requests by virtual start.
type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].arrived.Before(h[j].arrived)
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds x, which is a *request.
func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop removes the last request.
func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.heapIndex = -1
	return r
}

var _ heap.Interface = (*requestHeap)(nil)

func (s *State) queueOf(service identifier.Service) *fairQueue {
	q := s.queues[service]
	if q == nil {
		q = &fairQueue{virtualFinish: map[identifier.Team]float64{}}
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
	r.virtualStart = max(q.virtualTime, q.virtualFinish[r.team])
	q.virtualFinish[r.team] = r.virtualStart + r.cost()*classCostFactor[r.class]/weight
	heap.Push(&q.waiting, r)
	if limit := r.profile.QueueLimit; limit > 0 && len(q.waiting) > limit {
		s.shed(q)
	}
}

// requeue puts r back into its service's queue with its old virtual start.
func (s *State) requeue(r *request) {
	r.phase = phaseQueued
	heap.Push(&s.queueOf(r.service).waiting, r)
}

// minTeamWeight is the lowest weight, and that of a team without a configured one.
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
	return a.virtualStart > b.virtualStart
}

// retryAfter returns a back-off that grows with the queue of a service. It is
// jittered, so that refused callers don't all come back at once.
func (s *State) retryAfter(service identifier.Service) time.Duration {
	n := len(s.queueOf(service).waiting)
	jitter := time.Duration(s.rng.Int64N(int64(time.Second)))
	return time.Second + time.Duration(n)*10*time.Millisecond + jitter
}

func (s *State) removeQueued(r *request) {
	if r.phase == phaseQueued && r.heapIndex >= 0 {
		heap.Remove(&s.queueOf(r.service).waiting, r.heapIndex)
	}
}

// expireQueued refuses the requests whose deadline passed before they were sent.
func (s *State) expireQueued() {
	for _, r := range s.expiredRequests() {
		s.removeQueued(r)
		s.abortPreparation(r)
		s.refuse(r, RefusalDeadline, "the deadline passed before a target was free", s.retryAfter(r.service))
	}
}

// expiredRequests returns the requests that were not sent before their deadline, in
// a fixed order.
func (s *State) expiredRequests() []*request {
	var list []*request
	for _, r := range s.requests {
		if r.phase != phaseRunning && s.now.After(r.deadline) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return strings.Compare(string(a.id), string(b.id)) })
	return list
}

// dispatchDepth is the number of requests at the head of a queue that one pass may
// skip, so that one that waits for a certain target does not block the others.
const dispatchDepth = 16

// dispatch sends queued requests to targets in the order of their virtual starts,
// as far as the targets have room. It clears the teams' finish times of empty queues.
func (s *State) dispatch() {
	for _, service := range s.services {
		q := s.queues[service]
		if q == nil {
			continue
		}
		s.dispatchQueue(q)
		if len(q.waiting) == 0 && len(q.virtualFinish) > 0 {
			clear(q.virtualFinish)
		}
	}
}

func (s *State) dispatchQueue(q *fairQueue) {
	var skipped []*request
	for len(q.waiting) > 0 && len(skipped) < dispatchDepth {
		r := heap.Pop(&q.waiting).(*request)
		s.clearTriedIfExhausted(r)
		if !s.tryDispatch(r) {
			skipped = append(skipped, r)
			continue
		}
		q.virtualTime = max(q.virtualTime, r.virtualStart)
	}
	for _, r := range skipped {
		heap.Push(&q.waiting, r)
	}
}

// clearTriedIfExhausted lets r use the targets that it failed at again if no other
// one takes requests.
func (s *State) clearTriedIfExhausted(r *request) {
	if len(r.tried) == 0 {
		return
	}
	for _, t := range s.byService[r.service] {
		if !r.tried[t.name] && s.acceptsWork(t) && !t.open(s.now) && t.incarnation != 0 {
			return
		}
	}
	clear(r.tried)
}
