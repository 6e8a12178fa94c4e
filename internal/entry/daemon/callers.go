package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/entry/server"
)

// listening is an HTTP server with its open address.
type listening struct {
	http     *http.Server
	listener net.Listener
}

// newCallers opens the callers' address. Reading is bounded in time and size;
// writing is not, since streams last as long as their answers.
func newCallers(cfg Config, handler *server.Server) (*callers, error) {
	settings := cfg.Settings
	listener, err := cfg.Listen(settings.Listen)
	if err != nil {
		return nil, newError("listen for callers", KindListen, err)
	}
	return &callers{listening{
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadTimeout:       settings.Limits.ReadTimeout.Duration,
			ReadHeaderTimeout: settings.Limits.ReadTimeout.Duration,
			MaxHeaderBytes:    settings.Limits.MaxHeaderBytes,
		},
	}}, nil
}

// callers is the server that callers reach.
type callers struct{ listening }

// Run serves until the server is shut down.
func (l *listening) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.http.Close() })
	defer stop()
	err := l.http.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return newError("serve "+l.listener.Addr().String(), KindRun, err)
}

// shutDown stops accepting and waits until the running requests have ended.
func (l *listening) shutDown(ctx context.Context) error { return l.http.Shutdown(ctx) }
