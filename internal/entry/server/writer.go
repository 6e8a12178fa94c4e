package server

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxPart is the number of bytes that must reach a caller within the write timeout.
const maxPart = 64 << 10

// writer bounds the time for which a caller may hold up its answer: each part
// has a deadline of its own. It remembers the first failure.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	clock   clockwork.Clock
	timeout time.Duration
	failed  error
}

var _ http.ResponseWriter = (*writer)(nil)

func newWriter(w http.ResponseWriter, clock clockwork.Clock, timeout time.Duration) *writer {
	return &writer{ResponseWriter: w, control: http.NewResponseController(w), clock: clock, timeout: timeout}
}

// renew gives the caller the write timeout again. Writers that know no deadlines
// belong to no connection.
func (w *writer) renew() { _ = w.control.SetWriteDeadline(w.clock.Now().Add(w.timeout)) }

// Write sends p in parts.
func (w *writer) Write(p []byte) (int, error) {
	sent := 0
	for {
		part := p[sent:min(len(p), sent+maxPart)]
		w.renew()
		n, err := w.ResponseWriter.Write(part)
		sent += n
		if err != nil {
			w.fail(err)
			return sent, err
		}
		if sent == len(p) {
			return sent, nil
		}
	}
}

// Flush sends what is buffered.
func (w *writer) Flush() error {
	w.renew()
	err := w.control.Flush()
	w.fail(err)
	return err
}

func (w *writer) fail(err error) {
	if w.failed == nil {
		w.failed = err
	}
}

// Unwrap returns the writer below for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
