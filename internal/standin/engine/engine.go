// Package engine stands in for a model engine with continuous batching, a
// prefix cache, cold starts and weight versions.
package engine

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/reporter"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// eventStream separates the random numbers of events from other uses of a seed.
	eventStream = 0x6361636865
	// idleConnections bounds the idle connections to each store host.
	idleConnections = 4
	idleTimeout     = 30 * time.Second
)

// Stats counts what an Engine did.
type Stats struct {
	warmer.Stats
	Role    string `json:"role,omitempty"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	// PrefilledTokens counts prompt tokens that were computed, and CachedTokens
	// those that the cache held.
	PrefilledTokens int64 `json:"prefilled-tokens"`
	CachedTokens    int64 `json:"cached-tokens"`
	GeneratedTokens int64 `json:"generated-tokens"`
	CachedBlocks    int   `json:"cached-blocks"`
	ImportedBlocks  int   `json:"imported-blocks"`
	ImportedBytes   int64 `json:"imported-bytes"`
	ExportedBlocks  int   `json:"exported-blocks"`
	ExportedBytes   int64 `json:"exported-bytes"`
	// ChecksumFailures counts imports of damaged blocks, and ForeignPayloads
	// imports that matched the checksum but hold another block's bytes.
	ChecksumFailures int `json:"checksum-failures"`
	ForeignPayloads  int `json:"foreign-payloads"`
	// MixedBlocks counts uses of cached blocks that another model or weight
	// version computed.
	MixedBlocks int `json:"mixed-blocks"`
	// Runs counts the runs that started, by request.
	Runs map[identifier.Request]int `json:"runs"`
	// Admissions counts the attempts that were put into the queue, by request.
	Admissions map[identifier.Request]int `json:"admissions"`
	// Started counts all runs, and StartedSinceMark those since the last mark.
	Started          int `json:"started"`
	StartedSinceMark int `json:"started-since-mark"`
	// Completed counts the whole answers.
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
	// MismatchedResumes counts resumes whose tokens so far are not this answer's.
	MismatchedResumes int `json:"mismatched-resumes"`
	Orders            int `json:"orders"`
	StaleOrders       int `json:"stale-orders"`
	WeightLoads       int `json:"weight-loads"`
	WeightFailures    int `json:"weight-failures"`
}

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	*server.Server
	cfg    Config
	warmer *warmer.Warmer
	loader WeightLoader
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu         sync.Mutex
	arrivals   uint64
	runs       map[identifier.Attempt]*run
	queue      queue
	prefilling *run
	decoding   map[*run]struct{}
	stepping   bool
	cache      *cache
	events     eventLog
	reports    reporter.Reporter
	weights    weights
	fence      uint64
	role       string
	faultState
	stats Stats
}

// New returns a cold Engine for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Engine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	warm, err := warmer.New(warmer.Config{Settings: cfg.Settings.Settings, Clock: cfg.Clock})
	if err != nil {
		return nil, newError("check settings", KindInvalid, err)
	}
	e := &Engine{
		cfg:        cfg,
		warmer:     warm,
		client:     newClient(cfg),
		runs:       make(map[identifier.Attempt]*run),
		decoding:   make(map[*run]struct{}),
		events:     eventLog{lag: cfg.EventLag.Duration, dropShare: cfg.EventDropShare},
		weights:    weights{loaded: cfg.Weights, wanted: cfg.Weights, loading: make(map[weightsKey]bool)},
		faultState: faultState{slow: 1},
	}
	e.events.rng = rand.New(rand.NewPCG(cfg.Seed, eventStream))
	e.cache = newCache(cfg.CacheBlocks, e.cacheChanged)
	e.stats.Runs = make(map[identifier.Request]int)
	e.stats.Admissions = make(map[identifier.Request]int)
	e.loader = e.newLoader()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reports.Lag = cfg.LoadLag.Duration
	e.reports.Reset(cfg.Clock.Now(), e.load())
	srv, err := server.New(server.Config{Handler: e.router(), OnStop: e.Close})
	e.Server = srv
	return e, err
}

// Close ends the loads of weights and frees the connections to stores. Serve
// calls it at its end.
func (e *Engine) Close() {
	e.cancel()
	e.group.Wait()
	e.client.CloseIdleConnections()
}

// Restart loses all runs and the cache, cuts all connections and begins a new,
// cold incarnation.
func (e *Engine) Restart() {
	e.RestartSilently()
	e.crash()
}

// RestartSilently is Restart, but idle connections stay open.
func (e *Engine) RestartSilently() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmer.Restart()
	e.restart()
}

// crash cuts all connections and refuses new ones for the restart time.
func (e *Engine) crash() {
	if e.cfg.RestartTime.Duration > 0 {
		e.SetRefuseConnections(true)
		e.cfg.Clock.AfterFunc(e.cfg.RestartTime.Duration, func() { e.SetRefuseConnections(false) })
	}
	e.ResetConnections()
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Stats = e.warmer.Stats()
	stats.Role = e.role
	stats.Running = e.running()
	stats.Queued = e.queue.len()
	stats.CachedBlocks = e.cache.len()
	stats.MixedBlocks = e.cache.mixed
	stats.Runs = maps.Clone(e.stats.Runs)
	stats.Admissions = maps.Clone(e.stats.Admissions)
	return stats
}

// Runs returns how often a run of the request started.
func (e *Engine) Runs(id identifier.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats.Runs[id]
}

func (e *Engine) count(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

// record keeps a report of the present load. Like the methods below it runs under mu.
func (e *Engine) record() { e.reports.Record(e.cfg.Clock.Now(), e.load()) }

func (e *Engine) running() int {
	n := len(e.decoding)
	if e.prefilling != nil {
		n++
	}
	return n
}

func (e *Engine) load() messenger.LoadReport {
	warm := e.warmer.Stats()
	return messenger.LoadReport{
		Target:                 e.cfg.Name,
		Incarnation:            warm.Incarnation,
		Cold:                   warm.Cold,
		Running:                e.running(),
		Queued:                 e.queue.len(),
		QueuedTokens:           e.queue.tokens(),
		PrefillTokensPerSecond: e.cfg.PrefillTokensPerSecond / e.slow,
		CachedBlocks:           e.cache.len(),
		CacheBlocks:            e.cfg.CacheBlocks,
		Weights:                e.weights.loaded,
		Fence:                  e.reportedFence(),
	}
}

// reportedFence is 0 for an engine that ignores fencing numbers.
func (e *Engine) reportedFence() uint64 {
	if !e.cfg.ChecksFence {
		return 0
	}
	return e.fence
}

func (e *Engine) cacheChanged(key identifier.BlockKey, evicted bool) {
	e.events.add(e.cfg.Clock.Now(), key, evicted)
}

func (e *Engine) newLoader() WeightLoader {
	switch {
	case e.cfg.Loader != nil:
		return e.cfg.Loader
	case e.cfg.WeightStore.IsValid():
		return storeLoader{client: e.client, store: e.cfg.WeightStore.String()}
	default:
		return timedLoader{clock: e.cfg.Clock, time: e.cfg.WeightLoadTime.Duration}
	}
}

func newClient(cfg Config) *http.Client {
	if cfg.Transport != nil {
		return &http.Client{Transport: cfg.Transport}
	}
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}}
}

// admit puts a request into the queue. It returns a refusal with its error, or
// false when the engine fell over.
func (e *Engine) admit(req messenger.GenerateRequest) (*run, error, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(req); err != nil {
		e.stats.Refused++
		return nil, err, true
	}
	ticket, ok := e.warmer.Begin()
	if !ok {
		e.restart()
		return nil, nil, false
	}
	r := &run{
		req:         req,
		answer:      NewAnswer(req.Prompt, req.Model, req.WeightVersion),
		arrival:     e.arrivals,
		incarnation: ticket.Incarnation(),
		ticket:      ticket,
		produced:    req.ResumeOffset,
		fault:       e.nextStreamFault(),
		wake:        make(chan struct{}, 1),
	}
	e.arrivals++
	e.stats.Admissions[req.RequestID]++
	e.runs[r.attempt()] = r
	e.queue.push(r)
	if req.DeadlineMilliseconds > 0 {
		left := time.Duration(req.DeadlineMilliseconds) * time.Millisecond
		r.deadline = e.cfg.Clock.AfterFunc(left, func() { e.end(r, endingDeadline) })
	}
	e.schedule()
	e.record()
	return r, nil, true
}

// check returns why a request is refused before anything of it ran.
func (e *Engine) check(req messenger.GenerateRequest) error {
	const op = "admit request"
	switch {
	case e.refuse:
		return newError(op, KindRefusing, errors.Newf("engine %q refuses all requests", e.cfg.Name))
	case req.RequestID == "" || req.MaxTokens < 1 || req.PromptTokens < 0:
		return newError(op, KindInvalid, errors.New("request-id, max-tokens or prompt-tokens is missing"))
	case req.ResumeOffset < 0 || req.ResumeOffset > req.MaxTokens:
		return newError(op, KindInvalid, errors.Newf("resume-offset is %d, want from 0 to %d", req.ResumeOffset, req.MaxTokens))
	case req.ExpectIncarnation != 0 && req.ExpectIncarnation != e.warmer.Incarnation():
		return newError(op, KindWrongIncarnation, errors.Newf("incarnation %d is expected, this one is %d", req.ExpectIncarnation, e.warmer.Incarnation()))
	case !e.weights.has(req.Model, req.Adapter, req.WeightVersion):
		return newError(op, KindWrongVersion, errors.Newf("model %q version %q with adapter %q is not loaded", req.Model, req.WeightVersion, req.Adapter))
	case e.queue.len() >= e.cfg.QueueLimit && (e.prefilling != nil || e.running() >= e.cfg.RunningLimit):
		return newError(op, KindOverloaded, errors.Newf("the queue of engine %q is full", e.cfg.Name))
	default:
		return nil
	}
}
