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
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// CompletionAnswer is the body of a whole answer without streaming.
type CompletionAnswer struct {
	RequestID    identifier.Request `json:"request-id"`
	Text         string             `json:"text"`
	Tokens       int                `json:"tokens"`
	CachedTokens int                `json:"cached-tokens"`
}

// StreamEvent is the data of one server-sent event. The last event of a whole
// answer has Done set.
type StreamEvent struct {
	RequestID identifier.Request `json:"request-id"`
	Offset    int                `json:"offset"`
	Token     string             `json:"token,omitempty"`
	Done      bool               `json:"done,omitempty"`
	// CachedTokens is set on the last event.
	CachedTokens int `json:"cached-tokens,omitempty"`
}

// defaultMaxTokens is the answer's limit when the caller names none.
const defaultMaxTokens = 64

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	x := s.begin(w, r)
	defer x.end()
	body, err := s.readCompletion(w, r)
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	ev, err := s.arrival(r, x.id)
	if err != nil {
		x.refuseMalformed(err)
		return
	}
	ev.Service = body.Service
	ev.Work = reducer.Prompt{
		Model: body.Model, Adapter: body.Adapter, MaxTokens: body.MaxTokens,
		Tokens: hasher.Tokens(len(body.Prompt)), Digests: hasher.Digests(body.Prompt),
	}
	x.runner = &completion{exchange: x, body: body}
	x.serve(ev)
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request) (CompletionRequest, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	if err != nil {
		return CompletionRequest{}, bodyError(err)
	}
	return DecodeCompletion(raw)
}

// DecodeCompletion decodes and checks the body of POST /v1/completions.
func DecodeCompletion(raw []byte) (CompletionRequest, error) {
	var body CompletionRequest
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, invalid("the body is not a completion request: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, invalid("the body has data behind the completion request")
	}
	switch {
	case body.Model == "":
		return body, invalid("field %q is missing", "model")
	case body.Prompt == "":
		return body, invalid("field %q is missing or empty", "prompt")
	case body.MaxTokens < 0:
		return body, invalid("field %q is %d, want a positive number", "max-tokens", body.MaxTokens)
	case body.MaxTokens == 0:
		body.MaxTokens = defaultMaxTokens
	}
	return body, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{failer.Detail[Kind]{Op: "read request", Kind: KindTooLarge, Err: errors.Newf("the body is longer than %d bytes", tooLarge.Limit)}}
	}
	return invalid("the body ended early: %v", err)
}

// completion answers one prompt.
type completion struct {
	*exchange
	body CompletionRequest
	// tokens are those that the caller has or will get.
	tokens       []string
	cachedTokens int
	headersSent  bool
	// counted is true once the prompt's tokens were counted.
	counted bool
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

// Started reports the attempt's first frame to the reducer.
func (c *completion) Started(ev reducer.AttemptStarted) {
	if ev.Attempt.Number == 1 {
		c.cachedTokens = ev.CachedTokens
	}
	if !c.counted {
		c.counted = true
		c.count.Prompt(meter.Prompt{Tokens: hasher.Tokens(len(c.body.Prompt)), Cached: ev.CachedTokens, ImportedBlocks: c.imported})
	}
	c.server.cfg.Reducer.Post(ev)
}

// Token takes in the token at offset and passes it on when the caller streams.
func (c *completion) Token(offset int, token string) error {
	c.tokens = append(c.tokens, token)
	c.count.Token()
	if !c.body.Stream {
		return nil
	}
	return c.event("", StreamEvent{RequestID: c.id, Offset: offset, Token: token})
}

// event sends one server-sent event.
func (c *completion) event(name string, data any) error {
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

func (c *completion) finish() {
	if c.body.Stream {
		_ = c.event("", StreamEvent{RequestID: c.id, Offset: len(c.tokens), Done: true, CachedTokens: c.cachedTokens})
		return
	}
	writeJSON(c.w, http.StatusOK, CompletionAnswer{
		RequestID: c.id, Text: strings.Join(c.tokens, ""), Tokens: len(c.tokens), CachedTokens: c.cachedTokens,
	})
}

func (c *completion) refuse(e reducer.Refuse) {
	body := refusalBody(e)
	if !c.headersSent {
		writeError(c.w, refusalStatus(e.Kind), c.id, body, e.RetryAfter)
		return
	}
	body.RequestID = c.id
	body.RetryAfterMilliseconds = e.RetryAfter.Milliseconds()
	_ = c.event("error", body)
}
