package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// queryAfter is the query parameter of PathEvents.
const queryAfter = "after"

func (e *Engine) router() *mux.Router {
	router := mux.NewRouter()
	router.HandleFunc(messenger.PathGenerate, e.handleGenerate).Methods("POST")
	router.HandleFunc(messenger.PathCancel, e.handleCancel).Methods("POST")
	router.HandleFunc(messenger.PathImport, e.handleImport).Methods("POST")
	router.HandleFunc(messenger.PathExport, e.handleExport).Methods("POST")
	router.HandleFunc(messenger.PathOrder, e.handleOrder).Methods("POST")
	router.HandleFunc(messenger.PathLoad, e.handleLoad).Methods("GET")
	router.HandleFunc(messenger.PathEvents, e.handleEvents).Methods("GET")
	router.Handle(server.PathFaults, server.FaultHandler(e.Apply)).Methods("POST")
	router.Handle(server.PathStats, server.StatsHandler(e.Stats)).Methods("GET")
	return router
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req messenger.GenerateRequest
	if !e.decode(w, r, &req) {
		return
	}
	admitted, err, ok := e.admit(req)
	if !ok {
		e.crash()
		server.Abort(r)
	}
	if err != nil {
		e.refuseError(w, err)
		return
	}
	s := stream{engine: e, run: admitted, w: w, r: r, sent: req.ResumeOffset}
	s.serve()
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req messenger.CancelRequest
	if !e.decode(w, r, &req) {
		return
	}
	if !e.Cancel(req) {
		e.refuseError(w, newError("cancel", KindNotFound, errors.Newf("request %q attempt %d is not here", req.RequestID, req.Attempt)))
		return
	}
	server.SetIncarnation(w, e.warmer.Incarnation())
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req messenger.ImportRequest
	if e.decode(w, r, &req) {
		e.answer(w, e.Import(r.Context(), req))
	}
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req messenger.ExportRequest
	if e.decode(w, r, &req) {
		e.answer(w, e.Export(r.Context(), req))
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order messenger.Order
	if e.decode(w, r, &order) {
		e.answer(w, e.Order(order))
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.record()
	report := e.reports.Latest(e.cfg.Clock.Now())
	e.mu.Unlock()
	e.answer(w, report)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(queryAfter), 10, 64)
	if err != nil && r.URL.Query().Has(queryAfter) {
		e.refuseError(w, newError("read query", KindInvalid, errors.Wrapf(err, "query parameter %q", queryAfter)))
		return
	}
	e.mu.Lock()
	events := messenger.CacheEvents{
		Incarnation: e.warmer.Incarnation(),
		Events:      e.events.after(e.cfg.Clock.Now(), after),
	}
	e.mu.Unlock()
	e.answer(w, events)
}

// Cancel ends a run and returns false when it is not there.
func (e *Engine) Cancel(req messenger.CancelRequest) bool {
	attempt := (&run{req: messenger.GenerateRequest{RequestID: req.RequestID, Attempt: req.Attempt}}).attempt()
	e.mu.Lock()
	r, ok := e.runs[attempt]
	e.mu.Unlock()
	if ok {
		e.end(r, endingCancelled)
	}
	return ok
}

func (e *Engine) answer(w http.ResponseWriter, v any) {
	server.SetIncarnation(w, e.warmer.Incarnation())
	server.WriteJSON(w, http.StatusOK, v)
}

func (e *Engine) decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(r.Body).Decode(v)
	if err != nil {
		e.refuseError(w, newError("read request", KindInvalid, err))
	}
	return err == nil
}

// refuseError refuses a request of which nothing has run.
func (e *Engine) refuseError(w http.ResponseWriter, err error) {
	kind := KindInvalid
	var own *Error
	if errors.As(err, &own) {
		kind = own.Kind
	}
	e.refuseRun(w, kind, err.Error(), messenger.RunNot)
}

func (e *Engine) refuseRun(w http.ResponseWriter, kind Kind, message string, state messenger.Run) {
	refusal := messenger.Refusal{Kind: string(kind), Message: message, Run: state, Incarnation: e.warmer.Incarnation()}
	server.Refuse(w, statusOf(kind), refusal)
}

func statusOf(kind Kind) int {
	switch kind {
	case KindInvalid:
		return http.StatusBadRequest
	case KindNotFound:
		return http.StatusNotFound
	case KindWrongIncarnation:
		return http.StatusMisdirectedRequest
	case KindWrongVersion, KindCancelled:
		return http.StatusConflict
	case KindDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
