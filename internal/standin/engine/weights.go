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

// weights holds the loaded weights and those that the last order requires.
// Engine.mu guards it.
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

// has reports whether the weights and the adapter, if any, are loaded.
func (w *weights) has(model identifier.Model, adapter identifier.Adapter, version identifier.WeightVersion) bool {
	i := indexOf(w.loaded, weightsKey{model: model, version: version})
	return i >= 0 && (adapter == "" || slices.Contains(w.loaded[i].Adapters, adapter))
}

// missing returns the wanted weights that are neither loaded nor being loaded.
func (w *weights) missing() []weightsKey {
	var keys []weightsKey
	for _, l := range w.wanted {
		key := keyOf(l)
		if indexOf(w.loaded, key) < 0 && !w.loading[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// applyWanted updates the adapters of the loaded weights that are wanted. Once all
// wanted weights are loaded, it unloads the others.
func (w *weights) applyWanted() {
	loaded := slices.Clone(w.loaded)
	allLoaded := true
	for _, l := range w.wanted {
		i := indexOf(loaded, keyOf(l))
		if i < 0 {
			allLoaded = false
			continue
		}
		loaded[i].Adapters = l.Adapters
	}
	if allLoaded {
		loaded = slices.DeleteFunc(loaded, func(l messenger.LoadedWeights) bool { return indexOf(w.wanted, keyOf(l)) < 0 })
	}
	w.loaded = loaded
}

// finishLoad handles the end of a load. Weights that were loaded are added if
// they are still wanted.
func (w *weights) finishLoad(key weightsKey, loaded bool) {
	delete(w.loading, key)
	if loaded && indexOf(w.wanted, key) >= 0 {
		w.loaded = append(slices.Clone(w.loaded), messenger.LoadedWeights{Model: key.model, Version: key.version})
	}
	w.applyWanted()
}

// indexOf returns the index of the weights key in list, or -1.
func indexOf(list []messenger.LoadedWeights, key weightsKey) int {
	return slices.IndexFunc(list, func(l messenger.LoadedWeights) bool { return keyOf(l) == key })
}

// Order applies an order and starts to load the weights that it requires. It
// returns before they are loaded; load reports list the loaded weights.
func (e *Engine) Order(order messenger.Order) messenger.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	if e.cfg.ChecksFence && order.Fence < e.fencingToken {
		e.stats.StaleOrders++
		message := fmt.Sprintf("fencing number %d is below %d", order.Fence, e.fencingToken)
		return messenger.OrderResult{Message: message, Fence: e.fencingToken}
	}
	e.fencingToken = max(e.fencingToken, order.Fence)
	e.role = order.Role
	e.weights.wanted = slices.Clone(order.Weights)
	e.weights.applyWanted()
	for _, key := range e.weights.missing() {
		e.weights.loading[key] = true
		e.weightLoads.Go(func() { e.loadWeights(key) })
	}
	e.schedule()
	e.recordLoad()
	return messenger.OrderResult{Accepted: true, Fence: e.fencingToken}
}

func (e *Engine) loadWeights(key weightsKey) {
	err := e.loader.Load(e.ctx, key.model, key.version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.finishLoad(key, err == nil)
	if err != nil {
		e.stats.WeightFailures++
	} else {
		e.stats.WeightLoads++
	}
	e.schedule()
	e.recordLoad()
}

// timedLoader simulates loads that take a fixed time.
type timedLoader struct {
	clock    clockwork.Clock
	duration time.Duration
}

var _ WeightLoader = timedLoader{}

// Load returns after the fixed time or when ctx ends.
func (l timedLoader) Load(ctx context.Context, _ identifier.Model, _ identifier.WeightVersion) error {
	if !sleep(ctx, l.clock, l.duration) {
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

// Load requests the weights over HTTP and returns when the store has answered.
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
	defer drainAndClose(resp.Body)
	if resp.StatusCode/100 != 2 {
		return newError("load weights", KindWeights, errors.Newf("weight store %s answered %s", l.store, resp.Status))
	}
	return nil
}

// sleep waits for d. It returns false if ctx ends first.
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
