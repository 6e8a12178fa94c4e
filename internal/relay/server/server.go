// Package server serves callers: it reads a whole request, sends it to the target that
// the reducer chooses, and returns the target's response.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/accountant"
	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/fingerprinter"
	"cardamomscale.example/cardamomscale/internal/relay/forwarder"
	"cardamomscale.example/cardamomscale/internal/relay/meter"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/translator"
)

// Decider decides where requests are sent and when they end.
type Decider interface {
	// Post processes an event and returns the effect on the event's request, or nil.
	Post(ev decider.Event) decider.Effect
	// Await returns the effect on a request for which Post returned a Wait, or nil if ctx ends before.
	Await(ctx context.Context, number int64) decider.Effect
	// Limits returns the limits for requests, or nil before the first configuration.
	Limits() *descriptor.Limits
}

// Config configures a Server.
type Config struct {
	Decider   Decider
	Forwarder *forwarder.Forwarder
	Clock     timer.Clock
	Meter     *meter.Meter
	// Buffers bounds the memory for parts of responses that are held back. That for requests is bounded by the account
	// of their connections.
	Buffers *bounder.Budget
}

const (
	// maxCutTime is how long cut requests are waited for, cutCheckInterval the interval between checks.
	maxCutTime       = 200 * time.Millisecond
	cutCheckInterval = 5 * time.Millisecond
)

// defaultMaxBodyBytes bounds request bodies until a configuration sets a limit.
const defaultMaxBodyBytes = 4 << 20

// Server is the HTTP handler for callers' requests. It is safe for concurrent use.
type Server struct {
	cfg        Config
	lastNumber atomic.Int64
	draining   atomic.Bool
	// unanswered is done once no answer that hasn't begun is waited for; endUnanswered ends it.
	unanswered    context.Context
	endUnanswered context.CancelFunc
	// cutting is true once the connections of requests in progress are closed.
	cutting atomic.Bool
	// inProgress is the number of requests whose headers have been read and that haven't ended.
	inProgress atomic.Int64
}

// New returns a Server that keeps connections alive until StartDraining is called.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.unanswered, s.endUnanswered = context.WithCancel(context.Background())
	return s
}

// StartDraining makes each response from now on close its connection.
func (s *Server) StartDraining() { s.draining.Store(true) }

// EndUnanswered interrupts all uploads, and all attempts whose answer hasn't begun, so that their callers get an
// answer. The reducer must know that requests have ended.
func (s *Server) EndUnanswered() { s.endUnanswered() }

// Cut calls closeAll, which closes all connections, and waits until the requests in progress have ended, but not
// for long.
func (s *Server) Cut(closeAll func()) {
	s.cutting.Store(true)
	closeAll()
	for waited := time.Duration(0); s.inProgress.Load() > 0 && waited < maxCutTime; waited += cutCheckInterval {
		time.Sleep(cutCheckInterval)
	}
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler to abort the
// connection of a caller that must not take a partial response for a complete one.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	defer func() {
		if aborted := recover(); aborted != nil {
			resetUnframed(r)
			panic(aborted)
		}
	}()
	conn, accounted := r.Context().Value(connKey{}).(*accountant.Conn)
	if s.draining.Load() || accounted && conn.Crowded() {
		w.Header().Set("Connection", "close")
	}
	req := translator.ParseRequest(r)
	x := &exchange{
		server: s, w: w, req: &req, number: s.lastNumber.Add(1), began: s.cfg.Clock.Now(),
		position: position{id: req.LastEvent},
	}
	defer func() { x.buffer.Release() }()
	if x.readBody(r) {
		x.run(r.Context())
	}
}

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// ConnContext adds a caller's connection to its context, as needed in an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// resetUnframed makes the close of a connection a reset if the end of the connection would
// complete the answer, as in HTTP/1.0.
func resetUnframed(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	if accounted, wrapped := conn.(*accountant.Conn); wrapped {
		conn = accounted.Conn
	}
	if conn, tcp := conn.(*net.TCPConn); ok && tcp {
		_ = conn.SetLinger(0) // Fails only if the connection is closed.
	}
}

