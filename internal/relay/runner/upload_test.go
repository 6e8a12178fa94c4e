package runner

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/relay/timer"
	"cardamomscale.example/cardamomscale/platform/caller"
	"cardamomscale.example/cardamomscale/platform/imitator"
)

// serveRaw runs a target that answers health checks, and passes all other requests to answer with their bodies unread.
func serveRaw(t *testing.T, answer func(c *net.TCPConn, req *http.Request)) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.URL.Path != "/healthz" {
						answer(c.(*net.TCPConn), req)
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr()
}

// startRelayBefore starts a relay before a raw target of both services, with a limit for bodies of 4 MB.
func startRelayBefore(t *testing.T, answer func(c *net.TCPConn, req *http.Request)) *testRelay {
	t.Helper()
	store := imitator.NewStore()
	store.Put(caller.KindConfig, caller.ConfigName, strings.Replace(fmt.Sprintf(testConfig, 1), `"maxBodyBytes":1000`, `"maxBodyBytes":4000000`, 1))
	for _, service := range []string{"plain", "streams"} {
		store.Put(caller.KindTargets, service, fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"a","version":"v1","slots":8,"state":"ready","coldLeftMs":0,"seq":1,"born":1}`, service, serveRaw(t, answer)))
	}
	return startRelayOn(t, store, timer.BootClock{})
}

// TestPartOfAnswerToUploadLooksComplete guards against a part of an answer that reaches the caller as a complete one:
// the target answers a long upload at once, without a length, and resets the connection while the upload goes on.
func TestPartOfAnswerToUploadLooksComplete(t *testing.T) {
	upload := bytes.Repeat([]byte("x"), 3<<20)
	for _, size := range []int{0, 1, 5000, 40000} {
		r := startRelayBefore(t, func(c *net.TCPConn, req *http.Request) {
			body := strings.Repeat("x", size)
			if strings.HasPrefix(req.URL.Path, "/long/") || strings.HasPrefix(req.URL.Path, "/short/") {
				body = sseEvents(min(size, 9)) // Ends between two events.
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReply-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n%s", req.Header.Get("Request-Id"), body)
			_ = c.SetLinger(0) // Resets the connection when it is closed.
		})
		for n, path := range []string{"/pay/1", "/look/1", "/long/1", "/short/1"} {
			for _, chunked := range []bool{false, true} {
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				var body io.Reader = bytes.NewReader(upload)
				if chunked {
					body = io.NopCloser(body) // Its length is unknown to the client.
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, body)
				assert.NilError(t, err)
				req.Host = "h"
				req.Header = http.Header{"Request-Id": {fmt.Sprint(size, n, chunked)}, "Deadline-Ms": {"4000"}, "Authorization": {"Bearer key"}}
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err == nil {
					var got []byte
					got, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close() // It was read to its end.
					assert.Check(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%s, chunked %t: status %d with %d bytes looks complete", path, chunked, resp.StatusCode, len(got))
				}
				cancel()
			}
		}
		r.stop()
	}
}
