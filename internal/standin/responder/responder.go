// Package responder simulates a plain service, such as orders, payments, lookups
// or prints, and counts how often each request ran.
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

// Faults sets the simulated faults of a Responder. Absent fields leave them unchanged.
type Faults struct {
	// Restart resets all connections and starts a new, cold incarnation.
	Restart bool `json:"restart,omitempty"`
	// Delay is added to the service time of each request.
	Delay *server.Duration `json:"delay,omitempty"`
	// Stall withholds all answers while it is true; the requests still run.
	Stall *bool `json:"stall,omitempty"`
	// Refuse makes the service refuse each request without running it.
	Refuse *bool `json:"refuse,omitempty"`
	// ResetNext is the number of following requests that run but whose connection
	// is reset before the answer.
	ResetNext *int `json:"reset-next,omitempty"`
	// TruncateNext is the number of following requests that run but whose answer
	// is truncated.
	TruncateNext *int `json:"truncate-next,omitempty"`
	// PaddingBytes is the size of the padding in each answer.
	PaddingBytes *int `json:"padding-bytes,omitempty"`
	// Mark resets Stats.StartedSinceMark to 0.
	Mark bool `json:"mark,omitempty"`
}

// Stats holds the counters of a Responder and its current load.
type Stats struct {
	warmer.Stats
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Executions counts the executions of each request, by its idempotency key or
	// else its request ID.
	Executions map[string]int `json:"executions"`
	// Duplicates counts the executions of each request after its first one.
	Duplicates int `json:"duplicates"`
	Total      int `json:"total"`
	Refused    int `json:"refused"`
	// StartedSinceMark counts the executions since the last mark.
	StartedSinceMark int `json:"started-since-mark"`
}

// Responder is a simulated plain service. It is safe for concurrent use.
type Responder struct {
	*server.Server
	cfg    Config
	warmer *warmer.Warmer

	mu      sync.Mutex
	reports reporter.Reporter
	running int
	waiting []*call
	delay   server.Duration
	// stallEnd is nil unless answers are stalled. It is closed when the stall ends.
	stallEnd     chan struct{}
	refusing     bool
	resetNext    int
	truncateNext int
	padding      int
	stats        Stats
}

// call is a request that waits or runs. started is closed when it may run.
type call struct {
	ticket   warmer.Ticket
	started  chan struct{}
	running  bool
	released bool
}

// New returns a cold Responder for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Responder, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	w, err := warmer.New(warmer.Config{Settings: cfg.Settings.Settings, Clock: cfg.Clock})
	if err != nil {
		return nil, invalid("check settings", "%v", err)
	}
	s := &Responder{cfg: cfg, warmer: w, padding: cfg.PaddingBytes}
	s.stats.Executions = make(map[string]int)
	s.reports.Lag = cfg.LoadLag.Duration
	s.reports.Reset(cfg.Clock.Now(), s.loadReport())
	srv, err := server.New(server.Config{Handler: s.router()})
	s.Server = srv
	return s, err
}

// Restart simulates a crash: it resets all connections and starts a new, cold
// incarnation.
func (s *Responder) Restart() {
	s.mu.Lock()
	s.warmer.Restart()
	s.resetLoadReports()
	s.mu.Unlock()
	s.ResetConnections()
}

// Apply applies f. It returns an Error of KindInvalid for a value out of range.
func (s *Responder) Apply(f Faults) error {
	if f.PaddingBytes != nil && *f.PaddingBytes < 0 {
		return invalid("apply faults", "padding-bytes is %d, want at least 0", *f.PaddingBytes)
	}
	s.mu.Lock()
	s.setFaults(f)
	s.mu.Unlock()
	if f.Restart {
		s.Restart()
	}
	return nil
}

// Stats returns a copy of the current counters.
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

// Executions returns how often the request with an idempotency key or, if it has
// none, request ID ran.
func (s *Responder) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.Executions[key]
}

