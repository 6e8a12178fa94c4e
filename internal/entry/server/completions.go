package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/cache/hasher"
	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     identifier.Model   `json:"model"`
	Adapter   identifier.Adapter `json:"adapter,omitempty"`
	Service   identifier.Service `json:"service,omitempty"`
	Prompt    string             `json:"prompt"`
	MaxTokens int                `json:"max-tokens"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// CompletionAnswer is the response body if Stream is false.
type CompletionAnswer struct {
	RequestID    identifier.Request `json:"request-id"`
	Text         string             `json:"text"`
	Tokens       int                `json:"tokens"`
	CachedTokens int                `json:"cached-tokens"`
}

// StreamEvent is the data of one server-sent event. The last event of a complete
// answer has Done set.
type StreamEvent struct {
	RequestID identifier.Request `json:"request-id"`
	Offset    int                `json:"offset"`
	Token     string             `json:"token,omitempty"`
	Done      bool               `json:"done,omitempty"`
	// CachedTokens is set on the last event.
	CachedTokens int `json:"cached-tokens,omitempty"`
}

// defaultMaxTokens limits the answer if the request has no max-tokens.
const defaultMaxTokens = 64

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	x := s.beginExchange(w, r)
	defer x.end()
	body, identity, err := s.readCompletion(w, r)
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	ev, err := s.newArrivalEvent(r, x.id)
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	ev.Service = body.Service
	ev.Work = reducer.Prompt{
		Model: body.Model, Adapter: body.Adapter, MaxTokens: body.MaxTokens,
		Tokens: hasher.Tokens(len(body.Prompt)), Digests: hasher.Digests(body.Prompt), Fingerprint: identity,
	}
	x.responder = &completion{exchange: x, body: body}
	x.serve(ev)
}

// readCompletion returns the request in a body, and its fingerprint.
func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (CompletionRequest, string, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	if err != nil {
		return CompletionRequest{}, "", newBodyError(err)
	}
	body, err := DecodeCompletion(raw)
	return body, fingerprint(r.Method, r.URL.Path, r.URL.RawQuery, raw), err
}

// DecodeCompletion decodes and checks the body of POST /v1/completions.
func DecodeCompletion(raw []byte) (CompletionRequest, error) {
	var body CompletionRequest
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, newInvalidError("the body is not a completion request: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, newInvalidError("the body has data behind the completion request")
	}
	switch {
	case body.Model == "":
		return body, newInvalidError("field %q is missing", "model")
	case body.Prompt == "":
		return body, newInvalidError("field %q is missing or empty", "prompt")
	case body.MaxTokens < 0:
		return body, newInvalidError("field %q is %d, want a positive number", "max-tokens", body.MaxTokens)
	case body.MaxTokens == 0:
		body.MaxTokens = defaultMaxTokens
	}
	return body, nil
}

// newBodyError returns the Error for a body that could not be read.
func newBodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{failer.Detail[Kind]{Op: "read request", Kind: KindTooLarge, Err: errors.Newf("the body is longer than %d bytes", tooLarge.Limit)}}
	}
	return newInvalidError("the body ended early: %v", err)
}

// completion is the responder for prompts.
type completion struct {
	*exchange
	body CompletionRequest
	// tokens are the tokens generated so far, by all attempts.
	tokens       []string
	cachedTokens int
	headersSent  bool
	// promptCounted keeps later attempts from counting the prompt's tokens again.
	promptCounted bool
}

func (c *completion) run(ctx context.Context, start reducer.Start) reducer.Event {
	return c.server.cfg.Targets.Generate(ctx, start, messenger.GenerateRequest{
		RequestID: start.Attempt.Request, Attempt: start.Attempt.Number,
		Model: c.body.Model, Adapter: c.body.Adapter, WeightVersion: start.Version,
		Prompt: c.body.Prompt, PromptTokens: hasher.Tokens(len(c.body.Prompt)),
		Blocks: start.Keys, MaxTokens: c.body.MaxTokens,
		ResumeOffset: start.ResumeOffset, Generated: strings.Join(c.tokens, ""),
		Priority: start.Priority,
	}, c)
}

// Started handles an attempt's first frame: it counts the prompt's tokens and posts
// the event to the reducer.
func (c *completion) Started(ev reducer.ResponseStarted) {
	if ev.Attempt.Number == 1 {
		c.cachedTokens = ev.CachedTokens
	}
	if !c.promptCounted {
		c.promptCounted = true
		c.metrics.CountPrompt(meter.Prompt{Tokens: hasher.Tokens(len(c.body.Prompt)), Cached: ev.CachedTokens, ImportedBlocks: c.importedBlocks})
	}
	c.server.cfg.Reducer.Post(ev)
}

// Token appends the token at offset, and sends it to the caller if it streams.
func (c *completion) Token(offset int, token string) error {
	c.tokens = append(c.tokens, token)
	c.metrics.CountToken()
	if !c.body.Stream {
		return nil
	}
	return c.writeEvent("", StreamEvent{RequestID: c.id, Offset: offset, Token: token})
}

// writeEvent writes and flushes one server-sent event. The first call writes the
// response headers.
func (c *completion) writeEvent(name string, data any) error {
	if !c.headersSent {
		c.headersSent = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
		c.w.WriteHeader(http.StatusOK)
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	if name != "" {
		if _, err := fmt.Fprintf(c.w, "event: %s\n", name); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(c.w, "data: %s\n\n", raw); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *completion) writeAnswer() {
	if c.body.Stream {
		_ = c.writeEvent("", StreamEvent{RequestID: c.id, Offset: len(c.tokens), Done: true, CachedTokens: c.cachedTokens})
		return
	}
	writeJSON(c.w, http.StatusOK, CompletionAnswer{
		RequestID: c.id, Text: strings.Join(c.tokens, ""), Tokens: len(c.tokens), CachedTokens: c.cachedTokens,
	})
}

func (c *completion) writeRefusal(e reducer.Refuse) {
	body := refusalBody(e)
	if !c.headersSent {
		writeError(c.w, refusalStatus(e.Kind), c.id, body, e.RetryAfter)
		return
	}
	body.RequestID = c.id
	body.RetryAfterMilliseconds = e.RetryAfter.Milliseconds()
	_ = c.writeEvent("error", body)
}
