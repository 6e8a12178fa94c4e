// Package lister is a stand-in of the platform's membership list. It answers
// with the list as it was some time ago.
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
	// Lag is how long the list stays behind the truth.
	Lag time.Duration
}

// version is the list from one time on.
type version struct {
	since   time.Time
	members []messenger.Member
}

// Lister serves the membership list.
type Lister struct {
	clock clockwork.Clock

	mu  sync.Mutex
	lag time.Duration
	// versions are in order of time; the first one is the one in sight.
	versions []version
}

// New returns a Lister with an empty list.
func New(cfg Config) (*Lister, error) {
	if cfg.Clock == nil {
		return nil, newError("new lister", KindInvalid, errors.New("clock is not set"))
	}
	return &Lister{clock: cfg.Clock, lag: cfg.Lag, versions: []version{{}}}, nil
}

// SetLag changes the lag.
func (s *Lister) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Set adds m or replaces the member of its name.
func (s *Lister) Set(m messenger.Member) {
	s.change(func(members []messenger.Member) []messenger.Member {
		return append(without(members, m.Name), m)
	})
}

// Remove removes the member called name.
func (s *Lister) Remove(name string) {
	s.change(func(members []messenger.Member) []messenger.Member { return without(members, name) })
}

// Members returns the list as it is in sight now, ordered by name.
func (s *Lister) Members() messenger.Members {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.clock.Now().Add(-s.lag)
	s.trim(asOf)
	return messenger.Members{AsOf: asOf, Members: slices.Clone(s.versions[0].members)}
}

// trim forgets the versions before the one at asOf.
func (s *Lister) trim(asOf time.Time) {
	for len(s.versions) > 1 && !s.versions[1].since.After(asOf) {
		s.versions = s.versions[1:]
	}
}

func (s *Lister) change(f func([]messenger.Member) []messenger.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.trim(now.Add(-s.lag))
	members := f(slices.Clone(s.versions[len(s.versions)-1].members))
	slices.SortFunc(members, func(a, b messenger.Member) int { return strings.Compare(a.Name, b.Name) })
	s.versions = append(s.versions, version{since: now, members: members})
}

func without(members []messenger.Member, name string) []messenger.Member {
	return slices.DeleteFunc(members, func(m messenger.Member) bool { return m.Name == name })
}

// Handler returns the HTTP handler: GET PathMembers answers the list, PUT
// PathMembers takes a Member, and DELETE PathMembers/NAME removes one.
func (s *Lister) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(messenger.PathMembers, s.get).Methods(http.MethodGet)
	m.HandleFunc(messenger.PathMembers, s.put).Methods(http.MethodPut)
	m.HandleFunc(messenger.PathMembers+"/{name}", s.remove).Methods(http.MethodDelete)
	return m
}

func (s *Lister) get(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The client sees a cut answer when the connection fails here.
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

// Serve answers on l until ctx ends. It closes l.
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
