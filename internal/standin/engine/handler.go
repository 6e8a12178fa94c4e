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

// queryAfter is the query parameter of PathEvents with the last sequence number
// that the client has received.
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
	if !e.decodeBody(w, r, &req) {
		return
	}
	admitted, err, ok := e.admit(req)
	if !ok {
		e.dropConnections()
		server.Abort(r)
	}
	if err != nil {
		e.writeError(w, err)
		return
	}
	s := stream{engine: e, run: admitted, w: w, r: r, sent: req.ResumeOffset}
	s.serve()
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req messenger.CancelRequest
	if !e.decodeBody(w, r, &req) {
		return
	}
	if !e.Cancel(req) {
		e.writeError(w, newError("cancel", KindNotFound, errors.Newf("request %q attempt %d is not here", req.RequestID, req.Attempt)))
		return
	}
	server.SetIncarnationHeader(w, e.warmer.Incarnation())
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req messenger.ImportRequest
	if e.decodeBody(w, r, &req) {
		e.writeResult(w, e.Import(r.Context(), req))
	}
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req messenger.ExportRequest
	if e.decodeBody(w, r, &req) {
		e.writeResult(w, e.Export(r.Context(), req))
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order messenger.Order
	if e.decodeBody(w, r, &order) {
		e.writeResult(w, e.Order(order))
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.recordLoad()
	report := e.reports.Published(e.cfg.Clock.Now())
	e.mu.Unlock()
	e.writeResult(w, report)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(queryAfter), 10, 64)
	if err != nil && r.URL.Query().Has(queryAfter) {
		e.writeError(w, newError("read query", KindInvalid, errors.Wrapf(err, "query parameter %q", queryAfter)))
		return
	}
	e.mu.Lock()
	events := messenger.CacheEvents{
		Incarnation: e.warmer.Incarnation(),
		Events:      e.events.publishedAfter(e.cfg.Clock.Now(), after),
	}
	e.mu.Unlock()
	e.writeResult(w, events)
}

// Cancel ends the run of an attempt. It returns false if there is no such run.
func (e *Engine) Cancel(req messenger.CancelRequest) bool {
	id := (&run{req: messenger.GenerateRequest{RequestID: req.RequestID, Attempt: req.Attempt}}).attemptID()
	e.mu.Lock()
	r, ok := e.runs[id]
	e.mu.Unlock()
	if ok {
		e.endRun(r, endCancelled)
	}
	return ok
}

func (e *Engine) writeResult(w http.ResponseWriter, v any) {
	server.SetIncarnationHeader(w, e.warmer.Incarnation())
	server.WriteJSON(w, http.StatusOK, v)
}

func (e *Engine) decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(r.Body).Decode(v)
	if err != nil {
		e.writeError(w, newError("read request", KindInvalid, err))
	}
	return err == nil
}

// writeError writes a refusal for a request that has not run.
func (e *Engine) writeError(w http.ResponseWriter, err error) {
	kind := KindInvalid
	var own *Error
	if errors.As(err, &own) {
		kind = own.Kind
	}
	e.writeRefusal(w, kind, err.Error(), messenger.RunStateNotRun)
}

func (e *Engine) writeRefusal(w http.ResponseWriter, kind Kind, message string, state messenger.RunState) {
	refusal := messenger.Refusal{Kind: string(kind), Message: message, Run: state, Incarnation: e.warmer.Incarnation()}
	server.WriteRefusal(w, httpStatus(kind), refusal)
}

func httpStatus(kind Kind) int {
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
