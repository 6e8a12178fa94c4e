package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/dialer"
	"cardamomscale.example/cardamomscale/platform/translator"
)

// scriptedTarget is a target that runs a script on each connection.
type scriptedTarget struct {
	addr        netip.AddrPort
	connections atomic.Int64
}

// newScriptedTarget starts a target. The script receives each connection and its
// number, which starts at 1.
func newScriptedTarget(t *testing.T, script func(n int64, c net.Conn, r *bufio.Reader)) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{addr: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := s.connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads one request and returns its ID and body.
func readRequest(r *bufio.Reader) (string, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get("Request-Id"), body, err
}

// writeResponse writes a complete response with a Reply-Seal header.
func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReply-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newForwarder(t *testing.T) *Forwarder {
	t.Helper()
	f, err := New(Config{Dial: dialer.New(dialer.Config{}).Dial, Now: time.Now, Post: func(decider.Event) {}})
	assert.NilError(t, err)
	t.Cleanup(f.CloseIdle)
	return f
}

// startedAt is the start of the process that requests are sent to.
var startedAt = time.UnixMilli(1)

// roundTrip sends a POST request with a deadline of 5 s.
func roundTrip(f *Forwarder, addr netip.AddrPort, id string, repeatable bool, body []byte) (*Response, *Failure) {
	req := &translator.Request{ID: id, Method: http.MethodPost, Host: "h", URI: "/p", Header: http.Header{"Request-Id": {id}}}
	send := decider.Send{Target: "i", StartedAt: startedAt, Address: addr, Deadline: time.Now().Add(5 * time.Second), Repeatable: repeatable}
	return f.RoundTrip(context.Background(), send, req, bounder.Chunks{body}, "")
}

// readBody reads the body of a response and releases or aborts the connection.
func readBody(t *testing.T, r *Response, failure *Failure) (string, error) {
	t.Helper()
	assert.Assert(t, failure == nil, "%+v", failure)
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		r.Abort()
	} else {
		r.Release()
	}
	return string(raw), err
}

// echoIDs is a script that answers each request with its ID.
func echoIDs(_ int64, c net.Conn, r *bufio.Reader) {
	for {
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, id, id)
	}
}

func TestConnectionReuse(t *testing.T) {
	s, f := newScriptedTarget(t, echoIDs), newForwarder(t)
	for _, id := range []string{"a", "b", "c"} {
		resp, failure := roundTrip(f, s.addr, id, true, []byte("x"))
		got, err := readBody(t, resp, failure)
		assert.NilError(t, err)
		assert.Equal(t, got, id)
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

// TestStrayResponsesAreSkipped guards against passing on the response to another
// request: one that comes before the right response is skipped, and a connection with
// an extra response after it isn't reused.
func TestStrayResponsesAreSkipped(t *testing.T) {
	s := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			writeResponse(c, "before-"+id, "not yours")
			writeResponse(c, id, id)
			writeResponse(c, id, "again")
		}
	})
	f := newForwarder(t)
	for _, id := range []string{"a", "b", "c"} {
		resp, failure := roundTrip(f, s.addr, id, true, nil)
		got, err := readBody(t, resp, failure)
		assert.NilError(t, err)
		assert.Equal(t, got, id)
	}
}

func TestRejectedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		raw    string
		reason decider.FailureReason
		notRun bool
	}{
		"no seal":            {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"no id":              {"HTTP/1.1 200 OK\r\nReply-Seal: s\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"encoded":            {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"full":               {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", decider.FailureRefused, true},
		"unproven 503":       {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"another process":    {"HTTP/1.1 421 Other\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n", decider.FailureMisdirected, true},
		"no HTTP":            {"\x00\x01garbage\r\n\r\n", decider.FailureBroken, false},
		"nothing":            {"", decider.FailureBroken, false},
		"only informational": {"HTTP/1.1 103 Early Hints\r\n\r\n", decider.FailureBroken, false},
	} {
		s := newScriptedTarget(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(conn, c.raw)
			}
		})
		_, failure := roundTrip(newForwarder(t), s.addr, "a", true, []byte("x"))
		assert.Assert(t, failure != nil, name)
		assert.Equal(t, failure.Reason, c.reason, name)
		assert.Equal(t, failure.NotRun, c.notRun, name)
	}
}

// TestNoticesAreTakenFromAllResponses guards against requests to a target that is leaving because
// it said so in a refusal, an error, a broken response or one to another request.
func TestNoticesAreTakenFromAllResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"success":         "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal":         "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"error":           "HTTP/1.1 500 Error\r\nRequest-Id: a\r\nReply-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"truncated":       "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 100\r\n\r\nhalf",
		"another request": "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nReply-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		s := newScriptedTarget(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(conn, raw)
			}
		})
		f := newForwarder(t)
		var events []decider.Event
		f.cfg.Post = func(ev decider.Event) { events = append(events, ev) }
		roundTrip(f, s.addr, "a", true, []byte("x"))
		want := decider.NoticeReceived{Target: "i", StartedAt: startedAt, Notice: descriptor.Notice{Leaving: true}}
		assert.Equal(t, len(events), 1, name)
		assert.Equal(t, events[0], want, name)
	}
}

