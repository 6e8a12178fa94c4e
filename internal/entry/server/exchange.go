package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/hasher"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
	"cardamomscale.example/cardamomscale/internal/target/caller"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// exchange is one request of a caller and the response to it.
type exchange struct {
	server *Server
	id     identifier.Request
	w      *deadlineWriter
	// ctx ends when the caller disconnects. It carries the request's span.
	ctx     context.Context
	metrics *meter.Request
	trace   *tracer.Request
	result  result
	// importedBlocks is the number of cache blocks imported for the request.
	importedBlocks int
	claim          reducer.Claim
	// answer is the answer of a plain service, which may be recorded or replayed.
	answer    caller.Response
	responder responder
}

// responder is the part of an exchange that differs between prompts and calls of
// plain services.
type responder interface {
	// run makes one attempt and returns its final event.
	run(context.Context, reducer.Start) reducer.Event
	// writeAnswer completes the response with the answer.
	writeAnswer()
	// writeRefusal completes the response with an error.
	writeRefusal(reducer.Refuse)
}

// bearerHash returns the hash of the caller's API key, which is sent as a bearer
// token, or "" if there is none.
func bearerHash(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}
	return hasher.HashKey(key)
}

// newArrivalEvent returns the event for a request's arrival with the fields that are
// read from the headers common to all requests.
func (s *Server) newArrivalEvent(r *http.Request, id identifier.Request) (reducer.RequestArrived, error) {
	ev := reducer.RequestArrived{
		Request:        id,
		KeyHash:        bearerHash(r),
		Class:          identifier.Class(r.Header.Get(messenger.HeaderClass)),
		IdempotencyKey: r.Header.Get(messenger.HeaderIdempotencyKey),
	}
	if len(ev.IdempotencyKey) > maxIdempotencyKeyBytes {
		return ev, newInvalidError("header %s has %d bytes, at most %d are allowed", messenger.HeaderIdempotencyKey, len(ev.IdempotencyKey), maxIdempotencyKeyBytes)
	}
	if text := r.Header.Get(messenger.HeaderDeadline); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return ev, newInvalidError("header %s is %q, want a positive duration such as 5s", messenger.HeaderDeadline, text)
		}
		ev.Timeout = timeout
	}
	return ev, nil
}

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// newInvalidError returns the Error for a malformed request. Its text is sent to the
// caller.
func newInvalidError(format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: "read request", Kind: KindInvalid, Err: errors.Newf(format, args...)}}
}

// serve posts the request to the reducer and carries out the resulting effects until
// the request has ended.
func (x *exchange) serve(ev reducer.RequestArrived) {
	red := x.server.cfg.Reducer
	effects := red.Register(x.id)
	defer red.Unregister(x.id)
	x.w.Header().Set(messenger.HeaderRequest, string(x.id))
	red.Post(ev)
	callerGone := x.ctx.Done()
	for {
		select {
		case effect := <-effects:
			if x.perform(effect) {
				return
			}
		case <-callerGone:
			callerGone = nil
			red.Post(reducer.CallerDisconnected{Request: x.id})
			if !x.hasPendingEffect(effects) {
				return
			}
		case <-red.Done():
			x.refuse(reducer.Refuse{Request: x.id, Kind: reducer.RefusalNotReady, Message: "the daemon has stopped", Run: reducer.RunStateUnknown})
			return
		}
	}
}

// hasPendingEffect reports whether an effect was delivered but not carried out when
// the caller disconnected. It must still be carried out.
func (x *exchange) hasPendingEffect(effects <-chan reducer.Effect) bool { return len(effects) > 0 }

// perform carries out one effect and reports whether the request has ended.
func (x *exchange) perform(effect reducer.Effect) bool {
	switch effect := effect.(type) {
	case reducer.Lookup:
		x.lookup(effect)
	case reducer.Import:
		x.importBlocks(effect)
	case reducer.Claim:
		x.claimRequest(effect)
	case reducer.Start:
		x.runAttempt(effect)
	case reducer.RecordAnswer:
		x.recordAnswer()
	case reducer.Replay:
		x.result = result{outcome: meter.OutcomeReplayed}
		x.responder.writeAnswer()
		return true
	case reducer.Finish:
		x.result = result{outcome: meter.OutcomeOK}
		x.responder.writeAnswer()
		return true
	case reducer.Refuse:
		x.refuse(effect)
		return true
	}
	return false
}

// attemptContext returns the context of attempts, which ends when the caller
// disconnects. That of a claimed request does not, because its answer must be
// recorded in any case.
func (x *exchange) attemptContext() context.Context {
	if x.claim.Request != "" {
		return context.WithoutCancel(x.ctx)
	}
	return x.ctx
}

// claimRequest claims the request by its idempotency key and posts the outcome. It
// goes on if the caller disconnects.
func (x *exchange) claimRequest(e reducer.Claim) {
	x.claim = e
	ctx, span := x.trace.StartClaim(context.WithoutCancel(x.ctx))
	outcome, answer := x.server.cfg.Claims.Claim(ctx, e)
	span.End("", tracer.KeyOutcome.String(string(outcome)))
	x.answer = answer
	x.server.cfg.Reducer.Post(reducer.ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
}

// recordAnswer stores the answer of a claimed request, even if the caller has
// disconnected.
func (x *exchange) recordAnswer() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), recordTimeout)
	defer cancel()
	x.server.cfg.Claims.Record(ctx, x.claim, x.answer)
}
