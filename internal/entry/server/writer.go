package server

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxWriteBytes is the size of the parts into which writes are split. Each part must
// be written within the write timeout.
const maxWriteBytes = 64 << 10

// deadlineWriter sets a new write deadline for each part of a response, so that a
// caller that stops reading cannot block the answer. It keeps the first error.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	clock      clockwork.Clock
	timeout    time.Duration
	firstErr   error
}

var _ http.ResponseWriter = (*deadlineWriter)(nil)

func newDeadlineWriter(w http.ResponseWriter, clock clockwork.Clock, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), clock: clock, timeout: timeout}
}

// extendDeadline sets the write deadline to the timeout from now. The error is ignored
// because writers without support for deadlines have no connection.
func (w *deadlineWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(w.clock.Now().Add(w.timeout))
}

// Write writes p in parts of at most maxWriteBytes.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	sent := 0
	for {
		part := p[sent:min(len(p), sent+maxWriteBytes)]
		w.extendDeadline()
		n, err := w.ResponseWriter.Write(part)
		sent += n
		if err != nil {
			w.recordError(err)
			return sent, err
		}
		if sent == len(p) {
			return sent, nil
		}
	}
}

// Flush sends buffered data to the caller.
func (w *deadlineWriter) Flush() error {
	w.extendDeadline()
	err := w.controller.Flush()
	w.recordError(err)
	return err
}

func (w *deadlineWriter) recordError(err error) {
	if w.firstErr == nil {
		w.firstErr = err
	}
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