// TestLimitEndsWithAnswerOfRun guards against a limit that ends with an answer that doesn't show that the
// target ran the request, or that stays after one that does.
func TestLimitEndsWithAnswerOfRun(t *testing.T) {
	for raw, want := range map[string]descriptor.LimitKind{
		"200 OK\r\nRequest-Id: a\r\nReply-Seal: s":                       descriptor.LimitNone,
		"500 Error\r\nRequest-Id: a\r\nReply-Seal: s":                    descriptor.LimitNone,
		"200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nServer-Limit: 2":    descriptor.LimitNamed,
		"200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nServer-Limit: soon": descriptor.LimitInvalid,
		"503 Full\r\nNot-Run: 1":                                         descriptor.LimitUnstated,
	} {
		s := newScriptedTarget(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+raw+"\r\nContent-Length: 0\r\n\r\n")
			}
		})
		f := newForwarder(t)
		got := descriptor.LimitUnstated
		f.cfg.Post = func(ev decider.Event) { got = ev.(decider.NoticeReceived).Notice.Limit.Kind }
		send := decider.Send{Target: "i", StartedAt: startedAt, Address: s.addr, Deadline: time.Now().Add(5 * time.Second), Limited: true}
		_, failure := f.RoundTrip(t.Context(), send, &translator.Request{ID: "a", Method: http.MethodPost, URI: "/p"}, nil, "")
		assert.Equal(t, got, want, "%s: %v", raw, failure)
	}
}

// TestTruncatedBodies guards against passing a truncated body on as complete, whether
// the connection is closed early or reset.
func TestTruncatedBodies(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"reset":   "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\n\r\nhalf",
	} {
		s := newScriptedTarget(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, raw)
			if name == "reset" {
				time.Sleep(20 * time.Millisecond) // Lets the bytes arrive before the reset.
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		resp, failure := roundTrip(newForwarder(t), s.addr, "a", true, nil)
		_, err := readBody(t, resp, failure)
		assert.Assert(t, err != nil, name)
	}
}

// TestEarlyResponseClosesConnection checks that a connection isn't reused if the
// response came before the target had read the body: the target would take the next
// request for the rest of that body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	s := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, req.Header.Get("Request-Id"), "early")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
	})
	f := newForwarder(t)
	for n := range 2 {
		resp, failure := roundTrip(f, s.addr, "a", true, make([]byte, 8<<20))
		got, err := readBody(t, resp, failure)
		assert.NilError(t, err)
		assert.Equal(t, got, "early")
		assert.Equal(t, s.connections.Load(), int64(n+1))
	}
}

// TestClosedIdleConnectionIsReplaced checks that non-repeatable requests don't fail
// because the target has closed an idle connection.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	s := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if id, _, err := readRequest(r); err == nil {
			writeResponse(c, id, id)
		}
	})
	f := newForwarder(t)
	for _, id := range []string{"a", "b", "c"} {
		resp, failure := roundTrip(f, s.addr, id, false, []byte("x"))
		_, err := readBody(t, resp, failure)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // Lets the close arrive.
	}
	assert.Equal(t, s.connections.Load(), int64(3))
}

func TestDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, l.Close())
	_, failure := roundTrip(newForwarder(t), addr, "a", false, nil)
	assert.Equal(t, failure.Reason, decider.FailureUnreachable)
	assert.Assert(t, failure.NotRun)
}

// TestCancelClosesConnection checks that a target notices the end of a request whose
// caller has disconnected.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	s := newScriptedTarget(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	req := &translator.Request{ID: "a", Method: http.MethodGet, Host: "h", URI: "/p", Header: http.Header{}}
	_, failure := newForwarder(t).RoundTrip(ctx, decider.Send{Address: s.addr, Deadline: time.Now().Add(time.Minute)}, req, nil, "")
	assert.Assert(t, failure != nil && !failure.NotRun)
	assert.Assert(t, errors.Is(<-closed, io.EOF))
}

// TestIdleConnectionsToRemovedTargetsAreClosed guards against leaking connections to
// a target that no longer gets requests.
func TestIdleConnectionsToRemovedTargetsAreClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPool(func() time.Time { return now })
	removed, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	near, far := net.Pipe()
	p.put(removed, &conn{Conn: near}, time.Second)
	now = now.Add(time.Minute)
	spare, _ := net.Pipe()
	p.put(other, &conn{Conn: spare}, time.Second)
	_, err := far.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF))
	assert.Equal(t, len(p.idle[removed]), 0)
	assert.Equal(t, len(p.idle[other]), 1)
}

// TestTruncatedHeadIsTakenForAnswer guards against an answer whose target stops in the middle of its head and closes,
// wherever that is: the caller would get a success with an empty or short body.
func TestTruncatedHeadIsTakenForAnswer(t *testing.T) {
	for _, end := range []string{"\r\n", "Content-Length: 800\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
		head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\n" + end
		for length := range len(head) {
			s := newScriptedTarget(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, head[:length])
			})
			resp, failure := roundTrip(newForwarder(t), s.addr, "a", true, nil)
			assert.Assert(t, resp == nil && failure != nil && !failure.NotRun, "%q", head[:length])
		}
	}
}
