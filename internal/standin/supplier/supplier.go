// Package supplier simulates a rate-limited store of model weights.
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

// PathWeights is the prefix of the paths of weights: GET PathWeights + MODEL/VERSION.
const PathWeights = "/v1/weights/"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid reports settings or faults out of range.
	KindInvalid Kind = "invalid"
	// KindRefused reports that the store refuses loads because of Faults.Refuse.
	KindRefused Kind = "refused"
	// KindAbandoned reports that the caller's context ended during the load.
	KindAbandoned Kind = "abandoned"
)

// Error is returned by the functions of this package.
type Error struct{ failer.Detail[Kind] }

// Settings configures the rate of a simulated weight store.
type Settings struct {
	// LoadTime is the duration of a load while at most FullSpeedLoads are in progress.
	LoadTime server.Duration `json:"load-time"`
	// FullSpeedLoads is the number of simultaneous loads that the rate limit doesn't
	// slow down.
	FullSpeedLoads int `json:"full-speed-loads"`
}

// DefaultSettings returns settings that resemble a real weight store.
func DefaultSettings() Settings {
	return Settings{LoadTime: server.Duration{Duration: 400 * time.Millisecond}, FullSpeedLoads: 2}
}

// Config configures a Supplier.
type Config struct {
	Settings
	Clock clockwork.Clock
}

// Faults sets the simulated faults of a Supplier. Absent fields leave them unchanged.
type Faults struct {
	// Refuse makes the store refuse new loads while it is true.
	Refuse *bool `json:"refuse,omitempty"`
	// SlowFactor multiplies the remaining time of the current loads and the
	// duration of later ones; it must be above 0.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
}

// Stats counts the loads of a Supplier. MaxLoads is the highest number of
// simultaneous loads.
type Stats struct {
	Loads      int `json:"loads"`
	InProgress int `json:"in-progress"`
	MaxLoads   int `json:"max-loads"`
	Abandoned  int `json:"abandoned"`
	Refused    int `json:"refused"`
}

// Supplier is a simulated weight store whose loads share its rate. It is safe for
// concurrent use.
type Supplier struct {
	*server.Server
	cfg Config

	mu    sync.Mutex
	loads map[*load]struct{}
	// updatedAt is when the remaining times of loads were last updated.
	updatedAt time.Time
	// timer fires when the next load ends.
	timer      clockwork.Timer
	refusing   bool
	slowFactor float64
	stats      Stats
}

// load is a load in progress. remaining is its remaining time at full speed.
type load struct {
	remaining time.Duration
	done      chan struct{}
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
	s := &Supplier{cfg: cfg, loads: make(map[*load]struct{}), slowFactor: 1}
	router := mux.NewRouter()
	router.HandleFunc(PathWeights+"{model}/{version}", s.handleGet).Methods(http.MethodGet)
	router.Handle(server.PathFaults, server.FaultHandler(s.Apply)).Methods(http.MethodPost)
	router.Handle(server.PathStats, server.StatsHandler(s.Stats)).Methods(http.MethodGet)
	srv, err := server.New(server.Config{Handler: router})
	s.Server = srv
	return s, err
}

// Load waits until the weights are loaded. It returns an Error of KindRefused if
// the store refuses loads, or of KindAbandoned if ctx ends first.
func (s *Supplier) Load(ctx context.Context, _ identifier.Model, _ identifier.WeightVersion) error {
	l, ok := s.startLoad()
	if !ok {
		return newError("load weights", KindRefused, nil)
	}
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		s.abandonLoad(l)
		return newError("load weights", KindAbandoned, ctx.Err())
	}
}

// Apply applies f. It returns an Error of KindInvalid for a value out of range.
func (s *Supplier) Apply(f Faults) error {
	if f.SlowFactor != nil && *f.SlowFactor <= 0 {
		return newError("apply faults", KindInvalid, errors.Newf("slow-factor is %v, want above 0", *f.SlowFactor))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateProgress()
	if f.Refuse != nil {
		s.refusing = *f.Refuse
	}
	if f.SlowFactor != nil {
		s.slowFactor = *f.SlowFactor
	}
	s.resetTimer()
	return nil
}

// Stats returns a copy of the current counters.
func (s *Supplier) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InProgress = len(s.loads)
	return s.stats
}

func (s *Supplier) handleGet(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	err := s.Load(r.Context(), identifier.Model(vars["model"]), identifier.WeightVersion(vars["version"]))
	if err != nil {
		server.WriteRefusal(w, http.StatusServiceUnavailable,
			messenger.Refusal{Kind: string(KindRefused), Message: err.Error(), Run: messenger.RunStateNotRun})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// startLoad adds a load. It returns false if the store refuses loads.
func (s *Supplier) startLoad() (*load, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		s.stats.Refused++
		return nil, false
	}
	s.updateProgress()
	l := &load{remaining: s.cfg.LoadTime.Duration, done: make(chan struct{})}
	s.loads[l] = struct{}{}
	s.stats.MaxLoads = max(s.stats.MaxLoads, len(s.loads))
	s.resetTimer()
	return l, true
}

// abandonLoad removes a load that has not ended yet.
func (s *Supplier) abandonLoad(l *load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateProgress()
	if _, ok := s.loads[l]; !ok {
		return
	}
	delete(s.loads, l)
	s.stats.Abandoned++
	s.resetTimer()
}

// updateProgress subtracts the progress since the last update from the remaining
// time of every load and ends the completed ones. It must run before each change
// of slowdown. The caller holds mu.
func (s *Supplier) updateProgress() {
	now := s.cfg.Clock.Now()
	progress := time.Duration(float64(now.Sub(s.updatedAt)) / s.slowdown())
	s.updatedAt = now
	for l := range s.loads {
		l.remaining -= progress
		if l.remaining > 0 {
			continue
		}
		delete(s.loads, l)
		close(l.done)
		s.stats.Loads++
	}
}

// slowdown returns the factor by which loads currently take longer than LoadTime.
// The caller holds mu.
func (s *Supplier) slowdown() float64 {
	return s.slowFactor * max(1, float64(len(s.loads))/float64(s.cfg.FullSpeedLoads))
}

// resetTimer sets the timer to the end of the load that ends first, if any. The
// caller holds mu.
func (s *Supplier) resetTimer() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.loads) == 0 {
		return
	}
	shortest := s.cfg.LoadTime.Duration
	for l := range s.loads {
		shortest = min(shortest, l.remaining)
	}
	wait := time.Duration(float64(shortest)*s.slowdown()) + time.Nanosecond
	s.timer = s.cfg.Clock.AfterFunc(wait, s.onTimer)
}

func (s *Supplier) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateProgress()
	s.resetTimer()
}

func newError(op string, kind Kind, err error) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: err}}
}
