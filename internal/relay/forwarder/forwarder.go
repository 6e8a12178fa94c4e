// Package forwarder sends a request to a target, at most once, and reads its response.
package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/platform/translator"
)

// Kind classifies failures of this package.
type Kind string

// KindInvalid reports an invalid Config.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

const (
	// concurrentWriteSize is the body size from which a request is written while its
	// response is read, as the response may arrive before the target has read the body.
	concurrentWriteSize = 4 << 10
	// maxStrayResponses bounds the responses to other requests that are skipped on a connection.
	maxStrayResponses = 3
	// maxUnusedBody and maxUnusedBodyTime bound the reading of a body only to keep the connection
	// usable.
	maxUnusedBody     = 64 << 10
	maxUnusedBodyTime = 100 * time.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Now is the clock that request deadlines refer to.
	Now func() time.Time
	// Post receives what targets say about themselves, before their responses are returned.
	Post func(decider.Event)
}

// Forwarder sends requests over a pool of connections to targets. It is safe for
// concurrent use.
type Forwarder struct {
	cfg Config
	pool
}

// New returns a Forwarder, or an Error of KindInvalid.
func New(cfg Config) (*Forwarder, error) {
	if cfg.Dial == nil || cfg.Now == nil || cfg.Post == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new forwarder", Kind: KindInvalid, Err: errors.New("dialer, clock and receiver of events are needed")}}
	}
	return &Forwarder{cfg: cfg, pool: newPool(cfg.Now)}, nil
}

// Failure describes an attempt without a response for the caller.
type Failure struct {
	Reason decider.FailureReason
	Detail string
	// NotRun is true if the request certainly did not run at the target and never will.
	NotRun bool
	// Weights is the weights version that the target reported, or 0.
	Weights int
}

// Response is a response whose body is yet to be read. Call Release or Abort when done.
type Response struct {
	translator.Response
	Body    io.ReadCloser
	Framing decider.Framing
	// Length is the announced length of the body in bytes, or -1.
	Length     int64
	conn       *conn
	forwarder  *Forwarder
	addr       netip.AddrPort
	stopCancel func() bool
	// upload is nil if the request was written before the response was read.
	upload *upload
}

// RoundTrip sends a request to its target and returns the response with its body
// unread. lastEvent is the ID of the last stream event that the caller has received, or
// empty. Cancelling ctx closes the connection and so aborts the request.
func (f *Forwarder) RoundTrip(ctx context.Context, send decider.Send, req *translator.Request, body bounder.Chunks, lastEvent string) (*Response, *Failure) {
	left := send.Deadline.Sub(f.cfg.Now())
	if left <= 0 {
		return nil, &Failure{Reason: decider.FailureDeadline, NotRun: true, Detail: "deadline already passed"}
	}
	c, err := f.connect(ctx, send, req.ID)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &Failure{Reason: decider.FailureDeadline, NotRun: true, Detail: "the caller disconnected or the deadline passed while connecting"}
		}
		return nil, &Failure{Reason: decider.FailureUnreachable, NotRun: true, Detail: err.Error()}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // Unblocks reads and writes.
	r := &Response{conn: c, forwarder: f, addr: send.Address, stopCancel: stop}
	placement := translator.Placement{
		Target: send.Target, Remaining: send.Deadline.Sub(f.cfg.Now()), Team: send.Team, Salt: send.Salt, Urgency: send.Urgency,
		Weights: send.Weights, Sources: send.Sources, Sinks: send.Sinks, SourceUntil: send.SourceUntil, LastEvent: lastEvent,
	}
	defer func() { c.reused = true }()
	head := translator.AppendRequest(make([]byte, 0, 1024), req, &placement, body.Len())
	if err := r.write(head, body); err != nil {
		r.Abort()
		return nil, f.failure(ctx, "write", err)
	}
	return f.readHead(ctx, r, req, &send)
}

