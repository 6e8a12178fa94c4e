package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/gorilla/mux"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/caller"
)

func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	x := s.beginExchange(w, r)
	defer x.end()
	if err := checkPath(r.URL.Path); err != nil {
		x.refuseMalformed(err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	if err != nil {
		x.refuseMalformed(newBodyError(err))
		return
	}
	ev, err := s.newArrivalEvent(r, x.id)
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	service := mux.Vars(r)["service"]
	// The policy is looked up by the decoded path, so that escaping the path cannot
	// hide a call that must not be repeated.
	decodedPath := strings.TrimPrefix(r.URL.Path, "/services/"+service)
	pathQuery, ok := strings.CutPrefix(r.URL.EscapedPath(), "/services/"+service)
	if !ok || !strings.HasPrefix(pathQuery, "/") {
		x.refuseMalformed(newInvalidError("the name of service %q is escaped in the path", service))
		return
	}
	ev.Service = identifier.Service(service)
	ev.Work = reducer.Call{Method: r.Method, Path: decodedPath, BodyBytes: len(body), Fingerprint: fingerprint(r.Method, decodedPath, r.URL.RawQuery, body)}
	if r.URL.RawQuery != "" {
		pathQuery += "?" + r.URL.RawQuery
	}
	x.responder = &plainCall{exchange: x, call: caller.Call{
		Method: r.Method, PathQuery: pathQuery, ContentType: r.Header.Get("Content-Type"),
		Body: body, IdempotencyKey: ev.IdempotencyKey,
	}}
	x.serve(ev)
}

// checkPath rejects a decoded path with empty or dot segments. A target may normalise
// it to another path, to which a different policy applies.
func checkPath(decoded string) error {
	clean := path.Clean(decoded)
	if decoded == clean || decoded == clean+"/" {
		return nil
	}
	return newInvalidError("path %q has empty or dot segments, want %q", decoded, clean)
}

// fingerprint returns a hash of a request's method, path, query and body. It detects an
// idempotency key that is reused for a different call, and a request that crashes targets.
func fingerprint(method, decodedPath, query string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, decodedPath, query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// plainCall is the responder for calls of plain services.
type plainCall struct {
	*exchange
	call caller.Call
}

func (p *plainCall) run(ctx context.Context, start reducer.Start) reducer.Event {
	call := p.call
	call.IdempotencyKey = teamScopedKey(start.Team, call.IdempotencyKey)
	answer, ev := p.server.cfg.Targets.Call(ctx, start, call)
	p.answer = answer
	return ev
}

// teamScopedKey returns the idempotency key that is sent to the service. It is a hash
// of team and key, so that equal keys of two teams do not collide at the service.
func teamScopedKey(team identifier.Team, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

func (p *plainCall) writeAnswer() {
	if p.answer.ContentType != "" {
		p.w.Header().Set("Content-Type", p.answer.ContentType)
	}
	p.w.WriteHeader(p.answer.Status)
	_, _ = p.w.Write(p.answer.Body)
}

func (p *plainCall) writeRefusal(e reducer.Refuse) {
	writeError(p.w, refusalStatus(e.Kind), p.id, refusalBody(e), e.RetryAfter)
}
