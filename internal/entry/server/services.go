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

func (s *Server) services(w http.ResponseWriter, r *http.Request) {
	x := s.begin(w, r)
	defer x.end()
	if err := checkPath(r.URL.Path); err != nil {
		x.refuseMalformed(err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	if err != nil {
		x.refuseMalformed(bodyError(err))
		return
	}
	ev, err := s.arrival(r, x.id)
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	service := mux.Vars(r)["service"]
	// The policy goes by the decoded path, so that no spelling of it hides a
	// call that must not be repeated.
	called := strings.TrimPrefix(r.URL.Path, "/services/"+service)
	pathQuery, ok := strings.CutPrefix(r.URL.EscapedPath(), "/services/"+service)
	if !ok || !strings.HasPrefix(pathQuery, "/") {
		x.refuseMalformed(invalid("the name of service %q is escaped in the path", service))
		return
	}
	ev.Service = identifier.Service(service)
	ev.Work = reducer.Call{Method: r.Method, Path: called, BodyBytes: len(body), Fingerprint: fingerprint(r.Method, called, r.URL.RawQuery, body)}
	if r.URL.RawQuery != "" {
		pathQuery += "?" + r.URL.RawQuery
	}
	x.runner = &plainCall{exchange: x, call: caller.Call{
		Method: r.Method, PathQuery: pathQuery, ContentType: r.Header.Get("Content-Type"),
		Body: body, IdempotencyKey: ev.IdempotencyKey,
	}}
	x.serve(ev)
}

// checkPath refuses a decoded path that a target could read as another one, so
// that the policy for the path holds for what the target does.
func checkPath(decoded string) error {
	clean := path.Clean(decoded)
	if decoded == clean || decoded == clean+"/" {
		return nil
	}
	return invalid("path %q has empty or dot segments, want %q", decoded, clean)
}

// fingerprint identifies a call by what it asks for.
func fingerprint(method, called, query string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, called, query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// plainCall answers one call of a plain service.
type plainCall struct {
	*exchange
	call caller.Call
}

func (p *plainCall) run(ctx context.Context, start reducer.Start) reducer.Event {
	call := p.call
	call.IdempotencyKey = scopedKey(start.Team, call.IdempotencyKey)
	answer, ev := p.server.cfg.Targets.Call(ctx, start, call)
	p.answer = answer
	return ev
}

// scopedKey binds an idempotency key to its team, so that equal keys of two
// teams stay apart at the service as well.
func scopedKey(team identifier.Team, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

func (p *plainCall) finish() {
	if p.answer.ContentType != "" {
		p.w.Header().Set("Content-Type", p.answer.ContentType)
	}
	p.w.WriteHeader(p.answer.Status)
	_, _ = p.w.Write(p.answer.Body)
}

func (p *plainCall) refuse(e reducer.Refuse) {
	writeError(p.w, refusalStatus(e.Kind), p.id, refusalBody(e), e.RetryAfter)
}
