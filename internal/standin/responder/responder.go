// Package responder stands in for a plain service, such as orders, payments,
// lookups or prints, and counts how often each request ran.
package responder

import (
	"context"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"cardamomscale.example/cardamomscale/internal/standin/reporter"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/standin/warmer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Faults changes the behaviour of a Responder; absent fields change nothing.
type Faults struct {
	// Restart cuts all connections and makes the service cold with a new incarnation.
	Restart bool `json:"restart,omitempty"`
	// Delay is added to the time of each request.
	Delay *server.Duration `json:"delay,omitempty"`
	// Stall keeps all answers back while it is true; the requests run.
	Stall *bool `json:"stall,omitempty"`
	// Refuse answers each request with a truthful refusal while it is true.
	Refuse *bool `json:"refuse,omitempty"`
	// ResetNext is the number of requests that run but whose answers are lost by a reset.
	ResetNext *int `json:"reset-next,omitempty"`
	// TruncateNext is the number of requests that run but whose answers end early.
	TruncateNext *int `json:"truncate-next,omitempty"`
	// PaddingBytes is the size of the padding in each answer.
	PaddingBytes *int `json:"padding-bytes,omitempty"`
	// Mark starts the count of StartedSinceMark.
	Mark bool `json:"mark,omitempty"`
}

// Stats counts what a Responder did.
type Stats struct {
	warmer.Stats
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Executions counts how often each request ran, by its idempotency key or
	// else its request ID.
	Executions map[string]int `json:"executions"`
	// Duplicates counts the executions beyond the first of each request.
	Duplicates int `json:"duplicates"`
	Total      int `json:"total"`
	Refused    int `json:"refused"`
	// StartedSinceMark counts the executions since the last mark.
	StartedSinceMark int `json:"started-since-mark"`
}

// Responder is one plain service. It is safe for concurrent use.
type Responder struct {
	*server.Server
	cfg    Config
	warmer *warmer.Warmer

	mu       sync.Mutex
	reports  reporter.Reporter
	running  int
	waiting  []*call
	delay    server.Duration
	stalled  chan struct{}
	refuse   bool
	reset    int
	truncate int
	padding  int
	stats    Stats
}

// call is one request that waits or runs.
type call struct {
	ticket  warmer.Ticket
	started chan struct{}
	running bool
	left    bool
}

// New returns a cold Responder for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Responder, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	warm, err := warmer.New(warmer.Config{Settings: cfg.Settings.Settings, Clock: cfg.Clock})
	if err != nil {
		return nil, invalid("check settings", "%v", err)
	}
	s := &Responder{cfg: cfg, warmer: warm, padding: cfg.PaddingBytes}
	s.stats.Executions = make(map[string]int)
	s.reports.Lag = cfg.LoadLag.Duration
	s.reports.Reset(cfg.Clock.Now(), s.load())
	srv, err := server.New(server.Config{Handler: s.router()})
	s.Server = srv
	return s, err
}

// Restart cuts all connections and makes the service cold with a new incarnation.
func (s *Responder) Restart() {
	s.mu.Lock()
	s.warmer.Restart()
	s.restarted()
	s.mu.Unlock()
	s.ResetConnections()
}

// Apply changes the behaviour; it returns an Error of KindInvalid for a value out of range.
func (s *Responder) Apply(f Faults) error {
	if f.PaddingBytes != nil && *f.PaddingBytes < 0 {
		return invalid("apply faults", "padding-bytes is %d, want at least 0", *f.PaddingBytes)
	}
	s.mu.Lock()
	s.set(f)
	s.mu.Unlock()
	if f.Restart {
		s.Restart()
	}
	return nil
}

// Stats returns the counts.
func (s *Responder) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Stats = s.warmer.Stats()
	stats.Running = s.running
	stats.Queued = len(s.waiting)
	stats.Executions = make(map[string]int, len(s.stats.Executions))
	for key, n := range s.stats.Executions {
		stats.Executions[key] = n
	}
	return stats
}

// Executions returns how often the request with this idempotency key or ID ran.
func (s *Responder) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.Executions[key]
}

