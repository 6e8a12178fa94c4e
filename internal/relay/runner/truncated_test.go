package runner

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/standin/flooder"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// cutEvents are the parts of event 4 after which a stream is truncated.
var cutEvents = map[string]string{"in a line": "id: 4\nda", "between lines": "id: 4\n", "before the empty line": "id: 4\ndata: token-4\n"}

// TestTruncatedUnframedStreamLooksComplete guards against a stream that ends inside an event with
// its connection and reaches the caller as a complete answer.
func TestTruncatedUnframedStreamLooksComplete(t *testing.T) {
	for where, part := range cutEvents {
		for _, ending := range []imitator.Ending{imitator.EndingAbort, imitator.EndingReset} {
			target := &imitator.Target{ID: "s", Events: 9, Cut: 4, CutEvent: part, CutEnding: ending, Unframed: true}
			r := startRelay(t, target)
			_, body, err := r.send("/long/1", "x", "key", "prompt")
			assert.Check(t, err != nil, "%s, ending %d: a truncated stream ended without an error: %q", where, ending, body)
			assert.Check(t, target.Runs("x") == 1)
			r.stop()
		}
	}
}

// TestTruncatedUnframedStreamIsNotResumed guards against a resumable stream that isn't continued
// on another target when it ends inside an event with its connection.
func TestTruncatedUnframedStreamIsNotResumed(t *testing.T) {
	for where, part := range cutEvents {
		a := &imitator.Target{ID: "a", Events: 9, Cut: 4, CutEvent: part, Unframed: true}
		r := startRelay(t, a, &imitator.Target{ID: "b", Events: 9, Unframed: true})
		for n := 0; a.Started() == 0; n++ {
			assert.Assert(t, n < 50, "the target that cuts its stream got no request")
			status, body, err := r.send("/short/1", fmt.Sprint(n), "key", "prompt")
			assert.Check(t, err == nil && status == http.StatusOK, "%s: status %d, %v", where, status, err)
			assert.Check(t, body == sseEvents(9), "%s: %q", where, body)
		}
		r.stop()
	}
}

// TestUnframedAnswersAreDelivered checks that complete answers which end with their connection
// reach the caller, and that a reset one doesn't look complete.
func TestUnframedAnswersAreDelivered(t *testing.T) {
	plain := &imitator.Target{ID: "p", Unframed: true, Cut: 1, CutEnding: imitator.EndingReset}
	r := startRelay(t, plain, &imitator.Target{ID: "s", Events: 5, Unframed: true})
	status, _, err := r.send("/pay/1", "a", "key", "order")
	assert.Assert(t, err != nil || status == http.StatusBadGateway, "status %d for an answer that was reset", status)
	status, body, err := r.send("/pay/1", "b", "key", "order")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "answer to b")
	for _, path := range []string{"/long/1", "/short/1"} {
		status, body, err = r.send(path, "c"+path, "key", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, sseEvents(5))
	}
}

// TestAbortedAnswerLooksCompleteInHTTP10 guards against an aborted answer to a caller for which the
// end of the connection is the end of the answer.
func TestAbortedAnswerLooksCompleteInHTTP10(t *testing.T) {
	for _, cut := range []int{0, 4} {
		target := &imitator.Target{ID: "s", Events: 9, Cut: cut}
		r := startRelay(t, target)
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /long/1 HTTP/1.0\r\nHost: h\r\nRequest-Id: x\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		answer, err := io.ReadAll(conn)
		assert.Check(t, bytes.HasPrefix(answer, []byte("HTTP/1.0 200")), "%q", answer)
		if cut == 0 {
			assert.Check(t, err == nil && bytes.HasSuffix(answer, []byte(sseEvents(9))), "%q, %v", answer, err)
		} else {
			assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%q, %v", answer, err)
		}
		assert.NilError(t, conn.Close())
		r.stop()
	}
}

// TestIncompleteEventsReachCallers guards against parts of events, or bytes that are no event, that
// reach the caller of a stream.
func TestIncompleteEventsReachCallers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Seal: s\r\n\r\n" + sseEvents(1)
	r := startRelay(t, &imitator.Target{ID: "s", Events: 5, Flood: &flooder.Flood{Begin: head, Repeat: "bytes "}})
	for _, path := range []string{"/long/1", "/short/1"} {
		_, body, err := r.send(path, "x"+path, "key", "prompt")
		assert.Check(t, err != nil, path)
		assert.Check(t, body == sseEvents(1), "%s: %d bytes", path, len(body))
	}
}
