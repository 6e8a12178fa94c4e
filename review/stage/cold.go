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
	coldCallers = 24
	coldPause   = 100 * time.Millisecond
	coldWork    = 60 * time.Millisecond
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
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range coldCallers {
		c := s.newCaller(true)
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(coldPause):
				}
				c.send(s.hosts[n%len(s.hosts)], request{method: http.MethodGet, path: routeLook, key: "key-stays", deadline: time.Second})
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.note("the store is silent")
		s.gate.silent()
	}
	w := s.workers[0]
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
	close(stop)
	callers.Wait()
	most := 0
	arrived := w.arrived(started)
	for i, at := range arrived {
		if at.After(started.Add(coldTime)) {
			break
		}
		n := 0
		for _, next := range arrived[i:] {
			if next.Sub(at) <= time.Second && next.Before(started.Add(coldTime)) {
				n++
			}
		}
		most = max(most, n)
	}
	s.note("the cold worker %s got up to %d requests within a second, where %.1f are allowed", w.id, most, coldBound)
	return float64(most) > coldBound, nil
}
