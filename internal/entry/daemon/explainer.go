package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	peerdescriber "cardamomscale.example/cardamomscale/internal/peer/describer"
)

// explainer returns the recorded steps of a request to operators. It queries
// peers for requests that this daemon has not handled.
type explainer struct {
	peers   *peerHandler
	effects *effectHandler
}

func newExplainer(p *peerHandler, effects *effectHandler) *explainer {
	return &explainer{peers: p, effects: effects}
}

// maxConcurrentExplains limits the concurrent calls to peers.
const maxConcurrentExplains = 16

func (e *explainer) serve(w http.ResponseWriter, r *http.Request) {
	id := identifier.Request(mux.Vars(r)["request"])
	if explanation, found := explain(e.effects, id); found {
		writeJSON(w, explanation)
		return
	}
	explanation, found := e.explainFromPeers(r.Context(), id)
	if !found {
		http.Error(w, "the request is not known to this daemon or its peers", http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

// explainFromPeers queries the live peers and cancels the remaining calls as soon as
// one returns an explanation.
func (e *explainer) explainFromPeers(ctx context.Context, id identifier.Request) (describer.Explanation, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var found *describer.Explanation
	var group errgroup.Group
	group.SetLimit(maxConcurrentExplains)
	for _, host := range e.peers.allLiveHosts() {
		if host == e.effects.cfg.Settings.Host {
			continue
		}
		group.Go(func() error {
			explanation, ok := e.explainFromPeer(ctx, host, id)
			if !ok {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			found = &explanation
			cancel()
			return nil
		})
	}
	_ = group.Wait() // A failed call counts as an unknown request.
	if found == nil {
		return describer.Explanation{}, false
	}
	return *found, true
}

func (e *explainer) explainFromPeer(ctx context.Context, host identifier.Host, id identifier.Request) (describer.Explanation, bool) {
	var explanation describer.Explanation
	reply, err := e.effects.exchanger.Explain(ctx, host, peerdescriber.Explain{Request: id})
	if err != nil || !reply.Found {
		return explanation, false
	}
	if err := json.Unmarshal(reply.JSON, &explanation); err != nil {
		e.effects.cfg.Logger.Warn("malformed explanation", "host", string(host), "error", err)
		return explanation, false
	}
	return explanation, true
}

// explain returns the steps of a request that this daemon has recorded.
func explain(effects *effectHandler, id identifier.Request) (describer.Explanation, bool) {
	entries := effects.recorder.Explain(id)
	if len(entries) == 0 {
		return describer.Explanation{}, false
	}
	explanation := describer.Explanation{RequestID: id, Host: effects.cfg.Settings.Host}
	for _, e := range entries {
		var parts []string
		if e.Target != "" {
			parts = append(parts, "target "+string(e.Target))
		}
		if e.Detail != "" {
			parts = append(parts, e.Detail)
		}
		explanation.Steps = append(explanation.Steps, describer.Step{At: e.At, Kind: string(e.Step), Detail: strings.Join(parts, ": ")})
	}
	return explanation, true
}
