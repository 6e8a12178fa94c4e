package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
)

// Paths of the object API.
const (
	// PathObjects followed by "/" and a key is the path of an object, for GET, PUT and
	// DELETE. Without a key, a GET with the query parameter "prefix" lists objects.
	PathObjects = "/v1/objects"
	// PathWatch takes a GET with the query parameters "prefix", "after" and "wait".
	PathWatch = "/v1/watch"
)

// HeaderSource is the request header with the name of the object API's caller.
const HeaderSource = "Cardamom-Source"

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

const (
	// maxListBytes bounds the body of a response with any number of objects, maxObjectBytes that of
	// one with an object, whose value is encoded.
	maxListBytes   = 64 << 20
	maxObjectBytes = 2 * MaxValueBytes
	// maxBufferedBytes bounds the responses that are being read, beyond the first part of each.
	maxBufferedBytes = 2 * maxListBytes
)

// PutBody is the request body of a PUT.
type PutBody struct {
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
}

// HTTPConfig configures an HTTPClient.
type HTTPConfig struct {
	// Address is the address of the object API.
	Address netip.AddrPort
	// Source is the value of HeaderSource; if empty, the header isn't sent.
	Source string
	// Transport sends the requests; nil means a new http.Transport.
	Transport http.RoundTripper
	// WatchTransport sends the watches; nil means Transport. It should open a new
	// connection for each watch, since a reused one may be dead without being closed.
	WatchTransport http.RoundTripper
	// Clock measures timeouts and rates.
	Clock clockwork.Clock
	// Timeout bounds each call other than Watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchWait is how long the platform holds a watch open; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// WatchHedgeDelay is how long after WatchWait another watch is sent in parallel if the
	// response is still missing; 0 means DefaultTimeout.
	WatchHedgeDelay time.Duration
	// ReadsPerSecond and WritesPerSecond are the client's rate limits; 0 means no limit.
	// A watch counts as one read.
	ReadsPerSecond, WritesPerSecond rate.Limit
	// Burst is the burst size of the rate limits; 0 means DefaultBurst.
	Burst int
}

// Defaults of HTTPConfig.
const (
	DefaultTimeout   = 2 * time.Second
	DefaultWatchWait = 30 * time.Second
	DefaultBurst     = 16
)

// HTTPClient is an ObjectStore over HTTP.
type HTTPClient struct {
	cfg    HTTPConfig
	http   *http.Client
	watch  *http.Client
	reads  *rate.Limiter
	writes *rate.Limiter
	// buffers bounds the memory for responses that are being read.
	buffers *bounder.Budget
}

var _ ObjectStore = (*HTTPClient)(nil)

// NewHTTPClient returns an HTTPClient, or an Error of KindInvalid for an
// incomplete configuration.
func NewHTTPClient(cfg HTTPConfig) (*HTTPClient, error) {
	if !cfg.Address.IsValid() {
		return nil, NewError("new client", KindInvalid, errors.New("address is not set"))
	}
	if cfg.Clock == nil {
		return nil, NewError("new client", KindInvalid, errors.New("clock is not set"))
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: DefaultBurst, MaxResponseHeaderBytes: bounder.MaxHeaderBytes}
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WatchTransport == nil {
		cfg.WatchTransport = cfg.Transport
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = DefaultWatchWait
	}
	if cfg.WatchHedgeDelay <= 0 {
		cfg.WatchHedgeDelay = DefaultTimeout
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &HTTPClient{
		cfg:    cfg,
		http:   &http.Client{Transport: cfg.Transport, CheckRedirect: rejectRedirect},
		watch:  &http.Client{Transport: cfg.WatchTransport, CheckRedirect: rejectRedirect},
		reads:  newLimiter(cfg.ReadsPerSecond, cfg.Burst),
		writes: newLimiter(cfg.WritesPerSecond, cfg.Burst),

		buffers: bounder.NewBudget(maxBufferedBytes),
	}, nil
}

// rejectRedirect makes a redirect an answer like any other, as addresses come from the settings.
func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newLimiter(limit rate.Limit, burst int) *rate.Limiter {
	if limit <= 0 {
		limit = rate.Inf
	}
	return rate.NewLimiter(limit, burst)
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// Get implements ObjectStore.
func (c *HTTPClient) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, call{
		op: "get object " + key, method: http.MethodGet, path: objectPath(key),
		timeout: c.cfg.Timeout, limit: c.reads, result: &o,
	})
	return o, err
}

// Put implements ObjectStore.
func (c *HTTPClient) Put(ctx context.Context, key string, value []byte, expect uint64) (Object, error) {
	op := "put object " + key
	if len(value) > MaxValueBytes {
		return Object{}, NewError(op, KindInvalid, errors.Newf("value has %d bytes, limit %d", len(value), MaxValueBytes))
	}
	body, err := json.Marshal(PutBody{Value: value, Expect: expect})
	if err != nil {
		return Object{}, NewError(op, KindInvalid, err)
	}
	var o Object
	err = c.call(ctx, call{
		op: op, method: http.MethodPut, path: objectPath(key), body: body, write: true,
		timeout: c.cfg.Timeout, limit: c.writes, result: &o,
	})
	return o, err
}

