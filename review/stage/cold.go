package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { plays["cold"] = playCold }

const (
	// coldPerS is the cold limit of the service, and coldBound what one second may bring by the rules.
	coldPerS    = 13.0
	coldBound   = 24.5
	coldCallers = 36
	coldPause   = 60 * time.Millisecond
	coldWork    = 60 * time.Millisecond
	// breakingRate is the rate, well above coldPerS, at which a cold worker crashes.
	breakingRate = 40
	// storeDownTime is how long the store is silent, workerDownTime how long the worker is down.
	storeDownTime  = 4500 * time.Millisecond
	workerDownTime = time.Second
)

// playCold restarts a worker under the ID that it had, cold, while the store is silent.
func playCold(s *stage, trouble bool) (bool, error) {
	s.writeConfig(configuration{version: 7, keys: map[string]string{"key-stays": "jeye930"}, coldPerS: coldPerS})
	if err := s.startSmall(2, 3, coldWork); err != nil {
		return false, err
	}
	p := &payers{stage: s, stop: make(chan struct{}), paid: map[string]bool{}}
	for n := range coldCallers {
		p.group.Go(func() { p.pay(s.hosts[n%len(s.hosts)]) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.note("the store is silent")
		s.gate.silent()
	}
	w := s.workers[0]
	w.breaksAt = breakingRate
	time.Sleep(500 * time.Millisecond)
	w.crash()
	time.Sleep(workerDownTime)
	if err := w.start(coldTime); err != nil {
		return false, err
	}
	started := time.Now()
	time.Sleep(storeDownTime - workerDownTime - 500*time.Millisecond)
	s.gate.open()
	s.note("the store answers")
	time.Sleep(time.Second)
	close(p.stop)
	p.group.Wait()
	most := mostWithinSecond(w.arrived(started), started.Add(coldTime))
	lost := s.runs.of(func(r run) bool { return r.worker == w.id && r.at.After(started) && !p.isPaid(r.id) })
	s.note("the cold worker %s got up to %d requests within a second, where %.1f are allowed; %d orders that it ran were lost", w.id, most, coldBound, len(lost))
	return float64(most) > coldBound, nil
}

// mostWithinSecond returns the most arrivals within a second up to a time.
func mostWithinSecond(arrived []time.Time, until time.Time) int {
	most := 0
	for i, first := range arrived {
		n := 0
		for _, at := range arrived[i:] {
			if at.Sub(first) <= time.Second && at.Before(until) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// payers are callers whose orders must not be repeated.
type payers struct {
	stage *stage
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	// paid holds the requests that were answered with success.
	paid map[string]bool
}

func (p *payers) isPaid(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paid[id]
}

// pay sends orders to a host until stop is closed.
func (p *payers) pay(h *host) {
	c := p.stage.newCaller(true)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(coldPause):
		}
		a := c.send(h, request{method: http.MethodPost, path: routeOrder, key: "key-stays", body: "order 17", deadline: time.Second})
		if a.status == http.StatusOK {
			p.mu.Lock()
			p.paid[a.id] = true
			p.mu.Unlock()
		}
	}
}