// readBody reads the body. It returns false if it has refused the request.
func (x *exchange) readBody(r *http.Request) bool {
	limit := defaultMaxBodyBytes
	if limits := x.server.cfg.Decider.Limits(); limits != nil && limits.MaxBodyBytes > 0 {
		limit = limits.MaxBodyBytes
	}
	conn, accounted := r.Context().Value(connKey{}).(*accountant.Conn)
	var budget *bounder.Budget
	if accounted {
		budget = bounder.NewLedgerBudget(conn)
	}
	x.buffer = budget.NewBuffer(limit)
	if accounted && !conn.ReserveHeader(r.Header) {
		x.refuseUnread(0, decider.UnreadNoMemory, errNoMemory)
		return false
	}
	if r.ContentLength == 0 {
		return true
	}
	if r.ContentLength > int64(limit) {
		x.refuseUnread(0, decider.UnreadTooLong, errBodyTooLong)
		return false
	}
	if accounted {
		conn.BeginBody()
	}
	resume := x.interruptible()
	body, err := x.buffer.ReadChunks(r.Body)
	interrupted := !resume()
	switch {
	case err != nil && accounted && conn.Evicted():
		x.refuseUnread(body.Len(), decider.UnreadNoMemory, err)
		return false
	case err != nil:
		x.refuseUnread(body.Len(), unreadCause(err, interrupted), err)
		return false
	}
	if accounted && !conn.EndBody() {
		x.refuseUnread(body.Len(), decider.UnreadNoMemory, errNoMemory)
		return false
	}
	x.body = body
	return true
}

// unreadCause returns why a body wasn't read. Interrupted is true if this host has ended the reading.
func unreadCause(err error, interrupted bool) decider.UnreadCause {
	var bound *bounder.Error
	switch {
	case errors.As(err, &bound) && bound.Kind == bounder.KindTooLong:
		return decider.UnreadTooLong
	case errors.As(err, &bound):
		return decider.UnreadNoMemory
	case interrupted && errors.Is(err, os.ErrDeadlineExceeded):
		return decider.UnreadLeaving
	}
	return decider.UnreadBroken
}

// interruptible lets EndUnanswered interrupt the reading of the body. The function that it returns ends that, and
// returns false if it was interrupted.
func (x *exchange) interruptible() func() bool {
	conn := http.NewResponseController(x.w)
	return context.AfterFunc(x.server.unanswered, func() {
		_ = conn.SetReadDeadline(time.Now()) // Fails only if the connection is closed.
	})
}

// errBodyTooLong reports an announced length above the configured limit.
var errBodyTooLong = errors.New("the body is too long")

// errNoMemory reports a head for which the account of all callers has no room.
var errNoMemory = errors.New("callers hold too much memory")

// refuseUnread ends a request of whose body only some bytes were read. If its caller has disconnected, it panics.
func (x *exchange) refuseUnread(received int, cause decider.UnreadCause, err error) {
	x.buffer.Release() // The post may have to wait.
	effect := x.post(decider.RequestUnread{Number: x.number, ID: x.req.ID, Received: int64(received), Cause: cause, Detail: err.Error()})
	switch refusal, ok := effect.(decider.Refuse); {
	case ok:
		x.refuse(refusal)
	case cause == decider.UnreadTooLong:
		writeRefusal(x.w, x.req.ID, http.StatusRequestEntityTooLarge, 0)
	default:
		panic(http.ErrAbortHandler)
	}
}

// exchange is the state of one request.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	req    *translator.Request
	body   bounder.Chunks
	// buffer holds the body until the request has ended.
	buffer *bounder.Buffer
	number int64
	began  time.Time
	// headerSent is true once the response header was written, with the given status.
	headerSent bool
	status     int
	// begun stops EndUnanswered from ending the attempt in progress, as its answer has begun.
	begun func() bool
	// fallback is a target's error response, which is used if no other target succeeds.
	fallback *bufferedResponse
	// position is how far the caller has received a stream.
	position position
	// received describes the body of the current attempt's response.
	received decider.ReceivedBody
}

