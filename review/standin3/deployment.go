package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// The figures of the deployment are those of the label platform's sheet.
	hostMemoryMB = 134
	engineCount  = 9
	deskCount    = 3
	engineTokens = 63372
	storeTokens  = 1573921
	prefillPerMs = 110
	stepTime     = 6 * time.Millisecond
	// eventTokens is the number of tokens in an event of a stream.
	eventTokens   = 16
	deskTime      = 15 * time.Millisecond
	orderTime     = 60 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
	// settleTime is longer than hosts wait before they save parts to a store that they have just found.
	settleTime = 4 * time.Second

	callerKey  = "nu6wsjnbanfqasnmgkcu"
	routeHost  = "pule25.example"
	modelName  = "daka510000"
	pathPrompt = "/ask/"
	pathLookUp = "/look/"
	pathOrder  = "/order/"
)

// configuration has a route to engines, one to plain workers, and the stores of kept KV cache.
func configuration(stores []netip.AddrPort) string {
	var kept strings.Builder
	for i, addr := range stores {
		fmt.Fprintf(&kept, `,{"name":"store-%d","kvStoreAddr":%q,"zone":"a","kvCapacity":%d,"linkMbps":590000.0,"maxInflight":12,"managed":true,"first_ms":%d}`, i, addr, storeTokens, 1+i)
	}
	return fmt.Sprintf(`{"version":7,"routes":[
		{"name":"ask","host":%[1]q,"pathPrefix":%[2]q,"kind":"stream","timeoutMs":5000,"goalMs":300,"priority":1,"service":"engines","attempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":150},
		{"name":"look","host":%[1]q,"pathPrefix":%[3]q,"kind":"safe","timeoutMs":1000,"goalMs":150,"priority":2,"service":"desk","attempts":2,"public":false},
		{"name":"order","host":%[1]q,"pathPrefix":%[8]q,"kind":"unsafe","timeoutMs":1000,"goalMs":150,"priority":2,"service":"desk","attempts":1,"public":false}],
		"services":[
		{"name":"engines","healthPath":"/healthz","maxConns":300,"proto":"h1","tls":false,"coldS":3.0,"coldPerS":13.0,"engine":{"slots":48,"kvCapacity":%[4]d,"tokenKvBytes":192512,"linkMbps":1500000.0,"managed":true,"models":[{"name":%[5]q}]}},
		{"name":"desk","healthPath":"/healthz","maxConns":100,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}%[6]s],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"jeye930","apiKeys":[%[7]q],"priority":1}]}`, routeHost, pathPrompt, pathLookUp, engineTokens, modelName, kept.String(), callerKey, pathOrder)
}

// worker is a stand-in of a worker: of an engine, or of a plain one.
type worker struct {
	id, service, zone string
	engine            bool
	addr              netip.AddrPort
	born              time.Time
	arrivals, runs    atomic.Int64
	rejected          atomic.Int64
	// ran holds the IDs of the requests that plain workers have begun to work on.
	ran *sync.Map
}

// entry is what the worker writes into the platform's store.
func (w *worker) entry(seq int) string {
	models, slots := "", 6
	if w.engine {
		models, slots = fmt.Sprintf(`"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],`, modelName), 48
	}
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeftMs":0,%s"born":%d,"seq":%d}`,
		w.service, w.addr, w.zone, slots, models, w.born.UnixMilli(), seq)
}

