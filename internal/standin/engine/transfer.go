package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/storer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// maxPayloadBytes limits the size of a response body from a store host.
const maxPayloadBytes = 1 << 20

// Import copies the blocks of req from its store host into the cache, in order,
// until one fails. A probe only counts the leading blocks that are cached.
func (e *Engine) Import(ctx context.Context, req messenger.ImportRequest) messenger.TransferResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if req.DeadlineMilliseconds > 0 {
		timer := e.cfg.Clock.AfterFunc(time.Duration(req.DeadlineMilliseconds)*time.Millisecond, cancel)
		defer timer.Stop()
	}
	t := e.newTransfer()
	defer t.release()
	var result messenger.TransferResult
	if req.Probe {
		for _, ref := range req.Blocks {
			if !t.pinCached(ref.Key) {
				break
			}
			result.Blocks++
		}
		return result
	}
	for _, ref := range req.Blocks {
		copied, err := e.importBlock(ctx, t, req, ref)
		if err != nil {
			result.Reason = err.Error()
			break
		}
		result.Blocks++
		result.Bytes += copied
	}
	return result
}

// Export copies the blocks of req from the cache to its store host, in order,
// until one fails.
func (e *Engine) Export(ctx context.Context, req messenger.ExportRequest) messenger.TransferResult {
	t := e.newTransfer()
	defer t.release()
	var result messenger.TransferResult
	for _, key := range req.Blocks {
		if err := e.exportBlock(ctx, t, req, key); err != nil {
			result.Reason = err.Error()
			break
		}
		result.Blocks++
		result.Bytes += e.cfg.BlockBytes
	}
	return result
}

// transfer is the state of one import or export: the cache blocks that it has
// pinned and its rate limit. The pins are void once the engine has a new
// incarnation, because the cache was cleared.
type transfer struct {
	engine      *Engine
	incarnation identifier.Incarnation
	keys        []identifier.BlockKey
	// nextTransferAt is when the next block may be transferred under the rate limit.
	nextTransferAt time.Time
}

func (e *Engine) newTransfer() *transfer {
	return &transfer{engine: e, incarnation: e.warmer.Incarnation()}
}

// pinCached pins a cached block. It returns false if the block is not cached.
func (t *transfer) pinCached(key identifier.BlockKey) bool {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if t.engine.warmer.Incarnation() != t.incarnation || !t.engine.cache.pin(key) {
		return false
	}
	t.keys = append(t.keys, key)
	return true
}

// insert adds an imported block to the cache and pins it.
func (t *transfer) insert(key identifier.BlockKey, origin weightsKey) error {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if t.engine.warmer.Incarnation() != t.incarnation {
		return newError("import block", KindTransfer, errors.New("the engine has restarted"))
	}
	if !t.engine.cache.insert(key, origin) {
		return newError("import block", KindTransfer, errors.New("all blocks of the cache are in use"))
	}
	t.keys = append(t.keys, key)
	t.engine.stats.ImportedBlocks++
	t.engine.stats.ImportedBytes += t.engine.cfg.BlockBytes
	t.engine.recordLoad()
	return nil
}

// release unpins the blocks, unless the engine has restarted.
func (t *transfer) release() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if t.engine.warmer.Incarnation() == t.incarnation {
		t.engine.cache.unpin(t.keys)
	}
}

// importBlock copies one block and returns the number of bytes transferred, which
// is 0 if the block was already cached.
func (e *Engine) importBlock(ctx context.Context, t *transfer, req messenger.ImportRequest, ref messenger.BlockRef) (int64, error) {
	if t.pinCached(ref.Key) {
		return 0, nil
	}
	if !t.throttle(ctx, req.BytesPerSecond) {
		return 0, newError("import block", KindDeadline, ctx.Err())
	}
	path := fmt.Sprintf("%s%v?%s=%d", messenger.PathBlocks, ref.Key, storer.QueryGeneration, ref.Generation)
	resp, payload, err := e.callStore(ctx, http.MethodGet, req.Store, path, nil)
	if err != nil {
		return 0, err
	}
	if generation := resp.Header.Get(storer.HeaderGeneration); generation != fmt.Sprint(ref.Generation) {
		return 0, newError("import block", KindTransfer, errors.Newf("block %v has generation %s, not %d", ref.Key, generation, ref.Generation))
	}
	if sum := xxh3.Hash(payload); sum != ref.Checksum {
		e.updateStats(func(s *Stats) { s.ChecksumFailures++ })
		return 0, newError("import block", KindTransfer, errors.Newf("block %v has checksum %d, not %d", ref.Key, sum, ref.Checksum))
	}
	if !bytes.Equal(payload, BlockPayload(ref.Key)) {
		e.updateStats(func(s *Stats) { s.ForeignPayloads++ })
	}
	origin := weightsKey{model: req.Model, version: req.WeightVersion}
	return e.cfg.BlockBytes, t.insert(ref.Key, origin)
}

// exportBlock writes one cached block to the store host and commits it.
func (e *Engine) exportBlock(ctx context.Context, t *transfer, req messenger.ExportRequest, key identifier.BlockKey) error {
	if !t.pinCached(key) {
		return newError("export block", KindTransfer, errors.Newf("block %v is not cached", key))
	}
	if !t.throttle(ctx, req.BytesPerSecond) {
		return newError("export block", KindDeadline, ctx.Err())
	}
	payload := BlockPayload(key)
	_, body, err := e.callStore(ctx, http.MethodPut, req.Store, messenger.PathBlocks+key.String(), payload)
	if err != nil {
		return err
	}
	var ref messenger.BlockRef
	if err := json.Unmarshal(body, &ref); err != nil {
		return newError("export block", KindTransfer, err)
	}
	commit, err := json.Marshal(messenger.BlockRef{Key: key, Generation: ref.Generation, Checksum: xxh3.Hash(payload)})
	if err != nil {
		return newError("export block", KindTransfer, err)
	}
	if _, _, err := e.callStore(ctx, http.MethodPost, req.Store, messenger.PathCommit, commit); err != nil {
		return err
	}
	e.updateStats(func(s *Stats) {
		s.ExportedBlocks++
		s.ExportedBytes += e.cfg.BlockBytes
	})
	return nil
}

// throttle waits until the next block may be transferred at a rate; 0 means no
// limit. It returns false if ctx ends first.
func (t *transfer) throttle(ctx context.Context, bytesPerSecond int64) bool {
	if bytesPerSecond <= 0 {
		return ctx.Err() == nil
	}
	e := t.engine
	now := e.cfg.Clock.Now()
	begin := now
	if t.nextTransferAt.After(now) {
		begin = t.nextTransferAt
	}
	seconds := float64(e.cfg.BlockBytes) / float64(bytesPerSecond)
	t.nextTransferAt = begin.Add(time.Duration(seconds * float64(time.Second)))
	return sleep(ctx, e.cfg.Clock, begin.Sub(now))
}

// callStore sends a request to a store host and returns the response and its body.
// A status other than 2xx is an error.
func (e *Engine) callStore(ctx context.Context, method string, store netip.AddrPort, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+store.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, newError("call store", KindTransfer, err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, nil, newError("call store", KindTransfer, err)
	}
	defer drainAndClose(resp.Body)
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxPayloadBytes))
	if err != nil {
		return nil, nil, newError("call store", KindTransfer, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, newError("call store", KindTransfer, errors.Newf("store %v answered %s to %s %s", store, resp.Status, method, path))
	}
	return resp, answer, nil
}

// drainAndClose reads the rest of a body, so that its connection can be reused, and
// closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxPayloadBytes))
	_ = body.Close()
}
