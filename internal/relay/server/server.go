// Package server answers callers: it reads a request whole, asks the reducer
// where it goes, and passes the target's answer back.
package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/forwarder"
	"cardamomscale.example/cardamomscale/internal/relay/meter"
	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/translator"
)

// Decider decides about requests.
type Decider interface {
	// Post takes in an event and returns the effect on its request.
	Post(ev decider.Event) decider.Effect
	// Limits returns what callers may send, or nil if that is unknown.
	Limits() *descriptor.Limits
}

// Config configures a Server.
type Config struct {
	Decider   Decider
	Forwarder *forwarder.Forwarder
	Clock     timer.Clock
	Meter     *meter.Meter
}

// defaultMaxBodyBytes bounds bodies before the first configuration.
const defaultMaxBodyBytes = 4 << 20

// Server is the handler of callers' requests.
type Server struct {
	cfg        Config
	lastNumber atomic.Int64
	draining   atomic.Bool
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// StartDraining makes each answer from now on end its connection.
func (s *Server) StartDraining() { s.draining.Store(true) }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req := translator.ReadRequest(r)
	body, status := s.readBody(r)
	if status != 0 {
		writeRefusal(w, req.ID, status, 0)
		return
	}
	x := &exchange{
		server: s, w: w, req: &req, body: body, number: s.lastNumber.Add(1), began: s.cfg.Clock.Now(),
		lastEvent: req.LastEvent,
	}
	x.run(r.Context())
}

// readBody returns the body, or the status of the refusal.
func (s *Server) readBody(r *http.Request) ([]byte, int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	limit := int64(defaultMaxBodyBytes)
	if limits := s.cfg.Decider.Limits(); limits != nil && limits.MaxBodyBytes > 0 {
		limit = int64(limits.MaxBodyBytes)
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			panic(http.ErrAbortHandler) // The caller is gone: there is nobody to answer.
		}
		return body, 0
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		panic(http.ErrAbortHandler) // As above.
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

// exchange is one request on its way.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	req    *translator.Request
	body   []byte
	number int64
	began  time.Time
	// headerSent is true when the caller has the head of an answer.
	headerSent bool
	// fallback is a target's own error, for the case that nobody does better.
	fallback *bufferedResponse
	// lastEvent is the last event of a stream that the caller has.
	lastEvent string
}

func (x *exchange) post(ev decider.Event) decider.Effect { return x.server.cfg.Decider.Post(ev) }

// run carries out what the reducer decides until the request has its answer.
func (x *exchange) run(caller context.Context) {
	effect := x.post(decider.RequestArrived{
		Number: x.number, ID: x.req.ID, Host: x.req.Host, Path: x.req.Path, Key: x.req.Key,
		Deadline: x.req.Deadline, Prompt: x.req.Prompt,
	})
	for {
		switch e := effect.(type) {
		case decider.Refuse:
			x.refuse(e)
			return
		case decider.Deliver:
			x.writeResponse(x.fallback.reply, x.fallback.body)
			return
		case decider.Send:
			failed := x.attempt(caller, e)
			if failed == nil {
				return
			}
			if caller.Err() != nil {
				x.post(decider.CallerLeft{Number: x.number})
				panic(http.ErrAbortHandler)
			}
			effect = x.post(*failed)
		default:
			// The reducer knows the request no more; it must not look answered.
			panic(http.ErrAbortHandler)
		}
	}
}

// attempt sends the request to a target and passes the answer on. It returns nil
// when the caller has the whole answer.
func (x *exchange) attempt(caller context.Context, send decider.Send) *decider.AttemptFailed {
	ctx, cancel := context.WithTimeout(caller, send.Deadline.Sub(x.server.cfg.Clock.Now()))
	defer cancel()
	reply, failure := x.server.cfg.Forwarder.RoundTrip(ctx, send, x.req, x.body, x.lastEvent)
	if failure != nil {
		return x.attemptFailed(failure)
	}
	if send.Stream && reply.Success() {
		return x.forwardStream(ctx, reply, send)
	}
	return x.forwardWhole(ctx, reply, send.Repeatable)
}

func (x *exchange) attemptFailed(f *forwarder.Failure) *decider.AttemptFailed {
	return &decider.AttemptFailed{
		Number: x.number, Reason: f.Reason, Detail: f.Detail, NotRun: f.NotRun, Begun: x.headerSent, Weights: f.Weights,
	}
}

func (x *exchange) readFailed(ctx context.Context, err error) *decider.AttemptFailed {
	return x.attemptFailed(&forwarder.Failure{Reason: forwarder.ReasonOf(ctx, err), Detail: "read body: " + err.Error()})
}

// maxBufferedBody bounds an answer that is held until it is whole.
const maxBufferedBody = 4 << 20

// errTooLong reports an answer that is too long to be held.
var errTooLong = errors.New("the answer is too long")

// bufferedResponse is a whole answer that is held back while another target tries.
type bufferedResponse struct {
	reply *forwarder.Response
	body  []byte
}

// forwardWhole passes an answer on after all of it has come. The error of a target is
// kept at first if another target may do better.
func (x *exchange) forwardWhole(ctx context.Context, reply *forwarder.Response, repeatable bool) *decider.AttemptFailed {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		err = errTooLong
	}
	if err != nil {
		reply.Abort()
		return x.readFailed(ctx, err)
	}
	reply.Release()
	if x.headerSent {
		// A resumed stream must not go on with another kind of answer.
		return x.attemptFailed(&forwarder.Failure{Reason: decider.FailureBroken, Detail: "no stream to go on with", Weights: reply.Weights})
	}
	if repeatable && reply.Status >= http.StatusInternalServerError {
		x.fallback = &bufferedResponse{reply: reply, body: body}
		return x.attemptFailed(&forwarder.Failure{Reason: decider.FailureAnswered, Detail: http.StatusText(reply.Status), Weights: reply.Weights})
	}
	x.reportFirstPart(reply)
	x.post(decider.AttemptDone{Number: x.number, Status: reply.Status})
	x.writeResponse(reply, body)
	return nil
}

// writeResponse writes a whole answer.
func (x *exchange) writeResponse(reply *forwarder.Response, body []byte) {
	x.writeHeader(reply)
	_, _ = x.w.Write(body) // The answer is ready; whether the caller still waits changes nothing.
}

// reportFirstPart reports the first part of an answer.
func (x *exchange) reportFirstPart(reply *forwarder.Response) {
	if !x.headerSent {
		x.server.cfg.Meter.ObserveFirstPart(x.server.cfg.Clock.Now().Sub(x.began).Seconds())
	}
	x.post(decider.AnswerBegan{Number: x.number, Weights: reply.Weights})
}

// writeHeader copies the target's status and headers.
func (x *exchange) writeHeader(reply *forwarder.Response) {
	h := x.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Nothing is guessed for the target.
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	x.w.WriteHeader(reply.Status)
	x.headerSent = true
}

// refuse answers without a target. A caller that has a part of an answer sees its
// connection cut.
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

// statusOf returns the status of a refusal. 503 promises that the request never runs.
func statusOf(e decider.Refuse) int {
	switch {
	case e.Kind == decider.RefusalNoRoute:
		return http.StatusNotFound
	case e.Kind == decider.RefusalKey:
		return http.StatusUnauthorized
	case e.Kind == decider.RefusalDeadline:
		return http.StatusGatewayTimeout
	case e.NotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func writeRefusal(w http.ResponseWriter, id string, status int, retryAfter time.Duration) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	translator.SetRefusal(h, id, retryAfter)
	w.WriteHeader(status)
}
