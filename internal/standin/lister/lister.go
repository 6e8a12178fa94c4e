// Package lister is a stand-in for the platform's membership list. It serves the
// list as it was a configurable time ago.
package lister

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

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

// Config configures a Lister.
type Config struct {
	Clock clockwork.Clock
	// Lag is the age of the served list.
	Lag time.Duration
}

// snapshot is the list since one change.
type snapshot struct {
	since   time.Time
	members []messenger.Member
}

// Lister serves the membership list.
type Lister struct {
	clock clockwork.Clock

	mu  sync.Mutex
	lag time.Duration
	// snapshots are in chronological order; the first one is served.
	snapshots []snapshot
}

// New returns a Lister with an empty list.
func New(cfg Config) (*Lister, error) {
	if cfg.Clock == nil {
		return nil, newError("new lister", KindInvalid, errors.New("clock is not set"))
	}
	return &Lister{clock: cfg.Clock, lag: cfg.Lag, snapshots: []snapshot{{}}}, nil
}

// SetLag changes the lag.
func (s *Lister) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Set adds m or replaces the member of its name.
func (s *Lister) Set(m messenger.Member) {
	s.update(func(members []messenger.Member) []messenger.Member {
		return append(without(members, m.Name), m)
	})
}

// Remove removes the member called name.
func (s *Lister) Remove(name string) {
	s.update(func(members []messenger.Member) []messenger.Member { return without(members, name) })
}

// Members returns the list as it was one lag ago, ordered by name.
func (s *Lister) Members() messenger.Members {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.clock.Now().Add(-s.lag)
	s.trim(asOf)
	return messenger.Members{AsOf: asOf, Members: slices.Clone(s.snapshots[0].members)}
}

// trim drops the snapshots before the one that was current at asOf.
func (s *Lister) trim(asOf time.Time) {
	for len(s.snapshots) > 1 && !s.snapshots[1].since.After(asOf) {
		s.snapshots = s.snapshots[1:]
	}
}

// update adds a snapshot with the members that f returns for the newest one.
func (s *Lister) update(f func([]messenger.Member) []messenger.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.trim(now.Add(-s.lag))
	members := f(slices.Clone(s.snapshots[len(s.snapshots)-1].members))
	slices.SortFunc(members, func(a, b messenger.Member) int { return strings.Compare(a.Name, b.Name) })
	s.snapshots = append(s.snapshots, snapshot{since: now, members: members})
}

func without(members []messenger.Member, name string) []messenger.Member {
	return slices.DeleteFunc(members, func(m messenger.Member) bool { return m.Name == name })
}

// Handler returns the HTTP handler: GET PathMembers returns the list, PUT
// PathMembers sets a member, and DELETE PathMembers/NAME removes one.
func (s *Lister) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(messenger.PathMembers, s.get).Methods(http.MethodGet)
	m.HandleFunc(messenger.PathMembers, s.put).Methods(http.MethodPut)
	m.HandleFunc(messenger.PathMembers+"/{name}", s.remove).Methods(http.MethodDelete)
	return m
}

func (s *Lister) get(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// If the connection fails here, the client receives a truncated response.
	_ = json.NewEncoder(w).Encode(s.Members())
}

func (s *Lister) put(w http.ResponseWriter, r *http.Request) {
	var m messenger.Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if m.Name == "" {
		http.Error(w, `field "name" is empty`, http.StatusBadRequest)
		return
	}
	s.Set(m)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Lister) remove(w http.ResponseWriter, r *http.Request) {
	s.Remove(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}

// Serve serves on l until ctx ends. It closes l.
func (s *Lister) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler()}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return newError("serve members", KindServe, err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}
