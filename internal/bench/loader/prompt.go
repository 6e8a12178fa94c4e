package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/entry/server"
	"cardamomscale.example/cardamomscale/internal/standin/engine"
)

// Prompt is one request to a model service.
type Prompt struct {
	RequestOptions
	Model     identifier.Model
	Text      string
	MaxTokens int
	Stream    bool
	// Versions are the weight versions whose answers are accepted as correct.
	Versions []identifier.WeightVersion
}

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Complete sends a prompt and checks its answer.
func (l *Loader) Complete(ctx context.Context, p Prompt) Outcome {
	began := l.cfg.Clock.Now()
	var o Outcome
	body, err := json.Marshal(server.CompletionRequest{Model: p.Model, Prompt: p.Text, MaxTokens: p.MaxTokens, Stream: p.Stream})
	if err != nil {
		o.Err = err
		return o
	}
	req, err := l.newRequest(ctx, http.MethodPost, "/v1/completions", body, p.RequestOptions)
	if err != nil {
		o.Err = err
		return o
	}
	response, err := l.client.Do(req)
	if err != nil {
		o.Err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Status = response.StatusCode
	switch {
	case response.StatusCode != http.StatusOK:
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
		o.readError(raw)
	case p.Stream:
		l.readStream(&o, response.Body, p, began)
	default:
		l.readCompletion(&o, response.Body, p, began)
	}
	o.Duration = l.cfg.Clock.Since(began)
	return o
}

func (l *Loader) readCompletion(o *Outcome, r io.Reader, p Prompt, began time.Time) {
	var answer server.CompletionAnswer
	if o.Err = json.NewDecoder(r).Decode(&answer); o.Err != nil {
		return
	}
	o.FirstToken = l.cfg.Clock.Since(began)
	o.Complete = true
	o.RequestID, o.Tokens, o.CachedTokens = answer.RequestID, answer.Tokens, answer.CachedTokens
	o.Wrong = answer.Tokens != p.MaxTokens || !p.matchesAnswer(answer.Text)
}

// readStream reads server-sent events up to the end mark or an error event.
func (l *Loader) readStream(o *Outcome, r io.Reader, p Prompt, began time.Time) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	var text strings.Builder
	last := began
	failed := false
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if failed {
			o.readError(data)
			return
		}
		var event server.StreamEvent
		if o.Err = json.Unmarshal(data, &event); o.Err != nil {
			return
		}
		o.RequestID = event.RequestID
		if event.Done {
			o.Complete, o.CachedTokens = true, event.CachedTokens
			o.Wrong = event.Offset != p.MaxTokens || o.Tokens != p.MaxTokens || !p.matchesAnswer(text.String())
			return
		}
		now := l.cfg.Clock.Now()
		if o.Tokens == 0 {
			o.FirstToken = now.Sub(began)
		} else {
			o.InterTokenGaps = append(o.InterTokenGaps, now.Sub(last))
		}
		last = now
		o.Wrong = o.Wrong || event.Offset != o.Tokens
		o.Tokens++
		text.WriteString(event.Token)
	}
	o.Err = errors.CombineErrors(lines.Err(), errors.New("the stream ended without its end mark"))
}

// matchesAnswer reports whether text is the correct answer under one of the versions.
func (p Prompt) matchesAnswer(text string) bool {
	for _, version := range p.Versions {
		if text == engine.AnswerText(p.Text, p.Model, version, p.MaxTokens) {
			return true
		}
	}
	return false
}
