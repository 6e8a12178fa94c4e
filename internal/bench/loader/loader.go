// Package loader sends callers' requests to daemons and compares the responses byte for
// byte with what the stand-in engines must generate.
package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/entry/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports an invalid Config or request.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Loader.
type Config struct {
	Clock clockwork.Clock
	// Daemons returns the daemons that accept callers' requests now, which are those that
	// the platform's load balancer would use.
	Daemons func() []netip.AddrPort
	// MaxConnections bounds the connections to one daemon; 0 means no limit.
	MaxConnections int
}

// Loader sends requests to the daemons in turn. It is safe for concurrent use.
type Loader struct {
	cfg         Config
	client      *http.Client
	daemonIndex atomic.Uint64
}

// New returns a Loader.
func New(cfg Config) (*Loader, error) {
	if cfg.Clock == nil || cfg.Daemons == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new loader", Kind: KindInvalid, Err: errors.New("clock and daemons are needed")}}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxConnsPerHost: cfg.MaxConnections}
	return &Loader{cfg: cfg, client: &http.Client{Transport: transport}}, nil
}

// maxIdleConnections bounds the idle connections to one daemon.
const maxIdleConnections = 64

// Close closes the idle connections.
func (l *Loader) Close() { l.client.CloseIdleConnections() }

// RequestOptions holds the fields that are common to all requests.
type RequestOptions struct {
	// Key is the team's bearer key.
	Key      string
	Class    identifier.Class
	Deadline time.Duration
}

// Outcome describes how a request ended.
type Outcome struct {
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Kind and Run are those of the error response, if there was one.
	Kind string
	Run  messenger.RunState
	// RetryAfter is the time after which the daemon asks for a retry.
	RetryAfter time.Duration
	RequestID  identifier.Request
	// Complete is true for a complete response; that of a stream includes its end mark.
	Complete bool
	// Wrong is true for a response whose contents differ from what they must be.
	Wrong bool
	// FirstToken is the time to the first token of a stream, or to the whole response.
	FirstToken time.Duration
	// Duration is the total time.
	Duration time.Duration
	// InterTokenGaps are the times between tokens of a stream.
	InterTokenGaps []time.Duration
	Tokens         int
	CachedTokens   int
	// Body is the response body of a plain service.
	Body []byte
	Err  error
}

// nextDaemon returns the daemon for the next request, by round robin.
func (l *Loader) nextDaemon() (netip.AddrPort, error) {
	daemons := l.cfg.Daemons()
	if len(daemons) == 0 {
		return netip.AddrPort{}, &Error{failer.Detail[Kind]{Op: "choose daemon", Kind: KindInvalid, Err: errors.New("no daemon takes requests")}}
	}
	return daemons[l.daemonIndex.Add(1)%uint64(len(daemons))], nil
}

// newRequest builds a request to the next daemon.
func (l *Loader) newRequest(ctx context.Context, method, path string, body []byte, opts RequestOptions) (*http.Request, error) {
	daemon, err := l.nextDaemon()
	if err != nil {
		return nil, err
	}
	// NopCloser hides the type of the reader, so that net/http can't replay the body and
	// doesn't retry the request.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.String()+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &Error{failer.Detail[Kind]{Op: "build request", Kind: KindInvalid, Err: err}}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+opts.Key)
	req.Header.Set("Content-Type", "application/json")
	if opts.Class != "" {
		req.Header.Set(messenger.HeaderClass, string(opts.Class))
	}
	if opts.Deadline > 0 {
		req.Header.Set(messenger.HeaderDeadline, opts.Deadline.String())
	}
	return req, nil
}

// readError decodes an error response into o.
func (o *Outcome) readError(raw []byte) {
	var body server.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil {
		o.Err = errors.Wrap(err, "decode error body")
		return
	}
	o.setError(body)
}

// setError copies the fields of an error response into o.
func (o *Outcome) setError(body server.ErrorBody) {
	o.Kind, o.Run = body.Kind, messenger.RunState(body.Run)
	o.RequestID = body.RequestID
	o.RetryAfter = time.Duration(body.RetryAfterMilliseconds) * time.Millisecond
}
