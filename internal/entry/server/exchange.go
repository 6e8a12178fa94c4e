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

// exchange is one caller's request and its answer.
type exchange struct {
	server *Server
	id     identifier.Request
	w      *writer
	// ctx ends when the caller leaves. It carries the request's span.
	ctx   context.Context
	count *meter.Request
	trace *tracer.Request
	// ending says how the request ended.
	ending ending
	// imported is the number of blocks imported for the request.
	imported int
	claim    reducer.Claim
	// answer is the answer of a plain service, to be recorded or replayed.
	answer caller.Answer
	runner runner
}

// runner is the part of an exchange that depends on the service's kind.
type runner interface {
	// run makes one attempt.
	run(context.Context, reducer.Start) reducer.Event
	// finish ends the answer as whole.
	finish()
	// refuse ends the answer with an error.
	refuse(reducer.Refuse)
}

// bearerHash returns the hash of the caller's bearer key, or "".
func bearerHash(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return ""
	}
	return hasher.HashKey(key)
}

// arrival reads the headers that all requests share.
func (s *Server) arrival(r *http.Request, id identifier.Request) (reducer.RequestArrived, error) {
	ev := reducer.RequestArrived{
		Request:        id,
		KeyHash:        bearerHash(r),
		Class:          identifier.Class(r.Header.Get(messenger.HeaderClass)),
		IdempotencyKey: r.Header.Get(messenger.HeaderIdempotencyKey),
	}
	if len(ev.IdempotencyKey) > maxIdempotencyKey {
		return ev, invalid("header %s has %d bytes, at most %d are allowed", messenger.HeaderIdempotencyKey, len(ev.IdempotencyKey), maxIdempotencyKey)
	}
	if text := r.Header.Get(messenger.HeaderDeadline); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return ev, invalid("header %s is %q, want a positive duration such as 5s", messenger.HeaderDeadline, text)
		}
		ev.Timeout = timeout
	}
	return ev, nil
}

// maxIdempotencyKey bounds an idempotency key, in bytes.
const maxIdempotencyKey = 256

func invalid(format string, args ...any) error {
	return &Error{failer.Detail[Kind]{Op: "read request", Kind: KindInvalid, Err: errors.Newf(format, args...)}}
}

// serve hands the request to the reducer and carries out its effects until the
// request has ended.
func (x *exchange) serve(ev reducer.RequestArrived) {
	reducerSide := x.server.cfg.Reducer
	effects := reducerSide.Register(x.id)
	defer reducerSide.Unregister(x.id)
	x.w.Header().Set(messenger.HeaderRequest, string(x.id))
	reducerSide.Post(ev)
	gone := x.ctx.Done()
	for {
		select {
		case effect := <-effects:
			if x.perform(effect) {
				return
			}
		case <-gone:
			gone = nil
			reducerSide.Post(reducer.CallerGone{Request: x.id})
			if !x.drain(effects) {
				return
			}
		case <-reducerSide.Ended():
			x.refuse(reducer.Refuse{Request: x.id, Kind: reducer.RefusalNotReady, Message: "the daemon has stopped", Run: reducer.RunUnknown})
			return
		}
	}
}

// drain reports whether an effect was on its way when the caller left; it must
// still be carried out.
func (x *exchange) drain(effects <-chan reducer.Effect) bool { return len(effects) > 0 }

// perform carries out one effect and reports whether the request has ended.
func (x *exchange) perform(effect reducer.Effect) bool {
	switch effect := effect.(type) {
	case reducer.Lookup:
		x.lookup(effect)
	case reducer.Import:
		x.fetch(effect)
	case reducer.Claim:
		x.settle(effect)
	case reducer.Start:
		x.attempt(effect)
	case reducer.RecordAnswer:
		x.record()
	case reducer.Replay:
		x.ending = ending{outcome: meter.OutcomeReplayed}
		x.runner.finish()
		return true
	case reducer.Finish:
		x.ending = ending{outcome: meter.OutcomeOK}
		x.runner.finish()
		return true
	case reducer.Refuse:
		x.refuse(effect)
		return true
	}
	return false
}

// attemptContext ends with the caller, except for a claimed request, whose
// answer must be recorded in any case.
func (x *exchange) attemptContext() context.Context {
	if x.claim.Request != "" {
		return context.WithoutCancel(x.ctx)
	}
	return x.ctx
}

func (x *exchange) settle(e reducer.Claim) {
	x.claim = e
	ctx, span := x.trace.StartClaim(context.WithoutCancel(x.ctx))
	outcome, answer := x.server.cfg.Claims.Claim(ctx, e)
	span.End("", tracer.KeyOutcome.String(string(outcome)))
	x.answer = answer
	x.server.cfg.Reducer.Post(reducer.ClaimSettled{Request: e.Request, Team: e.Team, IdempotencyKey: e.IdempotencyKey, Outcome: outcome})
}

func (x *exchange) record() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), recordTimeout)
	defer cancel()
	x.server.cfg.Claims.Record(ctx, x.claim, x.answer)
}
