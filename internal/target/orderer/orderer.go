// Package orderer looks up blocks in stores and orders engines to import and
// export them. The blocks themselves are copied directly between engine and store.
package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/propagation"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Kind classifies errors of this package.
type Kind string

const (
	// KindUnreachable reports that no complete response arrived.
	KindUnreachable Kind = "unreachable"
	// KindRefused reports a response with a status other than 200, or a rejected order.
	KindRefused Kind = "refused"
	// KindInvalid reports an incomplete Config, or a message that can't be encoded or decoded.
	KindInvalid Kind = "invalid"
)

// Error describes a failed request or an invalid Config.
type Error struct{ failer.Detail[Kind] }

// Config configures an Orderer.
type Config struct {
	Transport http.RoundTripper
	Clock     clockwork.Clock
	// Propagator injects the current span into requests to stores and engines; nil
	// disables this.
	Propagator propagation.TextMapPropagator
}

// Orderer sends lookups to store hosts, and transfer requests and orders to engines.
type Orderer struct {
	cfg Config
	// buffers bounds the memory for responses that are being read.
	buffers *bounder.Budget
}

// New returns an Orderer, or an Error of KindInvalid.
func New(cfg Config) (*Orderer, error) {
	if cfg.Transport == nil || cfg.Clock == nil {
		return nil, &Error{failer.Detail[Kind]{Op: "new orderer", Kind: KindInvalid, Err: errors.New("transport and clock are required")}}
	}
	if cfg.Propagator == nil {
		cfg.Propagator = propagation.NewCompositeTextMapPropagator()
	}
	return &Orderer{cfg: cfg, buffers: bounder.NewBudget(maxBufferedBytes)}, nil
}

// Lookup returns the leading blocks of e.Keys that a store can serve.
func (o *Orderer) Lookup(ctx context.Context, e reducer.Lookup) reducer.LookupDone {
	done := reducer.LookupDone{Request: e.Request, Store: e.Store}
	var result messenger.LookupResult
	err := o.post(ctx, e.Address, messenger.PathLookup, e.Timeout, messenger.LookupRequest{Keys: e.Keys}, &result)
	if err != nil {
		done.Failed = true
		return done
	}
	for _, b := range result.Blocks {
		done.Blocks = append(done.Blocks, reducer.StoredBlock{Key: b.Key, Generation: b.Generation, Checksum: b.Checksum, OnDisk: b.OnDisk})
	}
	return done
}

// Import waits for e.After and orders an engine to import blocks from a store.
func (o *Orderer) Import(ctx context.Context, e reducer.Import) reducer.ImportDone {
	if !o.wait(ctx, e.Delay) {
		return reducer.ImportDone{Request: e.Request, Target: e.Target, Store: e.Store, Probe: e.Probe, Failed: true}
	}
	began := o.cfg.Clock.Now()
	request := messenger.ImportRequest{
		RequestID: e.Request, Store: e.StoreAddress, Model: e.Model, WeightVersion: e.Version,
		Probe: e.Probe, BytesPerSecond: e.BytesPerSecond, DeadlineMilliseconds: e.Timeout.Milliseconds(),
	}
	for _, b := range e.Blocks {
		request.Blocks = append(request.Blocks, messenger.BlockRef{Key: b.Key, Generation: b.Generation, Checksum: b.Checksum})
	}
	var result messenger.TransferResult
	err := o.post(ctx, e.TargetAddress, messenger.PathImport, e.Timeout, request, &result)
	return reducer.ImportDone{
		Request: e.Request, Target: e.Target, Store: e.Store, Probe: e.Probe,
		Blocks: result.Blocks, Bytes: result.Bytes, Failed: err != nil,
		Took: o.cfg.Clock.Since(began),
	}
}

// Export waits for e.After and orders an engine to export blocks to a store.
func (o *Orderer) Export(ctx context.Context, e reducer.Export) reducer.ExportDone {
	failed := reducer.ExportDone{Target: e.Target, Store: e.Store, Requested: len(e.Keys), Failed: true}
	if !o.wait(ctx, e.Delay) {
		return failed
	}
	request := messenger.ExportRequest{Store: e.StoreAddress, Blocks: e.Keys, BytesPerSecond: e.BytesPerSecond}
	var result messenger.TransferResult
	err := o.post(ctx, e.TargetAddress, messenger.PathExport, e.Timeout, request, &result)
	if err != nil {
		return failed
	}
	return reducer.ExportDone{Target: e.Target, Store: e.Store, Requested: len(e.Keys), Blocks: result.Blocks, Bytes: result.Bytes}
}

// Order sends a target the weights that it should have loaded. It returns an Error
// of KindRefused if the target rejected the order.
func (o *Orderer) Order(ctx context.Context, e reducer.Order) error {
	order := messenger.Order{Fence: e.Fence}
	for _, w := range e.Weights {
		order.Weights = append(order.Weights, messenger.LoadedWeights{Model: w.Model, Version: w.Version, Adapters: w.Adapters})
	}
	var result messenger.OrderResult
	if err := o.post(ctx, e.Address, messenger.PathOrder, e.Timeout, order, &result); err != nil {
		return err
	}
	if !result.Accepted {
		return &Error{failer.Detail[Kind]{Op: "order target " + string(e.Target), Kind: KindRefused, Err: errors.New(result.Message)}}
	}
	return nil
}

// wait waits for d. It returns false if ctx ended.
func (o *Orderer) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-o.cfg.Clock.After(d):
		return true
	}
}

const (
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 4 << 20
	// maxBufferedBytes bounds the responses that are being read, beyond the first part of each.
	maxBufferedBytes = 32 << 20
)

func (o *Orderer) post(ctx context.Context, address netip.AddrPort, path string, timeout time.Duration, body, result any) error {
	op := "post " + path + " to " + address.String()
	ctx, cancel := clockwork.WithTimeout(ctx, o.cfg.Clock, timeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: err}}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(raw))
	if err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: err}}
	}
	req.Header.Set("Content-Type", "application/json")
	o.cfg.Propagator.Inject(ctx, propagation.HeaderCarrier(req.Header))
	response, err := o.cfg.Transport.RoundTrip(req)
	if err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindUnreachable, Err: err}}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := o.buffers.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindUnreachable, Err: err}}
	}
	if response.StatusCode != http.StatusOK {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindRefused, Err: errors.Newf("status %d: %s", response.StatusCode, data)}}
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &Error{failer.Detail[Kind]{Op: op, Kind: KindInvalid, Err: err}}
	}
	return nil
}
