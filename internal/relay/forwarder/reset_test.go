package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadSize is larger than the buffers of a connection, so that an upload lasts until its target reads it.
const uploadSize = 16 << 20

// unframed is an answer without a length, which ends with its connection.
func unframed(version, header string, size int) string {
	return fmt.Sprintf("HTTP/%s 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\n%s\r\n%s", version, header, strings.Repeat("x", size))
}

// TestResetDuringUploadIsTakenForEnd guards against a part of an answer that is passed on as complete: a target answers
// a long upload without a length as soon as it has read the head, and resets the connection while the upload is being
// written. The system reports a reset once, and the writer may get that report.
func TestResetDuringUploadIsTakenForEnd(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for _, header := range []string{"", "Connection: close\r\n"} {
			for _, size := range []int{0, 1, 5000, 40000} {
				for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
					s := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.WriteString(c, unframed(version, header, size))
						time.Sleep(delay)
						_ = c.(*net.TCPConn).SetLinger(0) // Resets the connection when it is closed.
					})
					f := newForwarder(t)
					for range 3 {
						resp, failure := roundTrip(f, s.addr, "a", false, make([]byte, uploadSize))
						if failure != nil {
							assert.Check(t, !failure.NotRun)
							continue
						}
						got, err := readBody(t, resp, nil)
						assert.Check(t, err != nil, "HTTP/%s %q, reset after %v: %d of %d bytes are taken for the whole answer", version, header, delay, len(got), size)
					}
				}
			}
		}
	}
}

// TestUnframedAnswerToUpload checks which ends of an answer without a length are believed while the request isn't
// written in full: those of a target that reads the rest of it.
func TestUnframedAnswerToUpload(t *testing.T) {
	for name, c := range map[string]struct {
		rest     func(c net.Conn, body io.Reader)
		complete bool
	}{
		"reads on":               {func(_ net.Conn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }, true},
		"closes without reading": {func(net.Conn, io.Reader) {}, false},
		"reads a part and resets": {func(c net.Conn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, 64<<10)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, false},
	} {
		s := newScriptedTarget(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, unframed("1.1", "", 5000))
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(20 * time.Millisecond) // Lets the end of the answer arrive.
			c.rest(conn, req.Body)
		})
		resp, failure := roundTrip(newForwarder(t), s.addr, "a", true, make([]byte, uploadSize))
		got, err := readBody(t, resp, failure)
		assert.Check(t, (err == nil) == c.complete, "%s: %v", name, err)
		assert.Check(t, len(got) == 5000, "%s: %d bytes", name, len(got))
	}
}

// TestFramedAnswerToUpload checks that an answer whose framing shows its end is complete, whatever becomes of the request.
func TestFramedAnswerToUpload(t *testing.T) {
	for _, raw := range []string{"Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"} {
		s := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\n"+raw)
			time.Sleep(50 * time.Millisecond) // The answer is read before the reset.
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		resp, failure := roundTrip(newForwarder(t), s.addr, "a", true, make([]byte, uploadSize))
		got, err := readBody(t, resp, failure)
		assert.NilError(t, err)
		assert.Equal(t, got, "done")
	}
}
