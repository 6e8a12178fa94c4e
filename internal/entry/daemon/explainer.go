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
	peerside "cardamomscale.example/cardamomscale/internal/peer/describer"
)

// explainer tells operators what became of a request, also when a peer took it.
type explainer struct {
	peers  *peers
	around *surroundings
}

func newExplainer(p *peers, around *surroundings) *explainer {
	return &explainer{peers: p, around: around}
}

// maxExplainCalls bounds the peers that are asked at once.
const maxExplainCalls = 16

func (e *explainer) serve(w http.ResponseWriter, r *http.Request) {
	id := identifier.Request(mux.Vars(r)["request"])
	if explanation, found := explain(e.around, id); found {
		writeJSON(w, explanation)
		return
	}
	explanation, found := e.askPeers(r.Context(), id)
	if !found {
		http.Error(w, "the request is not known to this daemon or its peers", http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

// askPeers returns the explanation of the first peer that knows the request.
func (e *explainer) askPeers(ctx context.Context, id identifier.Request) (describer.Explanation, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var found *describer.Explanation
	var group errgroup.Group
	group.SetLimit(maxExplainCalls)
	for _, host := range e.peers.heardHosts() {
		if host == e.around.cfg.Settings.Host {
			continue
		}
		group.Go(func() error {
			explanation, ok := e.askPeer(ctx, host, id)
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
	_ = group.Wait() // The calls return no errors; a silent peer knows nothing.
	if found == nil {
		return describer.Explanation{}, false
	}
	return *found, true
}

func (e *explainer) askPeer(ctx context.Context, host identifier.Host, id identifier.Request) (describer.Explanation, bool) {
	var explanation describer.Explanation
	reply, err := e.around.peers.Explain(ctx, host, peerside.Explain{Request: id})
	if err != nil || !reply.Found {
		return explanation, false
	}
	if err := json.Unmarshal(reply.JSON, &explanation); err != nil {
		e.around.cfg.Logger.Warn("an explanation is malformed", "host", string(host), "error", err)
		return explanation, false
	}
	return explanation, true
}

// explain describes the steps of a request that this daemon remembers.
func explain(around *surroundings, id identifier.Request) (describer.Explanation, bool) {
	entries := around.recorder.Explain(id)
	if len(entries) == 0 {
		return describer.Explanation{}, false
	}
	explanation := describer.Explanation{RequestID: id, Host: around.cfg.Settings.Host}
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
