package responder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const maxBodyBytes = 16 << 20

// Answer is the body of a response. It echoes the request, so that callers can
// check that it is theirs.
type Answer struct {
	RequestID identifier.Request `json:"request-id"`
	Method    string             `json:"method"`
	Path      string             `json:"path"`
	// Digest is the SHA-256 hash of the request body in hexadecimal digits.
	Digest string `json:"digest"`
	// Execution is the number of times that this request has run, including this one.
	Execution int    `json:"execution"`
	Padding   string `json:"padding,omitempty"`
}

// Digest returns the hash of body in the format of Answer.Digest.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Responder) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := s.cfg.Clock.Now()
	s.reports.Record(now, s.loadReport())
	report := s.reports.Published(now)
	s.mu.Unlock()
	server.SetIncarnationHeader(w, s.warmer.Incarnation())
	server.WriteJSON(w, http.StatusOK, report)
}

func (s *Responder) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refusal := messenger.Refusal{Kind: "invalid", Message: err.Error(), Run: messenger.RunStateNotRun, Incarnation: s.warmer.Incarnation()}
		server.WriteRefusal(w, http.StatusBadRequest, refusal)
		return
	}
	c, refusal, ok := s.admit()
	if !ok {
		s.ResetConnections()
		server.Abort(r)
	}
	if refusal != nil {
		server.WriteRefusal(w, http.StatusServiceUnavailable, *refusal)
		return
	}
	defer s.release(c, false)
	if !s.awaitStart(w, r, c) {
		return
	}
	if s.warmer.Incarnation() != c.ticket.Incarnation() {
		server.Abort(r)
	}
	execution, lost, truncated := s.recordExecution(executionKey(r))
	if !s.awaitServiceTime(r.Context()) || lost || s.warmer.Incarnation() != c.ticket.Incarnation() {
		server.Abort(r)
	}
	s.release(c, true)
	s.writeAnswer(w, r, body, execution, truncated)
}

// awaitStart waits until c may run. It refuses the request and returns false if
// the deadline passes or the caller disconnects first.
func (s *Responder) awaitStart(w http.ResponseWriter, r *http.Request, c *call) bool {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if timeout, err := time.ParseDuration(r.Header.Get(messenger.HeaderDeadline)); err == nil {
		timer := s.cfg.Clock.AfterFunc(timeout, cancel)
		defer timer.Stop()
	}
	select {
	case <-c.started:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	refusal := s.newRefusal("deadline", "the deadline passed in the queue")
	s.mu.Unlock()
	server.WriteRefusal(w, http.StatusGatewayTimeout, *refusal)
	return false
}

// writeAnswer writes the Answer to r, or half of it if it is to be truncated.
func (s *Responder) writeAnswer(w http.ResponseWriter, r *http.Request, body []byte, execution int, truncated bool) {
	s.mu.Lock()
	padding := s.padding
	s.mu.Unlock()
	encoded, err := json.Marshal(Answer{
		RequestID: identifier.Request(r.Header.Get(messenger.HeaderRequest)),
		Method:    r.Method,
		Path:      r.URL.Path,
		Digest:    Digest(body),
		Execution: execution,
		Padding:   strings.Repeat("p", padding),
	})
	if err != nil {
		server.Abort(r)
	}
	server.SetIncarnationHeader(w, s.warmer.Incarnation())
	w.Header().Set(messenger.HeaderRequest, r.Header.Get(messenger.HeaderRequest))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if truncated {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// executionKey returns the idempotency key of r, or its request ID if it has none.
func executionKey(r *http.Request) string {
	if key := r.Header.Get(messenger.HeaderIdempotencyKey); key != "" {
		return key
	}
	return r.Header.Get(messenger.HeaderRequest)
}
