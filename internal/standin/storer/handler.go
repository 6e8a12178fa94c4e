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

// QueryGeneration is the query parameter that names a block's generation.
const QueryGeneration = "generation"

// HeaderGeneration carries the generation of a block on the answer to a GET.
const HeaderGeneration = "Cardamom-Generation"

const (
	// maxPayloadBytes bounds the bytes of a block that really cross the connection.
	maxPayloadBytes = 1 << 20
	// brokenShare is the part of a block that crosses the link before the store dies.
	brokenShare = 0.5
)

func (s *Storer) handleLookup(w http.ResponseWriter, r *http.Request) {
	var req messenger.LookupRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(w, newError("look up blocks", KindInvalid, err))
		return
	}
	s.mu.Lock()
	result := messenger.LookupResult{
		Blocks:     s.shelf.lookup(req.Keys),
		BlockBytes: s.cfg.BlockBytes,
		FreeBytes:  int64(s.shelf.freeBlocks()) * s.cfg.BlockBytes,
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
		refuse(w, newError("commit block", KindInvalid, err))
		return
	}
	if err := s.commit(ref); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Storer) handlePut(w http.ResponseWriter, r *http.Request) {
	key, err := blockKey(r)
	if err != nil {
		refuse(w, err)
		return
	}
	generation, die, err := s.begin(key)
	if err != nil {
		refuse(w, err)
		return
	}
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		s.drop(key, generation)
		refuse(w, newError("write block", KindInvalid, err))
		return
	}
	if die {
		s.transfer(r.Context(), brokenShare)
		s.Kill()
		server.Abort(r)
	}
	if !s.transfer(r.Context(), 1) {
		s.drop(key, generation)
		server.Abort(r)
	}
	ref, err := s.fill(generation, payload, xxh3.Hash(payload))
	if err != nil {
		refuse(w, err)
		return
	}
	server.WriteJSON(w, http.StatusOK, ref)
}

func (s *Storer) handleGet(w http.ResponseWriter, r *http.Request) {
	key, generation, err := blockGeneration(r)
	if err == nil && generation == 0 {
		err = newError("read block", KindInvalid, errors.Newf("query parameter %q is missing", QueryGeneration))
	}
	if err != nil {
		refuse(w, err)
		return
	}
	b, onDisk, err := s.read(key, generation)
	if err != nil {
		refuse(w, err)
		return
	}
	if onDisk && !s.sleep(r.Context(), s.cfg.DiskDelay.Duration) {
		server.Abort(r)
	}
	if !s.transfer(r.Context(), 1) {
		server.Abort(r)
	}
	payload, err := s.reread(b)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(HeaderGeneration, strconv.FormatUint(generation, 10))
	_, _ = w.Write(payload)
}

func (s *Storer) handleDelete(w http.ResponseWriter, r *http.Request) {
	key, generation, err := blockGeneration(r)
	if err != nil {
		refuse(w, err)
		return
	}
	if s.drop(key, generation) == 0 {
		refuse(w, newError("free block", KindMissing, errors.Newf("block %v is not stored", key)))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Storer) drop(key identifier.BlockKey, generation uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shelf.remove(key, generation)
}

func blockKey(r *http.Request) (identifier.BlockKey, error) {
	var key identifier.BlockKey
	if err := key.UnmarshalText([]byte(mux.Vars(r)["key"])); err != nil {
		return key, newError("read path", KindInvalid, err)
	}
	return key, nil
}

// blockGeneration returns the key and the generation that r names; without one it is 0.
func blockGeneration(r *http.Request) (identifier.BlockKey, uint64, error) {
	key, err := blockKey(r)
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

func refuse(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = newError("answer", KindInvalid, err)
	}
	server.Refuse(w, statusOf(e.Kind), messenger.Refusal{Kind: string(e.Kind), Message: e.Error(), Run: messenger.RunNot})
}

func statusOf(kind Kind) int {
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
