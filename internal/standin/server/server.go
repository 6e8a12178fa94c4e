// Package server serves the HTTP interface of a stand-in and resets its
// connections on demand, like the crash of a real process.
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

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid reports an invalid Config.
	KindInvalid Kind = "invalid"
	// KindListener reports a listener that failed to accept connections.
	KindListener Kind = "listener"
)

// Error is returned by the functions of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Server.
type Config struct {
	// Handler handles the requests. It is required.
	Handler http.Handler
	// OnStop, if set, is called when Serve ends.
	OnStop func()
}

// Server serves a handler on a listener and tracks the open connections.
type Server struct {
	cfg            Config
	activeHandlers sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	refusing bool
	conns    map[net.Conn]struct{}
}

// connKey is the context key of a request's net.Conn.
type connKey struct{}

// New returns a Server for cfg, or an Error of KindInvalid.
func New(cfg Config) (*Server, error) {
	if cfg.Handler == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "create server", Kind: KindInvalid, Err: errors.New("the handler is missing")}}
	}
	return &Server{cfg: cfg, conns: make(map[net.Conn]struct{})}, nil
}

// Handler returns Config.Handler. If it is used without Serve, a reset connection
// shows only as an aborted response.
func (s *Server) Handler() http.Handler { return s.cfg.Handler }

// Serve accepts connections on ln until ctx ends. It then closes ln and all
// connections, waits for the running handlers and returns nil. It returns an Error
// of KindListener if ln fails earlier. Only one Serve may run at a time.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	// Requests are cancelled by closing their connections, not by ctx, so that no
	// handler can still write a regular response when ctx ends.
	baseCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.setStopped(false)
	hs := &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return baseCtx },
		ConnContext:       connContext,
		ConnState:         s.trackConn,
	}
	stop := context.AfterFunc(ctx, func() { _ = hs.Close() })
	err := hs.Serve(ln)
	stop()
	stopped := ctx.Err() != nil
	_ = hs.Close()
	cancel()
	s.setStopped(true)
	s.activeHandlers.Wait()
	if s.cfg.OnStop != nil {
		s.cfg.OnStop()
	}
	if stopped {
		return nil
	}
	return &Error{failer.Detail[Kind]{Op: "serve", Kind: KindListener, Err: err}}
}

// ResetConnections resets all open connections and returns their number.
func (s *Server) ResetConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
	return len(s.conns)
}

// SetRefuseConnections sets whether new connections are reset as soon as they open.
func (s *Server) SetRefuseConnections(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if !s.beginHandler() {
		Abort(r)
	}
	defer s.activeHandlers.Done()
	s.cfg.Handler.ServeHTTP(w, r)
}

// beginHandler adds a handler to activeHandlers. It returns false if Serve has
// stopped.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.activeHandlers.Add(1)
	return true
}

func (s *Server) setStopped(stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = stopped
}

// trackConn is the http.Server.ConnState hook that maintains conns.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.refusing {
			resetConn(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Abort resets the connection of r and ends the calling handler by panicking with
// http.ErrAbortHandler.
func Abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		resetConn(c)
	}
	panic(http.ErrAbortHandler)
}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetConn closes c so that the peer receives a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
