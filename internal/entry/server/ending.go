package server

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
)

// ending says how a request ended.
type ending struct {
	outcome meter.Outcome
	// refusal is set when the caller got no whole answer.
	refusal *reducer.Refuse
}

// whole reports whether the caller got what it asked for.
func (e ending) whole() bool {
	return e.outcome == meter.OutcomeOK || e.outcome == meter.OutcomeReplayed
}

// begin starts to count and trace a request.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) *exchange {
	id := s.cfg.NewRequestID()
	ctx, trace := s.cfg.Tracer.Begin(r.Context(), id, r.Header)
	bounded, ok := w.(*writer)
	if !ok {
		bounded = newWriter(w, s.cfg.Clock, s.cfg.WriteTimeout)
	}
	return &exchange{
		server: s, id: id, w: bounded, ctx: ctx, count: s.cfg.Meter.Begin(id), trace: trace,
		ending: ending{outcome: meter.OutcomeCallerGone},
	}
}

// end counts the request, ends its spans, and logs it unless it was answered.
func (x *exchange) end() {
	if x.w.failed != nil {
		x.ending = ending{outcome: meter.OutcomeCallerGone}
	}
	x.count.End(x.ending.outcome)
	x.trace.End(string(x.ending.outcome), x.ending.whole())
	x.log()
}

// log tells of a request without a whole answer. Messages may repeat a part of
// the request, so that only kinds are logged.
func (x *exchange) log() {
	logger := x.server.cfg.Logger
	refusal := x.ending.refusal
	switch {
	case x.ending.whole():
	case refusal == nil:
		logger.Info("a caller left before its answer was whole", "request-id", string(x.id))
	case refusal.Kind == reducer.RefusalTargetFailed || refusal.Run != reducer.RunNot:
		logger.Warn("a request failed", "request-id", string(x.id), "kind", string(refusal.Kind), "run", string(refusal.Run), "retry-after", refusal.RetryAfter.String())
	default:
		logger.Info("a request was refused", "request-id", string(x.id), "kind", string(refusal.Kind), "run", string(refusal.Run), "retry-after", refusal.RetryAfter.String())
	}
}

// refuse ends the request without a whole answer.
func (x *exchange) refuse(e reducer.Refuse) {
	x.ending = ending{outcome: meter.Outcome(e.Kind), refusal: &e}
	x.runner.refuse(e)
}

// refuseMalformed answers a request that never reached the reducer.
func (x *exchange) refuseMalformed(err error) {
	status, kind := http.StatusBadRequest, KindInvalid
	var own *Error
	if errors.As(err, &own) && own.Kind == KindTooLarge {
		status, kind = http.StatusRequestEntityTooLarge, KindTooLarge
	}
	x.ending = ending{outcome: meter.Outcome(kind), refusal: &reducer.Refuse{Request: x.id, Kind: reducer.RefusalKind(kind), Run: reducer.RunNot}}
	writeError(x.w, status, x.id, ErrorBody{Kind: string(kind), Message: err.Error(), Run: string(reducer.RunNot)}, noRetry)
}

// noRetry tells a caller nothing about when to come back.
const noRetry time.Duration = 0
