package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["leak"] = playLeak }

const (
	leakTime = 70 * time.Second
	// leakParts parts of leakTokens tokens each fit into the head of a request and the memory of an engine.
	leakParts, leakTokens = 2000, 16
	leakCallers           = 40
	// leavingCallers is the share of callers that leave, as on the days, and leaveTime when they do.
	leavingCallers = 6
	// orderingCallers send orders, which take orderWork and are answered whole.
	orderingCallers = 20
	orderWork       = 60 * time.Millisecond
	leaveTime       = 60 * time.Millisecond
	leakPause       = 50 * time.Millisecond
	leakMemoryMB    = 284
	// restTime is how long the process is watched after the last request.
	restTime = 3 * time.Second
)

// playLeak lets some callers of long prompts leave before the prompt was read.
func playLeak(s *stage, trouble bool) (bool, error) {
	stores := map[string]*kvStore{}
	capacities := map[string]int{}
	for n, capacity := range []int{176859, 2100206} {
		addr := s.address(200+n, storePort)
		st := newKVStore(capacity)
		stores[addr.String()], capacities[addr.String()] = st, capacity
		if err := s.serve(addr, st, nil); err != nil {
			return false, err
		}
	}
	s.writeConfig(configuration{version: 7, keys: map[string]string{"key-stays": "jeye930"}, stores: capacities})
	for range 4 {
		if err := s.addWorker(&worker{service: engineName, model: modelName, takes: 10 * time.Millisecond, stores: stores}); err != nil {
			return false, err
		}
	}
	for range 3 {
		if err := s.addWorker(&worker{service: plainName, takes: orderWork}); err != nil {
			return false, err
		}
	}
	h, err := s.addHost(0, leakMemoryMB)
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // The host saves nothing to stores that may have just started.
	return s.sendLongPrompts(h, trouble), nil
}

// sendLongPrompts sends prompts with parts that nobody has sent before beside usual ones, and reports whether usual requests
// on kept connections were lost because the process came to hold more memory than its machine has.
func (s *stage) sendLongPrompts(h *host, trouble bool) bool {
	end := time.Now().Add(leakTime)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var usual []answer
	var left, part atomic.Int64
	for n := range leakCallers {
		c := s.newCaller(true)
		callers.Go(func() {
			for i := n; time.Now().Before(end) && !h.hasEnded(); i += leakCallers {
				q := usualPrompt(i)
				switch {
				case n < leavingCallers:
					q = longPrompt(&part)
					if trouble {
						q.leaves = leaveTime
					}
				case n < leavingCallers+orderingCallers:
					q = pay("key-stays")
				}
				a := c.send(h, q)
				if n >= leavingCallers {
					mu.Lock()
					usual = append(usual, a)
					mu.Unlock()
				} else if a.err != nil {
					left.Add(1)
				}
				time.Sleep(leakPause)
			}
		})
	}
	go func() {
		callers.Wait()
		time.Sleep(restTime)
		close(stop)
	}()
	peak, killed := h.enforceMemory(stop)
	callers.Wait()
	lost := s.runs.lostOnKept(usual)
	s.note("%d long prompts left by their callers; the process held %d MB at most, its machine has %d MB; killed %v; %d of %d usual requests were passed on and got no answer as their kept connection was closed, %d are allowed",
		left.Load(), peak>>20, h.memoryMB, killed, lost, len(usual), maxLost)
	return lost > maxLost
}

// usualPrompt is a prompt like those of the farm shop's customers.
func usualPrompt(n int) request {
	return request{
		method: http.MethodPost, path: routeAsk, key: "key-stays", body: "x", deadline: 5 * time.Second,
		header: http.Header{"Model": {modelName}, "Token-Count": {"1460,200"}, "Prefix-Hash": {fmt.Sprintf("a%x:800,b%x:410,c%x:250", n%4, n%40, n)}},
	}
}

func longPrompt(part *atomic.Int64) request {
	var list strings.Builder
	first := part.Add(leakParts)
	for n := range int64(leakParts) {
		fmt.Fprintf(&list, "%x:%d,", first+n, leakTokens)
	}
	list.WriteString("e4402b7d:16")
	tokens := fmt.Sprintf("%d,8", (leakParts+1)*leakTokens)
	return request{
		method: http.MethodPost, path: routeAsk, key: "key-stays", body: "x", deadline: 5 * time.Second,
		header: http.Header{"Model": {modelName}, "Token-Count": {tokens}, "Prefix-Hash": {list.String()}},
	}
}
