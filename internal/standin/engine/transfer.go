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

// maxPayloadBytes bounds the bytes of one block that really cross a connection.
const maxPayloadBytes = 1 << 20

// Import copies the blocks of req from its store host into the cache, from the
// first on up to the first one that fails.
func (e *Engine) Import(ctx context.Context, req messenger.ImportRequest) messenger.TransferResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if req.DeadlineMilliseconds > 0 {
		timer := e.cfg.Clock.AfterFunc(time.Duration(req.DeadlineMilliseconds)*time.Millisecond, cancel)
		defer timer.Stop()
	}
	h := e.hold()
	defer h.release()
	var result messenger.TransferResult
	if req.Probe {
		for _, ref := range req.Blocks {
			if !h.pin(ref.Key) {
				break
			}
			result.Blocks++
		}
		return result
	}
	for _, ref := range req.Blocks {
		copied, err := e.importBlock(ctx, h, req, ref)
		if err != nil {
			result.Reason = err.Error()
			break
		}
		result.Blocks++
		result.Bytes += copied
	}
	return result
}

// Export copies blocks from the cache to the store host of req, from the first
// on up to the first one that fails.
func (e *Engine) Export(ctx context.Context, req messenger.ExportRequest) messenger.TransferResult {
	h := e.hold()
	defer h.release()
	var result messenger.TransferResult
	for _, key := range req.Blocks {
		if err := e.exportBlock(ctx, h, req, key); err != nil {
			result.Reason = err.Error()
			break
		}
		result.Blocks++
		result.Bytes += e.cfg.BlockBytes
	}
	return result
}

// hold pins cache blocks for one transfer within one incarnation.
type hold struct {
	engine      *Engine
	incarnation identifier.Incarnation
	keys        []identifier.BlockKey
	// due is when the next block may cross the link.
	due time.Time
}

func (e *Engine) hold() *hold {
	return &hold{engine: e, incarnation: e.warmer.Incarnation()}
}

// pin pins a block of the cache and returns false when it is not there.
func (h *hold) pin(key identifier.BlockKey) bool {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if h.engine.warmer.Incarnation() != h.incarnation || !h.engine.cache.pin(key) {
		return false
	}
	h.keys = append(h.keys, key)
	return true
}

// insert adds and pins an imported block.
func (h *hold) insert(key identifier.BlockKey, origin weightsKey) error {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if h.engine.warmer.Incarnation() != h.incarnation {
		return newError("import block", KindTransfer, errors.New("the engine has restarted"))
	}
	if !h.engine.cache.insert(key, origin) {
		return newError("import block", KindTransfer, errors.New("all blocks of the cache are in use"))
	}
	h.keys = append(h.keys, key)
	h.engine.stats.ImportedBlocks++
	h.engine.stats.ImportedBytes += h.engine.cfg.BlockBytes
	h.engine.record()
	return nil
}

func (h *hold) release() {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	if h.engine.warmer.Incarnation() == h.incarnation {
		h.engine.cache.unpin(h.keys)
	}
}

// importBlock copies one block and returns the bytes that crossed the link;
// there are none when the block was cached before.
func (e *Engine) importBlock(ctx context.Context, h *hold, req messenger.ImportRequest, ref messenger.BlockRef) (int64, error) {
	if h.pin(ref.Key) {
		return 0, nil
	}
	if !h.pace(ctx, req.BytesPerSecond) {
		return 0, newError("import block", KindDeadline, ctx.Err())
	}
	path := fmt.Sprintf("%s%v?%s=%d", messenger.PathBlocks, ref.Key, storer.QueryGeneration, ref.Generation)
	resp, payload, err := e.call(ctx, http.MethodGet, req.Store, path, nil)
	if err != nil {
		return 0, err
	}
	if generation := resp.Header.Get(storer.HeaderGeneration); generation != fmt.Sprint(ref.Generation) {
		return 0, newError("import block", KindTransfer, errors.Newf("block %v has generation %s, not %d", ref.Key, generation, ref.Generation))
	}
	if sum := xxh3.Hash(payload); sum != ref.Checksum {
		e.count(func(s *Stats) { s.ChecksumFailures++ })
		return 0, newError("import block", KindTransfer, errors.Newf("block %v has checksum %d, not %d", ref.Key, sum, ref.Checksum))
	}
	if !bytes.Equal(payload, BlockPayload(ref.Key)) {
		e.count(func(s *Stats) { s.ForeignPayloads++ })
	}
	origin := weightsKey{model: req.Model, version: req.WeightVersion}
	return e.cfg.BlockBytes, h.insert(ref.Key, origin)
}

// exportBlock writes and commits one block.
func (e *Engine) exportBlock(ctx context.Context, h *hold, req messenger.ExportRequest, key identifier.BlockKey) error {
	if !h.pin(key) {
		return newError("export block", KindTransfer, errors.Newf("block %v is not cached", key))
	}
	if !h.pace(ctx, req.BytesPerSecond) {
		return newError("export block", KindDeadline, ctx.Err())
	}
	payload := BlockPayload(key)
	_, body, err := e.call(ctx, http.MethodPut, req.Store, messenger.PathBlocks+key.String(), payload)
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
	if _, _, err := e.call(ctx, http.MethodPost, req.Store, messenger.PathCommit, commit); err != nil {
		return err
	}
	e.count(func(s *Stats) {
		s.ExportedBlocks++
		s.ExportedBytes += e.cfg.BlockBytes
	})
	return nil
}

// pace waits for the time that one block takes at a rate; 0 means no limit.
func (h *hold) pace(ctx context.Context, bytesPerSecond int64) bool {
	if bytesPerSecond <= 0 {
		return ctx.Err() == nil
	}
	e := h.engine
	now := e.cfg.Clock.Now()
	begin := now
	if h.due.After(now) {
		begin = h.due
	}
	seconds := float64(e.cfg.BlockBytes) / float64(bytesPerSecond)
	h.due = begin.Add(time.Duration(seconds * float64(time.Second)))
	return sleep(ctx, e.cfg.Clock, begin.Sub(now))
}

// call sends one request to a store host and returns its answer, which is 2xx.
func (e *Engine) call(ctx context.Context, method string, store netip.AddrPort, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+store.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, newError("call store", KindTransfer, err)
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return nil, nil, newError("call store", KindTransfer, err)
	}
	defer drain(resp.Body)
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxPayloadBytes))
	if err != nil {
		return nil, nil, newError("call store", KindTransfer, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, newError("call store", KindTransfer, errors.Newf("store %v answered %s to %s %s", store, resp.Status, method, path))
	}
	return resp, answer, nil
}

// drain reads the rest of a body, so that its connection can be used again.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxPayloadBytes))
	_ = body.Close()
}
