package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"cardamomscale.example/cardamomscale/internal/core/drainer"
	"cardamomscale.example/cardamomscale/internal/entry/server"
)

// httpServer is an HTTP server with an open listener.
type httpServer struct {
	server      *http.Server
	listener    net.Listener
	connections *drainer.Drainer
	// leaving is true once each response closes its connection.
	leaving *atomic.Bool
}

// newHTTPServer returns a server for an open listener. It sets the server's hook for the states of connections.
func newHTTPServer(listener net.Listener, srv *http.Server) httpServer {
	s := httpServer{server: srv, listener: listener, connections: drainer.New(), leaving: &atomic.Bool{}}
	srv.ConnState = s.connections.ObserveState
	handler := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return s
}

// newCallerServer opens the listener for callers. Reading a request is limited in
// time and size. There is no timeout for a whole response, since it may be a long
// stream; the handler limits each write instead.
func newCallerServer(cfg Config, handler *server.Server, certs *certificates) (*callerServer, error) {
	settings := cfg.Settings
	listener, err := cfg.Listen(settings.Listen)
	if err != nil {
		return nil, newError("listen for callers", KindListen, err)
	}
	return &callerServer{newHTTPServer(certs.wrapCallers(listener), &http.Server{
		Handler:           handler,
		ReadTimeout:       settings.Limits.ReadTimeout.Duration,
		ReadHeaderTimeout: settings.Limits.ReadTimeout.Duration,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    settings.Limits.MaxHeaderBytes,
		ErrorLog:          cfg.Logger.Named("callers").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	})}, nil
}

// lingerTime is how long a server that stops takes requests on open connections, which may be on their way.
const lingerTime = 500 * time.Millisecond

// callerIdleTimeout is how long an idle connection of a caller is kept open.
const callerIdleTimeout = 2 * time.Minute

// callerServer serves the requests of callers.
type callerServer struct{ httpServer }

// Run serves until the server is shut down.
func (s *httpServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if s.leaving.Load() {
		<-ctx.Done() // Connections are served until then.
		return nil
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return newError("serve "+s.listener.Addr().String(), KindRun, err)
}

// shutdown stops accepting connections and waits for the requests in flight.
func (s *httpServer) shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	if err := s.listener.Close(); err != nil {
		return newError("close the listener", KindRun, err)
	}
	return s.connections.Drain(ctx, time.Now().Add(lingerTime))
}
