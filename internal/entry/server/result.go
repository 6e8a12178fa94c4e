package server

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
)

// result is how a request ended.
type result struct {
	outcome meter.Outcome
	// refusal is set if the request was refused or failed.
	refusal *reducer.Refuse
}

// succeeded reports whether the caller was sent a complete answer.
func (r result) succeeded() bool {
	return r.outcome == meter.OutcomeOK || r.outcome == meter.OutcomeReplayed
}

// beginExchange starts the metrics and the trace of a request. Until its result is
// known, the outcome is OutcomeCallerGone.
func (s *Server) beginExchange(w http.ResponseWriter, r *http.Request) *exchange {
	id := s.cfg.NewRequestID()
	ctx, trace := s.cfg.Tracer.Begin(r.Context(), id, r.Header)
	dw, ok := w.(*deadlineWriter)
	if !ok {
		dw = newDeadlineWriter(w, s.cfg.Clock, s.cfg.WriteTimeout)
	}
	return &exchange{
		server: s, id: id, w: dw, ctx: ctx, metrics: s.cfg.Meter.Begin(id), trace: trace,
		result: result{outcome: meter.OutcomeCallerGone},
	}
}

// end ends the request's metrics and trace, and logs it unless it succeeded. If
// writing to the caller failed, the caller counts as gone.
func (x *exchange) end() {
	if x.w.firstErr != nil {
		x.result = result{outcome: meter.OutcomeCallerGone}
	}
	x.metrics.End(x.result.outcome)
	x.trace.End(string(x.result.outcome), x.result.succeeded())
	x.log()
}

// log logs a request without a complete answer. It omits the refusal's message,
// which may quote a part of the request.
func (x *exchange) log() {
	logger := x.server.cfg.Logger
	refusal := x.result.refusal
	switch {
	case x.result.succeeded():
	case refusal == nil:
		logger.Info("caller disconnected before the answer was complete", "request-id", string(x.id))
	case refusal.Kind == reducer.RefusalTargetFailed || refusal.Run != reducer.RunStateNotRun:
		logger.Warn("request failed", "request-id", string(x.id), "kind", string(refusal.Kind), "run", string(refusal.Run), "retry-after", refusal.RetryAfter.String())
	default:
		logger.Info("request refused", "request-id", string(x.id), "kind", string(refusal.Kind), "run", string(refusal.Run), "retry-after", refusal.RetryAfter.String())
	}
}

// refuse ends the request with an error.
func (x *exchange) refuse(e reducer.Refuse) {
	x.result = result{outcome: meter.Outcome(e.Kind), refusal: &e}
	x.responder.writeRefusal(e)
}

// refuseMalformed refuses a request that is not passed to the reducer. All errors
// other than KindTooLarge are reported as KindInvalid.
func (x *exchange) refuseMalformed(err error) {
	status, kind := http.StatusBadRequest, KindInvalid
	var own *Error
	if errors.As(err, &own) && own.Kind == KindTooLarge {
		status, kind = http.StatusRequestEntityTooLarge, KindTooLarge
	}
	x.result = result{outcome: meter.Outcome(kind), refusal: &reducer.Refuse{Request: x.id, Kind: reducer.RefusalKind(kind), Run: reducer.RunStateNotRun}}
	writeError(x.w, status, x.id, ErrorBody{Kind: string(kind), Message: err.Error(), Run: string(reducer.RunStateNotRun)}, noRetryAfter)
}

// noRetryAfter omits the retry time from an error response.
const noRetryAfter time.Duration = 0
