// Package inspector is a client for the operator endpoints of daemons.
package inspector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindUnreachable reports that the daemon could not be reached in time.
	KindUnreachable Kind = "unreachable"
	// KindNotFound reports that the daemon does not know the request.
	KindNotFound Kind = "not-found"
	// KindInvalid reports a malformed response, an unexpected status or an invalid
	// option.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 16 << 20

// Config holds the options of an Inspector.
type Config struct {
	// Client sends the requests.
	Client *http.Client
	// Scheme is "http" or "https".
	Scheme string
	// Timeout is the time limit of a request.
	Timeout time.Duration
}

// Inspector calls the operator endpoints of daemons.
type Inspector struct{ cfg Config }

// New returns an Inspector, or an *Error if the scheme is invalid.
func New(cfg Config) (*Inspector, error) {
	if cfg.Scheme != "http" && cfg.Scheme != "https" {
		err := errors.Newf("scheme is %q, want http or https", cfg.Scheme)
		return nil, &Error{failer.Detail[Kind]{Op: "new inspector", Kind: KindInvalid, Err: err}}
	}
	return &Inspector{cfg: cfg}, nil
}

// Status returns the status of the daemon whose operator endpoint is at addr.
func (i *Inspector) Status(ctx context.Context, addr netip.AddrPort) (describer.Status, error) {
	var status describer.Status
	err := i.get(ctx, addr, describer.PathStatus, &status)
	return status, err
}

// Explain returns what the daemon at addr did with the request id. The error is
// of KindNotFound if the daemon does not know the request.
func (i *Inspector) Explain(ctx context.Context, addr netip.AddrPort, id identifier.Request) (describer.Explanation, error) {
	var explanation describer.Explanation
	err := i.get(ctx, addr, describer.PathExplain+url.PathEscape(string(id)), &explanation)
	return explanation, err
}

func (i *Inspector) get(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	op := "get " + path + " of " + addr.String()
	ctx, cancel := context.WithTimeout(ctx, i.cfg.Timeout)
	defer cancel()
	endpoint := i.cfg.Scheme + "://" + addr.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, nil)
	if err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: err}}
	}
	resp, err := i.cfg.Client.Do(req)
	if err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindUnreachable, Err: err}}
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(op, resp, v)
}

func decodeResponse(op string, resp *http.Response, v any) error {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindNotFound}}
	default:
		err := errors.Newf("status is %s", resp.Status)
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: err}}
	}
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: err}}
	}
	return nil
}