// ServeHTTP answers health checks, reports and requests. An engine rejects a prompt that is larger than its memory as if it
// were full, and one with a negative number of tokens as invalid.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	switch r.URL.Path {
	case "/healthz":
		h.Set("Instance", w.id)
		return
	case "/v1/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":%d,"handles":0,"born":%d}`, modelName, engineTokens, w.born.UnixMilli())
		return
	}
	w.arrivals.Add(1)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // The request is incomplete.
	}
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	in, out := tokensOf(r)
	switch {
	case r.Header.Get("Expect-Instance") != w.id:
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case w.engine && (in < 0 || out < 0):
		w.rejected.Add(1)
		rw.WriteHeader(http.StatusBadRequest)
	case w.engine && (in > engineTokens || out > engineTokens || in+out > engineTokens):
		w.rejected.Add(1)
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case w.engine:
		w.runPrompt(rw, in, out)
	default:
		w.runs.Add(1)
		w.ran.Store(r.Header.Get("Request-Id"), true)
		if strings.HasPrefix(r.URL.Path, pathOrder) {
			time.Sleep(orderTime)
		} else {
			time.Sleep(deskTime)
		}
		h.Set("Reply-Seal", "seal-"+w.id)
		_, _ = io.WriteString(rw, "found")
	}
}

// runPrompt answers with a stream of events.
func (w *worker) runPrompt(rw http.ResponseWriter, in, out int) {
	w.runs.Add(1)
	time.Sleep(time.Duration(in/prefillPerMs) * time.Millisecond)
	h := rw.Header()
	h.Set("Reply-Seal", "seal-"+w.id)
	h.Set("Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for n := 0; n < out; n += eventTokens {
		time.Sleep(stepTime * time.Duration(min(eventTokens, out-n)))
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: tokens\n\n", n+1); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

// tokensOf returns the tokens of a prompt and the most tokens of its answer.
func tokensOf(r *http.Request) (in, out int) {
	a, b, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	in, _ = strconv.Atoi(a)
	out, _ = strconv.Atoi(b)
	return in, out
}

// deployment is a small deployment: two hosts, engines, plain workers and the platform's store.
type deployment struct {
	*run
	store   *imitator.Store
	workers []*worker
	hosts   []*relay
	lastID  atomic.Int64
	ran     sync.Map
	// beats counts the rounds of heartbeats.
	beats atomic.Int64
}

// newDeployment starts a deployment with a number of stores of kept KV cache. The caller must stop it, also after an error.
func newDeployment(ctx context.Context, r *run, storeCount int) (*deployment, error) {
	d := &deployment{run: r, store: imitator.NewStore()}
	platform, err := serve(ctx, d.net.address(), d.store)
	if err != nil {
		return d, err
	}
	var stores []netip.AddrPort
	for range storeCount {
		addr, err := serve(ctx, d.net.address(), imitator.NewPartStore(storeTokens))
		if err != nil {
			return d, err
		}
		stores = append(stores, addr)
	}
	d.store.Put("config", "main", configuration(stores))
	for n := range engineCount + deskCount {
		if err := d.addWorker(ctx, n); err != nil {
			return d, err
		}
	}
	go d.sendHeartbeats(ctx)
	for n, zone := range []string{"a", "b"} {
		h, err := newRelay(fmt.Sprint("front-", n), zone, d.daemon, d.dir, d.net.address(), platform, d.record)
		if err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
		if err := h.start(); err != nil {
			return d, err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) addWorker(ctx context.Context, n int) error {
	w := &worker{id: fmt.Sprintf("i-%d", n), service: "engines", engine: true, zone: string(rune('a' + n%2)), born: time.Now(), ran: &d.ran}
	if n >= engineCount {
		w.service, w.engine = "desk", false
	}
	var err error
	if w.addr, err = serve(ctx, d.net.address(), w); err != nil {
		return err
	}
	d.workers = append(d.workers, w)
	d.store.Put("servers", w.id, w.entry(0))
	return nil
}

func (d *deployment) sendHeartbeats(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		time.Sleep(heartbeatTime)
		for _, w := range d.workers {
			d.store.Put("servers", w.id, w.entry(seq))
		}
		d.beats.Add(1)
	}
}

// awaitHeartbeats waits until all workers have just written their entries.
func (d *deployment) awaitHeartbeats(ctx context.Context) {
	for before := d.beats.Load(); d.beats.Load() == before && ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
}

// stop ends all hosts.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.stop()
	}
}

// recordWorkers records what the workers got.
func (d *deployment) recordWorkers() {
	for _, w := range d.workers {
		d.record.printf("worker %s (%s): %d arrivals, %d rejected, %d run", w.id, w.service, w.arrivals.Load(), w.rejected.Load(), w.runs.Load())
	}
}

// request returns a request with an ID of its own.
func (d *deployment) request(ctx context.Context, h *relay, path string, body []byte) *http.Request {
	id := fmt.Sprintf("%016x", d.lastID.Add(1))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers.String()+path+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // Can't happen: the address and the path are valid.
	}
	r.Host = routeHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Deadline-Ms", "1000")
	return r
}

// prompt returns a request with a prompt.
func (d *deployment) prompt(ctx context.Context, h *relay, tokens, parts string, body []byte) *http.Request {
	r := d.request(ctx, h, pathPrompt, body)
	r.Header.Set("Deadline-Ms", "5000")
	r.Header.Set("Model", modelName)
	r.Header.Set("Token-Count", tokens)
	r.Header.Set("Prefix-Hash", parts)
	return r
}

// tally counts answers by status; 0 is for requests without a whole answer.
type tally struct {
	mu    sync.Mutex
	count map[int]int
	// retryAfter is the highest Retry-After in seconds.
	retryAfter float64
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == nil {
		t.count = map[int]int{}
	}
	t.count[status]++
}

// served returns the number of requests that were answered with success, and that of all.
func (t *tally) served() (served, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.count {
		all += n
	}
	return t.count[http.StatusOK], all
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%v, highest Retry-After %.3g s", t.count, t.retryAfter)
}

// send sends a request, adds its answer, and returns the status, or 0 if there is no whole answer.
func (t *tally) send(client *http.Client, r *http.Request) int {
	resp, err := client.Do(r)
	if err != nil {
		t.add(0)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.add(0)
		return 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err == nil {
		t.observeRetryAfter(seconds)
	}
	t.add(resp.StatusCode)
	return resp.StatusCode
}

func (t *tally) observeRetryAfter(seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter = max(t.retryAfter, seconds)
}

// sendEach sends a new request each interval until the context ends, and waits for the answers. Each has a connection of its
// own if it needs one.
func sendEach(ctx context.Context, interval time.Duration, answers *tally, next func() *http.Request) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pending.Go(func() { answers.send(client, next()) })
	}
}
