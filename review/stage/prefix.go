package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["prefix"] = playPrefix }

const (
	// prefixHosts, prefixEngines and prefixMemoryMB are those of the sheet.
	prefixHosts    = 7
	prefixEngines  = 9
	prefixMemoryMB = 134
	prefixCallers  = 900
	prefixTime     = 20 * time.Second
	headerLimit    = 15500
)

// playPrefix sends prompts whose heads are of legal size and list very many short parts.
func playPrefix(s *stage, trouble bool) (bool, error) {
	keys := map[string]string{"key-stays": "jeye930"}
	s.writeConfig(configuration{version: 7, keys: keys})
	for range prefixEngines {
		if err := s.addWorker(&worker{service: engineName, model: modelName, takes: 10 * time.Second}); err != nil {
			return false, err
		}
	}
	if err := s.addWorker(&worker{service: plainName, takes: 15 * time.Millisecond}); err != nil {
		return false, err
	}
	for n := range prefixHosts {
		if _, err := s.addHost(n, prefixMemoryMB); err != nil {
			return false, err
		}
	}
	h := s.hosts[0]
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	var list strings.Builder
	for part := 0; list.Len() < headerLimit; part++ {
		fmt.Fprintf(&list, "%x:1,", part)
	}
	prefix := list.String() + "ffff:8"
	if !trouble {
		prefix = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	}
	return s.sendCrowd(h, prefix), nil
}

// sendCrowd sends prompts with a prefix from many callers, each on a connection that has been used before. It reports
// whether prompts were lost because the process came to hold more memory than its machine has.
func (s *stage) sendCrowd(h *host, prefix string) bool {
	end := time.Now().Add(prefixTime)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	statuses := map[int]int{}
	for range prefixCallers {
		c := s.newCaller(true)
		callers.Go(func() {
			for first := true; time.Now().Before(end) && !h.hasEnded(); first = false {
				q := pay("key-stays")
				if !first {
					q = request{
						method: http.MethodPost, path: routeAsk, key: "key-stays", body: "x", deadline: 15 * time.Second,
						header: http.Header{"Model": {modelName}, "Token-Count": {"8,1"}, "Prefix-Hash": {prefix}},
					}
				}
				a := c.send(h, q)
				mu.Lock()
				answers, statuses[a.status] = append(answers, a), statuses[a.status]+1
				mu.Unlock()
				if a.status != http.StatusOK {
					time.Sleep(time.Second)
				}
			}
		})
	}
	go func() {
		callers.Wait()
		close(stop)
	}()
	peak, killed := h.enforceMemory(stop)
	callers.Wait()
	lost := s.runs.lostOnKept(answers)
	s.note("statuses %v; the process held %d MB at most, its machine has %d MB; killed %v; %d prompts were passed on and got no answer as their kept connection was closed, %d are allowed",
		statuses, peak>>20, h.memoryMB, killed, lost, maxLost)
	return lost > maxLost
}
