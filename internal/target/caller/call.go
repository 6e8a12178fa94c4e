package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// MaxResponseBytes limits the response body of a plain service.
const MaxResponseBytes = 8 << 20

// Call describes an HTTP request to a plain service.
type Call struct {
	Method      string
	PathQuery   string
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on to the service if not empty.
	IdempotencyKey string
}

// Response is the complete HTTP response of a plain service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends one HTTP request. It returns the complete response with AttemptDone,
// or AttemptFailed.
func (c *Caller) Call(ctx context.Context, start reducer.Start, call Call) (Response, reducer.Event) {
	req, err := newCall(start, call)
	if err != nil {
		return Response{}, reducer.AttemptFailed{Attempt: start.Attempt, ProvenNotRun: true, Reason: reducer.FailureRefused, Detail: err.Error()}
	}
	x, failed := c.open(ctx, start, req)
	if failed != nil {
		return Response{}, failed
	}
	defer x.close()
	if x.response.Header.Get(messenger.HeaderRun) != "" {
		return Response{}, x.refused(0)
	}
	return x.readResponse()
}

// newCall builds the HTTP request. The idempotency key is set under a lower-case
// name, because net/http would automatically retry a request that has the header
// under its canonical name.
func newCall(start reducer.Start, call Call) (*http.Request, error) {
	url := "http://" + start.Address.String() + call.PathQuery
	var body io.Reader
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	req, err := http.NewRequest(call.Method, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(messenger.HeaderRequest, string(start.Attempt.Request))
	if call.IdempotencyKey != "" {
		req.Header["idempotency-key"] = []string{call.IdempotencyKey}
	}
	return req, nil
}

func (x *exchange) readResponse() (Response, reducer.Event) {
	ctx := x.response.Request.Context()
	body, err := x.buffers.ReadAll(x.response.Body, MaxResponseBytes)
	if err != nil {
		return Response{}, x.failure(ctx, err, 0)
	}
	answer := Response{Status: x.response.StatusCode, ContentType: x.response.Header.Get("Content-Type"), Body: body}
	done := reducer.AttemptDone{Attempt: x.start.Attempt, Incarnation: incarnationOf(x.response.Header)}
	return answer, done
}