// set applies f under mu.
func (s *Responder) set(f Faults) {
	assign(&s.delay, f.Delay)
	assign(&s.refuse, f.Refuse)
	assign(&s.reset, f.ResetNext)
	assign(&s.truncate, f.TruncateNext)
	assign(&s.padding, f.PaddingBytes)
	if f.Mark {
		s.stats.StartedSinceMark = 0
	}
	if f.Stall == nil || *f.Stall == (s.stalled != nil) {
		return
	}
	if *f.Stall {
		s.stalled = make(chan struct{})
		return
	}
	close(s.stalled)
	s.stalled = nil
}

func assign[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func (s *Responder) router() *mux.Router {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc(messenger.PathLoad, s.handleLoad).Methods(http.MethodGet)
	router.Handle(server.PathFaults, server.FaultHandler(s.Apply)).Methods(http.MethodPost)
	router.Handle(server.PathStats, server.StatsHandler(s.Stats)).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.handleCall)
	return router
}

// enter admits a request to the queue. It returns a refusal, or false when the
// service fell over.
func (s *Responder) enter() (*call, *messenger.Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		s.stats.Refused++
		return nil, s.refusal("refusing", "the service refuses all requests"), true
	}
	if len(s.waiting) >= s.cfg.QueueLimit && s.running >= s.cfg.RunningLimit {
		s.stats.Refused++
		return nil, s.refusal("overloaded", "the queue is full"), true
	}
	ticket, ok := s.warmer.Begin()
	if !ok {
		s.restarted()
		return nil, nil, false
	}
	c := &call{ticket: ticket, started: make(chan struct{})}
	s.waiting = append(s.waiting, c)
	s.start()
	return c, nil, true
}

// start runs the first calls that wait.
func (s *Responder) start() {
	for s.running < s.cfg.RunningLimit && len(s.waiting) > 0 {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		c.running = true
		close(c.started)
	}
	s.reports.Record(s.cfg.Clock.Now(), s.load())
}

// leave counts a call out; it does so once.
func (s *Responder) leave(c *call, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.left {
		return
	}
	c.left = true
	s.warmer.End(c.ticket, completed)
	if c.running {
		c.running = false
		s.running--
	}
	for i, other := range s.waiting {
		if other == c {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			break
		}
	}
	s.start()
}

// execute counts one execution under key and returns the faults of its answer.
func (s *Responder) execute(key string) (n int, lost, truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions[key]++
	s.stats.Total++
	s.stats.StartedSinceMark++
	n = s.stats.Executions[key]
	if n > 1 {
		s.stats.Duplicates++
	}
	if s.reset > 0 {
		s.reset--
		return n, true, false
	}
	if s.truncate > 0 {
		s.truncate--
		return n, false, true
	}
	return n, false, false
}

// restarted publishes the load of a new incarnation. The calls of the old one
// end with their connections.
func (s *Responder) restarted() { s.reports.Reset(s.cfg.Clock.Now(), s.load()) }

func (s *Responder) load() messenger.LoadReport {
	return messenger.LoadReport{
		Target:      s.cfg.Name,
		Incarnation: s.warmer.Incarnation(),
		Cold:        s.warmer.Cold(),
		Running:     s.running,
		Queued:      len(s.waiting),
	}
}

func (s *Responder) refusal(kind, message string) *messenger.Refusal {
	return &messenger.Refusal{Kind: kind, Message: message, Run: messenger.RunNot, Incarnation: s.warmer.Incarnation()}
}

// pause waits for the service time and, while answers are stalled, for the end of the stall.
func (s *Responder) pause(ctx context.Context) bool {
	s.mu.Lock()
	wait := s.cfg.ServiceTime.Duration + s.delay.Duration
	s.mu.Unlock()
	if wait > 0 {
		timer := s.cfg.Clock.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return false
		}
	}
	return s.awaitStall(ctx)
}

func (s *Responder) awaitStall(ctx context.Context) bool {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled == nil {
		return ctx.Err() == nil
	}
	select {
	case <-stalled:
		return true
	case <-ctx.Done():
		return false
	}
}