// Delete implements ObjectStore.
func (c *HTTPClient) Delete(ctx context.Context, key string, expect uint64) error {
	query := url.Values{"expect": {strconv.FormatUint(expect, 10)}}
	return c.call(ctx, call{
		op: "delete object " + key, method: http.MethodDelete, path: objectPath(key), query: query,
		write: true, timeout: c.cfg.Timeout, limit: c.writes,
	})
}

// List implements ObjectStore.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.call(ctx, call{
		op: "list objects " + prefix, method: http.MethodGet, path: PathObjects,
		query: url.Values{"prefix": {prefix}}, timeout: c.cfg.Timeout, limit: c.reads, maxBytes: maxListBytes, result: &objects,
	})
	return objects, err
}

func objectPath(key string) string { return PathObjects + "/" + key }

// call describes one request to the platform.
type call struct {
	op, method, path string
	query            url.Values
	body             []byte
	write            bool
	timeout          time.Duration
	limit            *rate.Limiter
	// client sends the request; nil means HTTPClient.http.
	client *http.Client
	// maxBytes bounds the response body; 0 is maxObjectBytes.
	maxBytes int
	// result receives the decoded response body; nil means that there is none.
	result any
}

func (c *HTTPClient) call(ctx context.Context, cl call) error {
	ctx, cancel := WithTimeout(ctx, c.cfg.Clock, cl.timeout)
	defer cancel()
	if err := c.waitForRateLimit(ctx, cl); err != nil {
		return err
	}
	req, sent, err := c.newRequest(ctx, cl)
	if err != nil {
		return NewError(cl.op, KindInvalid, err)
	}
	if cl.client == nil {
		cl.client = c.http
	}
	resp, err := cl.client.Do(req)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return NewError(cl.op, kindOfTransportError(sent), err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.decode(resp, cl)
}

// closeIdleAfterTimeout closes the idle connections if a call's context ended before a
// response arrived, since the cause may affect these connections too.
func (c *HTTPClient) closeIdleAfterTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.http.CloseIdleConnections()
	}
}

// waitForRateLimit takes one token from the call's rate limiter and waits until it is
// available, or returns an Error of KindThrottled if that takes longer than the call's
// timeout.
func (c *HTTPClient) waitForRateLimit(ctx context.Context, cl call) error {
	if err := ctx.Err(); err != nil {
		return NewError(cl.op, KindUnavailable, err)
	}
	now := c.cfg.Clock.Now()
	r := cl.limit.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	if delay > cl.timeout {
		r.CancelAt(now)
		return NewError(cl.op, KindThrottled, errors.Newf("local rate limit allows the next call only in %v", delay))
	}
	if err := Sleep(ctx, c.cfg.Clock, delay); err != nil {
		r.CancelAt(c.cfg.Clock.Now())
		return NewError(cl.op, KindThrottled, err)
	}
	return nil
}

// newRequest builds the request of cl. The returned flag becomes true once the request
// has a connection, because from then on it may have been sent.
func (c *HTTPClient) newRequest(ctx context.Context, cl call) (*http.Request, *atomic.Bool, error) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	u := url.URL{Scheme: "http", Host: c.cfg.Address.String(), Path: cl.path, RawQuery: cl.query.Encode()}
	var body io.Reader
	if cl.body != nil {
		body = bytes.NewReader(cl.body)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), cl.method, u.String(), body)
	if err != nil {
		return nil, nil, err
	}
	if cl.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.cfg.Source != "" {
		req.Header.Set(HeaderSource, c.cfg.Source)
	}
	return req, sent, nil
}

func kindOfTransportError(sent *atomic.Bool) Kind {
	if sent.Load() {
		return KindUnknown
	}
	return KindUnavailable
}

// decode decodes a response into the call's result. A write with a malformed response
// or an unexpected status may have taken effect, which KindUnknown reports.
func (c *HTTPClient) decode(resp *http.Response, cl call) error {
	body, err := c.buffers.ReadAll(resp.Body, max(cl.maxBytes, maxObjectBytes))
	if err != nil {
		return NewError(cl.op, KindUnknown, err)
	}
	if resp.StatusCode/100 != 2 {
		return NewError(cl.op, kindOfStatus(resp.StatusCode), errors.New(statusMessage(resp.StatusCode, body)))
	}
	if cl.result == nil {
		return nil
	}
	err = json.Unmarshal(body, cl.result)
	switch {
	case err == nil:
		return nil
	case cl.write:
		return NewError(cl.op, KindUnknown, err)
	default:
		return NewError(cl.op, KindInvalid, err)
	}
}

func kindOfStatus(status int) Kind {
	switch status {
	case http.StatusNotFound:
		return KindNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return KindConflict
	case http.StatusTooManyRequests:
		return KindThrottled
	}
	if status/100 == 4 {
		return KindInvalid
	}
	return KindUnknown
}

const maxMessageBytes = 200

func statusMessage(status int, body []byte) string {
	text := strings.TrimSpace(string(body[:min(len(body), maxMessageBytes)]))
	return fmt.Sprintf("status %d: %s", status, text)
}

func hexToken(high, low uint64) string { return fmt.Sprintf("%016x%016x", high, low) }