// setFaults applies all of f except Restart. The caller holds mu.
func (s *Responder) setFaults(f Faults) {
	setIfPresent(&s.delay, f.Delay)
	setIfPresent(&s.refusing, f.Refuse)
	setIfPresent(&s.resetNext, f.ResetNext)
	setIfPresent(&s.truncateNext, f.TruncateNext)
	setIfPresent(&s.padding, f.PaddingBytes)
	if f.Mark {
		s.stats.StartedSinceMark = 0
	}
	if f.Stall == nil || *f.Stall == (s.stallEnd != nil) {
		return
	}
	if *f.Stall {
		s.stallEnd = make(chan struct{})
		return
	}
	close(s.stallEnd)
	s.stallEnd = nil
}

func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func (s *Responder) router() *mux.Router {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc(messenger.PathLoad, s.handleLoad).Methods(http.MethodGet)
	router.Handle(server.PathFaults, server.FaultHandler(s.Apply)).Methods(http.MethodPost)
	router.Handle(server.PathStats, server.StatsHandler(s.Stats)).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.handleRequest)
	return router
}

// admit queues a request. It returns a refusal, or false if the request exceeded
// the cold limit and the service has a new incarnation.
func (s *Responder) admit() (*call, *messenger.Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		s.stats.Refused++
		return nil, s.newRefusal("refusing", "the service refuses all requests"), true
	}
	if len(s.waiting) >= s.cfg.QueueLimit && s.running >= s.cfg.RunningLimit {
		s.stats.Refused++
		return nil, s.newRefusal("overloaded", "the queue is full"), true
	}
	ticket, ok := s.warmer.Begin()
	if !ok {
		s.resetLoadReports()
		return nil, nil, false
	}
	c := &call{ticket: ticket, started: make(chan struct{})}
	s.waiting = append(s.waiting, c)
	s.startWaiting()
	return c, nil, true
}

// startWaiting starts waiting calls in order of arrival while there is capacity.
// The caller holds mu.
func (s *Responder) startWaiting() {
	for s.running < s.cfg.RunningLimit && len(s.waiting) > 0 {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		c.running = true
		close(c.started)
	}
	s.reports.Record(s.cfg.Clock.Now(), s.loadReport())
}

// release frees the place of a call in the queue or among the running calls. Only
// the first release of a call has an effect.
func (s *Responder) release(c *call, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
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
	s.startWaiting()
}

// recordExecution counts an execution under key. It returns the number of
// executions so far and whether the answer is to be lost or truncated.
func (s *Responder) recordExecution(key string) (n int, lost, truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Executions[key]++
	s.stats.Total++
	s.stats.StartedSinceMark++
	n = s.stats.Executions[key]
	if n > 1 {
		s.stats.Duplicates++
	}
	if s.resetNext > 0 {
		s.resetNext--
		return n, true, false
	}
	if s.truncateNext > 0 {
		s.truncateNext--
		return n, false, true
	}
	return n, false, false
}

// resetLoadReports replaces all load reports by one of the new incarnation. The
// calls of the previous one end with their connections. The caller holds mu.
func (s *Responder) resetLoadReports() { s.reports.Reset(s.cfg.Clock.Now(), s.loadReport()) }

// loadReport returns the current load. The caller holds mu.
func (s *Responder) loadReport() messenger.LoadReport {
	return messenger.LoadReport{
		Target:      s.cfg.Name,
		Incarnation: s.warmer.Incarnation(),
		Cold:        s.warmer.Cold(),
		Running:     s.running,
		Queued:      len(s.waiting),
	}
}

func (s *Responder) newRefusal(kind, message string) *messenger.Refusal {
	return &messenger.Refusal{Kind: kind, Message: message, Run: messenger.RunStateNotRun, Incarnation: s.warmer.Incarnation()}
}

// awaitServiceTime waits for the service time and then for the end of a stall, if
// any. It returns false if ctx ends first.
func (s *Responder) awaitServiceTime(ctx context.Context) bool {
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
	return s.awaitStallEnd(ctx)
}

func (s *Responder) awaitStallEnd(ctx context.Context) bool {
	s.mu.Lock()
	stallEnd := s.stallEnd
	s.mu.Unlock()
	if stallEnd == nil {
		return ctx.Err() == nil
	}
	select {
	case <-stallEnd:
		return true
	case <-ctx.Done():
		return false
	}
}
