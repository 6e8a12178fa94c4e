package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a worker of a plain service.
type worker struct {
	record *record
	id     string
	addr   string
	zone   string
	// workTime is how long a request runs.
	workTime time.Duration
	slots    chan struct{}
	waiting  chan struct{}

	mu sync.Mutex
	// arrivals are the requests that reached this process and that it didn't answer with 421.
	arrivals []arrival
	// exit ends the process.
	exit func()
}

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
}

const (
	workerSlots = 6
	workerQueue = 24
)

// startWorker starts a worker of a plain service. It doesn't register it.
func (d *deployment) startWorker(n int, zone string, workTime time.Duration) (*worker, error) {
	w := &worker{
		record: d.record, id: fmt.Sprintf("i-%08x", 0x5a000000+n), addr: d.addr(100, n, 8080), zone: zone, workTime: workTime,
		slots: make(chan struct{}, workerSlots), waiting: make(chan struct{}, workerSlots+workerQueue),
	}
	end, err := d.serveUntilClosed(w.addr, w)
	if err != nil {
		return nil, err
	}
	w.exit = func() {
		w.record.write("worker", "exits", "worker", w.id)
		end()
	}
	return w, nil
}

// spec is the worker's entry in the platform's store.
func (w *worker) spec(state string) map[string]any {
	return map[string]any{
		"service": "order-desk", "addr": w.addr, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": state, "coldLeftMs": 0,
		"models": []any{}, "seq": 4, "born": w.record.start.UnixMilli(),
	}
}

// ServeHTTP answers health checks and requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Load", fmt.Sprintf("%d,%d,%d", len(w.slots), max(0, len(w.waiting)-len(w.slots)), workerSlots))
	if r.URL.Path == "/healthz" {
		h.Set("Instance", w.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // The request isn't complete.
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Instance", w.id)
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.arrive(id)
	w.record.write("worker", "request", "worker", w.id, "id", id, "bytes", len(body))
	select {
	case w.waiting <- struct{}{}:
		defer func() { <-w.waiting }()
	default:
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	time.Sleep(w.workTime)
	h.Set("Reply-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(rw, "answer to %s", id) // Fails only when the relay has disconnected.
}

// arrive records a request.
func (w *worker) arrive(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, arrival{id: id, at: time.Now()})
}

// arrivalsAfter returns the requests that reached the worker after a time.
func (w *worker) arrivalsAfter(t time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []arrival
	for _, a := range w.arrivals {
		if a.at.After(t) {
			list = append(list, a)
		}
	}
	return list
}
