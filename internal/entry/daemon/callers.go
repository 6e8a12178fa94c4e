package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"cardamomscale.example/cardamomscale/internal/entry/server"
)

// listening is an HTTP server with its open address.
type listening struct {
	http     *http.Server
	listener net.Listener
}

// newCallers opens the callers' address. Reading is bounded in time and size as a
// whole, writing by each part of an answer, since streams last as long as their answers.
func newCallers(cfg Config, handler *server.Server, secured *certificates) (*callers, error) {
	settings := cfg.Settings
	listener, err := cfg.Listen(settings.Listen)
	if err != nil {
		return nil, newError("listen for callers", KindListen, err)
	}
	return &callers{listening{
		listener: secured.secureCallers(listener),
		http: &http.Server{
			Handler:           handler,
			ReadTimeout:       settings.Limits.ReadTimeout.Duration,
			ReadHeaderTimeout: settings.Limits.ReadTimeout.Duration,
			IdleTimeout:       idleCallerTime,
			MaxHeaderBytes:    settings.Limits.MaxHeaderBytes,
			ErrorLog:          cfg.Logger.Named("callers").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		},
	}}, nil
}

// idleCallerTime is how long a caller's connection is kept without a request.
const idleCallerTime = 2 * time.Minute

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