func (x *exchange) post(ev decider.Event) decider.Effect { return x.server.cfg.Decider.Post(ev) }

// run executes the reducer's decisions until the request has ended.
func (x *exchange) run(callerCtx context.Context) {
	defer func() { x.fallback.release() }()
	effect := x.post(decider.RequestArrived{
		Number: x.number, ID: x.req.ID, Host: x.req.Host, Path: x.req.Path, Key: x.req.Key,
		Timeout: x.req.Deadline, Prompt: x.req.Prompt,
		BodyBytes: x.body.Len(), Fingerprint: fingerprinter.Sum(fingerprinter.Request{Method: x.req.Method, Host: x.req.Host, URI: x.req.URI, Body: x.body}),
	})
	for {
		switch e := effect.(type) {
		case decider.Refuse:
			x.refuse(e)
			return
		case decider.DeliverErrorResponse:
			x.writeResponse(x.fallback.resp, x.fallback.Bytes())
			return
		case decider.Wait:
			if effect = x.server.cfg.Decider.Await(callerCtx, x.number); effect == nil {
				x.disconnected()
			}
		case decider.Send:
			failed := x.attempt(callerCtx, e)
			if failed == nil {
				return
			}
			if callerCtx.Err() != nil {
				x.disconnected()
			}
			effect = x.post(*failed)
		default:
			// The reducer has dropped the request. Abort, so that the response doesn't seem complete.
			panic(http.ErrAbortHandler)
		}
	}
}

// disconnected ends a request whose connection has ended.
func (x *exchange) disconnected() {
	x.post(decider.CallerDisconnected{Number: x.number, Cut: x.server.cutting.Load()})
	panic(http.ErrAbortHandler)
}

// attempt sends the request to a target and forwards the response. It returns nil
// once the complete response was written.
func (x *exchange) attempt(callerCtx context.Context, send decider.Send) *decider.AttemptFailed {
	ctx, cancel := context.WithTimeout(callerCtx, send.Deadline.Sub(x.server.cfg.Clock.Now()))
	defer cancel()
	if !x.headerSent {
		x.begun = context.AfterFunc(x.server.unanswered, cancel)
		defer x.begun()
	}
	x.received = decider.ReceivedBody{}
	resp, failure := x.server.cfg.Forwarder.RoundTrip(ctx, send, x.req, x.body, x.position.id)
	if failure != nil {
		return x.attemptFailed(failure)
	}
	x.received.Framing = resp.Framing
	stream := send.Stream && resp.Success()
	switch {
	case stream && resp.Length > streamLimit(x.req.Prompt), !stream && resp.Length > maxBufferedBody:
		resp.Abort()
		return x.readFailed(ctx, errTooLong)
	case stream:
		return x.forwardStream(ctx, resp)
	}
	return x.forwardWhole(ctx, resp, send.Repeatable)
}

func (x *exchange) attemptFailed(f *forwarder.Failure) *decider.AttemptFailed {
	return &decider.AttemptFailed{
		Number: x.number, Reason: f.Reason, Detail: f.Detail, NotRun: f.NotRun, ResponseStarted: x.headerSent, Weights: f.Weights,
		Body: x.received,
	}
}

func (x *exchange) readFailed(ctx context.Context, err error) *decider.AttemptFailed {
	return x.attemptFailed(&forwarder.Failure{Reason: forwarder.ReasonOf(ctx, err), Detail: "read body: " + err.Error()})
}

// maxBufferedBody bounds a response that is buffered before it is forwarded.
const maxBufferedBody = 4 << 20

// errEmptyAnswer reports an answer to a prompt that ended with its connection before its first byte.
var errEmptyAnswer = errors.New("the answer ended before its first byte")

