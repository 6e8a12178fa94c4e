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

// operators is the server that operators and the metrics collector reach.
type operators struct{ listening }

// operatorSide answers operators.
type operatorSide struct {
	cfg       Config
	exec      *executor.Executor
	peers     *peers
	around    *surroundings
	readiness *Readiness
	platform  *contact
	explainer *explainer
}

func newOperators(cfg Config, exec *executor.Executor, p *peers, around *surroundings, ready *Readiness, platform *contact, registry *prometheus.Registry, secured *certificates, asked *explainer) (*operators, error) {
	listener, err := cfg.Listen(cfg.Settings.OperatorListen)
	if err != nil {
		return nil, newError("listen for operators", KindListen, err)
	}
	side := &operatorSide{cfg: cfg, exec: exec, peers: p, around: around, readiness: ready, platform: platform, explainer: asked}
	router := mux.NewRouter()
	router.HandleFunc(describer.PathStatus, side.status).Methods(http.MethodGet)
	router.HandleFunc(describer.PathExplain+"{request}", side.explainer.serve).Methods(http.MethodGet)
	router.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})).Methods(http.MethodGet)
	return &operators{listening{
		listener: secured.secureOperators(listener),
		http: &http.Server{
			Handler:           http.MaxBytesHandler(router, operatorBodyBytes),
			ReadTimeout:       operatorReadTimeout,
			ReadHeaderTimeout: operatorReadTimeout,
			WriteTimeout:      operatorWriteTimeout,
			IdleTimeout:       operatorIdleTime,
			MaxHeaderBytes:    operatorHeaderBytes,
			ErrorLog:          cfg.Logger.Named("operators").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		},
	}}, nil
}

// Bounds of an operator's request and its answer.
const (
	operatorReadTimeout  = 10 * time.Second
	operatorWriteTimeout = 30 * time.Second
	operatorIdleTime     = time.Minute
	operatorHeaderBytes  = 16 << 10
	operatorBodyBytes    = 4 << 10
	// maxScrapes bounds the collections of metrics at once.
	maxScrapes = 4
)

func (o *operatorSide) status(w http.ResponseWriter, r *http.Request) {
	var state reducer.Status
	var fleet specifier.Fleet
	now := o.cfg.Clock.Now()
	err := o.exec.Inspect(r.Context(), func(s *reducer.State) {
		state = s.Status(now)
		fleet = s.Fleet()
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	status := describer.Status{
		Host: o.cfg.Settings.Host, DataCentre: o.cfg.Settings.DataCentre,
		ConfigVersion: state.ConfigVersion, Ready: o.readiness.Ready(), Leaving: o.readiness.leaving.Load(),
		Platform: o.platform.describe(), InFlight: state.InFlight,
	}
	for _, t := range state.Targets {
		status.Targets = append(status.Targets, describeTarget(t))
	}
	status.Peers = o.peers.describe()
	status.DataCentres = o.describeCentres(fleet, status.Peers)
	writeJSON(w, status)
}

func describeTarget(t reducer.TargetStatus) describer.Target {
	return describer.Target{
		Name: t.Target, State: t.State, Incarnation: t.Incarnation, Cold: t.Cold,
		ColdLimitInForce: t.Limit, Running: t.Load, Age: specifier.Duration{Duration: t.Age}, Owner: t.Owner,
	}
}

func (o *operatorSide) describeCentres(fleet specifier.Fleet, heard []describer.Peer) []describer.DataCentre {
	reachable := map[identifier.DataCentre]bool{o.cfg.Settings.DataCentre: true}
	for _, peer := range heard {
		if peer.HeardAge.Duration < reachableAge {
			reachable[fleet.Hosts[peer.Host].DataCentre] = true
		}
	}
	var list []describer.DataCentre
	for _, name := range slices.Sorted(maps.Keys(fleet.DataCentres)) {
		list = append(list, describer.DataCentre{Name: name, State: fleet.DataCentres[name].State, Reachable: reachable[name]})
	}
	return list
}

// reachableAge is the age of a peer's heartbeat up to which it counts as reachable.
const reachableAge = 5 * time.Second

// describe lists the peers that were heard.
func (p *peers) describe() []describer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []describer.Peer
	for _, host := range slices.Sorted(maps.Keys(p.heard)) {
		age := p.around.clock.Since(p.heard[host])
		list = append(list, describer.Peer{Host: host, HeardAge: specifier.Duration{Duration: age}, ConfigVersion: p.versions[host]})
	}
	return list
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