// connect returns an idle connection, or a new one. Non-repeatable requests reuse a
// connection only if it has just become idle: a target may close an idle connection
// at any moment, and it would then be unknown whether the request ran. A request without an ID
// reuses none, as its answer couldn't be told from others.
func (f *Forwarder) connect(ctx context.Context, send decider.Send, id string) (*conn, error) {
	maxIdleTime := maxIdleTimeRepeatable
	if !send.Repeatable {
		maxIdleTime = maxIdleTimeNonRepeatable
	}
	if id != "" {
		if c := f.get(send.Address, maxIdleTime, id); c != nil {
			return c, nil
		}
	}
	raw, err := f.cfg.Dial(ctx, "tcp", send.Address.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// write sends the head and the body. A long request is written concurrently with
// the reading of the response.
func (r *Response) write(head []byte, body bounder.Chunks) error {
	if body.Len() < concurrentWriteSize {
		_, err := r.conn.Write(slices.Concat(append(bounder.Chunks{head}, body...)...))
		return err
	}
	r.upload = startUpload(r.conn, append(net.Buffers{head}, body...))
	return nil
}

// readHead reads the head of the response to req. It skips responses to other
// requests, which a target may still send on a reused connection. There a response without an ID
// may be one to an earlier request that the target has sent once more.
func (f *Forwarder) readHead(ctx context.Context, r *Response, req *translator.Request, send *decider.Send) (*Response, *Failure) {
	for range maxStrayResponses {
		resp, err := r.conn.readResponse(req.Method)
		if err != nil {
			r.Abort()
			return nil, f.failure(ctx, "read answer", err)
		}
		head := translator.ParseResponse(resp)
		if send.Limited && head.Sealed && head.ID == req.ID && head.Notice.Limit.Kind == descriptor.LimitUnstated {
			head.Notice.Limit.Kind = descriptor.LimitNone
		}
		if head.Notice != (descriptor.Notice{}) {
			f.cfg.Post(decider.NoticeReceived{Target: send.Target, StartedAt: send.StartedAt, Notice: head.Notice})
		}
		if head.ID != req.ID && (head.ID != "" || r.conn.reused) {
			err := r.conn.skip(resp.Body)
			if err == nil && head.Close {
				err = io.EOF
			}
			if err != nil {
				r.Abort()
				return nil, f.failure(ctx, "skip a response to another request", err)
			}
			continue
		}
		r.conn.omitsIDs = head.ID == ""
		r.Response, r.Body, r.Framing, r.Length = head, resp.Body, framingOf(resp), resp.ContentLength
		if failure := r.rejection(); failure != nil {
			r.conn.rejected = append(r.conn.rejected, req.ID)
			r.discard()
			return nil, failure
		}
		if r.upload != nil && r.Framing == decider.FramingConnection {
			r.Body = &unframedBody{ReadCloser: r.Body, upload: r.upload}
		}
		return r, nil
	}
	r.Abort()
	return nil, f.failure(ctx, "read answer", errors.New("only responses to other requests"))
}

// maxStatus is the highest status of a response.
const maxStatus = 599

// readResponse reads the headers of the next response and skips informational (1xx) ones. A response with another
// status, or one that switches protocols, which no request asks for, is an error: it isn't known what follows it.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.beginHead()
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch code := resp.StatusCode; {
		case code < http.StatusContinue || code > maxStatus || code == http.StatusSwitchingProtocols:
			return nil, errors.Newf("%03d is no status of a response", code)
		case code >= http.StatusOK:
			return resp, c.endHead()
		}
	}
}

func framingOf(resp *http.Response) decider.Framing {
	switch {
	case resp.ContentLength >= 0:
		return decider.FramingLength
	case len(resp.TransferEncoding) > 0:
		return decider.FramingChunks
	}
	return decider.FramingConnection
}

// rejection returns why the response must not reach the caller, or nil if it may.
func (r *Response) rejection() *Failure {
	failure := &Failure{Weights: r.Weights, NotRun: r.NotRun, Detail: fmt.Sprintf("status %d", r.Status)}
	switch {
	case r.Misdirected:
		failure.Reason = decider.FailureMisdirected
	case r.NotRun:
		failure.Reason = decider.FailureRefused
	case r.Success() && (!r.Sealed || r.ID == "" || r.Encoded):
		failure.Reason, failure.Detail = decider.FailureBroken, "success without proof that the target ran this request, or with an encoded body"
	case impliesNotRun(r.Status):
		// The status would tell the caller that nothing ran, which the target didn't state.
		failure.Reason = decider.FailureBroken
	default:
		return nil
	}
	return failure
}

// impliesNotRun reports whether callers take a status to mean that the request did
// not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failure describes an error of a request that may have reached its target.
func (f *Forwarder) failure(ctx context.Context, op string, err error) *Failure {
	return &Failure{Reason: ReasonOf(ctx, err), Detail: fmt.Sprintf("%s: %v", op, err)}
}

// ReasonOf classifies an error during an exchange with a target.
func ReasonOf(ctx context.Context, err error) decider.FailureReason {
	switch {
	case ctx.Err() != nil:
		return decider.FailureDeadline
	case errors.Is(err, syscall.ETIMEDOUT):
		return decider.FailureSilent
	}
	return decider.FailureBroken
}

// Abort closes the connection, which makes the target abort the request.
func (r *Response) Abort() {
	r.stopCancel()
	_ = r.conn.Close() // The rest of the response isn't needed.
}

// discard reads the rest of the body, if it is short, to keep the connection usable.
func (r *Response) discard() {
	if r.conn.skip(r.Body) != nil {
		r.Abort()
		return
	}
	r.Release()
}

var errUnusedBody = errors.New("the unused body of a response is too long")

// skip reads a body that isn't used to its end, within narrow bounds.
func (c *conn) skip(body io.Reader) error {
	// Deadlines of connections refer to the system's clock.
	if err := c.SetReadDeadline(time.Now().Add(maxUnusedBodyTime)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxUnusedBody+1))
	if err == nil && n > maxUnusedBody {
		err = errUnusedBody
	}
	return errors.CombineErrors(err, c.SetReadDeadline(time.Time{}))
}

// Release returns the connection to the pool if it can be reused, and closes it
// otherwise. The body must have been read to its end.
func (r *Response) Release() {
	if !r.stopCancel() || !r.upload.isWritten() || r.Close || r.conn.r.Buffered() > 0 || !r.conn.mayReuse() {
		_ = r.conn.Close() // It can't be reused.
		return
	}
	keepAlive := defaultKeepAlive
	if r.KeepAlive > 0 {
		keepAlive = r.KeepAlive * 4 / 5 // The target's timeout starts earlier than ours.
	}
	r.forwarder.put(r.addr, r.conn, keepAlive)
}