// bufferedResponse is a complete response that is held back while another target is tried.
type bufferedResponse struct {
	resp *forwarder.Response
	*bounder.Buffer
}

func (b *bufferedResponse) release() {
	if b != nil {
		b.Release()
	}
}

// forwardWhole forwards a response once all of it has been read. It keeps a 5xx
// response to a repeatable request as the fallback, as another target may succeed.
func (x *exchange) forwardWhole(ctx context.Context, resp *forwarder.Response, repeatable bool) *decider.AttemptFailed {
	body := x.server.cfg.Buffers.NewBuffer(maxBufferedBody)
	n, err := body.ReadAll(resp.Body)
	x.received.Bytes = int64(n)
	if err == nil && n == 0 && x.req.Prompt != nil && resp.Framing == decider.FramingConnection {
		err = errEmptyAnswer // An engine that crashes closes the connection like this.
	}
	if err != nil {
		resp.Abort()
		body.Release()
		return x.readFailed(ctx, err)
	}
	resp.Release()
	if !x.headerSent && repeatable && resp.Status >= http.StatusInternalServerError {
		x.fallback.release()
		x.fallback = &bufferedResponse{resp, body}
		return x.attemptFailed(&forwarder.Failure{Reason: decider.FailureErrorResponse, Detail: http.StatusText(resp.Status), Weights: resp.Weights})
	}
	defer body.Release()
	if x.headerSent {
		// A resumed stream can't continue with a response that isn't a stream.
		return x.attemptFailed(&forwarder.Failure{Reason: decider.FailureBroken, Detail: "response to a resumed stream isn't a stream", Weights: resp.Weights})
	}
	x.reportFirstPart(resp)
	x.post(decider.AttemptDone{Number: x.number, Status: resp.Status, Body: x.received})
	x.writeResponse(resp, body.Bytes())
	return nil
}

// writeResponse writes a complete response.
func (x *exchange) writeResponse(resp *forwarder.Response, body []byte) {
	x.writeHeader(resp)
	_, _ = x.w.Write(body) // The exchange is over, also if the caller has disconnected.
}

// reportFirstPart records the time to the first part of the response and posts its start.
func (x *exchange) reportFirstPart(resp *forwarder.Response) {
	if !x.headerSent {
		x.server.cfg.Meter.ObserveFirstPart(x.server.cfg.Clock.Now().Sub(x.began).Seconds())
	}
	x.post(decider.ResponseStarted{Number: x.number, Weights: resp.Weights, Unsuccessful: !resp.Success(), Pace: resp.Pace})
}

// writeHeader copies the target's status and headers.
func (x *exchange) writeHeader(resp *forwarder.Response) {
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Keeps net/http from guessing a type.
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	x.w.WriteHeader(resp.Status)
	x.begun()
	x.headerSent, x.status = true, resp.Status
}

// refuse responds without a target's response. If the caller already has part of a
// response, refuse aborts the connection.
func (x *exchange) refuse(e decider.Refuse) {
	if x.headerSent {
		panic(http.ErrAbortHandler)
	}
	status, retryAfter := statusOf(e), e.RetryAfter
	if status != http.StatusServiceUnavailable {
		retryAfter = 0
	}
	writeRefusal(x.w, x.req.ID, status, retryAfter)
}

// statusOf returns the status of a refusal. 503 guarantees that the request has not run
// and never will.
func statusOf(e decider.Refuse) int {
	switch {
	case e.Kind == decider.RefusalNoRoute:
		return http.StatusNotFound
	case e.Kind == decider.RefusalUnknownKey:
		return http.StatusUnauthorized
	case e.Kind == decider.RefusalDeadline:
		return http.StatusGatewayTimeout
	case e.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeRefusal writes a response without a body, with the refusal's headers.
func writeRefusal(w http.ResponseWriter, id string, status int, retryAfter time.Duration) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	translator.SetErrorHeaders(h, id, retryAfter)
	w.WriteHeader(status)
}
