package storer

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// QueryGeneration is the query parameter for the generation of a block.
const QueryGeneration = "generation"

// HeaderGeneration is the response header with the generation of a block that was
// read.
const HeaderGeneration = "Cardamom-Generation"

const (
	// maxPayloadBytes limits the size of a request body with a block. It is
	// independent of Settings.BlockBytes, the simulated size.
	maxPayloadBytes = 1 << 20
	// partialWriteShare is the share of a block that is transferred before
	// Faults.DieInNextWrite kills the store.
	partialWriteShare = 0.5
)

func (s *Storer) handleLookup(w http.ResponseWriter, r *http.Request) {
	var req messenger.LookupRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, newError("look up blocks", KindInvalid, err))
		return
	}
	s.mu.Lock()
	result := messenger.LookupResult{
		Blocks:     s.blocks.lookup(req.Keys),
		BlockBytes: s.cfg.BlockBytes,
		FreeBytes:  int64(s.blocks.freeCapacity()) * s.cfg.BlockBytes,
	}
	if s.full {
		result.FreeBytes = 0
	}
	s.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, result)
}

func (s *Storer) handleCommit(w http.ResponseWriter, r *http.Request) {
	var ref messenger.BlockRef
	if err := json.NewDecoder(r.Body).Decode(&ref); err != nil {
		writeError(w, newError("commit block", KindInvalid, err))
		return
	}
	if err := s.commit(ref); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Storer) handlePut(w http.ResponseWriter, r *http.Request) {
	key, err := parseBlockKey(r)
	if err != nil {
		writeError(w, err)
		return
	}
	generation, die, err := s.beginWrite(key)
	if err != nil {
		writeError(w, err)
		return
	}
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		s.free(key, generation)
		writeError(w, newError("write block", KindInvalid, err))
		return
	}
	if die {
		s.awaitTransfer(r.Context(), partialWriteShare)
		s.Kill()
		server.Abort(r)
	}
	if !s.awaitTransfer(r.Context(), 1) {
		s.free(key, generation)
		server.Abort(r)
	}
	ref, err := s.finishWrite(generation, payload, xxh3.Hash(payload))
	if err != nil {
		writeError(w, err)
		return
	}
	server.WriteJSON(w, http.StatusOK, ref)
}

func (s *Storer) handleGet(w http.ResponseWriter, r *http.Request) {
	key, generation, err := parseBlockRef(r)
	if err == nil && generation == 0 {
		err = newError("read block", KindInvalid, errors.Newf("query parameter %q is missing", QueryGeneration))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	b, onDisk, err := s.read(key, generation)
	if err != nil {
		writeError(w, err)
		return
	}
	if onDisk && !s.sleep(r.Context(), s.cfg.DiskDelay.Duration) {
		server.Abort(r)
	}
	if !s.awaitTransfer(r.Context(), 1) {
		server.Abort(r)
	}
	payload, err := s.readAfterTransfer(b)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(HeaderGeneration, strconv.FormatUint(generation, 10))
	_, _ = w.Write(payload)
}

func (s *Storer) handleDelete(w http.ResponseWriter, r *http.Request) {
	key, generation, err := parseBlockRef(r)
	if err != nil {
		writeError(w, err)
		return
	}
	if s.free(key, generation) == 0 {
		writeError(w, newError("free block", KindMissing, errors.Newf("block %v is not stored", key)))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// free frees a generation of key, or all generations if generation is 0, and
// returns the number of freed generations.
func (s *Storer) free(key identifier.BlockKey, generation uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocks.freeKey(key, generation)
}

func parseBlockKey(r *http.Request) (identifier.BlockKey, error) {
	var key identifier.BlockKey
	if err := key.UnmarshalText([]byte(mux.Vars(r)["key"])); err != nil {
		return key, newError("read path", KindInvalid, err)
	}
	return key, nil
}

// parseBlockRef returns the key and the generation in the URL of r. The generation
// is 0 if there is none.
func parseBlockRef(r *http.Request) (identifier.BlockKey, uint64, error) {
	key, err := parseBlockKey(r)
	if err != nil {
		return key, 0, err
	}
	text := r.URL.Query().Get(QueryGeneration)
	if text == "" {
		return key, 0, nil
	}
	generation, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return key, 0, newError("read query", KindInvalid, errors.Wrapf(err, "query parameter %q", QueryGeneration))
	}
	return key, generation, nil
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = newError("answer", KindInvalid, err)
	}
	server.WriteRefusal(w, httpStatus(e.Kind), messenger.Refusal{Kind: string(e.Kind), Message: e.Error(), Run: messenger.RunStateNotRun})
}

func httpStatus(kind Kind) int {
	switch kind {
	case KindInvalid:
		return http.StatusBadRequest
	case KindChecksum, KindFreed:
		return http.StatusConflict
	case KindFull:
		return http.StatusInsufficientStorage
	default:
		return http.StatusNotFound
	}
}
