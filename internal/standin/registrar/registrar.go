// Package registrar is a stand-in for the platform's object API over HTTP: a
// linearisable store with rate limits and fault injection.
package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/platform/client"
	"cardamomscale.example/cardamomscale/internal/platform/rememberer"
)

// PathFaults accepts a POST of Faults, which replaces the faults in force, and
// returns them on GET.
const PathFaults = "/faults"

// PathCounters returns Counters on GET.
const PathCounters = "/counters"

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports an incomplete configuration.
	KindInvalid Kind = "invalid"
	// KindServe reports that the server failed.
	KindServe Kind = "serve"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, cause error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: cause}}
}

// Config configures a Registrar.
type Config struct {
	// Clock times the rate limits, delays and waits of watches.
	Clock clockwork.Clock
	// Rand selects the answers that Faults.LoseShare loses.
	Rand *rand.Rand
	// WritesPerSecond and ReadsPerSecond limit all callers together; 0 means no
	// limit. A watch counts as one read when it starts.
	WritesPerSecond, ReadsPerSecond rate.Limit
	// Burst is the burst size of both limits; 0 means defaultBurst.
	Burst int
}

const defaultBurst = 64

// maxWait bounds the wait of a watch.
const maxWait = time.Minute

// shutdownTimeout bounds the wait for calls in progress when Serve ends.
const shutdownTimeout = 5 * time.Second

// Registrar serves the object API.
type Registrar struct {
	cfg    Config
	store  *rememberer.Memory
	reads  *rate.Limiter
	writes *rate.Limiter
	faults *faultTable
}

// New returns a Registrar without objects.
func New(cfg Config) (*Registrar, error) {
	if cfg.Clock == nil || cfg.Rand == nil {
		return nil, newError("new registrar", KindInvalid, errors.New("clock or source of randomness is not set"))
	}
	store, err := rememberer.New(rememberer.Config{Clock: cfg.Clock})
	if err != nil {
		return nil, newError("new registrar", KindInvalid, err)
	}
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	return &Registrar{
		cfg:    cfg,
		store:  store,
		reads:  newLimiter(cfg.ReadsPerSecond, cfg.Burst),
		writes: newLimiter(cfg.WritesPerSecond, cfg.Burst),
		faults: newFaultTable(cfg.Clock, cfg.Rand),
	}, nil
}

func newLimiter(limit rate.Limit, burst int) *rate.Limiter {
	if limit <= 0 {
		limit = rate.Inf
	}
	return rate.NewLimiter(limit, burst)
}

// Store returns the store itself, without faults and limits.
func (s *Registrar) Store() client.ObjectStore { return s.store }

// SetFaults replaces the faults in force.
func (s *Registrar) SetFaults(f Faults) { s.faults.set(f, s.store) }

// Counters returns the number of calls by kind and result.
func (s *Registrar) Counters() Counters { return s.faults.snapshot() }

// Handler returns the HTTP handler of the object API, the faults and the counters.
func (s *Registrar) Handler() http.Handler {
	m := mux.NewRouter().SkipClean(true)
	m.HandleFunc(PathFaults, s.getFaults).Methods(http.MethodGet)
	m.HandleFunc(PathFaults, s.postFaults).Methods(http.MethodPost)
	m.HandleFunc(PathCounters, s.getCounters).Methods(http.MethodGet)
	m.HandleFunc(client.PathWatch, s.withFaults(rememberer.OpWatch, s.watch)).Methods(http.MethodGet)
	m.HandleFunc(client.PathObjects, s.withFaults(rememberer.OpList, s.list)).Methods(http.MethodGet)
	objects := m.PathPrefix(client.PathObjects + "/").Subrouter()
	objects.Methods(http.MethodGet).HandlerFunc(s.withFaults(rememberer.OpGet, s.get))
	objects.Methods(http.MethodPut).HandlerFunc(s.withFaults(rememberer.OpPut, s.put))
	objects.Methods(http.MethodDelete).HandlerFunc(s.withFaults(rememberer.OpDelete, s.remove))
	return m
}

// Serve serves on l until ctx ends. It closes l.
func (s *Registrar) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return newError("serve objects", KindServe, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := client.WithTimeout(context.WithoutCancel(ctx), s.cfg.Clock, shutdownTimeout)
		defer cancel()
		return server.Shutdown(stop)
	})
	return group.Wait()
}

// callHandler runs one call against the store and returns the response value.
type callHandler func(r *http.Request) (any, error)

// withFaults returns a handler that applies the faults and rate limits to h.
func (s *Registrar) withFaults(op rememberer.Op, h callHandler) http.HandlerFunc {
	write := op == rememberer.OpPut || op == rememberer.OpDelete
	return func(w http.ResponseWriter, r *http.Request) {
		fault := s.faults.faultFor(op, r.Header.Get(client.HeaderSource), write)
		if fault.cut {
			panic(http.ErrAbortHandler)
		}
		if fault.delay > 0 && client.Sleep(r.Context(), s.cfg.Clock, fault.delay) != nil {
			panic(http.ErrAbortHandler)
		}
		if fault.throttle || !s.allow(write) {
			s.faults.count(op, resultThrottled)
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		result, err := h(r)
		if fault.loseAnswer {
			s.faults.count(op, resultLost)
			panic(http.ErrAbortHandler)
		}
		s.respond(w, op, result, err)
	}
}

func (s *Registrar) allow(write bool) bool {
	now := s.cfg.Clock.Now()
	if write {
		return s.writes.AllowN(now, 1)
	}
	return s.reads.AllowN(now, 1)
}

func (s *Registrar) respond(w http.ResponseWriter, op rememberer.Op, result any, err error) {
	if err != nil {
		s.faults.count(op, resultRefused)
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	s.faults.count(op, resultOK)
	writeJSON(w, result)
}

func statusOf(err error) int {
	switch client.KindOf(err) {
	case client.KindNotFound:
		return http.StatusNotFound
	case client.KindConflict:
		return http.StatusConflict
	case client.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// If the connection fails here, the client receives a truncated response.
	_ = json.NewEncoder(w).Encode(v)
}

func keyOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, client.PathObjects+"/") }

func (s *Registrar) get(r *http.Request) (any, error) { return s.store.Get(r.Context(), keyOf(r)) }

func (s *Registrar) put(r *http.Request) (any, error) {
	var body client.PutBody
	// Base64 makes the value a third longer.
	limited := http.MaxBytesReader(nil, r.Body, 2*client.MaxValueBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil {
		return nil, client.NewError("decode put", client.KindInvalid, err)
	}
	return s.store.Put(r.Context(), keyOf(r), body.Value, body.Expect)
}

func (s *Registrar) remove(r *http.Request) (any, error) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		return nil, client.NewError("decode delete", client.KindInvalid, err)
	}
	return struct{}{}, s.store.Delete(r.Context(), keyOf(r), expect)
}

func (s *Registrar) list(r *http.Request) (any, error) {
	return s.store.List(r.Context(), r.URL.Query().Get("prefix"))
}

func (s *Registrar) watch(r *http.Request) (any, error) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return nil, client.NewError("decode watch", client.KindInvalid, fmt.Errorf("parameter %q: %w", "after", err))
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return nil, client.NewError("decode watch", client.KindInvalid, fmt.Errorf("parameter %q: %w", "wait", err))
	}
	return s.store.WatchFor(r.Context(), query.Get("prefix"), after, min(wait, maxWait))
}

func (s *Registrar) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.get()) }

func (s *Registrar) getCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) }

func (s *Registrar) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}
