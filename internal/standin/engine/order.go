package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/supplier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// weights holds what is loaded and what the last order wants. The Engine guards it.
type weights struct {
	loaded  []messenger.LoadedWeights
	wanted  []messenger.LoadedWeights
	loading map[weightsKey]bool
}

type weightsKey struct {
	model   identifier.Model
	version identifier.WeightVersion
}

func keyOf(l messenger.LoadedWeights) weightsKey {
	return weightsKey{model: l.Model, version: l.Version}
}

// has reports whether a request can run on the loaded weights.
func (w *weights) has(model identifier.Model, adapter identifier.Adapter, version identifier.WeightVersion) bool {
	i := find(w.loaded, weightsKey{model: model, version: version})
	return i >= 0 && (adapter == "" || slices.Contains(w.loaded[i].Adapters, adapter))
}

// missing lists the wanted weights that are neither loaded nor loading.
func (w *weights) missing() []weightsKey {
	var keys []weightsKey
	for _, l := range w.wanted {
		key := keyOf(l)
		if find(w.loaded, key) < 0 && !w.loading[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// swap adopts the adapters of the wanted weights that are loaded. When all are
// loaded, it drops the others.
func (w *weights) swap() {
	loaded := slices.Clone(w.loaded)
	whole := true
	for _, l := range w.wanted {
		i := find(loaded, keyOf(l))
		if i < 0 {
			whole = false
			continue
		}
		loaded[i].Adapters = l.Adapters
	}
	if whole {
		loaded = slices.DeleteFunc(loaded, func(l messenger.LoadedWeights) bool { return find(w.wanted, keyOf(l)) < 0 })
	}
	w.loaded = loaded
}

// loadEnded adds weights whose load has ended, if they are still wanted.
func (w *weights) loadEnded(key weightsKey, loaded bool) {
	delete(w.loading, key)
	if loaded && find(w.wanted, key) >= 0 {
		w.loaded = append(slices.Clone(w.loaded), messenger.LoadedWeights{Model: key.model, Version: key.version})
	}
	w.swap()
}

func find(list []messenger.LoadedWeights, key weightsKey) int {
	return slices.IndexFunc(list, func(l messenger.LoadedWeights) bool { return keyOf(l) == key })
}

// Order takes an order and starts the loads that it needs. The answer doesn't
// wait for them; load reports tell when the weights are loaded.
func (e *Engine) Order(order messenger.Order) messenger.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	if e.cfg.ChecksFence && order.Fence < e.fence {
		e.stats.StaleOrders++
		message := fmt.Sprintf("fencing number %d is below %d", order.Fence, e.fence)
		return messenger.OrderResult{Message: message, Fence: e.fence}
	}
	e.fence = max(e.fence, order.Fence)
	e.role = order.Role
	e.weights.wanted = slices.Clone(order.Weights)
	e.weights.swap()
	for _, key := range e.weights.missing() {
		e.weights.loading[key] = true
		e.group.Go(func() { e.loadWeights(key) })
	}
	e.schedule()
	e.record()
	return messenger.OrderResult{Accepted: true, Fence: e.fence}
}

func (e *Engine) loadWeights(key weightsKey) {
	err := e.loader.Load(e.ctx, key.model, key.version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.loadEnded(key, err == nil)
	if err != nil {
		e.stats.WeightFailures++
	} else {
		e.stats.WeightLoads++
	}
	e.schedule()
	e.record()
}

// timedLoader loads weights in a fixed time.
type timedLoader struct {
	clock clockwork.Clock
	time  time.Duration
}

var _ WeightLoader = timedLoader{}

// Load waits for the fixed time.
func (l timedLoader) Load(ctx context.Context, _ identifier.Model, _ identifier.WeightVersion) error {
	if !sleep(ctx, l.clock, l.time) {
		return newError("load weights", KindWeights, ctx.Err())
	}
	return nil
}

// storeLoader loads weights from a weight store.
type storeLoader struct {
	client *http.Client
	store  string
}

var _ WeightLoader = storeLoader{}

// Load gets the weights over HTTP.
func (l storeLoader) Load(ctx context.Context, model identifier.Model, version identifier.WeightVersion) error {
	address := "http://" + l.store + supplier.PathWeights + url.PathEscape(string(model)) + "/" + url.PathEscape(string(version))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return newError("load weights", KindWeights, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return newError("load weights", KindWeights, err)
	}
	defer drain(resp.Body)
	if resp.StatusCode/100 != 2 {
		return newError("load weights", KindWeights, errors.Newf("weight store %s answered %s", l.store, resp.Status))
	}
	return nil
}

// sleep waits for d and returns false when ctx ends before.
func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
