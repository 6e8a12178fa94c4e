// Package supplier stands in for the rate-limited store of model weights.
package supplier

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// PathWeights begins the paths of weights: GET PathWeights + MODEL/VERSION.
const PathWeights = "/v1/weights/"

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports settings or faults out of range.
	KindInvalid Kind = "invalid"
	// KindRefused reports that the store refuses loads; nothing was loaded.
	KindRefused Kind = "refused"
	// KindAbandoned reports that the caller's context ended before the load did.
	KindAbandoned Kind = "abandoned"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Settings describes a weight store.
type Settings struct {
	// LoadTime is the time of one load while at most FullSpeedLoads are in progress.
	LoadTime server.Duration `json:"load-time"`
	// FullSpeedLoads is the number of loads that the rate limit bears without delay.
	FullSpeedLoads int `json:"full-speed-loads"`
}

// DefaultSettings returns the settings of the users' weight stores.
func DefaultSettings() Settings {
	return Settings{LoadTime: server.Duration{Duration: 400 * time.Millisecond}, FullSpeedLoads: 2}
}

// Config configures a Supplier.
type Config struct {
	Settings
	Clock clockwork.Clock
}

// Faults changes the behaviour of a Supplier; absent fields change nothing.
type Faults struct {
	// Refuse makes all loads fail while it is true.
	Refuse *bool `json:"refuse,omitempty"`
	// SlowFactor multiplies the time of loads from now on; it is above 0.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
}

// Stats counts the loads of a Supplier.
type Stats struct {
	Loads      int `json:"loads"`
	InProgress int `json:"in-progress"`
	MaxLoads   int `json:"max-loads"`
	Abandoned  int `json:"abandoned"`
	Refused    int `json:"refused"`
}

// Supplier is a weight store whose loads share its rate. It is safe for concurrent use.
type Supplier struct {
	*server.Server
	cfg Config

	mu     sync.Mutex
	loads  map[*load]struct{}
	as     time.Time
	timer  clockwork.Timer
	refuse bool
	slow   float64
	stats  Stats
}

// load is one load in progress; left is the rest of its time at full speed.
type load struct {
	left time.Duration
	done chan struct{}
}

// New returns a Supplier for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Supplier, error) {
	if cfg.Clock == nil {
		return nil, newError("check settings", KindInvalid, errors.New("the clock is missing"))
	}
	if cfg.LoadTime.Duration <= 0 {
		return nil, newError("check settings", KindInvalid, errors.Newf("load-time is %v, want above 0", cfg.LoadTime))
	}
	if cfg.FullSpeedLoads < 1 {
		return nil, newError("check settings", KindInvalid, errors.Newf("full-speed-loads is %d, want at least 1", cfg.FullSpeedLoads))
	}
	s := &Supplier{cfg: cfg, loads: make(map[*load]struct{}), slow: 1}
	router := mux.NewRouter()
	router.HandleFunc(PathWeights+"{model}/{version}", s.get).Methods(http.MethodGet)
	router.Handle(server.PathFaults, server.FaultHandler(s.Apply)).Methods(http.MethodPost)
	router.Handle(server.PathStats, server.StatsHandler(s.Stats)).Methods(http.MethodGet)
	srv, err := server.New(server.Config{Handler: router})
	s.Server = srv
	return s, err
}

// Load waits until the weights are loaded. It returns an Error of KindRefused
// or KindAbandoned.
func (s *Supplier) Load(ctx context.Context, _ identifier.Model, _ identifier.WeightVersion) error {
	l, ok := s.begin()
	if !ok {
		return newError("load weights", KindRefused, nil)
	}
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		s.abandon(l)
		return newError("load weights", KindAbandoned, ctx.Err())
	}
}

// Apply changes the behaviour; it returns an Error of KindInvalid for a value out of range.
func (s *Supplier) Apply(f Faults) error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return newError("apply faults", KindInvalid, errors.Newf("slow-factor is %v, want above 0", *f.SlowFactor))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	if f.Refuse != nil {
		s.refuse = *f.Refuse
	}
	if f.SlowFactor != nil {
		s.slow = *f.SlowFactor
	}
	s.arm()
	return nil
}

// Stats returns the counts.
func (s *Supplier) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InProgress = len(s.loads)
	return s.stats
}

func (s *Supplier) get(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	err := s.Load(r.Context(), identifier.Model(vars["model"]), identifier.WeightVersion(vars["version"]))
	if err != nil {
		server.Refuse(w, http.StatusServiceUnavailable,
			messenger.Refusal{Kind: string(KindRefused), Message: err.Error(), Run: messenger.RunNot})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Supplier) begin() (*load, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		s.stats.Refused++
		return nil, false
	}
	s.settle()
	l := &load{left: s.cfg.LoadTime.Duration, done: make(chan struct{})}
	s.loads[l] = struct{}{}
	s.stats.MaxLoads = max(s.stats.MaxLoads, len(s.loads))
	s.arm()
	return l, true
}

func (s *Supplier) abandon(l *load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	if _, ok := s.loads[l]; !ok {
		return
	}
	delete(s.loads, l)
	s.stats.Abandoned++
	s.arm()
}

// settle charges the time since the last change to every load and ends those that are done.
func (s *Supplier) settle() {
	now := s.cfg.Clock.Now()
	progress := time.Duration(float64(now.Sub(s.as)) / s.stretch())
	s.as = now
	for l := range s.loads {
		l.left -= progress
		if l.left > 0 {
			continue
		}
		delete(s.loads, l)
		close(l.done)
		s.stats.Loads++
	}
}

// stretch is the factor by which loads take longer than LoadTime.
func (s *Supplier) stretch() float64 {
	return s.slow * max(1, float64(len(s.loads))/float64(s.cfg.FullSpeedLoads))
}

// arm sets the timer to the end of the load that ends first.
func (s *Supplier) arm() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.loads) == 0 {
		return
	}
	first := s.cfg.LoadTime.Duration
	for l := range s.loads {
		first = min(first, l.left)
	}
	wait := time.Duration(float64(first)*s.stretch()) + time.Nanosecond
	s.timer = s.cfg.Clock.AfterFunc(wait, s.tick)
}

func (s *Supplier) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	s.arm()
}

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
