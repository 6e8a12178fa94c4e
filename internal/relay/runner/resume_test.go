package runner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// TestOtherAnswerContinuesStream guards against answers that don't continue a stream that broke off, but reach
// its caller in its place, or end it as if it were complete.
func TestOtherAnswerContinuesStream(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", n, n) }
	for _, tc := range []struct {
		name   string
		status int
		header http.Header
		body   string
		// continues is true if the answer continues after event 3 and ends with event 5.
		continues bool
	}{
		{"continues", 200, nil, event(4) + event(5), true},
		{"continues after a comment", 200, nil, ": x\n\n" + event(4) + event(5), true},
		{"continues with other weights", 200, nil, "weight-versions: 2\nid: 4\ndata: token-4\n\n" + event(5), true},
		{"no content", 204, nil, "", false},
		{"other status", 202, nil, event(4) + event(5), false},
		{"other type", 200, http.Header{"Content-Type": {"text/plain"}}, event(4) + event(5), false},
		{"from the first event", 200, nil, event(1) + event(2) + event(3) + event(4) + event(5), false},
		{"the last event again", 200, nil, event(3) + event(4) + event(5), false},
		{"with a gap", 200, nil, event(5), false},
		{"empty", 200, nil, "", false},
		{"comments only", 200, nil, ": x\n\n: y\n\n", false},
		{"without IDs", 200, nil, "data: token-4\n\n" + event(5), false},
		{"head of an error", 200, nil, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nid: 4\r\n\r\n", false},
		{"text of an error", 200, nil, "upstream failed\n\n", false},
		{"error", 500, nil, "failed", false},
		{"not a number", 200, nil, "id: four\ndata: x\n\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			store := imitator.NewStore()
			store.Put(caller.KindConfig, caller.ConfigName, fmt.Sprintf(testConfig, 1))
			var sends atomic.Int64
			for _, id := range []string{"s-1", "s-2"} {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					h := w.Header()
					if r.URL.Path == "/healthz" {
						h.Set("Instance", id)
						return
					}
					h.Set("Request-Id", r.Header.Get("Request-Id"))
					h.Set("Reply-Seal", "seal")
					h.Set("Content-Type", "text/event-stream")
					if sends.Add(1) == 1 {
						_, err := fmt.Fprint(w, event(1)+event(2)+event(3)+"id: 4\nda")
						assert.Check(t, err)
						_ = http.NewResponseController(w).Flush() // Fails only when the relay has disconnected.
						const transit = 20 * time.Millisecond
						time.Sleep(transit)
						panic(http.ErrAbortHandler)
					}
					assert.Check(t, r.Header.Get("Last-Event-Id") == "3")
					for name, values := range tc.header {
						h[name] = values
					}
					w.WriteHeader(tc.status)
					if tc.body != "" {
						_, err := fmt.Fprint(w, tc.body)
						assert.Check(t, err)
					}
				}))
				t.Cleanup(srv.Close)
				store.Put(caller.KindTargets, id, fmt.Sprintf(`{"service":"streams","addr":%q,"zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":1}`, srv.Listener.Addr()))
			}
			r := startRelayOn(t, store, timer.BootClock{})
			status, body, err := r.send("/short/1", "x", "key", "prompt")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, sends.Load(), int64(2))
			if tc.continues {
				assert.NilError(t, err)
				assert.Assert(t, len(body) >= len(sseEvents(5)) && body[:len(sseEvents(3))] == sseEvents(3), "%q", body)
				return
			}
			assert.Equal(t, body, sseEvents(3), "something else reaches the caller")
			assert.Assert(t, err != nil, "the stream looks complete")
		})
	}
}
