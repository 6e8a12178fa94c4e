package loader

import (
	"context"
	"io"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// Call is one request to a plain service.
type Call struct {
	RequestOptions
	Service        identifier.Service
	Method         string
	Path           string
	Body           []byte
	IdempotencyKey string
}

// maxResponseBytes bounds a response of a plain service.
const maxResponseBytes = 16 << 20

// Call sends a request to a plain service and returns its outcome.
func (l *Loader) Call(ctx context.Context, c Call) Outcome {
	began := l.cfg.Clock.Now()
	var o Outcome
	req, err := l.newRequest(ctx, c.Method, "/services/"+string(c.Service)+c.Path, c.Body, c.RequestOptions)
	if err != nil {
		o.Err = err
		return o
	}
	if c.IdempotencyKey != "" {
		// net/http retries requests with an Idempotency-Key header. The lower-case name
		// prevents that.
		req.Header["idempotency-key"] = []string{c.IdempotencyKey}
	}
	response, err := l.client.Do(req)
	if err != nil {
		o.Err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Status = response.StatusCode
	o.RequestID = identifier.Request(response.Header.Get(messenger.HeaderRequest))
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	o.Duration = l.cfg.Clock.Since(began)
	o.FirstToken = o.Duration
	switch {
	case err != nil:
		o.Err = err
	case response.Header.Get(messenger.HeaderRun) != "":
		o.readError(raw)
	default:
		o.Complete = true
		o.Body = raw
	}
	return o
}
