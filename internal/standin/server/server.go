// Package server serves the HTTP interface of a stand-in and cuts its
// connections on demand, as a crash of a real process would.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

const readHeaderTimeout = 10 * time.Second

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports a configuration that cannot be served.
	KindInvalid Kind = "invalid"
	// KindListener reports a listener that stopped accepting connections.
	KindListener Kind = "listener"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Server.
type Config struct {
	// Handler answers the requests.
	Handler http.Handler
	// OnStop runs when Serve ends and may be nil.
	OnStop func()
}

// Server serves a handler over listeners and keeps track of the open connections.
type Server struct {
	cfg      Config
	handlers sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	refusing bool
	conns    map[net.Conn]struct{}
}

type connKey struct{}

// New returns a Server for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Server, error) {
	if cfg.Handler == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "create server", Kind: KindInvalid, Err: errors.New("the handler is missing")}}
	}
	return &Server{cfg: cfg, conns: make(map[net.Conn]struct{})}, nil
}

// Handler returns the handler that Serve serves. Without Serve, cut
// connections show only as aborted answers.
func (s *Server) Handler() http.Handler { return s.cfg.Handler }

// Serve accepts connections on ln until ctx ends. Then it closes ln and all
// connections, waits for the running handlers and returns nil. An Error of
// KindListener means that ln failed before. Only one Serve may run at a time.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	// Requests end by their closed connections, so that no handler can still
	// answer in order when ctx ends.
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.setStopped(false)
	hs := &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return base },
		ConnContext:       connContext,
		ConnState:         s.track,
	}
	stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
	err := hs.Serve(ln)
	stop()
	stopped := ctx.Err() != nil
	_ = hs.Close()
	cancel()
	s.setStopped(true)
	s.handlers.Wait()
	if s.cfg.OnStop != nil {
		s.cfg.OnStop()
	}
	if stopped {
		return nil
	}
	return &Error{failer.Detail[Kind]{Op: "serve", Kind: KindListener, Err: err}}
}

// CutConnections resets every open connection and returns their number.
func (s *Server) CutConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		reset(c)
	}
	return len(s.conns)
}

// SetRefusing says whether new connections are reset as soon as they open.
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if !s.enter() {
		Abort(r)
	}
	defer s.handlers.Done()
	s.cfg.Handler.ServeHTTP(w, r)
}

// enter counts a handler in, unless Serve has stopped.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.handlers.Add(1)
	return true
}

func (s *Server) setStopped(stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = stopped
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.refusing {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Abort resets the connection of r and ends the calling handler by a panic
// with http.ErrAbortHandler.
func Abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		reset(c)
	}
	panic(http.ErrAbortHandler)
}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// reset closes c in such a way that the peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
