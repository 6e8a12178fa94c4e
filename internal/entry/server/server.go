// Package server handles the HTTP requests of callers. It turns them into reducer
// events and carries out the effects that concern them.
package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
	"cardamomscale.example/cardamomscale/internal/target/caller"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies failures of this package.
type Kind string

const (
	// KindConfig reports a Config that lacks a required field.
	KindConfig Kind = "config"
	// KindInvalid reports a malformed request.
	KindInvalid Kind = "invalid"
	// KindTooLarge reports a request body over the limit.
	KindTooLarge Kind = "too-large"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Reducer is the interface to the reducer's executor.
type Reducer interface {
	Post(reducer.Event)
	Register(identifier.Request) <-chan reducer.Effect
	Unregister(identifier.Request)
	Done() <-chan struct{}
}

// Targets makes attempts: Generate for prompts, Call for plain services.
type Targets interface {
	Generate(context.Context, reducer.Start, messenger.GenerateRequest, caller.Sink) reducer.Event
	Call(context.Context, reducer.Start, caller.Call) (caller.Response, reducer.Event)
}

// Caches looks up cache blocks in stores and imports them into targets.
type Caches interface {
	Lookup(context.Context, reducer.Lookup) reducer.LookupDone
	Import(context.Context, reducer.Import) reducer.ImportDone
}

// Claims stores the claims and answers of requests that must run at most once.
type Claims interface {
	// Claim claims a request. If the outcome is ClaimAnswered, it returns the recorded
	// answer.
	Claim(context.Context, reducer.Claim) (reducer.ClaimOutcome, caller.Response)
	// Record stores the answer of a claimed request.
	Record(context.Context, reducer.Claim, caller.Response)
}

// Config configures a Server.
type Config struct {
	Reducer Reducer
	Targets Targets
	Caches  Caches
	Claims  Claims
	Clock   clockwork.Clock
	Logger  hclog.Logger
	// NewRequestID returns an ID that is unique across all daemons.
	NewRequestID func() identifier.Request
	// Ready reports whether the daemon can serve; nil means always.
	Ready func() bool
	// MaxBodyBytes limits a request's body; 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// WriteTimeout limits the time for writing one part of an answer, so that a slow
	// caller cannot hold up an attempt for long; 0 means DefaultWriteTimeout.
	WriteTimeout time.Duration
	Meter        *meter.Meter
	Tracer       *tracer.Tracer
}

const (
	// DefaultMaxBodyBytes is the default limit of a request's body.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultWriteTimeout is the default time limit for writing one part of an answer.
	DefaultWriteTimeout = 10 * time.Second
	// recordTimeout is the time limit for recording an answer.
	recordTimeout = 5 * time.Second
)

// Server is the HTTP handler for callers' requests.
type Server struct {
	cfg    Config
	router *mux.Router
}

var _ http.Handler = (*Server)(nil)

// New returns a Server.
func New(cfg Config) (*Server, error) {
	if cfg.Reducer == nil || cfg.Targets == nil || cfg.Caches == nil || cfg.Claims == nil || cfg.Clock == nil || cfg.NewRequestID == nil || cfg.Meter == nil || cfg.Tracer == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new server", Kind: KindConfig, Err: errors.New("reducer, targets, caches, claims, clock, request IDs, meter and tracer are required")}}
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	if cfg.Ready == nil {
		cfg.Ready = func() bool { return true }
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	s := &Server{cfg: cfg, router: mux.NewRouter().SkipClean(true)}
	s.router.HandleFunc("/v1/completions", s.handleCompletion).Methods(http.MethodPost)
	s.router.PathPrefix("/services/{service}/").HandlerFunc(s.handleService)
	s.router.HandleFunc("/healthz", s.handleHealthz).Methods(http.MethodGet)
	s.router.HandleFunc("/readyz", s.handleReadyz).Methods(http.MethodGet)
	s.router.NotFoundHandler = http.HandlerFunc(s.handleNotFound)
	s.router.MethodNotAllowedHandler = http.HandlerFunc(s.handleMethodNotAllowed)
	return s, nil
}

// ServeHTTP routes a request, with a write deadline for each part of the response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(newDeadlineWriter(w, s.cfg.Clock, s.cfg.WriteTimeout), r)
}

func (s *Server) handleHealthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, health{Status: "ok"})
}

func (s *Server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		writeJSON(w, http.StatusServiceUnavailable, health{Status: "not-ready"})
		return
	}
	writeJSON(w, http.StatusOK, health{Status: "ready"})
}

// health is the body of the health endpoints.
type health struct {
	Status string `json:"status"`
}

func (s *Server) handleNotFound(w http.ResponseWriter, r *http.Request) {
	id := s.cfg.NewRequestID()
	writeError(w, http.StatusNotFound, id, ErrorBody{Kind: "unknown-path", Message: "path " + r.URL.Path + " does not exist", Run: string(reducer.RunStateNotRun)}, 0)
}

func (s *Server) handleMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	id := s.cfg.NewRequestID()
	writeError(w, http.StatusMethodNotAllowed, id, ErrorBody{Kind: "invalid", Message: "method " + r.Method + " is not served at " + r.URL.Path, Run: string(reducer.RunStateNotRun)}, 0)
}
