package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

// coldTime is how long a worker of a service with a cold limit is cold after its start.
const coldTime = 3 * time.Second

// worker is a stand-in for a worker. It says of itself what the pages list, and checks nothing.
type worker struct {
	stage   *stage
	id      string
	service string
	zone    string
	addr    netip.AddrPort
	// takes is how long a plain answer takes. model is empty for plain services.
	takes time.Duration
	model string
	// breaksAt is the number of requests within a second at which the worker crashes while it is cold; 0 for never.
	breaksAt int
	// stores are those to which the worker saves parts of prompts.
	stores map[string]*kvStore

	mu        sync.Mutex
	server    *http.Server
	born      time.Time
	coldUntil time.Time
	arrivals  []time.Time
}

// addWorker adds a worker and starts it warm.
func (s *stage) addWorker(w *worker) error {
	n := len(s.workers)
	w.stage, w.id, w.zone = s, fmt.Sprintf("i-%08x", 0xd0000+n), zones[n%len(zones)]
	w.addr = s.address(100+n, workerPort)
	s.workers = append(s.workers, w)
	if err := w.start(0); err != nil {
		return err
	}
	go w.beat()
	return nil
}

// start starts the worker's process, under the ID that it had before.
func (w *worker) start(coldFor time.Duration) error {
	l, err := net.Listen("tcp4", w.addr.String())
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born = time.Now()
	w.coldUntil = w.born.Add(coldFor)
	w.server = &http.Server{Handler: w}
	go func(srv *http.Server) { _ = srv.Serve(l) }(w.server) // Serve returns after Close.
	w.stage.note("worker %s starts, cold for %v", w.id, coldFor)
	w.write()
	return nil
}

// crash ends the worker's process with its connections.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil {
		_ = w.server.Close() // Its requests end with their connections.
		w.server = nil
		w.stage.note("worker %s has ended", w.id)
	}
}

// beat writes the worker's entry at each heartbeat.
func (w *worker) beat() {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		select {
		case <-w.stage.closed:
			return
		case <-ticker.C:
			w.mu.Lock()
			if w.server != nil {
				w.write()
			}
			w.mu.Unlock()
		}
	}
}

// write writes the entry if the store is available; mu must be held.
func (w *worker) write() {
	if !w.stage.gate.isOpen() {
		return
	}
	entry := map[string]any{
		"service": w.service, "addr": w.addr.String(), "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": max(0, time.Until(w.coldUntil).Milliseconds()), "seq": 1, "born": w.born.UnixMilli(),
	}
	if w.model != "" {
		entry["slots"], entry["stage"] = 48, "unified"
		entry["models"] = []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}
	}
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err) // Can't happen: the entry has plain values only.
	}
	w.stage.store.Put(imitator.KindTargets, w.id, string(raw))
}

// ServeHTTP answers health checks, reports and requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	expected := r.Header.Get("Expect-Instance")
	switch {
	case r.URL.Path == "/v1/report":
		w.serveReport(rw)
		return
	case expected != "" && expected != w.id:
		h.Set("Instance", w.id)
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/healthz":
		w.mu.Lock()
		h.Set("Instance", w.id)
		if left := time.Until(w.coldUntil); left > 0 {
			h.Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		w.mu.Unlock()
		return
	}
	w.serveRequest(rw, r)
}

func (w *worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	// Fails only when the caller has disconnected.
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "unified", "busy": false, "seq": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 63375, "handles": 0,
		"models": []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}, "born": w.born.UnixMilli(),
	})
}

// serveRequest runs a request and answers it.
func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	now := time.Now()
	w.arrive(now)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The request is incomplete and doesn't run.
	}
	w.stage.runs.add(run{id: id, tenant: r.Header.Get("Tenant"), worker: w.id, at: now})
	h := rw.Header()
	h.Set("Request-Id", id)
	h.Set("Reply-Seal", "seal-of-"+w.id)
	if w.model != "" {
		h.Set("Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
	}
	select {
	case <-time.After(w.takes + readingTime(r)):
	case <-r.Context().Done():
		return
	}
	w.saveParts(r)
	if w.model != "" {
		w.stream(rw, r)
		return
	}
	_, _ = fmt.Fprintf(rw, "answer to %s", id) // Fails only when the caller has disconnected.
}

// arrive records the arrival of a request. A cold worker that gets too many crashes.
func (w *worker) arrive(now time.Time) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, now)
	n := 0
	for i := len(w.arrivals) - 1; i >= 0 && now.Sub(w.arrivals[i]) <= time.Second && w.arrivals[i].After(w.born); i-- {
		n++
	}
	breaks := w.breaksAt > 0 && n >= w.breaksAt && now.Before(w.coldUntil) && w.server != nil
	w.mu.Unlock()
	if breaks {
		w.stage.note("the cold worker %s got %d requests within a second and crashes", w.id, n)
		w.crash()
	}
}

// arrived returns the times of the requests that reached the worker since a moment.
func (w *worker) arrived(since time.Time) []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []time.Time
	for _, at := range w.arrivals {
		if at.After(since) {
			list = append(list, at)
		}
	}
	return list
}

// stream sends the first and the last event of an answer.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = fmt.Fprintf(rw, "id: 1\ndata: answer to %s\n\n", id) // Fails only when the caller has disconnected.
	_ = http.NewResponseController(rw).Flush()                  // The same.
	_, out, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, err := strconv.Atoi(out)
	if err != nil {
		return
	}
	select {
	case <-time.After(time.Duration(tokens) * tokenTime):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(rw, "id: 2\ndata: end of the answer to %s\n\n", id) // Fails only when the caller has disconnected.
}

// tokenTime is how long an engine makes a token of an answer.
const tokenTime = 10 * time.Millisecond

// tokensPerSecond is the rate at which engines read prompts, as on the sheet of the farm shop.
const tokensPerSecond = 110000

// readingTime returns how long an engine reads a prompt of which it has no parts.
func readingTime(r *http.Request) time.Duration {
	in, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, err := strconv.Atoi(in)
	if err != nil {
		return 0 // Requests to plain services have no prompt.
	}
	return time.Duration(tokens) * time.Second / tokensPerSecond
}

// saveParts saves the parts of a prompt that has been read to the stores that the request names.
func (w *worker) saveParts(r *http.Request) {
	sinks := strings.Split(r.Header.Get("Kv-Sink"), ",")
	for i, entry := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		if i >= len(sinks) {
			return
		}
		id, size, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(size)
		if st := w.stores[sinks[i]]; st != nil && err == nil {
			st.save(partName{r.Header.Get("Cache-Salt"), id}, tokens, w.model)
		}
	}
}
