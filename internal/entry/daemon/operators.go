package daemon

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/executor"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
)

// operatorServer serves operators and the scrapes of metrics.
type operatorServer struct{ httpServer }

// operatorHandler handles the requests of operators.
type operatorHandler struct {
	cfg       Config
	exec      *executor.Executor
	peers     *peerHandler
	effects   *effectHandler
	readiness *Readiness
	platform  *monitoredStore
	explainer *explainer
}

func newOperatorServer(cfg Config, exec *executor.Executor, p *peerHandler, effects *effectHandler, ready *Readiness, platform *monitoredStore, registry *prometheus.Registry, certs *certificates, ex *explainer) (*operatorServer, error) {
	listener, err := cfg.Listen(cfg.Settings.OperatorListen)
	if err != nil {
		return nil, newError("listen for operators", KindListen, err)
	}
	h := &operatorHandler{cfg: cfg, exec: exec, peers: p, effects: effects, readiness: ready, platform: platform, explainer: ex}
	router := mux.NewRouter()
	router.HandleFunc(describer.PathStatus, h.status).Methods(http.MethodGet)
	router.HandleFunc(describer.PathExplain+"{request}", h.explainer.serve).Methods(http.MethodGet)
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})).Methods(http.MethodGet)
	return &operatorServer{newHTTPServer(certs.wrapOperators(listener), &http.Server{
		Handler:           http.MaxBytesHandler(router, operatorBodyBytes),
		ReadTimeout:       operatorReadTimeout,
		ReadHeaderTimeout: operatorReadTimeout,
		WriteTimeout:      operatorWriteTimeout,
		IdleTimeout:       operatorIdleTimeout,
		MaxHeaderBytes:    operatorHeaderBytes,
		ErrorLog:          cfg.Logger.Named("operators").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	})}, nil
}

// Limits of an operator's request and its response.
const (
	operatorReadTimeout  = 10 * time.Second
	operatorWriteTimeout = 30 * time.Second
	operatorIdleTimeout  = time.Minute
	operatorHeaderBytes  = 16 << 10
	operatorBodyBytes    = 4 << 10
	// maxScrapes limits the concurrent scrapes of metrics.
	maxScrapes = 4
)

func (h *operatorHandler) status(w http.ResponseWriter, r *http.Request) {
	var state reducer.Status
	var fleet specifier.Fleet
	now := h.cfg.Clock.Now()
	err := h.exec.Inspect(r.Context(), func(s *reducer.State) {
		state = s.Status(now)
		fleet = s.Fleet()
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	status := describer.Status{
		Host: h.cfg.Settings.Host, DataCentre: h.cfg.Settings.DataCentre,
		ConfigVersion: state.ConfigVersion, Ready: h.readiness.Ready(), Leaving: h.readiness.leaving.Load(),
		Platform: h.platform.describe(), InFlight: state.InFlight,
	}
	for _, t := range state.Targets {
		status.Targets = append(status.Targets, describeTarget(t))
	}
	status.Peers = h.peers.describe()
	status.DataCentres = h.describeDataCentres(fleet, status.Peers)
	writeJSON(w, status)
}

func describeTarget(t reducer.TargetStatus) describer.Target {
	return describer.Target{
		Name: t.Target, State: t.State, Incarnation: t.Incarnation, Cold: t.Cold,
		LimitInForce: t.Limit, Running: t.Load, Queued: t.Queued, Age: specifier.Duration{Duration: t.Age}, Owner: t.Owner,
	}
}

func (h *operatorHandler) describeDataCentres(fleet specifier.Fleet, peers []describer.Peer) []describer.DataCentre {
	reachable := map[identifier.DataCentre]bool{h.cfg.Settings.DataCentre: true}
	for _, peer := range peers {
		if peer.HeartbeatAge.Duration < maxReachablePeerAge {
			reachable[fleet.Hosts[peer.Host].DataCentre] = true
		}
	}
	var list []describer.DataCentre
	for _, name := range slices.Sorted(maps.Keys(fleet.DataCentres)) {
		list = append(list, describer.DataCentre{Name: name, State: fleet.DataCentres[name].State, Reachable: reachable[name]})
	}
	return list
}

// maxReachablePeerAge is how old a peer's last heartbeat may be while its data
// centre still counts as reachable.
const maxReachablePeerAge = 5 * time.Second

// describe lists the peers that have sent a heartbeat.
func (p *peerHandler) describe() []describer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []describer.Peer
	for _, host := range slices.Sorted(maps.Keys(p.lastHeartbeat)) {
		age := p.effects.clock.Since(p.lastHeartbeat[host])
		list = append(list, describer.Peer{Host: host, HeartbeatAge: specifier.Duration{Duration: age}, ConfigVersion: p.configVersions[host]})
	}
	return list
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
