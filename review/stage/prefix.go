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
	parts := 0
	for list.Len() < headerLimit {
		fmt.Fprintf(&list, "%x:1,", parts)
		parts++
	}
	prefix := list.String() + "ffff:8"
	if !trouble {
		prefix = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	}
	c := s.newCaller(true)
	end := time.Now().Add(prefixTime)
	var callers sync.WaitGroup
	var peak int64
	callers.Go(func() {
		for time.Now().Before(end) {
			peak = max(peak, h.memory())
			time.Sleep(20 * time.Millisecond)
		}
	})
	var mu sync.Mutex
	statuses := map[int]int{}
	for range prefixCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				a := c.send(h, request{
					method: http.MethodPost, path: routeAsk, key: "key-stays", body: "x", deadline: 15 * time.Second,
					header: http.Header{"Model": {modelName}, "Token-Count": {"8,1"}, "Prefix-Hash": {prefix}},
				})
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				if a.status != http.StatusOK {
					time.Sleep(time.Second)
				}
			}
		})
	}
	callers.Wait()
	s.note("%d parts in each prompt, statuses %v, the process held %d MB at most", parts, statuses, peak>>20)
	return h.hasEnded() || peak > prefixMemoryMB<<20, nil
}
