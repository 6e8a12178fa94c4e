package dialer

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// writtenRequest is the outcome of writing a request, which http.Transport does while it reads the response.
type writtenRequest struct {
	once sync.Once
	// done is closed once the request is written or has failed with err.
	done chan struct{}
	err  error
}

func newWrittenRequest() *writtenRequest { return &writtenRequest{done: make(chan struct{})} }

// end records the outcome.
func (w *writtenRequest) end(info httptrace.WroteRequestInfo) {
	w.once.Do(func() {
		w.err = info.Err
		close(w.done)
	})
}

// unframedBody is the body of a response that ends with its connection. The system reports the failure of a connection
// to one call only, which may be that of writing the request; reading then ends as if the target had closed the
// connection. So the end of the body is believed only if all of the request could be written.
type unframedBody struct {
	io.ReadCloser
	request *writtenRequest
	ctx     context.Context
}

// Read reads from the body. At its end it waits for the outcome of the request.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	select {
	case <-b.request.done:
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
	if b.request.err != nil {
		return n, errors.Wrap(b.request.err, "the connection failed before the request was written")
	}
	return n, err
}
