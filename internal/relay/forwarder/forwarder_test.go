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

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/dialer"
	"cardamomscale.example/cardamomscale/platform/translator"
)

// scriptedTarget is a target whose connections run a script.
type scriptedTarget struct {
	addr        netip.AddrPort
	connections atomic.Int64
}

// newScriptedTarget starts a target. The script gets each connection and its number from 1.
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

// readRequest reads one request and returns its ID.
func readRequest(r *bufio.Reader) (string, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get("Request-Id"), body, err
}

// writeResponse writes a whole answer with its seal.
func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReply-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newForwarder(t *testing.T) *Forwarder {
	t.Helper()
	f, err := New(Config{Dial: dialer.New(dialer.Config{}).Dial, Now: time.Now})
	assert.NilError(t, err)
	t.Cleanup(f.CloseIdle)
	return f
}

// roundTrip sends a request and returns what comes.
func roundTrip(f *Forwarder, addr netip.AddrPort, id string, repeatable bool, body []byte) (*Response, *Failure) {
	req := &translator.Request{ID: id, Method: http.MethodPost, Host: "h", URI: "/p", Header: http.Header{"Request-Id": {id}}}
	send := decider.Send{Target: "i", Address: addr, Deadline: time.Now().Add(5 * time.Second), Repeatable: repeatable}
	return f.RoundTrip(context.Background(), send, req, body, "")
}

// readBody returns the body of an answer.
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

// echoIDs answers every request of a connection with its ID.
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
		reply, failure := roundTrip(f, s.addr, id, true, []byte("x"))
		got, err := readBody(t, reply, failure)
		assert.NilError(t, err)
		assert.Equal(t, got, id)
	}
	assert.Equal(t, s.connections.Load(), int64(1))
}

// TestStrayResponsesAreSkipped: an answer that comes late is skipped, and one that
// comes in addition makes its connection useless.
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
		reply, failure := roundTrip(f, s.addr, id, true, nil)
		got, err := readBody(t, reply, failure)
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
		"no seal":          {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"no id":            {"HTTP/1.1 200 OK\r\nReply-Seal: s\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"encoded":          {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nReply-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"full":             {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", decider.FailureRefused, true},
		"empty promise":    {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", decider.FailureBroken, false},
		"another process":  {"HTTP/1.1 421 Other\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n", decider.FailureMisdirected, true},
		"no HTTP":          {"\x00\x01garbage\r\n\r\n", decider.FailureBroken, false},
		"nothing":          {"", decider.FailureBroken, false},
		"only information": {"HTTP/1.1 103 Early Hints\r\n\r\n", decider.FailureBroken, false},
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

// TestTruncatedBodies: an answer that is cut or reset never looks whole.
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
				time.Sleep(20 * time.Millisecond) // The bytes arrive before the reset.
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		reply, failure := roundTrip(newForwarder(t), s.addr, "a", true, nil)
		_, err := readBody(t, reply, failure)
		assert.Assert(t, err != nil, name)
	}
}

// TestEarlyResponseClosesConnection: the connection is not used again, since the target
// still expects the rest of the body.
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
		reply, failure := roundTrip(f, s.addr, "a", true, make([]byte, 8<<20))
		got, err := readBody(t, reply, failure)
		assert.NilError(t, err)
		assert.Equal(t, got, "early")
		assert.Equal(t, s.connections.Load(), int64(n+1))
	}
}

// TestClosedIdleConnectionIsReplaced: a target that closes idle connections never
// costs a request that may run once only.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	s := newScriptedTarget(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if id, _, err := readRequest(r); err == nil {
			writeResponse(c, id, id)
		}
	})
	f := newForwarder(t)
	for _, id := range []string{"a", "b", "c"} {
		reply, failure := roundTrip(f, s.addr, id, false, []byte("x"))
		_, err := readBody(t, reply, failure)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // The close arrives.
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

// TestCancelClosesConnection: the target sees its connection close.
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

// TestIdleConnectionsToRemovedTargetsAreClosed: a target that is not used any more
// keeps no connection open for ever.
func TestIdleConnectionsToRemovedTargetsAreClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPool(func() time.Time { return now })
	gone, other := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	near, far := net.Pipe()
	p.put(gone, &conn{Conn: near}, time.Second)
	now = now.Add(time.Minute)
	spare, _ := net.Pipe()
	p.put(other, &conn{Conn: spare}, time.Second)
	_, err := far.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF))
	assert.Equal(t, len(p.idle[gone]), 0)
	assert.Equal(t, len(p.idle[other]), 1)
}
