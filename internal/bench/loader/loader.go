// Package loader sends callers' requests to daemons and checks the answers
// byte for byte against what the stand-in engines must say.
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

// KindInvalid reports a faulty Config or request.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// Config configures a Loader.
type Config struct {
	Clock clockwork.Clock
	// Balance returns the daemons that take callers' requests now, as the
	// platform's balancer would choose among them.
	Balance func() []netip.AddrPort
	// MaxConnections bounds the connections to one daemon; 0 means no limit.
	MaxConnections int
}

// Loader sends requests. It is safe for concurrent use.
type Loader struct {
	cfg    Config
	client *http.Client
	turn   atomic.Uint64
}

// New returns a Loader.
func New(cfg Config) (*Loader, error) {
	if cfg.Clock == nil || cfg.Balance == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new loader", Kind: KindInvalid, Err: errors.New("clock and balance are needed")}}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxConnsPerHost: cfg.MaxConnections}
	return &Loader{cfg: cfg, client: &http.Client{Transport: transport}}, nil
}

// idleConnections bounds the idle connections to one daemon.
const idleConnections = 64

// Close ends the idle connections.
func (l *Loader) Close() { l.client.CloseIdleConnections() }

// Terms are what all requests have in common.
type Terms struct {
	// Key is the team's bearer key.
	Key      string
	Class    identifier.Class
	Deadline time.Duration
}

// Outcome is how a request ended.
type Outcome struct {
	// Status is the HTTP status; 0 when no answer came.
	Status int
	// Kind and Run come from the error, if there was one.
	Kind string
	Run  messenger.Run
	// RetryAfter is when the daemon says to come back.
	RetryAfter time.Duration
	RequestID  identifier.Request
	// Whole is true for an answer that was complete and had its end mark.
	Whole bool
	// Wrong is true for an answer that was passed off as whole but is not the
	// right one.
	Wrong bool
	// FirstToken is the time to the first token of a stream or to the answer.
	FirstToken time.Duration
	// Took is the whole time.
	Took time.Duration
	// Gaps are the times between tokens of a stream.
	Gaps         []time.Duration
	Tokens       int
	CachedTokens int
	// Body is the answer of a plain service.
	Body []byte
	Err  error
}

// next returns the daemon for the next request.
func (l *Loader) next() (netip.AddrPort, error) {
	hosts := l.cfg.Balance()
	if len(hosts) == 0 {
		return netip.AddrPort{}, &Error{failer.Detail[Kind]{Op: "choose daemon", Kind: KindInvalid, Err: errors.New("no daemon takes requests")}}
	}
	return hosts[l.turn.Add(1)%uint64(len(hosts))], nil
}

// newRequest builds a request to the next daemon.
func (l *Loader) newRequest(ctx context.Context, method, path string, body []byte, terms Terms) (*http.Request, error) {
	host, err := l.next()
	if err != nil {
		return nil, err
	}
	// The body hides its bytes, so that net/http can't repeat the request itself.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host.String()+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &Error{failer.Detail[Kind]{Op: "build request", Kind: KindInvalid, Err: err}}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+terms.Key)
	req.Header.Set("Content-Type", "application/json")
	if terms.Class != "" {
		req.Header.Set(messenger.HeaderClass, string(terms.Class))
	}
	if terms.Deadline > 0 {
		req.Header.Set(messenger.HeaderDeadline, terms.Deadline.String())
	}
	return req, nil
}

// readError takes an answer that is not a success into o.
func (o *Outcome) readError(raw []byte) {
	var body server.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil {
		o.Err = errors.Wrap(err, "decode error body")
		return
	}
	o.takeError(body)
}

func (o *Outcome) takeError(body server.ErrorBody) {
	o.Kind, o.Run = body.Kind, messenger.Run(body.Run)
	o.RequestID = body.RequestID
	o.RetryAfter = time.Duration(body.RetryAfterMilliseconds) * time.Millisecond
}
