package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// blockTokens is the unit in which a store keeps parts, and writeTime how long it takes to write one.
	blockTokens = 16
	writeTime   = 30 * time.Millisecond
	// keptEvents bounds the events that a store keeps.
	keptEvents = 200000
)

type partName struct{ salt, id string }

// kvStore is a stand-in for a managed store of cache parts.
type kvStore struct {
	capacity int

	mu     sync.Mutex
	boot   int64
	used   int
	parts  map[partName]int
	whole  map[partName]bool
	events []any
	// first is the number of the first event that is kept.
	first   int
	changed chan struct{}
}

func newKVStore(capacity int) *kvStore {
	return &kvStore{
		capacity: capacity, boot: time.Now().Unix(), first: 1, changed: make(chan struct{}),
		parts: map[partName]int{}, whole: map[partName]bool{},
	}
}

// save reserves the space of a part and completes it a little later. The save is lost if there is no space.
func (k *kvStore) save(name partName, tokens int, model string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	space := (tokens + blockTokens - 1) / blockTokens * blockTokens
	if _, ok := k.parts[name]; ok || k.used+space > k.capacity {
		return
	}
	k.parts[name], k.used = tokens, k.used+space
	time.AfterFunc(writeTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if _, ok := k.parts[name]; ok {
			k.whole[name] = true
			k.addEvent("+", name, tokens, model)
		}
	})
}

// addEvent adds an event; mu must be held.
func (k *kvStore) addEvent(sign string, name partName, tokens int, model string) {
	k.events = append(k.events, []any{k.first + len(k.events), sign, name.salt, name.id, tokens, model})
	if drop := len(k.events) - keptEvents; drop > 0 {
		k.events, k.first = k.events[drop:], k.first+drop
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// ServeHTTP answers the calls of hosts.
func (k *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/kv-events":
		k.serveEvents(w, r)
	case "/v1/kv-list":
		k.mu.Lock()
		defer k.mu.Unlock()
		held := []any{}
		for name := range k.whole {
			held = append(held, []any{name.salt, name.id, k.parts[name], modelName})
		}
		k.reply(w, map[string]any{"held": held, "nextToken": k.first + len(k.events)})
	case "/v1/report":
		k.mu.Lock()
		defer k.mu.Unlock()
		k.reply(w, map[string]any{"kvUsed": k.used, "kvTotal": k.capacity})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (k *kvStore) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		k.mu.Lock()
		changed := k.changed
		from := min(max(0, since-k.first), len(k.events))
		events := k.events[from:]
		body := map[string]any{"nextToken": k.first + len(k.events), "lost": since < k.first, "events": events}
		k.mu.Unlock()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return
		case <-changed:
			if len(events) == 0 {
				continue
			}
		default:
			if len(events) == 0 {
				select {
				case <-changed:
					continue
				case <-timer.C:
				case <-r.Context().Done():
					return
				}
			}
		}
		k.reply(w, body)
		return
	}
}

func (k *kvStore) reply(w http.ResponseWriter, body map[string]any) {
	body["bootEpoch"], body["clock_ms"] = k.boot, time.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // Fails only when the host has disconnected.
}
