// Package forwarder carries one request to one target and its answer back, each
// request at most once.
package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/platform/translator"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports a faulty Config.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

const (
	// concurrentWriteSize is the body size from which a request is written beside the
	// reading of its answer, which may come before the body is read.
	concurrentWriteSize = 4 << 10
	// maxStrayResponses bounds the answers to other requests that are skipped on one connection.
	maxStrayResponses = 3
	// maxStrayBody bounds the body of such an answer.
	maxStrayBody = 1 << 20
)

// Config configures a Forwarder.
type Config struct {
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Now is the clock of the deadlines of requests.
	Now func() time.Time
}

// Forwarder keeps connections to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
	pool
}

// New returns a Forwarder, or an Error of KindInvalid.
func New(cfg Config) (*Forwarder, error) {
	if cfg.Dial == nil || cfg.Now == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new forwarder", Kind: KindInvalid, Err: errors.New("dialer and clock are needed")}}
	}
	return &Forwarder{cfg: cfg, pool: newPool(cfg.Now)}, nil
}

// Failure says why there is no answer to pass on.
type Failure struct {
	Reason  decider.FailureReason
	Detail  string
	NotRun  bool
	Weights int
}

// Response is an answer whose body is still to be read.
type Response struct {
	translator.Answer
	Body       io.ReadCloser
	conn       *conn
	forwarder  *Forwarder
	addr       netip.AddrPort
	stopCancel func() bool
	// written is closed when the request has been written; nil if it was written before.
	written chan struct{}
}

// RoundTrip sends a request to its target and returns the head of the answer. The
// request ends when ctx ends.
func (f *Forwarder) RoundTrip(ctx context.Context, send decider.Send, req *translator.Request, body []byte, lastEvent string) (*Response, *Failure) {
	left := send.Deadline.Sub(f.cfg.Now())
	if left <= 0 {
		return nil, &Failure{Reason: decider.FailureDeadline, NotRun: true, Detail: "no time left"}
	}
	c, err := f.connect(ctx, send)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &Failure{Reason: decider.FailureDeadline, NotRun: true, Detail: "the caller left or the time was over before a connection stood"}
		}
		return nil, &Failure{Reason: decider.FailureUnreachable, NotRun: true, Detail: err.Error()}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // The reader sees the end.
	r := &Response{conn: c, forwarder: f, addr: send.Address, stopCancel: stop}
	placement := translator.Placement{
		Target: send.Target, Left: send.Deadline.Sub(f.cfg.Now()), Team: send.Team, Salt: send.Salt, Urgency: send.Urgency,
		Weights: send.Weights, Sources: send.Sources, Sinks: send.Sinks, SourceUntil: send.SourceUntil, LastEvent: lastEvent,
	}
	head := translator.AppendRequest(make([]byte, 0, 1024), req, &placement, len(body))
	if err := r.write(head, body); err != nil {
		r.Abort()
		return nil, f.failure(ctx, "write", err)
	}
	return f.readHead(ctx, r, req)
}

// connect returns an idle connection, or a new one. Requests that may run once
// only take an idle one that was used just now, since a target may close others at any moment.
func (f *Forwarder) connect(ctx context.Context, send decider.Send) (*conn, error) {
	longest := maxIdleTimeRepeatable
	if !send.Repeatable {
		longest = maxIdleTimeNonRepeatable
	}
	if c := f.get(send.Address, longest); c != nil {
		return c, nil
	}
	raw, err := f.cfg.Dial(ctx, "tcp", send.Address.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

// write sends the head and the body, a long body beside the reading of the answer.
func (r *Response) write(head, body []byte) error {
	if len(body) < concurrentWriteSize {
		_, err := r.conn.Write(append(head, body...))
		return err
	}
	r.written = make(chan struct{})
	go func() {
		defer close(r.written)
		buffers := net.Buffers{head, body}
		_, _ = buffers.WriteTo(r.conn) // A failure shows in the answer, or in its absence.
	}()
	return nil
}

// readHead reads the head of the answer to req and skips answers to other requests.
func (f *Forwarder) readHead(ctx context.Context, r *Response, req *translator.Request) (*Response, *Failure) {
	for range maxStrayResponses {
		resp, err := readFinalResponse(r.conn.r, req.Method)
		if err != nil {
			r.Abort()
			return nil, f.failure(ctx, "read answer", err)
		}
		answer := translator.ReadAnswer(resp)
		if answer.ID != "" && answer.ID != req.ID {
			if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody)); err != nil || n == maxStrayBody || answer.Close {
				r.Abort()
				return nil, f.failure(ctx, "skip an answer to another request", err)
			}
			continue
		}
		r.Answer, r.Body = answer, resp.Body
		if failure := r.rejection(); failure != nil {
			r.discard()
			return nil, failure
		}
		return r, nil
	}
	r.Abort()
	return nil, f.failure(ctx, "read answer", errors.New("only answers to other requests"))
}

// readFinalResponse reads the next final response.
func readFinalResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// rejection returns why the answer must not be passed on, or nil.
func (r *Response) rejection() *Failure {
	failure := &Failure{Weights: r.Weights, NotRun: r.NotRun, Detail: fmt.Sprintf("status %d", r.Status)}
	switch {
	case r.Misdirected:
		failure.Reason = decider.FailureMisdirected
	case r.NotRun:
		failure.Reason = decider.FailureRefused
	case r.Success() && (!r.Sealed || r.ID == "" || r.Encoded):
		failure.Reason, failure.Detail = decider.FailureBroken, "a success without its seal, its request or its own bytes"
	case impliesNotRun(r.Status):
		// The status would promise to the caller that nothing ran.
		failure.Reason = decider.FailureBroken
	default:
		return nil
	}
	return failure
}

// impliesNotRun reports whether a status tells a caller that its request never runs.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return status < http.StatusOK
}

func (f *Forwarder) failure(ctx context.Context, op string, err error) *Failure {
	return &Failure{Reason: ReasonOf(ctx, err), Detail: fmt.Sprintf("%s: %v", op, err)}
}

// ReasonOf classifies an error of an exchange that was under way.
func ReasonOf(ctx context.Context, err error) decider.FailureReason {
	switch {
	case ctx.Err() != nil:
		return decider.FailureDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return decider.FailureSilent
	}
	return decider.FailureBroken
}

// Abort closes the connection, which ends the request at the target.
func (r *Response) Abort() {
	r.stopCancel()
	_ = r.conn.Close() // Nothing more is expected of it.
}

// discard reads a short rest of the body and keeps the connection, or closes it.
func (r *Response) discard() {
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBody)); err != nil || n == maxStrayBody {
		r.Abort()
		return
	}
	r.Release()
}

// Release keeps the connection for another request, after the body was read to its end.
func (r *Response) Release() {
	if !r.stopCancel() || !r.isWritten() || r.Close || r.conn.r.Buffered() > 0 {
		_ = r.conn.Close() // It is of no further use.
		return
	}
	limit := defaultKeepAlive
	if r.KeepAlive > 0 {
		limit = r.KeepAlive * 4 / 5 // The target may count from an earlier moment.
	}
	r.forwarder.put(r.addr, r.conn, limit)
}

func (r *Response) isWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case <-r.written:
		return true
	default:
		return false
	}
}
